//! One stream, from its first event to its last, over all targets that run it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use toucancleat_fleet::evacuation::{self, Evacuation, Step};
use toucancleat_fleet::events::{EventSplitter, Order, Place};
use toucancleat_fleet::prelude::*;
use toucancleat_platform::engine::{self, CopyReply};

use crate::attempt::{
    Attempt, Outbound, Resumption, StreamStart, Upstream, attempt, outcome_name,
};
use crate::clock;
use crate::exchange::{CallError, call};
use crate::host::{Command, Host, Open};
use crate::request::BrokenOff;

/// Events that may wait for a caller that reads slowly.
const EVENTS_WAITING: usize = 64;

/// Events between two notes of how far a stream has come; an engine makes as many in about
/// half a second.
const PROGRESS_EVENTS: u64 = 16;

/// Longest wait for a copy; targets that leave give less notice than this.
const COPY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Longest wait for the end of a stream whose run has stopped.
const SOURCE_END_MS: u64 = 60;

/// Longest wait for a run to go on at another target.
const RESUME_TIMEOUT_MS: u64 = 1_500;

/// Pause before a target that declined to go on is asked once more.
const RESUME_PAUSE: Duration = Duration::from_millis(25);

/// The relay of one stream.
#[derive(Debug)]
pub struct Relay {
    host: Rc<Host>,
    open: Open,
    outbound: Rc<Outbound>,
    dispatch: Dispatch,
    events: Sender<Result<Bytes, BrokenOff>>,
    upstream: Option<Upstream>,
    splitter: EventSplitter,
    order: Order,
    began_ms: u64,
    first_event_ms: Option<u64>,
    last_event_ms: u64,
    event_count: u64,
    longest_pause_ms: u64,
    /// The steps of the move away from a target that leaves.
    evacuation: Option<Evacuation>,
    /// When another destination is to be chosen.
    choose_at_ms: Option<u64>,
    moving: Option<Moving>,
    moves: u32,
}

/// A run on its way to another target.
struct Moving {
    source: SocketAddr,
    to: TargetName,
    address: SocketAddr,
    copy: Option<Pin<Box<dyn Future<Output = Copied>>>>,
    handle: Option<String>,
    /// Whether the stream of the run was closed, and not reset, when the run was stopped.
    was_closed_in_order: bool,
}

struct Copied {
    took_ms: u64,
    result: Result<CopyReply, CallError>,
}

impl std::fmt::Debug for Moving {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Moving")
            .field("to", &self.to)
            .finish_non_exhaustive()
    }
}

/// What a relay waits for.
enum Happened {
    CallerLeft,
    Command(Option<Command>),
    Bytes(Bytes),
    Ended,
    Broke,
    Copied(Copied),
    ChooseNow,
    TimeUp,
}

/// Whether a relay goes on.
enum Next {
    GoOn,
    End(&'static str),
}

impl Relay {
    /// Makes the relay of a stream that has begun, and the receiving end of its events.
    pub fn new(
        host: Rc<Host>,
        open: Open,
        outbound: Rc<Outbound>,
        dispatch: Dispatch,
        start: StreamStart,
    ) -> (Self, Receiver<Result<Bytes, BrokenOff>>) {
        let (events, receiver) = channel(EVENTS_WAITING);
        let now_ms = clock::now_ms();
        let relay = Relay {
            host,
            open,
            outbound,
            dispatch,
            events,
            upstream: Some(start.upstream),
            splitter: EventSplitter::default(),
            order: Order::default(),
            began_ms: now_ms,
            first_event_ms: None,
            last_event_ms: now_ms,
            event_count: 0,
            longest_pause_ms: 0,
            evacuation: None,
            choose_at_ms: None,
            moving: None,
            moves: 0,
        };
        (relay, receiver)
    }

