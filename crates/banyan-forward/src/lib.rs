//! The daemon that forwards whole requests: to engines that pass tokens on among themselves, and to
//! replicas of plain services.
//!
//! A caller's connection is served by [`front`]; [`serve`] finds a request's route, workspace and
//! time, and hands it as a [`routed_request`] to [`stream`] (which relays what [`opening`] got from a chain
//! of engines by a [`chain_attempt`]) or to [`call`] (one replica, whole answers). Both send through
//! [`exchange`] on connections of [`link`]. [`feeds`] follows the platform's configuration and list of targets, [`news`] passes on what one
//! instance has read there to others, [`membership`] keeps
//! the instance in the group, [`leadership`] orders layers onto engines where it leads, [`readiness`]
//! answers the balancer, and [`daemon`] starts and stops all of it. What the platform looks like stands
//! behind the traits of [`edges`]; what the tasks share is [`state`].

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
pub mod opening;
pub mod peers;
pub mod probes;
pub mod readiness;
pub mod routed_request;
pub mod serve;
pub mod settings;
pub mod state;
pub mod stream;
pub mod watched;
