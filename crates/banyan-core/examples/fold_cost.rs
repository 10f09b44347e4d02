//! Measures the cost of the folds per entry, as a function of the size of their state.
//!
//! `cargo run --release -p banyan-core --example fold_cost -- claims 100000` prints one JSON line;
//! `configuration 8000` measures proposals of a file with 8000 workspaces. Memory is the growth of
//! the resident set as reported by the operating system, so measure each size in a run of its own.

use std::hint::black_box;
use std::time::Duration;
use std::time::SystemTime;

use banyan_config::merge_files;
use banyan_core::fold::ClaimFold;
use banyan_core::fold::ConfigurationFold;
use banyan_core::ids::IdempotencyKey;
use banyan_core::ids::LogOffset;
use banyan_core::ids::RecordId;
use banyan_core::ids::Revision;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;
use banyan_wire::checkpoint::encode_configuration;
use banyan_wire::log::decode_entry;
use banyan_wire::log::encode_facts;

/// The number of calls over which the cost is averaged.
const SAMPLED_CALLS: u64 = 2_000;
/// How long outcomes are kept, in milliseconds; longer than the run.
const OUTCOME_RETENTION_MS: u64 = 1_000_000_000;
/// The size of each answer kept, in bytes.
const ANSWER_BYTES: usize = 200;
/// The number of proposals over which the cost is averaged.
const PROPOSALS: u64 = 10;

fn main() {
    let mut args = std::env::args().skip(1);
    let fold = args.next().unwrap_or_default();
    let size: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(1_000);
    match fold.as_str() {
        "claims" => measure_claims(size),
        "configuration" => measure_proposals(size),
        _ => eprintln!("say which fold, claims or configuration, and its size in rows"),
    }
}

fn measure_claims(rows: u64) {
    let before = resident_bytes();
    let mut fold = ClaimFold::default();
    let fill = timed(|| (0..rows).for_each(|number| append_claim(&mut fold, number)));
    let bytes = resident_bytes().saturating_sub(before);
    let steady =
        timed(|| (rows..rows + SAMPLED_CALLS).for_each(|number| append_claim(&mut fold, number)));
    let snapshot = timed(|| drop(black_box(fold.snapshot())));
    println!(
        "{{\"fold\":\"claims\",\"rows\":{rows},\"fill_ms\":{},\"us_per_claim\":{:.2},\
         \"bytes_per_row\":{},\"snapshot_ms\":{:.2}}}",
        fill.as_millis(),
        steady.as_secs_f64() * 1e6 / SAMPLED_CALLS as f64,
        bytes / rows,
        snapshot.as_secs_f64() * 1e3,
    );
}

/// Folds the claim of one call and its close.
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
    let closed =
        FactBody::Close { key, claim: claim.clone(), outcome, memory_ms: OUTCOME_RETENTION_MS };
    append(fold, number, claim, closed);
}

fn parse_key(name: &str) -> IdempotencyKey {
    name.parse().expect("a name")
}

fn append(fold: &mut ClaimFold, at: u64, id: RecordId, body: FactBody) {
    let facts = vec![LogFact { id, body }];
    fold.apply(&LogEntry { offset: fold.next, at: WallMillis(at), facts });
}

fn measure_proposals(workspaces: u64) {
    let text = declaration_text(workspaces);
    let resident = resident_bytes();
    let mut fold = ConfigurationFold::new(merge_files);
    let bodies: Vec<Vec<u8>> = (0..PROPOSALS).map(|number| proposal_body(number, &text)).collect();
    let body_bytes = bodies[0].len();
    let mut entries = Vec::new();
    let decode = timed(|| {
        for (offset, body) in (0..).zip(&bodies) {
            let entry = decode_entry(LogOffset(offset), WallMillis(offset), body);
            entries.push(entry.expect("an entry of ours"));
        }
    });
    drop(bodies);
    let apply = timed(|| {
        for entry in &entries {
            fold.apply(entry);
        }
    });
    assert_eq!(fold.revision, Revision(PROPOSALS), "every proposal is accepted");
    drop(entries);
    let resident = resident_bytes().saturating_sub(resident);
    let encode = timed(|| drop(black_box(encode_configuration(fold.snapshot()))));
    println!(
        "{{\"fold\":\"configuration\",\"workspaces\":{workspaces},\"text_bytes\":{},\
         \"entry_bytes\":{body_bytes},\"decode_ms\":{:.3},\"fold_ms\":{:.3},\
         \"checkpoint_ms\":{:.3},\"resident_kb\":{}}}",
        text.len(),
        decode.as_secs_f64() * 1e3 / PROPOSALS as f64,
        apply.as_secs_f64() * 1e3 / PROPOSALS as f64,
        encode.as_secs_f64() * 1e3,
        resident / 1024,
    );
}

fn proposal_body(number: u64, text: &str) -> Vec<u8> {
    let body = FactBody::Proposal {
        file: "fleet".parse().expect("a name"),
        base: Revision(number),
        author: "ana".into(),
        text: text.to_string(),
    };
    encode_facts(&[LogFact { id: format!("p-{number}").parse().expect("a name"), body }])
}

fn declaration_text(workspaces: u64) -> String {
    let row = |number| {
        format!(
            "    {{\n      \"name\": \"workspace-{number}\",\n      \"token_digests\": \
             [\"{number:064x}\"],\n      \"share\": 10,\n      \"priority\": 5,\n    }},\n"
        )
    };
    let rows: String = (0..workspaces).map(row).collect();
    format!("{{\n  \"workspaces\": [\n{rows}  ],\n}}\n")
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
