//! What entry hosts say to each other, over all concerns.

use crate::prelude::*;
use crate::{accounts, crash_marks, holds, limits, membership, spread, streams, targets};

/// A one-way message from one entry host to another.
///
/// Messages may be lost, duplicated, late or out of order; each concern is made for that,
/// so that nothing between the hosts has to be acknowledged.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Message {
    /// Who lives.
    Membership(membership::Message),
    /// Reservations at the homes of targets, and how they go on.
    Accounts(accounts::Message),
    /// Settings on their way to every host.
    Spread(spread::Message),
    /// Which targets may take new work.
    Targets(targets::Message),
    /// Requests that crash targets.
    CrashMarks(crash_marks::Message),
    /// Streams that came back at another host.
    Streams(streams::Message),
    /// Targets that take no new work while an order changes them.
    Holds(holds::Message),
    /// What may run of each organisation.
    Limits(limits::Message),
}

/// A message with its sender, as it travels.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The host that sent it.
    pub from: HostName,
    /// The sender's incarnation, by which late messages of an earlier start are known.
    pub incarnation: Incarnation,
    /// The sender's hybrid logical clock, for the time line.
    pub stamp: u64,
    /// The message.
    pub message: Message,
}

macro_rules! from_concern {
    ($($concern:ident => $variant:ident,)*) => {
        $(impl From<$concern::Message> for Message {
            fn from(message: $concern::Message) -> Self {
                Message::$variant(message)
            }
        })*
    };
}

from_concern! {
    membership => Membership,
    accounts => Accounts,
    spread => Spread,
    targets => Targets,
    crash_marks => CrashMarks,
    streams => Streams,
    holds => Holds,
    limits => Limits,
}
