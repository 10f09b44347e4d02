//! The state that the daemon's tasks share.
//!
//! Drivers (store, peers, engines, callers) reach the values of these tables through
//! [`EntryState`](crate::state::EntryState). Tables import no driver, so that the shared state can be read on its own.

pub mod admission_queues;
pub mod claim_ledger;
pub mod fact_outbox;
pub mod fold_hub;
pub mod leaving_signs;
pub mod peer_links;
pub mod suspect_trials;
