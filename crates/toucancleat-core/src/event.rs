//! The events that an entry host reacts to.

use std::net::SocketAddr;

use crate::membership::ListedHost;
use crate::observation::Observation;
use crate::peer::Envelope;
use crate::prelude::*;
use crate::{claims, dissemination, orders, requests, streams};

/// An event that the daemon feeds to [`crate::reduce`].
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed. The daemon sends this every 50 ms.
    Tick,
    /// An event of a request in progress.
    Request(requests::Event),
    /// A generation dispatched by this host made progress.
    Progressed {
        /// The generation.
        generation: GenerationId,
        /// Tokens received so far.
        tokens: u32,
    },
    /// An event of the claims, such as a reply of the platform's table.
    Claims(claims::Event),
    /// An event of the dissemination of settings, such as a reply of the platform.
    Dissemination(dissemination::Event),
    /// A message arrived from a peer.
    Received(Box<Envelope>),
    /// Messages could not be delivered.
    Undelivered {
        /// The address that could not be reached.
        to: SocketAddr,
    },
    /// The platform's host list was read successfully.
    HostListRead {
        /// Entry hosts of all zones.
        hosts: Vec<ListedHost>,
        /// Targets that the list marks as leaving.
        leaving_targets: Vec<TargetName>,
    },
    /// An observation of a target completed.
    TargetObserved {
        /// The target.
        target: TargetName,
        /// When the observation was requested.
        requested_ms: u64,
        /// Result of the observation.
        observation: Observation,
    },
    /// An event of a stream whose caller disconnected or reconnected.
    Streams(streams::Event),
    /// An event of the orders, such as a reply of the platform or of a target.
    Orders(orders::Event),
    /// The host is to stop: it takes no new requests and finishes those in progress.
    Drain,
}
