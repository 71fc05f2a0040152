//! Relays one stream to its caller, from the first event to the last, over all targets that
//! run it.

mod migration;

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use toucancleat_fleet::event_stream::EventStream;
use toucancleat_fleet::migration::{Event as MigrationEvent, Migration};
use toucancleat_fleet::prelude::*;
use toucancleat_platform::answer::EVENT_EXTENSION_FIELDS;

use self::migration::{CopyResult, Transfer};
use crate::attempt::{
    AttemptResult, Outbound, Resumption, StreamStart, Upstream, outcome_name, run_attempt,
};
use crate::clock;
use crate::host::{Command, Host, OpenRequest};
use crate::memory::{HeldBytes, Reservation};
use crate::stream_body::{ANSWERED, EventSender, StreamBody, stream_body};

/// Events between two reports of a stream's progress to the reducer; an engine generates as
/// many in about half a second.
const PROGRESS_INTERVAL_EVENTS: u64 = 16;

/// The relay of one stream.
#[derive(Debug)]
pub struct Relay {
    host: Rc<Host>,
    open_request: OpenRequest,
    outbound: Rc<Outbound>,
    dispatch: Dispatch,
    events: EventSender,
    upstream: Option<Upstream>,
    stream: EventStream,
    /// Memory of the incomplete event of the stream.
    pending_memory: Reservation,
    began_ms: u64,
    first_event_ms: Option<u64>,
    last_event_ms: u64,
    event_count: u64,
    /// Events of the current attempt.
    attempt_event_count: u64,
    longest_pause_ms: u64,
    /// The migration away from a leaving target, if one is in progress.
    migration: Option<Migration>,
    /// The time at which another destination is requested from the reducer.
    request_destination_at_ms: Option<u64>,
    /// The transfer of the run to the chosen destination.
    transfer: Option<Transfer>,
    migrations: u32,
}

/// An event that a relay waits for.
enum RelayEvent {
    CallerDisconnected,
    Command(Option<Command>),
    Bytes(Bytes),
    UpstreamEnded,
    UpstreamFailed,
    CopyEnded(CopyResult),
    DestinationRequestDue,
    DeadlineReached,
}

/// The relay's next action after an event.
enum NextAction {
    Continue,
    End(&'static str),
}

impl Relay {
    /// Creates the relay of a stream that has begun, and the body of its answer.
    pub fn new(
        host: Rc<Host>,
        open_request: OpenRequest,
        outbound: Rc<Outbound>,
        dispatch: Dispatch,
        start: StreamStart,
    ) -> (Self, StreamBody) {
        let (events, body) = stream_body();
        let now_ms = clock::now_ms();
        let mut stream = EventStream::new(&EVENT_EXTENSION_FIELDS);
        stream.begin_run(start.upstream.is_framed);
        let relay = Relay {
            pending_memory: host.answer_memory.start_reservation(),
            host,
            open_request,
            outbound,
            dispatch,
            events,
            upstream: Some(start.upstream),
            stream,
            began_ms: now_ms,
            first_event_ms: None,
            last_event_ms: now_ms,
            event_count: 0,
            attempt_event_count: 0,
            longest_pause_ms: 0,
            migration: None,
            request_destination_at_ms: None,
            transfer: None,
            migrations: 0,
        };
        (relay, body)
    }

    /// Forwards events until the stream ends.
    pub async fn run(mut self, arrived_ms: u64) {
        let outcome = loop {
            let event = self.next_event().await;
            match self.handle(event).await {
                NextAction::Continue => {}
                NextAction::End(outcome) => break outcome,
            }
        };
        self.upstream = None;
        self.discard_transfer();
        let took_ms = clock::now_ms().saturating_sub(arrived_ms);
        log::info!(
            request:% = self.outbound.attempt_id,
            outcome,
            took_ms,
            target_name:% = self.dispatch.target,
            moves = self.migrations,
            events = self.event_count,
            first_event_ms = self.first_event_ms.map_or(0, |at_ms| at_ms.saturating_sub(arrived_ms)),
            longest_pause_ms = self.longest_pause_ms,
            last_event = self.stream.last_id().unwrap_or_default();
            "stream ended"
        );
        self.host.metrics.count_request(outcome);
        if outcome == ANSWERED {
            self.events.complete();
        }
    }

