//! The relay of one generation's tokens from an engine to a caller.
//!
//! The reducer in [`toucancleat_core::generation`] decides which token is delivered and
//! what follows a lost connection; this module only executes its effects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::time::{Instant, timeout_at};
use toucancleat_core::Dispatch;
use toucancleat_core::claims::Answer;
use toucancleat_core::generation::{self as delivery, Cursor, CursorSeal, Ending};
use toucancleat_core::prelude::*;
use toucancleat_core::requests::{Arrival, InterruptionCause, Outcome};
use volo_http::server::response::sse::Event;

use super::response::ResponseSender;
use super::{GenerationWork, answer};
use crate::driver::Input;
use crate::engine::{self, EngineEvent, EngineStream};
use crate::host::Host;

/// Bound on consecutive resumes without a new token.
const RESUMES_MAX: u32 = 2;
/// Silence within a stream beyond which time counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Minimum time between two reports of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Data of the event that closes a whole answer.
const DONE: &str = "[DONE]";

/// The inputs of an attempt.
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub(super) host: &'a Arc<Host>,
    pub(super) arrival: &'a Arrival,
    pub(super) work: &'a GenerationWork,
    pub(super) address: SocketAddr,
    pub(super) dispatch: &'a Dispatch,
}

/// The part of a chunk that shows whether it is the last.
#[derive(Deserialize)]
struct Chunk {
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    finish_reason: Option<IgnoredAny>,
}

/// A generation that is relayed to its caller as the delivery state permits.
pub(super) struct StreamRelay<'a> {
    pub(super) context: Context<'a>,
    pub(super) response: &'a mut ResponseSender,
    pub(super) config: delivery::Config,
    delivery: delivery::State,
    pub(super) generation: GenerationId,
    seal: CursorSeal,
    cursor: String,
    /// Chunks of tokens that are buffered until the answer is complete.
    chunks: Vec<String>,
    buffered_bytes: u64,
    delivered_tokens: u32,
    first_token_ms: u64,
    /// When progress was last reported.
    last_progress: Instant,
    /// When the last token was received, or the attempt began.
    last_token: Instant,
    /// When the last resume was requested, or the attempt began.
    last_resume: Instant,
    deadline: Instant,
    pub(super) cause: InterruptionCause,
}

/// The relay's next action after an event.
enum NextAction {
    Read,
    Resume(u64),
    End(Outcome),
}

impl<'a> StreamRelay<'a> {
    /// Creates the stream of an attempt that has not begun.
    pub(super) fn new(context: Context<'a>, response: &'a mut ResponseSender) -> Self {
        let config = delivery_config(&context);
        let state = delivery::State::new(&config);
        let cursor = initial_cursor(&context);
        StreamRelay::with_delivery(context, response, config, state, &cursor)
    }

    /// Creates the rest of a stream that its caller resumes with a cursor.
    pub(super) fn resumed(
        context: Context<'a>,
        response: &'a mut ResponseSender,
        cursor: &Cursor,
    ) -> Self {
        let config = delivery_config(&context);
        let state = delivery::State::resumed(&config, cursor);
        StreamRelay::with_delivery(context, response, config, state, cursor)
    }

    fn with_delivery(
        context: Context<'a>,
        response: &'a mut ResponseSender,
        config: delivery::Config,
        delivery: delivery::State,
        cursor: &Cursor,
    ) -> Self {
        let organisation = &context.arrival.organisation;
        let seal = context.host.cursor_keys.seal(organisation, cursor);
        let deadline = context.host.clock.instant(context.dispatch.deadline_ms);
        StreamRelay {
            generation: context.dispatch.generation,
            delivery,
            context,
            response,
            config,
            seal,
            cursor: String::new(),
            chunks: Vec::new(),
            buffered_bytes: 0,
            delivered_tokens: 0,
            first_token_ms: 0,
            last_progress: Instant::now(),
            last_token: Instant::now(),
            last_resume: Instant::now(),
            deadline,
            cause: InterruptionCause::Disconnected,
        }
    }

    /// Returns true if the caller has a cursor with which it can resume the stream.
    pub(super) fn is_resumable(&self) -> bool {
        self.delivered_tokens > 0 && !self.config.is_buffered
    }

