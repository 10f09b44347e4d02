//! Settings from a file and from flags, and what is refused.

use clap::ArgMatches;

use banyan_config::settings::EntrySettings;
use banyan_config::settings::SettingsError;
use banyan_config::settings::load_settings;
use banyan_config::settings::parse_settings;
use banyan_config::settings::settings_command;

const VALID: &str = r#"{
  "instance": "e1", // the name
  "zone": "gebze",
  "caller_address": "127.0.0.1:1",
  "peer_address": "127.0.0.1:0",
  "operator_address": "127.0.0.1:0",
  "platform_address": "127.0.0.1:9",
}"#;

const FLAGS: [&str; 20] = [
    "--instance",
    "e2",
    "--zone",
    "tuzla",
    "--caller-address",
    "127.0.0.2:1",
    "--peer-address",
    "127.0.0.2:2",
    "--operator-address",
    "127.0.0.2:3",
    "--platform-address",
    "127.0.0.2:4",
    "--peer",
    "127.0.0.2:5",
    "--capacity",
    "7",
    "--drain-ms",
    "8",
    "--log-retention-ms",
    "60001",
];

fn matches(flags: &[&str]) -> Result<ArgMatches, clap::Error> {
    let command = std::iter::once("banyan-entry").chain(flags.iter().copied());
    settings_command().try_get_matches_from(command)
}

fn refused(text: &str) -> String {
    parse_settings("entry.jsonc", text).unwrap_err().to_string()
}

fn assert_from_flags(settings: &EntrySettings) {
    assert_eq!(settings.instance.as_str(), "e2");
    assert_eq!(settings.zone.as_str(), "tuzla");
    assert_eq!(settings.caller_address.port(), 1);
    assert_eq!(settings.peer_address.port(), 2);
    assert_eq!(settings.operator_address.port(), 3);
    assert_eq!(settings.platform_address.port(), 4);
    assert_eq!(settings.peers.len(), 1);
    assert_eq!((settings.capacity, settings.drain_ms), (7, 8));
    assert_eq!(settings.log_retention_ms, 60_001);
}

#[test]
fn command_line_is_consistent() {
    settings_command().debug_assert();
}

#[test]
fn every_field_can_be_a_flag_and_flags_win() {
    assert_from_flags(&load_settings(&matches(&FLAGS).unwrap()).unwrap());
    let path = std::env::temp_dir().join(format!("banyan-settings-{}.jsonc", std::process::id()));
    std::fs::write(&path, VALID).unwrap();
    let file = ["--settings", path.to_str().unwrap()];
    let from_file = load_settings(&matches(&file).unwrap()).unwrap();
    let both = load_settings(&matches(&[&file[..], &FLAGS[..]].concat()).unwrap()).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(from_file, parse_settings("entry.jsonc", VALID).unwrap());
    assert_from_flags(&both);
}

#[test]
fn errors_of_a_file_name_place_and_remedy() {
    let text = VALID.replace("\"zone\"", "\"zones\"").replace("127.0.0.1:9", "0.0.0.0:9");
    let message = refused(&text);
    assert_eq!(message.lines().count(), 2, "{message}");
    assert!(message.contains("entry.jsonc:3:3: zones: there is no field"), "{message}");
    assert!(message.contains("entry.jsonc:7:23: platform_address: '0.0.0.0:9'"), "{message}");
}

#[test]
fn zero_and_missing_values_are_refused() {
    let zero = VALID.replace("}", "\"capacity\": 0, \"drain_ms\": 0 }");
    let message = refused(&zero);
    assert!(message.contains("capacity: 0 is out of range"), "{message}");
    assert!(message.contains("drain_ms: 0 is out of range"), "{message}");
    assert!(matches(&["--capacity", "0"]).is_err());
    let message = refused(&VALID.replace("\"zone\": \"gebze\",", ""));
    assert!(message.contains("no zone is set") && message.contains("--zone"), "{message}");
}

#[test]
fn addresses_that_cannot_serve_are_refused() {
    let same = refused(&VALID.replace("127.0.0.1:0", "127.0.0.1:1"));
    assert!(same.contains("caller_address and peer_address are both"), "{same}");
    let port = refused(&VALID.replace("127.0.0.1:9", "127.0.0.1:0"));
    assert!(port.contains("write the port"), "{port}");
    let flags = [&FLAGS[..], &["--settings", "/no/such/file"]].concat();
    let error = load_settings(&matches(&flags).unwrap()).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }), "{error}");
    let mut flags = FLAGS;
    flags[7] = "0.0.0.0:2";
    let error = load_settings(&matches(&flags).unwrap()).unwrap_err();
    assert!(matches!(error, SettingsError::Wildcard { field: "peer_address", .. }), "{error}");
}
