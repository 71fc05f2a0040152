//! One stream, from its first event to its last, over all targets that run it.

mod moving;

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use toucancleat_fleet::evacuation::{self, Evacuation};
use toucancleat_fleet::events::{EventSplitter, Order, Place};
use toucancleat_fleet::prelude::*;

use self::moving::{Copied, Moving};
use crate::attempt::{
    Attempt, Outbound, Resumption, StreamStart, Upstream, attempt, outcome_name,
};
use crate::clock;
use crate::host::{Command, Host, Open};
use crate::request::BrokenOff;

/// Events that may wait for a caller that reads slowly.
const EVENTS_WAITING: usize = 64;

/// Events between two notes of how far a stream has come; an engine makes as many in about
/// half a second.
const PROGRESS_EVENTS: u64 = 16;

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
