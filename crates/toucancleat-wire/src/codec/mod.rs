//! Encoding of the messages of `toucancleat-core` as Cap'n Proto, and decoding.
//!
//! Decoding doesn't trust its input: texts and lists have bounds, and a batch with a message
//! that exceeds one is refused as a whole.

mod accounts;
mod crash_marks;
mod dissemination;
mod holds;
mod limits;
mod membership;
mod peer;
mod streams;
mod targets;
mod value;

use capnp::message::{Builder, ReaderOptions};
use toucancleat_core::peer::Envelope;

use crate::error::DecodeError;
use crate::peer_capnp;

use self::peer::{read_batch, write_batch};

/// Maximum size of a message that is decoded, in words of 8 bytes: 8 MiB.
const MESSAGE_WORDS_MAX: usize = 1024 * 1024;

/// Maximum nesting depth of a message that is decoded. The schema needs less than half of it.
const NESTING_MAX: i32 = 24;

/// Encodes a batch of messages as one packed Cap'n Proto message.
pub fn encode_batch(envelopes: &[Envelope]) -> Vec<u8> {
    let mut message = Builder::new_default();
    write_batch(
        envelopes,
        message.init_root::<peer_capnp::batch::Builder<'_>>(),
    );
    let mut bytes = Vec::new();
    // N.B. Writing to a `Vec` can't fail.
    let _ = capnp::serialize_packed::write_message(&mut bytes, &message);
    bytes
}

/// Decodes a batch encoded by [`encode_batch`].
///
/// # Errors
///
/// Returns an error, and none of the messages, if any part of the batch is malformed or
/// exceeds a bound.
pub fn decode_batch(bytes: &[u8]) -> Result<Vec<Envelope>, DecodeError> {
    let message = capnp::serialize_packed::read_message(bytes, reader_options())?;
    read_batch(message.get_root::<peer_capnp::batch::Reader<'_>>()?)
}

/// Returns the size of a batch with one message, in bytes before packing.
pub(crate) fn unpacked_size_bytes(envelope: &Envelope) -> usize {
    let mut message = Builder::new_default();
    write_batch(
        std::slice::from_ref(envelope),
        message.init_root::<peer_capnp::batch::Builder<'_>>(),
    );
    message.size_in_words() * size_of::<capnp::Word>()
}

/// Returns the bounds on the size and nesting of messages from peers.
pub(crate) fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_WORDS_MAX),
        nesting_limit: NESTING_MAX,
    }
}
