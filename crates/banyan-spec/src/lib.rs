//! Small specifications of the core protocols, searched exhaustively within stated bounds.
//!
//! Each is written apart from the implementation, with state types of its own, and comes with
//! mutants: the same specification with one rule removed. A specification says something only if
//! the search finds a counterexample for each of its mutants. [`catalogue`] lists them all.

pub mod catalogue;
pub mod claims;
pub mod claims_fold;
pub mod configuration;
pub mod leases;
pub mod search;
