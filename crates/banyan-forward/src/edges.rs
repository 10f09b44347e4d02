//! The edges at which the daemon meets a platform: [`WireFormat`] for the headers of callers and
//! targets, [`PlatformStore`] for what the platform keeps, [`EngineOrders`] for orders to engines.
//!
//! An adapter decodes names and formats into the types here and decides nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use smol_str::SmolStr;
use thiserror::Error;

use banyan_core::ids::FencingToken;
use banyan_core::ids::InstanceId;
use banyan_core::ids::LayerRange;
use banyan_core::ids::LogOffset;
use banyan_core::ids::TargetId;
use banyan_core::ids::WorkspaceId;
use banyan_core::pipeline::chain::ChainPart;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::units::TokenCount;

/// The id that a caller gave to one of its attempts.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestToken(pub SmolStr);

impl fmt::Display for RequestToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How many tokens a request is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenDemand {
    /// The tokens of the prompt.
    pub prompt: TokenCount,
    /// The most tokens of the answer.
    pub answer_limit: TokenCount,
    /// The caller's guess of the answer's length.
    pub answer_hint: Option<TokenCount>,
}

/// What the headers of a caller's request say.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// The attempt's id.
    pub token: RequestToken,
    /// How long the caller goes on waiting.
    pub time_left: Option<Duration>,
    /// The key that shows its workspace.
    pub key: Option<SmolStr>,
    /// The tokens of a model's request.
    pub demand: Option<TokenDemand>,
    /// The last event that the caller has of a stream that broke off.
    pub last_event: Option<u64>,
}

/// Why a caller's headers cannot be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RequestFault {
    /// A header that every request needs is missing.
    #[error("the header {0} is missing: send it with each request")]
    Missing(&'static str),
    /// A header's value has another form.
    #[error("the header {name} cannot be read: write {expected}")]
    Unreadable {
        /// The header.
        name: &'static str,
        /// The form that is expected.
        expected: &'static str,
    },
}

/// What a target is told beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// The target that must answer, and no other that may have its address.
    pub target: &'a TargetId,
    /// How long the answer is awaited.
    pub time_left: Duration,
    /// On whose behalf the request runs.
    pub workspace: Option<&'a WorkspaceId>,
    /// The chain that the request passes through; empty for plain services.
    pub chain: &'a [ChainPart],
    /// The last event that is known, where a stream goes on.
    pub last_event: Option<u64>,
    /// Whether it should be taken before others, since a caller has a part of the answer already.
    pub urgent: bool,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerFacts {
    /// The id of the request that it answers.
    pub token: Option<RequestToken>,
    /// Whether it bears the target's signature.
    pub signature: bool,
    /// Whether it states that the request has not run.
    pub not_run: bool,
    /// The target at fault, where another one than the sender is.
    pub at_fault: Option<SocketAddr>,
}

/// Reads and writes the headers that callers and targets use.
pub trait WireFormat: Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, RequestFault>;

    /// Turns a caller's headers into those that a target gets.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;
}

/// Why the platform's store gave nothing.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The records from the asked offset on are no longer kept: list everything anew.
    #[error("the records are no longer kept: list everything anew")]
    OffsetTrimmed,
    /// The store refused the call and did nothing.
    #[error("the store refused the call with {status}: try later")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No answer came; the call may have been carried out.
    #[error("the store did not answer ({cause}): try again")]
    NoAnswer {
        /// What was seen instead.
        cause: String,
    },
    /// The answer has another form than the adapter knows.
    #[error("the store's answer cannot be read ({cause}): compare its version with the adapter's")]
    Unreadable {
        /// What was wrong.
        cause: String,
    },
}

/// Everything of one feed at an offset.
#[derive(Clone, Debug)]
pub struct FeedListing<T> {
    /// The content.
    pub content: T,
    /// Where the changes after it begin.
    pub next: LogOffset,
}

/// The newest configuration record.
#[derive(Clone, Debug)]
pub struct ConfigurationRecord {
    /// What it says.
    pub table: Arc<RouteTable>,
    /// The record as the platform holds it, for peers that cannot reach the platform.
    pub bytes: Bytes,
}

/// This instance's place among the live instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Membership {
    /// Grows with each change of who belongs to the group.
    pub generation: u64,
    /// Whether this instance leads. Invariant: among the instances that were told so, the one with
    /// the highest generation is the leader.
    pub leads: bool,
}

