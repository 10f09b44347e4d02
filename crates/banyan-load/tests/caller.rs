//! The caller takes only the whole right answer as complete.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use banyan_http::client::plain_client;
use banyan_load::caller::CallEnd;
use banyan_load::caller::CallOrder;
use banyan_load::caller::call;
use banyan_standin::reference::expected_answer;

const TOKENS: u64 = 3;

/// Serves one connection with a stream of events and closes it.
async fn serve_events(events: String) -> SocketAddr {
    serve_reply(format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{events}")).await
}

async fn serve_reply(reply: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(reply.as_bytes()).await;
        let _ = stream.shutdown().await;
    });
    address
}

fn chunk(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"text\":\"{text}\",\"finish_reason\":null}}]}}\n\n")
}

fn end(tokens: u64) -> String {
    let end = format!(
        "{{\"outcome\":\"complete\",\"request_id\":\"r\",\"tokens\":{tokens},\"checksum\":\"\"}}"
    );
    format!("event: banyan\ndata: {end}\n\ndata: [DONE]\n\n")
}

async fn ask(address: SocketAddr) -> CallEnd {
    let order = CallOrder {
        address,
        token: SmolStr::new("token"),
        prompt: "p".to_owned(),
        tokens: TOKENS,
        deadline: Duration::from_secs(10),
        layers: 4,
    };
    call(&plain_client(), &order).await.end
}

fn right_chunks() -> Vec<String> {
    expected_answer(4, "p", TOKENS).iter().map(|token| chunk(token)).collect()
}

#[tokio::test]
async fn the_right_answer_is_complete() {
    let events = right_chunks().concat() + &end(TOKENS);
    assert_eq!(ask(serve_events(events).await).await, CallEnd::Complete);
}

#[tokio::test]
async fn another_text_is_wrong() {
    let mut chunks = right_chunks();
    chunks[1] = chunk("other ");
    let events = chunks.concat() + &end(TOKENS);
    assert!(matches!(ask(serve_events(events).await).await, CallEnd::Wrong(_)));
}

#[tokio::test]
async fn fewer_tokens_are_wrong() {
    let events = right_chunks()[..2].concat() + &end(TOKENS - 1);
    assert!(matches!(ask(serve_events(events).await).await, CallEnd::Wrong(_)));
}

#[tokio::test]
async fn a_stream_without_an_end_is_lost() {
    let events = right_chunks().concat();
    assert!(matches!(ask(serve_events(events).await).await, CallEnd::Lost(_)));
}

#[tokio::test]
async fn a_refusal_is_taken_at_its_word() {
    let body = "{\"error\":{\"message\":\"m\",\"type\":\"overloaded\",\"outcome\":\"not-run\",\
                \"request_id\":\"r\",\"retry_after_ms\":5}}";
    let reply = format!("HTTP/1.1 429 Too Many Requests\r\nconnection: close\r\n\r\n{body}");
    let refused = ask(serve_reply(reply).await).await;
    assert_eq!(refused, CallEnd::NotRun(SmolStr::new("overloaded")));
}

#[tokio::test]
async fn a_refused_connection_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert_eq!(ask(address).await, CallEnd::Unreached);
}
