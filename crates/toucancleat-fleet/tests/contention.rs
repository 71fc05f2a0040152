//! The order in which requests get room while there is too little for all.

mod support;

use indexmap::IndexMap;
use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::claim::{Claim, UrgentKind, due_ms};
use toucancleat_fleet::config::FleetConfig;
use toucancleat_fleet::contention::{Contest, Decision, Supply, decide};
use toucancleat_fleet::organisation_share::{OrganisationTokens, over_share};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::service_rate::{ServiceObservations, ServiceSums};
use toucancleat_fleet::target::TargetEntry;

/// Memory that a draft needs, in tokens.
const DRAFT_TOKENS: u64 = 3_130;

/// The most urgent requests of a pool.
const URGENT: UrgentKind = UrgentKind {
    priority: 0,
    objective_ms: 1_500,
};

/// Returns a configuration in which checks are more urgent than drafts, with an organisation for
/// each letter.
fn urgent_checks() -> Configuration {
    let mut configuration = configuration(2);
    for route in &mut configuration.routes {
        if route.kind == KindName::new("draft") {
            route.priority = 2;
            route.latency_objective_ms = 4_000;
            route.timeout_ms = 39_000;
        } else if route.kind == KindName::new("check") {
            route.priority = 0;
        }
    }
    let organisation = configuration.organisations[KEY].clone();
    for letter in ["a", "b", "c"] {
        let mut organisation = organisation.clone();
        organisation.name = OrganisationName::new(letter);
        configuration
            .organisations
            .insert(format!("key-of-{letter}"), organisation);
    }
    configuration
}

/// Returns hosts of one zone with engines there.
fn fleet(hosts: u16, engines: u16) -> Fleet {
    let named: Vec<(String, TargetEntry)> = (1..=engines)
        .map(|n| (format!("engine-{n}"), entry("engines", "upp-a", 100 + n)))
        .collect();
    let listed: Vec<(&str, TargetEntry)> = named
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    let config = FleetConfig {
        orders_contention: true,
        ..default_config()
    };
    let mut fleet = Fleet::with_config(hosts, &["upp-a"], &listed, &config);
    let row = toucancleat_fleet::store::ConfigurationRow::default();
    for host in &mut fleet.hosts {
        let stored = toucancleat_fleet::store::StoredConfiguration {
            configuration: urgent_checks(),
            row,
        };
        let reply = toucancleat_fleet::store::Reply::Configuration(Some(stored));
        let query = toucancleat_fleet::store::Query::Configuration;
        answer(host, fleet.now_ms, query, reply);
    }
    fleet
}

fn request(kind: &str) -> IncomingRequest {
    IncomingRequest {
        time_limit_ms: None,
        ..incoming_request(kind)
    }
}

fn of_organisation(letter: &str, kind: &str) -> IncomingRequest {
    IncomingRequest {
        api_key: Some(format!("key-of-{letter}")),
        ..request(kind)
    }
}

/// Fills the engines with drafts of a host, numbered from 1,000.
fn fill(fleet: &mut Fleet, host: usize, drafts: u64) {
    for number in 1_000..1_000 + drafts {
        let sent = fleet.send_request(host, number, request("draft"));
        assert!(sent.is_some(), "the engines have room for draft {number}");
    }
}

fn close(fleet: &mut Fleet, host: usize, number: u64) {
    let request_number = RequestNumber(number);
    fleet.apply(host, Event::RequestClosed { request_number });
}

