//! `banyanctl` against entries and stand-ins: apply, serve, lose answers, refuse wrong files whole.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use smol_str::format_smolstr;

use banyan_config::settings::parse_settings;
use banyan_core::ids::LayerRange;
use banyan_core::ids::Revision;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::serving::decisions::DecisionSet;
use banyan_ctl::command::ctl_command;
use banyan_ctl::log_stream::LogClient;
use banyan_ctl::report::CommandReport;
use banyan_ctl::report::ExitKind;
use banyan_ctl::run::run_command;
use banyan_entry::daemon;
use banyan_entry::daemon::RunningEntry;
use banyan_http::client::JsonClient;
use banyan_standin::engine;
use banyan_standin::engine::EngineHandle;
use banyan_standin::engine::EngineOptions;
use banyan_standin::fault::LossKind;
use banyan_standin::fault::PlatformFault;
use banyan_standin::platform;
use banyan_standin::platform::PlatformHandle;
use banyan_standin::platform::PlatformOptions;
use banyan_standin::service;
use banyan_standin::service::ServiceHandle;
use banyan_standin::service::ServiceOptions;
use banyan_wire::operator::VerdictReply;

const FILE: &str = "quickstart.jsonc";
const TOKEN: &str = "quickstart-visits";
/// Long enough for a loaded machine; nothing waits it out.
const TIMEOUT_MS: &str = "30000";
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The quickstart's system in this process.
struct SmallSystem {
    platform: PlatformHandle,
    _engines: Vec<EngineHandle>,
    service: ServiceHandle,
    entries: Vec<RunningEntry>,
    directory: PathBuf,
}

