//! The HTTP interface for callers: [`routes`].

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::reply::Response;
use warp::sse::Event;

use crate::completion::CompletionEvent;
use crate::completion::note_end;
use crate::completion::run_completion;
use crate::daemon;
use crate::lineage::AnswerOrder;
use crate::refusal::Refusal;
use crate::services::ServiceOrder;
use crate::services::run_call;
use crate::state::EntryState;
use crate::state::ServingPhase;
use banyan_core::ids::CallId;
use banyan_core::ids::IdempotencyKey;
use banyan_core::ids::ModelId;
use banyan_core::ids::RequestId;
use banyan_core::ids::Revision;
use banyan_core::ids::ServiceId;
use banyan_core::ids::WorkspaceId;
use banyan_core::record::ContentDigest;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_http::body_limits::BodyFault;
use banyan_http::body_limits::receive_body;
use banyan_wire::caller::ChatRequest;
use banyan_wire::caller::CompletionRequest;
use banyan_wire::caller::DEADLINE_HEADER;
use banyan_wire::caller::IDEMPOTENCY_KEY_HEADER;
use banyan_wire::caller::OUTCOME_HEADER;
use banyan_wire::caller::OutcomeWire;
use banyan_wire::caller::REQUEST_ID_HEADER;
use banyan_wire::caller::StreamEnd;

/// The maximum size of a request body.
const BODY_LIMIT_BYTES: u64 = 1 << 20;
/// The retry delay when the memory for callers is used up. Bodies that are told to end release
/// their memory within it.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The maximum deadline that a caller may set; a longer one is shortened to it.
const DEADLINE_LIMIT: Duration = Duration::from_secs(600);

/// The format of an answer, which depends on the completion endpoint that was called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CompletionFormat {
    Text,
    Chat,
}

/// The routes for completions, service calls and health checks.
pub fn routes(
    state: Arc<EntryState>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let shared = warp::any().map(move || state.clone());
    let post = warp::post()
        .and(shared.clone())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream());
    let text = warp::path!("v1" / "completions").and(post.clone()).then(
        |state: Arc<EntryState>, headers: HeaderMap, body| async move {
            let parse =
                |body: &[u8]| parse_body::<CompletionRequest>(body).map(CompletionFields::from);
            let body = read_body(&state, &headers, body).await;
            serve_completion(state, headers, body, CompletionFormat::Text, parse).await
        },
    );
    let chat = warp::path!("v1" / "chat" / "completions").and(post.clone()).then(
        |state: Arc<EntryState>, headers: HeaderMap, body| async move {
            let parse = |body: &[u8]| parse_body::<ChatRequest>(body).map(CompletionFields::from);
            let body = read_body(&state, &headers, body).await;
            serve_completion(state, headers, body, CompletionFormat::Chat, parse).await
        },
    );
    let service = warp::path!("v1" / "services" / String / String).and(post).then(
        |service: String, call: String, state: Arc<EntryState>, headers: HeaderMap, body| async move {
            let body = read_body(&state, &headers, body).await;
            serve_call(state, headers, body, &service, &call).await
        },
    );
    let live = warp::path!("live").and(warp::get()).map(|| "live\n".into_response());
    let ready = warp::path!("ready").and(warp::get()).and(shared).map(|state: Arc<EntryState>| {
        let readiness = daemon::readiness(&state);
        let status = if readiness.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        warp::reply::with_status(warp::reply::json(&readiness), status).into_response()
    });
    text.or(chat).unify().or(service).unify().or(live).unify().or(ready).unify()
}

/// The fields that text and chat completion requests have in common.
struct CompletionFields {
    model: SmolStr,
    prompt: String,
    max_tokens: u64,
    stream: bool,
}

impl From<CompletionRequest> for CompletionFields {
    fn from(request: CompletionRequest) -> Self {
        Self {
            model: request.model,
            prompt: request.prompt,
            max_tokens: request.max_tokens,
            stream: request.stream,
        }
    }
}