    /// Relays tokens until the answer is complete or interrupted.
    pub(super) async fn run(&mut self, mut reader: EngineStream) -> Outcome {
        loop {
            let until = self.silence_deadline(Some(&reader));
            // N.B. a claimed request continues without its caller, who can fetch the
            // answer later under its idempotency key.
            let outlives_caller = self.context.arrival.needs_claim();
            let event = tokio::select! {
                event = timeout_at(until, reader.next()) => event,
                () = self.response.disconnected(), if !outlives_caller => {
                    return Outcome::CallerDisconnected
                }
            };
            let next = match event {
                Ok(event) => self.handle_event(event).await,
                // Comments have arrived meanwhile, so the connection still works.
                Err(_) if self.silence_deadline(Some(&reader)) > Instant::now() => {
                    NextAction::Read
                }
                Err(_) if Instant::now() >= self.deadline => {
                    NextAction::End(self.interrupted(InterruptionCause::TimedOut))
                }
                Err(_) => {
                    self.cause = InterruptionCause::Stalled;
                    self.handle_lost_connection(delivery::Event::ConnectionLost)
                }
            };
            match next {
                NextAction::Read => {}
                NextAction::End(outcome) => return outcome,
                NextAction::Resume(from_index) => {
                    match self.resume_with_retries(from_index).await {
                        Ok(resumed) => reader = resumed,
                        Err(outcome) => return outcome,
                    }
                }
            }
        }
    }

    async fn handle_event(&mut self, event: EngineEvent) -> NextAction {
        match event {
            EngineEvent::Token {
                generation,
                index,
                data,
            } => self.handle_token(generation, index, data).await,
            EngineEvent::Done | EngineEvent::Interrupted => {
                self.cause = InterruptionCause::Disconnected;
                self.handle_lost_connection(delivery::Event::ConnectionLost)
            }
            EngineEvent::ProtocolViolation { detail } => self.protocol_violation(&detail),
        }
    }

    async fn handle_token(
        &mut self,
        generation: GenerationId,
        index: u32,
        data: String,
    ) -> NextAction {
        let is_last = match is_last(&data) {
            Some(is_last) => is_last,
            None => return self.protocol_violation("expected a chunk with choices"),
        };
        let index = u64::from(index);
        let effects = self.apply_delivery_event(delivery::Event::Frame {
            generation,
            index,
            is_last,
        });
        let mut next = NextAction::Read;
        let mut data = Some(data);
        for effect in effects {
            match effect {
                delivery::Effect::Deliver { .. } => {
                    self.record_token_time();
                    let event = self.current_event(&data.take().unwrap_or_default());
                    if self.response.send(event).await.is_err() {
                        return NextAction::End(Outcome::CallerDisconnected);
                    }
                    self.delivered_tokens += 1;
                    self.last_token = Instant::now();
                }
                delivery::Effect::Buffer { .. } => {
                    self.record_token_time();
                    self.last_token = Instant::now();
                    if let Err(outcome) =
                        self.buffer_chunk(data.take().unwrap_or_default())
                    {
                        return NextAction::End(outcome);
                    }
                }
                delivery::Effect::Resume { from_index, .. } => {
                    next = NextAction::Resume(from_index)
                }
                delivery::Effect::Reject(rejection) => self.log_rejection(rejection),
                delivery::Effect::End(Ending::Complete) => {
                    return NextAction::End(self.finish().await);
                }
                delivery::Effect::End(_) => {
                    next = NextAction::End(self.interrupted(self.cause))
                }
                _ => {}
            }
        }
        next
    }

    fn buffer_chunk(&mut self, data: String) -> Result<(), Outcome> {
        self.buffered_bytes += data.len() as u64;
        if self.buffered_bytes > self.context.arrival.values.max_answer_bytes {
            return Err(self.interrupted(InterruptionCause::AnswerTooLarge));
        }
        self.chunks.push(data);
        Ok(())
    }

    /// Completes the answer towards the caller.
    async fn finish(&mut self) -> Outcome {
        let tokens = self.delivery.next_index() as u32;
        let first_token_ms = self.first_token_ms;
        self.context.host.metrics.tokens.inc_by(u64::from(tokens));
        let is_claimed = self.context.arrival.needs_claim();
        let result = if self.context.work.streamed {
            self.finish_stream().await
        } else {
            self.finish_body()
        };
        match result {
            Ok(answer) => Outcome::Finished {
                tokens,
                first_token_ms,
                answer: answer.filter(|_| is_claimed),
            },
            // The answer of a claimed request is stored even if its caller has
            // disconnected.
            Err(_) if is_claimed => Outcome::Finished {
                tokens,
                first_token_ms,
                answer: self.assemble_answer(),
            },
            Err(outcome) => outcome,
        }
    }

