//! Decides which frames are delivered to the caller, and whether a failed attempt is
//! resumed or retried.

use std::cmp::Ordering;

use super::cursor::Cursor;
use crate::prelude::*;

/// The policy of the settings for one request.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// True if the request may safely run more than once.
    pub idempotent: bool,
    /// True if the answer is buffered until it is complete, so that another attempt can
    /// replace one that failed halfway without the caller noticing.
    pub is_buffered: bool,
    /// Maximum number of attempts.
    pub attempts_max: u32,
    /// Maximum number of consecutive resumptions without a new token.
    pub resumes_max: u32,
}

/// The delivery state of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    phase: Phase,
    generation: GenerationId,
    attempt: u32,
    next_index: u64,
    /// True if a frame may have reached the caller.
    has_delivered: bool,
    /// True if an earlier attempt may have run.
    earlier_attempt_may_have_run: bool,
    /// True if a byte of the current attempt may have reached its target.
    may_have_reached_target: bool,
    resumes_left: u32,
}

/// An event of the delivery of a stream.
#[derive(Clone, Copy, Debug)]
#[non_exhaustive]
pub enum Event {
    /// The daemon has started the attempt that was requested, under a new generation id.
    Started {
        /// The id of the attempt's generation.
        generation: GenerationId,
    },
    /// The first byte of the attempt is about to be sent to the target.
    Sent,
    /// A frame with a token has arrived from a target.
    Frame {
        /// The generation given in the frame.
        generation: GenerationId,
        /// The index given in the frame.
        index: u64,
        /// True if it is the last frame of the generation.
        is_last: bool,
    },
    /// The connection to the target was lost or has stalled.
    ConnectionLost,
    /// The target has resumed the generation.
    Resumed,
    /// The target has stopped, doesn't know the generation, or violates the protocol.
    TargetLost,
    /// The target has proved that it didn't start the attempt.
    Refused,
    /// The caller has closed its connection.
    CallerDisconnected,
    /// The deadline of the request has passed.
    TimedOut,
}

/// An effect of the delivery of a stream, which the relay executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Send the frame to the caller.
    Deliver {
        /// The index of the frame.
        index: u64,
    },
    /// Buffer the frame until the answer is complete.
    Buffer {
        /// The index of the frame.
        index: u64,
    },
    /// Send all buffered frames to the caller, in order.
    DeliverBuffered,
    /// Discard all buffered frames.
    DiscardBuffered,
    /// Discard the frame.
    Reject(Rejection),
    /// Request the rest of the same generation from the target.
    Resume {
        /// The generation.
        generation: GenerationId,
        /// The index of the first missing frame.
        from_index: u64,
    },
    /// Send a cancellation of the generation to the target, if it can be reached.
    Cancel {
        /// The generation.
        generation: GenerationId,
    },
    /// Start another attempt at a target, then apply [`Event::Started`].
    StartAttempt {
        /// The number of the attempt, the first being 1.
        attempt: u32,
    },
    /// The stream has ended.
    End(Ending),
}

/// The reason for which a frame was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Rejection {
    /// The frame isn't from the current generation of the stream.
    OtherGeneration,
    /// The frame was delivered or buffered before.
    Repeated,
    /// Frames before this one are missing.
    Skipped,
    /// The stream has ended.
    Ended,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Ending {
    /// The whole answer was delivered to the caller.
    Complete,
    /// The answer can't be completed.
    Interrupted {
        /// States whether the request may have run.
        verdict: Verdict,
    },
    /// The caller has closed its connection.
    CallerDisconnected,
}

/// The phase of the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Starting,
    Streaming,
    Resuming,
    Ended,
}

impl State {
    /// Creates the state of a new request. The daemon starts attempt 1 without an effect.
    pub fn new(config: &Config) -> Self {
        State {
            phase: Phase::Starting,
            generation: GenerationId::default(),
            attempt: 1,
            next_index: 0,
            has_delivered: false,
            earlier_attempt_may_have_run: false,
            may_have_reached_target: false,
            resumes_left: config.resumes_max,
        }
    }

    /// Creates the state of a stream that a caller resumes with its cursor. The daemon
    /// requests the resumption from the target without an effect.
    pub fn resumed(config: &Config, cursor: &Cursor) -> Self {
        State {
            phase: Phase::Resuming,
            generation: cursor.generation,
            attempt: cursor.attempt,
            next_index: cursor.next_index,
            has_delivered: true,
            earlier_attempt_may_have_run: false,
            may_have_reached_target: true,
            resumes_left: config.resumes_max,
        }
    }

    /// Returns the number of the current attempt, the first being 1.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the index of the next frame to accept.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns the verdict on whether the request may have run, for a stream that has not
    /// finished.
    pub fn verdict(&self) -> Verdict {
        if self.may_have_reached_target || self.earlier_attempt_may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Returns true if the stream has ended.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }
}

