//! Claims to room, and what is decided from them, without a fleet.

mod support;

use indexmap::IndexMap;
use support::*;
use toucancleat_fleet::claim::{Claim, UrgentKind, due_ms};
use toucancleat_fleet::contention::{Contest, Decision, Supply, decide};
use toucancleat_fleet::organisation_share::{OrganisationTokens, over_share};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::service_rate::{ServiceObservations, ServiceSums};

/// Memory that a draft needs, in tokens.
const DRAFT_TOKENS: u64 = 3_130;

/// The most urgent requests of a pool.
const URGENT: UrgentKind = UrgentKind {
    priority: 0,
    objective_ms: 1_500,
};

fn draft_claim() -> Claim {
    Claim {
        arrived_ms: START_MS,
        due_ms: START_MS + 4_000,
        deadline_ms: START_MS + 39_000,
        objective_ms: 4_000,
        first_event_ms: 300,
        priority: 2,
        tokens: DRAFT_TOKENS,
        prompt_tokens: 3_000,
        is_continued: false,
        is_over_share: false,
    }
}

/// Load: a burst of long streams beside short urgent ones. Their prompts leave time for urgent ones.
#[test]
fn prompts_are_bounded_by_the_time_until_answers_are_due() {
    struct Case {
        priority: u8,
        left_ms: u64,
        urgent: Option<UrgentKind>,
        limit_ms: u64,
    }
    let cases = [
        // The most urgent kind uses the time until it is due.
        Case {
            priority: 0,
            left_ms: 1_500,
            urgent: None,
            limit_ms: 1_125,
        },
        // Others leave half of the urgent objective.
        Case {
            priority: 2,
            left_ms: 4_000,
            urgent: Some(URGENT),
            limit_ms: 750,
        },
        // Just before it is due, a request needs an engine without pending prompts.
        Case {
            priority: 2,
            left_ms: 400,
            urgent: Some(URGENT),
            limit_ms: 300,
        },
    ];
    for case in cases {
        let claim = Claim {
            priority: case.priority,
            due_ms: START_MS + case.left_ms,
            ..draft_claim()
        };
        let limit_ms = claim.prefill_limit_ms(START_MS, case.urgent);
        assert_eq!(limit_ms, case.limit_ms, "priority {}", case.priority);
    }
}

/// Load: callers that were refused return among new ones. Before, they competed as if they had
/// just arrived.
#[test]
fn time_left_tells_a_caller_that_returns() {
    struct Case {
        time_limit_ms: Option<u64>,
        due_after_ms: i64,
    }
    let cases = [
        Case {
            time_limit_ms: None,
            due_after_ms: 4_000,
        },
        Case {
            time_limit_ms: Some(39_000),
            due_after_ms: 4_000,
        },
        // It asked 3 s ago, and comes before those that have just arrived.
        Case {
            time_limit_ms: Some(36_000),
            due_after_ms: 1_000,
        },
        // It is late already.
        Case {
            time_limit_ms: Some(33_000),
            due_after_ms: -2_000,
        },
        // No return takes so long, so the caller's limit is short by itself.
        Case {
            time_limit_ms: Some(10_000),
            due_after_ms: 4_000,
        },
    ];
    let route = Route {
        timeout_ms: 39_000,
        latency_objective_ms: 4_000,
        ..route("draft", RetrySafety::AtMostOnceStream, "engines")
    };
    for case in cases {
        let due_ms = due_ms(START_MS, case.time_limit_ms, &route);
        let due_after_ms = due_ms as i64 - START_MS as i64;
        assert_eq!(due_after_ms, case.due_after_ms, "{:?}", case.time_limit_ms);
    }
    let newcomer = draft_claim();
    let overdue = Claim {
        due_ms: START_MS - 2_000,
        ..newcomer
    };
    let check = Claim {
        priority: 0,
        due_ms: START_MS + 1_500,
        ..newcomer
    };
    let nearly_due = Claim {
        due_ms: START_MS + 1_500,
        ..newcomer
    };
    let overdue_check = Claim {
        priority: 0,
        ..overdue
    };
    let continued = Claim {
        is_continued: true,
        ..overdue
    };
    let over_share = Claim {
        is_over_share: true,
        ..newcomer
    };
    let order = [
        continued,
        check,
        overdue_check,
        newcomer,
        over_share,
        overdue,
    ];
    let rank = |claim: &Claim| {
        let urgent = (claim.priority > 0).then_some(URGENT);
        claim.rank(START_MS, urgent)
    };
    let ranks: Vec<_> = order.iter().map(rank).collect();
    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
    assert_eq!(rank(&nearly_due), rank(&check), "urgency rises with time");
}

