//! What really ran, as `GET /truth` answers it.
//!
//! [`EngineTruth`], [`ServiceTruth`] and [`PlatformTruth`] outlive every fault of a stand-in that
//! runs inside a test; a process writes its runs to a file where it is given one.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use banyan_wire::engine::EngineOrder;
use banyan_wire::engine::StepId;

/// What an engine ran, in order.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineTruth {
    /// The engine's name.
    pub name: SmolStr,
    /// Its present run.
    pub incarnation: SmolStr,
    /// The runs of steps, in order.
    pub runs: Vec<RunRow>,
    /// The requests that were in the batch of each crash.
    pub crashes: Vec<CrashRow>,
    /// The orders that were taken, in order.
    pub orders: Vec<EngineOrder>,
}

/// One run of an engine's layers on one token of one lineage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRow {
    /// The step. In a rebuild, one row for each token that was run again.
    pub step: StepId,
    /// The first layer run.
    pub first_layer: u32,
    /// The layer behind the last one run.
    pub end_layer: u32,
    /// Why it ran.
    pub kind: RunKind,
    /// Prompt tokens that were read.
    #[serde(default)]
    pub read: u32,
    /// Prompt tokens that the prefix cache held and that were not read.
    #[serde(default)]
    pub cached: u32,
    /// The engine's run.
    pub incarnation: SmolStr,
    /// When, in milliseconds of the Unix epoch.
    pub at_ms: u64,
}

/// Why an engine ran its layers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunKind {
    /// To make an output that goes on to the next stage.
    Step,
    /// To rebuild a cache; the output was dropped.
    Rebuild,
}

/// One crash of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRow {
    /// The engine's run that ended.
    pub incarnation: SmolStr,
    /// The requests in its batch.
    pub requests: Vec<SmolStr>,
}

/// What a service ran, in order.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ServiceTruth {
    /// The service replica's name.
    pub name: SmolStr,
    /// The runs.
    pub runs: Vec<CallRow>,
}

/// One run of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRow {
    /// The call.
    pub call: SmolStr,
    /// The idempotency key that came with it, if any.
    pub key: Option<SmolStr>,
    /// The request id that came with it, if any.
    pub request: Option<SmolStr>,
    /// The body.
    pub body: String,
    /// When, in milliseconds of the Unix epoch.
    pub at_ms: u64,
}

/// What the platform took.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlatformTruth {
    /// All appends, also those that are no longer kept.
    pub appends: Vec<AppendRow>,
    /// Appends that were refused for the rate limit.
    pub throttled: u64,
}

/// One append that took effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendRow {
    /// The stream.
    pub stream: SmolStr,
    /// The offset it got.
    pub offset: u64,
    /// When, in milliseconds of the Unix epoch.
    pub at_ms: u64,
    /// The body.
    pub body: String,
}

/// The wall clock, in milliseconds of the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
