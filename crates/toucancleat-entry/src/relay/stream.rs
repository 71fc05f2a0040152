//! One generation on its way from an engine to a caller.
//!
//! Which token goes out, and what follows a lost link, is decided by the guard in
//! [`toucancleat_core::generation`]; this module only carries its effects out.

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
use toucancleat_core::generation::{self as guard, Cursor, CursorSeal, Ending};
use toucancleat_core::prelude::*;
use toucancleat_core::requests::{Arrival, LossCause, Outcome};
use volo_http::server::response::sse::Event;

use super::caller::Caller;
use super::{GenerationWork, answer};
use crate::driver::Input;
use crate::engine::{self, EngineEvent, EngineStream};
use crate::host::Host;

/// Resumes in a row that bring no new token.
const RESUMES_MAX: u32 = 2;
/// Silence within a stream that counts as stall time.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Least time between two reports of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Data of the event that closes a whole answer.
const DONE: &str = "[DONE]";

/// What an attempt needs to know.
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub(super) host: &'a Arc<Host>,
    pub(super) arrival: &'a Arrival,
    pub(super) work: &'a GenerationWork,
    pub(super) address: SocketAddr,
    pub(super) dispatch: &'a Dispatch,
}

/// The part of a chunk that tells whether it is the last.
#[derive(Deserialize)]
struct Chunk {
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    finish_reason: Option<IgnoredAny>,
}

/// A generation on its way to its caller, under the guard's eye.
pub(super) struct Stream<'a> {
    pub(super) context: Context<'a>,
    pub(super) caller: &'a mut Caller,
    pub(super) config: guard::Config,
    guard: guard::State,
    pub(super) generation: GenerationId,
    seal: CursorSeal,
    cursor: String,
    /// Tokens held back, or kept for an answer in one body.
    chunks: Vec<String>,
    chunks_bytes: u64,
    delivered_tokens: u32,
    first_token_ms: u64,
    /// When the progress was told last.
    told: Instant,
    /// When the last token came, or the attempt began.
    heard: Instant,
    /// When the stream was last asked for again.
    resumed: Instant,
    deadline: Instant,
    pub(super) cause: LossCause,
}

/// What the relay does after an event.
enum Next {
    Read,
    Resume(u64),
    Over(Outcome),
}

impl<'a> Stream<'a> {
    /// Makes the stream of an attempt that has not begun.
    pub(super) fn new(context: Context<'a>, caller: &'a mut Caller) -> Self {
        let config = guard_config(&context);
        let state = guard::State::new(&config);
        let cursor = first_cursor(&context);
        Stream::with_guard(context, caller, config, state, &cursor)
    }

    /// Makes the rest of a stream whose caller has come back with its cursor.
    pub(super) fn resumed(
        context: Context<'a>,
        caller: &'a mut Caller,
        cursor: &Cursor,
    ) -> Self {
        let config = guard_config(&context);
        let state = guard::State::resumed(&config, cursor);
        Stream::with_guard(context, caller, config, state, cursor)
    }

    fn with_guard(
        context: Context<'a>,
        caller: &'a mut Caller,
        config: guard::Config,
        guard: guard::State,
        cursor: &Cursor,
    ) -> Self {
        let organisation = &context.arrival.organisation;
        let seal = context.host.cursor_keys.seal(organisation, cursor);
        let deadline = context.host.clock.instant(context.dispatch.deadline_ms);
        Stream {
            generation: context.dispatch.generation,
            guard,
            context,
            caller,
            config,
            seal,
            cursor: String::new(),
            chunks: Vec::new(),
            chunks_bytes: 0,
            delivered_tokens: 0,
            first_token_ms: 0,
            told: Instant::now(),
            heard: Instant::now(),
            resumed: Instant::now(),
            deadline,
            cause: LossCause::Disconnected,
        }
    }

    /// Says whether the caller has a cursor with which it may come back.
    pub(super) fn is_resumable(&self) -> bool {
        self.delivered_tokens > 0 && !self.config.whole
    }

    /// Relays tokens until the answer is whole or lost.
    pub(super) async fn relay(&mut self, mut reader: EngineStream) -> Outcome {
        loop {
            let until = self.silence_deadline(Some(&reader));
            // N.B. a claimed request goes on without its caller, who will ask for the answer
            // by its key.
            let stays = self.context.arrival.needs_claim();
            let event = tokio::select! {
                event = timeout_at(until, reader.next()) => event,
                () = self.caller.gone(), if !stays => return Outcome::CallerGone,
            };
            let next = match event {
                Ok(event) => self.take(event).await,
                // Comments came meanwhile, so the link is alive.
                Err(_) if self.silence_deadline(Some(&reader)) > Instant::now() => {
                    Next::Read
                }
                Err(_) if Instant::now() >= self.deadline => {
                    Next::Over(self.lost(LossCause::TimedOut))
                }
                Err(_) => {
                    self.cause = LossCause::Stalled;
                    self.after_loss(guard::Event::LinkLost)
                }
            };
            match next {
                Next::Read => {}
                Next::Over(outcome) => return outcome,
                Next::Resume(from_index) => match self.resume_any(from_index).await {
                    Ok(resumed) => reader = resumed,
                    Err(outcome) => return outcome,
                },
            }
        }
    }

