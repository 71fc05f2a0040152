//! Messages about requests that crash targets.

use toucancleat_core::crash_marks::{Crash, CrashMarks, Fingerprint, Message};
use toucancleat_core::prelude::*;

use super::value::{read_id, read_list, read_name, write_id};
use crate::error::DecodeError;
use crate::targets_capnp as wire;

/// Writes a message.
pub(crate) fn write(message: &Message, out: wire::mark_message::Builder<'_>) {
    match message {
        Message::Marked {
            relay,
            crash,
            fingerprints,
        } => {
            let mut out = out.init_marked();
            out.set_relay(*relay);
            write_crash(crash, out.reborrow().init_crash());
            let mut list = out.init_fingerprints(fingerprints.len() as u32);
            for (i, fingerprint) in fingerprints.iter().enumerate() {
                write_id(fingerprint.0, list.reborrow().get(i as u32));
            }
        }
        Message::Cleared { relay, cleared } => {
            let mut out = out.init_cleared();
            out.set_relay(*relay);
            let mut list = out.init_cleared(cleared.len() as u32);
            for (i, marks) in cleared.iter().enumerate() {
                write_marks(marks, list.reborrow().get(i as u32));
            }
        }
        Message::AskTurn {
            fingerprint,
            attempt,
        } => {
            let mut out = out.init_ask_turn();
            write_id(fingerprint.0, out.reborrow().init_fingerprint());
            write_id(attempt.0, out.init_attempt());
        }
        Message::Turn { attempt } => write_id(attempt.0, out.init_turn()),
        Message::NoTurn {
            attempt,
            retry_after_ms,
        } => {
            let mut out = out.init_no_turn();
            out.set_retry_after_ms(*retry_after_ms);
            write_id(attempt.0, out.init_attempt());
        }
        Message::EndTurn { attempt } => write_id(attempt.0, out.init_end_turn()),
        // N.B. `Message` is open to additions; the property test covers every variant.
        _ => {}
    }
}

/// Reads a message.
pub(crate) fn read(
    message: wire::mark_message::Reader<'_>,
) -> Result<Message, DecodeError> {
    use wire::mark_message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::number("crash_marks", e))?;
    Ok(match which {
        Which::Marked(marked) => Message::Marked {
            relay: marked.get_relay(),
            crash: read_crash(marked.get_crash()?)?,
            fingerprints: read_list(
                "fingerprints",
                marked.get_fingerprints()?.iter(),
                |id| Ok(Fingerprint(read_id(id))),
            )?,
        },
        Which::Cleared(cleared) => Message::Cleared {
            relay: cleared.get_relay(),
            cleared: read_list("cleared", cleared.get_cleared()?.iter(), read_marks)?,
        },
        Which::AskTurn(ask) => Message::AskTurn {
            fingerprint: Fingerprint(read_id(ask.get_fingerprint()?)),
            attempt: GenerationId(read_id(ask.get_attempt()?)),
        },
        Which::Turn(attempt) => Message::Turn {
            attempt: GenerationId(read_id(attempt?)),
        },
        Which::NoTurn(no_turn) => Message::NoTurn {
            attempt: GenerationId(read_id(no_turn.get_attempt()?)),
            retry_after_ms: no_turn.get_retry_after_ms(),
        },
        Which::EndTurn(attempt) => Message::EndTurn {
            attempt: GenerationId(read_id(attempt?)),
        },
    })
}

fn write_marks(marks: &CrashMarks, mut out: wire::crash_marks::Builder<'_>) {
    write_id(marks.fingerprint.0, out.reborrow().init_fingerprint());
    let mut list = out.init_crashes(marks.crashes.len() as u32);
    for (i, crash) in marks.crashes.iter().enumerate() {
        write_crash(crash, list.reborrow().get(i as u32));
    }
}

fn read_marks(marks: wire::crash_marks::Reader<'_>) -> Result<CrashMarks, DecodeError> {
    Ok(CrashMarks {
        fingerprint: Fingerprint(read_id(marks.get_fingerprint()?)),
        crashes: read_list("crashes", marks.get_crashes()?.iter(), read_crash)?,
    })
}

fn write_crash(crash: &Crash, mut out: wire::epoch::Builder<'_>) {
    out.set_target(crash.target.as_str());
    out.set_epoch(crash.epoch);
}

fn read_crash(crash: wire::epoch::Reader<'_>) -> Result<Crash, DecodeError> {
    Ok(Crash {
        target: read_name("target", crash.get_target())?,
        epoch: crash.get_epoch(),
    })
}
