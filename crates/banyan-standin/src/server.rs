//! The HTTP server that all stand-ins share: [`start_server`].
//!
//! It listens twice: on the address that the system uses, whose bytes pass the gate, and on one for
//! control, which answers whatever fault is set.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;

use crate::fault::ConnectionFault;
use crate::gate::ConnectionGate;

/// The exit code of a process that a fault killed.
const KILLED_EXIT_CODE: i32 = 137;

/// The body of a stand-in's answer. An error in it breaks the connection.
pub type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;

/// A stand-in's answer; an error breaks the connection without an answer.
pub type ReplyResult = Result<Response<ReplyBody>, io::Error>;

/// Answers the requests of one stand-in.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = ReplyResult> + Send;
}

/// A server that runs in this process and stops when it is dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Where the system reaches it.
    pub address: SocketAddr,
    /// Where control reaches it.
    pub control_address: SocketAddr,
    tasks: Vec<AbortHandle>,
}

impl RunningServer {
    /// Adds a task that stops with the server.
    pub fn attach(&mut self, task: AbortHandle) {
        self.tasks.push(task);
    }

    /// Stops it: connections break and new ones are refused.
    pub fn stop(&mut self) {
        self.tasks.drain(..).for_each(|task| task.abort());
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a server.
pub async fn start_server<H: RequestHandler>(
    address: SocketAddr,
    gate: Arc<ConnectionGate>,
    handler: Arc<H>,
) -> io::Result<RunningServer> {
    let listener = TcpListener::bind(address).await?;
    let control = TcpListener::bind(SocketAddr::new(address.ip(), 0)).await?;
    let address = listener.local_addr()?;
    let control_address = control.local_addr()?;
    let gated = tokio::spawn(accept_gated(listener, address, gate, Arc::clone(&handler)));
    let open = tokio::spawn(accept_open(control, handler));
    let tasks = vec![gated.abort_handle(), open.abort_handle()];
    Ok(RunningServer { address, control_address, tasks })
}

async fn accept_gated<H: RequestHandler>(
    listener: TcpListener,
    address: SocketAddr,
    gate: Arc<ConnectionGate>,
    handler: Arc<H>,
) {
    let mut mode = gate.watch();
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        if !mode.borrow_and_update().listening {
            // Connections are refused only where nothing listens.
            listener = None;
        }
        if mode.wait_for(|mode| mode.listening).await.is_err() {
            return;
        }
        let bound = match listener.take() {
            Some(listener) => listener,
            None => match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(error) => {
                    log::error!("server: {address} cannot be bound again: {error}");
                    return;
                }
            },
        };
        loop {
            tokio::select! {
                accepted = bound.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let _ = stream.set_nodelay(true);
                    connections.spawn(serve(gate.admit(stream), Arc::clone(&handler)));
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
                changed = mode.wait_for(|mode| !mode.listening) => {
                    if changed.is_err() {
                        return;
                    }
                    break;
                }
            }
        }
    }
}

async fn accept_open<H: RequestHandler>(listener: TcpListener, handler: Arc<H>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, Arc::clone(&handler)));
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

async fn serve<H, S>(stream: S, handler: Arc<H>)
where
    H: RequestHandler,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        log::debug!("server: connection ended: {error}");
    }
}

/// Carries out a fault of connections or of the process.
///
/// `exits` says whether the stand-in is a process of its own, which a kill ends.
pub fn apply_connection_fault(gate: &ConnectionGate, fault: ConnectionFault, exits: bool) {
    match fault {
        ConnectionFault::Kill if exits => std::process::exit(KILLED_EXIT_CODE),
        ConnectionFault::Kill => gate.kill(),
        ConnectionFault::Restart => gate.restart(),
        ConnectionFault::Freeze => gate.set_frozen(true),
        ConnectionFault::Thaw => gate.set_frozen(false),
        ConnectionFault::Cut => gate.set_cut(true),
        ConnectionFault::Restore => gate.set_cut(false),
        ConnectionFault::Silence => gate.silence(),
    }
}

/// Reads a whole body.
pub async fn read_body(request: Request<Incoming>) -> io::Result<Bytes> {
    let body = request.into_body().collect().await.map_err(io::Error::other)?;
    Ok(body.to_bytes())
}

/// Reads a body as JSON, or gives the answer that refuses it.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> io::Result<Result<T, Response<ReplyBody>>> {
    let body = read_body(request).await?;
    Ok(serde_json::from_slice(&body)
        .map_err(|error| text_reply(StatusCode::BAD_REQUEST, format!("not the JSON: {error}"))))
}

/// An answer with a JSON body.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Response<ReplyBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = body_reply(status, Bytes::from(body));
    let json = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, json);
    reply
}

/// An answer with a text body.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> Response<ReplyBody> {
    body_reply(status, Bytes::from(text.into()))
}

/// An answer with these bytes.
pub fn body_reply(status: StatusCode, body: Bytes) -> Response<ReplyBody> {
    let body = Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
}

/// The error that breaks a connection in place of an answer.
pub fn lost_answer() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the answer was lost by a fault")
}

/// The parameters of a query such as `from=3&limit=10`.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
