//! Proptest strategies for messages about the crash marks of poison requests.

use proptest::prelude::*;
use toucancleat_core::crash_marks::{Crash, CrashMarks, Fingerprint, Message};
use toucancleat_core::prelude::*;

use super::name;

pub fn message() -> impl Strategy<Value = Message> {
    let marked = (
        any::<bool>(),
        crash(),
        prop::collection::vec(fingerprint(), 0..4),
    );
    let cleared = (any::<bool>(), prop::collection::vec(marks(), 0..4));
    prop_oneof![
        marked.prop_map(|(relay, crash, fingerprints)| {
            Message::Marked {
                relay,
                crash,
                fingerprints,
            }
        }),
        cleared.prop_map(|(relay, cleared)| Message::Cleared { relay, cleared }),
        (fingerprint(), attempt()).prop_map(|(fingerprint, attempt)| {
            Message::RequestTurn {
                fingerprint,
                attempt,
            }
        }),
        attempt().prop_map(|attempt| Message::GrantTurn { attempt }),
        (attempt(), any::<u64>()).prop_map(|(attempt, retry_after_ms)| {
            Message::DenyTurn {
                attempt,
                retry_after_ms,
            }
        }),
        attempt().prop_map(|attempt| Message::ReleaseTurn { attempt }),
    ]
}

fn attempt() -> impl Strategy<Value = GenerationId> {
    any::<u128>().prop_map(GenerationId)
}

fn fingerprint() -> impl Strategy<Value = Fingerprint> {
    any::<u128>().prop_map(Fingerprint)
}

fn crash() -> impl Strategy<Value = Crash> {
    (name(), any::<u64>()).prop_map(|(target, epoch)| Crash { target, epoch })
}

fn marks() -> impl Strategy<Value = CrashMarks> {
    (fingerprint(), prop::collection::vec(crash(), 0..4)).prop_map(
        |(fingerprint, crashes)| CrashMarks {
            fingerprint,
            crashes,
        },
    )
}
