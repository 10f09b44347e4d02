//! Gets the events of processes and files: [`collect_events`].

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

/// The most processes that are asked at the same time.
const CALLS_AT_ONCE: usize = 32;

/// A process that keeps events, and where it gives them out.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessAddress {
    /// The process's name.
    pub name: SmolStr,
    /// Its operator address.
    pub address: SocketAddr,
}

/// A text that is no process.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("'{0}' is not a process: write NAME=IP:PORT")]
pub struct ProcessError(SmolStr);

impl FromStr for ProcessAddress {
    type Err = ProcessError;

    fn from_str(text: &str) -> Result<Self, ProcessError> {
        let error = || ProcessError(SmolStr::new(text));
        let (name, address) = text.split_once('=').ok_or_else(error)?;
        let address = address.parse().map_err(|_| error())?;
        if name.is_empty() {
            return Err(error());
        }
        Ok(Self { name: SmolStr::new(name), address })
    }
}

/// Why events of a source are missing.
#[derive(Debug, Error)]
pub enum CollectError {
    /// The platform's instance list cannot be read.
    #[error("the instance list is missing: {0}")]
    List(CallError),
    /// A process does not answer.
    #[error("the events of {process} are missing: {reason}")]
    Process {
        /// The process.
        process: SmolStr,
        /// What became of the call.
        reason: CallError,
    },
    /// A file cannot be read.
    #[error("the events in {file} are missing: {reason}")]
    File {
        /// The file.
        file: SmolStr,
        /// What is wrong with it.
        reason: String,
    },
}

/// Where to get events from.
#[derive(Clone, Debug, Default)]
pub struct EventSources {
    /// The platform, whose instance list names the entries.
    pub platform: Option<SocketAddr>,
    /// Processes beside those listed.
    pub processes: Vec<ProcessAddress>,
    /// Files with saved events.
    pub files: Vec<String>,
}

/// What could be got, and what could not.
#[derive(Debug, Default)]
pub struct CollectedEvents {
    /// The events of each process or file.
    pub replies: Vec<EventsReply>,
    /// What is missing.
    pub errors: Vec<CollectError>,
}

/// Gets the events of all sources; a source that fails does not keep the others away.
pub async fn collect_events(client: &JsonClient, sources: &EventSources) -> CollectedEvents {
    let mut collected = CollectedEvents::default();
    let processes = all_processes(client, sources, &mut collected).await;
    let calls = processes.into_iter().map(|process| async move {
        let reply = client.get::<EventsReply>(process.address, "/operator/events").await;
        (process, reply)
    });
    let mut answers: Vec<(ProcessAddress, Result<EventsReply, CallError>)> =
        stream::iter(calls).buffer_unordered(CALLS_AT_ONCE).collect().await;
    answers.sort_by(|a, b| a.0.cmp(&b.0));
    for (process, answer) in answers {
        match answer {
            Ok(reply) => collected.replies.push(named_reply(reply, process.name)),
            Err(reason) => {
                let error = CollectError::Process { process: process.name, reason };
                collected.errors.push(error);
            }
        }
    }
    for file in &sources.files {
        match read_file(file) {
            Ok(replies) => collected.replies.extend(replies),
            Err(reason) => {
                collected.errors.push(CollectError::File { file: SmolStr::new(file), reason });
            }
        }
    }
    collected
}

async fn all_processes(
    client: &JsonClient,
    sources: &EventSources,
    collected: &mut CollectedEvents,
) -> Vec<ProcessAddress> {
    let mut processes = sources.processes.clone();
    let Some(platform) = sources.platform else { return processes };
    let list: InstancesReply = match client.get(platform, "/instances").await {
        Ok(list) => list,
        Err(error) => {
            collected.errors.push(CollectError::List(error));
            return processes;
        }
    };
    // Leaving entries too: their events are the ones that are soon gone.
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

/// The reply under the process's own name, or under the given one where it does not say.
fn named_reply(reply: EventsReply, name: SmolStr) -> EventsReply {
    if reply.process.is_empty() {
        return EventsReply { process: name, ..reply };
    }
    reply
}

/// Events saved from a process's port, or lines that this program printed with `--json`.
fn read_file(file: &str) -> Result<Vec<EventsReply>, String> {
    let text = fs::read_to_string(file).map_err(|error| error.to_string())?;
    if let Ok(reply) = serde_json::from_str::<EventsReply>(&text) {
        return Ok(vec![reply]);
    }
    let mut replies: Vec<EventsReply> = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let row: ProcessEvent = serde_json::from_str(line).map_err(|error| {
            let line = index + 1;
            format!("line {line} is no event ({error}); give saved events or lines of --json")
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
