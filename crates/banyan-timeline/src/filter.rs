//! Picks events: [`EventFilter`].

use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::merge::MergedTimeline;
use crate::merge::ProcessEvent;

/// What to show. An empty set lets everything through; several sets must all let an event through.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Requests.
    pub requests: BTreeSet<SmolStr>,
    /// Targets.
    pub targets: BTreeSet<SmolStr>,
    /// Processes.
    pub instances: BTreeSet<SmolStr>,
    /// Kinds of events.
    pub kinds: BTreeSet<SmolStr>,
    /// The most events to show, the newest ones; `None` shows all.
    pub last: Option<usize>,
}

/// Leaves only what the filter lets through.
pub fn apply_filter(timeline: &mut MergedTimeline, filter: &EventFilter) {
    timeline.events.retain(|(_, event)| is_wanted(event, filter));
    if let Some(last) = filter.last {
        let surplus = timeline.events.len().saturating_sub(last);
        timeline.events.drain(..surplus);
    }
}

fn is_wanted(row: &ProcessEvent, filter: &EventFilter) -> bool {
    let passes = |set: &BTreeSet<SmolStr>, value: &SmolStr| set.is_empty() || set.contains(value);
    passes(&filter.requests, &row.event.request)
        && passes(&filter.targets, &row.event.target)
        && passes(&filter.instances, &row.process)
        && passes(&filter.kinds, &row.event.kind)
}
