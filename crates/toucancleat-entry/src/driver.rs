//! The task that owns the reducer's state and carries out its effects.

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

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(50);

/// What the other tasks tell the driver.
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A request that arrived, and where its commands go.
    Open {
        /// The request.
        arrival: Arc<Arrival>,
        /// Where its commands go.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// A look at the state, for operators.
    Inspect(Box<dyn FnOnce(&State) + Send>),
}

/// What the driver tells the task of a request.
#[derive(Debug)]
pub enum Command {
    /// Give the request to a target.
    Dispatch(Dispatch),
    /// Refuse the request, or end its stream where the answer has begun.
    Refuse(Refusal),
    /// Give the answer that an earlier request with the same key got.
    Replay(StoredAnswer),
}

/// The driver of one entry host.
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
            Input::Open { arrival, .. } => f.debug_tuple("Open").field(arrival).finish(),
            Input::Inspect(_) => f.write_str("Inspect"),
        }
    }
}

impl Driver {
    /// Makes the driver of a host.
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

    /// Runs until every sender of inputs is gone.
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
                Some(input) => self.take(input),
                None => return,
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.apply(event),
            Input::Open { arrival, commands } => {
                self.commands.insert(arrival.request, commands);
                self.apply(Event::Request(requests::Event::Arrived(arrival)));
            }
            Input::Inspect(look) => look(&self.state),
        }
    }

    fn apply(&mut self, event: Event) {
        let now_ms = self.host.clock.now_ms();
        let ended = ended_request(&event);
        let mut effects = Vec::new();
        reduce(&mut self.state, now_ms, event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
        if !self.host.is_settled() && self.state.limits.may_lend(now_ms) {
            self.host.settle();
        }
        if let Some(request) = ended
            && self.state.requests.arrival(request).is_none()
        {
            self.commands.swap_remove(&request);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => {
                self.command(dispatch.request, Command::Dispatch(dispatch));
            }
            Effect::Refuse { request, refusal } => {
                self.command(request, Command::Refuse(refusal));
                self.commands.swap_remove(&request);
            }
            Effect::Replay { request, answer } => {
                self.command(request, Command::Replay(answer));
                self.commands.swap_remove(&request);
            }
            Effect::ClaimsTransact { transact, writes } => {
                tokio::spawn(claims::transact(self.host.clone(), transact, writes));
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
                let send = orders::Send {
                    target,
                    address,
                    order_id,
                    order,
                    fencing_number,
                    valid_until_ms,
                    deadline_ms,
                };
                tokio::spawn(orders::send(self.host.clone(), send));
            }
            Effect::ListHosts => {
                tokio::spawn(observe::list_hosts(self.host.clone()));
            }
            Effect::Observe {
                target,
                asked_ms,
                class,
                address,
            } => {
                let host = self.host.clone();
                tokio::spawn(observe::observe(host, target, asked_ms, class, address));
            }
            Effect::ApplySettings(settings) => {
                log::info!(revision = settings.revision.0; "settings are in force");
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

    fn command(&self, request: RequestId, command: Command) {
        let Some(sender) = self.commands.get(&request) else {
            return;
        };
        let Err(undelivered) = sender.send(command) else {
            return;
        };
        let event = match undelivered.0 {
            Command::Dispatch(dispatch) => abandoned(&dispatch),
            Command::Refuse(_) | Command::Replay(_) => {
                requests::Event::CallerGone { request }
            }
        };
        self.host.tell(Input::Event(Event::Request(event)));
    }
}

/// Ends an attempt that never began, since its caller has gone.
///
/// N.B. the reducer leaves a running attempt to its relay, so that it must be told when
/// there is no relay any more.
pub(crate) fn abandoned(dispatch: &Dispatch) -> requests::Event {
    requests::Event::AttemptEnded {
        request: dispatch.request,
        attempt: dispatch.attempt,
        outcome: requests::Outcome::CallerGone,
    }
}

/// Returns the request that an event may end.
fn ended_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::Request(
            requests::Event::AttemptEnded { request, .. }
            | requests::Event::CallerGone { request },
        ) => Some(*request),
        _ => None,
    }
}
