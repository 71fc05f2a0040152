//! Translation between the messages of `toucancleat-core` and Cap'n Proto.
//!
//! A reader takes nothing on trust: texts and lists have bounds, and a message that
//! breaks one is refused whole.

mod accounts;
mod crash_marks;
mod holds;
mod limits;
mod membership;
mod peer;
mod spread;
mod streams;
mod targets;
mod value;

use capnp::message::{Builder, ReaderOptions};
use toucancleat_core::peer::Envelope;

use crate::error::DecodeError;
use crate::peer_capnp;

use self::peer::{read_batch, write_batch};

/// Largest message that is read, in words of 8 bytes: 8 MiB.
const MESSAGE_WORDS_MAX: usize = 1024 * 1024;

/// Deepest nesting that is read; the schema needs less than half.
const NESTING_MAX: i32 = 24;

/// Encodes a batch as a packed Cap'n Proto message.
pub fn encode_batch(envelopes: &[Envelope]) -> Vec<u8> {
    let mut message = Builder::new_default();
    write_batch(
        envelopes,
        message.init_root::<peer_capnp::batch::Builder<'_>>(),
    );
    let mut bytes = Vec::new();
    // N.B. Writing to memory can't fail.
    let _ = capnp::serialize_packed::write_message(&mut bytes, &message);
    bytes
}

/// Decodes a batch that [`encode_batch`] made, refusing it whole when any part is wrong.
pub fn decode_batch(bytes: &[u8]) -> Result<Vec<Envelope>, DecodeError> {
    let message = capnp::serialize_packed::read_message(bytes, reader_options())?;
    read_batch(message.get_root::<peer_capnp::batch::Reader<'_>>()?)
}

/// Returns the size of one message in a batch.
pub(crate) fn encoded_bytes(envelope: &Envelope) -> usize {
    let mut message = Builder::new_default();
    write_batch(
        std::slice::from_ref(envelope),
        message.init_root::<peer_capnp::batch::Builder<'_>>(),
    );
    message.size_in_words() * size_of::<capnp::Word>()
}

/// Returns the bounds for messages from peers.
pub(crate) fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_WORDS_MAX),
        nesting_limit: NESTING_MAX,
    }
}
