//! What goes to the caller and what happens after a failure.

use std::cmp::Ordering;

use super::cursor::Cursor;
use crate::prelude::*;

/// What the settings permit for one request.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Whether the answer is held back to its end, so that another run stays hidden.
    pub whole: bool,
    /// Most attempts in total.
    pub attempts_max: u32,
    /// Most resumes in a row without a new token.
    pub resumes_max: u32,
}

/// The guard of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    phase: Phase,
    generation: GenerationId,
    attempt: u32,
    next_index: u64,
    delivered: bool,
    /// Whether an earlier attempt may have run.
    earlier_may_have_run: bool,
    /// Whether a byte of the present attempt may have reached its target.
    sent: bool,
    resumes_left: u32,
}

/// What the guard reacts to.
#[derive(Clone, Copy, Debug)]
#[non_exhaustive]
pub enum Event {
    /// The daemon begins the attempt that it was asked for, under a fresh id.
    Started {
        /// Id of the attempt's generation.
        generation: GenerationId,
    },
    /// The first byte of the attempt is about to leave for the target.
    Sent,
    /// A token arrived from a target.
    Frame {
        /// Generation that the frame names.
        generation: GenerationId,
        /// Index that the frame names.
        index: u64,
        /// Whether it is the generation's last.
        last: bool,
    },
    /// The link to the target broke or stalled.
    LinkLost,
    /// The target resumed the generation.
    Resumed,
    /// The target is gone, doesn't know the generation, or sends nonsense.
    TargetLost,
    /// The target proved that it didn't begin the attempt.
    Refused,
    /// The caller has closed its connection.
    CallerGone,
    /// The time allowed for the request is over.
    TimedOut,
}

/// What the daemon has to do for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Pass the frame on to the caller.
    Deliver {
        /// Index of the frame.
        index: u64,
    },
    /// Keep the frame until the answer is whole.
    Hold {
        /// Index of the frame.
        index: u64,
    },
    /// Pass on all that was kept, in order.
    DeliverHeld,
    /// Throw away all that was kept.
    DiscardHeld,
    /// Throw the frame away.
    Reject(Rejection),
    /// Ask the target for the rest of the same generation.
    Resume {
        /// The generation.
        generation: GenerationId,
        /// Index of the first frame that is missing.
        from_index: u64,
    },
    /// Tell the target to stop the generation, as far as it can be reached.
    Cancel {
        /// The generation.
        generation: GenerationId,
    },
    /// Begin another attempt at a target, then feed [`Event::Started`].
    Rerun {
        /// Number of the attempt, the first being 1.
        attempt: u32,
    },
    /// The stream is over.
    End(Ending),
}

/// Why a frame was thrown away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Rejection {
    /// It belongs to a generation that isn't this stream's, or isn't any more.
    OtherGeneration,
    /// It was delivered before.
    Repeated,
    /// Frames before it are missing.
    Skipped,
    /// The stream is over.
    Ended,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Ending {
    /// The caller was given the whole answer.
    Whole,
    /// The answer can't be completed.
    Broken {
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// The caller has gone.
    CallerGone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Starting,
    Streaming,
    Resuming,
    Ended,
}

impl State {
    /// Makes the guard of a new request; the daemon begins attempt 1 on its own.
    pub fn new(config: &Config) -> Self {
        State {
            phase: Phase::Starting,
            generation: GenerationId::default(),
            attempt: 1,
            next_index: 0,
            delivered: false,
            earlier_may_have_run: false,
            sent: false,
            resumes_left: config.resumes_max,
        }
    }

    /// Makes the guard of a stream that a caller resumes by its cursor; the daemon asks
    /// the target to resume on its own.
    pub fn resumed(config: &Config, cursor: &Cursor) -> Self {
        State {
            phase: Phase::Resuming,
            generation: cursor.generation,
            attempt: cursor.attempt,
            next_index: cursor.next_index,
            delivered: true,
            earlier_may_have_run: false,
            sent: true,
            resumes_left: config.resumes_max,
        }
    }

    /// Returns the number of the present attempt.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the index of the next frame that may go out.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns what is known of the request while it isn't finished.
    pub fn verdict(&self) -> Verdict {
        if self.sent || self.earlier_may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Says whether the stream is over.
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
            last,
        } => frame(config, state, generation, index, last, effects),
        _ if state.phase == Phase::Ended => {}
        Event::Started { generation } => started(config, state, generation),
        Event::Sent => state.sent = true,
        Event::LinkLost => link_lost(config, state, effects),
        Event::Resumed => {
            if state.phase == Phase::Resuming {
                state.phase = Phase::Streaming;
            }
        }
        Event::TargetLost => attempt_failed(config, state, effects),
        Event::Refused => refused(config, state, effects),
        Event::CallerGone => end(state, Ending::CallerGone, effects),
        Event::TimedOut => end(state, broken(state), effects),
    }
}

