//! Encoding of messages about streams that were resumed at another host.

use toucancleat_core::prelude::*;
use toucancleat_core::streams::Message;

use super::value::{read_id, write_id};
use crate::error::DecodeError;
use crate::streams_capnp as wire;

pub(crate) fn write(message: &Message, out: wire::message::Builder<'_>) {
    // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
    // encoding. The property test in tests/codec.rs covers every variant.
    if let Message::Resumed { generation } = message {
        write_id(generation.0, out.init_resumed());
    }
}

pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::not_in_schema("streams", e))?;
    match which {
        Which::None(()) => Err(DecodeError::invalid_value("streams", "a message")),
        Which::Resumed(generation) => Ok(Message::Resumed {
            generation: GenerationId(read_id(generation?)),
        }),
    }
}
