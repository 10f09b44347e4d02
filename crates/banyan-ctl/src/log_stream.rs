//! Reads and writes the configuration stream of the platform's log: [`LogClient`].

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use smol_str::SmolStr;

use banyan_core::ids::LogOffset;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_core::units::WallMillis;
use banyan_http::client::CallError;
use banyan_http::client::JsonClient;
use banyan_wire::log::decode_entry;
use banyan_wire::log::encode_facts;
use banyan_wire::platform::ReadEntry;
use banyan_wire::platform::ReadReply;

/// The most entries read in one call.
const READ_LIMIT: usize = 500;

/// An entry of the stream, or why it cannot be read.
#[derive(Debug)]
pub struct StreamEntry {
    /// Its offset.
    pub offset: LogOffset,
    /// The entry, or what the decoder said.
    pub entry: Result<LogEntry, SmolStr>,
}

/// The configuration stream as far as the log still keeps it.
#[derive(Debug)]
pub struct StreamCopy {
    /// The oldest offset still kept.
    pub first: LogOffset,
    /// The entries, oldest first.
    pub entries: Vec<StreamEntry>,
}

/// The log of one platform.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: JsonClient,
    platform: SocketAddr,
}

impl LogClient {
    /// The log of the platform at an address.
    pub fn new(client: JsonClient, platform: SocketAddr) -> Self {
        Self { client, platform }
    }

    /// Appends a fact. Its id makes it safe to call this again after any error.
    pub async fn append(&self, fact: LogFact) -> Result<(), CallError> {
        let path = format!("/log/{}", StreamId::Configuration);
        let body = Bytes::from(encode_facts(&[fact]));
        self.client.send(Method::POST, self.platform, &path, body).await?;
        Ok(())
    }

    /// Reads the whole stream.
    pub async fn read_all(&self) -> Result<StreamCopy, CallError> {
        let mut page = self.read_page(0).await?;
        let mut copy = StreamCopy { first: LogOffset(page.first), entries: Vec::new() };
        while let Some(last) = page.entries.last() {
            let from = last.offset + 1;
            copy.entries.extend(page.entries.into_iter().map(stream_entry));
            if from >= page.next {
                break;
            }
            page = self.read_page(from).await?;
        }
        Ok(copy)
    }

    async fn read_page(&self, from: u64) -> Result<ReadReply, CallError> {
        let stream = StreamId::Configuration;
        let path = format!("/log/{stream}?from={from}&limit={READ_LIMIT}&wait_ms=0");
        self.client.get(self.platform, &path).await
    }
}

fn stream_entry(read: ReadEntry) -> StreamEntry {
    let offset = LogOffset(read.offset);
    let entry = decode_entry(offset, WallMillis(read.at_ms), read.body.as_bytes());
    StreamEntry { offset, entry: entry.map_err(|error| SmolStr::from(error.to_string())) }
}
