//! Faults that a proxy injects into its links.

use serde::{Deserialize, Serialize};

/// Faults that a test sets on a proxy, in process or by `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Refuses new connections; open ones continue.
    pub refuse: bool,
    /// Faults of the direction from the client to the upstream.
    pub to_upstream: LinkFaults,
    /// Faults of the direction from the upstream to the client.
    pub to_client: LinkFaults,
    /// Resets connections during a reply.
    pub cut_reply: Option<CutReply>,
}

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Holds back all bytes until this is unset.
    pub stall: bool,
    /// Reads and discards the bytes, as a half-open connection does.
    pub discard: bool,
    /// Delays the delivery of each byte without reducing the throughput.
    pub delay_ms: u64,
}

/// A reset after a part of a reply, when the request has already reached the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutReply {
    /// Number of bytes of the reply that are still forwarded to the client.
    pub after_bytes: u64,
    /// Number of connections that are affected.
    pub times: u32,
    /// Whether only connections that have carried a `POST` are affected. A host's health
    /// check of a target passes the same link and would otherwise use up the cut.
    #[serde(default)]
    pub posts_only: bool,
}

/// One direction of a proxied connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    ToClient,
}

impl ProxyFaults {
    /// Returns true if no fault hides from one side that the other has closed.
    pub(super) fn shows_connection_ends(&self) -> bool {
        let links = [self.to_upstream, self.to_client];
        links.iter().all(|link| !link.stall && !link.discard)
    }

    /// Returns the faults of one direction.
    pub(super) fn link(&self, direction: Direction) -> LinkFaults {
        match direction {
            Direction::ToUpstream => self.to_upstream,
            Direction::ToClient => self.to_client,
        }
    }
}
