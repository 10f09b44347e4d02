//! The command line: [`ctl_command`].

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

use banyan_core::ids::FileId;
use banyan_core::ids::RecordId;
use banyan_core::ids::Revision;

/// How long calls may take in all where the command line does not say, in milliseconds.
const DEFAULT_TIMEOUT_MS: &str = "20000";

const EXIT_CODES: &str = "Exit codes:\n  0  done; for apply: in force on every live instance; for try: whole\n  \
     1  refused: the file is invalid or another operator was first; nothing was changed\n  \
     2  the command line or a local file is wrong; nobody was asked\n  \
     3  not known: nobody answered in time, or the verdict is still open\n  \
     4  accepted, but not every live instance has it in force or answers";

/// The command line of `banyanctl`.
pub fn ctl_command() -> Command {
    Command::new("banyanctl")
        .about("Checks and applies declaration files and reads back what is in force")
        .long_about(
            "Checks and applies declaration files and reads back what is in force.\n\nA \
             declaration file describes availability zones, workspaces, models, targets, services \
             and the policy, in JSON with comments. Several files may be in force side by side, \
             each under its name; ids are unique over all of them. A file is applied as a whole or \
             not at all.",
        )
        .after_help(format!(
            "Examples:\n  banyanctl check examples/quickstart.jsonc\n  banyanctl apply --platform \
             10.0.0.2:8300 sedlar.jsonc\n  banyanctl in-force --platform 10.0.0.2:8300 --file \
             sedlar.jsonc > in-force.jsonc\n\n{EXIT_CODES}"
        ))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(shared_flags())
        .subcommand(check_command())
        .subcommand(apply_command())
        .subcommand(in_force_command())
        .subcommand(status_command())
        .subcommand(history_command())
        .subcommand(try_command())
}

fn shared_flags() -> Vec<Arg> {
    vec![
        Arg::new("platform")
            .long("platform")
            .value_name("IP:PORT")
            .global(true)
            .value_parser(value_parser!(SocketAddr))
            .help("The platform: its log, and its list of instances to find entries by"),
        Arg::new("entry")
            .long("entry")
            .value_name("IP:PORT")
            .global(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("An entry's operator address, beside those listed; may be repeated"),
        Arg::new("json")
            .long("json")
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Print the result as one line of JSON"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MILLISECONDS")
            .global(true)
            .default_value(DEFAULT_TIMEOUT_MS)
            .value_parser(value_parser!(u64).range(1..))
            .help("How long to wait for the verdict, and then for every instance"),
    ]
}

fn check_command() -> Command {
    Command::new("check")
        .about("Validates files without applying them")
        .long_about(
            "Validates files without applying them.\n\nThe files are checked together. With \
             --platform or --entry they are checked together with the files in force as well, of \
             which those with the same names are replaced. All errors are reported at once, each \
             as file:line:column, field, what is allowed and the remedy.",
        )
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .help("The declaration files"),
        )
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Applies a file as a whole and waits until it is in force everywhere")
        .long_about(
            "Applies a file as a whole and waits until it is in force everywhere.\n\nThe file is \
             checked here, then proposed on the platform's log over the revision that it is based \
             on. Of operators that race each other with the same file one wins; the others are \
             refused whole, told the winner and what to do. Needs --platform. A proposal whose \
             answer is lost is sent again under the same record id, so it counts once.",
        )
        .after_help(EXIT_CODES)
        .arg(Arg::new("file").value_name("FILE").required(true).help("The declaration file"))
        .arg(
            Arg::new("name")
                .long("name")
                .value_name("NAME")
                .value_parser(value_parser!(FileId))
                .help("The name to apply it under [default: the file's own name]"),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .value_parser(value_parser!(Revision))
                .help(
                    "The file's revision that you started from, 0 for a new file [default: the \
                     one in force]",
                ),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("Who proposes it [default: the variable USER, or operator]"),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("ID")
                .value_parser(value_parser!(RecordId))
                .requires("base")
                .help("Go on waiting for an earlier proposal of this record id"),
        )
}

fn in_force_command() -> Command {
    Command::new("in-force")
        .about("Shows which revision and files are in force, and where")
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("name")
                .long("file")
                .value_name("NAME")
                .value_parser(value_parser!(FileId))
                .help("Print the text of this file in force"),
        )
}

fn status_command() -> Command {
    Command::new("status")
        .about("Shows what each entry is and how it sees targets, peers and the log")
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("long")
                .long("long")
                .action(ArgAction::SetTrue)
                .help("Also list trusted targets, peers, open claims and quarantines"),
        )
}

fn history_command() -> Command {
    Command::new("history")
        .about("Shows every proposal that the log keeps, with its verdict")
        .long_about(
            "Shows every proposal that the log keeps, with its verdict.\n\nThe verdicts come from \
             the same fold that every entry runs. Needs --platform.",
        )
        .after_help(EXIT_CODES)
}

fn try_command() -> Command {
    let caller = || {
        [
            Arg::new("caller")
                .long("caller")
                .value_name("IP:PORT")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("An entry's caller address, or the balancer's"),
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .required(true)
                .help("A workspace's bearer token"),
        ]
    };
    let text = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("TEXT").required(true).help(help)
    };
    let completion = Command::new("completion")
        .about("Asks for a streamed completion and checks outcome, token count and checksum")
        .args(caller())
        .arg(text("model", "The model"))
        .arg(text("prompt", "The prompt"))
        .arg(
            Arg::new("max-tokens")
                .long("max-tokens")
                .value_name("NUMBER")
                .default_value("16")
                .value_parser(value_parser!(u64).range(1..))
                .help("The most tokens to answer with"),
        );
    let call = Command::new("call")
        .about("Calls a plain service and checks the outcome")
        .args(caller())
        .arg(text("service", "The service"))
        .arg(text("call", "The call"))
        .arg(Arg::new("key").long("key").value_name("KEY").help("The idempotency key"))
        .arg(Arg::new("body").long("body").value_name("JSON").default_value("{}").help("The body"));
    Command::new("try")
        .about("Sends one request as a caller would and checks that the answer is whole")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .subcommand(completion)
        .subcommand(call)
}
