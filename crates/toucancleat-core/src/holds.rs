//! Targets that take no new work while an order changes them.
//!
//! The host that gives a target an order tells the zone to hold it, again and again until
//! the order is done. A hold ends by itself, so that the death of that host closes no
//! target for good. See docs/design/orders.md.

use indexmap::IndexMap;

use crate::prelude::*;

/// Time for which one message holds a target.
pub const HOLD_MS: u64 = 5_000;
/// Time between two messages that hold a target.
const REPEAT_MS: u64 = 1_000;
/// Age from which on every connected host is taken to have heard of a hold.
const SETTLED_MS: u64 = 3_000;

/// The holds that one host knows of.
#[derive(Clone, Debug, Default)]
pub struct State {
    held: IndexMap<TargetName, u64>,
    own: IndexMap<TargetName, Own>,
}

/// A hold that this host asks for.
#[derive(Clone, Debug)]
struct Own {
    since_ms: u64,
    repeat_at_ms: u64,
}

/// What happens to holds.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// This host needs a target held.
    Hold {
        /// The target.
        target: TargetName,
    },
    /// This host no longer needs a target held.
    Release {
        /// The target.
        target: TargetName,
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
    /// Give a target no new work for a while.
    Hold {
        /// The target.
        target: TargetName,
    },
    /// Give a target work again.
    Release {
        /// The target.
        target: TargetName,
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
    /// A target takes no new work.
    Held {
        /// The target.
        target: TargetName,
    },
    /// A target takes work again.
    Released {
        /// The target.
        target: TargetName,
    },
}

impl State {
    /// Says whether a target is held.
    pub fn is_held(&self, target: &TargetName) -> bool {
        self.held.contains_key(target)
    }

    /// Says whether this host holds a target for long enough that every connected host
    /// has heard of it.
    pub fn is_settled(&self, now_ms: u64, target: &TargetName) -> bool {
        self.own
            .get(target)
            .is_some_and(|own| now_ms >= own.since_ms + SETTLED_MS)
    }

    /// Returns the targets that this host holds.
    pub fn own(&self) -> impl Iterator<Item = &TargetName> {
        self.own.keys()
    }
}

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Hold { target } => {
            state.own.entry(target).or_insert(Own {
                since_ms: now_ms,
                repeat_at_ms: now_ms,
            });
            repeat(state, now_ms, effects);
        }
        Event::Release { target } => {
            if state.own.shift_remove(&target).is_some() {
                let message = Message::Release {
                    target: target.clone(),
                };
                effects.push(Effect::Broadcast { message });
                release(state, target, effects);
            }
        }
        Event::Received {
            message: Message::Hold { target },
        } => hold(state, now_ms, target, effects),
        Event::Received {
            message: Message::Release { target },
        } => release(state, target, effects),
        Event::Tick => {
            repeat(state, now_ms, effects);
            expire(state, now_ms, effects);
        }
    }
}

fn hold(state: &mut State, now_ms: u64, target: TargetName, effects: &mut Vec<Effect>) {
    let until_ms = now_ms + HOLD_MS;
    if state.held.insert(target.clone(), until_ms).is_none() {
        effects.push(Effect::Held { target });
    }
}

fn release(state: &mut State, target: TargetName, effects: &mut Vec<Effect>) {
    // N.B. a late release of another holder must not end this host's own hold.
    if state.own.contains_key(&target) {
        return;
    }
    if state.held.shift_remove(&target).is_some() {
        effects.push(Effect::Released { target });
    }
}

fn repeat(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let mut due = Vec::new();
    for (target, own) in &mut state.own {
        if own.repeat_at_ms <= now_ms {
            own.repeat_at_ms = now_ms + REPEAT_MS;
            due.push(target.clone());
        }
    }
    for target in due {
        let message = Message::Hold {
            target: target.clone(),
        };
        effects.push(Effect::Broadcast { message });
        hold(state, now_ms, target, effects);
    }
}

fn expire(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let over = state
        .held
        .iter()
        .filter(|(_, until_ms)| **until_ms <= now_ms);
    let over: Vec<TargetName> = over.map(|(target, _)| target.clone()).collect();
    for target in over {
        release(state, target, effects);
    }
}