    async fn take(&mut self, event: EngineEvent) -> Next {
        match event {
            EngineEvent::Token {
                generation,
                index,
                data,
            } => self.token(generation, index, data).await,
            EngineEvent::Done | EngineEvent::Broken => {
                self.cause = LossCause::Disconnected;
                self.after_loss(guard::Event::LinkLost)
            }
            EngineEvent::Unreadable { detail } => self.violation(&detail),
        }
    }

    async fn token(
        &mut self,
        generation: GenerationId,
        index: u32,
        data: String,
    ) -> Next {
        let last = match is_last(&data) {
            Some(last) => last,
            None => return self.violation("expected a chunk with choices"),
        };
        let index = u64::from(index);
        let effects = self.guard_event(guard::Event::Frame {
            generation,
            index,
            last,
        });
        let mut next = Next::Read;
        let mut data = Some(data);
        for effect in effects {
            match effect {
                guard::Effect::Deliver { .. } => {
                    self.measure_gap();
                    let event = self.event(&data.take().unwrap_or_default());
                    if self.caller.send(event).await.is_err() {
                        return Next::Over(Outcome::CallerGone);
                    }
                    self.delivered_tokens += 1;
                    self.heard = Instant::now();
                }
                guard::Effect::Hold { .. } => {
                    self.measure_gap();
                    self.heard = Instant::now();
                    if let Err(outcome) = self.hold(data.take().unwrap_or_default()) {
                        return Next::Over(outcome);
                    }
                }
                guard::Effect::Resume { from_index, .. } => {
                    next = Next::Resume(from_index)
                }
                guard::Effect::Reject(rejection) => self.log_rejection(rejection),
                guard::Effect::End(Ending::Whole) => {
                    return Next::Over(self.finish().await);
                }
                guard::Effect::End(_) => next = Next::Over(self.lost(self.cause)),
                _ => {}
            }
        }
        next
    }

    fn hold(&mut self, data: String) -> Result<(), Outcome> {
        self.chunks_bytes += data.len() as u64;
        if self.chunks_bytes > self.context.arrival.values.max_answer_bytes {
            return Err(self.lost(LossCause::AnswerTooLarge));
        }
        self.chunks.push(data);
        Ok(())
    }

    /// Closes a whole answer towards the caller.
    async fn finish(&mut self) -> Outcome {
        let tokens = self.guard.next_index() as u32;
        let first_token_ms = self.first_token_ms;
        self.context.host.metrics.tokens.inc_by(u64::from(tokens));
        let claimed = self.context.arrival.needs_claim();
        let result = if self.context.work.streamed {
            self.finish_stream().await
        } else {
            self.finish_body()
        };
        match result {
            Ok(answer) => Outcome::Finished {
                tokens,
                first_token_ms,
                answer: answer.filter(|_| claimed),
            },
            // The answer of a claimed request counts, whether its caller listens or not.
            Err(_) if claimed => Outcome::Finished {
                tokens,
                first_token_ms,
                answer: self.stored_answer(),
            },
            Err(outcome) => outcome,
        }
    }

    async fn finish_stream(&mut self) -> Result<Option<Arc<Answer>>, Outcome> {
        let answer = self.stored_answer();
        for (index, data) in std::mem::take(&mut self.chunks).into_iter().enumerate() {
            let event = self.event_at(index as u64 + 1, &data);
            self.caller
                .send(event)
                .await
                .map_err(|_| Outcome::CallerGone)?;
        }
        let done = Event::new().data(DONE);
        self.caller
            .send(done)
            .await
            .map_err(|_| Outcome::CallerGone)?;
        self.caller.finish();
        Ok(answer)
    }

    fn finish_body(&mut self) -> Result<Option<Arc<Answer>>, Outcome> {
        let answer = self.stored_answer();
        let Some(answer) = answer else {
            return Err(self.lost(LossCause::ProtocolViolation));
        };
        let json = Some(HeaderValue::from_static(answer::JSON));
        let body = Bytes::from(answer.body.clone());
        let response = answer::response(StatusCode::OK, json, Verdict::Ran, body);
        self.caller
            .respond(response)
            .map_err(|_| Outcome::CallerGone)?;
        Ok(Some(answer))
    }

