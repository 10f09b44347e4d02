//! The decisions of banyanrock, without input, output or a clock of their own.
//!
//! Entities stand in tables; systems are plain functions that run over the tables, either on an
//! input or once each tick, and return the actions that the shell carries out. The shell of the
//! entry daemon, the differential tests and the measurements all drive the same functions.
//!
//! Read in the order of the data: [`ids`] and [`units`] name things, [`declaration`] is what the
//! operators want, [`record`] is what stands in the platform's log, [`fold`] turns records into
//! verdicts that are the same on every instance, [`serving`] decides about requests whose steps the
//! daemon carries itself, and [`pipeline`] about requests that engines pass along among themselves.

pub mod declaration;
pub mod event;
pub mod fold;
pub mod ids;
pub mod pipeline;
pub mod record;
pub mod rendezvous;
pub mod serving;
pub mod units;