/// Applies one event.
pub fn reduce(
    config: &Config,
    state: &mut State,
    event: Event,
    effects: &mut Vec<Effect>,
) {
    match event {
        Event::Frame {
            generation,
            index,
            is_last,
        } => handle_frame(config, state, generation, index, is_last, effects),
        _ if state.phase == Phase::Ended => {}
        Event::Started { generation } => handle_started(config, state, generation),
        Event::Sent => state.may_have_reached_target = true,
        Event::ConnectionLost => handle_connection_lost(config, state, effects),
        Event::Resumed => {
            if state.phase == Phase::Resuming {
                state.phase = Phase::Streaming;
            }
        }
        Event::TargetLost => handle_attempt_failed(config, state, effects),
        Event::Refused => handle_refused(config, state, effects),
        Event::CallerDisconnected => {
            end_stream(state, Ending::CallerDisconnected, effects)
        }
        Event::TimedOut => end_stream(state, interrupted_ending(state), effects),
    }
}

fn handle_started(config: &Config, state: &mut State, generation: GenerationId) {
    if state.phase == Phase::Starting {
        state.phase = Phase::Streaming;
        state.generation = generation;
        state.next_index = 0;
        state.resumes_left = config.resumes_max;
    }
}

/// Accepts exactly the next frame of the current generation.
fn handle_frame(
    config: &Config,
    state: &mut State,
    generation: GenerationId,
    index: u64,
    last: bool,
    effects: &mut Vec<Effect>,
) {
    if let Some(rejection) = check_frame(state, generation, index) {
        effects.push(Effect::Reject(rejection));
        let is_resumable = state.phase == Phase::Streaming;
        if rejection == Rejection::Skipped && is_resumable {
            handle_connection_lost(config, state, effects);
        }
        return;
    }
    state.next_index += 1;
    state.may_have_reached_target = true;
    state.resumes_left = config.resumes_max;
    if config.is_buffered {
        effects.push(Effect::Buffer { index });
    } else {
        state.has_delivered = true;
        effects.push(Effect::Deliver { index });
    }
    if last {
        finish_stream(config, state, effects);
    }
}

/// Returns the reason to discard a frame, or `None` if the frame is the next one.
fn check_frame(state: &State, generation: GenerationId, index: u64) -> Option<Rejection> {
    if state.phase == Phase::Ended {
        return Some(Rejection::Ended);
    }
    if state.phase == Phase::Starting || generation != state.generation {
        return Some(Rejection::OtherGeneration);
    }
    match index.cmp(&state.next_index) {
        Ordering::Less => Some(Rejection::Repeated),
        Ordering::Equal => None,
        Ordering::Greater => Some(Rejection::Skipped),
    }
}

fn finish_stream(config: &Config, state: &mut State, effects: &mut Vec<Effect>) {
    if config.is_buffered {
        effects.push(Effect::DeliverBuffered);
    }
    state.phase = Phase::Ended;
    effects.push(Effect::End(Ending::Complete));
}

/// Requests the rest of the same generation, as long as resumptions make progress.
fn handle_connection_lost(config: &Config, state: &mut State, effects: &mut Vec<Effect>) {
    if state.phase == Phase::Starting {
        return;
    }
    if state.resumes_left == 0 {
        handle_attempt_failed(config, state, effects);
        return;
    }
    state.resumes_left -= 1;
    state.phase = Phase::Resuming;
    effects.push(Effect::Resume {
        generation: state.generation,
        from_index: state.next_index,
    });
}

/// Handles the proof that the target didn't start the attempt.
///
/// N.B. The proof covers only this attempt, and is disregarded if the attempt has sent a
/// token.
fn handle_refused(config: &Config, state: &mut State, effects: &mut Vec<Effect>) {
    if state.next_index == 0 {
        state.may_have_reached_target = false;
    }
    handle_attempt_failed(config, state, effects);
}

/// Starts another attempt if it is permitted and the caller has received no frame, and
/// ends the stream otherwise.
fn handle_attempt_failed(config: &Config, state: &mut State, effects: &mut Vec<Effect>) {
    let is_permitted = state.verdict().permits_retry(config.idempotent);
    let can_start_attempt =
        is_permitted && !state.has_delivered && state.attempt < config.attempts_max;
    if !can_start_attempt {
        end_stream(state, interrupted_ending(state), effects);
        return;
    }
    cancel_attempt(state, effects);
    if config.is_buffered && state.next_index > 0 {
        effects.push(Effect::DiscardBuffered);
    }
    state.attempt += 1;
    state.phase = Phase::Starting;
    state.earlier_attempt_may_have_run |= state.may_have_reached_target;
    state.may_have_reached_target = false;
    effects.push(Effect::StartAttempt {
        attempt: state.attempt,
    });
}

/// Returns the ending of a stream whose answer can't be completed.
fn interrupted_ending(state: &State) -> Ending {
    Ending::Interrupted {
        verdict: state.verdict(),
    }
}

fn end_stream(state: &mut State, ending: Ending, effects: &mut Vec<Effect>) {
    cancel_attempt(state, effects);
    state.phase = Phase::Ended;
    effects.push(Effect::End(ending));
}

/// Cancels the current attempt if it has started.
fn cancel_attempt(state: &State, effects: &mut Vec<Effect>) {
    if matches!(state.phase, Phase::Streaming | Phase::Resuming) {
        effects.push(Effect::Cancel {
            generation: state.generation,
        });
    }
}
