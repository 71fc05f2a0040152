//! The task of one request: it executes the driver's commands and relays the answer.

mod answer;
mod generation;
mod response;
mod service;
mod stream;

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;
use toucancleat_core::generation::Cursor;
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::{Problem, Refusal};
use toucancleat_core::requests::{Arrival, Event as RequestEvent, Outcome};
use toucancleat_core::streams;
use toucancleat_core::{Dispatch, Event};

pub use self::response::ResponseSender;
use crate::driver::{self, Command, Input};
use crate::host::{Host, InProgress};
use crate::service::ServiceRequest;

/// Age above which the choice of a target is discarded as outdated.
const DECISION_MAX_AGE_MS: u64 = 1_000;

/// The work that a request requires of a target.
#[derive(Debug)]
pub enum Work {
    /// A generation by a model engine.
    Generation(GenerationWork),
    /// The rest of a generation whose caller resumes its stream.
    Resume {
        /// The generation, as the caller repeats its request.
        work: GenerationWork,
        /// The position in the stream that the caller has reached.
        cursor: Cursor,
    },
    /// A call to a plain service.
    Service(ServiceRequest),
}

/// A generation, as the caller requested it.
#[derive(Debug)]
pub struct GenerationWork {
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// The caller's body, with streaming switched on.
    pub body: Bytes,
    /// Whether the caller reads a stream of events instead of one JSON body.
    pub streamed: bool,
    /// Whether tokens are buffered until the answer is complete.
    pub is_buffered: bool,
}

/// The task of one request.
#[derive(Debug)]
pub struct Relay {
    /// The entry host.
    pub host: Arc<Host>,
    /// The request.
    pub arrival: Arc<Arrival>,
    /// The work for a target.
    pub work: Work,
    /// The sending side of the response to the caller.
    pub response: ResponseSender,
    /// Counts the request as in progress, which keeps a planned stop waiting for it.
    pub _in_progress: Arc<InProgress>,
}

impl Relay {
    /// Runs the request until it is answered, refused or abandoned by its caller.
    pub async fn run(mut self) {
        if let Work::Resume { work, cursor } = &self.work {
            let resumed =
                resume(&self.host, &self.arrival, work, cursor, &mut self.response);
            if let Err(refusal) = resumed.await {
                self.host.metrics.count_refusal(&refusal);
                self.response.refuse(self.request(), &refusal).await;
            }
            return;
        }
        let (sender, mut commands) = mpsc::unbounded_channel();
        self.host.notify_driver(Input::RequestArrived {
            arrival: self.arrival.clone(),
            commands: sender,
        });
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                () = self.response.disconnected(), if !self.arrival.needs_claim() => {
                    self.abandon(commands);
                    return;
                }
            };
            match command {
                Some(Command::Dispatch(dispatch)) => {
                    let outcome = self.attempt(&dispatch).await;
                    let is_over = matches!(
                        outcome,
                        Outcome::Finished { .. } | Outcome::CallerDisconnected
                    );
                    self.notify_requests(RequestEvent::AttemptEnded {
                        request: self.request(),
                        attempt: dispatch.attempt,
                        outcome,
                    });
                    if is_over {
                        return;
                    }
                }
                Some(Command::Refuse(refusal)) => {
                    self.host.metrics.count_refusal(&refusal);
                    self.response.refuse(self.request(), &refusal).await;
                    return;
                }
                Some(Command::Replay(stored)) => {
                    answer::replay(
                        &self.host,
                        self.request(),
                        stored,
                        &mut self.response,
                    )
                    .await;
                    return;
                }
                None => return,
            }
        }
    }

    /// Ends the request of a caller that has disconnected, together with a dispatch that
    /// the driver may have sent meanwhile.
    fn abandon(&self, mut commands: mpsc::UnboundedReceiver<Command>) {
        // From here on, sending a command fails, and the driver handles that itself.
        commands.close();
        self.notify_requests(RequestEvent::CallerDisconnected {
            request: self.request(),
        });
        while let Ok(command) = commands.try_recv() {
            if let Command::Dispatch(dispatch) = command {
                self.notify_requests(driver::disconnected_attempt(&dispatch));
            }
        }
    }

    async fn attempt(&mut self, dispatch: &Dispatch) -> Outcome {
        let chosen_ms = dispatch.chosen_ms;
        if self.host.clock.now_ms() > chosen_ms + DECISION_MAX_AGE_MS {
            // The process was paused, and the target may have started to leave meanwhile.
            return Outcome::NotBegun {
                retry_after_ms: Some(0),
            };
        }
        self.host.metrics.attempts.inc();
        let Ok(address) = dispatch.address.parse() else {
            log::error!(
                target_name = dispatch.target.as_str();
                "the target's address is not IP and port; the attempt is not sent"
            );
            return Outcome::NotBegun {
                retry_after_ms: None,
            };
        };
        match &self.work {
            Work::Generation(work) => {
                let context = stream::Context {
                    host: &self.host,
                    arrival: &self.arrival,
                    work,
                    address,
                    dispatch,
                };
                generation::attempt(context, &mut self.response).await
            }
            // N.B. a resumed stream goes to the target of its cursor and is never
            // dispatched by the reducer.
            Work::Resume { .. } => Outcome::NotBegun {
                retry_after_ms: None,
            },
            Work::Service(request) => {
                let context = service::Context {
                    host: &self.host,
                    arrival: &self.arrival,
                    request,
                    address,
                    dispatch,
                };
                service::attempt(context, &mut self.response).await
            }
        }
    }

    fn request(&self) -> RequestId {
        self.arrival.request
    }

    fn notify_requests(&self, event: RequestEvent) {
        self.host.notify_driver(Input::Event(Event::Request(event)));
    }
}