    /// Passes events on until the stream ends.
    pub async fn run(mut self, arrived_ms: u64) {
        let outcome = loop {
            let happened = self.wait().await;
            match self.take(happened).await {
                Next::GoOn => {}
                Next::End(outcome) => break outcome,
            }
        };
        if outcome != "answered" && outcome != "caller_left" {
            // The caller may have left in the meantime.
            let _ = self.events.send(Err(BrokenOff)).await;
        }
        self.drop_copy();
        let took_ms = clock::now_ms().saturating_sub(arrived_ms);
        log::info!(
            request:% = self.outbound.name,
            outcome,
            took_ms,
            target_name:% = self.dispatch.target,
            moves = self.moves,
            events = self.event_count,
            first_event_ms = self.first_event_ms.map_or(0, |at_ms| at_ms.saturating_sub(arrived_ms)),
            longest_pause_ms = self.longest_pause_ms,
            last_event = self.order.last().unwrap_or_default();
            "a stream ended"
        );
        self.host.metrics.count_request(outcome);
    }

    async fn wait(&mut self) -> Happened {
        let copying = async {
            match self.moving.as_mut().and_then(|moving| moving.copy.as_mut()) {
                Some(copy) => copy.await,
                None => std::future::pending().await,
            }
        };
        let choose_at_ms = self.choose_at_ms;
        let choosing = async {
            match choose_at_ms {
                Some(at_ms) => clock::sleep_until(at_ms).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.events.closed() => Happened::CallerLeft,
            command = self.open.commands.recv() => Happened::Command(command),
            happened = read(&mut self.upstream) => happened,
            copied = copying => Happened::Copied(copied),
            () = choosing => Happened::ChooseNow,
            () = clock::sleep_until(self.dispatch.give_up_at_ms) => Happened::TimeUp,
        }
    }

    async fn take(&mut self, happened: Happened) -> Next {
        match happened {
            Happened::CallerLeft => Next::End("caller_left"),
            Happened::TimeUp => Next::End("timed_out"),
            Happened::Command(None) => Next::End("stopped"),
            Happened::Command(Some(command)) => self.obey(command).await,
            Happened::Bytes(bytes) => self.pass_on(&bytes).await,
            Happened::Ended if self.has_ended_whole() => self.finish(),
            Happened::Ended | Happened::Broke if self.is_stopping_run() => {
                // The engine closes the stream of a run that it has stopped.
                self.upstream = None;
                if let Some(moving) = &mut self.moving {
                    moving.was_closed_in_order = matches!(happened, Happened::Ended);
                }
                Next::GoOn
            }
            Happened::Ended | Happened::Broke => self.broke().await,
            Happened::Copied(copied) => self.copied(copied).await,
            Happened::ChooseNow => {
                self.choose_destination();
                Next::GoOn
            }
        }
    }

    /// Says whether the end of a stream is the end of its run.
    ///
    /// A run may end by itself while it is being stopped. The end of a stream whose bytes
    /// are framed shows that; a close alone may also be that of a run that was stopped.
    fn has_ended_whole(&self) -> bool {
        let is_framed = self
            .upstream
            .as_ref()
            .is_some_and(|stream| stream.is_framed);
        !self.splitter.is_torn() && (is_framed || !self.is_stopping_run())
    }

    fn is_stopping_run(&self) -> bool {
        self.evacuation
            .as_ref()
            .is_some_and(Evacuation::is_stopping)
    }

    async fn pass_on(&mut self, bytes: &[u8]) -> Next {
        let mut events = Vec::new();
        if self.splitter.push(bytes, &mut events).is_err() {
            return self.broke().await;
        }
        for event in events {
            match self.order.place(&event) {
                Place::Next => {}
                Place::Repeated => continue,
                Place::AfterGap => return self.broke().await,
            }
            self.note_event();
            if self.events.send(Ok(Bytes::from(event.text))).await.is_err() {
                return Next::End("caller_left");
            }
        }
        Next::GoOn
    }

    fn note_event(&mut self) {
        let now_ms = clock::now_ms();
        if self.event_count > 0 {
            let pause_ms = now_ms.saturating_sub(self.last_event_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_event_ms = now_ms;
        self.event_count += 1;
        if self.event_count % PROGRESS_EVENTS == 1 {
            self.host.apply(Event::Progressed {
                ticket: self.open.ticket,
                events: self.event_count,
            });
        }
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(now_ms);
            let waited_ms = now_ms.saturating_sub(self.began_ms);
            let waited_s = waited_ms as f64 / 1_000.0;
            self.host.metrics.first_event_s.observe(waited_s);
        }
    }

    fn finish(&mut self) -> Next {
        self.upstream = None;
        let first_ms = self.first_event_ms.unwrap_or_else(clock::now_ms);
        let outcome = Outcome::Answered {
            took_ms: first_ms.saturating_sub(self.began_ms),
        };
        self.end_attempt(outcome);
        Next::End("answered")
    }

    fn end_attempt(&self, outcome: Outcome) {
        self.host.metrics.count_attempt(outcome_name(outcome));
        self.host.apply(Event::AttemptEnded {
            ticket: self.open.ticket,
            outcome,
        });
    }

    /// Goes on from a copy if there is one; else the reducer decides.
    async fn broke(&mut self) -> Next {
        self.upstream = None;
        self.splitter = EventSplitter::default();
        if self.has_copy() {
            return self.resume(false).await;
        }
        self.abandon_move();
        self.end_attempt(Outcome::Broken);
        Next::GoOn
    }

    async fn obey(&mut self, command: Command) -> Next {
        match command {
            Command::Dispatch(dispatch) => {
                self.dispatch = *dispatch;
                let resumption = Resumption {
                    last_event: self.order.last(),
                    memory: None,
                };
                self.send(&resumption).await;
                Next::GoOn
            }
            Command::PassOn => Next::End("target_failed"),
            Command::Refuse(refusal) => Next::End(refusal.reason.as_str()),
            Command::Evacuate { to, address } => {
                self.evacuate(to, address);
                Next::GoOn
            }
            Command::NoDestination => {
                self.drop_copy();
                let step = self.step(evacuation::Event::NoDestination);
                self.take_step(step).await
            }
        }
    }

    /// Sends the request again and takes over its stream.
    async fn send(&mut self, resumption: &Resumption) -> bool {
        match attempt(&self.host, &self.outbound, &self.dispatch, resumption).await {
            Attempt::Stream(start) => {
                self.upstream = Some(start.upstream);
                self.splitter = EventSplitter::default();
                true
            }
            Attempt::Plain { outcome, .. } => {
                if resumption.memory.is_none() {
                    let ticket = self.open.ticket;
                    self.host.apply(Event::AttemptEnded { ticket, outcome });
                }
                false
            }
        }
    }

    fn evacuate(&mut self, to: TargetName, address: SocketAddr) {
        self.drop_copy();
        let step = self.evacuation().first();
        self.moving = Some(Moving {
            source: self.dispatch.address,
            to,
            address,
            copy: None,
            handle: None,
            was_closed_in_order: false,
        });
        if let Step::Copy { is_last, after_ms } = step {
            self.copy(is_last, after_ms);
        }
    }

    fn evacuation(&mut self) -> &mut Evacuation {
        let leaves_at_ms = self.host.leaves_at_ms(&self.dispatch.target);
        self.evacuation
            .get_or_insert_with(|| Evacuation::new(clock::now_ms(), leaves_at_ms))
    }

    fn step(&mut self, event: evacuation::Event) -> Step {
        let now_ms = clock::now_ms();
        let leaves_at_ms = self.host.leaves_at_ms(&self.dispatch.target);
        let evacuation = self.evacuation();
        if let Some(at_ms) = leaves_at_ms {
            evacuation.step(now_ms, evacuation::Event::LeavesAt(at_ms));
        }
        evacuation.step(now_ms, event)
    }

    fn choose_destination(&mut self) {
        // The ones that had no room a while ago may have some now.
        let is_new_round = self.choose_at_ms.take().is_some();
        let ticket = self.open.ticket;
        self.host.apply(Event::NeedsDestination {
            ticket,
            is_new_round,
        });
    }

    fn copy(&mut self, is_last: bool, after_ms: u64) {
        let name = self.outbound.name.clone();
        let Some(moving) = &mut self.moving else {
            return;
        };
        let (source, to) = (moving.source, moving.address);
        moving.copy = Some(Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            let began_ms = clock::now_ms();
            let request = engine::copy(&name, to, is_last);
            let result = match call(source, request, COPY_TIMEOUT).await {
                Ok((status, body)) => engine::decode_copy(status, &body)
                    .map_err(|error| CallError::Body(Box::new(error))),
                Err(error) => Err(error),
            };
            Copied {
                took_ms: clock::now_ms().saturating_sub(began_ms),
                result,
            }
        }));
    }

