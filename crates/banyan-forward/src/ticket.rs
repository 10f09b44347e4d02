//! A request whose route, workspace and time are known: [`RequestTicket`].

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Uri;
use http::header;
use http::request::Parts;
use http_body_util::Full;

use crate::edges::AnswerFacts;
use crate::edges::CallerRequest;
use crate::edges::Dispatch;
use crate::edges::RequestToken;
use crate::edges::WireFormat;
use banyan_core::ids::WorkspaceId;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::ServiceSpec;
use banyan_core::units::Moment;

/// Headers that concern one connection only.
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

/// A request whose route, workspace and time are known.
#[derive(Debug)]
pub struct RequestTicket {
    /// The id of the caller's attempt.
    pub token: RequestToken,
    /// What the caller's headers say.
    pub caller: CallerRequest,
    /// The route.
    pub route: Arc<RouteSpec>,
    /// The service that serves it.
    pub service: Arc<ServiceSpec>,
    /// The workspace on whose behalf it runs.
    pub workspace: Option<WorkspaceId>,
    /// The version of the configuration that decided these.
    pub version: u64,
    /// When its head was read.
    pub received: Moment,
    /// When the caller or the route's timeout ends the wait, whichever is first.
    pub limit: Moment,
    /// The head as the caller sent it.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
}

impl RequestTicket {
    /// The request as a target gets it.
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

    /// Whether an answer belongs to this request and can be passed on as it is.
    pub fn accepts(&self, facts: &AnswerFacts, headers: &HeaderMap, success: bool) -> bool {
        match &facts.token {
            Some(token) if *token != self.token => return false,
            None if success => return false,
            _ => {}
        }
        !success || !headers.contains_key(header::CONTENT_ENCODING)
    }
}

/// Removes the headers that concern only the connection that they came on.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
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
