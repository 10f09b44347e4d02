//! `banyanctl history`: [`show_history`].
//!
//! The verdicts are made here by the same fold that every entry runs. Where the log has forgotten
//! its oldest entries the fold would start in the middle, so then the entries are asked instead.

use serde::Serialize;
use smol_str::SmolStr;

use crate::error::CtlError;
use crate::fleet::EntryFleet;
use crate::log_stream::LogClient;
use crate::log_stream::StreamCopy;
use crate::report::CommandReport;
use crate::report::ExitKind;
use banyan_config::merge_files;
use banyan_core::fold::ConfigurationFold;
use banyan_core::fold::ProposalVerdict;
use banyan_core::ids::LogOffset;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;
use banyan_wire::operator::VerdictReply;

/// One proposal, or an entry that cannot be read.
#[derive(Debug, Serialize)]
pub struct HistoryRow {
    /// Its offset in the log.
    pub offset: u64,
    /// When the platform took it, in milliseconds of the Unix epoch; zero where it is unreadable.
    pub at_ms: u64,
    /// The record id.
    pub record: SmolStr,
    /// The file's name.
    pub file: SmolStr,
    /// The revision it was based on.
    pub base: u64,
    /// Who proposed it.
    pub author: SmolStr,
    /// Whether the same record stands earlier in the log, so that this one folds to nothing.
    pub repeated: bool,
    /// The verdict, in the words of the read-back port; `unseen` where nobody knows it any more.
    #[serde(flatten)]
    pub verdict: VerdictReply,
}

/// All proposals, as programs read them.
#[derive(Debug, Serialize)]
struct HistoryResult {
    first: u64,
    proposals: Vec<HistoryRow>,
    unreadable: Vec<SmolStr>,
}

/// Shows every proposal that the log still keeps, with its verdict.
pub async fn show_history(fleet: &EntryFleet, log: &LogClient) -> Result<CommandReport, CtlError> {
    let copy = log.read_all().await?;
    let mut result = fold_history(&copy);
    if copy.first > LogOffset(0) && fleet.is_given() {
        ask_verdicts(fleet, &mut result).await;
    }
    let exit = if result.unreadable.is_empty() { ExitKind::Done } else { ExitKind::Unknown };
    Ok(CommandReport::new(exit, history_text(&result), &result))
}

fn fold_history(copy: &StreamCopy) -> HistoryResult {
    let is_whole = copy.first == LogOffset(0);
    let mut fold = ConfigurationFold::new(merge_files);
    let mut result =
        HistoryResult { first: copy.first.0, proposals: Vec::new(), unreadable: Vec::new() };
    for entry in &copy.entries {
        let entry = match &entry.entry {
            Ok(entry) => entry,
            Err(reason) => {
                // Entries stop folding here as well, so no later verdict can be told.
                result.unreadable.push(reason.clone());
                break;
            }
        };
        if is_whole {
            fold.apply(entry);
        }
        for fact in &entry.facts {
            let row = history_row(entry.offset, entry.at, fact, &fold, &result.proposals);
            result.proposals.extend(row);
        }
    }
    result
}

fn history_row(
    offset: LogOffset,
    at: WallMillis,
    fact: &LogFact,
    fold: &ConfigurationFold,
    earlier: &[HistoryRow],
) -> Option<HistoryRow> {
    let FactBody::Proposal { file, base, author, .. } = &fact.body else { return None };
    let verdict = fold.verdicts.get(&fact.id).map(|(_, verdict)| verdict);
    Some(HistoryRow {
        offset: offset.0,
        at_ms: at.0,
        record: fact.id.clone().into(),
        file: file.clone().into(),
        base: base.0,
        author: author.clone(),
        repeated: earlier.iter().any(|row| row.record == fact.id.as_str()),
        verdict: verdict.map_or(VerdictReply::Unseen, verdict_reply),
    })
}

fn verdict_reply(verdict: &ProposalVerdict) -> VerdictReply {
    match verdict {
        ProposalVerdict::Accepted(revision) => VerdictReply::Accepted { revision: revision.0 },
        ProposalVerdict::Conflict { current, winner } => {
            VerdictReply::Conflict { current: current.0, winner: winner.clone() }
        }
        ProposalVerdict::Invalid(message) => VerdictReply::Invalid { message: message.clone() },
    }
}

async fn ask_verdicts(fleet: &EntryFleet, result: &mut HistoryResult) {
    let entries = fleet.find().await.map(|found| found.entries).unwrap_or_default();
    for row in &mut result.proposals {
        if let Some(verdict) = fleet.verdict(entries.clone(), &row.record).await {
            row.verdict = verdict;
        }
    }
}

fn history_text(result: &HistoryResult) -> String {
    let mut lines = Vec::new();
    if result.first > 0 {
        lines.push(format!(
            "the log keeps offsets from {} on; older proposals are gone, and verdicts are as the \
             entries remember them",
            result.first
        ));
    }
    lines.extend(result.proposals.iter().map(row_text));
    for reason in &result.unreadable {
        lines.push(format!("unreadable from here on: {reason}"));
    }
    if lines.is_empty() {
        lines.push(String::from("no proposals yet; make one with banyanctl apply FILE"));
    }
    lines.join("\n")
}

fn row_text(row: &HistoryRow) -> String {
    let verdict = match &row.verdict {
        _ if row.repeated => String::from("repeated, without effect"),
        VerdictReply::Unseen => String::from("verdict no longer known"),
        VerdictReply::Accepted { revision } => format!("accepted as revision {revision}"),
        VerdictReply::Conflict { current, winner } => {
            format!("refused, since {winner} had put revision {current} in force")
        }
        VerdictReply::Invalid { message } => {
            let first = message.lines().next().unwrap_or_default();
            format!("invalid: {first}")
        }
    };
    format!(
        "offset {} at {} ms: {} by {} over revision {}, record {}: {verdict}",
        row.offset, row.at_ms, row.file, row.author, row.base, row.record
    )
}
