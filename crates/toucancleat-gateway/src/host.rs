//! Applies events to the reducer's state and executes the effects that it returns.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot, watch};
use toucancleat_fleet::configuration::CallerLimits;
use toucancleat_fleet::prelude::*;

use crate::bodies::BodyReader;
use crate::event_log::log_event;
use crate::memory::MemoryBound;
use crate::metrics::Metrics;
use crate::peers::OutgoingMessage;
use crate::settings::Settings;
use crate::timeouts::OpenConnections;
use crate::{clock, connection, report, store};

/// Interval between two ticks of the reducer; a fifth of the shortest interval that it keeps.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// A command of the reducer to the task of a request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a target.
    Dispatch(Box<Dispatch>),
    /// Forward the last answer of a target to the caller.
    ForwardAnswer,
    /// End the request without a target's answer.
    Refuse(Refusal),
    /// Migrate the run.
    Migrate {
        /// The destination.
        destination: TargetName,
        /// The address of the destination.
        address: SocketAddr,
        /// The version of the destination's software.
        target_version: Option<SoftwareVersion>,
    },
    /// Hand the request off to a peer.
    HandOff(Handoff),
    /// Resume the interrupted run from its copy.
    ResumeFromCopy,
    /// Choose another destination for the migrating run, unless its source is being stopped.
    LeaveDestination,
    /// No target has room for a run that needs to migrate.
    NoDestination,
}

/// The state of one entry host, shared by all its tasks.
#[derive(Debug)]
pub struct Host {
    /// The settings that the process was started with.
    pub settings: Settings,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The reader of request bodies, which bounds their memory.
    pub body_reader: BodyReader,
    /// The bound on what is held of the targets' answers.
    pub answer_memory: MemoryBound,
    /// The connections of callers, and of peers that hand requests off.
    pub connections: OpenConnections,
    state: RefCell<State>,
    commands: RefCell<IndexMap<RequestNumber, CommandSender>>,
    limits: Cell<CallerLimits>,
    outgoing: UnboundedSender<OutgoingMessage>,
    stop_began_ms: watch::Sender<Option<u64>>,
    is_stop_overdue: watch::Sender<bool>,
    next_request_number: Cell<u64>,
    /// From when on invalid entries of the host list are logged again.
    pub invalid_entries_log_due_ms: Cell<u64>,
    weak_self: std::rc::Weak<Host>,
}

/// The reducer's end of the commands to the task of a request.
#[derive(Debug)]
struct CommandSender {
    commands: UnboundedSender<Command>,
    run_end: Rc<RunEnd>,
}

/// Tells the task of a request that the run that it waits for has ended with its target. The task
/// takes no commands while it waits for an answer.
#[derive(Debug, Default)]
pub struct RunEnd {
    has_ended: Cell<bool>,
    changed: Notify,
}

impl RunEnd {
    /// Waits until the run of the last dispatch has ended with its target.
    pub async fn wait(&self) {
        while !self.has_ended.replace(false) {
            self.changed.notified().await;
        }
    }

    /// Forgets the end of a run that has migrated.
    pub fn reset(&self) {
        self.set(false);
    }

    fn set(&self, has_ended: bool) {
        self.has_ended.set(has_ended);
        if has_ended {
            self.changed.notify_one();
        }
    }
}

/// A request that is registered with the host until this is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    host: Rc<Host>,
    /// The number of the request.
    pub request_number: RequestNumber,
    /// The commands of the reducer to the task of the request.
    pub commands: UnboundedReceiver<Command>,
    /// Whether the run that the task waits for has ended with its target.
    pub run_end: Rc<RunEnd>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.host
            .commands
            .borrow_mut()
            .swap_remove(&self.request_number);
        self.host.apply(Event::RequestClosed {
            request_number: self.request_number,
        });
    }
}

impl Host {
    /// Creates the host, and the queue of its messages to peers.
    pub fn new(
        settings: Settings,
        state: State,
    ) -> (Rc<Self>, UnboundedReceiver<OutgoingMessage>) {
        let (outgoing, queue) = unbounded_channel();
        let (stop_began_ms, _) = watch::channel(None);
        let (is_stop_overdue, _) = watch::channel(false);
        let body_reader = BodyReader::new(settings.bodies_max_bytes());
        let answer_memory = MemoryBound::new(settings.answers_max_bytes());
        let host = Rc::new_cyclic(|weak_self| Host {
            body_reader,
            answer_memory,
            connections: OpenConnections::default(),
            settings,
            metrics: Metrics::new(),
            state: RefCell::new(state),
            commands: RefCell::default(),
            limits: Cell::new(CallerLimits::default()),
            outgoing,
            stop_began_ms,
            is_stop_overdue,
            next_request_number: Cell::new(0),
            invalid_entries_log_due_ms: Cell::new(0),
            weak_self: weak_self.clone(),
        });
        (host, queue)
    }

