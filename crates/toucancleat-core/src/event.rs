//! What can happen to an entry host.

use std::net::SocketAddr;

use crate::membership::ListedHost;
use crate::observation::Observation;
use crate::peer::Envelope;
use crate::prelude::*;
use crate::{claims, orders, requests, spread, streams};

/// An event, as the daemon feeds it to [`crate::reduce`].
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time passed; expected every 50 ms.
    Tick,
    /// Something happened to a request.
    Request(requests::Event),
    /// A generation of this host has come so far.
    Progressed {
        /// The generation.
        generation: GenerationId,
        /// Tokens so far.
        tokens: u32,
    },
    /// The platform answered the claims, or something happened to one.
    Claims(claims::Event),
    /// The platform answered the reader of the settings.
    Spread(spread::Event),
    /// A peer sent a message.
    Received(Box<Envelope>),
    /// Messages could not be delivered.
    Undelivered {
        /// The address that was not reached.
        to: SocketAddr,
    },
    /// The platform's host list was read.
    Listed {
        /// Entry hosts of all zones.
        hosts: Vec<ListedHost>,
        /// Targets that the list says are leaving.
        leaving_targets: Vec<TargetName>,
    },
    /// A target was looked at.
    Observed {
        /// The target.
        target: TargetName,
        /// When the look was asked for.
        asked_ms: u64,
        /// What was seen.
        observation: Observation,
    },
    /// The caller of a stream has gone, or came back.
    Streams(streams::Event),
    /// The platform or a target answered the orders.
    Orders(orders::Event),
    /// The host was told to stop: it takes no new requests and finishes those it has.
    Drain,
}