    async fn copied(&mut self, copied: Copied) -> Next {
        let Some(moving) = &mut self.moving else {
            return Next::GoOn;
        };
        moving.copy = None;
        let event = match &copied.result {
            Ok(CopyReply::Copied { handle }) => {
                moving.handle = Some(handle.clone());
                evacuation::Event::Copied {
                    took_ms: copied.took_ms,
                }
            }
            Ok(CopyReply::NoRun) => evacuation::Event::NoRun,
            Ok(CopyReply::Busy) => evacuation::Event::Busy,
            Ok(CopyReply::Refused { handle }) => {
                let is_stopping = self
                    .evacuation
                    .as_ref()
                    .is_some_and(Evacuation::is_stopping);
                let is_kept = is_stopping && handle.is_some();
                if is_kept {
                    moving.handle.clone_from(handle);
                }
                evacuation::Event::Refused { is_kept }
            }
            Err(_) => evacuation::Event::Failed,
        };
        let to = moving.to.clone();
        let step = self.step(event);
        log::info!(
            request:% = self.outbound.name,
            target_name:% = self.dispatch.target,
            to:% = to,
            took_ms = copied.took_ms,
            event:? = event,
            step:? = step;
            "a copy of a run's memory"
        );
        self.take_step(step).await
    }

    async fn take_step(&mut self, step: Step) -> Next {
        match step {
            Step::Copy { is_last, after_ms } => {
                self.copy(is_last, after_ms);
                Next::GoOn
            }
            Step::ChooseAnother { after_ms: 0 } => {
                self.drop_copy();
                self.choose_destination();
                Next::GoOn
            }
            Step::ChooseAnother { after_ms } => {
                self.drop_copy();
                self.choose_at_ms = Some(clock::now_ms() + after_ms);
                Next::GoOn
            }
            Step::ResumeAtDestination => self.resume(false).await,
            Step::ResumeAtSource => self.resume(true).await,
            Step::Stay => {
                log::warn!(
                    request:% = self.outbound.name,
                    target_name:% = self.dispatch.target;
                    "a run stays at a target that leaves"
                );
                self.host.metrics.count_move("stayed");
                let moving = self.moving.as_ref();
                let was_closed_in_order =
                    moving.is_some_and(|moving| moving.was_closed_in_order);
                self.abandon_move();
                match (&self.upstream, was_closed_in_order) {
                    (Some(_), _) => Next::GoOn,
                    // The engine knows no such run and has closed its stream: it has ended.
                    (None, true) => self.finish(),
                    (None, false) => {
                        self.end_attempt(Outcome::Broken);
                        Next::GoOn
                    }
                }
            }
            // What was copied before the source went can still be gone on from.
            Step::GiveUp if self.has_copy() => self.resume(false).await,
            Step::GiveUp => {
                self.abandon_move();
                self.upstream = None;
                self.end_attempt(Outcome::Broken);
                Next::GoOn
            }
            Step::Wait => Next::GoOn,
        }
    }