    /// Registers a request, or returns `None` once the host is being dropped.
    pub fn open_request(&self) -> Option<OpenRequest> {
        let host = self.weak_self.upgrade()?;
        let request_number = RequestNumber(self.next_request_number.get());
        self.next_request_number.set(request_number.0 + 1);
        let (sender, commands) = unbounded_channel();
        let run_end = Rc::new(RunEnd::default());
        let sender = CommandSender {
            commands: sender,
            run_end: run_end.clone(),
        };
        self.commands.borrow_mut().insert(request_number, sender);
        Some(OpenRequest {
            host,
            request_number,
            commands,
            run_end,
        })
    }

    /// Returns the number of open requests.
    pub fn open_request_count(&self) -> usize {
        self.commands.borrow().len()
    }

    /// Returns true if the platform should send new callers to this host.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().is_ready(clock::now_ms())
    }

    /// Returns true if a configuration is in force.
    pub fn has_configuration(&self) -> bool {
        self.state.borrow().configuration().is_some()
    }

    /// Returns the number of requests that wait for room.
    pub fn waiting_requests(&self) -> usize {
        self.state.borrow().waiting_requests()
    }

    /// Returns the number of organisations that use more than their share of a pool.
    pub fn organisations_over_share(&self) -> usize {
        self.state.borrow().organisations_over_share()
    }

    /// Returns the number of targets that limit the rate of requests.
    pub fn limited_targets(&self) -> usize {
        self.state.borrow().limited_targets()
    }

    /// Returns the number of targets that are cold.
    pub fn cold_targets(&self) -> usize {
        self.state.borrow().cold_targets(clock::now_ms())
    }

    /// Returns the number of targets that are suspected to be leaving.
    pub fn suspected_targets(&self) -> usize {
        self.state.borrow().suspected_targets(clock::now_ms())
    }

    /// Returns the number of pools to which this host has no path.
    pub fn lost_paths(&self) -> usize {
        self.state.borrow().lost_paths()
    }

    /// Returns the number of evacuated availability zones.
    pub fn evacuated_zones(&self) -> usize {
        self.state.borrow().evacuations().len()
    }

    /// Returns true if a run whose memory has been copied may be resumed at a target.
    pub fn permits_resumption(&self, target: &TargetName) -> bool {
        self.state
            .borrow()
            .permits_resumption(clock::now_ms(), target)
    }

    /// Returns the number of parts of prompts with which requests are refused.
    pub fn poison_parts(&self) -> usize {
        self.state.borrow().poison_parts(clock::now_ms())
    }

    /// Returns the number of poison requests.
    pub fn poison_requests(&self) -> usize {
        self.state.borrow().poison_requests(clock::now_ms())
    }

    /// Returns the number of streams of which this host keeps where they began.
    pub fn kept_origins(&self) -> usize {
        self.state.borrow().kept_origins()
    }

    /// Returns the time at which a leaving target exits, if it has reported one.
    pub fn leaves_at_ms(&self, target: &TargetName) -> Option<u64> {
        self.state.borrow().leaves_at_ms(target)
    }

    /// Returns the limits on the requests and connections of callers.
    pub fn caller_limits(&self) -> CallerLimits {
        self.limits.get()
    }

    /// Begins the planned stop.
    pub fn stop(&self) {
        self.apply(Event::StopRequested);
        self.stop_began_ms.send_replace(Some(clock::now_ms()));
    }

    /// Refuses the requests that have not begun to be answered, since the process has to exit.
    pub fn refuse_unanswered(&self) {
        self.apply(Event::StopDeadlineReached);
        self.is_stop_overdue.send_replace(true);
    }

    /// Waits until unanswered requests are refused because the process has to exit.
    pub async fn wait_for_stop_deadline(&self) {
        let mut is_overdue = self.is_stop_overdue.subscribe();
        // Waiting can't fail: the sender is dropped with the host.
        let _ = is_overdue.wait_for(|is_overdue| *is_overdue).await;
    }

    /// Tells the peers that this process exits, and waits until the messages have been sent.
    pub async fn announce_exit(&self) {
        self.apply(Event::Exiting);
        self.flush_messages().await;
    }

    /// Waits until the messages to peers that have been queued so far have been sent.
    pub async fn flush_messages(&self) {
        let (done, sent) = oneshot::channel();
        let _ = self.outgoing.send(OutgoingMessage::Barrier(done));
        // The sending task ends only with the process.
        let _ = sent.await;
    }

    /// Returns a receiver of the time at which the planned stop began, `None` before it.
    pub fn subscribe_stop(&self) -> watch::Receiver<Option<u64>> {
        self.stop_began_ms.subscribe()
    }

    /// Applies an event to the state and executes the effects that follow from it.
    pub fn apply(&self, event: Event) {
        for effect in self.reduce(event) {
            self.execute(effect);
        }
    }

    /// Asks for another arrival of a request, and returns whether the retry budget has one.
    pub fn take_retry(&self, request_number: RequestNumber) -> bool {
        let effects = self.reduce(Event::RetryNeeded { request_number });
        let is_grant = |effect: &Effect| matches!(effect, Effect::GrantRetry { .. });
        let is_granted = effects.iter().any(is_grant);
        for effect in effects {
            self.execute(effect);
        }
        is_granted
    }

    fn reduce(&self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let state = &mut self.state.borrow_mut();
        reduce(state, clock::now_ms(), event, &mut effects);
        effects
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::QueryStore(query) => {
                if let Some(host) = self.weak_self.upgrade() {
                    tokio::task::spawn_local(store::execute(host, query));
                }
            }
            Effect::Send {
                recipients,
                message,
            } => {
                // Sending can't fail: the receiver is dropped only when the process exits.
                let outgoing = OutgoingMessage::State(recipients, message);
                let _ = self.outgoing.send(outgoing);
            }
            Effect::SendOrigin {
                recipients,
                message,
            } => {
                let _ = self
                    .outgoing
                    .send(OutgoingMessage::Origin(recipients, message));
            }
            Effect::Dispatch(dispatch) => {
                self.set_run_end(dispatch.request_number, false);
                self.send_command(dispatch.request_number, Command::Dispatch(dispatch));
            }
            Effect::ForwardAnswer { request_number } => {
                self.send_command(request_number, Command::ForwardAnswer)
            }
            Effect::Refuse {
                request_number,
                refusal,
            } => {
                self.send_command(request_number, Command::Refuse(refusal));
            }
            Effect::Migrate {
                request_number,
                destination,
                address,
                target_version,
            } => self.send_command(
                request_number,
                Command::Migrate {
                    destination,
                    address,
                    target_version,
                },
            ),
            Effect::HandOff(handoff) => {
                self.send_command(handoff.request_number, Command::HandOff(handoff));
            }
            Effect::ProbeTarget {
                pool,
                target,
                address,
            } => {
                if let Some(host) = self.weak_self.upgrade() {
                    tokio::task::spawn_local(probe_target(host, pool, target, address));
                }
            }
            Effect::ResumeFromCopy { request_number } => {
                self.send_command(request_number, Command::ResumeFromCopy)
            }
            Effect::LeaveDestination { request_number } => {
                self.send_command(request_number, Command::LeaveDestination)
            }
            Effect::AbandonRun { request_number } => {
                log::info!(request = request_number.0; "target started again; its earlier runs have ended");
                self.set_run_end(request_number, true);
            }
            Effect::NoDestination { request_number } => {
                self.send_command(request_number, Command::NoDestination)
            }
            Effect::QueryLeaveTime { target, address } => {
                if let Some(host) = self.weak_self.upgrade() {
                    let query = report::query_leave_time(host, target, address);
                    tokio::task::spawn_local(query);
                }
            }
            Effect::QueryReport { target, address } => {
                if let Some(host) = self.weak_self.upgrade() {
                    tokio::task::spawn_local(report::query(host, target, address));
                }
            }
            Effect::ApplyConfiguration(configuration) => {
                self.apply_configuration(&configuration)
            }
            Effect::Log(event) => {
                match &event {
                    LogEvent::RoomRefused { cause, .. } => {
                        self.metrics.count_room_refusal(cause.as_str());
                    }
                    LogEvent::RetryDecided { decision, .. } => {
                        self.metrics.count_retry(decision.outcome.as_str());
                    }
                    _ => {}
                }
                log_event(&event);
            }
            _ => {}
        }
    }

    fn apply_configuration(&self, configuration: &Configuration) {
        self.limits.set(configuration.limits);
        let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        log::info!(
            version = configuration.version,
            routes = configuration.routes.len();
            "configuration applied"
        );
    }

    fn send_command(&self, request_number: RequestNumber, command: Command) {
        if let Some(sender) = self.commands.borrow().get(&request_number) {
            // Sending fails if the task has just ended; it needs no more commands.
            let _ = sender.commands.send(command);
        }
    }

    fn set_run_end(&self, request_number: RequestNumber, has_ended: bool) {
        if let Some(sender) = self.commands.borrow().get(&request_number) {
            sender.run_end.set(has_ended);
        }
    }
}

async fn probe_target(
    host: Rc<Host>,
    pool: PoolName,
    target: TargetName,
    address: SocketAddr,
) {
    let began_ms = clock::now_ms();
    let is_reachable = connection::connect(address).await.is_ok();
    host.apply(Event::TargetProbed {
        pool,
        target,
        began_ms,
        is_reachable,
    });
}