    async fn finish_stream(&mut self) -> Result<Option<Arc<Answer>>, Outcome> {
        let answer = self.assemble_answer();
        for (index, data) in std::mem::take(&mut self.chunks).into_iter().enumerate() {
            let event = self.event_at_index(index as u64 + 1, &data);
            self.response
                .send(event)
                .await
                .map_err(|_| Outcome::CallerDisconnected)?;
        }
        let done = Event::new().data(DONE);
        self.response
            .send(done)
            .await
            .map_err(|_| Outcome::CallerDisconnected)?;
        self.response.finish();
        Ok(answer)
    }

    fn finish_body(&mut self) -> Result<Option<Arc<Answer>>, Outcome> {
        let answer = self.assemble_answer();
        let Some(answer) = answer else {
            return Err(self.interrupted(InterruptionCause::ProtocolViolation));
        };
        let json = Some(HeaderValue::from_static(answer::JSON));
        let body = Bytes::from(answer.body.clone());
        let response = answer::response(StatusCode::OK, json, Verdict::Ran, body);
        self.response
            .respond(response)
            .map_err(|_| Outcome::CallerDisconnected)?;
        Ok(Some(answer))
    }

    /// Assembles the answer in one body; returns `None` if no chunk was buffered.
    fn assemble_answer(&self) -> Option<Arc<Answer>> {
        if self.chunks.is_empty() {
            return None;
        }
        let request = self.context.arrival.request;
        let body = answer::assemble(request, self.context.work.path, &self.chunks)?;
        Some(Arc::new(Answer {
            status: StatusCode::OK.as_u16(),
            content_type: answer::JSON.to_owned(),
            body: body.into_bytes(),
        }))
    }

    fn current_event(&mut self, data: &str) -> Event {
        let next_index = self.delivery.next_index();
        self.event_at_index(next_index, data)
    }

    fn event_at_index(&mut self, next_index: u64, data: &str) -> Event {
        self.cursor.clear();
        self.seal.write(next_index, &mut self.cursor);
        Event::new().id(&self.cursor).data(data)
    }

    /// Resumes the stream, with as many attempts as the delivery state allows.
    async fn resume_with_retries(
        &mut self,
        mut from_index: u64,
    ) -> Result<EngineStream, Outcome> {
        loop {
            if let Some(resumed) = self.resume(from_index).await {
                return Ok(resumed);
            }
            match self.handle_lost_connection(delivery::Event::ConnectionLost) {
                NextAction::Resume(index) => from_index = index,
                NextAction::End(outcome) => return Err(outcome),
                NextAction::Read => return Err(self.interrupted(self.cause)),
            }
        }
    }

    /// Requests the rest of the generation from the engine.
    pub(super) async fn resume(&mut self, from_index: u64) -> Option<EngineStream> {
        let host = self.context.host;
        let from_index = u32::try_from(from_index).ok()?;
        // N.B. after a stall the time since the last token already exceeds its bound, so
        // the silence is measured from here. The pooled connections to this target may be
        // broken like the one that was lost, so a new one is opened.
        self.last_resume = Instant::now();
        let resumed = tokio::select! {
            resumed = timeout_at(
                self.silence_deadline(None),
                engine::resume(&host.unpooled, self.context.address, self.generation, from_index),
            ) => resumed.ok().flatten(),
            () = self.response.disconnected(),
                if !self.context.arrival.needs_claim() => None,
        }?;
        self.apply_delivery_event(delivery::Event::Resumed);
        self.context.host.metrics.resumed.inc();
        log::info!(
            request = self.context.arrival.request.to_string(),
            from_index = from_index;
            "the stream was resumed after {}", self.cause.as_str()
        );
        Some(resumed)
    }

    fn protocol_violation(&mut self, detail: &str) -> NextAction {
        log::warn!(
            request = self.context.arrival.request.to_string(),
            target_name = self.context.dispatch.target.as_str();
            "the engine violated its protocol; resuming or ending the stream: {detail}"
        );
        self.cause = InterruptionCause::ProtocolViolation;
        self.handle_lost_connection(delivery::Event::ConnectionLost)
    }

