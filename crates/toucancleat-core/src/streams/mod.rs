//! Streams whose caller has disconnected, and their resumption at another host.
//!
//! A caller whose connection was lost may resume its stream at any entry host of the
//! zone. Its previous host can't distinguish a lost connection from a caller that has
//! given up, so it keeps the generation running for a grace period, and cancels it
//! unless another host announces that it has taken the generation over. See
//! docs/design/generations.md.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::prelude::*;
use crate::requests::{Arrival, Outcome};

/// Intervals and limits for streams whose callers have disconnected.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time for which a generation is kept for its caller to resume it, in milliseconds.
    pub grace_ms: u64,
    /// Interval between announcements of a generation that was taken over, in
    /// milliseconds. They are repeated for as long as another host may keep the
    /// generation.
    pub announce_interval_ms: u64,
    /// Maximum number of generations that are kept; beyond it, the oldest is cancelled
    /// at once.
    pub abandoned_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            grace_ms: 3_000,
            announce_interval_ms: 500,
            abandoned_max: 4_096,
        }
    }
}

/// The streams of one host whose callers have disconnected, and those that it has taken
/// over.
#[derive(Clone, Debug, Default)]
pub struct State {
    config: Config,
    abandoned: IndexMap<GenerationId, AbandonedGeneration>,
    takeovers: IndexMap<GenerationId, Takeover>,
}

/// A generation that this host has taken over.
#[derive(Clone, Debug)]
struct Takeover {
    announce_at_ms: u64,
    announce_until_ms: u64,
}

/// A generation that is kept for its caller to resume it.
#[derive(Clone, Debug)]
struct AbandonedGeneration {
    target: TargetName,
    cancel_at_ms: u64,
}

/// An event of the streams.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// The caller of a stream has disconnected before its end.
    CallerDisconnected {
        /// The generation.
        generation: GenerationId,
        /// The target that runs it.
        target: TargetName,
    },
    /// A caller resumes a stream at this host with its cursor.
    Resumed {
        /// The request that resumes the stream.
        request: RequestId,
        /// The generation.
        generation: GenerationId,
        /// The target that runs it.
        target: TargetName,
        /// Index of the first token that the caller has not received.
        from_index: u64,
    },
    /// A stream that this host had taken over has ended.
    ResumedStreamEnded {
        /// The request that resumed the stream.
        arrival: Arc<Arrival>,
        /// The generation.
        generation: GenerationId,
        /// The target that ran it.
        target: TargetName,
        /// How the stream ended.
        outcome: Outcome,
    },
    /// A message has arrived from a peer.
    Received {
        /// The message.
        message: Message,
    },
    /// Time has passed.
    Tick,
}

/// A one-way message, which may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// The sender has taken over a generation.
    Resumed {
        /// The generation.
        generation: GenerationId,
    },
}

/// An effect of the streams.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Sends a message to every other entry host of the zone.
    Broadcast {
        /// The message.
        message: Message,
    },
    /// Cancels a generation at its target.
    Cancel {
        /// The generation.
        generation: GenerationId,
        /// The target that runs it.
        target: TargetName,
    },
}

impl State {
    /// Creates a state without streams.
    pub fn new(config: Config) -> Self {
        State {
            config,
            abandoned: IndexMap::new(),
            takeovers: IndexMap::new(),
        }
    }

    /// Returns the number of generations that are kept for their callers.
    pub fn len(&self) -> usize {
        self.abandoned.len()
    }

    /// Returns true if no generation is kept.
    pub fn is_empty(&self) -> bool {
        self.abandoned.is_empty()
    }
}

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::CallerDisconnected { generation, target } => {
            let cancel_at_ms = now_ms + state.config.grace_ms;
            let abandoned = AbandonedGeneration {
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
            let takeover = Takeover {
                announce_at_ms: now_ms,
                announce_until_ms: now_ms + state.config.grace_ms,
            };
            state.takeovers.insert(generation, takeover);
            announce_takeovers(state, now_ms, effects);
        }
        Event::Received {
            message: Message::Resumed { generation },
        } => {
            state.abandoned.shift_remove(&generation);
        }
        // Only the timeline records this. The previous host no longer keeps the
        // generation.
        Event::ResumedStreamEnded { .. } => {}
        Event::Tick => {
            announce_takeovers(state, now_ms, effects);
            cancel_expired(state, now_ms, effects);
        }
    }
}

/// Announces the generations that this host has taken over, repeatedly since a message
/// may be lost.
fn announce_takeovers(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state
        .takeovers
        .retain(|_, takeover| takeover.announce_until_ms > now_ms);
    for (generation, takeover) in &mut state.takeovers {
        if takeover.announce_at_ms > now_ms {
            continue;
        }
        takeover.announce_at_ms = now_ms + state.config.announce_interval_ms;
        let generation = *generation;
        let message = Message::Resumed { generation };
        effects.push(Effect::Broadcast { message });
    }
}

/// Cancels the generations whose grace period has expired. The oldest come first, since
/// all are kept for the same time.
fn cancel_expired(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
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
