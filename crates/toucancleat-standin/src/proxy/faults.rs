//! Faults of a proxied link.

use serde::{Deserialize, Serialize};

/// The faults that a test sets on a proxy, in process or by `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Refuses new connections; open ones go on.
    pub refuse: bool,
    /// What happens to bytes on their way to the upstream.
    pub to_upstream: LinkFaults,
    /// What happens to bytes on their way to the client.
    pub to_client: LinkFaults,
    /// Resets connections in the middle of a reply.
    pub cut_reply: Option<CutReply>,
}

/// The faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Holds all bytes back until this is unset.
    pub stall: bool,
    /// Takes the bytes and loses them: the other half of a half-open connection.
    pub discard: bool,
    /// Delivers each byte this much later, without a loss of throughput.
    pub delay_ms: u64,
}

/// A reset after a part of a reply; the request has reached the upstream by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutReply {
    /// The bytes of the reply that still go to the client.
    pub after_bytes: u64,
    /// The number of connections that it happens to.
    pub times: u32,
    /// Whether it only happens to connections that carry a `POST`. A host's look at a
    /// target passes the same link and would otherwise take the cut.
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
    /// Says whether each side can learn that the other has ended.
    pub(super) fn is_clear(&self) -> bool {
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
