//! Encoding of messages about the targets that may take new work.

use toucancleat_core::targets::{BreakerReport, LeavingTarget, Message};

use super::value::{read_list, read_name};
use crate::error::DecodeError;
use crate::targets_capnp as wire;

pub(crate) fn write(message: &Message, out: wire::message::Builder<'_>) {
    match message {
        Message::Leaving(leaving) => write_leaving(leaving, out.init_leaving()),
        Message::Report(report) => write_report(report, out.init_report()),
        Message::LeavingTargets { reply, leaving } => {
            let mut out = out.init_views();
            out.set_reply(*reply);
            let mut list = out.init_leaving(leaving.len() as u32);
            for (i, leaving) in leaving.iter().enumerate() {
                write_leaving(leaving, list.reborrow().get(i as u32));
            }
        }
        // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
        // encoding. The property test in tests/codec.rs covers every variant.
        _ => {}
    }
}

pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::not_in_schema("targets", e))?;
    Ok(match which {
        Which::Leaving(leaving) => Message::Leaving(read_leaving(leaving?)?),
        Which::Report(report) => Message::Report(read_report(report?)?),
        Which::Views(views) => {
            let views = views?;
            let leaving =
                read_list("leaving", views.get_leaving()?.iter(), read_leaving)?;
            Message::LeavingTargets {
                reply: views.get_reply(),
                leaving,
            }
        }
    })
}

fn write_leaving(leaving: &LeavingTarget, mut out: wire::leaving_target::Builder<'_>) {
    out.set_target(leaving.target.as_str());
    out.set_epoch(leaving.epoch);
}

fn read_leaving(
    leaving: wire::leaving_target::Reader<'_>,
) -> Result<LeavingTarget, DecodeError> {
    Ok(LeavingTarget {
        target: read_name("target", leaving.get_target())?,
        epoch: leaving.get_epoch(),
    })
}

fn write_report(report: &BreakerReport, mut out: wire::report::Builder<'_>) {
    out.set_target(report.target.as_str());
    out.set_epoch(report.epoch);
    out.set_version(report.version);
    out.set_out_for_ms(report.unavailable_for_ms);
}

fn read_report(report: wire::report::Reader<'_>) -> Result<BreakerReport, DecodeError> {
    Ok(BreakerReport {
        target: read_name("target", report.get_target())?,
        epoch: report.get_epoch(),
        version: report.get_version(),
        unavailable_for_ms: report.get_out_for_ms(),
    })
}
