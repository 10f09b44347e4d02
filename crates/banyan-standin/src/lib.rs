//! Small stand-ins for what stands around the system: the platform, model engines and services.
//!
//! Each speaks the protocol that the wire crate documents. [`platform`], [`engine`] and [`service`]
//! start one in this process; the program `banyan-standin` starts one as a process. [`fault`] lists
//! the faults that `POST /control` takes, [`truth`] what `GET /truth` answers: what really ran.
//! [`reference`](mod@reference) gives the right answer of the modelled engines without running any.

pub mod announce;
pub mod client;
pub mod engine;
pub mod fault;
pub mod gate;
pub mod platform;
pub mod reference;
pub mod server;
pub mod service;
pub mod truth;
