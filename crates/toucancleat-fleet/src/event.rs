//! Events that a host handles and the effects that its reducer returns.

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::prelude::*;

use crate::configuration::Configuration;
use crate::peers::{Message, Receiver};
use crate::request::{Arrival, Dispatch, Outcome, Refusal, Ticket};
use crate::store::{Query, Reply};

/// An input of the reducer.
#[derive(Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A query to the store ended, with or without a usable reply.
    Store {
        /// The query.
        query: Query,
        /// Its reply.
        reply: Reply,
    },
    /// A peer's message was received.
    Heard(Box<Message>),
    /// A leaving target reported how much longer it stays.
    LeaveTime {
        /// The target.
        target: TargetName,
        /// When the target will be gone, by this host's clock.
        leaves_at_ms: u64,
    },
    /// A request was received in full.
    Arrived {
        /// Identifies the request.
        ticket: Ticket,
        /// The request.
        arrival: Arrival,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
    /// A stream has delivered events.
    Progressed {
        /// The request.
        ticket: Ticket,
        /// Events delivered so far, over all targets.
        events: u64,
    },
    /// A migrating run has no destination, or the one that was chosen can't take it.
    NeedsDestination {
        /// The request.
        ticket: Ticket,
        /// Whether destinations that had no room may be tried again.
        is_new_round: bool,
    },
    /// A run has resumed at its destination.
    Moved {
        /// The request.
        ticket: Ticket,
    },
    /// A migration was abandoned; the run remains at its source.
    Stayed {
        /// The request.
        ticket: Ticket,
    },
    /// The caller has received the complete answer or has disconnected.
    Closed {
        /// The request.
        ticket: Ticket,
    },
    /// The process was asked to stop.
    Stop,
}

/// An action that the caller of the reducer carries out.
#[derive(Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Query the store.
    Read(Query),
    /// Send a message to each of these hosts.
    Send {
        /// The receivers' addresses, with the echo for each.
        to: Vec<Receiver>,
        /// The message.
        message: Box<Message>,
    },
    /// Send a request to a target.
    Dispatch(Box<Dispatch>),
    /// Relay the target's answer that is at hand to the caller.
    PassOn {
        /// The request.
        ticket: Ticket,
    },
    /// End the request without a target's answer.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The refusal to answer the caller with.
        refusal: Refusal,
    },
    /// Migrate a run to another target.
    Evacuate {
        /// The request.
        ticket: Ticket,
        /// The destination.
        to: TargetName,
        /// The destination's address.
        address: SocketAddr,
    },
    /// No target has room for a run that should migrate.
    NoDestination {
        /// The request.
        ticket: Ticket,
    },
    /// Ask a leaving target how much longer it stays.
    AskLeaveTime {
        /// The target.
        target: TargetName,
        /// The target's address.
        address: SocketAddr,
    },
    /// A configuration has come into force.
    InForce(Arc<Configuration>),
    /// Write a log record.
    Note(Note),
}

/// A change of the host's known state that is worth a log record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Note {
    /// A target is new or has restarted.
    TargetJoined {
        /// The target.
        target: TargetName,
        /// Version of the host list.
        store_version: u64,
        /// Remaining duration of its slow start.
        slow_start_left_ms: u64,
    },
    /// A target takes no new work.
    TargetLeaving {
        /// The target.
        target: TargetName,
        /// Version of the host list.
        store_version: u64,
        /// This host's runs at the target.
        runs: u32,
    },
    /// The host starts or stops reading the store on behalf of the others.
    Reading {
        /// Whether it reads now.
        reads: bool,
        /// Number of live peers.
        hosts_heard: usize,
    },
    /// The store stopped answering or answers again.
    Store {
        /// Whether it answers.
        answers: bool,
        /// The query that showed it.
        query: Query,
    },
}
