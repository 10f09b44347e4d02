//! Folds over the log: every instance that folds the same entries reaches the same verdicts.
//!
//! [`ConfigurationFold`] decides which declarations are in force and which requests are in
//! quarantine. [`ClaimFold`] decides which instance may dispatch an at-most-once call. Neither
//! reads a clock: a fold's time is the greatest platform timestamp among the entries folded so far.

mod checkpoint;
mod claims;
mod configuration;
mod expiry;
mod keys;
mod step;

pub use checkpoint::CheckpointId;
pub use checkpoint::CheckpointInputs;
pub use checkpoint::CheckpointPolicy;
pub use checkpoint::CheckpointRow;
pub use checkpoint::CheckpointTable;
pub use checkpoint::StartChoice;
pub use checkpoint::StartError;
pub use checkpoint::checkpoint_facts;
pub use checkpoint::choose_start;
pub use checkpoint::is_checkpoint_due;
pub use claims::ClaimFold;
pub use claims::ClaimRow;
pub use claims::ClaimSnapshot;
pub use claims::ClaimState;
pub use claims::ClaimVerdict;
pub use configuration::ConfigurationFold;
pub use configuration::ConfigurationSnapshot;
pub use configuration::FileRow;
pub use configuration::MergeFiles;
pub use configuration::ProposalVerdict;
pub use configuration::RestoreError;
pub use keys::KEY_WINDOW_MS;
pub use keys::KeyFreshness;
pub use keys::key_freshness;
pub use keys::key_issued;
pub use step::FoldStep;
