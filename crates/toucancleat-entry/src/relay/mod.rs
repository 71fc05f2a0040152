//! The task of one request: it carries out the reducer's commands and relays the answer.

mod answer;
mod caller;
mod generation;
mod plain;
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

pub use self::caller::Caller;
use crate::driver::{self, Command, Input};
use crate::host::{Host, InProgress};
use crate::service::ServiceRequest;

/// What a target is asked to do.
#[derive(Debug)]
pub enum Work {
    /// A generation by a model engine.
    Generation(GenerationWork),
    /// The rest of a generation whose caller has come back.
    Resume {
        /// The generation, as the caller asks for it again.
        work: GenerationWork,
        /// The place that the caller has come to.
        cursor: Cursor,
    },
    /// A call to a plain service.
    Service(ServiceRequest),
}

/// A generation, as the caller asked for it.
#[derive(Debug)]
pub struct GenerationWork {
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// The caller's body, with streaming switched on.
    pub body: Bytes,
    /// Whether the caller reads a stream of events or one JSON body.
    pub streamed: bool,
    /// Whether tokens are held back until the answer is whole.
    pub whole: bool,
}

/// Everything that the task of a request owns.
#[derive(Debug)]
pub struct Relay {
    /// The entry host.
    pub host: Arc<Host>,
    /// The request.
    pub arrival: Arc<Arrival>,
    /// What a target is asked to do.
    pub work: Work,
    /// Where the answer goes.
    pub caller: Caller,
    /// Keeps the host from stopping while the request runs.
    pub _in_progress: Arc<InProgress>,
}

impl Relay {
    /// Runs the request to its end.
    pub async fn run(mut self) {
        if let Work::Resume { work, cursor } = &self.work {
            let resumed =
                resume(&self.host, &self.arrival, work, cursor, &mut self.caller);
            if let Err(refusal) = resumed.await {
                self.host.metrics.count_refusal(&refusal);
                self.caller.refuse(self.request(), &refusal).await;
            }
            return;
        }
        let (sender, mut commands) = mpsc::unbounded_channel();
        self.host.tell(Input::Open {
            arrival: self.arrival.clone(),
            commands: sender,
        });
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                () = self.caller.gone(), if !self.arrival.needs_claim() => {
                    self.leave(commands);
                    return;
                }
            };
            match command {
                Some(Command::Dispatch(dispatch)) => {
                    let outcome = self.attempt(&dispatch).await;
                    let over =
                        matches!(outcome, Outcome::Finished { .. } | Outcome::CallerGone);
                    self.tell(RequestEvent::AttemptEnded {
                        request: self.request(),
                        attempt: dispatch.attempt,
                        outcome,
                    });
                    if over {
                        return;
                    }
                }
                Some(Command::Refuse(refusal)) => {
                    self.host.metrics.count_refusal(&refusal);
                    self.caller.refuse(self.request(), &refusal).await;
                    return;
                }
                Some(Command::Replay(stored)) => {
                    answer::replay(&self.host, self.request(), stored, &mut self.caller)
                        .await;
                    return;
                }
                None => return,
            }
        }
    }

    /// Ends the request of a caller that has gone, also when a target was found for it
    /// just now.
    fn leave(&self, mut commands: mpsc::UnboundedReceiver<Command>) {
        // From here on the driver sees that nobody takes its commands.
        commands.close();
        self.tell(RequestEvent::CallerGone {
            request: self.request(),
        });
        while let Ok(command) = commands.try_recv() {
            if let Command::Dispatch(dispatch) = command {
                self.tell(driver::abandoned(&dispatch));
            }
        }
    }

    async fn attempt(&mut self, dispatch: &Dispatch) -> Outcome {
        self.host.metrics.attempts.inc();
        let Ok(address) = dispatch.address.parse() else {
            log::error!(target_name = dispatch.target.as_str(); "the target's address is not IP and port");
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
                generation::attempt(context, &mut self.caller).await
            }
            // N.B. the rest of a generation never goes through the reducer's choice.
            Work::Resume { .. } => Outcome::NotBegun {
                retry_after_ms: None,
            },
            Work::Service(request) => {
                let context = plain::Context {
                    host: &self.host,
                    arrival: &self.arrival,
                    request,
                    address,
                    dispatch,
                };
                plain::attempt(context, &mut self.caller).await
            }
        }
    }

    fn request(&self) -> RequestId {
        self.arrival.request
    }

    fn tell(&self, event: RequestEvent) {
        self.host.tell(Input::Event(Event::Request(event)));
    }
}

/// Relays the rest of a generation.
///
/// # Errors
///
/// Returns what the caller is told when the rest can't be had: its repeat under the same
/// key then starts a fresh answer.
async fn resume(
    host: &Arc<Host>,
    arrival: &Arc<Arrival>,
    work: &GenerationWork,
    cursor: &Cursor,
    caller: &mut Caller,
) -> Result<(), Refusal> {
    let gone = |detail: &str| {
        Refusal::not_run(Problem::GenerationGone, detail)
            .with_verdict(Verdict::MayHaveRun)
            .with_retry_after_ms(0)
    };
    let settings = host.settings();
    let target = settings.as_ref().and_then(|s| s.target(&cursor.target));
    let (_, _, target) = target.ok_or_else(|| gone("the target has left"))?;
    let address = target
        .address
        .parse()
        .map_err(|_| gone("the target has no usable address"))?;
    let dispatch = Dispatch {
        request: arrival.request,
        target: cursor.target.clone(),
        address: target.address.clone(),
        attempt: cursor.attempt,
        generation: cursor.generation,
        priority: arrival.values.priority,
        deadline_ms: host.clock.now_ms() + arrival.values.timeout_ms,
    };
    let context = stream::Context {
        host,
        arrival,
        work,
        address,
        dispatch: &dispatch,
    };
    let outcome = generation::resume(context, caller, cursor).await;
    if let Some(outcome) = outcome.clone() {
        let ended = streams::Event::Ended {
            arrival: arrival.clone(),
            generation: cursor.generation,
            target: cursor.target.clone(),
            outcome,
        };
        host.tell(Input::Event(Event::Streams(ended)));
    }
    match outcome {
        Some(Outcome::Lost { cause, .. }) => Err(gone(cause.as_str())),
        Some(_) => Ok(()),
        None => Err(gone("the target no longer has the generation")),
    }
}
