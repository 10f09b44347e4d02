//! `banyanctl apply`: [`apply_file`].
//!
//! A proposal is appended under an id that is made here, so that it can be appended again whenever
//! the answer is lost: the fold takes the first and drops the rest. The verdict is never concluded
//! from the append's answer but asked from entries that have read the proposal back.

use std::slice;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::check::ErrorRow;
use crate::check::LocalFile;
use crate::check::error_rows;
use crate::check::error_text;
use crate::check::union_of;
use crate::error::CtlError;
use crate::fleet::EntryAddress;
use crate::fleet::EntryAnswer;
use crate::fleet::EntryFleet;
use crate::log_stream::LogClient;
use crate::report::CommandReport;
use crate::report::ExitKind;
use banyan_config::validate_files;
use banyan_core::ids::RecordId;
use banyan_core::ids::Revision;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_wire::operator::FileWire;
use banyan_wire::operator::RevisionReply;
use banyan_wire::operator::VerdictReply;

/// The time between two rounds of asking.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// What to apply, and how long to wait.
#[derive(Clone, Debug)]
pub struct ApplyOrder {
    /// The file.
    pub file: LocalFile,
    /// The revision of the file that the operator started from; `None` takes the one in force.
    pub base: Option<Revision>,
    /// Who proposes it.
    pub author: SmolStr,
    /// The proposal's record id.
    pub record: RecordId,
    /// How long to wait for the verdict, and then for every instance.
    pub timeout: Duration,
}

/// How an apply ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyOutcome {
    /// It is in force on every live instance.
    InForce,
    /// The same text was in force before; nothing was proposed.
    Unchanged,
    /// It was accepted, but not every live instance has it yet.
    NotEverywhere,
    /// The file is invalid.
    Invalid,
    /// Another operator was first.
    Conflict,
    /// The verdict is not known.
    Unknown,
}

/// An instance and the revision it has, or why that is not known.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceRow {
    /// The instance's name.
    pub instance: SmolStr,
    /// The revision in force there; absent where it does not answer.
    pub revision: Option<u64>,
    /// Why it is not known; empty where it is.
    pub reason: SmolStr,
}

/// The result of an apply, as programs read it.
#[derive(Debug, Serialize)]
struct ApplyResult {
    outcome: ApplyOutcome,
    file: SmolStr,
    record: SmolStr,
    base: Option<u64>,
    revision: Option<u64>,
    winner: Option<SmolStr>,
    errors: Vec<ErrorRow>,
    message: String,
    reached: Vec<InstanceRow>,
    missing: Vec<InstanceRow>,
}

impl ApplyResult {
    fn new(order: &ApplyOrder, outcome: ApplyOutcome, message: String) -> Self {
        Self {
            outcome,
            file: order.file.name.clone().into(),
            record: order.record.clone().into(),
            base: order.base.map(|base| base.0),
            revision: None,
            winner: None,
            errors: Vec::new(),
            message,
            reached: Vec::new(),
            missing: Vec::new(),
        }
    }

    fn report(self, exit: ExitKind) -> CommandReport {
        CommandReport::new(exit, self.message.clone(), &self)
    }
}