/// Load: an urgent request waits while less urgent ones arrive, at its host and at others. Before,
/// whichever arrived when room became free took it.
#[test]
fn newcomer_does_not_overtake_a_more_urgent_request_that_waits() {
    struct Case {
        waiting: &'static str,
        newcomer: &'static str,
        newcomer_host: usize,
        is_sent: bool,
    }
    let cases = [
        Case {
            waiting: "check",
            newcomer: "draft",
            newcomer_host: 1,
            is_sent: false,
        },
        Case {
            waiting: "check",
            newcomer: "draft",
            newcomer_host: 2,
            is_sent: false,
        },
        Case {
            waiting: "draft",
            newcomer: "draft",
            newcomer_host: 2,
            is_sent: false,
        },
        Case {
            waiting: "draft",
            newcomer: "check",
            newcomer_host: 2,
            is_sent: true,
        },
    ];
    for case in cases {
        let mut fleet = fleet(3, 1);
        // 20,000 tokens hold five drafts, and a sixth of the largest share.
        fill(&mut fleet, 0, 5);
        let mut waiting = request(case.waiting);
        waiting.prompt_tokens = 4_500;
        assert_eq!(fleet.send_request(1, 1, waiting), None);
        fleet.advance(50);
        close(&mut fleet, 0, 1_000);
        fleet.advance(0);
        // The end of the draft is known to the newcomer's host, but the waiting request is placed
        // only at its host's next tick.
        let now_ms = fleet.now_ms;
        let effects = apply(&mut fleet.hosts[0], now_ms, Event::Tick);
        fleet.execute(0, effects, true);
        let mut newcomer = request(case.newcomer);
        newcomer.prompt_tokens = 2_500;
        let sent = fleet.send_request(case.newcomer_host, 2, newcomer);
        assert_eq!(
            sent.is_some(),
            case.is_sent,
            "{} before {} at host {}",
            case.newcomer,
            case.waiting,
            case.newcomer_host
        );
        fleet.advance(50);
        let is_served = !fleet.dispatched_to(1).is_empty();
        assert_eq!(is_served, !case.is_sent, "the waiting {}", case.waiting);
    }
}

/// Load: a burst of long streams beside short urgent ones. Before, prompts of drafts queued at
/// the engines until their memory was full, and checks waited behind them past their objective.
#[test]
fn burst_of_drafts_leaves_time_for_urgent_prompts() {
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
    // An engine that prefills 10 tokens in a millisecond.
    let mut fleet = fleet(1, 1);
    for number in 0..8 {
        let sent = fleet.send_request(0, number, request("check"));
        assert!(sent.is_some());
        fleet.advance(300);
        let request_number = RequestNumber(number);
        fleet.apply(
            0,
            Event::StreamProgressed {
                request_number,
                events: 1,
            },
        );
        close(&mut fleet, 0, number);
    }
    let drafts: Vec<bool> = (100..104)
        .map(|number| fleet.send_request(0, number, request("draft")).is_some())
        .collect();
    assert_eq!(drafts, [true, true, false, false], "drafts use 0.75 s");
    let check = fleet.send_request(0, 200, request("check"));
    assert!(check.is_some(), "a check begins within its objective");
}

