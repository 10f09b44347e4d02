//! The forwarding daemon. It forwards whole requests to chains of inference engines, which pass
//! tokens to each other, and to replicas of plain services.
//!
//! - Requests: [`front`] serves the connections of callers. [`serve`] determines the route,
//!   workspace and deadline of a request and passes it as a [`routed_request`] to [`stream`] or
//!   [`call`]. [`stream`] relays the events of a chain of engines, which [`stream_opener`] starts
//!   with a [`chain_attempt`]. [`call`] sends a request to one replica and relays the whole answer.
//!   Both use [`exchange`] on connections from [`link`].
//! - Shared data: [`feeds`] follows the platform's configuration and list of targets. [`news`]
//!   passes what one instance has read there to other instances. [`peers`] exchanges [`digests`]
//!   with them.
//! - Coordination: [`membership`] keeps the instance in the group. [`leadership`] assigns layers to
//!   engines while the instance is the leader.
//! - Lifecycle: [`readiness`] answers the load balancer. [`daemon`] starts and stops all tasks.
//!
//! The platform is accessed through the traits of [`edges`]. The tasks share [`state`].

pub mod answer;
pub mod call;
pub mod chain_attempt;
pub mod daemon;
pub mod digests;
pub mod edges;
pub mod events;
pub mod exchange;
pub mod feeds;
pub mod front;
pub mod leadership;
pub mod leases;
pub mod link;
pub mod log_budget;
pub mod logs;
pub mod membership;
pub mod metric;
pub mod news;
pub mod peers;
pub mod probes;
pub mod readiness;
pub mod routed_request;
pub mod serve;
pub mod settings;
pub mod state;
pub mod stream;
pub mod stream_opener;
pub mod watched;