    /// Assembles the answer in one body; `None` when nothing was held.
    fn stored_answer(&self) -> Option<Arc<Answer>> {
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

    fn event(&mut self, data: &str) -> Event {
        let next_index = self.guard.next_index();
        self.event_at(next_index, data)
    }

    fn event_at(&mut self, next_index: u64, data: &str) -> Event {
        self.cursor.clear();
        self.seal.write(next_index, &mut self.cursor);
        Event::new().id(&self.cursor).data(data)
    }

    /// Asks for the rest of the stream as often as the guard allows.
    async fn resume_any(&mut self, mut from_index: u64) -> Result<EngineStream, Outcome> {
        loop {
            if let Some(resumed) = self.resume(from_index).await {
                return Ok(resumed);
            }
            match self.after_loss(guard::Event::LinkLost) {
                Next::Resume(index) => from_index = index,
                Next::Over(outcome) => return Err(outcome),
                Next::Read => return Err(self.lost(self.cause)),
            }
        }
    }

    /// Asks the engine for the rest of the generation.
    pub(super) async fn resume(&mut self, from_index: u64) -> Option<EngineStream> {
        let host = self.context.host;
        let from_index = u32::try_from(from_index).ok()?;
        // N.B. after a stall the time since the last token has run out already, and the
        // pool's connections to this target may be as dead as the one that was lost.
        self.resumed = Instant::now();
        let resumed = tokio::select! {
            resumed = timeout_at(
                self.silence_deadline(None),
                engine::resume(&host.fresh, self.context.address, self.generation, from_index),
            ) => resumed.ok().flatten(),
            () = self.caller.gone(), if !self.context.arrival.needs_claim() => None,
        }?;
        self.guard_event(guard::Event::Resumed);
        self.context.host.metrics.resumed.inc();
        log::info!(
            request = self.context.arrival.request.to_string(),
            from_index = from_index;
            "the stream was resumed after {}", self.cause.as_str()
        );
        Some(resumed)
    }

    fn violation(&mut self, detail: &str) -> Next {
        log::warn!(
            request = self.context.arrival.request.to_string(),
            target_name = self.context.dispatch.target.as_str();
            "the engine broke its protocol: {detail}"
        );
        self.cause = LossCause::ProtocolViolation;
        self.after_loss(guard::Event::LinkLost)
    }

    fn after_loss(&mut self, event: guard::Event) -> Next {
        for effect in self.guard_event(event) {
            if let guard::Effect::Resume { from_index, .. } = effect {
                return Next::Resume(from_index);
            }
        }
        Next::Over(self.lost(self.cause))
    }

    pub(super) fn lost(&self, cause: LossCause) -> Outcome {
        Outcome::Lost {
            cause,
            delivered_tokens: self.delivered_tokens,
        }
    }

    pub(super) fn timeout_cause(&self) -> LossCause {
        if Instant::now() >= self.deadline {
            LossCause::TimedOut
        } else {
            LossCause::Stalled
        }
    }

    pub(super) fn guard_event(&mut self, event: guard::Event) -> Vec<guard::Effect> {
        let mut effects = Vec::new();
        guard::reduce(&self.config, &mut self.guard, event, &mut effects);
        effects
    }

    /// Returns when the present silence is too long: of tokens, or of the link itself.
    ///
    /// An engine that has nothing to say yet still sends comments, so that a link without
    /// a byte for the stall timeout is broken however long the first token may take.
    pub(super) fn silence_deadline(&self, reader: Option<&EngineStream>) -> Instant {
        let values = &self.context.arrival.values;
        let stall_timeout = Duration::from_millis(values.stall_timeout_ms);
        let token_timeout = Duration::from_millis(values.first_token_timeout_ms);
        let asked = self.heard.max(self.resumed);
        let byte = reader.map_or(asked, |reader| asked.max(reader.last_byte()));
        let silent_link = byte + stall_timeout;
        let silent_target = self.heard.max(self.resumed) + token_timeout;
        self.deadline.min(silent_link).min(silent_target)
    }

    /// Tells the accounts how far the generation has come, now and then.
    fn tell_progress(&mut self) {
        if self.told.elapsed() < PROGRESS_INTERVAL {
            return;
        }
        self.told = Instant::now();
        let event = toucancleat_core::Event::Progressed {
            generation: self.generation,
            tokens: self.guard.next_index() as u32,
        };
        self.context.host.tell(Input::Event(event));
    }

    fn measure_gap(&mut self) {
        self.tell_progress();
        let gap = self.heard.elapsed();
        let metrics = &self.context.host.metrics;
        if self.guard.next_index() <= 1 {
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

    fn log_rejection(&self, rejection: guard::Rejection) {
        log::warn!(
            request = self.context.arrival.request.to_string(),
            target_name = self.context.dispatch.target.as_str();
            "a token was thrown away: {rejection:?}"
        );
    }
}

fn guard_config(context: &Context<'_>) -> guard::Config {
    guard::Config {
        idempotent: context.arrival.values.idempotent,
        whole: context.work.whole || !context.work.streamed,
        // N.B. another attempt needs another target, so the reducer decides on it.
        attempts_max: 1,
        resumes_max: RESUMES_MAX,
    }
}

fn first_cursor(context: &Context<'_>) -> Cursor {
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

/// Says whether a chunk is the last; `None` when it is no chunk.
fn is_last(data: &str) -> Option<bool> {
    let chunk: Chunk = serde_json::from_str(data).ok()?;
    let choice = chunk.choices.first()?;
    Some(choice.finish_reason.is_some())
}