fn draft_claim() -> Claim {
    Claim {
        arrived_ms: START_MS,
        due_ms: START_MS + 4_000,
        deadline_ms: START_MS + 39_000,
        objective_ms: 4_000,
        priority: 2,
        tokens: DRAFT_TOKENS,
        prompt_tokens: 3_000,
        is_continued: false,
        is_over_share: false,
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
    let route = &urgent_checks().routes[0];
    for case in cases {
        let due_ms = due_ms(START_MS, case.time_limit_ms, route);
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
            decision: Decision::Dispatch,
        },
        Case {
            name: "room is free for those before it",
            waited_ms: 0,
            ahead_tokens: 2 * DRAFT_TOKENS,
            free_tokens: 2 * DRAFT_TOKENS,
            fits: true,
            fits_elsewhere: true,
            decision: Decision::Wait,
        },
        Case {
            name: "the own zone stays full",
            waited_ms: 600,
            ahead_tokens: 0,
            free_tokens: 0,
            fits: false,
            fits_elsewhere: true,
            decision: Decision::Dispatch,
        },
        Case {
            name: "room may become free in time",
            waited_ms: 3_000,
            ahead_tokens: 0,
            free_tokens: 0,
            fits: false,
            fits_elsewhere: false,
            decision: Decision::Wait,
        },
        Case {
            name: "its prompt would be read too late",
            waited_ms: 3_800,
            ahead_tokens: 0,
            free_tokens: 0,
            fits: false,
            fits_elsewhere: false,
            decision: Decision::Refuse,
        },
        Case {
            name: "too many come before it",
            waited_ms: 0,
            ahead_tokens: 200_000,
            free_tokens: 0,
            fits: false,
            fits_elsewhere: false,
            decision: Decision::Refuse,
        },
    ];
    for case in cases {
        let contest = Contest {
            supply: Supply {
                fits: case.fits,
                free_tokens: case.free_tokens,
                used_tokens: 100_000,
                targets: 5,
            },
            ahead_tokens: case.ahead_tokens,
            service,
        };
        let now_ms = START_MS + case.waited_ms;
        let decision = decide(now_ms, &draft_claim(), &contest, || case.fits_elsewhere);
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

/// Load: many hosts, each with a request that waits, and one place that becomes free. Before, the
/// hosts that ticked first took it, also for requests that were less urgent.
#[test]
fn one_free_place_goes_to_the_most_urgent_of_many_hosts() {
    let mut fleet = fleet(24, 1);
    fill(&mut fleet, 0, 5);
    for host in 1..24 {
        let is_urgent = host == 17;
        let mut waiting = request(if is_urgent { "check" } else { "draft" });
        waiting.prompt_tokens = 4_500;
        assert_eq!(fleet.send_request(host, host as u64, waiting), None);
    }
    fleet.advance(50);
    close(&mut fleet, 0, 1_000);
    close(&mut fleet, 0, 1_001);
    fleet.advance(100);
    assert_eq!(fleet.dispatched_to(17).len(), 1, "the check gets the place");
    let sent = (1..24).filter(|number| !fleet.dispatched_to(*number).is_empty());
    assert_eq!(sent.count(), 1, "there is room for one");
}

/// Load: the key of one organisation gets much of the traffic. Before, its requests took the room
/// of the others.
#[test]
fn hot_key_takes_from_its_own_organisation() {
    let mut fleet = fleet(3, 1);
    for number in 1_000..1_005 {
        let sent = fleet.send_request(0, number, of_organisation("a", "draft"));
        assert!(sent.is_some());
    }
    // The hot key asks first, and again and again.
    for number in 1..6 {
        let sent = fleet.send_request(1, number, of_organisation("a", "draft"));
        assert_eq!(sent, None);
    }
    fleet.advance(50);
    assert_eq!(
        fleet.send_request(2, 10, of_organisation("b", "draft")),
        None
    );
    assert_eq!(
        fleet.send_request(2, 11, of_organisation("c", "draft")),
        None
    );
    fleet.advance(150);
    for number in [1_000, 1_001] {
        close(&mut fleet, 0, number);
        fleet.advance(100);
    }
    assert_eq!(fleet.dispatched_to(10).len(), 1, "organisation b");
    assert_eq!(fleet.dispatched_to(11).len(), 1, "organisation c");
    let of_hot_key = (1..6).filter(|number| !fleet.dispatched_to(*number).is_empty());
    assert_eq!(of_hot_key.count(), 0);
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

/// Load: an overload that ends. A host that died must not keep others from room by what waited
/// there.
#[test]
fn demand_of_a_silent_host_is_forgotten() {
    let mut fleet = fleet(3, 1);
    fill(&mut fleet, 0, 5);
    let mut waiting = request("check");
    waiting.prompt_tokens = 4_500;
    assert_eq!(fleet.send_request(1, 1, waiting), None);
    fleet.advance(50);
    fleet.silent.insert(1);
    close(&mut fleet, 0, 1_000);
    fleet.advance(100);
    assert_eq!(fleet.send_request(2, 2, request("draft")), None);
    fleet.advance(3_600);
    assert_eq!(fleet.dispatched_to(2).len(), 1);
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
