//! The command line: [`command`] and the options it gives.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use smol_str::SmolStr;

use banyan_core::ids::LayerRange;
use banyan_standin::engine::EngineOptions;
use banyan_standin::platform::PlatformOptions;
use banyan_standin::service::ServiceOptions;

/// The flag for the platform's address.
pub(crate) const PLATFORM: &str = "platform";
/// The flag for the availability zone.
pub(crate) const ZONE: &str = "zone";

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("banyan-standin")
        .version(clap::crate_version!())
        .about("Small stand-ins for the platform, model engines and plain services")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(platform_command())
        .subcommand(engine_command())
        .subcommand(service_command())
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("The append-only log, the instance list and the weight store")
        .arg(address_arg())
        .arg(number("append-rate", "400", "The most appends a second"))
        .arg(number("retention-ms", "604800000", "How long entries are kept, in milliseconds"))
        .arg(number("instance-lag-ms", "0", "How old the instance list is, in milliseconds"))
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("A model engine that holds a range of layers")
        .arg(address_arg())
        .arg(text("name", "engine", "The name that the declaration gives it"))
        .arg(text("model", "model", "The model"))
        .arg(number("model-layers", "12", "The number of layers of the whole model"))
        .arg(
            Arg::new("layers")
                .long("layers")
                .value_name("FIRST-LAST")
                .default_value("0-11")
                .value_parser(|text: &str| text.parse::<LayerRange>())
                .help("The layers that it holds"),
        )
        .arg(number("batch", "8", "The most steps in one batch"))
        .arg(number("step-ms", "10", "The time that a batch takes, in milliseconds"))
        .arg(number("prefill-rate", "20000", "Prompt tokens that it reads a second"))
        .arg(number("cache-limit", "65536", "Tokens that the prefix cache holds"))
        .arg(number("queue-limit", "4096", "The most steps that wait"))
        .arg(number("link-bytes-per-second", "0", "The speed of its link; 0 takes no time"))
        .arg(number("load-lag-ms", "200", "How old the load report is, in milliseconds"))
        .arg(number("cache-lag-ms", "200", "How late cache events come, in milliseconds"))
        .arg(number("cache-gaps", "0", "Of so many cache events one is lost; 0 loses none"))
        .arg(number("load-ms", "100", "The time that an order to load takes, in milliseconds"))
        .arg(
            Arg::new("answer-tokens")
                .long("answer-tokens")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("After so many tokens the model ends an answer by itself"),
        )
        .arg(
            Arg::new("ignore-fence")
                .long("ignore-fence")
                .action(ArgAction::SetTrue)
                .help("Takes orders with an old fencing token too"),
        )
        .arg(
            Arg::new("poison")
                .long("poison")
                .value_name("PROMPT")
                .action(ArgAction::Append)
                .help("A prompt that crashes the engine; may be given more than once"),
        )
        .arg(
            Arg::new("truth-file")
                .long("truth-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Appends every run to this file, one JSON line each"),
        )
        .arg(platform_arg())
        .arg(text(ZONE, "", "The availability zone that it announces"))
}

fn service_command() -> Command {
    Command::new("service")
        .about("A replica of a plain service")
        .arg(address_arg())
        .arg(text("name", "service", "The name that the declaration gives it"))
        .arg(number("delay-ms", "5", "The time that a call takes, in milliseconds"))
        .arg(platform_arg())
        .arg(text(ZONE, "", "The availability zone that it announces"))
}

/// What `banyan-standin platform` was asked for.
pub(crate) fn platform_options(matches: &ArgMatches) -> PlatformOptions {
    PlatformOptions {
        address: address(matches),
        append_rate: get(matches, "append-rate") as u32,
        retention: millis(matches, "retention-ms"),
        instance_lag: millis(matches, "instance-lag-ms"),
        exits: true,
        ..PlatformOptions::default()
    }
}

/// What `banyan-standin engine` was asked for.
pub(crate) fn engine_options(matches: &ArgMatches) -> EngineOptions {
    let base = EngineOptions::default();
    EngineOptions {
        address: address(matches),
        name: name(matches, "name"),
        model: name(matches, "model"),
        model_layers: get(matches, "model-layers") as u32,
        layers: matches.get_one::<LayerRange>("layers").copied().unwrap_or(base.layers),
        batch: get(matches, "batch") as usize,
        step_time: millis(matches, "step-ms"),
        prefill_rate: get(matches, "prefill-rate"),
        cache_limit: get(matches, "cache-limit"),
        queue_limit: get(matches, "queue-limit") as usize,
        link_bytes_per_second: get(matches, "link-bytes-per-second"),
        load_lag: millis(matches, "load-lag-ms"),
        cache_lag: millis(matches, "cache-lag-ms"),
        cache_gaps: get(matches, "cache-gaps"),
        answer_tokens: matches.get_one::<u64>("answer-tokens").copied(),
        load_time: millis(matches, "load-ms"),
        checks_fence: !matches.get_flag("ignore-fence"),
        poison: matches.get_many::<String>("poison").unwrap_or_default().cloned().collect(),
        truth_file: matches.get_one::<PathBuf>("truth-file").cloned(),
        exits: true,
    }
}

/// What `banyan-standin service` was asked for.
pub(crate) fn service_options(matches: &ArgMatches) -> ServiceOptions {
    ServiceOptions {
        address: address(matches),
        name: name(matches, "name"),
        delay: millis(matches, "delay-ms"),
        exits: true,
    }
}

fn address_arg() -> Arg {
    Arg::new("address")
        .long("address")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help("Where it listens; port 0 takes a free one")
}

fn platform_arg() -> Arg {
    Arg::new(PLATFORM)
        .long(PLATFORM)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("The platform on whose instance list it announces itself")
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").default_value(default).help(help)
}

fn address(matches: &ArgMatches) -> SocketAddr {
    let default = SocketAddr::from(([127, 0, 0, 1], 0));
    matches.get_one::<SocketAddr>("address").copied().unwrap_or(default)
}

fn get(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(get(matches, name))
}

fn name(matches: &ArgMatches, flag: &str) -> SmolStr {
    matches.get_one::<String>(flag).map(SmolStr::new).unwrap_or_default()
}
