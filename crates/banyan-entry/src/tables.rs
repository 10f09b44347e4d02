//! The state that the daemon's tasks share.
//!
//! Drivers (store, peers, engines, callers) import these tables through [`crate::state`] and never
//! import each other's. Tables import no driver, so that the shared state can be read on its own.

pub mod admission_queues;
pub mod claim_ledger;
pub mod fact_outbox;
pub mod fold_hub;
pub mod leaving_signs;
pub mod peer_links;
pub mod suspect_trials;
