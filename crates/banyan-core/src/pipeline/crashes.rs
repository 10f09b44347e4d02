//! Detection of requests that crash targets: [`CrashTable`].
//!
//! When a target crashes, the requests whose answer it had just begun, or had not begun yet, are
//! suspects, by their traits: the whole content, and each part of the prompt that other requests may share. A trait
//! that several crashes have in common, and with which no answer went well since, is blocked. A
//! sound request shares most of its traits with others whose answers go well, which clears them.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;
use crate::ids::TargetId;
use crate::record::ContentDigest;
use crate::units::Moment;

/// The time for which an answer is written before its request counts as sound. A request that
/// crashes targets does so as its answer begins.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(200);

/// How long an answer that went well clears its request's traits of later crashes.
const SURVIVAL_MEMORY: Duration = Duration::from_secs(10);
/// The number of separate crashes from which on a trait may be their cause.
const CONVICTION_CRASHES: usize = 2;
/// How long a trait is blocked after its first crash, while one request with it is tried again.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// How long a trait is blocked after crashes that another trait explains as well.
const DOUBT_TIME: Duration = Duration::from_secs(2);
/// The time over which the ends of a doubt are spread on different instances, so that the outcome
/// of the first trial reaches most of them before their own.
const DOUBT_SPREAD: Duration = Duration::from_secs(4);
/// How long a trait is blocked that alone explains several crashes.
const CONVICTION_TIME: Duration = Duration::from_secs(600);
/// Crashes closer together may have one cause that is no request, such as a lost host.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(50);
/// Reports of one target's crash within this time are about the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// How long a run of a target is remembered that turned out not to have crashed: longer than peers
/// that have not learned it yet go on reporting the crash.
const WITHDRAWAL_MEMORY: Duration = Duration::from_secs(60);
/// The largest number of suspected traits; the one whose last crash is oldest is dropped first.
const MAX_SUSPECTS: usize = 1_024;
/// The largest number of cleared traits. Further ones are not remembered until some have expired.
const MAX_CLEARED: usize = 4_096;

/// What a trait of a request is about.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TraitKind {
    /// The service, caller, path, body and whole prompt: requests with equal contents are repeats.
    Content,
    /// One part of the prompt, which other requests of the service may share.
    PromptPart,
}

/// A property of a request that may make it crash targets.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestTrait {
    /// What the trait is about.
    pub kind: TraitKind,
    /// The digest of the service and of the property itself.
    pub digest: ContentDigest,
}

/// How a crash was recognised, which tells how exactly its time is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// The connection was lost and the host refused new ones: the crash was noticed as it happened.
    Refusal,
    /// The attempt ended without an answer, and the target's run turned out to have ended: the crash
    /// may have happened at any time of the attempt.
    Silence,
}

/// A crash of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCrash {
    /// The target.
    pub target: TargetId,
    /// The start time of the run that crashed, in wall-clock milliseconds, if it is known.
    pub run: Option<u64>,
    /// When the suspected request was sent to it.
    pub sent: Moment,
    /// When the crash was noticed, or when the attempt ended that it left without an answer.
    pub at: Moment,
    /// How it was recognised.
    pub evidence: CrashEvidence,
}

impl TargetCrash {
    fn is_silent(&self) -> bool {
        self.evidence == CrashEvidence::Silence
    }

    /// Whether both are one crash. A run crashes once, but that of a crash which was noticed at once
    /// may be taken from an outdated record.
    fn is_same(&self, other: &TargetCrash) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        let same_run = self.run.is_some() && self.run == other.run;
        let has_exact_run = same_run && (self.is_silent() || other.is_silent());
        self.target == other.target && (has_exact_run || apart < SAME_CRASH_TIME)
    }

    /// Whether this crash and an earlier one have no common cause but a request: the target was
    /// still there when the request was sent to it after the earlier crash, or time passed.
    fn is_separate_from(&self, earlier: &TargetCrash) -> bool {
        let both_exact = !self.is_silent() && !earlier.is_silent();
        let is_later = both_exact && self.at.since(earlier.at) >= MIN_CRASH_SPACING;
        self.sent > earlier.at || is_later
    }
}

/// A suspected trait, as instances tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashSuspect {
    /// The trait.
    pub key: RequestTrait,
    /// The crashes under it.
    pub crashes: Vec<TargetCrash>,
}

/// What is known about a trait that may have caused crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct SuspectRow {
    /// The crashes of targets that had just begun an answer to a request with this trait, oldest
    /// first.
    crashes: Vec<TargetCrash>,
    /// Until when requests with this trait are refused.
    blocked_until: Moment,
}

