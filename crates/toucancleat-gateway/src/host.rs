//! The state of one process, and the carrying out of its decisions.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use toucancleat_fleet::configuration::CallerLimits;
use toucancleat_fleet::prelude::*;
use toucancleat_platform::engine;

use crate::bodies::Bodies;
use crate::exchange::call;
use crate::metrics::Metrics;
use crate::peers::Outgoing;
use crate::settings::Settings;
use crate::{clock, store};

/// Time between two ticks of the reducer; a fifth of the shortest interval that it keeps.
pub const TICK: Duration = Duration::from_millis(25);

/// Time after a notice at which a target is asked how much longer it stays: its reports are
/// about half a second behind.
const LEAVE_TIME_DELAY: Duration = Duration::from_millis(600);

/// Longest wait for a target's word on when it leaves.
const LEAVE_TIME_TIMEOUT: Duration = Duration::from_millis(300);

/// What the reducer tells the task of a request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a target.
    Dispatch(Box<Dispatch>),
    /// Give the caller the answer at hand.
    PassOn,
    /// End the request without a target's answer.
    Refuse(Refusal),
    /// Move the run.
    Evacuate {
        /// Where to.
        to: TargetName,
        /// At which address.
        address: SocketAddr,
    },
    /// There is no place to move to.
    NoDestination,
}

/// One process.
#[derive(Debug)]
pub struct Host {
    /// Its settings.
    pub settings: Settings,
    /// Its figures.
    pub metrics: Metrics,
    /// The bodies of requests at hand.
    pub bodies: Bodies,
    state: RefCell<State>,
    commands: RefCell<IndexMap<Ticket, UnboundedSender<Command>>>,
    limits: Cell<CallerLimits>,
    outgoing: UnboundedSender<Outgoing>,
    stopping: watch::Sender<Option<u64>>,
    next_ticket: Cell<u64>,
    weak: std::rc::Weak<Host>,
}

/// A request that is open until this is dropped.
#[derive(Debug)]
pub struct Open {
    host: Rc<Host>,
    /// Its number.
    pub ticket: Ticket,
    /// What the reducer wants done with it.
    pub commands: UnboundedReceiver<Command>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.host.commands.borrow_mut().swap_remove(&self.ticket);
        self.host.apply(Event::Closed {
            ticket: self.ticket,
        });
    }
}

impl Host {
    /// Makes the process's state, and the queue of its messages to other hosts.
    pub fn new(
        settings: Settings,
        state: State,
    ) -> (Rc<Self>, UnboundedReceiver<Outgoing>) {
        let (outgoing, queue) = unbounded_channel();
        let (stopping, _) = watch::channel(None);
        let bodies = Bodies::new(settings.bodies_max_bytes());
        let host = Rc::new_cyclic(|weak| Host {
            bodies,
            settings,
            metrics: Metrics::new(),
            state: RefCell::new(state),
            commands: RefCell::default(),
            limits: Cell::new(CallerLimits::default()),
            outgoing,
            stopping,
            next_ticket: Cell::new(0),
            weak: weak.clone(),
        });
        (host, queue)
    }

    /// Opens a request.
    pub fn open(&self) -> Option<Open> {
        let host = self.weak.upgrade()?;
        let ticket = Ticket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (sender, commands) = unbounded_channel();
        self.commands.borrow_mut().insert(ticket, sender);
        Some(Open {
            host,
            ticket,
            commands,
        })
    }

    /// Returns how many requests are open.
    pub fn open_requests(&self) -> usize {
        self.commands.borrow().len()
    }

