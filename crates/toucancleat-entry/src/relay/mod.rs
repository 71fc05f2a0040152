//! The task of one request: it carries out the reducer's commands and relays the answer.

mod answer;
mod caller;
mod generation;
mod plain;

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;
use toucancleat_core::prelude::*;
use toucancleat_core::requests::{Arrival, Event as RequestEvent, Outcome};
use toucancleat_core::{Dispatch, Event};

pub use self::caller::Caller;
use crate::driver::{Command, Input};
use crate::host::{Host, InProgress};
use crate::service::ServiceRequest;

/// What a target is asked to do.
#[derive(Debug)]
pub enum Work {
    /// A generation by a model engine.
    Generation(GenerationWork),
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
        let (sender, mut commands) = mpsc::unbounded_channel();
        self.host.tell(Input::Open {
            arrival: self.arrival.clone(),
            commands: sender,
        });
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                () = self.caller.gone(), if !self.arrival.needs_claim() => {
                    self.tell(RequestEvent::CallerGone { request: self.request() });
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
                let context = generation::Context {
                    host: &self.host,
                    arrival: &self.arrival,
                    work,
                    address,
                    dispatch,
                };
                generation::attempt(context, &mut self.caller).await
            }
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
