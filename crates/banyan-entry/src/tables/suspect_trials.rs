//! The trials of suspects that this instance referees: [`TrialTable`].

use std::collections::BTreeMap;
use std::time::Duration;

use banyan_core::ids::TargetId;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;

/// How long a trial holds its target when its end is not told.
const TRIAL_LIFE: Duration = Duration::from_secs(3);
/// The most trials that a referee keeps.
const TRIAL_LIMIT: usize = 4096;

/// The trials that this instance referees.
#[derive(Clone, Debug, Default)]
pub struct TrialTable {
    /// For each target the suspect that may run there, and until when. Invariant: at most
    /// `TRIAL_LIMIT` rows.
    rows: BTreeMap<TargetId, (ContentDigest, Moment)>,
}

impl TrialTable {
    /// Gives a target to a suspect, unless another one has it.
    pub fn begin(&mut self, target: TargetId, content: ContentDigest, now: Moment) -> bool {
        self.rows.retain(|_, (_, until)| *until > now);
        let taken = self.rows.get(&target).is_some_and(|(other, _)| *other != content);
        if taken || self.rows.len() >= TRIAL_LIMIT {
            return false;
        }
        self.rows.insert(target, (content, now + TRIAL_LIFE));
        true
    }

    /// Takes a target back from a suspect.
    pub fn end(&mut self, target: &TargetId, content: ContentDigest) {
        if self.rows.get(target).is_some_and(|(holder, _)| *holder == content) {
            self.rows.remove(target);
        }
    }
}
