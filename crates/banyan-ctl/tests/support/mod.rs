//! A platform and entries in this process, with faults: [`FakeFleet`].

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpListener;
use warp::Filter;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;

use banyan_config::merge_files;
use banyan_core::fold::ConfigurationFold;
use banyan_core::fold::ProposalVerdict;
use banyan_core::ids::LogOffset;
use banyan_core::units::WallMillis;
use banyan_ctl::command::ctl_command;
use banyan_ctl::error::CtlError;
use banyan_ctl::report::CommandReport;
use banyan_ctl::run::run_command;
use banyan_http::server::serve;
use banyan_wire::log::decode_entry;
use banyan_wire::operator::FileWire;
use banyan_wire::operator::InForceReply;
use banyan_wire::operator::RevisionReply;
use banyan_wire::operator::StatusReply;
use banyan_wire::operator::VerdictReply;
use banyan_wire::platform::AppendReply;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;
use banyan_wire::platform::InstancesReply;
use banyan_wire::platform::ReadEntry;
use banyan_wire::platform::ReadReply;

/// What the fakes share, and the faults.
#[derive(Default)]
pub struct FakeState {
    /// The bodies in the log.
    pub log: Vec<String>,
    /// The instance list.
    pub instances: Vec<InstanceWire>,
    /// Appends that land and whose answer is lost.
    pub lost_answers: u32,
    /// Whether appends are refused.
    pub is_down: bool,
}

/// A platform and entries that fold its log.
pub struct FakeFleet {
    /// The state of all of them.
    pub state: Arc<Mutex<FakeState>>,
    /// Where the platform is.
    pub platform: SocketAddr,
}

impl FakeFleet {
    /// Starts a platform without entries.
    pub async fn start() -> Self {
        let state = Arc::new(Mutex::new(FakeState::default()));
        let platform = listen(platform_routes(state.clone())).await;
        Self { state, platform }
    }

    /// Starts an entry that folds at most `limit` entries of the log, and lists it.
    pub async fn add_entry(&self, name: &str, limit: usize) {
        let address =
            listen(entry_routes(self.state.clone(), SmolStr::new(name), move || limit)).await;
        self.list(name, address, InstanceState::Live);
    }

    /// Starts an entry that folds nothing until the log has `least` entries, and lists it.
    pub async fn add_entry_from(&self, name: &str, least: usize) {
        let state = self.state.clone();
        let limit = move || if state.lock().unwrap().log.len() < least { 0 } else { usize::MAX };
        let address = listen(entry_routes(self.state.clone(), SmolStr::new(name), limit)).await;
        self.list(name, address, InstanceState::Live);
    }

    /// Lists an entry.
    pub fn list(&self, name: &str, address: SocketAddr, state: InstanceState) {
        let row = InstanceWire {
            name: SmolStr::new(name),
            role: InstanceRole::Entry,
            state,
            zone: SmolStr::new("gebze"),
            caller_address: None,
            peer_address: None,
            operator_address: Some(format_smolstr!("{address}")),
        };
        self.lock().instances.push(row);
    }

    /// The state.
    pub fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap()
    }

    /// Runs `banyanctl` with the platform's address and a time limit.
    pub async fn run(&self, words: &[&str], timeout_ms: u64) -> Result<CommandReport, CtlError> {
        let platform = self.platform.to_string();
        let timeout = timeout_ms.to_string();
        let shared = ["--platform", &platform, "--timeout-ms", &timeout];
        let line = std::iter::once("banyanctl").chain(words.iter().copied()).chain(shared);
        run_command(&ctl_command().try_get_matches_from(line).unwrap()).await
    }
}

async fn listen<F, R>(routes: F) -> SocketAddr
where
    F: Filter<Extract = (R,), Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    R: Reply + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, routes, pending::<()>()));
    address
}

