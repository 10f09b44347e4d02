//! The folds over the log: the same entries in the same order give the same verdicts everywhere.
//!
//! [`ConfigurationFold`] decides which declarations are in force and which requests are in
//! quarantine; [`ClaimFold`] decides who may dispatch a call that runs at most once. Neither reads
//! a clock: time in a fold is the greatest time that the platform stamped on an entry so far.

mod claims;
mod configuration;

pub use claims::ClaimFold;
pub use claims::ClaimRow;
pub use claims::ClaimState;
pub use claims::ClaimVerdict;
pub use configuration::ConfigurationFold;
pub use configuration::FileRow;
pub use configuration::MergeFiles;
pub use configuration::ProposalVerdict;
