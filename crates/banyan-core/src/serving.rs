//! Request scheduling: tables of entities and the systems that run over them.
//!
//! The path of a request: [`admission`] admits, queues or refuses it; [`choice`] selects the chain
//! of targets or the replica; [`budget`] allows or denies each retry; [`health`] tracks which
//! targets are trusted; [`poison`] finds the requests that crash targets. [`targets`] holds the
//! table that all of them share. [`decisions`] groups the functions that have naive counterparts.

pub mod admission;
pub mod admission_request;
pub mod budget;
pub mod capacity;
pub mod chain_query;
pub mod choice;
pub mod decisions;
pub mod estimate;
pub mod exchange;
pub mod groups;
pub mod health;
pub mod limits;
pub mod load;
pub mod poison;
pub mod prefix;
pub mod price;
pub mod ring;
pub mod subset;
pub mod targets;
pub mod waiting;