    /// Lets the run go on where its memory is.
    async fn resume(&mut self, at_source: bool) -> Next {
        if let Next::End(outcome) = self.read_to_end().await {
            return Next::End(outcome);
        }
        let Some(moving) = self.moving.take() else {
            return Next::GoOn;
        };
        self.evacuation = None;
        let stopped_ms = self.last_event_ms;
        if !at_source {
            self.dispatch.target = moving.to.clone();
            self.dispatch.address = moving.address;
        }
        let answer_by_ms = clock::now_ms() + RESUME_TIMEOUT_MS;
        self.dispatch.answer_by_ms = answer_by_ms.min(self.dispatch.give_up_at_ms);
        let resumption = Resumption {
            last_event: self.order.last(),
            memory: moving.handle.map(|handle| (moving.source, handle)),
        };
        let ticket = self.open.ticket;
        let mut goes_on = self.send(&resumption).await;
        if !goes_on {
            tokio::time::sleep(RESUME_PAUSE).await;
            goes_on = self.send(&resumption).await;
        }
        let pause_ms = clock::now_ms().saturating_sub(stopped_ms);
        let outcome = match (goes_on, at_source) {
            (true, false) => "moved",
            (true, true) => "back_at_source",
            (false, _) => "lost",
        };
        self.host.metrics.count_move(outcome);
        self.host
            .metrics
            .move_pause_s
            .observe(pause_ms as f64 / 1_000.0);
        log::info!(
            request:% = self.outbound.name,
            target_name:% = self.dispatch.target,
            outcome,
            pause_ms;
            "a run moved"
        );
        if at_source {
            self.host.apply(Event::Stayed { ticket });
        } else {
            self.moves += 1;
            self.host.apply(Event::Moved { ticket });
        }
        if !goes_on {
            self.end_attempt(Outcome::Broken);
        }
        Next::GoOn
    }

