//! The messages that entry hosts exchange.

use crate::prelude::*;
use crate::{
    accounts, crash_marks, dissemination, holds, limits, membership, streams, targets,
};

/// A one-way message from one entry host to another.
///
/// Messages may be lost, delayed, duplicated or reordered. Each module tolerates that, so
/// the transport needs no acknowledgements.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Message {
    /// Membership of the entry hosts.
    Membership(membership::Message),
    /// Reservations at the homes of targets, and their progress.
    Accounts(accounts::Message),
    /// Dissemination of the settings.
    Dissemination(dissemination::Message),
    /// Admission state of the targets.
    Targets(targets::Message),
    /// Crash marks of poison requests.
    CrashMarks(crash_marks::Message),
    /// Streams that were resumed at another host.
    Streams(streams::Message),
    /// Targets that admit no new requests while an order reconfigures them.
    Holds(holds::Message),
    /// Request limits of the organisations.
    Limits(limits::Message),
}

/// A message as it is sent, with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The host that sent it.
    pub from: HostName,
    /// The sender's incarnation, which identifies delayed messages of its earlier processes.
    pub incarnation: Incarnation,
    /// The sender's hybrid logical clock, for the order of timeline records.
    pub stamp: u64,
    /// The message.
    pub message: Message,
}

macro_rules! impl_from_message {
    ($($module:ident => $variant:ident,)*) => {
        $(impl From<$module::Message> for Message {
            fn from(message: $module::Message) -> Self {
                Message::$variant(message)
            }
        })*
    };
}

impl_from_message! {
    membership => Membership,
    accounts => Accounts,
    dissemination => Dissemination,
    targets => Targets,
    crash_marks => CrashMarks,
    streams => Streams,
    holds => Holds,
    limits => Limits,
}
