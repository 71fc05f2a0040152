//! A response body that keeps its request in progress.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

use crate::host::InProgress;

/// A body that counts its request as in progress until the connection is done with it.
///
/// The request's task ends when it has handed over the last token, which may then still
/// wait for its caller to read. A planned stop has to wait for that too.
struct GuardedBody {
    body: Body,
    _in_progress: Arc<InProgress>,
}

/// Keeps a request in progress until its response has been taken by the connection.
pub(super) fn guard(response: Response, in_progress: Arc<InProgress>) -> Response {
    response.map(|body| {
        Body::from_body(GuardedBody {
            body,
            _in_progress: in_progress,
        })
    })
}

impl HttpBody for GuardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
