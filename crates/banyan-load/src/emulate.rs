//! Deployments in virtual time: [`patterns::run_pattern`] plays a load pattern against the product's decisions.
//!
//! [`fleet_file`] describes the engines and the traffic, [`engines`] models what engines do with memory,
//! prompts and steps, [`instances`] holds the product's decision code as each instance runs it, and
//! [`world`] moves all of them on, a millisecond at a time. The same file, pattern and seed give the
//! same figures.

pub mod decisions;
pub mod engines;
pub mod fleet_file;
pub mod instances;
pub mod long_prompts;
pub mod patterns;
pub mod report;
pub mod world;
