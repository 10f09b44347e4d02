//! A daemon's own settings: [`EntrySettings`], from a file and from flags.
//!
//! [`settings_command`] gives the flags, [`load_settings`] reads the file that `--settings` names
//! and lays the flags over it. A flag always wins over the file.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use crate::error::DeclarationError;
use crate::error::DeclarationErrorKind;
use crate::reader::ErrorList;
use crate::reader::FieldReader;
use crate::reader::parse_address;
use crate::reader::read_text;
use banyan_core::ids::InstanceId;
use banyan_core::ids::ZoneId;

/// The most requests under way at once where the settings do not say.
pub const DEFAULT_CAPACITY: u32 = 256;
/// The greatest capacity that may be set.
pub const CAPACITY_LIMIT: u32 = 1_000_000;
/// How long a stop waits where the settings do not say, in milliseconds.
pub const DEFAULT_DRAIN_MS: u64 = 120_000;
/// The longest wait of a stop that may be set, in milliseconds: one day.
pub const DRAIN_LIMIT_MS: u64 = 86_400_000;

/// How long the log keeps records where the settings do not say, in milliseconds: seven days.
pub const DEFAULT_LOG_RETENTION_MS: u64 = 7 * 86_400_000;
/// The shortest retention of the log that may be set, in milliseconds: one minute.
pub const LOG_RETENTION_FLOOR_MS: u64 = 60_000;
/// The longest retention of the log that may be set, in milliseconds: ten years.
pub const LOG_RETENTION_LIMIT_MS: u64 = 3_650 * 86_400_000;

const FIELD_NAMES: [&str; 10] = [
    "instance",
    "zone",
    "caller_address",
    "peer_address",
    "operator_address",
    "platform_address",
    "peers",
    "capacity",
    "drain_ms",
    "log_retention_ms",
];

/// The settings of one entry daemon.
///
/// Invariants: the capacity is positive; no address is a wildcard, so that others can reach what is
/// announced; own addresses with a fixed port differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// Where callers reach it; port 0 takes a free one.
    pub caller_address: SocketAddr,
    /// Where peers reach it; port 0 takes a free one.
    pub peer_address: SocketAddr,
    /// Where operators reach it; port 0 takes a free one.
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
    /// How long the platform's log keeps records, in milliseconds; checkpoints are written well
    /// within it.
    #[serde(default = "default_log_retention_ms")]
    pub log_retention_ms: u64,
}

fn default_capacity() -> u32 {
    DEFAULT_CAPACITY
}

fn default_drain_ms() -> u64 {
    DEFAULT_DRAIN_MS
}

fn default_log_retention_ms() -> u64 {
    DEFAULT_LOG_RETENTION_MS
}

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("the settings file {file} cannot be read: {reason}; name a readable file")]
    Unreadable {
        /// The file's name.
        file: SmolStr,
        /// What the system said.
        reason: String,
    },
    /// Fields of the file are wrong; all of them are listed.
    #[error("{}", joined(.0))]
    Fields(Vec<DeclarationError>),
    /// A value is given neither in the file nor as a flag.
    #[error("no {field} is set; write \"{field}\" in the settings file or give {flag}")]
    Missing {
        /// The field's name.
        field: &'static str,
        /// The flag's name.
        flag: &'static str,
    },
    /// An address that others should reach is a wildcard.
    #[error(
        "{field} is {address}, which others cannot reach; write the IP number of this instance"
    )]
    Wildcard {
        /// The field's name.
        field: &'static str,
        /// The address as given.
        address: SocketAddr,
    },
    /// The platform's port is zero.
    #[error("platform_address is {address}; write the port that the platform listens on")]
    NoPort {
        /// The address as given.
        address: SocketAddr,
    },
    /// Two own addresses are the same.
    #[error("{first} and {second} are both {address}; give each a port of its own, or port 0")]
    SameAddress {
        /// The one field's name.
        first: &'static str,
        /// The other field's name.
        second: &'static str,
        /// The address of both.
        address: SocketAddr,
    },
}

