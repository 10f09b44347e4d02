//! Decisions about requests that engines pass along among themselves.
//!
//! The daemon names the whole chain of engines once; the engines hand each token on. [`routes`] says
//! which requests may be served and how, [`fleet`] which targets exist and what they hold,
//! [`placement`] which layers each engine should hold, [`chain`] which engines serve a request,
//! [`reroute`] how a running request leaves some of them, [`suspicion`] which of them are doubted,
//! [`load`] what they carry, [`history`] what their records said lately, [`readers`] which instance
//! reads them for others, [`replica`] which replica of a plain service is called, [`retries`]
//! whether a request may be sent once more, and [`retry_after`] when a refused caller should return.
//! [`model`] describes the model and the accelerators.

pub mod chain;
pub mod fleet;
pub mod history;
mod layout;
pub mod load;
pub mod model;
mod path;
pub mod placement;
pub mod readers;
pub mod replica;
pub mod reroute;
pub mod retries;
pub mod retry_after;
pub mod routes;
mod search;
pub mod suspicion;