impl Drop for SmallSystem {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl SmallSystem {
    async fn start(name: &str) -> Self {
        let platform = platform::start(PlatformOptions::default()).await.unwrap();
        let service = service::start(ServiceOptions::default()).await.unwrap();
        let mut text = example().replace("127.0.0.1:18201", &service.address.to_string());
        let mut engines = Vec::new();
        for (index, layers) in [(0, 12), (12, 24), (24, 36)].into_iter().enumerate() {
            let engine = engine::start(engine_options(index, layers)).await.unwrap();
            let declared = format!("127.0.0.1:1810{}", index + 1);
            text = text.replace(&declared, &engine.address.to_string());
            engines.push(engine);
        }
        let mut entries = Vec::new();
        for index in 1..=3 {
            entries.push(start_entry(index, platform.address).await);
        }
        let directory = std::env::temp_dir().join(format!("banyan-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let system = Self { platform, _engines: engines, service, entries, directory };
        system.write(&text);
        system.wait_listed().await;
        system
    }

    /// Waits until all entries stand on the instance list.
    async fn wait_listed(&self) {
        let listed = async {
            while self.run(&["status"]).await.is_none_or(|report| {
                let status: Value = serde_json::from_str(&report.json).unwrap();
                status["instances"].as_array().map(Vec::len) != Some(self.entries.len())
            }) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_LIMIT, listed).await.unwrap();
    }

    fn path(&self) -> String {
        self.directory.join(FILE).to_str().unwrap().into()
    }

    fn write(&self, text: &str) {
        std::fs::write(self.path(), text).unwrap();
    }

    async fn run(&self, words: &[&str]) -> Option<CommandReport> {
        let platform = self.platform.address.to_string();
        let shared = ["--platform", &platform, "--timeout-ms", TIMEOUT_MS];
        let line = std::iter::once("banyanctl").chain(words.iter().copied()).chain(shared);
        run_command(&ctl_command().try_get_matches_from(line).unwrap()).await.ok()
    }

    async fn apply(&self) -> CommandReport {
        self.run(&["apply", &self.path()]).await.unwrap()
    }

    async fn revision(&self) -> u64 {
        let report = self.run(&["in-force"]).await.unwrap();
        assert_eq!(report.exit, ExitKind::Done, "{}", report.text);
        serde_json::from_str::<Value>(&report.json).unwrap()["revision"].as_u64().unwrap()
    }

    /// Appends a proposal without checking it, and gives the verdict of each entry.
    async fn verdicts_on(&self, record: &str, base: u64, text: &str) -> Vec<VerdictReply> {
        let body = FactBody::Proposal {
            file: FILE.parse().unwrap(),
            base: Revision(base),
            author: format_smolstr!("nobody"),
            text: text.to_owned(),
        };
        let client = JsonClient::new(WAIT_LIMIT);
        let log = LogClient::new(client.clone(), self.platform.address);
        log.append(LogFact { id: record.parse().unwrap(), body }).await.unwrap();
        let mut verdicts = Vec::new();
        for entry in &self.entries {
            let path = format!("/operator/verdict/{record}");
            let verdict = async {
                loop {
                    let reply = client.get(entry.operator_address, &path).await.unwrap();
                    if reply != VerdictReply::Unseen {
                        return reply;
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            verdicts.push(tokio::time::timeout(WAIT_LIMIT, verdict).await.unwrap());
        }
        verdicts
    }
}

fn example() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(FILE);
    std::fs::read_to_string(path).unwrap()
}

fn engine_options(index: usize, (first, end): (u32, u32)) -> EngineOptions {
    EngineOptions {
        name: format_smolstr!("engine-{}", index + 1),
        model: format_smolstr!("visit-report"),
        model_layers: 36,
        layers: LayerRange { first, end },
        step_time: Duration::from_millis(1),
        ..EngineOptions::default()
    }
}

async fn start_entry(index: u32, platform: SocketAddr) -> RunningEntry {
    let name = format!("entry-{index}.jsonc");
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/quickstart");
    let text = std::fs::read_to_string(path.join(&name)).unwrap();
    let text = text.replace("127.0.0.1:18000", &platform.to_string());
    let settings = parse_settings(&name, &text).unwrap();
    daemon::start(settings, DecisionSet::product(), None).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn applied_system_serves_a_whole_answer_and_runs_a_booking_once() {
    let system = SmallSystem::start("serve").await;
    let report = system.apply().await;
    assert_eq!(report.exit, ExitKind::Done, "{}", report.text);
    assert!(report.text.contains("in force on all 3 live instances"), "{}", report.text);
    for entry in &system.entries {
        let caller = entry.caller_address.to_string();
        let draft = ["try", "completion", "--caller", &caller, "--token", TOKEN];
        let what = ["--model", "visit-report", "--prompt", "Tree is wide.", "--max-tokens", "7"];
        let report = system.run(&[&draft[..], &what[..]].concat()).await.unwrap();
        assert_eq!(report.exit, ExitKind::Done, "{}", report.text);
        assert!(report.json.contains("\"tokens\":7"), "{}", report.json);
        let call = ["try", "call", "--caller", &caller, "--token", TOKEN, "--service", "booking"];
        let what = ["--call", "book", "--key", "key-1", "--body", "{\"horse\":1}"];
        let report = system.run(&[&call[..], &what[..]].concat()).await.unwrap();
        assert!(report.text.contains("\"run\":1"), "{}", report.text);
    }
    assert_eq!(system.service.truth().runs.len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_do_not_keep_a_file_back() {
    let system = SmallSystem::start("lost").await;
    system.platform.fault(PlatformFault::LoseAnswers { count: 2, how: LossKind::Cut });
    let report = system.apply().await;
    assert_eq!(report.exit, ExitKind::Done, "{}", report.text);
    let history = system.run(&["history"]).await.unwrap();
    let accepted = history.text.matches(": accepted as revision 1").count();
    let repeated = history.text.matches(": repeated, without effect").count();
    assert_eq!((accepted, history.text.lines().count()), (1, 1 + repeated), "{}", history.text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_declaration_of_each_kind_is_refused_whole_with_place_and_remedy() {
    let system = SmallSystem::start("wrong").await;
    assert_eq!(system.apply().await.exit, ExitKind::Done);
    let valid = std::fs::read_to_string(system.path()).unwrap();
    let base = system.revision().await;
    let service = "\"service\": \"booking\"";
    let calls = format!("{service}, \"calls\": [\"book\", \"status\", \"cancel\"]");
    let cases = [
        ("unknown field", "\"share\": 4", "\"shares\": 4", "rename or remove it"),
        ("layer gap", "\"12-23\"", "\"13-23\"", "declare a target that holds layers 12-12"),
        ("layer overlap", "\"12-23\"", "\"11-23\"", "let one range begin where the other ends"),
        ("duplicate id", "\"engine-2\"", "\"engine-1\"", "rename or remove one of them"),
        ("no zone", "\"zone\": \"tuzla\"", "\"zone\": \"izmit\"", "declare it under 'zones'"),
        ("unknown call", service, &calls, "declare the call there or correct the name"),
    ];
    for (index, (kind, from, to, remedy)) in cases.into_iter().enumerate() {
        let wrong = valid.replacen(from, to, 1);
        assert_ne!(wrong, valid, "{kind}");
        system.write(&wrong);
        let report = system.apply().await;
        assert_eq!(report.exit, ExitKind::Refused, "{kind}: {}", report.text);
        assert!(report.text.starts_with("quickstart.jsonc:"), "{kind}: {}", report.text);
        assert!(report.text.contains(remedy), "{kind}: {}", report.text);
        for verdict in system.verdicts_on(&format!("wrong-{index}"), base, &wrong).await {
            let VerdictReply::Invalid { message } = verdict else { panic!("{kind}: {verdict:?}") };
            assert!(message.contains(remedy), "{kind}: {message}");
        }
        assert_eq!(system.revision().await, base, "{kind}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_have_one_winner_everywhere() {
    let system = SmallSystem::start("race").await;
    let path = system.path();
    let names = ["ayse", "marko", "iva", "can"];
    let apply = |author: &'static str| {
        let (system, path) = (&system, path.as_str());
        async move { system.run(&["apply", path, "--base", "0", "--author", author]).await.unwrap() }
    };
    let reports = futures::future::join_all(names.map(apply)).await;
    let winners: Vec<&CommandReport> =
        reports.iter().filter(|report| report.exit == ExitKind::Done).collect();
    assert_eq!(winners.len(), 1, "{reports:?}");
    let history = system.run(&["history"]).await.unwrap();
    let winner = names.iter().find(|name| {
        history.text.lines().any(|line| line.contains(**name) && line.contains(": accepted"))
    });
    let told = format!("but {} has put revision", winner.unwrap());
    let losers = reports.iter().filter(|report| report.exit == ExitKind::Refused);
    assert_eq!(losers.filter(|report| report.text.contains(&told)).count(), 3, "{reports:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_that_cannot_be_listed_are_not_taken_as_having_it() {
    let system = SmallSystem::start("list").await;
    assert_eq!(system.apply().await.exit, ExitKind::Done);
    system.platform.fault(PlatformFault::InstanceOutage { out: true });
    let entry = system.entries[0].operator_address.to_string();
    let words = ["in-force", "--entry", &entry];
    let report = system.run(&words).await.unwrap();
    assert_eq!(report.exit, ExitKind::NotEverywhere, "{}", report.text);
    assert!(report.text.contains("instance list does not answer"), "{}", report.text);
    assert!(system.run(&["in-force"]).await.is_none());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn history_asks_the_entries_where_the_log_has_forgotten_the_beginning() {
    let system = SmallSystem::start("history").await;
    assert_eq!(system.apply().await.exit, ExitKind::Done);
    let text = std::fs::read_to_string(system.path()).unwrap();
    system.write(&text.replacen("\"share\": 4", "\"share\": 5", 1));
    assert_eq!(system.apply().await.exit, ExitKind::Done);
    let trim = PlatformFault::Trim { stream: "configuration".into(), first: 1 };
    system.platform.fault(trim);
    let report = system.run(&["history"]).await.unwrap();
    assert!(report.text.contains("older proposals are gone"), "{}", report.text);
    assert!(report.text.contains("accepted as revision 2"), "{}", report.text);
}
