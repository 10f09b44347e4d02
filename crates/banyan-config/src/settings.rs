//! A daemon's own settings: [`EntrySettings`].

use std::net::SocketAddr;

use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;

use banyan_core::ids::InstanceId;
use banyan_core::ids::ZoneId;

/// The settings of one entry daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// Where callers reach it; port 0 takes a free one.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// The platform.
    pub platform_address: SocketAddr,
    /// Peers to greet first; others are learnt from the instance list.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The most requests under way at once.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// How long a stop waits for requests under way, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

fn default_capacity() -> u32 {
    256
}

fn default_drain_ms() -> u64 {
    120_000
}

/// Reads settings from the text of a file called `name`.
pub fn parse_settings(name: &str, text: &str) -> eyre::Result<EntrySettings> {
    let value: EntrySettings = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .wrap_err_with(|| format!("{name} is not JSON with comments"))?;
    Ok(value)
}
