//! Membership messages between entry hosts.

use std::net::SocketAddr;

use super::host::MemberEntry;
use crate::prelude::*;

/// A one-way message, which may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// Requests an acknowledgement, and is a heartbeat of its sender.
    Ping {
        /// Number that the acknowledgement repeats.
        sequence: u64,
        /// Gossip of the sender.
        gossip: Box<Gossip>,
    },
    /// Acknowledges a ping, directly or through the host that probed on request.
    Ack {
        /// Number of the ping or ping request that is acknowledged.
        sequence: u64,
        /// The host that was probed.
        subject: HostName,
        /// Gossip of the sender.
        gossip: Box<Gossip>,
    },
    /// Requests that the receiver probe a host that has not answered.
    PingRequest {
        /// Number that the acknowledgement repeats.
        sequence: u64,
        /// The host to probe.
        subject: HostName,
        /// Gossip of the sender.
        gossip: Box<Gossip>,
    },
    /// Requests a page of the receiver's view, since the views differ.
    SyncRequest {
        /// Position in the receiver's view at which the page starts.
        offset: u32,
        /// The sender's entry about itself.
        sender: MemberEntry,
    },
    /// A page of the sender's view.
    Sync {
        /// Position after the last entry, or zero at the end of the view.
        next_offset: u32,
        /// Entries of the sender's view.
        entries: Vec<MemberEntry>,
    },
    /// A zone's summary, from a delegate to a host of another zone.
    Summary {
        /// True if the receiver replies with its own zone's summary.
        reply: bool,
        /// The summary of the sender's zone.
        summary: ZoneSummary,
    },
}

/// The gossip in every probe message, of bounded size whatever the size of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// The sender's entry about itself.
    pub sender: MemberEntry,
    /// Digest of the live hosts in the sender's view. Views whose digests differ are
    /// synchronised.
    pub digest: u64,
    /// Recently changed entries about hosts of the zone.
    pub entries: Vec<MemberEntry>,
    /// The summary of one other zone.
    pub summary: Option<ZoneSummary>,
}

/// The state of a zone that the other zones need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: ZoneName,
    /// When the delegate created the summary, by its own clock, in milliseconds since the
    /// Unix epoch.
    pub created_unix_ms: u64,
    /// Number of live entry hosts, which are those that can be homes.
    pub live_hosts: u32,
    /// Hosts that represent the zone, the preferred one first.
    pub delegates: Vec<Delegate>,
    /// Pools of the zone with spare capacity for requests from other zones.
    pub spare: Vec<SpareCapacity>,
}

/// A host that represents its zone towards the other zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// The host.
    pub name: HostName,
    /// Address of its port for peers.
    pub address: SocketAddr,
}

/// Spare capacity of a pool for requests from other zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpareCapacity {
    /// The pool.
    pub pool: PoolName,
    /// Number of further concurrent requests that the zone could accept.
    pub requests: u32,
}
