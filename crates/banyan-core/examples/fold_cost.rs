//! Measures what the folds cost for each entry, as a function of what they hold.
//!
//! `cargo run --release -p banyan-core --example fold_cost` prints one JSON line a size. Memory is
//! this process's resident set as the operating system reports it.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use banyan_core::declaration::Declaration;
use banyan_core::fold::ClaimFold;
use banyan_core::fold::ConfigurationFold;
use banyan_core::ids::FileId;
use banyan_core::ids::RecordId;
use banyan_core::ids::Revision;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;

/// The entries over which a cost is averaged.
const SAMPLE: u64 = 2_000;
/// How long outcomes are remembered, in milliseconds; longer than the run.
const MEMORY_MS: u64 = 1_000_000_000;
/// The size of a remembered answer, in bytes.
const ANSWER_BYTES: usize = 200;

fn main() {
    for rows in [1_000, 10_000, 100_000] {
        measure_claims(rows);
    }
    for workspaces in [10, 1_000, 8_000] {
        measure_proposals(workspaces);
    }
}

fn measure_claims(rows: u64) {
    let before = resident_bytes();
    let mut fold = ClaimFold::default();
    let fill = timed(|| (0..rows).for_each(|number| append_claim(&mut fold, number)));
    let bytes = resident_bytes().saturating_sub(before);
    let steady = timed(|| (rows..rows + SAMPLE).for_each(|number| append_claim(&mut fold, number)));
    let snapshot = timed(|| drop(black_box(fold.snapshot())));
    println!(
        "{{\"fold\":\"claims\",\"rows\":{rows},\"fill_ms\":{},\"us_per_claim\":{:.2},\
         \"bytes_per_row\":{},\"snapshot_ms\":{:.2}}}",
        fill.as_millis(),
        steady.as_secs_f64() * 1e6 / SAMPLE as f64,
        bytes / rows,
        snapshot.as_secs_f64() * 1e3,
    );
}

/// Folds the claim and the close of one call.
fn append_claim(fold: &mut ClaimFold, number: u64) {
    let name = format!("018bcfe5-6800-4000-8000-{number:012x}");
    let key =
        ClaimKey { workspace: "workspace-17".parse().expect("a name"), key: parse_key(&name) };
    let claim: RecordId = format!("entry-3.5f2a.{number}").parse().expect("a name");
    let claimant = "entry-3.5f2a".parse().expect("a name");
    let content = ContentDigest(number);
    let seen = WallMillis(number);
    let claimed = FactBody::Claim { key: key.clone(), claimant, content, seen };
    append(fold, number, claim.clone(), claimed);
    let outcome = CallOutcome::Answered { status: 200, body: vec![b'x'; ANSWER_BYTES] };
    let closed = FactBody::Close { key, claim: claim.clone(), outcome, memory_ms: MEMORY_MS };
    append(fold, number, claim, closed);
}

fn parse_key(name: &str) -> banyan_core::ids::IdempotencyKey {
    name.parse().expect("a name")
}

fn append(fold: &mut ClaimFold, at: u64, id: RecordId, body: FactBody) {
    let facts = vec![LogFact { id, body }];
    fold.apply(&LogEntry { offset: fold.next, at: WallMillis(at), facts });
}

fn measure_proposals(workspaces: u64) {
    let text = declaration_text(workspaces);
    let mut fold = ConfigurationFold::new(accept);
    let sample = 200;
    let elapsed = timed(|| (0..sample).for_each(|number| propose(&mut fold, number, &text)));
    let snapshot = timed(|| drop(black_box(fold.snapshot())));
    println!(
        "{{\"fold\":\"configuration\",\"workspaces\":{workspaces},\"text_bytes\":{},\
         \"us_per_proposal_without_merge\":{:.2},\"snapshot_us\":{:.1}}}",
        text.len(),
        elapsed.as_secs_f64() * 1e6 / sample as f64,
        snapshot.as_secs_f64() * 1e6,
    );
}

fn propose(fold: &mut ConfigurationFold, number: u64, text: &str) {
    let body = FactBody::Proposal {
        file: "fleet".parse().expect("a name"),
        base: fold.revision,
        author: "ana".into(),
        text: text.to_string(),
    };
    let facts = vec![LogFact { id: format!("p-{number}").parse().expect("a name"), body }];
    fold.apply(&LogEntry { offset: fold.next, at: WallMillis(number), facts });
    assert_eq!(fold.revision, Revision(number + 1));
}

fn declaration_text(workspaces: u64) -> String {
    let row = |number| format!("{{ \"name\": \"workspace-{number}\", \"share\": 10 }},\n");
    (0..workspaces).map(row).collect()
}

fn accept(_: &BTreeMap<FileId, Arc<str>>) -> Result<Declaration, String> {
    Ok(Declaration::default())
}

fn timed(work: impl FnOnce()) -> Duration {
    let start = SystemTime::now();
    work();
    start.elapsed().unwrap_or_default()
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes =
        line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}