/// Relays the rest of a generation.
///
/// # Errors
///
/// Returns the refusal for the caller if the rest is unavailable. When the caller repeats
/// the request under the same key, a new generation starts.
async fn resume(
    host: &Arc<Host>,
    arrival: &Arc<Arrival>,
    work: &GenerationWork,
    cursor: &Cursor,
    response: &mut ResponseSender,
) -> Result<(), Refusal> {
    let generation_gone = |detail: &str| {
        Refusal::not_run(Problem::GenerationGone, detail)
            .with_verdict(Verdict::MayHaveRun)
            .with_retry_after_ms(0)
    };
    let settings = host.settings();
    let target = settings.as_ref().and_then(|s| s.target(&cursor.target));
    let (_, _, target) = target.ok_or_else(|| generation_gone("the target has left"))?;
    let address = target
        .address
        .parse()
        .map_err(|_| generation_gone("the target has no usable address"))?;
    let dispatch = Dispatch {
        request: arrival.request,
        target: cursor.target.clone(),
        address: target.address.clone(),
        attempt: cursor.attempt,
        generation: cursor.generation,
        priority: arrival.values.priority,
        chosen_ms: host.clock.now_ms(),
        deadline_ms: host.clock.now_ms() + arrival.values.timeout_ms,
    };
    let context = stream::Context {
        host,
        arrival,
        work,
        address,
        dispatch: &dispatch,
    };
    let outcome = generation::resume(context, response, cursor).await;
    if let Some(outcome) = outcome.clone() {
        let ended = streams::Event::ResumedStreamEnded {
            arrival: arrival.clone(),
            generation: cursor.generation,
            target: cursor.target.clone(),
            outcome,
        };
        host.notify_driver(Input::Event(Event::Streams(ended)));
    }
    match outcome {
        Some(Outcome::Interrupted { cause, .. }) => Err(generation_gone(cause.as_str())),
        Some(_) => Ok(()),
        None => Err(generation_gone("the target no longer has the generation")),
    }
}