/// Proposes a file and waits until the verdict is known and every live instance has it in force.
pub async fn apply_file(
    fleet: &EntryFleet,
    log: &LogClient,
    order: ApplyOrder,
) -> Result<CommandReport, CtlError> {
    let entries = fleet.find().await?.entries;
    let in_force = fleet.newest_in_force(entries.clone()).await?;
    let current = in_force.files.iter().find(|file| file.file == order.file.name.as_str());
    if let Err(errors) = validate_files(&union_of(slice::from_ref(&order.file), &in_force.files)) {
        let mut result = ApplyResult::new(&order, ApplyOutcome::Invalid, error_text(&errors));
        result.errors = error_rows(&errors);
        return Ok(result.report(ExitKind::Refused));
    }
    if let (Some(file), None) = (current.filter(|file| is_same(file, &order)), order.base) {
        let revision = Revision(file.revision);
        note(&format!("{} is in force unchanged since revision {revision}", order.file.name));
        let wait = wait_everywhere(fleet, revision, order.timeout).await;
        return Ok(everywhere_report(&order, ApplyOutcome::Unchanged, revision, wait));
    }
    let base = order.base.unwrap_or(Revision(current.map_or(0, |file| file.revision)));
    let order = ApplyOrder { base: Some(base), ..order };
    note(&format!("proposing {} over revision {base} as record {}", order.file.name, order.record));
    let verdict = propose(fleet, log, &order, entries).await;
    Ok(match verdict {
        Some(VerdictReply::Accepted { revision }) => {
            note(&format!("accepted as revision {revision}"));
            let revision = Revision(revision);
            let wait = wait_everywhere(fleet, revision, order.timeout).await;
            everywhere_report(&order, ApplyOutcome::InForce, revision, wait)
        }
        Some(VerdictReply::Conflict { current, winner }) => {
            conflict_report(&order, base, current, winner)
        }
        Some(VerdictReply::Invalid { message }) => {
            let message =
                format!("{message}\ninvalid: refused by the entries; nothing was changed");
            ApplyResult::new(&order, ApplyOutcome::Invalid, message).report(ExitKind::Refused)
        }
        Some(VerdictReply::Unseen) | None => unknown_report(&order),
    })
}

fn is_same(file: &FileWire, order: &ApplyOrder) -> bool {
    file.text == *order.file.text
}

/// Appends the proposal until an append is answered, and asks for the verdict until it is known or
/// the time is over. An append whose answer was lost may have landed, so both go on side by side.
async fn propose(
    fleet: &EntryFleet,
    log: &LogClient,
    order: &ApplyOrder,
    mut known: Vec<EntryAddress>,
) -> Option<VerdictReply> {
    let deadline = Instant::now() + order.timeout;
    let fact = LogFact {
        id: order.record.clone(),
        body: FactBody::Proposal {
            file: order.file.name.clone(),
            base: order.base.unwrap_or_default(),
            author: order.author.clone(),
            text: order.file.text.to_string(),
        },
    };
    let mut is_appended = false;
    loop {
        if !is_appended {
            match log.append(fact.clone()).await {
                Ok(()) => is_appended = true,
                Err(error) => note(&format!("trying again: {error}")),
            }
        }
        // Where the platform is away, its list is too; the entries that it listed before still answer.
        if let Ok(found) = fleet.find().await {
            known = found.entries;
        }
        let verdict = fleet.verdict(known.clone(), order.record.as_str()).await;
        if verdict.is_some() || Instant::now() >= deadline {
            return verdict;
        }
        sleep(POLL_PAUSE).await;
    }
}

/// Which live instances have a revision in force, and which have not.
#[derive(Debug, Default)]
struct WaitResult {
    reached: Vec<InstanceRow>,
    missing: Vec<InstanceRow>,
}

/// Waits until every live instance of the newest list has `revision` or a later one in force.
async fn wait_everywhere(fleet: &EntryFleet, revision: Revision, timeout: Duration) -> WaitResult {
    let deadline = Instant::now() + timeout;
    let mut reached: Vec<InstanceRow> = Vec::new();
    loop {
        let before = reached.len();
        let missing = ask_remaining(fleet, revision, &mut reached).await;
        if reached.len() > before {
            let (count, all) = (reached.len(), reached.len() + missing.len());
            note(&format!("{count} of {all} instances have revision {revision} in force"));
        }
        if missing.is_empty() || Instant::now() >= deadline {
            return WaitResult { reached, missing };
        }
        sleep(POLL_PAUSE).await;
    }
}

/// Asks the instances that have not reached the revision yet, and gives those that still have not.
///
/// A list that cannot be read counts as one of them: an instance that nobody knows of may be behind.
async fn ask_remaining(
    fleet: &EntryFleet,
    revision: Revision,
    reached: &mut Vec<InstanceRow>,
) -> Vec<InstanceRow> {
    let (entries, list_fault) = match fleet.find().await {
        Ok(found) => (found.entries, found.list_fault.map(|fault| format_smolstr!("{fault}"))),
        Err(error) => (Vec::new(), Some(format_smolstr!("{error}"))),
    };
    let is_open = |entry: &EntryAddress| !reached.iter().any(|row| row.instance == entry.name);
    let open: Vec<EntryAddress> = entries.into_iter().filter(is_open).collect();
    let mut missing: Vec<InstanceRow> = list_fault.map(list_row).into_iter().collect();
    for answer in fleet.revisions(open).await {
        let row = revision_row(answer, revision);
        match row.reason.is_empty() {
            true => reached.push(row),
            false => missing.push(row),
        }
    }
    missing
}

