//! Naive counterparts of the product's decisions, and models to compare both.
//!
//! Only tests and `banyan-load` link this crate, so no product program can be configured to use a
//! naive decision.
//!
//! - [`choice`]: random, round-robin and least-load target selection.
//! - [`admission`]: first come, first served.
//! - [`faults`]: models of silent targets, outages and requests that crash targets.
//! - [`batch_model`]: a deterministic model of engines that batch steps.
//! - [`router`]: a complete naive entry that tests use to show how each guarantee can be violated.

pub mod admission;
pub mod batch_model;
pub mod choice;
pub mod draws;
pub mod faults;
pub mod fixtures;
pub mod router;
