//! A response body whose request stays in progress until the body was sent: [`TrackedBody`].

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::connection_slots::RequestGuard;

/// A response body that keeps its request in progress.
///
/// The response's head exists before its body was sent. A connection that counted as idle from then
/// on would be closed in the middle of an answer to admit a new one.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    /// `None` where connections are not limited.
    request: Option<Arc<RequestGuard>>,
}

impl<B> TrackedBody<B> {
    /// The body of the answer to a request.
    pub fn new(body: B, request: Option<RequestGuard>) -> Self {
        Self { body, request: request.map(Arc::new) }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let request = self.request.clone();
        let track = |bytes| match request {
            Some(request) => Bytes::from_owner(TrackedBytes { bytes, _request: request }),
            None => bytes,
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(track))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Bytes of a body that wait to be written.
struct TrackedBytes {
    bytes: Bytes,
    _request: Arc<RequestGuard>,
}

impl AsRef<[u8]> for TrackedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