fn platform_routes(
    state: Arc<Mutex<FakeState>>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    let appends = state.clone();
    let append = warp::path!("log" / "configuration")
        .and(warp::post())
        .and(warp::body::bytes())
        .map(move |body: Bytes| append(&mut appends.lock().unwrap(), &body));
    let reads = state.clone();
    let read = warp::path!("log" / "configuration").and(warp::get()).and(warp::query::raw()).map(
        move |query: String| {
            let from = query.split('&').find_map(|pair| pair.strip_prefix("from="));
            read(&reads.lock().unwrap(), from.unwrap().parse().unwrap())
        },
    );
    let list = warp::path!("instances").map(move || {
        let instances = state.lock().unwrap().instances.clone();
        json(&InstancesReply { version: 1, instances })
    });
    append.or(read).unify().or(list).unify()
}

fn append(state: &mut FakeState, body: &Bytes) -> Response {
    if state.is_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    state.log.push(String::from_utf8(body.to_vec()).unwrap());
    if state.lost_answers > 0 {
        state.lost_answers -= 1;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    json(&AppendReply { offset: state.log.len() as u64 - 1 })
}

fn read(state: &FakeState, from: u64) -> Response {
    let entries = state.log.iter().enumerate().skip(from as usize).take(2);
    let entries = entries.map(|(offset, body)| ReadEntry {
        offset: offset as u64,
        at_ms: 5,
        body: body.clone(),
    });
    json(&ReadReply { first: 0, next: state.log.len() as u64, entries: entries.collect() })
}

fn entry_routes(
    state: Arc<Mutex<FakeState>>,
    name: SmolStr,
    limit: impl Fn() -> usize + Clone + Send + Sync + 'static,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    let fold = move || {
        let limit = limit();
        folded(&state.lock().unwrap().log, limit)
    };
    let (fold_status, fold_files, fold_revision) = (fold.clone(), fold.clone(), fold.clone());
    let (name_files, name_revision) = (name.clone(), name.clone());
    let status = warp::path!("operator" / "status").map(move || {
        let revision = fold_status().revision.0;
        json(&StatusReply { instance: name.clone(), revision, ..StatusReply::default() })
    });
    let in_force = warp::path!("operator" / "in-force").map(move || {
        let fold = fold_files();
        let file =
            |(file, row): (&banyan_core::ids::FileId, &banyan_core::fold::FileRow)| FileWire {
                file: file.clone().into(),
                revision: row.revision.0,
                author: row.author.clone(),
                text: row.text.to_string(),
            };
        let files = fold.files.iter().map(file).collect();
        json(&InForceReply { instance: name_files.clone(), revision: fold.revision.0, files })
    });
    let revision = warp::path!("operator" / "revision").map(move || {
        let revision = fold_revision().revision.0;
        json(&RevisionReply { instance: name_revision.clone(), revision, log_reachable: true })
    });
    let verdict = warp::path!("operator" / "verdict" / String)
        .map(move |record: String| json(&verdict_of(&fold(), &record)));
    status.or(in_force).unify().or(revision).unify().or(verdict).unify()
}

fn folded(log: &[String], limit: usize) -> ConfigurationFold {
    let mut fold = ConfigurationFold::new(merge_files);
    for (offset, body) in log.iter().enumerate().take(limit) {
        let offset = LogOffset(offset as u64);
        fold.apply(&decode_entry(offset, WallMillis(5), body.as_bytes()).unwrap());
    }
    fold
}

fn verdict_of(fold: &ConfigurationFold, record: &str) -> VerdictReply {
    let verdict = fold.verdicts.get(&record.parse().unwrap()).map(|(_, verdict)| verdict.clone());
    match verdict {
        None => VerdictReply::Unseen,
        Some(ProposalVerdict::Accepted(revision)) => {
            VerdictReply::Accepted { revision: revision.0 }
        }
        Some(ProposalVerdict::Conflict { current, winner }) => {
            VerdictReply::Conflict { current: current.0, winner }
        }
        Some(ProposalVerdict::Invalid(message)) => VerdictReply::Invalid { message },
    }
}

fn json(value: &impl Serialize) -> Response {
    warp::reply::json(value).into_response()
}
