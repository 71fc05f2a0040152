//! The response to one caller, whole or streamed.

use std::convert::Infallible;
use std::time::Duration;

use futures::stream::poll_fn;
use tokio::sync::{mpsc, oneshot};
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::Refusal;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::{Event, KeepAlive, Sse};

use crate::problem::{self, ProblemBody};

/// Idle time after which a comment is sent to keep the caller's connection alive.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Name of the event that ends an interrupted stream.
const ERROR_EVENT: &str = "error";

/// The sending side of a response, which is either whole or a stream of events.
#[derive(Debug)]
pub struct ResponseSender {
    state: ResponseState,
    buffer_tokens: usize,
}

/// The receiving side, on which the task of the connection awaits the response.
#[derive(Debug)]
pub struct PendingResponse(oneshot::Receiver<Response>);

#[derive(Debug)]
enum ResponseState {
    Pending(oneshot::Sender<Response>),
    Streaming(mpsc::Sender<Event>),
    Finished,
}

/// The error that the caller has disconnected.
#[derive(Debug, PartialEq, Eq)]
pub struct Disconnected;

impl PendingResponse {
    /// Waits for the response; returns `None` if the request's task ended without one.
    pub async fn response(self) -> Option<Response> {
        self.0.await.ok()
    }
}

impl ResponseSender {
    /// Creates both sides; `buffer_tokens` bounds the tokens that are buffered for a slow
    /// caller.
    pub fn new(buffer_tokens: usize) -> (ResponseSender, PendingResponse) {
        let (sender, receiver) = oneshot::channel();
        (
            ResponseSender {
                state: ResponseState::Pending(sender),
                buffer_tokens,
            },
            PendingResponse(receiver),
        )
    }

    /// Waits until the caller has disconnected.
    pub async fn disconnected(&mut self) {
        match &mut self.state {
            ResponseState::Pending(sender) => sender.closed().await,
            ResponseState::Streaming(sender) => sender.closed().await,
            ResponseState::Finished => std::future::pending().await,
        }
    }

    /// Sends a whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected or was already answered.
    pub fn respond(&mut self, response: Response) -> Result<(), Disconnected> {
        match std::mem::replace(&mut self.state, ResponseState::Finished) {
            ResponseState::Pending(sender) => {
                sender.send(response).map_err(|_| Disconnected)
            }
            ResponseState::Streaming(_) | ResponseState::Finished => Err(Disconnected),
        }
    }

    /// Sends one event of a stream, starting the stream with the first.
    ///
    /// Waits while the caller's buffer is full. This backpressure slows the reading from
    /// the target and bounds the memory for a slow caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected or was already answered.
    pub async fn send(&mut self, event: Event) -> Result<(), Disconnected> {
        if matches!(self.state, ResponseState::Pending(_)) {
            self.start_stream()?;
        }
        match &self.state {
            ResponseState::Streaming(sender) => {
                sender.send(event).await.map_err(|_| Disconnected)
            }
            ResponseState::Pending(_) | ResponseState::Finished => Err(Disconnected),
        }
    }

    /// Ends the stream; the caller still receives the buffered events first.
    pub fn finish(&mut self) {
        self.state = ResponseState::Finished;
    }

    /// Refuses the request, or ends its stream with an error event if it has begun.
    pub async fn refuse(&mut self, request: RequestId, refusal: &Refusal) {
        if matches!(self.state, ResponseState::Pending(_)) {
            // A caller that has disconnected needs no refusal.
            let _ = self.respond(problem::response(request, refusal));
            return;
        }
        let body = ProblemBody::new(request, refusal).to_json();
        let event = Event::new().event(ERROR_EVENT).data(body);
        let _ = self.send(event).await;
        self.finish();
    }

    fn start_stream(&mut self) -> Result<(), Disconnected> {
        let (sender, mut events) = mpsc::channel(self.buffer_tokens);
        let stream = poll_fn(move |cx| events.poll_recv(cx).map(|event| event.map(Ok)));
        let keep_alive = KeepAlive::new().interval(KEEP_ALIVE);
        let sse: Sse<_> = Sse::new(stream).keep_alive(keep_alive);
        let response = into_response::<_, Infallible>(sse);
        let pending =
            std::mem::replace(&mut self.state, ResponseState::Streaming(sender));
        match pending {
            ResponseState::Pending(pending) => {
                pending.send(response).map_err(|_| Disconnected)
            }
            ResponseState::Streaming(_) | ResponseState::Finished => Err(Disconnected),
        }
    }
}

fn into_response<S, E>(sse: Sse<S>) -> Response
where
    S: futures::Stream<Item = Result<Event, E>> + Send + Sync + 'static,
    E: Into<volo_http::error::BoxError>,
{
    sse.into_response()
}
