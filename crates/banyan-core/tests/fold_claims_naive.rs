//! Compares the claim fold with a naive model that keeps expired rows and scans all rows.
//!
//! `BANYAN_CASES` sets the number of random histories and `BANYAN_SEED` the seed.

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use banyan_core::fold::ClaimFold;
use banyan_core::fold::ClaimState;
use banyan_core::fold::ClaimVerdict;
use banyan_core::fold::FoldStep;
use banyan_core::fold::KEY_WINDOW_MS;
use banyan_core::ids::LogOffset;
use banyan_core::ids::RecordId;
use banyan_core::record::CLAIM_WINDOW_MS;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;

/// The idempotency keys; the last is a UUIDv7 whose time is [`START_MS`].
const KEYS: [&str; 3] = ["order-1", "order-2", "018bcfe5-6800-7000-8000-000000000000"];
const START_MS: u64 = 1_700_000_000_000;

/// The number of different claims; claim `n` uses key `n % 3`.
const CLAIMS: u8 = 9;

#[derive(Clone, Copy, Debug)]
enum HistoryFact {
    Claim { claim: u8, lag_ms: u64 },
    Close { claim: u8, memory_ms: u64 },
    Release { claim: u8 },
}

#[derive(Clone, Debug)]
enum HistoryStep {
    /// Advances the log's time and appends an entry.
    Append { elapsed_ms: u64, facts: Vec<HistoryFact> },
    /// The second instance folds all entries.
    CatchUp,
    /// The second instance restarts from the snapshot of the first.
    Restore,
}

#[derive(Clone, Debug)]
struct NaiveRow {
    claim: u8,
    closed: Option<(u64, u64)>,
    at: u64,
}

/// The naive model: every claim that won and wasn't released, and every void claim.
#[derive(Clone, Debug)]
struct NaiveClaims {
    time: u64,
    before: u64,
    won: Vec<NaiveRow>,
    void: Vec<(u8, u64)>,
    entries: Vec<LogEntry>,
}

impl NaiveClaims {
    /// The unexpired row of the key of `claim` at `time`, a time of the fold.
    fn holder(&self, claim: u8, time: u64) -> Option<&NaiveRow> {
        let row = self.won.iter().rev().find(|row| row.claim % 3 == claim % 3)?;
        let timed = claim % 3 == 2;
        let key_end = START_MS + KEY_WINDOW_MS;
        let unexpired = match row.closed {
            None => !timed || time <= key_end,
            Some((at, memory)) => {
                time < at + memory.max(CLAIM_WINDOW_MS + 1) || timed && time <= key_end
            }
        };
        unexpired.then_some(row)
    }

    fn is_void(&self, claim: u8, time: u64) -> bool {
        self.void.iter().any(|(void, at)| *void == claim && time < at + 2 * CLAIM_WINDOW_MS)
    }

    fn fold(&mut self, fact: HistoryFact) {
        let (time, before) = (self.time, self.before);
        match fact {
            HistoryFact::Claim { claim, lag_ms } => {
                if self.holder(claim, before).is_some() || self.is_void(claim, before) {
                    return;
                }
                let late = lag_ms > CLAIM_WINDOW_MS;
                let end = START_MS + KEY_WINDOW_MS;
                if late || claim % 3 == 2 && time > end {
                    self.void.push((claim, time));
                } else {
                    self.won.push(NaiveRow { claim, closed: None, at: time });
                }
            }
            HistoryFact::Close { claim, memory_ms } => {
                if self.holder(claim, before).is_some_and(|row| row.claim == claim) {
                    let row = self.won.iter_mut().rev().find(|row| row.claim == claim).unwrap();
                    row.closed = row.closed.or(Some((time, memory_ms)));
                }
            }
            HistoryFact::Release { claim } => {
                let winner = self.holder(claim, before).filter(|row| row.claim == claim);
                if winner.is_some_and(|row| row.closed.is_some()) {
                    return;
                }
                if winner.is_some() {
                    self.won.retain(|row| row.claim % 3 != claim % 3);
                }
                self.void.push((claim, time));
            }
        }
    }

