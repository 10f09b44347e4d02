//! A routed request with its workspace and deadline: [`RoutedRequest`].

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Uri;
use http::header;
use http::request::Parts;
use http_body_util::Full;
use xxhash_rust::xxh3::Xxh3;

use crate::decisions::admission::RequestRank;
use crate::edges::AnswerFacts;
use crate::edges::CallerRequest;
use crate::edges::Dispatch;
use crate::edges::RequestToken;
use crate::edges::WireFormat;
use banyan_core::ids::ServiceId;
use banyan_core::ids::WorkspaceId;
use banyan_core::pipeline::crashes::RequestTrait;
use banyan_core::pipeline::crashes::TraitKind;
use banyan_core::pipeline::priority::EffectivePriority;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::ServiceSpec;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;

/// Headers that apply to one connection only and are not forwarded.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// A request that was read completely, with its route, service, workspace and deadline.
#[derive(Debug)]
pub struct RoutedRequest {
    /// The id that the caller gave to this attempt; a target's answer repeats it.
    pub token: RequestToken,
    /// What the caller's headers say.
    pub caller: CallerRequest,
    /// The route that its host and path match.
    pub route: Arc<RouteSpec>,
    /// The service that serves it, one of those that share the route.
    pub service: Arc<ServiceSpec>,
    /// The workspace that its API key belongs to, or `None` if the route needs no key.
    pub workspace: Option<WorkspaceId>,
    /// The priority with which it is admitted.
    pub priority: EffectivePriority,
    /// The version of the configuration that it was routed by.
    pub version: u64,
    /// When its head had been read.
    pub received: Moment,
    /// The deadline: the end of the caller's remaining time or of the route's timeout, whichever is
    /// first.
    pub deadline: Moment,
    /// The request's head as the caller sent it.
    pub head: Parts,
    /// The complete body.
    pub body: Bytes,
    /// The properties by which it is recognised if requests like it crash targets.
    pub traits: Vec<RequestTrait>,
}

/// The traits of a request: its content, and the parts of its prompt that others may share.
pub fn request_traits(
    service: &ServiceId,
    workspace: Option<&WorkspaceId>,
    caller: &CallerRequest,
    head: &Parts,
    body: &[u8],
) -> Vec<RequestTrait> {
    let mut content = Xxh3::new();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let workspace = workspace.map_or("", WorkspaceId::as_str);
    for text in [service.as_str(), workspace, head.method.as_str(), path] {
        update_digest(&mut content, text);
    }
    let mut traits = Vec::with_capacity(caller.prompt_parts.len() + 1);
    for part in caller.shared_parts() {
        let mut digest = Xxh3::new();
        update_digest(&mut digest, service.as_str());
        update_digest(&mut digest, &part.0);
        let digest = ContentDigest(digest.digest());
        traits.push(RequestTrait { kind: TraitKind::PromptPart, digest });
    }
    for part in &caller.prompt_parts {
        update_digest(&mut content, &part.0);
    }
    content.update(body);
    let digest = ContentDigest(content.digest());
    traits.push(RequestTrait { kind: TraitKind::Content, digest });
    traits
}

/// Adds a text and a byte that no text contains, so that neighbouring texts stay apart.
fn update_digest(digest: &mut Xxh3, text: &str) {
    digest.update(text.as_bytes());
    digest.update(&[0xff]);
}

impl RoutedRequest {
    /// Builds the request that is sent to a target: without the caller's connection headers, and
    /// with the headers that the platform uses towards targets.
    pub fn dispatch<P: WireFormat>(
        &self,
        platform: &P,
        dispatch: &Dispatch<'_>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.head.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        platform.write_dispatch(&mut headers, dispatch);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        *request.headers_mut() = headers;
        request
    }

    /// What the admission of its first attempt depends on.
    pub fn rank(&self) -> RequestRank {
        let content = self.traits.iter().find(|one| one.kind == TraitKind::Content);
        let content = content.map_or(ContentDigest(0), |one| one.digest);
        RequestRank { priority: self.priority, content }
    }

    /// Whether an answer belongs to this request and can be relayed unchanged. A successful answer
    /// must carry the request's token and have no content encoding.
    pub fn accepts(&self, facts: &AnswerFacts, headers: &HeaderMap, success: bool) -> bool {
        match &facts.token {
            Some(token) if *token != self.token => return false,
            None if success => return false,
            _ => {}
        }
        !success || !headers.contains_key(header::CONTENT_ENCODING)
    }
}

/// Removes the headers that apply only to the connection on which they arrived, including those
/// that `Connection` lists.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in connection_options {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}
