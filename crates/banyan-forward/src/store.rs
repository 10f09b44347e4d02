//! The platform's store: [`feeds`] follows its records, [`membership`] keeps the instance in the
//! group.

pub mod feeds;
pub mod membership;
