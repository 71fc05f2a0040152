//! Proptest strategies for messages about reservations, settings, streams and holds.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use toucancleat_core::accounts::{
    self, AccountSummary, FinishedGeneration, Limits, Outcome, Progress, QueueNotice,
    RefusalReason, ReservationGrant, ReservationRefusal, ReservationRequest,
    RunningGeneration,
};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::{Change, Edit, RoutingPolicy, Tree};
use toucancleat_core::{dissemination, holds, streams};

use super::name;

pub fn accounts() -> impl Strategy<Value = accounts::Message> {
    use accounts::Message;
    let entries = vec((id(), name(), any::<u32>()), 0..4);
    let loads = vec(
        (name(), any::<u32>(), any::<u32>(), any::<u64>(), 0.0..1.0),
        0..4,
    );
    prop_oneof![
        reservation_request().prop_map(Message::Reserve),
        (id(), id(), name(), any::<u8>()).prop_map(
            |(request, generation, target, priority)| {
                Message::Granted(ReservationGrant {
                    request: RequestId(request),
                    generation: GenerationId(generation),
                    target,
                    priority,
                })
            }
        ),
        (id(), name(), any::<u64>()).prop_map(|(request, target, wait_ms)| {
            Message::Queued(QueueNotice {
                request: RequestId(request),
                target,
                wait_ms,
            })
        }),
        (id(), name(), reason(), any::<u64>()).prop_map(
            |(request, target, reason, retry_after_ms)| {
                let request = RequestId(request);
                Message::Refused(ReservationRefusal {
                    request,
                    target,
                    reason,
                    retry_after_ms,
                })
            }
        ),
        (id(), id(), name()).prop_map(|(request, generation, target)| {
            Message::Withdraw {
                request: RequestId(request),
                generation: GenerationId(generation),
                target,
            }
        }),
        entries.prop_map(|entries| Message::Progress {
            entries: entries
                .into_iter()
                .map(|(generation, target, tokens)| Progress {
                    generation: GenerationId(generation),
                    target,
                    tokens,
                })
                .collect(),
        }),
        (id(), name(), any::<u32>(), outcome()).prop_map(
            |(generation, target, tokens, outcome)| {
                let generation = GenerationId(generation);
                Message::Finished(FinishedGeneration {
                    generation,
                    target,
                    tokens,
                    outcome,
                })
            }
        ),
        vec(name(), 0..4).prop_map(|targets| Message::HoldingsRequest { targets }),
        (
            vec(name(), 0..4),
            vec((reservation_request(), any::<u32>()), 0..3)
        )
            .prop_map(|(targets, entries)| Message::Holdings {
                targets,
                entries: entries
                    .into_iter()
                    .map(|(request, tokens)| RunningGeneration { request, tokens })
                    .collect(),
            }),
        loads.prop_map(|entries| Message::AccountSummaries {
            entries: entries
                .into_iter()
                .map(
                    |(target, running, queued, wait_ms, used_share)| AccountSummary {
                        target,
                        running,
                        queued,
                        wait_ms,
                        used_share,
                    }
                )
                .collect(),
        }),
    ]
}

pub fn dissemination() -> impl Strategy<Value = dissemination::Message> {
    use dissemination::Message;
    prop_oneof![
        (revision(), any::<u64>())
            .prop_map(|(revision, age_ms)| Message::Announce { revision, age_ms }),
        prop::option::of(revision())
            .prop_map(|known_revision| Message::Pull { known_revision }),
        (vec(change(), 0..3), revision(), any::<u64>()).prop_map(
            |(changes, revision, age_ms)| Message::Delta {
                changes,
                revision,
                age_ms
            }
        ),
        (revision(), vec(name(), 0..3), any::<u64>()).prop_map(
            |(revision, zones, age_ms)| {
                let tree = Arc::new(Tree {
                    zones,
                    ..Tree::default()
                });
                Message::Snapshot {
                    revision,
                    tree,
                    age_ms,
                }
            }
        ),
    ]
}

pub fn streams() -> impl Strategy<Value = streams::Message> {
    id().prop_map(|generation| streams::Message::Resumed {
        generation: GenerationId(generation),
    })
}

pub fn holds() -> impl Strategy<Value = holds::Message> {
    prop_oneof![
        name().prop_map(|target| holds::Message::Hold { target }),
        name().prop_map(|target| holds::Message::Release { target }),
    ]
}

fn id() -> impl Strategy<Value = u128> {
    any::<u128>()
}

fn revision() -> impl Strategy<Value = Revision> {
    // A pull encodes the revision plus 1, so that the highest revision is left out.
    (0..u64::MAX).prop_map(Revision)
}

fn reservation_request() -> impl Strategy<Value = ReservationRequest> {
    let names = (name(), name(), name());
    let numbers = (
        any::<u32>(),
        any::<u32>(),
        any::<u64>(),
        any::<u8>(),
        any::<u64>(),
    );
    let ratios = (0.0..10.0, 0.0..1.0, 0.0..100.0);
    (
        id(),
        id(),
        names,
        numbers,
        ratios,
        vec(any::<u64>(), 0..5),
        policy(),
    )
        .prop_map(
            |(request, generation, names, numbers, ratios, prefix_hashes, policy)| {
                ReservationRequest {
                    id: RequestId(request),
                    generation: GenerationId(generation),
                    target: names.0,
                    organisation: names.1,
                    kind: names.2,
                    prompt_tokens: numbers.0,
                    max_output_tokens: numbers.1,
                    prefix_hashes,
                    deadline_unix_ms: numbers.2,
                    priority: numbers.3,
                    weight: ratios.0,
                    limits: Limits {
                        outgrow_chance_max: ratios.1,
                        step_time_max_ms: ratios.2,
                        queue_timeout_ms: numbers.4,
                        policy,
                    },
                }
            },
        )
}

fn policy() -> impl Strategy<Value = RoutingPolicy> {
    prop::sample::select(vec![
        RoutingPolicy::HomeAccounts,
        RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastOutstanding,
        RoutingPolicy::TwoChoices,
        RoutingPolicy::ReserveMaximum,
    ])
}

fn reason() -> impl Strategy<Value = RefusalReason> {
    prop::sample::select(vec![
        RefusalReason::DeadlineUnreachable,
        RefusalReason::QueueTimeout,
        RefusalReason::TooLarge,
        RefusalReason::NoTarget,
        RefusalReason::RetryBudget,
        RefusalReason::NotHome,
    ])
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop::sample::select(vec![
        Outcome::Completed,
        Outcome::Truncated,
        Outcome::Cancelled,
        Outcome::Failed,
        Outcome::NotRun,
    ])
}

fn change() -> impl Strategy<Value = Change> {
    let value = prop::option::of(prop_oneof![
        Just(serde_json::Value::Null),
        any::<u64>().prop_map(serde_json::Value::from),
        "[a-z]{0,4}".prop_map(serde_json::Value::from),
    ]);
    let edit =
        ("(/[a-z]{1,4}){1,3}", value).prop_map(|(path, value)| Edit { path, value });
    (
        revision(),
        id(),
        "[a-zå]{0,5}",
        any::<u64>(),
        vec(edit, 0..3),
    )
        .prop_map(|(revision, change_id, author, at_unix_ms, edits)| Change {
            revision,
            change_id: ChangeId(change_id),
            author,
            at_unix_ms,
            edits,
        })
}