    /// Passes on what a stopped run had still sent.
    async fn read_to_end(&mut self) -> Next {
        let end_ms = clock::now_ms() + SOURCE_END_MS;
        while self.upstream.is_some() {
            let happened = tokio::select! {
                happened = read(&mut self.upstream) => happened,
                () = clock::sleep_until(end_ms) => Happened::Broke,
            };
            match happened {
                Happened::Bytes(bytes) => {
                    if let Next::End(outcome) = Box::pin(self.pass_on(&bytes)).await {
                        return Next::End(outcome);
                    }
                }
                _ => self.upstream = None,
            }
        }
        Next::GoOn
    }

    fn has_copy(&self) -> bool {
        let moving = self.moving.as_ref();
        moving.is_some_and(|moving| moving.handle.is_some())
    }

    fn abandon_move(&mut self) {
        self.choose_at_ms = None;
        if self.evacuation.take().is_some() {
            self.drop_copy();
            let ticket = self.open.ticket;
            self.host.apply(Event::Stayed { ticket });
        }
    }

    /// Frees a copy that is not needed, without waiting for it.
    fn drop_copy(&mut self) {
        let Some(moving) = self.moving.take() else {
            return;
        };
        if let Some(handle) = moving.handle {
            tokio::task::spawn_local(async move {
                let request = engine::drop_copy(&handle);
                if let Err(error) = call(moving.source, request, COPY_TIMEOUT).await {
                    log::debug!(error:% = error; "a copy was not freed; it expires by itself");
                }
            });
        }
    }
}

async fn read(upstream: &mut Option<Upstream>) -> Happened {
    let Some(upstream) = upstream else {
        return std::future::pending().await;
    };
    loop {
        match upstream.body.frame().await {
            None => return Happened::Ended,
            Some(Err(_)) => return Happened::Broke,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Happened::Bytes(bytes);
                }
            }
        }
    }
}
