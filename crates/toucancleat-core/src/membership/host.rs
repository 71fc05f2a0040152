//! What one host says about another.

use std::net::SocketAddr;

use crate::prelude::*;

/// An entry host as its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the peers' port.
    pub address: SocketAddr,
    /// Incarnation; a restart starts with a higher one.
    pub incarnation: Incarnation,
}

/// What a host is believed to be.
///
/// The order is the precedence between two statements about the same incarnation: what is
/// said later in this list wins, so that views converge whatever the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// It answers probes.
    Alive,
    /// It has missed a probe, and may still refute the suspicion.
    Suspect,
    /// It has not refuted the suspicion in time.
    Dead,
    /// It has announced that it stops; it still finishes its streams.
    Left,
}

impl Status {
    /// Says whether the host still takes homes.
    ///
    /// A suspect keeps its homes: most suspicions are refuted, and moving homes twice
    /// costs more than a few seconds of local rules.
    pub fn takes_homes(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// A statement about a host, as it spreads from peer to peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The host and the incarnation that the statement is about.
    pub host: Host,
    /// What is said about it.
    pub status: Status,
}

impl Entry {
    /// Says whether this statement replaces `other` about the same host.
    pub fn supersedes(&self, other: &Entry) -> bool {
        (self.host.incarnation, self.status) > (other.host.incarnation, other.status)
    }
}

/// A host as the platform's lagging host list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name, unique in the fleet.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the peers' port.
    pub address: SocketAddr,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}
