//! The implementation's folds agree with the specifications' on generated histories.
//!
//! `BANYAN_CASES` sets the number of histories and `BANYAN_SEED` the seed.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use banyan_core::declaration::Declaration;
use banyan_core::fold::CheckpointTable;
use banyan_core::fold::ClaimFold;
use banyan_core::fold::ClaimState;
use banyan_core::fold::ClaimVerdict;
use banyan_core::fold::ConfigurationFold;
use banyan_core::fold::ProposalVerdict;
use banyan_core::fold::StartChoice;
use banyan_core::fold::checkpoint_facts;
use banyan_core::fold::choose_start;
use banyan_core::ids::FileId;
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
use banyan_spec::claims_fold::ClaimEntry;
use banyan_spec::claims_fold::ClaimFact;
use banyan_spec::claims_fold::ClaimTimes;
use banyan_spec::claims_fold::KeyState;
use banyan_spec::claims_fold::KeyVerdict;
use banyan_spec::configuration::FileEntry;
use banyan_spec::configuration::FileState;
use banyan_spec::configuration::FileVerdict;
use banyan_wire::checkpoint::decode_claims;
use banyan_wire::checkpoint::decode_configuration;
use banyan_wire::checkpoint::encode_claims;
use banyan_wire::checkpoint::encode_configuration;
use banyan_wire::log::decode_entry;
use banyan_wire::log::encode_facts;

/// One step of the model's time in milliseconds: the window of claims.
const STEP_MS: u64 = 60_000;
const START_MS: u64 = 1_700_000_000_000;
const PLAIN_KEY: &str = "order-17";
/// A UUIDv7 made at [`START_MS`].
const TIMED_KEY: &str = "018bcfe5-6800-7000-8000-000000000000";

/// The number of proposals; the last one is invalid.
const PROPOSALS: u8 = 5;