impl From<ChatRequest> for CompletionFields {
    fn from(request: ChatRequest) -> Self {
        let lines = request.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
        Self {
            prompt: lines.collect(),
            model: request.model,
            max_tokens: request.max_tokens,
            stream: request.stream,
        }
    }
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::Malformed(format!("the body is not understood: {error}")))
}

async fn read_body<S, B>(state: &EntryState, headers: &HeaderMap, body: S) -> Result<Bytes, Refusal>
where
    S: futures::Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let limit = BODY_LIMIT_BYTES;
    let too_large = || Refusal::Malformed(format!("the body is over {limit} bytes: shorten it"));
    // The routes' stream has no length, so the announced one is read from the header.
    let announced = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let announced = announced.and_then(|text| text.parse::<u64>().ok());
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let body = Box::pin(StreamBody::new(body.map(|part| part.map(Frame::data))));
    let received = receive_body(&state.memory, body, ByteCount(limit)).await;
    received.map_err(|fault| match fault {
        BodyFault::TooLarge(_) => too_large(),
        BodyFault::MemoryUsedUp => Refusal::Overloaded { retry_after: NO_MEMORY_RETRY_AFTER },
        BodyFault::TooSlow | BodyFault::Broken(_) => Refusal::Malformed(fault.to_string()),
    })
}

/// Refuses new requests while the instance is stopping, has no configuration or is isolated.
fn check_serving(state: &EntryState) -> Result<(), Refusal> {
    if *state.phase.borrow() == ServingPhase::Draining {
        return Err(Refusal::Draining);
    }
    if state.tables().revision == Revision(0) {
        return Err(Refusal::NoConfiguration);
    }
    if crate::isolation::is_isolated(state) {
        return Err(Refusal::Isolated);
    }
    Ok(())
}

fn authenticate(state: &EntryState, headers: &HeaderMap) -> Result<WorkspaceId, Refusal> {
    let header = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = header.and_then(|value| value.strip_prefix("Bearer "));
    let token = token.ok_or(Refusal::UnknownToken)?;
    let digest = Sha256::digest(token.trim().as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let tables = state.tables();
    tables.tokens.get(digest.as_str()).cloned().ok_or(Refusal::UnknownToken)
}

fn deadline(state: &EntryState, headers: &HeaderMap) -> Result<Moment, Refusal> {
    let default = state.tables().declaration.policy.default_deadline;
    let time = match headers.get(DEADLINE_HEADER) {
        None => default,
        Some(value) => {
            let millis = value.to_str().ok().and_then(|text| text.parse().ok());
            let message = format!("{DEADLINE_HEADER} is not a whole number of milliseconds");
            Duration::from_millis(millis.ok_or(Refusal::Malformed(message))?)
        }
    };
    Ok(state.now() + time.min(DEADLINE_LIMIT))
}

async fn serve_completion(
    state: Arc<EntryState>,
    headers: HeaderMap,
    body: Result<Bytes, Refusal>,
    format: CompletionFormat,
    parse: impl Fn(&[u8]) -> Result<CompletionFields, Refusal>,
) -> Response {
    let request = state.next_request();
    let order = body.and_then(|body| {
        check_serving(&state)?;
        let workspace = authenticate(&state, &headers)?;
        let prompt = parse(&body)?;
        let stream = prompt.stream;
        Ok((answer_order(&state, &headers, &request, workspace, prompt)?, stream))
    });
    let (order, stream) = match order {
        Ok(order) => order,
        Err(refusal) => {
            note_end(&state, &request.to_string(), Err(&refusal));
            return refusal_response(&refusal, &request);
        }
    };
    let model = order.model.clone();
    let mut events = run_completion(state, order);
    // The first event decides the HTTP status, so that a refusal is never hidden in a stream.
    let first = events.recv().await;
    match first {
        None => refusal_response(&Refusal::Incomplete("the answer was lost".to_owned()), &request),
        Some(CompletionEvent::Failed(refusal)) => refusal_response(&refusal, &request),
        Some(first) if stream => stream_answer(first, events, format, &model, &request),
        Some(first) => collect_answer(first, events, format, &model, &request).await,
    }
}

fn answer_order(
    state: &EntryState,
    headers: &HeaderMap,
    request: &RequestId,
    workspace: WorkspaceId,
    prompt: CompletionFields,
) -> Result<AnswerOrder, Refusal> {
    let deadline = deadline(state, headers)?;
    let not_found = || Refusal::NotFound(format!("no model '{}': check its name", prompt.model));
    let model: ModelId = prompt.model.parse().map_err(|_| not_found())?;
    let tables = state.tables();
    let spec = tables.declaration.models.get(&model).cloned().ok_or_else(not_found)?;
    if prompt.max_tokens == 0 || prompt.max_tokens > spec.answer_limit.0 {
        let limit = spec.answer_limit;
        return Err(Refusal::Malformed(format!("max_tokens must be 1 to {}", limit.0)));
    }
    let priority = tables.declaration.workspaces.get(&workspace).map_or(5, |spec| spec.priority);
    let content = ContentDigest::of(format!("{model}\n{}", prompt.prompt).as_bytes());
    Ok(AnswerOrder {
        request: request.clone(),
        workspace,
        priority,
        model,
        spec,
        prompt: prompt.prompt,
        content,
        max_tokens: prompt.max_tokens,
        deadline,
    })
}

fn stream_chunk(
    format: CompletionFormat,
    model: &ModelId,
    request: &RequestId,
    text: &str,
    end: bool,
) -> serde_json::Value {
    let reason = end.then_some("stop");
    match format {
        CompletionFormat::Text => json!({
            "id": request.to_string(), "object": "text_completion", "model": model.as_str(),
            "choices": [{"index": 0, "text": text, "finish_reason": reason}],
        }),
        CompletionFormat::Chat => json!({
            "id": request.to_string(), "object": "chat.completion.chunk", "model": model.as_str(),
            "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": reason}],
        }),
    }
}