/// What the platform keeps for all instances.
pub trait PlatformStore: Send + Sync + 'static {
    /// The configuration in force, if one was ever accepted.
    fn configuration(
        &self,
    ) -> impl Future<Output = Result<FeedListing<Option<ConfigurationRecord>>, StoreError>> + Send;

    /// Waits for configurations behind `from` and returns the newest one, or `None` if none came.
    fn configuration_after(
        &self,
        from: LogOffset,
    ) -> impl Future<Output = Result<FeedListing<Option<ConfigurationRecord>>, StoreError>> + Send;

    /// Reads a configuration record that a peer passed on.
    fn read_configuration(&self, bytes: Bytes) -> Result<ConfigurationRecord, StoreError>;

    /// All targets.
    fn fleet(
        &self,
    ) -> impl Future<Output = Result<FeedListing<BTreeMap<TargetId, TargetReport>>, StoreError>> + Send;

    /// The changes of targets behind `from`, without waiting.
    fn fleet_after(
        &self,
        from: LogOffset,
    ) -> impl Future<Output = Result<FeedListing<Vec<FleetChange>>, StoreError>> + Send;

    /// Joins the group of instances, or stays in it.
    fn keep_membership(
        &self,
        generation: u64,
    ) -> impl Future<Output = Result<Membership, StoreError>> + Send;

    /// Tells the other instances where this one answers them.
    fn announce(
        &self,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Where the instances answer each other, as they announced it.
    fn peers(
        &self,
    ) -> impl Future<Output = Result<BTreeMap<InstanceId, SocketAddr>, StoreError>> + Send;

    /// Leaves the group of instances.
    fn leave(&self) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// What an engine says of its orders and layers.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Whether an order is under way.
    pub busy: bool,
    /// The orders that it has begun since it started.
    pub accepted_orders: u64,
    /// The wall-clock millisecond of its start.
    pub born: Option<u64>,
    /// The layers that it holds.
    pub held: Vec<LayerRange>,
    /// How many times as long as usual its work takes.
    pub slowdown: f64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It was begun, or what it asks for holds already.
    Taken,
    /// The engine's state does not fit it, or has changed since it was read.
    Conflict,
    /// Another instance has used a higher fencing token.
    Fenced,
    /// It was refused for another reason.
    Refused(u16),
}

/// Why nothing is known of an order or an engine's state.
#[derive(Clone, Debug, Error)]
pub enum OrderError {
    /// The engine's host refused the connection.
    #[error("no engine runs there: the order was not given")]
    Absent,
    /// No answer came.
    #[error("the engine did not answer ({cause}): an order may still be carried out later")]
    NoAnswer {
        /// What was seen instead.
        cause: String,
    },
}

/// What an engine answers within a time, where nothing in time counts as no answer.
pub async fn with_time_limit<T>(
    limit: Duration,
    answer: impl Future<Output = Result<T, OrderError>>,
) -> Result<T, OrderError> {
    tokio::time::timeout(limit, answer).await.unwrap_or_else(|_| {
        Err(OrderError::NoAnswer { cause: format!("no answer within {limit:?}") })
    })
}

/// An order to hold just some layers.
#[derive(Clone, Debug)]
pub struct LayerOrder<'a> {
    /// The engine.
    pub target: &'a TargetId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The layers that it should hold.
    pub range: LayerRange,
    /// The number by which engines refuse an earlier leader.
    pub fence: FencingToken,
    /// The orders that the engine must have begun so far.
    pub expected: u64,
}

/// Orders to engines.
pub trait EngineOrders: Send + Sync + 'static {
    /// Reads an engine's state.
    fn engine_state(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineState, OrderError>> + Send;

    /// Orders an engine to hold just some layers.
    fn place(
        &self,
        order: &LayerOrder<'_>,
    ) -> impl Future<Output = Result<OrderOutcome, OrderError>> + Send;

    /// Orders the first engine of a running request to go on with it on another chain, which begins
    /// with the same part.
    fn reroute(
        &self,
        token: &RequestToken,
        chain: &[ChainPart],
    ) -> impl Future<Output = Result<OrderOutcome, OrderError>> + Send;
}

/// A platform at all its edges.
pub trait Platform: WireFormat + PlatformStore + EngineOrders {}

impl<T: WireFormat + PlatformStore + EngineOrders> Platform for T {}