    /// Says whether new callers should come here.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().is_ready(clock::now_ms())
    }

    /// Returns when a target that leaves will be gone, if it has said so.
    pub fn leaves_at_ms(&self, target: &TargetName) -> Option<u64> {
        self.state.borrow().leaves_at_ms(target)
    }

    /// Returns what callers may send.
    pub fn caller_limits(&self) -> CallerLimits {
        self.limits.get()
    }

    /// Begins the planned stop.
    pub fn stop(&self) {
        self.apply(Event::Stop);
        self.stopping.send_replace(Some(clock::now_ms()));
    }

    /// Returns a view of when the planned stop began.
    pub fn stopping(&self) -> watch::Receiver<Option<u64>> {
        self.stopping.subscribe()
    }

    /// Applies an event and carries out what follows from it.
    pub fn apply(&self, event: Event) {
        let mut effects = Vec::new();
        reduce(
            &mut self.state.borrow_mut(),
            clock::now_ms(),
            event,
            &mut effects,
        );
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Read(query) => {
                if let Some(host) = self.weak.upgrade() {
                    tokio::task::spawn_local(store::read(host, query));
                }
            }
            Effect::Send { to, message } => {
                // The receiver lives as long as the process.
                let _ = self.outgoing.send(Outgoing { to, message });
            }
            Effect::Dispatch(dispatch) => {
                self.command(dispatch.ticket, Command::Dispatch(dispatch));
            }
            Effect::PassOn { ticket } => self.command(ticket, Command::PassOn),
            Effect::Refuse { ticket, refusal } => {
                self.command(ticket, Command::Refuse(refusal));
            }
            Effect::Evacuate {
                ticket,
                to,
                address,
            } => self.command(ticket, Command::Evacuate { to, address }),
            Effect::NoDestination { ticket } => {
                self.command(ticket, Command::NoDestination)
            }
            Effect::AskLeaveTime { target, address } => {
                if let Some(host) = self.weak.upgrade() {
                    tokio::task::spawn_local(ask_leave_time(host, target, address));
                }
            }
            Effect::InForce(configuration) => self.put_in_force(&configuration),
            Effect::Note(note) => write_note(&note),
            _ => {}
        }
    }

    fn put_in_force(&self, configuration: &Configuration) {
        self.limits.set(configuration.limits);
        let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        log::info!(
            version = configuration.version,
            routes = configuration.routes.len();
            "a configuration is in force"
        );
    }

    fn command(&self, ticket: Ticket, command: Command) {
        if let Some(sender) = self.commands.borrow().get(&ticket) {
            // A task that has just ended needs no more commands.
            let _ = sender.send(command);
        }
    }
}

async fn ask_leave_time(host: Rc<Host>, target: TargetName, address: SocketAddr) {
    tokio::time::sleep(LEAVE_TIME_DELAY).await;
    let asked_ms = clock::now_ms();
    let answer = call(address, engine::report(), LEAVE_TIME_TIMEOUT).await;
    let left_ms = match &answer {
        Ok((status, body)) => engine::decode_leave_time(*status, body),
        Err(error) => {
            log::info!(target_name:% = target, error:% = error; "a leaving target did not say when it goes");
            return;
        }
    };
    match left_ms {
        Ok(Some(left_ms)) => {
            let leaves_at_ms = asked_ms + left_ms;
            log::info!(target_name:% = target, left_ms; "a leaving target said when it goes");
            host.apply(Event::LeaveTime {
                target,
                leaves_at_ms,
            });
        }
        Ok(None) => {}
        Err(error) => {
            log::info!(target_name:% = target, error:% = error; "a target's report can't be read");
        }
    }
}

fn write_note(note: &Note) {
    match note {
        Note::TargetJoined {
            target,
            store_version,
            slow_start_left_ms,
        } => {
            log::info!(target_name:% = target, store_version, slow_start_left_ms; "a target takes work");
        }
        Note::TargetLeaving {
            target,
            store_version,
            runs,
        } => {
            log::info!(target_name:% = target, store_version, runs; "a target takes no new work");
        }
        Note::Reading { reads, hosts_heard } => {
            log::info!(reads, hosts_heard; "reading of the store for all hosts changed");
        }
        Note::Store { answers, query } => {
            let query = query.as_str();
            if *answers {
                log::info!(query; "the platform's store answers again");
            } else {
                log::warn!(query; "the platform's store does not answer");
            }
        }
        _ => {}
    }
}
