//! The platform's store: [`feeds`] follows its records, [`configuration_record`] holds the newest
//! configuration, [`membership`] keeps the instance in the group, [`backlog`] reads what was written
//! before, [`eras`] recognises a store that has come back from a copy, [`call_outcomes`] records which
//! calls fail.

pub mod backlog;
pub mod call_outcomes;
pub mod configuration_record;
pub mod eras;
pub mod feeds;
pub mod membership;