fn joined(errors: &[DeclarationError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Settings as far as one source gives them.
#[derive(Clone, Debug, Default)]
struct SettingsLayer {
    instance: Option<InstanceId>,
    zone: Option<ZoneId>,
    caller_address: Option<SocketAddr>,
    peer_address: Option<SocketAddr>,
    operator_address: Option<SocketAddr>,
    platform_address: Option<SocketAddr>,
    peers: Option<Vec<SocketAddr>>,
    capacity: Option<u32>,
    drain_ms: Option<u64>,
    log_retention_ms: Option<u64>,
}

/// The command line of the entry daemon: a settings file, and a flag for each of its fields.
pub fn settings_command() -> Command {
    Command::new("banyan-entry")
        .about("Serves callers and routes their requests to targets")
        .long_about(
            "Serves callers and routes their requests to targets.\n\nWhat to route comes from the \
             declarations in force (see banyanctl); what this process is comes from a settings \
             file in JSON with comments and from the flags below, one for each field of the file. \
             A flag wins over the file.",
        )
        .after_help(
            "Examples:\n  banyan-entry --settings entry.jsonc\n  banyan-entry --settings \
             entry.jsonc --instance gebze-2 --caller-address 10.1.0.2:8400\n\nExit codes: 0 \
             stopped in order, 1 failed, 2 wrong flags or settings.",
        )
        .args(settings_flags())
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and exits: 0 if it can be used, otherwise 2")
                .arg(
                    Arg::new("file")
                        .value_name("SETTINGS")
                        .required(true)
                        .help("The settings file, in JSON with comments"),
                ),
        )
}

/// Checks a settings file that no flags add to.
pub fn check_settings_file(path: &str) -> Result<EntrySettings, SettingsError> {
    build_settings(read_layer(path, &read_file(path)?)?)
}

/// The settings that the command line and the file it names give.
pub fn load_settings(matches: &ArgMatches) -> Result<EntrySettings, SettingsError> {
    let file = match matches.get_one::<String>("settings") {
        Some(path) => read_layer(path, &read_file(path)?)?,
        None => SettingsLayer::default(),
    };
    build_settings(overlay(file, flag_layer(matches)))
}

/// Reads settings from the text of a file called `name`.
pub fn parse_settings(name: &str, text: &str) -> eyre::Result<EntrySettings> {
    Ok(build_settings(read_layer(name, text)?)?)
}

fn settings_flags() -> Vec<Arg> {
    let address = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .help(help)
    };
    vec![
        Arg::new("settings").long("settings").value_name("FILE").help("The settings file"),
        Arg::new("instance")
            .long("instance")
            .value_name("NAME")
            .value_parser(value_parser!(InstanceId))
            .help("The instance's name, unique over the platform"),
        Arg::new("zone")
            .long("zone")
            .value_name("ZONE")
            .value_parser(value_parser!(ZoneId))
            .help("The availability zone that the instance stands in"),
        address("caller-address", "Where callers reach it; port 0 takes a free one"),
        address("peer-address", "Where peers reach it; port 0 takes a free one"),
        address("operator-address", "Where operators reach it; port 0 takes a free one"),
        address("platform-address", "Where the platform's log and lists are"),
        address("peer", "A peer to greet first; may be repeated [field: peers]")
            .action(ArgAction::Append),
        Arg::new("capacity")
            .long("capacity")
            .value_name("REQUESTS")
            .value_parser(value_parser!(u32).range(1..=i64::from(CAPACITY_LIMIT)))
            .help(format!("The most requests under way at once [default: {DEFAULT_CAPACITY}]")),
        Arg::new("drain-ms")
            .long("drain-ms")
            .value_name("MILLISECONDS")
            .value_parser(value_parser!(u64).range(1..=DRAIN_LIMIT_MS))
            .help(format!(
                "How long a stop waits for requests under way [default: {DEFAULT_DRAIN_MS}]"
            )),
        Arg::new("log-retention-ms")
            .long("log-retention-ms")
            .value_name("MILLISECONDS")
            .value_parser(value_parser!(u64).range(LOG_RETENTION_FLOOR_MS..=LOG_RETENTION_LIMIT_MS))
            .help(format!(
                "How long the platform's log keeps records [default: {DEFAULT_LOG_RETENTION_MS}]"
            )),
    ]
}

fn flag_layer(matches: &ArgMatches) -> SettingsLayer {
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
    SettingsLayer {
        instance: matches.get_one::<InstanceId>("instance").cloned(),
        zone: matches.get_one::<ZoneId>("zone").cloned(),
        caller_address: address("caller-address"),
        peer_address: address("peer-address"),
        operator_address: address("operator-address"),
        platform_address: address("platform-address"),
        peers: matches.get_many::<SocketAddr>("peer").map(|peers| peers.copied().collect()),
        capacity: matches.get_one::<u32>("capacity").copied(),
        drain_ms: matches.get_one::<u64>("drain-ms").copied(),
        log_retention_ms: matches.get_one::<u64>("log-retention-ms").copied(),
    }
}

fn read_file(path: &str) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        file: SmolStr::new(path),
        reason: error.to_string(),
    })
}

fn read_layer(name: &str, text: &str) -> Result<SettingsLayer, SettingsError> {
    let mut errors = ErrorList::default();
    let mut layer = SettingsLayer::default();
    read_text(&mut errors, name, text, |reader, errors| layer = read_fields(reader, errors));
    if !errors.is_empty() {
        return Err(SettingsError::Fields(errors.into_errors()));
    }
    Ok(layer)
}

