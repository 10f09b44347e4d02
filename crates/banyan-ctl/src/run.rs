//! Carries out a parsed command line: [`run_command`].

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::apply::ApplyOrder;
use crate::apply::apply_file;
use crate::check::LocalFile;
use crate::check::check_files;
use crate::check::read_local;
use crate::error::CtlError;
use crate::fleet::EntryFleet;
use crate::history::show_history;
use crate::in_force::show_in_force;
use crate::log_stream::LogClient;
use crate::probe::CallerOrder;
use crate::probe::try_call;
use crate::probe::try_completion;
use crate::report::CommandReport;
use crate::report::ExitKind;
use crate::status::show_status;
use banyan_core::ids::FileId;
use banyan_core::ids::RecordId;
use banyan_core::ids::Revision;
use banyan_http::client::JsonClient;

/// The longest that a single call may take, so that one silent entry does not use up the time.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// What the shared flags say.
struct CtlContext {
    client: JsonClient,
    platform: Option<SocketAddr>,
    fleet: EntryFleet,
    timeout: Duration,
}

/// Carries out the subcommand.
pub async fn run_command(matches: &ArgMatches) -> Result<CommandReport, CtlError> {
    match matches.subcommand() {
        Some(("check", matches)) => run_check(matches).await,
        Some(("apply", matches)) => run_apply(matches).await,
        Some(("in-force", matches)) => {
            show_in_force(&context_of(matches).fleet, matches.get_one::<FileId>("name")).await
        }
        Some(("status", matches)) => {
            show_status(&context_of(matches).fleet, matches.get_flag("long")).await
        }
        Some(("try", matches)) => Ok(run_try(matches).await),
        Some((_, matches)) => {
            let context = context_of(matches);
            show_history(&context.fleet, &log_client(&context)?).await
        }
        // The command line requires a subcommand.
        None => Err(CtlError::NoEntryGiven),
    }
}

fn context_of(matches: &ArgMatches) -> CtlContext {
    let timeout_ms = matches.get_one::<u64>("timeout-ms").copied().unwrap_or_default();
    let timeout = Duration::from_millis(timeout_ms);
    let client = JsonClient::new(timeout.min(CALL_LIMIT));
    let platform = matches.get_one::<SocketAddr>("platform").copied();
    let given = matches.get_many::<SocketAddr>("entry").unwrap_or_default().copied().collect();
    let fleet = EntryFleet::new(client.clone(), platform, given);
    CtlContext { client, platform, fleet, timeout }
}

fn log_client(context: &CtlContext) -> Result<LogClient, CtlError> {
    let platform = context.platform.ok_or(CtlError::NoPlatformGiven)?;
    Ok(LogClient::new(context.client.clone(), platform))
}

async fn run_check(matches: &ArgMatches) -> Result<CommandReport, CtlError> {
    let paths = matches.get_many::<String>("file").unwrap_or_default();
    let local: Result<Vec<LocalFile>, CtlError> =
        paths.map(|path| read_local(path, None)).collect();
    let local = local?;
    let fleet = context_of(matches).fleet;
    let in_force = match fleet.is_given() {
        true => fleet.newest_in_force(fleet.find().await?.entries).await?.files,
        false => Vec::new(),
    };
    Ok(check_files(&local, &in_force))
}

async fn run_try(matches: &ArgMatches) -> CommandReport {
    let Some((kind, matches)) = matches.subcommand() else {
        // The command line requires a subcommand.
        return CommandReport::new(ExitKind::Usage, String::new(), &());
    };
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let order = CallerOrder {
        address: matches.get_one::<SocketAddr>("caller").copied().unwrap_or(unset),
        token: SmolStr::from(text("token")),
        timeout: context_of(matches).timeout,
    };
    if kind == "completion" {
        let max_tokens = matches.get_one::<u64>("max-tokens").copied().unwrap_or(1);
        return try_completion(&order, &text("model"), &text("prompt"), max_tokens).await;
    }
    let key = matches.get_one::<String>("key").map(String::as_str);
    try_call(&order, &text("service"), &text("call"), key, &text("body")).await
}

async fn run_apply(matches: &ArgMatches) -> Result<CommandReport, CtlError> {
    let context = context_of(matches);
    let path = matches.get_one::<String>("file").cloned().unwrap_or_default();
    let author = matches.get_one::<String>("author").cloned();
    let author = author.or_else(|| std::env::var("USER").ok()).unwrap_or("operator".into());
    let order = ApplyOrder {
        file: read_local(&path, matches.get_one::<FileId>("name"))?,
        base: matches.get_one::<Revision>("base").copied(),
        author: SmolStr::from(author),
        record: record_id(matches)?,
        timeout: context.timeout,
    };
    apply_file(&context.fleet, &log_client(&context)?, order).await
}

fn record_id(matches: &ArgMatches) -> Result<RecordId, CtlError> {
    if let Some(record) = matches.get_one::<RecordId>("record") {
        return Ok(record.clone());
    }
    let text = Uuid::now_v7().to_string();
    text.parse().map_err(|source| CtlError::BadName { file: SmolStr::from(text), source })
}