impl SuspectRow {
    /// Adds a crash. Returns whether it was not known.
    fn add(&mut self, crash: &TargetCrash) -> bool {
        if self.crashes.iter().any(|known| known.is_same(crash)) {
            return false;
        }
        self.crashes.push(crash.clone());
        self.crashes.sort_by_key(|crash| crash.at);
        true
    }

    /// The number of crashes that have no common cause but a request.
    fn separate_crashes(&self) -> usize {
        let mut last: Option<&TargetCrash> = None;
        let mut count = 0;
        for crash in &self.crashes {
            if last.is_none_or(|last| crash.is_separate_from(last)) {
                count += 1;
                last = Some(crash);
            }
        }
        count
    }

    fn last_crash(&self) -> Moment {
        self.crashes.last().map(|crash| crash.at).unwrap_or_default()
    }

    /// Whether all crashes of this row are among those of another.
    fn is_within(&self, other: &SuspectRow) -> bool {
        self.crashes.iter().all(|crash| other.crashes.iter().any(|known| known.is_same(crash)))
    }
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It may be sent.
    Allowed,
    /// It must be refused for this long, since requests like it crashed targets.
    Blocked(Duration),
}

/// The traits of requests that may crash targets, and those that are known to be sound.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    /// Invariant: at most `MAX_SUSPECTS`, each with at least one crash.
    rows: BTreeMap<RequestTrait, SuspectRow>,
    /// When an answer to a request with the trait last went well. Invariant: at most `MAX_CLEARED`.
    cleared: BTreeMap<RequestTrait, Moment>,
    /// The runs of targets that turned out not to have crashed, and when that was learned.
    /// Invariant: at most `MAX_SUSPECTS`.
    withdrawn: BTreeMap<(TargetId, u64), Moment>,
    /// Differs between instances, which end their doubts at different moments. Without one they
    /// end at the earliest.
    seed: Option<u64>,
}

impl CrashTable {
    /// The empty table of an instance.
    pub fn for_instance(instance: &InstanceId) -> Self {
        Self { seed: Some(xxh3_64(instance.as_str().as_bytes())), ..Self::default() }
    }

    /// Decides whether a request with these traits may be sent to a target. `retry` says that it
    /// was sent before: after the first crash under a trait, the request that was there is the one
    /// that is tried again.
    pub fn admit(&mut self, traits: &[RequestTrait], retry: bool, now: Moment) -> CrashVerdict {
        let suspects: Vec<RequestTrait> =
            traits.iter().filter(|key| self.rows.contains_key(key)).copied().collect();
        let blocked_until = suspects
            .iter()
            .map(|key| &self.rows[key])
            .filter(|row| !retry || row.separate_crashes() >= CONVICTION_CRASHES)
            .map(|row| row.blocked_until)
            .max();
        if let Some(until) = blocked_until.filter(|until| now < *until) {
            return CrashVerdict::Blocked(until.since(now));
        }
        for key in suspects {
            if let Some(row) = self.rows.get_mut(&key) {
                row.blocked_until = row.blocked_until.max(now + TRIAL_TIME);
            }
        }
        CrashVerdict::Allowed
    }

    /// Records that a target crashed as it began the answer to a request with these traits. Returns
    /// the traits that are suspected of it.
    pub fn note_crash(
        &mut self,
        traits: &[RequestTrait],
        crash: &TargetCrash,
        now: Moment,
    ) -> Vec<RequestTrait> {
        let suspects: Vec<RequestTrait> =
            traits.iter().filter(|key| !self.is_cleared(key, now)).copied().collect();
        for key in &suspects {
            self.add_crash(*key, crash);
        }
        self.update_blocks();
        suspects
    }

    /// Merges the suspects of a peer, without those that are known to be sound. Returns those with a
    /// crash that was not known here.
    pub fn merge(&mut self, suspects: &[CrashSuspect], now: Moment) -> Vec<RequestTrait> {
        let mut learned = Vec::new();
        for suspect in suspects {
            if self.is_cleared(&suspect.key, now) {
                continue;
            }
            let mut is_new = false;
            for crash in &suspect.crashes {
                is_new |= self.add_crash(suspect.key, crash);
            }
            if is_new {
                learned.push(suspect.key);
            }
        }
        if !learned.is_empty() {
            self.update_blocks();
        }
        learned
    }

    /// Records that a run of a target reports again after its record was removed. It did not crash:
    /// what looked like it was a cut.
    pub fn withdraw(&mut self, target: &TargetId, run: u64, now: Moment) {
        let is_wrong = |crash: &TargetCrash| {
            crash.is_silent() && crash.target == *target && crash.run == Some(run)
        };
        if !self.rows.values().any(|row| row.crashes.iter().any(is_wrong)) {
            return;
        }
        if self.withdrawn.len() < MAX_SUSPECTS {
            self.withdrawn.insert((target.clone(), run), now);
        }
        for row in self.rows.values_mut().filter(|row| row.crashes.iter().any(is_wrong)) {
            row.crashes.retain(|crash| !is_wrong(crash));
            row.blocked_until = Moment::default();
        }
        self.rows.retain(|_, row| !row.crashes.is_empty());
        self.update_blocks();
    }

