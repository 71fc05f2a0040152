//! Cap'n Proto messages between entry hosts, and the connections that carry them.
//!
//! `schema/` holds the schema, one file for each group of messages. The code generated from
//! it is committed, so that the build doesn't need the schema compiler; `schema/generate`
//! regenerates it. `toucancleat-core` decides what is sent and when; see
//! docs/design/membership.md.

mod codec;
mod error;
mod transport;

/// Declares modules of code generated from the schema, which lints and rustfmt ignore.
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
pub use self::transport::{Config, PeerTransport, UndeliveredMessages};
