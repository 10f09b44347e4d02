//! A caller receives the whole answer to its own request: streams cut anywhere, crossed, or silent.

mod support;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use support::SystemPlan;
use support::TestSystem;
use support::caller::open_stream;
use support::truth::assert_once;
use support::truth::assert_whole;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use banyan_entry::steps::StepClient;
use banyan_entry::steps::StepError;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::EngineFault;
use banyan_wire::engine::StageActivations;
use banyan_wire::engine::StepEvent;
use banyan_wire::engine::StepId;
use banyan_wire::engine::StepRequest;
use banyan_wire::engine::StepWork;

/// The longest silence that these tests bear; far more than a busy machine needs for an answer.
const SILENCE: Duration = Duration::from_secs(3);

/// What a cut answer does after its last byte.
#[derive(Clone, Copy, Debug)]
enum CutEnd {
    Close,
    Silence,
}

fn step(token: u64) -> StepId {
    StepId { request: "entry@1.7".into(), lineage: 0, token, stage: 1 }
}

fn answer(step: StepId, digest: u64) -> StepEvent {
    let output = StageActivations { digest, bytes: 16 };
    StepEvent::Answer { step, output, token: None, cached: 0, incarnation: "engine-1".into() }
}

/// The whole response to a batch of one step: an answer of another step, a heartbeat, the answer.
fn whole_response() -> Vec<u8> {
    let events = [answer(step(4), 44), StepEvent::Heartbeat, answer(step(5), 55), StepEvent::Done];
    let mut body = String::new();
    for event in events {
        let line = serde_json::to_string(&event).unwrap() + "\n";
        body.push_str(&format!("{:x}\r\n{line}\r\n", line.len()));
    }
    body.push_str("0\r\n\r\n");
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{body}").into_bytes()
}

/// Answers every connection with the first `length` bytes of the response.
async fn serve_cut(listener: TcpListener, length: usize, end: CutEnd) -> io::Result<()> {
    loop {
        let (mut stream, _) = listener.accept().await?;
        read_request(&mut stream).await?;
        stream.write_all(&whole_response()[..length]).await?;
        if matches!(end, CutEnd::Silence) {
            // The stream is kept open and never written to again.
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs(60)).await;
                drop(stream);
            });
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> io::Result<()> {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await?;
        request.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&request);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        if count == 0 || body.len() >= length {
            return Ok(());
        }
    }
}

async fn run_step(address: SocketAddr) -> Result<u64, StepError> {
    let order = StepRequest {
        step: step(5),
        model: "model".into(),
        first_layer: 0,
        end_layer: 4,
        work: StepWork::Token { input: StageActivations { digest: 1, bytes: 16 } },
        priority: 5,
        deadline_ms: 1000,
    };
    let client = StepClient::default();
    let target = "engine-1".parse().unwrap();
    client.run(&target, address, order, SILENCE).await.map(|answer| answer.output.digest)
}

async fn check_cut_everywhere(end: CutEnd) {
    let whole = whole_response();
    let marker = b"\"token\":5";
    let place = whole.windows(marker.len()).position(|window| window == marker).unwrap();
    let line_end = place + whole[place..].iter().position(|byte| *byte == b'\n').unwrap();
    let checks = (0..=whole.len()).map(|length| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(serve_cut(listener, length, end));
        let result = run_step(address).await;
        server.abort();
        match result {
            // The right answer, and only once its whole line was there.
            Ok(digest) => assert!(digest == 55 && length > line_end, "cut at {length}: {digest}"),
            Err(error) => assert!(length <= line_end + 2, "cut at {length}: {error}"),
        }
    });
    futures::future::join_all(checks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_closed_at_every_byte_is_whole_or_an_error() {
    check_cut_everywhere(CutEnd::Close).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_silent_from_every_byte_is_whole_or_an_error() {
    check_cut_everywhere(CutEnd::Silence).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_streams_over_crossed_and_doubled_answers_are_whole() {
    let plan = SystemPlan { entries: 3, ..Default::default() };
    let system = TestSystem::start(plan).await;
    for engine in system.engines.iter().flatten() {
        engine.fault(EngineFault::CrossAnswers { count: 200 });
        engine.fault(EngineFault::DuplicateAnswers { count: 200 });
    }
    let streams = (0..24).map(|number| {
        let entry = system.caller(number % 3);
        async move {
            let prompt = format!("note {number}");
            let mut answer = open_stream(entry, &prompt, 10).await.unwrap();
            answer.read_all().await;
            assert_whole(&answer, &prompt, 10);
            answer.request
        }
    });
    for request in futures::future::join_all(streams).await {
        assert_once(&system, &request, 10, None);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_go_on_when_every_open_connection_goes_silent() {
    let plan = SystemPlan { entries: 2, ..Default::default() };
    let system = TestSystem::start(plan).await;
    let mut answers = Vec::new();
    for number in 0..8 {
        let prompt = format!("note {number}");
        let mut answer = open_stream(system.caller(number % 2), &prompt, 20).await.unwrap();
        answer.read_tokens(2).await;
        answers.push((prompt, answer));
    }
    for engine in system.engines.iter().flatten() {
        engine.fault(EngineFault::Connection(ConnectionFault::Silence));
    }
    for (prompt, answer) in &mut answers {
        answer.read_all().await;
        assert_whole(answer, prompt, 20);
    }
    for (_, answer) in &answers {
        assert_once(&system, &answer.request, 20, None);
    }
}
