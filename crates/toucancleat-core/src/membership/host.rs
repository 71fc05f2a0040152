//! Entry hosts, their statuses and how two entries about one host are ordered.

use std::net::SocketAddr;

use crate::prelude::*;

/// An entry host and the address at which its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the port for peers.
    pub address: SocketAddr,
    /// Incarnation, higher after each restart and each refutation.
    pub incarnation: Incarnation,
}

/// The status of a host in a view.
///
/// The order of the variants is the precedence between two entries of the same
/// incarnation: the later variant takes precedence, so that views converge whatever the
/// order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// The host answers probes.
    Alive,
    /// The host has missed a probe and may still refute the suspicion.
    Suspect,
    /// The host has not refuted the suspicion in time.
    Dead,
    /// The host has announced a planned stop and still finishes its streams.
    Left,
}

impl Status {
    /// Returns true if a host of this status can be a home.
    ///
    /// A suspect remains a home: most suspicions are refuted, and moving its homes twice
    /// costs more than a few seconds in which its peers decide without it.
    pub fn is_live(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// The status of a host at one incarnation, as it is gossiped between peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberEntry {
    /// The host, with the incarnation that the status applies to.
    pub host: Host,
    /// The status.
    pub status: Status,
}

impl MemberEntry {
    /// Returns true if this entry replaces `other`, an entry about the same host.
    pub fn supersedes(&self, other: &MemberEntry) -> bool {
        (self.host.incarnation, self.status) > (other.host.incarnation, other.status)
    }
}

/// A host in the platform's host list, which lags behind the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name, unique in the fleet.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the port for peers.
    pub address: SocketAddr,
    /// True if the list shows the host as leaving.
    pub is_leaving: bool,
}
