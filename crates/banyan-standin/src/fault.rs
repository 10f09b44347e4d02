//! The faults that `POST /control` takes, as JSON: one enum for each stand-in.
//!
//! Faults of connections and of the whole process are the same for all: [`ConnectionFault`].

use serde::Deserialize;
use serde::Serialize;

/// Faults of connections and of the process as a whole.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConnectionFault {
    /// Stops at once: a process exits; in a test, connections break and new ones are refused.
    Kill,
    /// Ends [`ConnectionFault::Kill`] in a test: listens again, with nothing left in memory.
    Restart,
    /// Stands still: nothing is read, run or answered.
    Freeze,
    /// Ends [`ConnectionFault::Freeze`].
    Thaw,
    /// Breaks all connections and every new one.
    Cut,
    /// Ends [`ConnectionFault::Cut`].
    Restore,
    /// The connections that are open now go silent for good; new ones work.
    Silence,
}

/// How an answer is lost.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LossKind {
    /// The connection breaks in its place.
    Cut,
    /// It never comes; the connection stays open.
    Silent,
}

/// Faults of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineFault {
    /// A fault of connections or of the process.
    Connection(ConnectionFault),
    /// Batches take this share of their usual time, in percent.
    Slow {
        /// The share; 100 is the usual time.
        percent: u32,
    },
    /// The link has this speed.
    Link {
        /// The speed; zero takes no time.
        bytes_per_second: u64,
    },
    /// The next answers are lost after their steps ran.
    LoseAnswers {
        /// How many.
        count: u32,
        /// How.
        how: LossKind,
    },
    /// The next answers are given twice.
    DuplicateAnswers {
        /// How many.
        count: u32,
    },
    /// Before each of the next answers comes one that belongs to another step.
    CrossAnswers {
        /// How many.
        count: u32,
    },
    /// Every so many cache events, one is lost.
    CacheGaps {
        /// One of this many; zero loses none.
        every: u64,
    },
    /// Each of these prompts crashes the engine while it runs.
    Poison {
        /// The prompts.
        prompts: Vec<String>,
    },
    /// The engine says that it is leaving, and takes no new lineage.
    Leaving {
        /// Whether it is.
        leaving: bool,
    },
}

/// Faults of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceFault {
    /// A fault of connections or of the process.
    Connection(ConnectionFault),
    /// Calls take this share of their usual time, in percent.
    Slow {
        /// The share; 100 is the usual time.
        percent: u32,
    },
    /// The next answers are lost after their calls ran.
    LoseAnswers {
        /// How many.
        count: u32,
        /// How.
        how: LossKind,
    },
    /// The next answers have another status than the service gave.
    AnswerStatus {
        /// How many.
        count: u32,
        /// The status, from 100 to 999.
        status: u16,
    },
    /// The next calls fail with status 500 without running.
    Fail {
        /// How many.
        count: u32,
    },
    /// The service says that it is leaving.
    Leaving {
        /// Whether it is.
        leaving: bool,
    },
}

/// Faults of the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformFault {
    /// A fault of connections or of the process.
    Connection(ConnectionFault),
    /// Every call takes this much longer.
    Slow {
        /// The time, in milliseconds.
        delay_ms: u64,
    },
    /// The answers of the next appends are lost after they took effect.
    LoseAnswers {
        /// How many.
        count: u32,
        /// How.
        how: LossKind,
    },
    /// The next appends are answered with status 503 and take effect later.
    LateAppends {
        /// How many.
        count: u32,
        /// How much later, in milliseconds.
        delay_ms: u64,
    },
    /// The log is out: status 503.
    Outage {
        /// For reads.
        reads: bool,
        /// For appends.
        appends: bool,
    },
    /// The instance list is as of this long ago.
    InstanceLag {
        /// The time, in milliseconds.
        lag_ms: u64,
    },
    /// The instance list is out: status 503.
    InstanceOutage {
        /// Whether it is.
        out: bool,
    },
    /// The entries of a stream below an offset are forgotten.
    Trim {
        /// The stream.
        stream: String,
        /// The oldest offset kept.
        first: u64,
    },
    /// The most appends a second.
    AppendRate {
        /// The rate.
        per_second: u32,
    },
}
