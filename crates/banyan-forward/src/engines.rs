//! The targets' side: [`stream`] relays the events of a chain of engines, which [`stream_opener`]
//! starts with a [`chain_attempt`] after waiting for room in [`queueing`], and [`call`] relays the
//! answer of one replica. Both use [`exchange`] on connections from [`link`], and to recognise
//! requests that crash targets [`crash_watch`] if a connection was lost, [`attempt_watch`] if there
//! was no answer.

pub mod attempt_watch;
pub mod call;
pub mod chain_attempt;
pub mod checks;
pub mod crash_watch;
pub mod events;
pub mod exchange;
pub mod leases;
pub mod leaving;
pub mod link;
pub mod probes;
pub mod queueing;
pub mod stream;
pub mod stream_opener;
