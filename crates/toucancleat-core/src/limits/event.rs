//! Events and effects of the limits reducer.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Message, Share};
use crate::membership::Host;
use crate::prelude::*;

/// The limits of all organisations in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLimits {
    /// The zones of the fleet, in the order of the settings.
    pub zones: Vec<ZoneName>,
    /// Each organisation's limit over all zones.
    pub limits: IndexMap<OrganisationName, Share>,
}

/// An event of the limits.
///
/// The times must come from a monotonic clock that advances while the process is paused.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The settings have changed.
    SettingsChanged {
        /// The limits now in force.
        limits: Arc<FleetLimits>,
    },
    /// The membership view of the zone's hosts has changed.
    HostsChanged {
        /// Digest of the live hosts.
        view: u64,
        /// Hosts that can be homes, including this one.
        live: Vec<Host>,
        /// Hosts that have announced that they are stopping.
        leaving: Vec<HostName>,
        /// Number of hosts that may be running but unreachable, or `None` if unknown.
        missing: Option<usize>,
    },
    /// Peers have declared this host dead, so another host may have become the home of
    /// its organisations.
    DeclaredDead,
    /// A request needs a permit.
    AcquirePermit {
        /// The organisation.
        organisation: OrganisationName,
        /// The request.
        request: RequestId,
    },
    /// A request that held a permit has ended.
    ReleasePermit {
        /// The organisation.
        organisation: OrganisationName,
    },
    /// A message from a peer has arrived.
    MessageReceived {
        /// The host that sent it.
        from: HostName,
        /// The message.
        message: Message,
    },
}

/// An effect of the limits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Sends a message to a peer of the zone.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: Message,
    },
    /// Sends a message to a delegate (a host that receives messages from other zones) of
    /// another zone.
    SendZone {
        /// The zone.
        zone: ZoneName,
        /// The message.
        message: Message,
    },
    /// The request has its permit and counts as in progress until it ends.
    PermitGranted {
        /// The request.
        request: RequestId,
    },
    /// The request is over the limit and gets no permit; it has not run.
    PermitRefused {
        /// The request.
        request: RequestId,
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
}
