//! Proptest strategies for messages about the targets that may take new work.

use proptest::prelude::*;
use toucancleat_core::targets::{BreakerReport, LeavingTarget, Message};

use super::name;

pub fn message() -> impl Strategy<Value = Message> {
    let views = (any::<bool>(), prop::collection::vec(leaving(), 0..4));
    prop_oneof![
        leaving().prop_map(Message::Leaving),
        report().prop_map(Message::Report),
        views.prop_map(|(reply, leaving)| Message::LeavingTargets { reply, leaving }),
    ]
}

fn leaving() -> impl Strategy<Value = LeavingTarget> {
    (name(), any::<u64>()).prop_map(|(target, epoch)| LeavingTarget { target, epoch })
}

fn report() -> impl Strategy<Value = BreakerReport> {
    (name(), any::<u64>(), any::<u64>(), any::<u64>()).prop_map(
        |(target, epoch, version, unavailable_for_ms)| BreakerReport {
            target,
            epoch,
            version,
            unavailable_for_ms,
        },
    )
}
