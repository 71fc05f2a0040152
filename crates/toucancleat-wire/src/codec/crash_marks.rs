//! Encoding of messages about the crash marks of poison requests.

use toucancleat_core::crash_marks::{Crash, CrashMarks, Fingerprint, Message};
use toucancleat_core::prelude::*;

use super::value::{check_length, read_list, read_name};
use crate::crash_marks_capnp as wire;
use crate::error::DecodeError;

/// Size of an encoded fingerprint.
const FINGERPRINT_BYTES: usize = 16;

pub(crate) fn write(message: &Message, out: wire::message::Builder<'_>) {
    match message {
        Message::Marked {
            relay,
            crash,
            fingerprints,
        } => {
            let mut out = out.init_marked();
            out.set_relay(*relay);
            write_crash(crash, out.reborrow().init_crash());
            out.set_fingerprints(&write_fingerprints(fingerprints));
        }
        Message::Cleared { relay, cleared } => {
            let mut out = out.init_cleared();
            out.set_relay(*relay);
            let mut list = out.init_cleared(cleared.len() as u32);
            for (i, marks) in cleared.iter().enumerate() {
                write_marks(marks, list.reborrow().get(i as u32));
            }
        }
        Message::RequestTurn {
            fingerprint,
            attempt,
        } => {
            let mut out = out.init_ask_turn();
            write_id(fingerprint.0, out.reborrow().init_fingerprint());
            write_id(attempt.0, out.init_attempt());
        }
        Message::GrantTurn { attempt } => write_id(attempt.0, out.init_turn()),
        Message::DenyTurn {
            attempt,
            retry_after_ms,
        } => {
            let mut out = out.init_no_turn();
            write_id(attempt.0, out.reborrow().init_attempt());
            out.set_retry_after_ms(*retry_after_ms);
        }
        Message::ReleaseTurn { attempt } => write_id(attempt.0, out.init_end_turn()),
        // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
        // encoding. The property test in tests/codec.rs covers every variant.
        _ => {}
    }
}

pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::not_in_schema("crash marks", e))?;
    Ok(match which {
        Which::Marked(marked) => {
            let marked = marked?;
            Message::Marked {
                relay: marked.get_relay(),
                crash: read_crash(marked.get_crash()?)?,
                fingerprints: read_fingerprints(marked.get_fingerprints()?)?,
            }
        }
        Which::Cleared(cleared) => {
            let cleared = cleared?;
            Message::Cleared {
                relay: cleared.get_relay(),
                cleared: read_list("cleared", cleared.get_cleared()?.iter(), read_marks)?,
            }
        }
        Which::AskTurn(ask) => {
            let ask = ask?;
            Message::RequestTurn {
                fingerprint: Fingerprint(read_id(ask.get_fingerprint()?)),
                attempt: GenerationId(read_id(ask.get_attempt()?)),
            }
        }
        Which::Turn(attempt) => Message::GrantTurn {
            attempt: GenerationId(read_id(attempt?)),
        },
        Which::NoTurn(no_turn) => {
            let no_turn = no_turn?;
            Message::DenyTurn {
                attempt: GenerationId(read_id(no_turn.get_attempt()?)),
                retry_after_ms: no_turn.get_retry_after_ms(),
            }
        }
        Which::EndTurn(attempt) => Message::ReleaseTurn {
            attempt: GenerationId(read_id(attempt?)),
        },
    })
}

fn write_marks(marks: &CrashMarks, mut out: wire::crash_marks::Builder<'_>) {
    write_id(marks.fingerprint.0, out.reborrow().init_fingerprint());
    let mut crashes = out.init_crashes(marks.crashes.len() as u32);
    for (i, crash) in marks.crashes.iter().enumerate() {
        write_crash(crash, crashes.reborrow().get(i as u32));
    }
}

fn read_marks(marks: wire::crash_marks::Reader<'_>) -> Result<CrashMarks, DecodeError> {
    Ok(CrashMarks {
        fingerprint: Fingerprint(read_id(marks.get_fingerprint()?)),
        crashes: read_list("crashes", marks.get_crashes()?.iter(), read_crash)?,
    })
}

fn write_crash(crash: &Crash, mut out: wire::crash::Builder<'_>) {
    out.set_target(crash.target.as_str());
    out.set_epoch(crash.epoch);
}

fn read_crash(crash: wire::crash::Reader<'_>) -> Result<Crash, DecodeError> {
    Ok(Crash {
        target: read_name("target", crash.get_target())?,
        epoch: crash.get_epoch(),
    })
}

fn write_id(id: u128, mut out: wire::id128::Builder<'_>) {
    out.set_low(id as u64);
    out.set_high((id >> 64) as u64);
}

fn read_id(id: wire::id128::Reader<'_>) -> u128 {
    u128::from(id.get_high()) << 64 | u128::from(id.get_low())
}

fn write_fingerprints(fingerprints: &[Fingerprint]) -> Vec<u8> {
    fingerprints
        .iter()
        .flat_map(|fingerprint| fingerprint.0.to_le_bytes())
        .collect()
}

fn read_fingerprints(bytes: &[u8]) -> Result<Vec<Fingerprint>, DecodeError> {
    let (chunks, remainder) = bytes.as_chunks::<FINGERPRINT_BYTES>();
    if !remainder.is_empty() {
        return Err(DecodeError::invalid_value(
            "fingerprints",
            "16 bytes for each",
        ));
    }
    check_length("fingerprints", chunks.len() as u32)?;
    Ok(chunks
        .iter()
        .map(|bytes| Fingerprint(u128::from_le_bytes(*bytes)))
        .collect())
}
