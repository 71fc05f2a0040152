//! Messages about targets.

use toucancleat_core::targets::{LeavingTarget, Message, Report};

use super::value::{read_list, read_name};
use crate::error::DecodeError;
use crate::targets_capnp as wire;

/// Writes a message.
pub(crate) fn write(message: &Message, out: wire::message::Builder<'_>) {
    match message {
        Message::Leaving(leaving) => write_leaving(leaving, out.init_leaving()),
        Message::Report(report) => {
            let mut out = out.init_report();
            out.set_version(report.version);
            out.set_out_for_ms(report.out_for_ms);
            let mut target = out.init_target();
            target.set_target(report.target.as_str());
            target.set_epoch(report.epoch);
        }
        Message::Views { reply, leaving } => {
            let mut out = out.init_views();
            out.set_reply(*reply);
            let mut list = out.init_leaving(leaving.len() as u32);
            for (i, leaving) in leaving.iter().enumerate() {
                write_leaving(leaving, list.reborrow().get(i as u32));
            }
        }
        // N.B. `Message` is open to additions; the property test covers every variant.
        _ => {}
    }
}

/// Reads a message.
pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::number("targets", e))?;
    Ok(match which {
        Which::Leaving(leaving) => Message::Leaving(read_leaving(leaving?)?),
        Which::Report(report) => {
            let target = read_leaving(report.get_target()?)?;
            Message::Report(Report {
                target: target.target,
                epoch: target.epoch,
                version: report.get_version(),
                out_for_ms: report.get_out_for_ms(),
            })
        }
        Which::Views(views) => Message::Views {
            reply: views.get_reply(),
            leaving: read_list("leaving", views.get_leaving()?.iter(), read_leaving)?,
        },
    })
}

fn write_leaving(leaving: &LeavingTarget, mut out: wire::epoch::Builder<'_>) {
    out.set_target(leaving.target.as_str());
    out.set_epoch(leaving.epoch);
}

fn read_leaving(epoch: wire::epoch::Reader<'_>) -> Result<LeavingTarget, DecodeError> {
    Ok(LeavingTarget {
        target: read_name("target", epoch.get_target())?,
        epoch: epoch.get_epoch(),
    })
}
