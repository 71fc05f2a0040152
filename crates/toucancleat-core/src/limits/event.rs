//! What happens to limits, and what follows from it.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Message, Share};
use crate::membership::Host;
use crate::prelude::*;

/// The limits of all organisations, as the settings have them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLimits {
    /// The zones of the fleet, in the order of the settings.
    pub zones: Vec<ZoneName>,
    /// Each organisation's limit over all zones.
    pub limits: IndexMap<OrganisationName, Share>,
}

/// What happens to limits.
///
/// The times must come from a clock that goes on while the process is paused.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed; expected every 100 ms.
    Tick,
    /// The settings have changed.
    Settings {
        /// The limits now in force.
        limits: Arc<FleetLimits>,
    },
    /// The view of the zone's hosts has changed.
    Hosts {
        /// Digest of the live hosts.
        view: u64,
        /// Hosts that take homes, this one included.
        live: Vec<Host>,
        /// Hosts that have announced their stop.
        leaving: Vec<HostName>,
        /// Hosts that may run out of reach, or `None` when that isn't known.
        missing: Option<usize>,
    },
    /// This host was declared dead by others, which may have made another host the home
    /// of its organisations.
    DeclaredDead,
    /// A request asks for its permission.
    Arrived {
        /// The organisation.
        organisation: OrganisationName,
        /// The request.
        request: RequestId,
    },
    /// A request that was admitted has ended.
    Finished {
        /// The organisation.
        organisation: OrganisationName,
    },
    /// A message has come from a peer.
    Received {
        /// The host that sent it.
        from: HostName,
        /// The message.
        message: Message,
    },
}

/// What the daemon is asked to do.
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
    /// Sends a message to a delegate of another zone.
    SendZone {
        /// The zone.
        zone: ZoneName,
        /// The message.
        message: Message,
    },
    /// The request may go on.
    Admitted {
        /// The request.
        request: RequestId,
    },
    /// The request is over the limit; it has not run.
    Refused {
        /// The request.
        request: RequestId,
        /// Time to come back after.
        retry_after_ms: u64,
    },
}
