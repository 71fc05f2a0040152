//! Messages of membership between entry hosts.

use std::net::SocketAddr;

use super::host::Entry;
use crate::prelude::*;

/// A one-way message; any of them may be lost, late, duplicated or out of order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// Asks for an acknowledgement, and is a heartbeat of its sender.
    Ping {
        /// Returned in the acknowledgement.
        sequence: u64,
        /// What the sender spreads.
        exchange: Box<Exchange>,
    },
    /// Answers a ping, directly or through the host that was asked to probe.
    Ack {
        /// Sequence of the probe that is answered.
        sequence: u64,
        /// The host that has answered.
        subject: HostName,
        /// What the sender spreads.
        exchange: Box<Exchange>,
    },
    /// Asks another host to probe a host that has not answered.
    PingRequest {
        /// Returned in the acknowledgement.
        sequence: u64,
        /// The host to probe.
        subject: HostName,
        /// What the sender spreads.
        exchange: Box<Exchange>,
    },
    /// Asks for a part of the receiver's view, since the views differ.
    SyncRequest {
        /// Position in the receiver's view to start from.
        offset: u32,
        /// What the sender says of itself.
        sender: Entry,
    },
    /// A part of the sender's view.
    Sync {
        /// Position after the last entry; zero when the view is complete.
        next_offset: u32,
        /// Entries of the sender's view.
        entries: Vec<Entry>,
    },
    /// A zone's summary, from a delegate to a host of another zone.
    Summary {
        /// Whether the receiver answers with its own zone's summary.
        reply: bool,
        /// The sender's zone.
        summary: ZoneSummary,
    },
}

/// What rides on every probe message, bounded whatever the size of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// What the sender says of itself.
    pub sender: Entry,
    /// Digest of the live hosts in the sender's view; differing ones are synchronised.
    pub digest: u64,
    /// Statements about hosts of the zone that changed lately.
    pub entries: Vec<Entry>,
    /// The summary of one other zone.
    pub summary: Option<ZoneSummary>,
}

/// What the other zones need to know about a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: ZoneName,
    /// When the zone's delegate made the summary, by its own clock.
    pub made_unix_ms: u64,
    /// Entry hosts that take homes.
    pub live_hosts: u32,
    /// Hosts that speak for the zone.
    pub delegates: Vec<Delegate>,
    /// Pools of the zone with room for requests from other zones.
    pub spare: Vec<PoolSpare>,
}

/// A host that speaks for its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// The host.
    pub name: HostName,
    /// Address of its peers' port.
    pub address: SocketAddr,
}

/// Room in a pool for requests from other zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpare {
    /// The pool.
    pub pool: PoolName,
    /// Requests that the zone could still take at once.
    pub requests: u32,
}
