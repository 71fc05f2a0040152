//! Messages from and to other entry hosts.

use std::net::SocketAddr;

use super::{
    accounts, crash_marks, limits, membership, orders, settings, streams, targets,
};
use crate::effect::Effect;
use crate::peer::{Envelope, Message};
use crate::prelude::*;
use crate::state::State;
use crate::timeline::Stamp;

/// Sends a message to a host whose address is known, and else drops it: every concern
/// bears the loss of a message.
pub(super) fn send(
    state: &mut State,
    now_ms: u64,
    to: &HostName,
    message: impl Into<Message>,
    effects: &mut Vec<Effect>,
) {
    let Some(address) = state.membership.address_of(to) else {
        return;
    };
    let envelope = Envelope {
        from: state.identity.host.clone(),
        incarnation: state.membership.own().host.incarnation,
        stamp: state.timeline.stamp(now_ms).to_u64(),
        message: message.into(),
    };
    effects.push(Effect::Send {
        to: address,
        envelope: Box::new(envelope),
    });
}

/// Takes a message to the concern that it is for.
pub(super) fn receive(
    state: &mut State,
    now_ms: u64,
    envelope: Envelope,
    effects: &mut Vec<Effect>,
) {
    let from = envelope.from;
    let stamp = Stamp::from_u64(envelope.stamp);
    state.timeline.observe(now_ms, stamp);
    match envelope.message {
        Message::Membership(message) => {
            let event = crate::membership::Event::Received { from, message };
            membership::apply(state, now_ms, event, effects);
        }
        Message::Accounts(message) => {
            let event = crate::accounts::Event::Received { from, message };
            accounts::apply(state, now_ms, event, effects);
        }
        Message::Spread(message) => {
            let event = crate::spread::Event::Received { from, message };
            settings::apply(state, now_ms, event, effects);
        }
        Message::Targets(message) => {
            let event = crate::targets::Event::Received { from, message };
            targets::apply(state, now_ms, event, effects);
        }
        Message::CrashMarks(message) => {
            let event = crate::crash_marks::Event::Received { from, message };
            crash_marks::apply(state, now_ms, event, effects);
        }
        Message::Holds(message) => {
            let event = crate::holds::Event::Received { message };
            orders::apply_hold(state, now_ms, event, effects);
        }
        Message::Limits(message) => {
            let event = crate::limits::Event::Received { from, message };
            limits::apply(state, now_ms, event, effects);
        }
        Message::Streams(message) => {
            let event = crate::streams::Event::Received { message };
            streams::apply(state, now_ms, event, effects);
        } // N.B. Hosts don't lend shares of limits to each other yet; the concern bears the
          // loss of a message.
    }
}

/// Tells membership whom a batch did not reach.
pub(super) fn undelivered(
    state: &mut State,
    now_ms: u64,
    address: SocketAddr,
    effects: &mut Vec<Effect>,
) {
    let mut entries = state.membership.entries();
    let found = entries.find(|entry| entry.host.address == address);
    let Some(to) = found.map(|entry| entry.host.name.clone()) else {
        return;
    };
    drop(entries);
    let event = crate::membership::Event::DeliveryFailed { to };
    membership::apply(state, now_ms, event, effects);
}
