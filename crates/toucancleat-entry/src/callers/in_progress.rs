//! A response body that counts its request as in progress.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

use crate::host::InProgress;

/// A body that counts its request as in progress until the connection has sent or dropped
/// it.
///
/// The request's task ends once it has queued the last token, which the caller may not
/// have read yet. A planned stop must wait for that too.
struct InProgressBody {
    body: Body,
    _in_progress: Arc<InProgress>,
}

/// Counts a request as in progress until the connection has sent or dropped its response.
pub(super) fn keep_in_progress(
    response: Response,
    in_progress: Arc<InProgress>,
) -> Response {
    response.map(|body| {
        Body::from_body(InProgressBody {
            body,
            _in_progress: in_progress,
        })
    })
}

impl HttpBody for InProgressBody {
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
