//! The callers' side: [`front`] serves connections, [`serve`] reads and routes requests.

pub mod answer;
pub mod front;
pub mod readiness;
pub mod routed_request;
pub mod serve;
pub mod watched;