    /// Records that an answer to a request with these traits went well at `at`.
    pub fn note_survival(&mut self, traits: &[RequestTrait], at: Moment) {
        let mut changed = false;
        for key in traits {
            changed |= self.rows.remove(key).is_some();
            if self.cleared.len() < MAX_CLEARED || self.cleared.contains_key(key) {
                let seen = self.cleared.entry(*key).or_default();
                *seen = at.max(*seen);
            }
        }
        if changed {
            self.update_blocks();
        }
    }

    /// The time since an answer to a request with this trait went well, if that is recent.
    pub fn cleared_since(&self, key: &RequestTrait, now: Moment) -> Option<Duration> {
        let age = now.since(*self.cleared.get(key)?);
        (age < SURVIVAL_MEMORY).then_some(age)
    }

    fn is_cleared(&self, key: &RequestTrait, now: Moment) -> bool {
        self.cleared_since(key, now).is_some()
    }

    /// The suspected traits, those with the newest crashes first, at most `limit`.
    pub fn newest(&self, limit: usize) -> Vec<CrashSuspect> {
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by_key(|(_, row)| std::cmp::Reverse(row.last_crash()));
        rows.truncate(limit);
        self.suspects(rows.into_iter().map(|(key, _)| *key))
    }

    /// What is known about those of the given traits that are suspected.
    pub fn suspects(&self, keys: impl IntoIterator<Item = RequestTrait>) -> Vec<CrashSuspect> {
        let row = |key| Some(CrashSuspect { key, crashes: self.rows.get(&key)?.crashes.clone() });
        keys.into_iter().filter_map(row).collect()
    }

    /// Forgets suspicions whose last crash is too long ago to matter.
    pub fn expire(&mut self, now: Moment) {
        self.rows.retain(|_, row| now.since(row.last_crash()) < CONVICTION_TIME);
        self.cleared.retain(|_, at| now.since(*at) < SURVIVAL_MEMORY);
        self.withdrawn.retain(|_, at| now.since(*at) < WITHDRAWAL_MEMORY);
    }

    fn is_withdrawn(&self, crash: &TargetCrash) -> bool {
        let run = crash.run.filter(|_| crash.is_silent());
        run.is_some_and(|run| self.withdrawn.contains_key(&(crash.target.clone(), run)))
    }

    fn add_crash(&mut self, key: RequestTrait, crash: &TargetCrash) -> bool {
        if self.is_withdrawn(crash) {
            return false;
        }
        if self.rows.len() >= MAX_SUSPECTS && !self.rows.contains_key(&key) {
            self.drop_oldest();
        }
        self.rows.entry(key).or_default().add(crash)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, row)| row.last_crash()).map(|(key, _)| *key);
        if let Some(oldest) = oldest {
            self.rows.remove(&oldest);
        }
    }

    /// Extends the blocks of all traits by what their crashes say now.
    fn update_blocks(&mut self) {
        let blocks: Vec<(RequestTrait, Moment)> = self
            .rows
            .iter()
            .map(|(key, row)| (*key, row.last_crash() + self.block_time(key, row)))
            .collect();
        for (key, until) in blocks {
            if let Some(row) = self.rows.get_mut(&key) {
                row.blocked_until = row.blocked_until.max(until);
            }
        }
    }

    /// How long after its last crash a trait is blocked. A content that crashed targets twice is
    /// refused for long at once, since that affects repeats of one request alone.
    fn block_time(&self, key: &RequestTrait, row: &SuspectRow) -> Duration {
        if row.separate_crashes() < CONVICTION_CRASHES {
            return TRIAL_TIME;
        }
        let explained_by_other =
            || self.rows.iter().any(|(other, candidate)| other != key && row.is_within(candidate));
        if key.kind == TraitKind::Content || !explained_by_other() {
            CONVICTION_TIME
        } else {
            DOUBT_TIME + self.doubt_delay(key)
        }
    }

    /// How much longer than at the earliest this instance doubts a trait.
    fn doubt_delay(&self, key: &RequestTrait) -> Duration {
        let Some(seed) = self.seed else { return Duration::ZERO };
        let draw = xxh3_64_with_seed(&key.digest.0.to_le_bytes(), seed);
        DOUBT_SPREAD.mul_f64(draw as f64 / u64::MAX as f64)
    }
}
