//! Naive counterparts of the decisions, and a small model of engines to compare them in.
//!
//! Only tests and `banyan-load` link this crate, so that no product program can be set to a naive
//! decision. [`choice`] holds round robin and its kin, [`admission`] first come, first served, [`faults`] models of faults, and
//! [`batch_model`] is a deterministic model of engines that batch steps.
//! [`router`] is a whole naive entry, against which each point that must hold is shown to break.

pub mod admission;
pub mod batch_model;
pub mod choice;
pub mod draws;
pub mod faults;
pub mod fixtures;
pub mod router;
