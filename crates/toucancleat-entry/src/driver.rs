//! The task that owns the reducer's state and executes its effects.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use toucancleat_core::claims::StoredAnswer;
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::Refusal;
use toucancleat_core::requests::{self, Arrival};
use toucancleat_core::{Dispatch, Effect, Event, Identity, State, reduce};

use crate::host::Host;
use crate::peers::Peers;
use crate::{claims, engine, observe, orders, settings};

/// Interval between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(50);

/// An input that another task sends to the driver.
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A request that has arrived.
    RequestArrived {
        /// The request.
        arrival: Arc<Arrival>,
        /// The channel to the task of the request.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// A function that reads the reducer's state, for the operators' port.
    Inspect(Box<dyn FnOnce(&State) + Send>),
}

/// A command of the driver to the task of a request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a target.
    Dispatch(Dispatch),
    /// Refuse the request, or end its stream with an error event if the answer has begun.
    Refuse(Refusal),
    /// Replay the stored answer to an earlier request with the same idempotency key.
    Replay(StoredAnswer),
}

/// The driver of one entry host: it applies events to the reducer and executes the
/// effects.
#[derive(Debug)]
pub struct Driver {
    host: Arc<Host>,
    state: State,
    inputs: mpsc::UnboundedReceiver<Input>,
    peers: Peers,
    commands: IndexMap<RequestId, mpsc::UnboundedSender<Command>>,
}

impl std::fmt::Debug for Input {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Input::Event(event) => f.debug_tuple("Event").field(event).finish(),
            Input::RequestArrived { arrival, .. } => {
                f.debug_tuple("RequestArrived").field(arrival).finish()
            }
            Input::Inspect(_) => f.write_str("Inspect"),
        }
    }
}

impl Driver {
    /// Creates the driver of a host.
    pub(crate) fn new(
        host: Arc<Host>,
        peers: Peers,
        inputs: mpsc::UnboundedReceiver<Input>,
    ) -> Self {
        let state = State::new(Identity {
            host: host.config.host.clone(),
            zone: host.config.zone.clone(),
            peers_address: peers.address(),
            incarnation: Incarnation(host.clock.started_unix_ms()),
            seed: rand::random(),
        });
        Driver {
            host,
            state,
            inputs,
            peers,
            commands: IndexMap::new(),
        }
    }

