//! Selects events by request, target, process and kind: [`EventFilter`].

use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::merge::MergedTimeline;
use crate::merge::ProcessEvent;

/// Selects the events to show. An empty set accepts every event. An event is shown only if all sets
/// accept it.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Accepted request ids.
    pub requests: BTreeSet<SmolStr>,
    /// Accepted target names.
    pub targets: BTreeSet<SmolStr>,
    /// Accepted process names.
    pub instances: BTreeSet<SmolStr>,
    /// Accepted event kinds, as text.
    pub kinds: BTreeSet<SmolStr>,
    /// Shows at most this many of the newest events; `None` shows all.
    pub last: Option<usize>,
}

/// Removes the events that the filter rejects, then all but the newest `last`.
pub fn apply_filter(timeline: &mut MergedTimeline, filter: &EventFilter) {
    timeline.events.retain(|(_, event)| matches_filter(event, filter));
    if let Some(last) = filter.last {
        let excess = timeline.events.len().saturating_sub(last);
        timeline.events.drain(..excess);
    }
}

fn matches_filter(row: &ProcessEvent, filter: &EventFilter) -> bool {
    let accepts = |set: &BTreeSet<SmolStr>, value: &SmolStr| set.is_empty() || set.contains(value);
    accepts(&filter.requests, &row.event.request)
        && accepts(&filter.targets, &row.event.target)
        && accepts(&filter.instances, &row.process)
        && accepts(&filter.kinds, &row.event.kind)
}