/// Load: more requests than there is room for. Before, each waited for an eighth of its objective,
/// whatever the chance of room.
#[test]
fn request_waits_only_while_it_can_be_in_time() {
    let service = ServiceSums {
        prefill_tokens: 100_000,
        prefill_ms: 10_000,
        ended_tokens: 10_000,
        ended_token_ms: 40_000_000,
    };
    struct Case {
        name: &'static str,
        waited_ms: u64,
        ahead_tokens: u64,
        free_tokens: u64,
        fits: bool,
        fits_elsewhere: bool,
        targets: u64,
        decision: Decision,
    }
    let cases = [
        Case {
            name: "room is free",
            waited_ms: 0,
            ahead_tokens: 0,
            free_tokens: DRAFT_TOKENS,
            fits: true,
            fits_elsewhere: false,
            targets: 5,
            decision: Decision::Dispatch,
        },
        Case {
            name: "room is free for those before it",
            waited_ms: 0,
            ahead_tokens: 2 * DRAFT_TOKENS,
            free_tokens: 2 * DRAFT_TOKENS,
            fits: true,
            fits_elsewhere: true,
            targets: 5,
            decision: Decision::Wait,
        },
        Case {
            name: "the own zone stays full",
            waited_ms: 600,
            ahead_tokens: 0,
            free_tokens: 0,
            fits: false,
            fits_elsewhere: true,
            targets: 5,
            decision: Decision::Dispatch,
        },
        Case {
            name: "room may become free in time",
            waited_ms: 3_000,
            ahead_tokens: 0,
            free_tokens: 0,
            fits: false,
            fits_elsewhere: false,
            targets: 5,
            decision: Decision::Wait,
        },
        Case {
            name: "its prompt would be read too late",
            waited_ms: 3_800,
            ahead_tokens: 0,
            free_tokens: 0,
            fits: false,
            fits_elsewhere: false,
            targets: 5,
            decision: Decision::Refuse,
        },
        Case {
            name: "too many come before it",
            waited_ms: 0,
            ahead_tokens: 200_000,
            free_tokens: 0,
            fits: false,
            fits_elsewhere: false,
            targets: 5,
            decision: Decision::Refuse,
        },
        Case {
            name: "the own zone has no target",
            waited_ms: 0,
            ahead_tokens: DRAFT_TOKENS,
            free_tokens: 0,
            fits: true,
            fits_elsewhere: false,
            targets: 0,
            decision: Decision::Dispatch,
        },
    ];
    for case in cases {
        let contest = Contest {
            supply: Supply {
                fits: case.fits,
                free_tokens: case.free_tokens,
                used_tokens: 100_000,
                targets: case.targets,
            },
            ahead_tokens: case.ahead_tokens,
            service,
        };
        let now_ms = START_MS + case.waited_ms;
        let decision = decide(now_ms, &draft_claim(), &contest, || case.fits_elsewhere);
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

/// Load: callers that return late. A second refusal is the last answer that most of them get.
#[test]
fn overdue_request_waits_and_leaves_time_for_its_run() {
    struct Case {
        left_ms: u64,
        waits_ms: u64,
    }
    let cases = [
        Case {
            left_ms: 36_000,
            waits_ms: 9_000,
        },
        Case {
            left_ms: 10_000,
            waits_ms: 4_000,
        },
        Case {
            left_ms: 4_000,
            waits_ms: 2_000,
        },
    ];
    for case in cases {
        let claim = Claim {
            due_ms: START_MS - 500,
            deadline_ms: START_MS + case.left_ms,
            ..draft_claim()
        };
        let waits_ms = claim.waits_until_ms() - START_MS;
        assert_eq!(waits_ms, case.waits_ms, "with {} ms left", case.left_ms);
    }
}

#[test]
fn shares_are_max_min() {
    struct Case {
        name: &'static str,
        /// Used and waiting tokens of each organisation.
        tokens: &'static [(u64, u64)],
        over_share: &'static [usize],
    }
    let cases = [
        Case {
            name: "nobody waits",
            tokens: &[(80, 0), (10, 0)],
            over_share: &[],
        },
        Case {
            name: "a small one waits for more than the rest",
            tokens: &[(80, 0), (10, 10), (10, 0)],
            over_share: &[0],
        },
        Case {
            name: "unused shares go to the one that asks",
            tokens: &[(80, 50), (10, 0), (10, 0)],
            over_share: &[],
        },
        Case {
            name: "equal ones share alike",
            tokens: &[(30, 30), (30, 30), (30, 30)],
            over_share: &[],
        },
        Case {
            name: "two large ones and a newcomer",
            tokens: &[(60, 10), (30, 60), (0, 20)],
            over_share: &[0],
        },
    ];
    for case in cases {
        let organisations: IndexMap<OrganisationName, OrganisationTokens> = case
            .tokens
            .iter()
            .enumerate()
            .map(|(index, (used, waiting))| {
                let tokens = OrganisationTokens {
                    used: *used,
                    waiting: *waiting,
                };
                (OrganisationName::new(&index.to_string()), tokens)
            })
            .collect();
        let expected: Vec<String> =
            case.over_share.iter().map(usize::to_string).collect();
        let over = over_share(&organisations);
        let over: Vec<String> = over.iter().map(OrganisationName::to_string).collect();
        assert_eq!(over, expected, "{}", case.name);
    }
}

/// Rates are those of the last seconds, and unknown until enough was seen.
#[test]
fn rates_follow_what_was_observed_last() {
    let mut observed = ServiceObservations::default();
    observed.record_first_event(START_MS, 3_000, 300);
    assert_eq!(observed.sums(START_MS).prefill_in(1_000), None);
    for step in 0..40 {
        observed.record_first_event(START_MS + step * 100, 3_000, 300);
    }
    let before = observed.sums(START_MS + 4_000).prefill_in(1_000);
    assert!(
        before.is_some_and(|tokens| tokens.abs_diff(10_000) < 50),
        "{before:?}"
    );
    for step in 0..400 {
        observed.record_first_event(START_MS + 4_000 + step * 100, 3_000, 600);
    }
    let after = observed.sums(START_MS + 44_000).prefill_in(1_000);
    assert!(
        after.is_some_and(|tokens| tokens.abs_diff(5_000) < 100),
        "{after:?}"
    );
    observed.record_end(START_MS + 44_000, 4_000, 8_000);
    let sums = observed.sums(START_MS + 44_000);
    // A twentieth of the memory in use becomes free in a twentieth of a run.
    assert_eq!(sums.room_time_ms(5_000, 20, 100_000), Some(400));
    assert_eq!(sums.room_time_ms(0, 20, 100_000), Some(0));
}
