//! The platform keeps its documented rules, also under each fault.

use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use smol_str::SmolStr;

use banyan_standin::client::JsonClient;
use banyan_standin::client::RawReply;
use banyan_standin::fault::LossKind;
use banyan_standin::fault::PlatformFault;
use banyan_standin::platform;
use banyan_standin::platform::PlatformHandle;
use banyan_standin::platform::PlatformOptions;
use banyan_wire::platform::AppendReply;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;
use banyan_wire::platform::InstancesReply;
use banyan_wire::platform::ReadReply;

struct Bench {
    client: JsonClient,
    platform: PlatformHandle,
}

impl Bench {
    async fn new(options: PlatformOptions) -> Self {
        let platform = platform::start(options).await.expect("a free port");
        Self { client: JsonClient::default(), platform }
    }

    async fn append(&self, body: &str) -> eyre::Result<RawReply> {
        let body = body.to_owned();
        self.client.send(Method::POST, self.platform.address, "/log/s", body).await
    }

    async fn read(&self, query: &str) -> eyre::Result<ReadReply> {
        self.client.get(self.platform.address, &format!("/log/s?{query}")).await
    }
}

#[tokio::test]
async fn offsets_count_up_and_reads_start_where_asked() {
    let bench = Bench::new(PlatformOptions::default()).await;
    for (offset, body) in ["a", "b", "c"].iter().enumerate() {
        let reply: AppendReply = bench.append(body).await.expect("taken").json().expect("JSON");
        assert_eq!(reply.offset, offset as u64);
    }
    let reply = bench.read("from=1&limit=1").await.expect("a read");
    assert_eq!((reply.first, reply.next), (0, 3));
    let bodies: Vec<&str> = reply.entries.iter().map(|entry| entry.body.as_str()).collect();
    assert_eq!(bodies, ["b"]);
}

#[tokio::test]
async fn a_read_waits_for_the_entry_at_its_offset() {
    let bench = Bench::new(PlatformOptions::default()).await;
    let (read, _) = tokio::join!(bench.read("from=0&wait_ms=20000"), bench.append("a"));
    assert_eq!(read.expect("a read").entries.len(), 1);
}

#[tokio::test]
async fn appends_above_the_rate_are_refused_and_do_not_land() {
    let options = PlatformOptions { append_rate: 1, ..PlatformOptions::default() };
    let bench = Bench::new(options).await;
    assert_eq!(bench.append("a").await.expect("an answer").status, StatusCode::OK);
    let second = bench.append("b").await.expect("an answer").status;
    assert_eq!(second, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(bench.read("from=0").await.expect("a read").next, 1);
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_has_landed() {
    let bench = Bench::new(PlatformOptions::default()).await;
    bench.platform.fault(PlatformFault::LoseAnswers { count: 1, how: LossKind::Cut });
    assert!(bench.append("a").await.is_err());
    assert_eq!(bench.read("from=0").await.expect("a read").entries[0].body, "a");
}

#[tokio::test]
async fn a_late_append_lands_after_its_error() {
    let bench = Bench::new(PlatformOptions::default()).await;
    bench.platform.fault(PlatformFault::LateAppends { count: 1, delay_ms: 50 });
    let status = bench.append("late").await.expect("an answer").status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let reply = bench.read("from=0&wait_ms=20000").await.expect("a read");
    assert_eq!(reply.entries[0].body, "late");
}

#[tokio::test]
async fn reads_and_appends_fail_apart() {
    let bench = Bench::new(PlatformOptions::default()).await;
    bench.platform.fault(PlatformFault::Outage { reads: false, appends: true });
    assert!(!bench.append("a").await.expect("an answer").status.is_success());
    assert!(bench.read("from=0").await.is_ok());
    bench.platform.fault(PlatformFault::Outage { reads: true, appends: false });
    assert!(bench.append("a").await.expect("an answer").status.is_success());
    assert!(bench.read("from=0").await.is_err());
    assert_eq!(bench.platform.truth().appends.len(), 1);
}

#[tokio::test]
async fn trimmed_entries_are_gone_and_offsets_go_on() {
    let bench = Bench::new(PlatformOptions::default()).await;
    for body in ["a", "b", "c"] {
        bench.append(body).await.expect("taken");
    }
    bench.platform.fault(PlatformFault::Trim { stream: "s".to_owned(), first: 2 });
    let reply = bench.read("from=0").await.expect("a read");
    assert_eq!((reply.first, reply.next, reply.entries.len()), (2, 3, 1));
}

#[tokio::test]
async fn the_instance_list_lags_by_what_is_set() {
    let bench = Bench::new(PlatformOptions::default()).await;
    let row = |state| InstanceWire {
        name: SmolStr::new("e1"),
        role: InstanceRole::Target,
        state,
        zone: SmolStr::new("zone-a"),
        caller_address: None,
        peer_address: None,
        operator_address: None,
    };
    bench.platform.announce(row(InstanceState::Live));
    let list: InstancesReply =
        bench.client.get(bench.platform.address, "/instances").await.expect("a list");
    assert_eq!(list.instances[0].state, InstanceState::Live);
    bench.platform.fault(PlatformFault::InstanceLag { lag_ms: 3_600_000 });
    bench.platform.announce(row(InstanceState::Leaving));
    let list: InstancesReply =
        bench.client.get(bench.platform.address, "/instances").await.expect("a list");
    assert!(list.instances.iter().all(|row| row.state == InstanceState::Live));
    bench.platform.fault(PlatformFault::InstanceLag { lag_ms: 0 });
    let list: InstancesReply =
        bench.client.get(bench.platform.address, "/instances").await.expect("a list");
    assert_eq!(list.instances[0].state, InstanceState::Leaving);
}

#[tokio::test]
async fn slow_calls_still_take_effect() {
    let bench = Bench::new(PlatformOptions::default()).await;
    bench.platform.fault(PlatformFault::Slow { delay_ms: 100 });
    let waited = tokio::time::timeout(Duration::from_millis(10), bench.append("a")).await;
    assert!(waited.is_err());
    assert!(bench.append("b").await.expect("an answer").status.is_success());
}
