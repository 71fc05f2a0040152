//! Holds, which keep new work from a target while an order changes it.
//!
//! The host that sends an order to a target broadcasts a hold to its zone periodically
//! until the order is done. A hold expires by itself, so that a target isn't held forever
//! if that host dies. See docs/design/orders.md.

use indexmap::IndexMap;

use crate::prelude::*;

/// Time for which one hold message holds a target.
pub const HOLD_MS: u64 = 5_000;
/// Time between two broadcasts of a hold.
const BROADCAST_INTERVAL_MS: u64 = 1_000;
/// Age at which a hold is assumed to have reached every connected host.
const PROPAGATION_MS: u64 = 3_000;

/// The state of the holds at one host.
#[derive(Clone, Debug, Default)]
pub struct State {
    held_until_ms: IndexMap<TargetName, u64>,
    held_by_this_host: IndexMap<TargetName, OwnHold>,
}

/// A hold that this host broadcasts.
#[derive(Clone, Debug)]
struct OwnHold {
    since_ms: u64,
    next_broadcast_ms: u64,
}

/// An event of the holds.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// This host starts to hold a target.
    Hold {
        /// The target.
        target: TargetName,
    },
    /// This host releases a target that it holds.
    Release {
        /// The target.
        target: TargetName,
    },
    /// A message of a peer was received.
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
    /// Send a target no new work for [`HOLD_MS`].
    Hold {
        /// The target.
        target: TargetName,
    },
    /// Send a target work again.
    Release {
        /// The target.
        target: TargetName,
    },
}

/// An effect of the holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Send a message to every other entry host of the zone.
    Broadcast {
        /// The message.
        message: Message,
    },
    /// Send a target no new work.
    Held {
        /// The target.
        target: TargetName,
    },
    /// Send a target work again.
    Released {
        /// The target.
        target: TargetName,
    },
}

impl State {
    /// Returns true if a target is held.
    pub fn is_held(&self, target: &TargetName) -> bool {
        self.held_until_ms.contains_key(target)
    }

    /// Returns true if this host has held a target long enough that every connected host
    /// is assumed to have received the hold.
    pub fn has_propagated(&self, now_ms: u64, target: &TargetName) -> bool {
        self.held_by_this_host
            .get(target)
            .is_some_and(|own| now_ms >= own.since_ms + PROPAGATION_MS)
    }

    /// Returns the targets that this host itself holds.
    pub fn own(&self) -> impl Iterator<Item = &TargetName> {
        self.held_by_this_host.keys()
    }
}

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Hold { target } => {
            state.held_by_this_host.entry(target).or_insert(OwnHold {
                since_ms: now_ms,
                next_broadcast_ms: now_ms,
            });
            broadcast_due(state, now_ms, effects);
        }
        Event::Release { target } => {
            if state.held_by_this_host.shift_remove(&target).is_some() {
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
            broadcast_due(state, now_ms, effects);
            expire(state, now_ms, effects);
        }
    }
}

fn hold(state: &mut State, now_ms: u64, target: TargetName, effects: &mut Vec<Effect>) {
    let until_ms = now_ms + HOLD_MS;
    if state
        .held_until_ms
        .insert(target.clone(), until_ms)
        .is_none()
    {
        effects.push(Effect::Held { target });
    }
}

fn release(state: &mut State, target: TargetName, effects: &mut Vec<Effect>) {
    // N.B. A late release of another holder must not end this host's own hold.
    if state.held_by_this_host.contains_key(&target) {
        return;
    }
    if state.held_until_ms.shift_remove(&target).is_some() {
        effects.push(Effect::Released { target });
    }
}

fn broadcast_due(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let mut due = Vec::new();
    for (target, own) in &mut state.held_by_this_host {
        if own.next_broadcast_ms <= now_ms {
            own.next_broadcast_ms = now_ms + BROADCAST_INTERVAL_MS;
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
    let expired = state
        .held_until_ms
        .iter()
        .filter(|(_, until_ms)| **until_ms <= now_ms);
    let expired: Vec<TargetName> = expired.map(|(target, _)| target.clone()).collect();
    for target in expired {
        release(state, target, effects);
    }
}
