//! What the daemon's tasks share, apart from the tasks: tables that import no driver.
//!
//! Drivers (store, peers, engines, callers) import tables through [`crate::state`] and never each
//! other's; tables import none of them, so that what is shared can be read on its own.

pub mod admission_queues;
pub mod claim_ledger;
pub mod fact_outbox;
pub mod fold_hub;
pub mod leaving_signs;
pub mod peer_links;
pub mod suspect_trials;
