//! Sends messages to peers and routes received ones to their modules.

use std::net::SocketAddr;

use super::{
    accounts, crash_marks, limits, membership, orders, settings, streams, targets,
};
use crate::effect::Effect;
use crate::peer::{Envelope, Message};
use crate::prelude::*;
use crate::state::State;
use crate::timeline::Stamp;

/// Sends a message to a peer; drops it if the peer's address is unknown, since every module
/// tolerates the loss of a message.
pub(super) fn send(
    state: &mut State,
    now_ms: u64,
    to: &HostName,
    message: impl Into<Message>,
    effects: &mut Vec<Effect>,
) {
    let Some(address) = state.membership.address(to) else {
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

/// Applies a received message to the module that it is for.
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
            let event = crate::membership::Event::MessageReceived { from, message };
            membership::apply(state, now_ms, event, effects);
        }
        Message::Accounts(message) => {
            let event = crate::accounts::Event::MessageReceived { from, message };
            accounts::apply(state, now_ms, event, effects);
        }
        Message::Dissemination(message) => {
            let event = crate::dissemination::Event::MessageReceived { from, message };
            settings::apply(state, now_ms, event, effects);
        }
        Message::Targets(message) => {
            let event = crate::targets::Event::MessageReceived { from, message };
            targets::apply(state, now_ms, event, effects);
        }
        Message::CrashMarks(message) => {
            let event = crate::crash_marks::Event::MessageReceived { from, message };
            crash_marks::apply(state, now_ms, event, effects);
        }
        Message::Holds(message) => {
            let event = crate::holds::Event::Received { message };
            orders::apply_hold(state, now_ms, event, effects);
        }
        Message::Limits(message) => {
            let event = crate::limits::Event::MessageReceived { from, message };
            limits::apply(state, now_ms, event, effects);
        }
        Message::Streams(message) => {
            let event = crate::streams::Event::Received { message };
            streams::apply(state, now_ms, event, effects);
        }
    }
}

/// Notifies membership of the peer that a batch of messages could not be delivered to.
pub(super) fn notify_undelivered(
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