    fn verdict(&self, claim: u8) -> NaiveVerdict {
        if self.is_void(claim, self.before) {
            return NaiveVerdict::Void;
        }
        match self.holder(claim, self.before) {
            Some(row) if row.claim == claim && row.closed.is_none() => NaiveVerdict::Won,
            Some(row) => NaiveVerdict::Lost(row.claim, row.closed.is_some()),
            None => NaiveVerdict::Unseen,
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NaiveVerdict {
    Won,
    Lost(u8, bool),
    Void,
    Unseen,
}

fn key(claim: u8) -> ClaimKey {
    let key = KEYS[usize::from(claim % 3)];
    ClaimKey { workspace: "sedlar".parse().unwrap(), key: key.parse().unwrap() }
}

fn record(claim: u8) -> RecordId {
    format!("claim-{claim}").parse().unwrap()
}

fn fact(fact: HistoryFact, before: u64) -> LogFact {
    let (id, body) = match fact {
        HistoryFact::Claim { claim, lag_ms } => {
            let claimant = format!("run-{claim}").parse().unwrap();
            let seen = WallMillis(before - lag_ms);
            let content = ContentDigest(1);
            (record(claim), FactBody::Claim { key: key(claim), claimant, content, seen })
        }
        HistoryFact::Close { claim, memory_ms } => {
            let outcome = CallOutcome::Answered { status: 200, body: vec![claim] };
            let (key, claim) = (key(claim), record(claim));
            (record(100), FactBody::Close { key, claim, outcome, memory_ms })
        }
        HistoryFact::Release { claim } => {
            (record(101), FactBody::Release { key: key(claim), claim: record(claim) })
        }
    };
    LogFact { id, body }
}

struct ClaimMachine;

impl ReferenceStateMachine for ClaimMachine {
    type State = NaiveClaims;
    type Transition = HistoryStep;

    fn init_state() -> BoxedStrategy<NaiveClaims> {
        let (time, before) = (START_MS, START_MS);
        Just(NaiveClaims { time, before, won: vec![], void: vec![], entries: vec![] }).boxed()
    }

    fn transitions(_: &NaiveClaims) -> BoxedStrategy<HistoryStep> {
        let claim = || 0..CLAIMS;
        let lag_ms = prop_oneof![Just(0), Just(CLAIM_WINDOW_MS), Just(CLAIM_WINDOW_MS + 1)];
        let memory_ms = prop_oneof![Just(0), Just(CLAIM_WINDOW_MS), Just(90_000)];
        let fact = prop_oneof![
            3 => (claim(), lag_ms).prop_map(|(claim, lag_ms)| HistoryFact::Claim { claim, lag_ms }),
            2 => (claim(), memory_ms)
                .prop_map(|(claim, memory_ms)| HistoryFact::Close { claim, memory_ms }),
            1 => claim().prop_map(|claim| HistoryFact::Release { claim }),
        ];
        let elapsed_ms = prop_oneof![
            Just(0),
            Just(1),
            Just(30_000),
            Just(CLAIM_WINDOW_MS),
            Just(CLAIM_WINDOW_MS + 1),
            Just(KEY_WINDOW_MS / 3),
        ];
        let append = (elapsed_ms, prop::collection::vec(fact, 0..3))
            .prop_map(|(elapsed_ms, facts)| HistoryStep::Append { elapsed_ms, facts });
        prop_oneof![8 => append, 1 => Just(HistoryStep::CatchUp), 1 => Just(HistoryStep::Restore)]
            .boxed()
    }

    fn apply(mut state: NaiveClaims, step: &HistoryStep) -> NaiveClaims {
        let HistoryStep::Append { elapsed_ms, facts } = step else { return state };
        state.before = state.time;
        state.time += elapsed_ms;
        let offset = LogOffset(state.entries.len() as u64);
        let before = state.before;
        let log_facts = facts.iter().map(|it| fact(*it, before)).collect();
        state.entries.push(LogEntry { offset, at: WallMillis(state.time), facts: log_facts });
        facts.iter().for_each(|it| state.fold(*it));
        state
    }
}

#[derive(Default)]
struct ClaimInstances {
    first: ClaimFold,
    second: ClaimFold,
}

impl StateMachineTest for ClaimMachine {
    type SystemUnderTest = ClaimInstances;
    type Reference = ClaimMachine;

    fn init_test(_: &NaiveClaims) -> ClaimInstances {
        // Earlier entries of the stream have advanced its time.
        let mut first = ClaimFold::default();
        first.time = WallMillis(START_MS);
        ClaimInstances { second: first.clone(), first }
    }

    fn apply(mut sut: ClaimInstances, naive: &NaiveClaims, step: HistoryStep) -> ClaimInstances {
        match step {
            HistoryStep::Append { .. } => {
                let entry = naive.entries.last().unwrap();
                assert_eq!(sut.first.apply(entry), FoldStep::Folded);
                assert_eq!(sut.first.apply(entry), FoldStep::Repeated);
            }
            HistoryStep::CatchUp => {
                for entry in &naive.entries {
                    sut.second.apply(entry);
                }
                assert_eq!(sut.first, sut.second);
            }
            HistoryStep::Restore => {
                sut.second = ClaimFold::restore(sut.first.snapshot());
                assert_eq!(sut.first, sut.second);
            }
        }
        sut
    }

    fn check_invariants(sut: &ClaimInstances, naive: &NaiveClaims) {
        for claim in 0..CLAIMS {
            let verdict = match sut.first.verdict(&key(claim), &record(claim)) {
                ClaimVerdict::Won => NaiveVerdict::Won,
                ClaimVerdict::Void => NaiveVerdict::Void,
                ClaimVerdict::Unseen => NaiveVerdict::Unseen,
                ClaimVerdict::Lost(row) => {
                    let winner = (0..CLAIMS).find(|it| record(*it) == row.claim).unwrap();
                    NaiveVerdict::Lost(winner, row.state != ClaimState::Open)
                }
            };
            assert_eq!(verdict, naive.verdict(claim), "claim {claim}");
        }
        let is_appended = |row: &NaiveRow| row.at <= naive.time;
        assert!(naive.won.iter().all(is_appended));
    }
}

fn config() -> Config {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    Config {
        cases: number("BANYAN_CASES", 256) as u32,
        rng_seed: RngSeed::Fixed(number("BANYAN_SEED", 17)),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn the_fold_agrees_with_the_naive_model(sequential 1..60 => ClaimMachine);
}
