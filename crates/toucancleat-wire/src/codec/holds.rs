//! Encoding of messages about targets that take no new work while an order changes them.

use toucancleat_core::holds::Message;

use super::value::read_name;
use crate::error::DecodeError;
use crate::streams_capnp as wire;

pub(crate) fn write(message: &Message, mut out: wire::hold_message::Builder<'_>) {
    match message {
        Message::Hold { target } => out.set_hold(target.as_str()),
        Message::Release { target } => out.set_release(target.as_str()),
        // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
        // encoding. The property test in tests/codec.rs covers every variant.
        _ => {}
    }
}

pub(crate) fn read(
    message: wire::hold_message::Reader<'_>,
) -> Result<Message, DecodeError> {
    use wire::hold_message::Which;
    let which = message.which();
    match which.map_err(|e| DecodeError::not_in_schema("holds", e))? {
        Which::None(()) => Err(DecodeError::invalid_value("holds", "a message")),
        Which::Hold(target) => Ok(Message::Hold {
            target: read_name("target", target)?,
        }),
        Which::Release(target) => Ok(Message::Release {
            target: read_name("target", target)?,
        }),
    }
}
