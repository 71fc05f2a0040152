//! The way back to one caller.

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

/// Time of silence after which a comment keeps the caller's connection alive.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Name of the event that ends a stream whose answer is lost.
const ERROR_EVENT: &str = "error";

/// The sending side: at first a response is owed, then perhaps a stream of events.
#[derive(Debug)]
pub struct Caller {
    state: State,
    buffer_tokens: usize,
}

/// The receiving side, on which the connection's task waits for the response.
#[derive(Debug)]
pub struct Waiting(oneshot::Receiver<Response>);

#[derive(Debug)]
enum State {
    Owed(oneshot::Sender<Response>),
    Streaming(mpsc::Sender<Event>),
    Answered,
}

/// The caller is no longer there.
#[derive(Debug, PartialEq, Eq)]
pub struct Gone;

impl Waiting {
    /// Waits for the response; `None` when the request's task ended without one.
    pub async fn response(self) -> Option<Response> {
        self.0.await.ok()
    }
}

impl Caller {
    /// Makes both sides; `buffer_tokens` bounds what a slow caller can keep waiting.
    pub fn new(buffer_tokens: usize) -> (Caller, Waiting) {
        let (sender, receiver) = oneshot::channel();
        (
            Caller {
                state: State::Owed(sender),
                buffer_tokens,
            },
            Waiting(receiver),
        )
    }

    /// Waits until the caller has gone away.
    pub async fn gone(&mut self) {
        match &mut self.state {
            State::Owed(sender) => sender.closed().await,
            State::Streaming(sender) => sender.closed().await,
            State::Answered => std::future::pending().await,
        }
    }

    /// Gives the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller is gone.
    pub fn respond(&mut self, response: Response) -> Result<(), Gone> {
        match std::mem::replace(&mut self.state, State::Answered) {
            State::Owed(sender) => sender.send(response).map_err(|_| Gone),
            State::Streaming(_) | State::Answered => Err(Gone),
        }
    }

    /// Sends one event of a stream, starting the stream with the first.
    ///
    /// Waits while the caller's buffer is full, so that a slow caller slows the reading
    /// from its target and takes no more memory.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller is gone.
    pub async fn send(&mut self, event: Event) -> Result<(), Gone> {
        if matches!(self.state, State::Owed(_)) {
            self.start_stream()?;
        }
        match &self.state {
            State::Streaming(sender) => sender.send(event).await.map_err(|_| Gone),
            State::Owed(_) | State::Answered => Err(Gone),
        }
    }

    /// Ends the stream: the caller sees its end when it has read what is buffered.
    pub fn finish(&mut self) {
        self.state = State::Answered;
    }

    /// Refuses the request, or ends its stream with the verdict.
    pub async fn refuse(&mut self, request: RequestId, refusal: &Refusal) {
        if matches!(self.state, State::Owed(_)) {
            // A caller that is gone needs no refusal.
            let _ = self.respond(problem::response(request, refusal));
            return;
        }
        let body = ProblemBody::new(request, refusal).to_json();
        let event = Event::new().event(ERROR_EVENT).data(body);
        let _ = self.send(event).await;
        self.finish();
    }

    fn start_stream(&mut self) -> Result<(), Gone> {
        let (sender, mut events) = mpsc::channel(self.buffer_tokens);
        let stream = poll_fn(move |cx| events.poll_recv(cx).map(|event| event.map(Ok)));
        let keep_alive = KeepAlive::new().interval(KEEP_ALIVE);
        let sse: Sse<_> = Sse::new(stream).keep_alive(keep_alive);
        let response = into_response::<_, Infallible>(sse);
        let owed = std::mem::replace(&mut self.state, State::Streaming(sender));
        match owed {
            State::Owed(owed) => owed.send(response).map_err(|_| Gone),
            State::Streaming(_) | State::Answered => Err(Gone),
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