/// The row that stands for an instance list that cannot be read.
pub(crate) fn list_row(reason: SmolStr) -> InstanceRow {
    InstanceRow { instance: SmolStr::new_static("instance list"), revision: None, reason }
}

/// An instance's row; its reason is empty where it has `revision` or a later one in force.
fn revision_row(answer: EntryAnswer<RevisionReply>, revision: Revision) -> InstanceRow {
    let instance = answer.entry.name;
    match answer.result {
        Ok(reply) => {
            let is_reached = reply.revision >= revision.0;
            let reason =
                if is_reached { SmolStr::default() } else { behind_reason(reply.log_reachable) };
            InstanceRow { instance, revision: Some(reply.revision), reason }
        }
        Err(error) => InstanceRow { instance, revision: None, reason: format_smolstr!("{error}") },
    }
}

fn behind_reason(log_reachable: bool) -> SmolStr {
    SmolStr::new_static(match log_reachable {
        true => "it has an older revision in force",
        false => "it has an older revision in force and does not reach the log",
    })
}

fn everywhere_report(
    order: &ApplyOrder,
    outcome: ApplyOutcome,
    revision: Revision,
    wait: WaitResult,
) -> CommandReport {
    let name = &order.file.name;
    let count = wait.reached.len();
    let all = count + wait.missing.len();
    if wait.missing.is_empty() {
        let message =
            format!("{name}: revision {revision} is in force on all {count} live instances");
        let mut result = ApplyResult::new(order, outcome, message);
        result.revision = Some(revision.0);
        result.reached = wait.reached;
        return result.report(ExitKind::Done);
    }
    let mut message = format!(
        "{name}: revision {revision} is accepted and stays so, but in force on {count} of {all} \
         live instances only; not on:"
    );
    for row in &wait.missing {
        message.push_str(&format!("\n  {}: {}", row.instance, row.reason));
    }
    message.push_str("\nlook at these with: banyanctl status");
    let mut result = ApplyResult::new(order, ApplyOutcome::NotEverywhere, message);
    result.revision = Some(revision.0);
    result.reached = wait.reached;
    result.missing = wait.missing;
    result.report(ExitKind::NotEverywhere)
}

fn conflict_report(
    order: &ApplyOrder,
    base: Revision,
    current: u64,
    winner: SmolStr,
) -> CommandReport {
    let name = &order.file.name;
    if current == 0 {
        let message = format!(
            "{name}: refused whole, nothing was changed: it was based on revision {base}, but no \
             file of this name is in force; apply it as a new file with --base 0"
        );
        return ApplyResult::new(order, ApplyOutcome::Conflict, message).report(ExitKind::Refused);
    }
    let message = format!(
        "{name}: refused whole, nothing was changed: it was based on revision {base}, but {winner} \
         has put revision {current} in force; read it with 'banyanctl in-force --file {name}', \
         take it into your file and apply again with --base {current}"
    );
    let mut result = ApplyResult::new(order, ApplyOutcome::Conflict, message);
    result.revision = Some(current);
    result.winner = Some(winner);
    result.report(ExitKind::Refused)
}

fn unknown_report(order: &ApplyOrder) -> CommandReport {
    let base = order.base.unwrap_or_default();
    let message = format!(
        "{}: the verdict is not known yet: the proposal may still land; go on waiting with \
         'banyanctl apply' and --record {} --base {base}, or look with 'banyanctl history'",
        order.file.name, order.record
    );
    ApplyResult::new(order, ApplyOutcome::Unknown, message).report(ExitKind::Unknown)
}

fn note(text: &str) {
    eprintln!("apply: {text}");
}