    async fn next_event(&mut self) -> RelayEvent {
        let copying = async {
            match self
                .transfer
                .as_mut()
                .and_then(|transfer| transfer.copy.as_mut())
            {
                Some(copy) => copy.await,
                None => std::future::pending().await,
            }
        };
        let request_destination_at_ms = self.request_destination_at_ms;
        let destination_request_due = async {
            match request_destination_at_ms {
                Some(at_ms) => clock::sleep_until(at_ms).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.events.closed() => RelayEvent::CallerDisconnected,
            command = self.open_request.commands.recv() => RelayEvent::Command(command),
            // N.B. this precedes the upstream, which may have bytes at all times.
            () = clock::sleep_until(self.dispatch.deadline_ms) => RelayEvent::DeadlineReached,
            () = self.open_request.run_end.wait(), if self.upstream.is_some() => {
                RelayEvent::UpstreamFailed
            }
            event = read_upstream(&mut self.upstream) => event,
            result = copying => RelayEvent::CopyEnded(result),
            () = destination_request_due => RelayEvent::DestinationRequestDue,
        }
    }

    async fn handle(&mut self, event: RelayEvent) -> NextAction {
        match event {
            RelayEvent::CallerDisconnected => NextAction::End("caller_left"),
            RelayEvent::DeadlineReached => NextAction::End("timed_out"),
            RelayEvent::Command(None) => NextAction::End("stopped"),
            RelayEvent::Command(Some(command)) => self.handle_command(command).await,
            RelayEvent::Bytes(bytes) => self.forward_bytes(&bytes).await,
            RelayEvent::UpstreamEnded if self.is_run_complete() => self.finish(),
            RelayEvent::UpstreamEnded | RelayEvent::UpstreamFailed
                if self.is_stopping_run() =>
            {
                // An engine closes the stream of a run that it has stopped.
                self.upstream = None;
                let ended_after_event =
                    self.attempt_event_count > 0 && !self.stream.lacks_event();
                if let Some(transfer) = &mut self.transfer {
                    transfer.may_be_complete =
                        matches!(event, RelayEvent::UpstreamEnded) && ended_after_event;
                }
                NextAction::Continue
            }
            RelayEvent::UpstreamEnded | RelayEvent::UpstreamFailed => {
                self.handle_interruption().await
            }
            RelayEvent::CopyEnded(result) => self.handle_copy_result(result).await,
            RelayEvent::DestinationRequestDue => {
                self.request_destination();
                NextAction::Continue
            }
        }
    }

    /// Returns true if the end of the stream shows that its run is complete.
    ///
    /// A run may complete by itself while the engine is being requested to stop it. With a
    /// framed body the end of the stream proves that. Without one, the engine may have closed
    /// the connection because it stopped the run, or may have ended before its first event. A run that
    /// resumes another one has to bring the event inside which that one has stopped.
    fn is_run_complete(&self) -> bool {
        let is_framed = self
            .upstream
            .as_ref()
            .is_some_and(|stream| stream.is_framed);
        let has_events = self.attempt_event_count > 0;
        !self.stream.lacks_event()
            && (is_framed || (has_events && !self.is_stopping_run()))
    }

    fn is_stopping_run(&self) -> bool {
        self.migration
            .as_ref()
            .is_some_and(Migration::is_source_stopping)
    }

    async fn forward_bytes(&mut self, bytes: &[u8]) -> NextAction {
        // N.B. this precedes the reading of the events, which count as forwarded from then on. What the
        // bytes complete and what they leave incomplete take no more than this together.
        let pending_bytes = self.stream.pending_bytes() + bytes.len();
        if self.pending_memory.resize(pending_bytes as u64).is_err() {
            return self.handle_lack_of_memory().await;
        }
        let received = self.stream.receive(bytes);
        let reservation = self.pending_memory.split(received.bytes.len() as u64);
        self.pending_memory
            .shrink_to(self.stream.pending_bytes() as u64);
        if received.count > 0 {
            let is_first = self.attempt_event_count == 0;
            self.record_events(received.count);
            if is_first && self.dispatch.retry_safety == RetrySafety::ResumableStream {
                // The caller may take the stream up as soon as it has an event, and this host may be
                // gone then.
                self.host.flush_messages().await;
            }
            let held = HeldBytes::new(Bytes::from(received.bytes), reservation);
            let sent = tokio::select! {
                biased;
                sent = self.events.send(held) => sent,
                // The caller doesn't read.
                () = clock::sleep_until(self.dispatch.deadline_ms) => {
                    return NextAction::End("timed_out");
                }
            };
            if sent.is_err() {
                return NextAction::End("caller_left");
            }
        }
        match received.fault {
            None => NextAction::Continue,
            Some(fault) => {
                log::warn!(
                    request:% = self.outbound.attempt_id,
                    target_name:% = self.dispatch.target,
                    fault:? = fault;
                    "a target's stream can't go on; interrupting its run"
                );
                self.handle_interruption().await
            }
        }
    }

    fn record_events(&mut self, count: u64) {
        let now_ms = clock::now_ms();
        if self.event_count > 0 {
            let pause_ms = now_ms.saturating_sub(self.last_event_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_event_ms = now_ms;
        self.event_count += count;
        let intervals_before =
            self.attempt_event_count.div_ceil(PROGRESS_INTERVAL_EVENTS);
        self.attempt_event_count += count;
        let intervals = self.attempt_event_count.div_ceil(PROGRESS_INTERVAL_EVENTS);
        if intervals > intervals_before {
            self.host.apply(Event::StreamProgressed {
                request_number: self.open_request.request_number,
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

    fn finish(&mut self) -> NextAction {
        self.upstream = None;
        let first_ms = self.first_event_ms.unwrap_or_else(clock::now_ms);
        let outcome = AttemptOutcome::Answered {
            took_ms: first_ms.saturating_sub(self.began_ms),
        };
        self.end_attempt(outcome);
        NextAction::End(ANSWERED)
    }

    fn end_attempt(&self, outcome: AttemptOutcome) {
        self.host.metrics.count_attempt(outcome_name(outcome));
        self.host.apply(Event::AttemptEnded {
            request_number: self.open_request.request_number,
            outcome,
        });
    }

    /// Lets the reducer decide whether an interrupted stream resumes, from a copy of the run's KV
    /// cache if there is one, or at another target.
    async fn handle_interruption(&mut self) -> NextAction {
        self.upstream = None;
        if self.has_copy() {
            self.host.apply(Event::RunInterrupted {
                request_number: self.open_request.request_number,
            });
            return NextAction::Continue;
        }
        self.abandon_migration();
        self.end_attempt(AttemptOutcome::Interrupted);
        NextAction::Continue
    }

    /// Interrupts the stream, since the events that are held of all streams take too much
    /// memory: those of callers that read slowly, or bytes of faulty targets.
    async fn handle_lack_of_memory(&mut self) -> NextAction {
        log::warn!(
            request:% = self.outbound.attempt_id,
            target_name:% = self.dispatch.target;
            "events exceed the bound on what is held of all answers; interrupting the stream"
        );
        self.stream.end_run();
        self.pending_memory.shrink_to(0);
        self.handle_interruption().await
    }

    async fn handle_command(&mut self, command: Command) -> NextAction {
        match command {
            Command::Dispatch(dispatch) => {
                self.dispatch = *dispatch;
                let resumption = Resumption {
                    last_event_id: self.stream.last_id(),
                    kv_cache: None,
                };
                // The reducer has been told if there is no stream.
                let _ = self.start_attempt(&resumption).await;
                NextAction::Continue
            }
            Command::ForwardAnswer => NextAction::End("target_failed"),
            Command::Refuse(refusal) => NextAction::End(refusal.reason.as_str()),
            Command::Migrate {
                destination,
                address,
                target_version,
            } => {
                self.migrate(destination, address, target_version);
                NextAction::Continue
            }
            // A stream that has begun isn't handed off.
            Command::HandOff(_) => NextAction::End("unreachable"),
            Command::ResumeFromCopy => self.resume(false).await,
            Command::LeaveDestination => {
                // A run that its source is stopping can only go on there or at the destination.
                if self.transfer.is_some() && !self.is_stopping_run() {
                    self.discard_transfer();
                    self.request_destination();
                }
                NextAction::Continue
            }
            Command::NoDestination => {
                self.discard_transfer();
                let step = self.advance_migration(MigrationEvent::NoDestination);
                self.execute_step(step).await
            }
        }
    }

    /// Sends the request to the dispatched target and replaces the upstream by the stream
    /// that it answers with. Returns how the attempt ended if there is none.
    async fn start_attempt(
        &mut self,
        resumption: &Resumption,
    ) -> Result<(), AttemptOutcome> {
        let attempt = run_attempt(
            &self.host,
            &self.outbound,
            &self.dispatch,
            resumption,
            &self.open_request.run_end,
        );
        match attempt.await {
            AttemptResult::Stream(start) => {
                self.stream.begin_run(start.upstream.is_framed);
                self.upstream = Some(start.upstream);
                self.attempt_event_count = 0;
                Ok(())
            }
            AttemptResult::Ended { outcome, .. } => {
                if resumption.kv_cache.is_none() {
                    let request_number = self.open_request.request_number;
                    self.host.apply(Event::AttemptEnded {
                        request_number,
                        outcome,
                    });
                }
                Err(outcome)
            }
        }
    }
}

async fn read_upstream(upstream: &mut Option<Upstream>) -> RelayEvent {
    let Some(upstream) = upstream else {
        return std::future::pending().await;
    };
    loop {
        match upstream.body.frame().await {
            None => return RelayEvent::UpstreamEnded,
            Some(Err(_)) => return RelayEvent::UpstreamFailed,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return RelayEvent::Bytes(bytes);
                }
            }
        }
    }
}
