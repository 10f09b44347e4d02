//! `banyanctl status`: [`show_status`].

use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::CtlError;
use crate::fleet::EntryFleet;
use crate::report::CommandReport;
use crate::report::ExitKind;
use banyan_wire::operator::StatusReply;

/// An entry that does not answer.
#[derive(Debug, Serialize)]
struct SilentRow {
    instance: SmolStr,
    reason: SmolStr,
}

/// The status of all entries, as programs read it.
#[derive(Debug, Serialize)]
struct StatusResult {
    instances: Vec<StatusReply>,
    silent: Vec<SilentRow>,
}

/// Shows what each entry is and sees; `is_long` adds targets, peers, claims and quarantines.
pub async fn show_status(fleet: &EntryFleet, is_long: bool) -> Result<CommandReport, CtlError> {
    let found = fleet.find().await?;
    let count = found.entries.len();
    let mut result = StatusResult { instances: Vec::new(), silent: Vec::new() };
    for answer in fleet.statuses(found.entries).await {
        match answer.result {
            Ok(status) => result.instances.push(status),
            Err(error) => {
                let reason = format_smolstr!("{error}");
                result.silent.push(SilentRow { instance: answer.entry.name, reason });
            }
        }
    }
    result.silent.extend(found.list_fault.map(|fault| SilentRow {
        instance: SmolStr::new_static("instance list"),
        reason: format_smolstr!("{fault}"),
    }));
    if result.instances.is_empty() {
        let last = result.silent.pop().map(|row| row.reason).unwrap_or_default();
        return Err(CtlError::NoEntryAnswers { count, last });
    }
    let exit = if result.silent.is_empty() { ExitKind::Done } else { ExitKind::NotEverywhere };
    Ok(CommandReport::new(exit, status_text(&result, is_long), &result))
}

fn status_text(result: &StatusResult, is_long: bool) -> String {
    let mut lines = Vec::new();
    for status in &result.instances {
        lines.push(headline(status));
        let different = status.targets.iter().filter(|row| is_long || row.state != "trusted");
        for row in different {
            lines.push(format!(
                "  target {} {} in flight {} latency {} us {}",
                row.target, row.state, row.in_flight, row.latency_us, row.reason
            ));
        }
        if is_long {
            lines.extend(long_lines(status));
        }
    }
    for row in &result.silent {
        lines.push(format!("{} does not answer: {}", row.instance, row.reason));
    }
    lines.join("\n")
}

fn headline(status: &StatusReply) -> String {
    let ready = match status.ready.ready {
        true => String::from("ready"),
        false => format!("not ready ({})", status.ready.reason),
    };
    let log = match status.log.reachable {
        true => String::from("reachable"),
        false => format!("silent for {} ms", status.log.silent_ms),
    };
    let trusted = status.targets.iter().filter(|row| row.state == "trusted").count();
    format!(
        "{} zone {} {ready}; revision {} from {}; log {log}; active {} queued {}; targets trusted \
         {trusted} of {}; peers {}; open claims {}; quarantines {}",
        status.instance,
        status.zone,
        status.revision,
        status.log.started_from,
        status.active,
        status.queued,
        status.targets.len(),
        status.peers.len(),
        status.open_claims.len(),
        status.quarantines.len(),
    )
}

fn long_lines(status: &StatusReply) -> Vec<String> {
    let peers = status.peers.iter().map(|row| {
        format!(
            "  peer {} {} revision {} heard {} ms ago",
            row.peer, row.state, row.revision, row.silent_ms
        )
    });
    let claims =
        status.open_claims.iter().map(|row| format!("  claim {} by {}", row.key, row.claimant));
    let quarantines = status
        .quarantines
        .iter()
        .map(|row| format!("  quarantine {} until {} ms", row.content, row.until_ms));
    peers.chain(claims).chain(quarantines).collect()
}
