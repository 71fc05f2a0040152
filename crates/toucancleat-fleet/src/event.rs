//! What happens to a host, and what it does about it.

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::prelude::*;

use crate::configuration::Configuration;
use crate::peers::{Message, Receiver};
use crate::request::{Arrival, Dispatch, Outcome, Refusal, Ticket};
use crate::store::{Query, Reply};

/// What happens.
#[derive(Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The store answered a read, or did not.
    Store {
        /// The read.
        query: Query,
        /// Its answer.
        reply: Reply,
    },
    /// Another host sent a message.
    Heard(Box<Message>),
    /// A target said how much longer it stays.
    LeaveTime {
        /// The target.
        target: TargetName,
        /// When it will be gone.
        leaves_at_ms: u64,
    },
    /// A request came, whole.
    Arrived {
        /// Its number.
        ticket: Ticket,
        /// The request.
        arrival: Arrival,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        ticket: Ticket,
        /// How.
        outcome: Outcome,
    },
    /// A stream has brought events.
    Progressed {
        /// The request.
        ticket: Ticket,
        /// Events so far, over all targets.
        events: u64,
    },
    /// A run needs another destination than the one that was chosen, if any was.
    NeedsDestination {
        /// The request.
        ticket: Ticket,
        /// Whether those that had no room may be asked again.
        is_new_round: bool,
    },
    /// A run goes on at another target.
    Moved {
        /// The request.
        ticket: Ticket,
    },
    /// A run stays where it is.
    Stayed {
        /// The request.
        ticket: Ticket,
    },
    /// The caller has its answer, or has left.
    Closed {
        /// The request.
        ticket: Ticket,
    },
    /// The process was asked to stop.
    Stop,
}

/// What is to be done.
#[derive(Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Read the store.
    Read(Query),
    /// Send a message to each of these hosts.
    Send {
        /// Where to, with the echo for each receiver.
        to: Vec<Receiver>,
        /// The message.
        message: Box<Message>,
    },
    /// Send a request to a target.
    Dispatch(Box<Dispatch>),
    /// Give the caller the target's answer that is at hand.
    PassOn {
        /// The request.
        ticket: Ticket,
    },
    /// End the request without a target's answer.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// What to tell the caller.
        refusal: Refusal,
    },
    /// Move a run to another target.
    Evacuate {
        /// The request.
        ticket: Ticket,
        /// The other target.
        to: TargetName,
        /// Its address.
        address: SocketAddr,
    },
    /// No target has room for a run that should move.
    NoDestination {
        /// The request.
        ticket: Ticket,
    },
    /// Ask a target how much longer it stays.
    AskLeaveTime {
        /// The target.
        target: TargetName,
        /// Its address.
        address: SocketAddr,
    },
    /// A configuration is in force.
    InForce(Arc<Configuration>),
    /// Write a line to the log.
    Note(Note),
}

/// A change of what the host believes, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Note {
    /// A target is new or has started again.
    TargetJoined {
        /// The target.
        target: TargetName,
        /// Version of the host list.
        store_version: u64,
        /// For how much longer it is slow.
        slow_start_left_ms: u64,
    },
    /// A target takes no new work.
    TargetLeaving {
        /// The target.
        target: TargetName,
        /// Version of the host list.
        store_version: u64,
        /// Runs of this host there.
        runs: u32,
    },
    /// The host begins or ends to read the store for the others.
    Reading {
        /// Whether it reads now.
        reads: bool,
        /// Hosts heard.
        hosts_heard: usize,
    },
    /// The store stopped answering or answers again.
    Store {
        /// Whether it answers.
        answers: bool,
        /// The read that showed it.
        query: Query,
    },
}
