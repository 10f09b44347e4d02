//! Defines the command-line interface: [`timeline_command`].

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

use crate::collect::ProcessAddress;

/// Builds the argument parser of `banyan-timeline`.
pub fn timeline_command() -> Command {
    Command::new("banyan-timeline")
        .about("Shows the events of all processes as one time line")
        .long_about(
            "Shows the events of all processes as one time line.\n\nEvery process keeps its newest \
             events, stamped by a hybrid logical clock. This program gets them, puts them in the \
             order of their stamps, in which no effect stands before its cause, and prints one \
             line an event.",
        )
        .after_help(
            "Examples:\n  banyan-timeline --platform 10.0.0.2:8300 --request gebze-1@5f.17\n  \
             banyan-timeline --platform 10.0.0.2:8300 --kind refused --kind outcome-unknown\n  \
             banyan-timeline --file saved.json --html timeline.html\n\nValues of one filter are \
             alternatives; different filters must all hold.\n\nExit codes:\n  0  every source \
             gave its events\n  2  the command line is wrong\n  3  no source gave any\n  4  some \
             sources gave none; they are named",
        )
        .subcommand(story_command())
        .args(source_flags())
        .args(filter_flags())
        .args(output_flags())
}

fn story_command() -> Command {
    Command::new("story")
        .about("Tells one request's story from the log lines of several instances")
        .after_help(
            "Example:\n  banyan-timeline story 952c609d1ef3f4ae front-a-1.jsonl front-b-1.jsonl",
        )
        .arg(
            Arg::new("request")
                .value_name("REQUEST")
                .required(true)
                .help("The caller's id of the attempt"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .help("The lines of one instance each; the file's name is the instance's"),
        )
}

fn source_flags() -> [Arg; 4] {
    [
        Arg::new("platform")
            .long("platform")
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .help("The platform, whose instance list names the entries"),
        Arg::new("process")
            .long("process")
            .value_name("NAME=IP:PORT")
            .action(ArgAction::Append)
            .value_parser(value_parser!(ProcessAddress))
            .help("A process and its operator address, beside those listed; may be repeated"),
        Arg::new("file")
            .long("file")
            .value_name("FILE")
            .action(ArgAction::Append)
            .help("Saved events: an answer of /operator/events, or lines of --json"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MILLISECONDS")
            .default_value("3000")
            .value_parser(value_parser!(u64).range(1..))
            .help("How long each call may take"),
    ]
}

fn filter_flags() -> [Arg; 5] {
    let filter = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).action(ArgAction::Append).help(help)
    };
    [
        filter("request", "ID", "Only events about this request; may be repeated"),
        filter("target", "NAME", "Only events about this target; may be repeated"),
        filter("instance", "NAME", "Only events of this process; may be repeated"),
        filter("kind", "KIND", "Only events of this kind; may be repeated"),
        Arg::new("last")
            .long("last")
            .value_name("NUMBER")
            .value_parser(value_parser!(u64).range(1..))
            .help("Only so many of the newest events"),
    ]
}

fn output_flags() -> [Arg; 2] {
    [
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .help("Print one line of JSON an event"),
        Arg::new("html")
            .long("html")
            .value_name("FILE")
            .help("Also write a self-contained page with a picture of the events"),
    ]
}