fn stream_answer(
    first: CompletionEvent,
    events: mpsc::Receiver<CompletionEvent>,
    format: CompletionFormat,
    model: &ModelId,
    request: &RequestId,
) -> Response {
    let (model, id) = (model.clone(), request.clone());
    let completion_events = stream::once(async { first }).chain(ReceiverStream::new(events));
    let sse_stream = completion_events.flat_map(move |event| {
        let sse_events = match event {
            CompletionEvent::Token(text) => {
                vec![json_event(None, &stream_chunk(format, &model, &id, &text, false))]
            }
            CompletionEvent::End(end) => vec![
                json_event(None, &stream_chunk(format, &model, &id, "", true)),
                json_event(Some("banyan"), &end),
                Event::default().data("[DONE]"),
            ],
            CompletionEvent::Failed(refusal) => {
                vec![json_event(Some("error"), &refusal.reply(&id))]
            }
        };
        stream::iter(sse_events.into_iter().map(Ok::<Event, Infallible>))
    });
    let mut response = warp::sse::reply(sse_stream).into_response();
    put_header(&mut response, REQUEST_ID_HEADER, &request.to_string());
    response
}

fn json_event<T: Serialize>(name: Option<&str>, value: &T) -> Event {
    let text = serde_json::to_string(value).unwrap_or_default();
    let event = Event::default().data(text);
    match name {
        Some(name) => event.event(name),
        None => event,
    }
}

async fn collect_answer(
    first: CompletionEvent,
    mut events: mpsc::Receiver<CompletionEvent>,
    format: CompletionFormat,
    model: &ModelId,
    request: &RequestId,
) -> Response {
    let mut text = String::new();
    let mut event = Some(first);
    loop {
        match event {
            Some(CompletionEvent::Token(token)) => text.push_str(&token),
            Some(CompletionEvent::End(end)) => {
                return complete_reply(&text, &end, format, model, request);
            }
            Some(CompletionEvent::Failed(refusal)) => return refusal_response(&refusal, request),
            None => {
                return refusal_response(
                    &Refusal::Incomplete("the answer was lost".to_owned()),
                    request,
                );
            }
        }
        event = events.recv().await;
    }
}