fn read_fields(reader: &FieldReader<'_, '_>, errors: &mut ErrorList<'_>) -> SettingsLayer {
    reader.check_names(&FIELD_NAMES, errors);
    let mut peers = Vec::new();
    reader.each_text("peers", errors, |text, path, errors| {
        peers.extend(parse_address(text, path, errors).map(|address| address.value));
    });
    let mut address = |name: &str| own_address(reader, name, errors);
    let caller_address = address("caller_address");
    let peer_address = address("peer_address");
    let operator_address = address("operator_address");
    let platform_address = address("platform_address");
    let capacity = reader.number("capacity", 1, u64::from(CAPACITY_LIMIT), errors);
    SettingsLayer {
        instance: reader.name("instance", errors).map(|name| name.value),
        zone: reader.name("zone", errors).map(|name| name.value),
        caller_address,
        peer_address,
        operator_address,
        platform_address,
        peers: reader.has("peers").then_some(peers),
        capacity: capacity.and_then(|value| u32::try_from(value).ok()),
        drain_ms: reader.number("drain_ms", 1, DRAIN_LIMIT_MS, errors),
        log_retention_ms: reader.number(
            "log_retention_ms",
            LOG_RETENTION_FLOOR_MS,
            LOG_RETENTION_LIMIT_MS,
            errors,
        ),
    }
}

/// An address, refused at its place in the file where it is a wildcard.
fn own_address(
    reader: &FieldReader<'_, '_>,
    name: &str,
    errors: &mut ErrorList<'_>,
) -> Option<SocketAddr> {
    let address = reader.address(name, errors)?;
    if is_wildcard(address.value.ip()) {
        let kind = DeclarationErrorKind::BadAddress {
            text: smol_str::format_smolstr!("{}", address.value),
            expected: "IP:PORT with the IP number by which others reach it, no wildcard",
        };
        errors.add(address.place, name, kind);
        return None;
    }
    Some(address.value)
}

fn is_wildcard(ip: IpAddr) -> bool {
    ip.is_unspecified()
}

fn overlay(file: SettingsLayer, flags: SettingsLayer) -> SettingsLayer {
    SettingsLayer {
        instance: flags.instance.or(file.instance),
        zone: flags.zone.or(file.zone),
        caller_address: flags.caller_address.or(file.caller_address),
        peer_address: flags.peer_address.or(file.peer_address),
        operator_address: flags.operator_address.or(file.operator_address),
        platform_address: flags.platform_address.or(file.platform_address),
        peers: flags.peers.or(file.peers),
        capacity: flags.capacity.or(file.capacity),
        drain_ms: flags.drain_ms.or(file.drain_ms),
        log_retention_ms: flags.log_retention_ms.or(file.log_retention_ms),
    }
}

fn build_settings(layer: SettingsLayer) -> Result<EntrySettings, SettingsError> {
    let missing = |field, flag| SettingsError::Missing { field, flag };
    let settings = EntrySettings {
        instance: layer.instance.ok_or(missing("instance", "--instance"))?,
        zone: layer.zone.ok_or(missing("zone", "--zone"))?,
        caller_address: layer
            .caller_address
            .ok_or(missing("caller_address", "--caller-address"))?,
        peer_address: layer.peer_address.ok_or(missing("peer_address", "--peer-address"))?,
        operator_address: layer
            .operator_address
            .ok_or(missing("operator_address", "--operator-address"))?,
        platform_address: layer
            .platform_address
            .ok_or(missing("platform_address", "--platform-address"))?,
        peers: layer.peers.unwrap_or_default(),
        capacity: layer.capacity.unwrap_or(DEFAULT_CAPACITY),
        drain_ms: layer.drain_ms.unwrap_or(DEFAULT_DRAIN_MS),
        log_retention_ms: layer.log_retention_ms.unwrap_or(DEFAULT_LOG_RETENTION_MS),
    };
    check_addresses(&settings)?;
    Ok(settings)
}

fn check_addresses(settings: &EntrySettings) -> Result<(), SettingsError> {
    let own = [
        ("caller_address", settings.caller_address),
        ("peer_address", settings.peer_address),
        ("operator_address", settings.operator_address),
    ];
    let platform = ("platform_address", settings.platform_address);
    for (field, address) in own.into_iter().chain([platform]) {
        if is_wildcard(address.ip()) {
            return Err(SettingsError::Wildcard { field, address });
        }
    }
    if platform.1.port() == 0 {
        return Err(SettingsError::NoPort { address: platform.1 });
    }
    for (index, (first, address)) in own.into_iter().enumerate() {
        let twin = own[index + 1..].iter().find(|(_, other)| *other == address);
        if let (Some((second, _)), true) = (twin, address.port() != 0) {
            return Err(SettingsError::SameAddress { first, second, address });
        }
    }
    Ok(())
}
