//! The decision logic of banyanrock. It does no I/O and reads no clock.
//!
//! State is kept in tables. Plain functions run over the tables, on each input or once per tick,
//! and return the actions that the caller executes. The entry daemon, the differential tests and
//! the benchmarks call the same functions.
//!
//! The modules in the order of the data flow: [`ids`] and [`units`] define the basic types,
//! [`declaration`] the configuration of the operators, and [`record`] the contents of the
//! platform's log. [`fold`] turns records into verdicts that are the same on every instance.
//! [`serving`] decides about requests whose steps the daemon forwards itself, [`pipeline`] about
//! requests that engines forward to each other. [`caller_memory`] bounds what both hold for
//! callers.

pub mod caller_memory;
pub mod declaration;
pub mod event;
pub mod fold;
pub mod ids;
pub mod machine;
pub mod pipeline;
pub mod record;
pub mod rendezvous;
pub mod serving;
pub mod units;
