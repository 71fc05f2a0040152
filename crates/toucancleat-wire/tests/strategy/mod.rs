//! Proptest strategies for messages of every kind.

mod crash_marks;
mod limits;
mod membership;
mod other_messages;
mod targets;

use proptest::prelude::*;
use toucancleat_core::membership::Message as MembershipMessage;
use toucancleat_core::peer::{Envelope, Message};
use toucancleat_core::prelude::*;

pub fn envelopes() -> impl Strategy<Value = Vec<Envelope>> {
    prop::collection::vec(envelope(), 0..6)
}

/// Encodes a small batch whose sender has the given name.
#[allow(dead_code)]
pub fn batch_from_sender(name: &str) -> Vec<u8> {
    let entries = Vec::new();
    let message = MembershipMessage::Sync {
        next_offset: 0,
        entries,
    };
    let envelope = Envelope {
        from: HostName::new(name),
        incarnation: Incarnation(1),
        stamp: 1,
        message: message.into(),
    };
    toucancleat_wire::encode_batch(&[envelope])
}

pub fn name<T: for<'a> From<&'a str> + std::fmt::Debug>() -> impl Strategy<Value = T> {
    "[a-zåäö0-9-]{0,12}".prop_map(|text| T::from(text.as_str()))
}

fn envelope() -> impl Strategy<Value = Envelope> {
    (name(), any::<u64>(), any::<u64>(), message()).prop_map(
        |(from, incarnation, stamp, message)| Envelope {
            from,
            incarnation: Incarnation(incarnation),
            stamp,
            message,
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        membership::message().prop_map(Message::from),
        other_messages::accounts().prop_map(Message::from),
        other_messages::dissemination().prop_map(Message::from),
        targets::message().prop_map(Message::from),
        other_messages::streams().prop_map(Message::from),
        other_messages::holds().prop_map(Message::from),
        crash_marks::message().prop_map(Message::from),
        limits::message().prop_map(Message::from),
    ]
}
