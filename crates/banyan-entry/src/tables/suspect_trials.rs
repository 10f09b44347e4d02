//! The trials of suspected content that this instance coordinates: [`TrialTable`].

use std::collections::BTreeMap;
use std::time::Duration;

use banyan_core::ids::TargetId;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;

/// How long a trial reserves its target if its end is not reported to the coordinator.
const TRIAL_TTL: Duration = Duration::from_secs(3);
/// The maximum number of trials that a coordinator keeps.
const TRIAL_LIMIT: usize = 4096;

/// The trials that this instance coordinates.
#[derive(Clone, Debug, Default)]
pub struct TrialTable {
    /// The suspect that may run on each target, and until when. Invariant: at most `TRIAL_LIMIT`
    /// rows.
    rows: BTreeMap<TargetId, (ContentDigest, Moment)>,
}

impl TrialTable {
    /// Reserves a target for a suspect, unless another suspect has reserved it.
    pub fn begin(&mut self, target: TargetId, content: ContentDigest, now: Moment) -> bool {
        self.rows.retain(|_, (_, until)| *until > now);
        let reserved = self.rows.get(&target).is_some_and(|(other, _)| *other != content);
        if reserved || self.rows.len() >= TRIAL_LIMIT {
            return false;
        }
        self.rows.insert(target, (content, now + TRIAL_TTL));
        true
    }

    /// Ends a suspect's reservation of a target.
    pub fn end(&mut self, target: &TargetId, content: ContentDigest) {
        if self.rows.get(target).is_some_and(|(holder, _)| *holder == content) {
            self.rows.remove(target);
        }
    }
}
