//! Cap'n Proto messages between the entry hosts, and the connections that carry them.
//!
//! The schema is in `schema/`, one file for each concern. The generated code is committed,
//! so that the build needs no generator; `schema/generate` brings it up to date. The
//! decisions about what is sent are in `toucancleat-core`; see docs/design/membership.md.

mod codec;
mod error;
mod node;

/// Code generated from the schema.
macro_rules! generated {
    ($($name:ident = $path:literal,)*) => {$(
        #[allow(missing_docs, missing_debug_implementations, unused, clippy::all)]
        #[rustfmt::skip]
        #[path = $path]
        mod $name;
    )*};
}

generated! {
    accounts_capnp = "generated/accounts_capnp.rs",
    crash_marks_capnp = "generated/crash_marks_capnp.rs",
    limits_capnp = "generated/limits_capnp.rs",
    membership_capnp = "generated/membership_capnp.rs",
    peer_capnp = "generated/peer_capnp.rs",
    spread_capnp = "generated/spread_capnp.rs",
    streams_capnp = "generated/streams_capnp.rs",
    targets_capnp = "generated/targets_capnp.rs",
}

pub use self::codec::{decode_batch, encode_batch};
pub use self::error::{DecodeError, QueueFull, StartError};
pub use self::node::{Config, PeerNode, Undelivered};