fn complete_reply(
    text: &str,
    end: &StreamEnd,
    format: CompletionFormat,
    model: &ModelId,
    request: &RequestId,
) -> Response {
    let usage = json!({"completion_tokens": end.tokens});
    let body = match format {
        CompletionFormat::Text => json!({
            "id": request.to_string(), "object": "text_completion", "model": model.as_str(),
            "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
            "usage": usage, "banyan": end,
        }),
        CompletionFormat::Chat => json!({
            "id": request.to_string(), "object": "chat.completion", "model": model.as_str(),
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": usage, "banyan": end,
        }),
    };
    let mut response = warp::reply::json(&body).into_response();
    put_header(&mut response, REQUEST_ID_HEADER, &request.to_string());
    put_header(&mut response, OUTCOME_HEADER, &OutcomeWire::Complete.to_string());
    response
}

async fn serve_call(
    state: Arc<EntryState>,
    headers: HeaderMap,
    body: Result<Bytes, Refusal>,
    service: &str,
    call: &str,
) -> Response {
    let request = state.next_request();
    let order = body.and_then(|body| {
        check_serving(&state)?;
        let workspace = authenticate(&state, &headers)?;
        service_order(&state, &headers, &request, workspace, service, call, body)
    });
    let result = match order {
        Ok(order) => run_call(state.clone(), order).await,
        Err(refusal) => Err(refusal),
    };
    let detail = match &result {
        Ok(answer) => Ok(format!("status {}", answer.status)),
        Err(refusal) => Err(refusal),
    };
    note_end(&state, &request.to_string(), detail);
    match result {
        Ok(answer) => {
            let mut response = Response::new(answer.body.into());
            if let Some(held) = answer.held {
                response.extensions_mut().insert(held);
            }
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            put_header(&mut response, CONTENT_TYPE.as_str(), "application/json");
            put_header(&mut response, REQUEST_ID_HEADER, &request.to_string());
            put_header(&mut response, OUTCOME_HEADER, &OutcomeWire::Complete.to_string());
            response
        }
        Err(refusal) => refusal_response(&refusal, &request),
    }
}

fn service_order(
    state: &EntryState,
    headers: &HeaderMap,
    request: &RequestId,
    workspace: WorkspaceId,
    service: &str,
    call: &str,
    body: Bytes,
) -> Result<ServiceOrder, Refusal> {
    let deadline = deadline(state, headers)?;
    let not_found = || Refusal::NotFound(format!("no call '{service}/{call}': check its name"));
    let service: ServiceId = service.parse().map_err(|_| not_found())?;
    let call: CallId = call.parse().map_err(|_| not_found())?;
    let key = match headers.get(IDEMPOTENCY_KEY_HEADER) {
        None => None,
        Some(value) => {
            let text = value.to_str().unwrap_or_default();
            let key = text.parse::<IdempotencyKey>();
            Some(key.map_err(|error| Refusal::Malformed(error.to_string()))?)
        }
    };
    let tables = state.tables();
    let spec = tables.declaration.services.get(&service);
    let spec = spec.and_then(|spec| spec.calls.get(&call)).cloned().ok_or_else(not_found)?;
    Ok(ServiceOrder {
        request: request.clone(),
        workspace,
        service,
        call,
        spec,
        key,
        body,
        deadline,
    })
}

fn refusal_response(refusal: &Refusal, request: &RequestId) -> Response {
    let reply = warp::reply::json(&refusal.reply(request));
    let mut response = warp::reply::with_status(reply, refusal.status()).into_response();
    put_header(&mut response, OUTCOME_HEADER, &refusal.outcome().to_string());
    put_header(&mut response, REQUEST_ID_HEADER, &request.to_string());
    if let Some(time) = refusal.retry_after() {
        // The header has whole seconds, rounded up; the body has the exact time.
        let seconds = time.as_millis().div_ceil(1000);
        put_header(&mut response, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}

fn put_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