fn config() -> Config {
    let number = |name: &str, usual: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
    };
    Config {
        cases: number("BANYAN_CASES", 256) as u32,
        rng_seed: RngSeed::Fixed(number("BANYAN_SEED", 29)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// The entry as an instance would read it back from the log.
fn read_back(offset: usize, at: u64, facts: Vec<LogFact>) -> LogEntry {
    decode_entry(LogOffset(offset as u64), WallMillis(at), &encode_facts(&facts)).unwrap()
}

fn record(name: &str, number: u8) -> RecordId {
    format!("{name}-{number}").parse().unwrap()
}

fn claim_times(timed: bool) -> ClaimTimes {
    let key_window = timed.then_some(60);
    ClaimTimes { window: 1, memory: 2, released: 2, key_window }
}

fn claim_key(timed: bool) -> ClaimKey {
    let key = if timed { TIMED_KEY } else { PLAIN_KEY };
    ClaimKey { workspace: "kartonsu".parse().unwrap(), key: key.parse().unwrap() }
}

fn claim_body(fact: ClaimFact, key: ClaimKey) -> Option<LogFact> {
    let (id, body) = match fact {
        ClaimFact::Other => return None,
        ClaimFact::Claim { claim, seen } => {
            let claimant = format!("run-{claim}").parse().unwrap();
            let seen = WallMillis(START_MS + u64::from(seen) * STEP_MS);
            let content = ContentDigest(7);
            (record("claim", claim), FactBody::Claim { key, claimant, content, seen })
        }
        ClaimFact::Close { claim, .. } => {
            let outcome = CallOutcome::Answered { status: 200, body: vec![0, 159, claim] };
            let (claim, memory_ms) = (record("claim", claim), 2 * STEP_MS);
            (record("close", 0), FactBody::Close { key, claim, outcome, memory_ms })
        }
        ClaimFact::Release { claim } => {
            let claim = record("claim", claim);
            (record("release", 0), FactBody::Release { key, claim })
        }
    };
    Some(LogFact { id, body })
}

/// A history of a key: how much time passed, what landed, and how stale its sight of the key was.
fn claim_history() -> impl Strategy<Value = Vec<(u8, u8, u8, u8)>> {
    let passed = prop_oneof![6 => 0..3u8, 1 => Just(30u8)];
    prop::collection::vec((passed, 0..7u8, 0..4u8, 0..3u8), 1..40)
}

fn claim_entries(history: &[(u8, u8, u8, u8)]) -> Vec<ClaimEntry> {
    let mut at = 0_u8;
    let mut entries = Vec::new();
    for (passed, kind, claim, lag) in history.iter().copied() {
        let seen = at.saturating_sub(lag);
        at = at.saturating_add(passed).min(200);
        let fact = match kind {
            0..3 => ClaimFact::Claim { claim, seen },
            3..5 => ClaimFact::Close { claim, own: true },
            5 => ClaimFact::Release { claim },
            _ => ClaimFact::Other,
        };
        entries.push(ClaimEntry { at, fact });
    }
    entries
}

fn check_claims(history: &[(u8, u8, u8, u8)], timed: bool) {
    let times = claim_times(timed);
    let key = claim_key(timed);
    let mut specified = KeyState::default();
    let mut fold = ClaimFold::default();
    fold.time = WallMillis(START_MS);
    for (offset, entry) in claim_entries(history).iter().enumerate() {
        specified.fold(entry, &times, None);
        let facts = claim_body(entry.fact, key.clone()).into_iter().collect();
        let at = START_MS + u64::from(entry.at) * STEP_MS;
        fold.apply(&read_back(offset, at, facts));
        let body = encode_claims(fold.snapshot()).unwrap();
        let restored = ClaimFold::restore(decode_claims(&body).unwrap());
        assert_eq!(restored, fold);
        for claim in 0..4 {
            let verdict = match fold.verdict(&key, &record("claim", claim)) {
                ClaimVerdict::Won => KeyVerdict::Won,
                ClaimVerdict::Lost(row) => {
                    let holder = specified.holder.expect("the specification has a holder too");
                    assert_eq!(row.claim, record("claim", holder.claim));
                    assert_eq!(row.state != ClaimState::Open, holder.closed.is_some());
                    KeyVerdict::Lost
                }
                ClaimVerdict::Void => KeyVerdict::Void,
                ClaimVerdict::Unseen => KeyVerdict::Unseen,
            };
            assert_eq!(verdict, specified.verdict(claim), "claim {claim} after {offset}");
            let released = fold.is_released(&record("claim", claim));
            assert_eq!(released, specified.is_released(claim), "claim {claim} after {offset}");
        }
    }
}

fn merge(files: &BTreeMap<FileId, Arc<str>>) -> Result<Declaration, String> {
    let invalid = files.values().any(|text| text.contains("invalid"));
    if invalid {
        Err("a file is invalid: write it anew".to_string())
    } else {
        Ok(Default::default())
    }
}

fn proposal_text(proposal: u8) -> String {
    if proposal == PROPOSALS { "invalid".to_string() } else { format!("text {proposal}") }
}

fn proposal_fact(proposal: u8, base: u8) -> LogFact {
    let body = FactBody::Proposal {
        file: "fleet".parse().unwrap(),
        base: Revision(u64::from(base)),
        author: format!("operator {proposal}").into(),
        text: proposal_text(proposal),
    };
    LogFact { id: record("proposal", proposal), body }
}

fn file_verdict(verdict: &ProposalVerdict) -> FileVerdict {
    match verdict {
        ProposalVerdict::Accepted(revision) => FileVerdict::Accepted(revision.0 as u8),
        ProposalVerdict::Conflict { .. } => FileVerdict::Conflict,
        ProposalVerdict::Invalid(_) => FileVerdict::Invalid,
    }
}

fn check_agreement(fold: &ConfigurationFold, specified: &FileState) {
    assert_eq!(fold.next.0, u64::from(specified.next));
    assert_eq!(fold.revision.0, u64::from(specified.revision));
    let text = fold.files.values().next().map(|row| row.text.to_string());
    let content = specified.content.first;
    assert_eq!(text, (content > 0).then(|| proposal_text(content)));
    let verdicts: Vec<(RecordId, FileVerdict)> = fold
        .verdicts
        .iter()
        .map(|(id, (_, verdict))| (id.clone(), file_verdict(verdict)))
        .collect();
    let expected: Vec<(RecordId, FileVerdict)> = specified
        .verdicts
        .iter()
        .map(|(proposal, verdict)| (record("proposal", *proposal), *verdict))
        .collect();
    assert_eq!(verdicts, expected);
}

/// What lands next: a proposal on the newest or on some older revision, or a checkpoint of the state
/// that some instance had a number of entries ago.
#[derive(Clone, Copy, Debug)]
enum FileStep {
    Current(u8),
    Stale(u8, u8),
    Checkpoint(usize),
}

fn file_history() -> impl Strategy<Value = Vec<FileStep>> {
    let step = prop_oneof![
        4 => (1..=PROPOSALS).prop_map(FileStep::Current),
        2 => (1..=PROPOSALS, 0..12u8).prop_map(|(proposal, base)| FileStep::Stale(proposal, base)),
        2 => (0..6usize).prop_map(FileStep::Checkpoint),
    ];
    prop::collection::vec(step, 1..30)
}

/// All entries of a history, and the fold right before each and behind the last.
fn write_history(history: &[FileStep]) -> (Vec<LogEntry>, Vec<ConfigurationFold>) {
    let mut folds = vec![ConfigurationFold::new(merge)];
    let mut specified = FileState::default();
    let mut entries: Vec<LogEntry> = Vec::new();
    let mut land = |facts: Vec<LogFact>, entry: FileEntry, folds: &mut Vec<ConfigurationFold>| {
        let at = START_MS + entries.len() as u64;
        let read = read_back(entries.len(), at, facts);
        let mut fold = folds.last().unwrap().clone();
        fold.apply(&read);
        specified.fold(&entry, PROPOSALS, None);
        check_agreement(&fold, &specified);
        entries.push(read);
        folds.push(fold);
    };
    for step in history {
        let (proposal, base) = match *step {
            FileStep::Current(proposal) => (proposal, folds.last().unwrap().revision.0 as u8),
            FileStep::Stale(proposal, base) => (proposal, base),
            FileStep::Checkpoint(back) => {
                let fold = folds[folds.len().saturating_sub(1 + back)].clone();
                let body = encode_configuration(fold.snapshot()).unwrap();
                let half = body.len() / 2 + 1;
                let mut number = 0;
                let facts = checkpoint_facts(fold.next, fold.time, &body, half, || {
                    number += 1;
                    record("part", number)
                });
                for (part, fact) in (0..).zip(facts) {
                    let state = FileState::default();
                    let entry = FileEntry::Part { checkpoint: 0, part, state };
                    land(vec![fact], entry, &mut folds);
                }
                continue;
            }
        };
        let entry = FileEntry::Proposal { proposal, base };
        land(vec![proposal_fact(proposal, base)], entry, &mut folds);
    }
    (entries, folds)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn claims_of_plain_keys_agree(history in claim_history()) {
        check_claims(&history, false);
    }

    #[test]
    fn claims_of_timed_keys_agree(history in claim_history()) {
        check_claims(&history, true);
    }

    #[test]
    fn a_start_at_any_retention_equals_folding_everything(
        history in file_history(),
        dropped in 0..30usize,
    ) {
        let (entries, folds) = write_history(&history);
        let first = dropped.min(entries.len());
        let mut table = CheckpointTable::for_start();
        entries[first..].iter().for_each(|entry| table.observe(entry));
        let mut fold = match choose_start(LogOffset(first as u64), &table) {
            Ok(StartChoice::FromEmpty) => ConfigurationFold::new(merge),
            Ok(StartChoice::FromCheckpoint { next, body }) => {
                prop_assert!(next.0 as usize >= first);
                let snapshot = decode_configuration(&body).unwrap();
                ConfigurationFold::restore(snapshot, merge).unwrap()
            }
            // Then only a peer that runs has the state.
            Err(_) => {
                let mut fold = ConfigurationFold::new(merge);
                prop_assert!(fold.adopt(folds[first].snapshot()).unwrap() || first == 0);
                fold
            }
        };
        entries[first..].iter().for_each(|entry| {
            fold.apply(entry);
        });
        prop_assert_eq!(fold.snapshot(), folds.last().unwrap().snapshot());
    }

    #[test]
    fn chunks_of_any_size_and_hand_overs_end_in_the_same_state(
        history in file_history(),
        chunk in 1..9usize,
        handed in 0..30usize,
    ) {
        let (entries, folds) = write_history(&history);
        let whole = folds.last().unwrap();
        let mut lagging = ConfigurationFold::new(merge);
        let mut revision = Revision(0);
        let handed = handed.min(entries.len());
        for (number, entries) in entries.chunks(chunk).enumerate() {
            for entry in entries {
                lagging.apply(entry);
            }
            if number == 1 {
                lagging.adopt(folds[handed].snapshot()).unwrap();
            }
            prop_assert!(lagging.revision >= revision);
            revision = lagging.revision;
        }
        prop_assert_eq!(lagging.snapshot(), whole.snapshot());
    }
}
