//! Which requests crash targets: [`SuspectTable`].
//!
//! When a target crashes, every content in flight there becomes a suspect. A suspect runs on at
//! most one target at a time, and a target runs at most one suspect, so a second crash names the
//! culprit: the content that was in flight at two crashes is convicted and refused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::ids::TargetId;
use crate::record::ContentDigest;

/// Crashes of different target runs that convict a content.
const CONVICTING_CRASHES: usize = 2;

/// The contents under suspicion.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// For each suspect the target runs that crashed while it was in flight there.
    pub rows: BTreeMap<ContentDigest, BTreeSet<(TargetId, SmolStr)>>,
    /// Suspects running now, with their target.
    pub probation: BTreeMap<ContentDigest, TargetId>,
}

impl SuspectTable {
    /// Notes a crash of one run of a target with these contents in flight; gives those convicted.
    pub fn note_crash(
        &mut self,
        target: &TargetId,
        incarnation: &SmolStr,
        contents: &BTreeSet<ContentDigest>,
    ) -> Vec<ContentDigest> {
        let mut convicted = Vec::new();
        for content in contents {
            let crashes = self.rows.entry(*content).or_default();
            crashes.insert((target.clone(), incarnation.clone()));
            if crashes.len() >= CONVICTING_CRASHES {
                convicted.push(*content);
            }
        }
        convicted
    }

    /// Whether a content is a suspect.
    pub fn is_suspect(&self, content: ContentDigest) -> bool {
        self.rows.contains_key(&content)
    }

    /// The targets that a suspect may not be sent to, because each has another one.
    pub fn occupied(&self, content: ContentDigest) -> BTreeSet<TargetId> {
        let others = self.probation.iter().filter(|(other, _)| **other != content);
        others.map(|(_, target)| target.clone()).collect()
    }

    /// Clears a content that was served whole.
    pub fn clear(&mut self, content: ContentDigest) {
        self.rows.remove(&content);
        self.probation.remove(&content);
    }
}
