//! `banyanctl in-force`: [`show_in_force`].

use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::apply::InstanceRow;
use crate::apply::list_row;
use crate::error::CtlError;
use crate::fleet::EntryAnswer;
use crate::fleet::EntryFleet;
use crate::report::CommandReport;
use crate::report::ExitKind;
use banyan_core::ids::FileId;
use banyan_wire::operator::FileWire;
use banyan_wire::operator::RevisionReply;

/// What is in force, as programs read it.
#[derive(Debug, Serialize)]
struct InForceResult {
    revision: u64,
    everywhere: bool,
    files: Vec<FileWire>,
    instances: Vec<InstanceRow>,
}

/// Shows the newest configuration that any entry has in force, and which entries have it.
///
/// With `file`, the text is that file's text alone, so that it can be redirected into a file.
pub async fn show_in_force(
    fleet: &EntryFleet,
    file: Option<&FileId>,
) -> Result<CommandReport, CtlError> {
    let found = fleet.find().await?;
    let newest = fleet.newest_in_force(found.entries.clone()).await?;
    let mut instances: Vec<InstanceRow> =
        fleet.revisions(found.entries).await.into_iter().map(instance_row).collect();
    instances.extend(found.list_fault.map(|fault| list_row(format_smolstr!("{fault}"))));
    let everywhere = instances.iter().all(|row| row.revision == Some(newest.revision));
    let result =
        InForceResult { revision: newest.revision, everywhere, files: newest.files, instances };
    Ok(in_force_report(result, file))
}

fn instance_row(answer: EntryAnswer<RevisionReply>) -> InstanceRow {
    let instance = answer.entry.name;
    match answer.result {
        Ok(reply) => {
            let revision = Some(reply.revision);
            InstanceRow { instance, revision, reason: SmolStr::default() }
        }
        Err(error) => InstanceRow { instance, revision: None, reason: format_smolstr!("{error}") },
    }
}

fn in_force_report(mut result: InForceResult, file: Option<&FileId>) -> CommandReport {
    let exit = if result.everywhere { ExitKind::Done } else { ExitKind::NotEverywhere };
    let Some(file) = file else {
        return CommandReport::new(exit, overview(&result), &result);
    };
    result.files.retain(|row| row.file == file.as_str());
    match result.files.first() {
        Some(row) => CommandReport::new(exit, row.text.clone(), &result),
        None => {
            let text = format!("{file}: no file of this name is in force; see banyanctl in-force");
            CommandReport::new(ExitKind::Refused, text, &result)
        }
    }
}

fn overview(result: &InForceResult) -> String {
    let mut lines = vec![format!("revision {}", result.revision)];
    for file in &result.files {
        lines.push(format!("  {} revision {} by {}", file.file, file.revision, file.author));
    }
    lines.push(String::from("instances"));
    for row in &result.instances {
        lines.push(match row.revision {
            Some(revision) => format!("  {} revision {revision}", row.instance),
            None => format!("  {} does not answer: {}", row.instance, row.reason),
        });
    }
    lines.join("\n")
}