    fn handle_lost_connection(&mut self, event: delivery::Event) -> NextAction {
        for effect in self.apply_delivery_event(event) {
            if let delivery::Effect::Resume { from_index, .. } = effect {
                return NextAction::Resume(from_index);
            }
        }
        NextAction::End(self.interrupted(self.cause))
    }

    pub(super) fn interrupted(&self, cause: InterruptionCause) -> Outcome {
        Outcome::Interrupted {
            cause,
            delivered_tokens: self.delivered_tokens,
        }
    }

    pub(super) fn timeout_cause(&self) -> InterruptionCause {
        if Instant::now() >= self.deadline {
            InterruptionCause::TimedOut
        } else {
            InterruptionCause::Stalled
        }
    }

    pub(super) fn apply_delivery_event(
        &mut self,
        event: delivery::Event,
    ) -> Vec<delivery::Effect> {
        let mut effects = Vec::new();
        delivery::reduce(&self.config, &mut self.delivery, event, &mut effects);
        effects
    }

    /// Returns when the current silence becomes too long: that of tokens, or of the
    /// connection.
    ///
    /// An engine without a token to send still sends comments, so a connection without
    /// a byte for the stall timeout is broken, however long the first token may take.
    pub(super) fn silence_deadline(&self, reader: Option<&EngineStream>) -> Instant {
        let values = &self.context.arrival.values;
        let stall_timeout = Duration::from_millis(values.stall_timeout_ms);
        let token_timeout = Duration::from_millis(values.first_token_timeout_ms);
        let started = self.last_token.max(self.last_resume);
        let last_byte = reader.map_or(started, |reader| started.max(reader.last_byte()));
        let connection_deadline = last_byte + stall_timeout;
        let token_deadline = self.last_token.max(self.last_resume) + token_timeout;
        self.deadline.min(connection_deadline).min(token_deadline)
    }

    /// Reports the number of generated tokens to the accounts, at most once per interval.
    fn report_progress(&mut self) {
        if self.last_progress.elapsed() < PROGRESS_INTERVAL {
            return;
        }
        self.last_progress = Instant::now();
        let event = toucancleat_core::Event::Progressed {
            generation: self.generation,
            tokens: self.delivery.next_index() as u32,
        };
        self.context.host.notify_driver(Input::Event(event));
    }

    fn record_token_time(&mut self) {
        self.report_progress();
        let gap = self.last_token.elapsed();
        let metrics = &self.context.host.metrics;
        if self.delivery.next_index() <= 1 {
            self.first_token_ms = gap.as_millis() as u64;
            metrics.first_token_seconds.observe(gap.as_secs_f64());
            return;
        }
        metrics.between_tokens_seconds.observe(gap.as_secs_f64());
        if gap > STALL_THRESHOLD {
            metrics
                .stall_seconds
                .inc_by((gap - STALL_THRESHOLD).as_secs_f64());
        }
    }

    fn log_rejection(&self, rejection: delivery::Rejection) {
        log::warn!(
            request = self.context.arrival.request.to_string(),
            target_name = self.context.dispatch.target.as_str();
            "discarded a token of the engine: {rejection:?}"
        );
    }
}

fn delivery_config(context: &Context<'_>) -> delivery::Config {
    delivery::Config {
        idempotent: context.arrival.values.idempotent,
        is_buffered: context.work.is_buffered || !context.work.streamed,
        // N.B. another attempt needs another target, which only the reducer can choose.
        attempts_max: 1,
        resumes_max: RESUMES_MAX,
    }
}

fn initial_cursor(context: &Context<'_>) -> Cursor {
    Cursor {
        target: context.dispatch.target.clone(),
        kind: context.arrival.kind.clone(),
        live_event: context.arrival.live_event.clone(),
        generation: context.dispatch.generation,
        attempt: context.dispatch.attempt,
        revision: context.arrival.revision,
        next_index: 0,
    }
}

/// Returns true if a chunk is the last of its answer, or `None` if it isn't a chunk.
fn is_last(data: &str) -> Option<bool> {
    let chunk: Chunk = serde_json::from_str(data).ok()?;
    let choice = chunk.choices.first()?;
    Some(choice.finish_reason.is_some())
}
