//! Fetches events from processes and files: [`collect_events`].

use std::fs;
use std::net::SocketAddr;
use std::str::FromStr;

use futures::StreamExt;
use futures::stream;
use smol_str::SmolStr;
use thiserror::Error;

use crate::merge::ProcessEvent;
use banyan_http::client::CallError;
use banyan_http::client::JsonClient;
use banyan_wire::operator::EventsReply;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstancesReply;

/// Maximum number of processes queried concurrently.
const MAX_CONCURRENT_CALLS: usize = 32;

/// A process that records events, and the address that serves them.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessAddress {
    /// Name used in errors, and in the output if the reply contains no name.
    pub name: SmolStr,
    /// Address of its operator port.
    pub address: SocketAddr,
}

/// A `--process` value that is not of the form `NAME=IP:PORT`.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("invalid process '{0}': expected NAME=IP:PORT")]
pub struct ParseProcessError(SmolStr);

impl FromStr for ProcessAddress {
    type Err = ParseProcessError;

    fn from_str(text: &str) -> Result<Self, ParseProcessError> {
        let error = || ParseProcessError(SmolStr::new(text));
        let (name, address) = text.split_once('=').ok_or_else(error)?;
        let address = address.parse().map_err(|_| error())?;
        if name.is_empty() {
            return Err(error());
        }
        Ok(Self { name: SmolStr::new(name), address })
    }
}

/// A source whose events could not be fetched.
#[derive(Debug, Error)]
pub enum CollectError {
    /// The platform's instance list could not be fetched.
    #[error("cannot fetch the instance list: {0}")]
    InstanceList(CallError),
    /// The call to a process failed.
    #[error("cannot fetch the events of {process}: {reason}")]
    Process {
        /// Name of the process.
        process: SmolStr,
        /// Error of the call.
        reason: CallError,
    },
    /// A file could not be read or parsed.
    #[error("cannot read events from {file}: {reason}")]
    File {
        /// Path of the file.
        file: SmolStr,
        /// Read or parse error.
        reason: String,
    },
}

/// Sources to fetch events from.
#[derive(Clone, Debug, Default)]
pub struct EventSources {
    /// Address of the platform, whose instance list contains the entry instances.
    pub platform: Option<SocketAddr>,
    /// Processes to query in addition to those in the instance list.
    pub processes: Vec<ProcessAddress>,
    /// Files with saved events.
    pub files: Vec<String>,
}

/// The fetched events and the errors of the sources that failed.
#[derive(Debug, Default)]
pub struct CollectedEvents {
    /// Events by process; a file can contain several processes.
    pub replies: Vec<EventsReply>,
    /// One error for each source that failed.
    pub errors: Vec<CollectError>,
}

/// Fetches the events of all sources. A failing source does not affect the others.
pub async fn collect_events(client: &JsonClient, sources: &EventSources) -> CollectedEvents {
    let mut collected = CollectedEvents::default();
    let processes = list_processes(client, sources, &mut collected).await;
    let calls = processes.into_iter().map(|process| async move {
        let reply = client.get::<EventsReply>(process.address, "/operator/events").await;
        (process, reply)
    });
    let mut results: Vec<(ProcessAddress, Result<EventsReply, CallError>)> =
        stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS).collect().await;
    results.sort_by(|a, b| a.0.cmp(&b.0));
    for (process, result) in results {
        match result {
            Ok(reply) => collected.replies.push(with_process_name(reply, process.name)),
            Err(reason) => {
                let error = CollectError::Process { process: process.name, reason };
                collected.errors.push(error);
            }
        }
    }
    for file in &sources.files {
        match read_events_file(file) {
            Ok(replies) => collected.replies.extend(replies),
            Err(reason) => {
                collected.errors.push(CollectError::File { file: SmolStr::new(file), reason });
            }
        }
    }
    collected
}

async fn list_processes(
    client: &JsonClient,
    sources: &EventSources,
    collected: &mut CollectedEvents,
) -> Vec<ProcessAddress> {
    let mut processes = sources.processes.clone();
    let Some(platform) = sources.platform else { return processes };
    let list: InstancesReply = match client.get(platform, "/instances").await {
        Ok(list) => list,
        Err(error) => {
            collected.errors.push(CollectError::InstanceList(error));
            return processes;
        }
    };
    // Includes entries that are leaving: their events are lost once they stop.
    let entries = list.instances.into_iter().filter(|row| row.role == InstanceRole::Entry);
    for row in entries {
        let Some(address) = row.operator_address.and_then(|text| text.parse().ok()) else {
            continue;
        };
        if !processes.iter().any(|process| process.address == address) {
            processes.push(ProcessAddress { name: row.name, address });
        }
    }
    processes
}

/// Sets the process name of a reply to `name` if the reply contains none.
fn with_process_name(reply: EventsReply, name: SmolStr) -> EventsReply {
    if reply.process.is_empty() {
        return EventsReply { process: name, ..reply };
    }
    reply
}

/// Reads a saved reply of `/operator/events`, or lines that this program printed with `--json`.
fn read_events_file(file: &str) -> Result<Vec<EventsReply>, String> {
    let text = fs::read_to_string(file).map_err(|error| error.to_string())?;
    if let Ok(reply) = serde_json::from_str::<EventsReply>(&text) {
        return Ok(vec![reply]);
    }
    let mut replies: Vec<EventsReply> = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let row: ProcessEvent = serde_json::from_str(line).map_err(|error| {
            let line = index + 1;
            format!("line {line} is not an event ({error}); expected saved events or --json output")
        })?;
        match replies.iter_mut().find(|reply| reply.process == row.process) {
            Some(reply) => reply.events.push(row.event),
            None => {
                let ProcessEvent { process, event } = row;
                replies.push(EventsReply { process, dropped: 0, events: vec![event] });
            }
        }
    }
    Ok(replies)
}
