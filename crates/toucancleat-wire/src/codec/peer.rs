//! Encoding of batches and their envelopes.

use toucancleat_core::peer::{Envelope, Message};
use toucancleat_core::prelude::*;

use super::value::{read_list, read_name};
use super::{
    accounts, crash_marks, dissemination, holds, limits, membership, streams, targets,
};
use crate::error::DecodeError;
use crate::peer_capnp::{batch, envelope};

pub(crate) fn write_batch(envelopes: &[Envelope], batch: batch::Builder<'_>) {
    let mut list = batch.init_envelopes(envelopes.len() as u32);
    for (i, envelope) in envelopes.iter().enumerate() {
        write_envelope(envelope, list.reborrow().get(i as u32));
    }
}

pub(crate) fn read_batch(batch: batch::Reader<'_>) -> Result<Vec<Envelope>, DecodeError> {
    read_list("envelopes", batch.get_envelopes()?.iter(), read_envelope)
}

fn write_envelope(envelope: &Envelope, mut out: envelope::Builder<'_>) {
    out.set_from(envelope.from.as_str());
    out.set_incarnation(envelope.incarnation.0);
    out.set_stamp(envelope.stamp);
    let mut out = out.init_message();
    match &envelope.message {
        Message::Membership(message) => {
            membership::write(message, out.reborrow().init_membership());
        }
        Message::Accounts(message) => {
            accounts::write(message, out.reborrow().init_accounts());
        }
        Message::Dissemination(message) => {
            dissemination::write(message, out.reborrow().init_spread());
        }
        Message::Targets(message) => {
            targets::write(message, out.reborrow().init_targets());
        }
        Message::CrashMarks(message) => {
            crash_marks::write(message, out.reborrow().init_crash_marks());
        }
        Message::Streams(message) => {
            streams::write(message, out.reborrow().init_streams());
        }
        Message::Holds(message) => {
            holds::write(message, out.reborrow().init_holds());
        }
        Message::Limits(message) => {
            limits::write(message, out.reborrow().init_limits());
        }
        // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
        // encoding. It would be sent as `none`, which the receiver refuses. The property
        // test in tests/codec.rs covers every variant.
        _ => out.set_none(()),
    }
}

fn read_envelope(envelope: envelope::Reader<'_>) -> Result<Envelope, DecodeError> {
    Ok(Envelope {
        from: read_name::<HostName>("from", envelope.get_from())?,
        incarnation: Incarnation(envelope.get_incarnation()),
        stamp: envelope.get_stamp(),
        message: read_message(envelope.get_message())?,
    })
}

fn read_message(message: envelope::message::Reader<'_>) -> Result<Message, DecodeError> {
    use envelope::message::Which;
    match message
        .which()
        .map_err(|source| DecodeError::not_in_schema("message", source))?
    {
        Which::None(()) => Err(DecodeError::invalid_value("message", "a message")),
        Which::Membership(message) => Ok(membership::read(message?)?.into()),
        Which::Accounts(message) => Ok(accounts::read(message?)?.into()),
        Which::Streams(message) => Ok(streams::read(message?)?.into()),
        Which::Holds(message) => Ok(holds::read(message?)?.into()),
        Which::Spread(message) => Ok(dissemination::read(message?)?.into()),
        Which::Targets(message) => Ok(targets::read(message?)?.into()),
        Which::Limits(message) => Ok(limits::read(message?)?.into()),
        Which::CrashMarks(message) => Ok(crash_marks::read(message?)?.into()),
    }
}