    /// Runs until every sender of inputs has been dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                input = self.inputs.recv() => input,
                input = self.peers.next() => input,
                _ = ticks.tick() => Some(Input::Event(Event::Tick)),
            };
            match input {
                Some(input) => self.handle_input(input),
                None => return,
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.apply(event),
            Input::RequestArrived { arrival, commands } => {
                self.commands.insert(arrival.request, commands);
                self.apply(Event::Request(requests::Event::Arrived(arrival)));
            }
            Input::Inspect(read) => read(&self.state),
        }
    }

    fn apply(&mut self, event: Event) {
        let now_ms = self.host.clock.now_ms();
        let ended_id = ended_request(&event);
        let mut effects = Vec::new();
        reduce(&mut self.state, now_ms, event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
        if !self.host.has_settled_limits() && self.state.limits.is_settled(now_ms) {
            self.host.mark_limits_settled();
        }
        if let Some(request) = ended_id
            && self.state.requests.arrival(request).is_none()
        {
            self.commands.swap_remove(&request);
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => {
                self.send_command(dispatch.request, Command::Dispatch(dispatch));
            }
            Effect::Refuse { request, refusal } => {
                self.send_command(request, Command::Refuse(refusal));
                self.commands.swap_remove(&request);
            }
            Effect::Replay { request, answer } => {
                self.send_command(request, Command::Replay(answer));
                self.commands.swap_remove(&request);
            }
            Effect::ClaimsTransact {
                transaction,
                writes,
            } => {
                tokio::spawn(claims::transact(self.host.clone(), transaction, writes));
            }
            Effect::ClaimsRead { read, rows } => {
                tokio::spawn(claims::read(self.host.clone(), read, rows));
            }
            Effect::PutAnswer {
                request,
                name,
                body,
            } => {
                tokio::spawn(claims::put_answer(self.host.clone(), request, name, body));
            }
            Effect::SettingsRead { read, rows } => {
                tokio::spawn(settings::read_rows(self.host.clone(), read, rows));
            }
            Effect::SnapshotRead { read, objects } => {
                tokio::spawn(settings::read_snapshot(self.host.clone(), read, objects));
            }
            Effect::SnapshotStore { revision, tree } => {
                tokio::spawn(settings::store_snapshot(self.host.clone(), revision, tree));
            }
            Effect::Send { to, envelope } => self.peers.send(to, *envelope),
            Effect::Cancel {
                generation,
                address,
            } => self.cancel(generation, &address),
            Effect::LeaseRead { row } => {
                tokio::spawn(orders::read_lease(self.host.clone(), row));
            }
            Effect::LeaseWrite {
                write,
                row,
                version,
                value,
            } => {
                let host = self.host.clone();
                tokio::spawn(orders::write_lease(host, write, row, version, value));
            }
            Effect::TargetRead {
                target,
                read,
                address,
            } => {
                let host = self.host.clone();
                tokio::spawn(orders::read_target(host, target, read, address));
            }
            Effect::OrderSend {
                target,
                address,
                order_id,
                order,
                fencing_number,
                valid_until_ms,
                deadline_ms,
            } => {
                let outgoing = orders::OutgoingOrder {
                    target,
                    address,
                    order_id,
                    order,
                    fencing_number,
                    valid_until_ms,
                    deadline_ms,
                };
                tokio::spawn(orders::send(self.host.clone(), outgoing));
            }
            Effect::ListHosts => {
                tokio::spawn(observe::read_host_list(self.host.clone()));
            }
            Effect::Observe {
                target,
                requested_ms,
                class,
                address,
            } => {
                let host = self.host.clone();
                tokio::spawn(observe::observe(
                    host,
                    target,
                    requested_ms,
                    class,
                    address,
                ));
            }
            Effect::ApplySettings(settings) => {
                log::info!(
                    revision = settings.revision.0;
                    "settings applied; new requests use them"
                );
                let revision = i64::try_from(settings.revision.0).unwrap_or(i64::MAX);
                self.host.metrics.settings_revision.set(revision);
                self.host.apply_settings(settings);
            }
            _ => {}
        }
    }

    fn cancel(&self, generation: GenerationId, address: &str) {
        let Ok(address) = address.parse() else {
            return;
        };
        let host = self.host.clone();
        tokio::spawn(async move {
            engine::cancel(&host.pooled, address, generation).await;
        });
    }

    fn send_command(&self, request: RequestId, command: Command) {
        let Some(sender) = self.commands.get(&request) else {
            return;
        };
        let Err(undelivered) = sender.send(command) else {
            return;
        };
        let event = match undelivered.0 {
            Command::Dispatch(dispatch) => disconnected_attempt(&dispatch),
            Command::Refuse(_) | Command::Replay(_) => {
                requests::Event::CallerDisconnected { request }
            }
        };
        self.host.notify_driver(Input::Event(Event::Request(event)));
    }
}

/// Returns the event that ends an attempt which never began because its caller
/// disconnected.
///
/// N.B. the reducer leaves the end of a dispatched attempt to the relay task, so it needs
/// this event when that task has already ended.
pub(crate) fn disconnected_attempt(dispatch: &Dispatch) -> requests::Event {
    requests::Event::AttemptEnded {
        request: dispatch.request,
        attempt: dispatch.attempt,
        outcome: requests::Outcome::CallerDisconnected,
    }
}

/// Returns the request that may have ended with an event.
fn ended_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::Request(
            requests::Event::AttemptEnded { request, .. }
            | requests::Event::CallerDisconnected { request },
        ) => Some(*request),
        _ => None,
    }
}
