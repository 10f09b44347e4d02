//! The callers' interface of the router: [`routes`].

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::reply::Response;
use warp::sse::Event;

use crate::router::answers::run_answer;
use crate::router::calls::ServiceCall;
use crate::router::calls::run_call;
use crate::router::tables::RouterState;
use banyan_core::record::ContentDigest;
use banyan_wire::caller::CompletionRequest;
use banyan_wire::caller::ErrorBody;
use banyan_wire::caller::ErrorReply;
use banyan_wire::caller::IDEMPOTENCY_KEY_HEADER;
use banyan_wire::caller::OUTCOME_HEADER;
use banyan_wire::caller::OutcomeWire;
use banyan_wire::caller::REQUEST_ID_HEADER;
use banyan_wire::caller::StreamEnd;

/// The number of tokens buffered for a slow caller.
const TOKEN_BUFFER: usize = 64;

/// The HTTP routes: streamed completions and service calls.
pub(super) fn routes(
    state: Arc<RouterState>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let shared = warp::any().map(move || state.clone());
    let completion = warp::path!("v1" / "completions")
        .and(shared.clone())
        .and(warp::body::json())
        .map(stream_completion);
    let call = warp::path!("v1" / "services" / String / String)
        .and(shared)
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(serve_call);
    warp::post().and(completion.or(call).unify())
}

fn stream_completion(state: Arc<RouterState>, completion: CompletionRequest) -> Response {
    let request = state.next_request();
    let (sender, receiver) = mpsc::channel(TOKEN_BUFFER);
    let id = request.clone();
    tokio::spawn(async move { run_answer(&state, &id, &completion, &sender).await });
    let mut response = warp::sse::reply(answer_events(request.clone(), receiver)).into_response();
    set_header(&mut response, REQUEST_ID_HEADER, &request);
    response
}

/// Emits the tokens, and the completion events once the channel is closed.
///
/// A channel closed by a failure also produces the completion events.
fn answer_events(
    request: SmolStr,
    receiver: mpsc::Receiver<SmolStr>,
) -> impl futures::Stream<Item = Result<Event, Infallible>> + Send + Sync + 'static {
    let tokens = ReceiverStream::new(receiver).map(Some).chain(stream::iter([None]));
    let events = tokens.scan(Vec::new(), move |answer: &mut Vec<SmolStr>, token| {
        let events = match token {
            Some(text) => {
                let chunk = json!({ "choices": [{ "index": 0, "text": text }] });
                answer.push(text);
                vec![Event::default().data(chunk.to_string())]
            }
            None => completion_events(&request, answer),
        };
        futures::future::ready(Some(stream::iter(events.into_iter().map(Ok))))
    });
    events.flatten()
}

fn completion_events(request: &SmolStr, answer: &[SmolStr]) -> Vec<Event> {
    let end = StreamEnd {
        outcome: OutcomeWire::Complete,
        request_id: request.clone(),
        tokens: answer.len() as u64,
        checksum: format_smolstr!("{}", ContentDigest::of(answer.concat().as_bytes())),
    };
    vec![Event::default().event("banyan").data(to_json(&end)), Event::default().data("[DONE]")]
}

async fn serve_call(
    service: String,
    call: String,
    state: Arc<RouterState>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let request = state.next_request();
    let key =
        headers.get(IDEMPOTENCY_KEY_HEADER).and_then(|value| value.to_str().ok()).map(SmolStr::new);
    let service_call = ServiceCall { service, call, key, body };
    let (status, outcome, body) = match run_call(state, service_call).await {
        Some(answer) => (StatusCode::OK, OutcomeWire::Complete, answer),
        None => (StatusCode::SERVICE_UNAVAILABLE, OutcomeWire::NotRun, error_body(&request)),
    };
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    set_header(&mut response, REQUEST_ID_HEADER, &request);
    set_header(&mut response, OUTCOME_HEADER, &outcome.to_string());
    response
}

fn error_body(request: &SmolStr) -> Bytes {
    let error = ErrorBody {
        message: "there was no answer; try again".to_owned(),
        kind: SmolStr::new_static("no_answer"),
        outcome: OutcomeWire::NotRun,
        request_id: request.clone(),
        retry_after_ms: None,
    };
    Bytes::from(to_json(&ErrorReply { error }))
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