fn started(config: &Config, state: &mut State, generation: GenerationId) {
    if state.phase == Phase::Starting {
        state.phase = Phase::Streaming;
        state.generation = generation;
        state.next_index = 0;
        state.resumes_left = config.resumes_max;
    }
}

/// Lets exactly the next frame of the present generation through.
fn frame(
    config: &Config,
    state: &mut State,
    generation: GenerationId,
    index: u64,
    last: bool,
    effects: &mut Vec<Effect>,
) {
    if let Some(rejection) = rejection(state, generation, index) {
        effects.push(Effect::Reject(rejection));
        let resumable = state.phase == Phase::Streaming;
        if rejection == Rejection::Skipped && resumable {
            link_lost(config, state, effects);
        }
        return;
    }
    state.next_index += 1;
    state.sent = true;
    state.resumes_left = config.resumes_max;
    if config.whole {
        effects.push(Effect::Hold { index });
    } else {
        state.delivered = true;
        effects.push(Effect::Deliver { index });
    }
    if last {
        finish(config, state, effects);
    }
}

fn rejection(state: &State, generation: GenerationId, index: u64) -> Option<Rejection> {
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

fn finish(config: &Config, state: &mut State, effects: &mut Vec<Effect>) {
    if config.whole {
        effects.push(Effect::DeliverHeld);
    }
    state.phase = Phase::Ended;
    effects.push(Effect::End(Ending::Whole));
}

/// Asks for the rest of the same generation while that makes progress.
fn link_lost(config: &Config, state: &mut State, effects: &mut Vec<Effect>) {
    if state.phase == Phase::Starting {
        return;
    }
    if state.resumes_left == 0 {
        attempt_failed(config, state, effects);
        return;
    }
    state.resumes_left -= 1;
    state.phase = Phase::Resuming;
    effects.push(Effect::Resume {
        generation: state.generation,
        from_index: state.next_index,
    });
}

/// N.B. The proof covers this attempt only, and none that has sent a token.
fn refused(config: &Config, state: &mut State, effects: &mut Vec<Effect>) {
    if state.next_index == 0 {
        state.sent = false;
    }
    attempt_failed(config, state, effects);
}

/// Runs the request again where that can't be seen, and ends the stream otherwise.
fn attempt_failed(config: &Config, state: &mut State, effects: &mut Vec<Effect>) {
    let permitted = state.verdict().permits_retry(config.idempotent);
    let rerun = permitted && !state.delivered && state.attempt < config.attempts_max;
    if !rerun {
        end(state, broken(state), effects);
        return;
    }
    cancel(state, effects);
    if config.whole && state.next_index > 0 {
        effects.push(Effect::DiscardHeld);
    }
    state.attempt += 1;
    state.phase = Phase::Starting;
    state.earlier_may_have_run |= state.sent;
    state.sent = false;
    effects.push(Effect::Rerun {
        attempt: state.attempt,
    });
}

fn broken(state: &State) -> Ending {
    Ending::Broken {
        verdict: state.verdict(),
    }
}

fn end(state: &mut State, ending: Ending, effects: &mut Vec<Effect>) {
    cancel(state, effects);
    state.phase = Phase::Ended;
    effects.push(Effect::End(ending));
}

fn cancel(state: &State, effects: &mut Vec<Effect>) {
    if matches!(state.phase, Phase::Streaming | Phase::Resuming) {
        effects.push(Effect::Cancel {
            generation: state.generation,
        });
    }
}
