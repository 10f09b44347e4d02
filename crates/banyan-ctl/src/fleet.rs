//! Finds the entries and asks them: [`EntryFleet`].

use std::net::SocketAddr;

use futures::StreamExt;
use futures::stream;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::CtlError;
use banyan_http::client::CallError;
use banyan_http::client::JsonClient;
use banyan_wire::operator::InForceReply;
use banyan_wire::operator::RevisionReply;
use banyan_wire::operator::StatusReply;
use banyan_wire::operator::VerdictReply;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstancesReply;

/// The most entries that are asked at the same time.
const CALLS_AT_ONCE: usize = 32;

/// An entry and where its read-back port is.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryAddress {
    /// The instance's name, or the address where the name is not known.
    pub name: SmolStr,
    /// Its read-back port.
    pub address: SocketAddr,
}

/// The entries that were found.
#[derive(Debug)]
pub struct FoundEntries {
    /// The entries.
    pub entries: Vec<EntryAddress>,
    /// Why the instance list could not be read, so that entries may be missing.
    pub list_fault: Option<CallError>,
}

/// An entry's answer to a call.
#[derive(Debug)]
pub struct EntryAnswer<T> {
    /// Who was asked.
    pub entry: EntryAddress,
    /// What became of the call.
    pub result: Result<T, CallError>,
}

/// The entries, as the platform's instance list and the command line name them.
#[derive(Clone, Debug)]
pub struct EntryFleet {
    client: JsonClient,
    platform: Option<SocketAddr>,
    given: Vec<SocketAddr>,
}

impl EntryFleet {
    /// The entries that the platform lists, and those given by address.
    pub fn new(client: JsonClient, platform: Option<SocketAddr>, given: Vec<SocketAddr>) -> Self {
        Self { client, platform, given }
    }

    /// Whether there is anything to find entries by.
    pub fn is_given(&self) -> bool {
        self.platform.is_some() || !self.given.is_empty()
    }

    /// The live entries as of now.
    ///
    /// A list that cannot be read is an error only where no entry is given by address.
    pub async fn find(&self) -> Result<FoundEntries, CtlError> {
        if !self.is_given() {
            return Err(CtlError::NoEntryGiven);
        }
        let mut found = match self.listed().await {
            Ok(entries) => FoundEntries { entries, list_fault: None },
            Err(error) if self.given.is_empty() => return Err(error.into()),
            Err(error) => FoundEntries { entries: Vec::new(), list_fault: Some(error) },
        };
        for address in &self.given {
            if !found.entries.iter().any(|entry| entry.address == *address) {
                let name = format_smolstr!("{address}");
                found.entries.push(EntryAddress { name, address: *address });
            }
        }
        match self.platform {
            Some(platform) if found.entries.is_empty() => {
                Err(CtlError::NoEntryListed { platform: format_smolstr!("{platform}") })
            }
            _ => Ok(found),
        }
    }

    async fn listed(&self) -> Result<Vec<EntryAddress>, CallError> {
        let Some(platform) = self.platform else { return Ok(Vec::new()) };
        let list: InstancesReply = self.client.get(platform, "/instances").await?;
        let live = list
            .instances
            .into_iter()
            .filter(|row| row.role == InstanceRole::Entry && row.state == InstanceState::Live);
        let entries = live.filter_map(|row| {
            let address = row.operator_address?.parse().ok()?;
            Some(EntryAddress { name: row.name, address })
        });
        Ok(entries.collect())
    }

    /// What each of these entries is and sees.
    pub async fn statuses(&self, entries: Vec<EntryAddress>) -> Vec<EntryAnswer<StatusReply>> {
        self.ask_all(entries, "/operator/status").await
    }

    /// The revision that each of these entries has in force.
    pub async fn revisions(&self, entries: Vec<EntryAddress>) -> Vec<EntryAnswer<RevisionReply>> {
        self.ask_all(entries, "/operator/revision").await
    }

    /// The newest configuration that any of the entries has in force.
    ///
    /// Only one entry is asked for the texts, since these are long and the entries may be many.
    pub async fn newest_in_force(
        &self,
        entries: Vec<EntryAddress>,
    ) -> Result<InForceReply, CtlError> {
        let count = entries.len();
        let mut newest: Option<(u64, EntryAddress)> = None;
        let mut last = SmolStr::default();
        for answer in self.revisions(entries).await {
            match answer.result {
                Ok(reply) if newest.as_ref().is_none_or(|(old, _)| *old < reply.revision) => {
                    newest = Some((reply.revision, answer.entry));
                }
                Ok(_) => {}
                Err(error) => last = format_smolstr!("{error}"),
            }
        }
        let (_, entry) = newest.ok_or(CtlError::NoEntryAnswers { count, last })?;
        Ok(self.client.get(entry.address, "/operator/in-force").await?)
    }

    /// The verdict on a proposal, as the first of these entries that has read it knows it.
    pub async fn verdict(&self, entries: Vec<EntryAddress>, record: &str) -> Option<VerdictReply> {
        let answers: Vec<EntryAnswer<VerdictReply>> =
            self.ask_all(entries, &format!("/operator/verdict/{record}")).await;
        let known = answers.into_iter().filter_map(|answer| answer.result.ok());
        known.into_iter().find(|verdict| *verdict != VerdictReply::Unseen)
    }

    async fn ask_all<T: DeserializeOwned>(
        &self,
        entries: Vec<EntryAddress>,
        path: &str,
    ) -> Vec<EntryAnswer<T>> {
        let calls = entries.into_iter().map(|entry| async move {
            let result = self.client.get(entry.address, path).await;
            EntryAnswer { entry, result }
        });
        let mut answers: Vec<EntryAnswer<T>> =
            stream::iter(calls).buffer_unordered(CALLS_AT_ONCE).collect().await;
        answers.sort_by(|a, b| a.entry.cmp(&b.entry));
        answers
    }
}
