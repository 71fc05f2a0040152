//! Streams whose caller has gone, and those that come back elsewhere.
//!
//! A caller whose connection broke resumes at any entry host of the zone. The host that
//! it had before can't tell a broken connection from a caller that gave up, so it keeps
//! the generation for a while, and cancels it unless another host says that it has taken
//! it over. See docs/design/generations.md.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::prelude::*;
use crate::requests::{Arrival, Outcome};

/// Times of abandoned streams.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time that a generation is kept for its caller to come back.
    pub grace_ms: u64,
    /// Time between two announcements of a generation that was taken over, which are
    /// repeated for as long as another host may keep it.
    pub announce_ms: u64,
    /// Most generations that are kept at once; beyond, the oldest is cancelled at once.
    pub abandoned_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            grace_ms: 3_000,
            announce_ms: 500,
            abandoned_max: 4_096,
        }
    }
}

/// The streams of one host whose caller has gone.
#[derive(Clone, Debug, Default)]
pub struct State {
    config: Config,
    abandoned: IndexMap<GenerationId, Abandoned>,
    taken_over: IndexMap<GenerationId, TakenOver>,
}

/// A generation that this host has taken over.
#[derive(Clone, Debug)]
struct TakenOver {
    announce_at_ms: u64,
    until_ms: u64,
}

#[derive(Clone, Debug)]
struct Abandoned {
    target: TargetName,
    cancel_at_ms: u64,
}

/// What happens to streams.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// The caller of a stream has gone in its midst.
    CallerLeft {
        /// The generation.
        generation: GenerationId,
        /// The target that runs it.
        target: TargetName,
    },
    /// A caller came back to this host with its cursor.
    Resumed {
        /// The request by which the caller came back.
        request: RequestId,
        /// The generation.
        generation: GenerationId,
        /// The target that runs it.
        target: TargetName,
        /// Index of the first token that the caller lacks.
        from_index: u64,
    },
    /// The rest of a stream has ended, for whose caller this host had taken it over.
    Ended {
        /// The request by which the caller came back.
        arrival: Arc<Arrival>,
        /// The generation.
        generation: GenerationId,
        /// The target that ran it.
        target: TargetName,
        /// How it ended.
        outcome: Outcome,
    },
    /// A peer sent a message.
    Received {
        /// The message.
        message: Message,
    },
    /// Time passed.
    Tick,
}

/// A one-way message; any of them may be lost, late, duplicated or out of order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// The sender has taken a generation over.
    Resumed {
        /// The generation.
        generation: GenerationId,
    },
}

/// What the daemon is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Sends a message to every other entry host of the zone.
    Broadcast {
        /// The message.
        message: Message,
    },
    /// Tells the target to stop a generation.
    Cancel {
        /// The generation.
        generation: GenerationId,
        /// The target that runs it.
        target: TargetName,
    },
}

impl State {
    /// Makes a state without streams.
    pub fn new(config: Config) -> Self {
        State {
            config,
            abandoned: IndexMap::new(),
            taken_over: IndexMap::new(),
        }
    }

    /// Returns how many generations are kept for their callers.
    pub fn len(&self) -> usize {
        self.abandoned.len()
    }

    /// Says whether no generation is kept.
    pub fn is_empty(&self) -> bool {
        self.abandoned.is_empty()
    }
}

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::CallerLeft { generation, target } => {
            let cancel_at_ms = now_ms + state.config.grace_ms;
            let abandoned = Abandoned {
                target,
                cancel_at_ms,
            };
            state.abandoned.insert(generation, abandoned);
            if state.abandoned.len() > state.config.abandoned_max {
                cancel_oldest(state, effects);
            }
        }
        Event::Resumed { generation, .. } => {
            state.abandoned.shift_remove(&generation);
            let taken_over = TakenOver {
                announce_at_ms: now_ms,
                until_ms: now_ms + state.config.grace_ms,
            };
            state.taken_over.insert(generation, taken_over);
            announce(state, now_ms, effects);
        }
        Event::Received {
            message: Message::Resumed { generation },
        } => {
            state.abandoned.shift_remove(&generation);
        }
        // Only the time line takes note; the host before this one has long let go.
        Event::Ended { .. } => {}
        Event::Tick => {
            announce(state, now_ms, effects);
            cancel_due(state, now_ms, effects);
        }
    }
}

/// Tells the zone what this host has taken over; a single message could be lost.
fn announce(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.taken_over.retain(|_, taken| taken.until_ms > now_ms);
    for (generation, taken) in &mut state.taken_over {
        if taken.announce_at_ms > now_ms {
            continue;
        }
        taken.announce_at_ms = now_ms + state.config.announce_ms;
        let generation = *generation;
        let message = Message::Resumed { generation };
        effects.push(Effect::Broadcast { message });
    }
}

/// Cancels what is due; the oldest come first, since all are kept for the same time.
fn cancel_due(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    while let Some((_, oldest)) = state.abandoned.first() {
        if oldest.cancel_at_ms > now_ms {
            return;
        }
        cancel_oldest(state, effects);
    }
}

fn cancel_oldest(state: &mut State, effects: &mut Vec<Effect>) {
    if let Some((generation, abandoned)) = state.abandoned.shift_remove_index(0) {
        let target = abandoned.target;
        effects.push(Effect::Cancel { generation, target });
    }
}
