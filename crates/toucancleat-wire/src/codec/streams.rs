//! Messages about streams that came back.

use toucancleat_core::prelude::*;
use toucancleat_core::streams::Message;

use super::value::{read_id, write_id};
use crate::error::DecodeError;
use crate::streams_capnp as wire;

/// Writes a message.
pub(crate) fn write(message: &Message, out: wire::message::Builder<'_>) {
    // N.B. `Message` is open to additions; the property test covers every variant.
    if let Message::Resumed { generation } = message {
        write_id(generation.0, out.init_resumed());
    }
}

/// Reads a message.
pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::number("streams", e))?;
    match which {
        Which::None(()) => Err(DecodeError::value("streams", "a message")),
        Which::Resumed(generation) => Ok(Message::Resumed {
            generation: GenerationId(read_id(generation?)),
        }),
    }
}
