//! Scheduling of requests over pipelines of engines.
//!
//! The daemon chooses the whole chain of engines once per request; the engines then forward each
//! token to the next engine themselves.
//!
//! - [`routes`]: which requests may be served, and by which service.
//! - [`fleet`]: the known targets and the layers that they hold.
//! - [`history`]: recent changes to the targets' records.
//! - [`log_position`]: how far those records were read.
//! - [`readers`]: which instance reads those records for others.
//! - [`model`]: the model and the accelerators.
//! - [`placement`]: which layers each engine should hold.
//! - [`order_queue`]: which orders are sent now, and which wait.
//! - [`engine_states`]: which orders need no state request before them.
//! - [`target_chain`]: engines that together run all layers.
//! - [`chain`]: which chain serves a request.
//! - [`prompt_order`]: how long prompts yield to short ones.
//! - [`reroute`]: how a running request moves off some of its engines.
//! - [`priority`]: how urgent a request is.
//! - [`reservation`]: how much room is kept free for more urgent requests.
//! - [`returning`]: which requests were refused before.
//! - [`group`]: which instances of a large fleet choose the leader among them.
//! - [`duties`]: which instances take on work for others.
//! - [`checkers`]: which instance checks a target for the others of its zone.
//! - [`suspicion`]: which targets are suspected of having failed.
//! - [`crashes`]: which requests crash targets.
//! - [`unanswered`]: which attempts ended without an answer, and whether their targets crashed.
//! - [`load`]: the load of each target.
//! - [`rejections`]: which targets rejected requests for lack of room.
//! - [`replica`]: which replica of an unpartitioned service is called.
//! - [`target_limits`]: how many requests limited targets still take.
//! - [`retries`]: whether a request may be retried.
//! - [`retry_after`]: when a refused caller should retry.

pub mod chain;
pub mod checkers;
pub mod crashes;
pub mod duties;
pub mod engine_states;
pub mod fleet;
pub mod group;
pub mod history;
mod layout;
pub mod load;
pub mod log_position;
pub mod model;
pub mod order_queue;
mod path;
pub mod placement;
pub mod placement_target;
pub mod priority;
pub mod prompt_order;
pub mod readers;
pub mod rejections;
mod removed_targets;
pub mod replica;
pub mod report_stamp;
pub mod reroute;
pub mod reservation;
pub mod retries;
pub mod retry_after;
pub mod returning;
pub mod routes;
mod search;
pub mod suspicion;
pub mod target_chain;
pub mod target_limits;
pub mod unanswered;
