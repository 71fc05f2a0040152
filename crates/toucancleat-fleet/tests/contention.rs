//! The order in which requests get room while there is too little for all.

mod support;

use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::claim::{Claim, Rank};
use toucancleat_fleet::config::FleetConfig;
use toucancleat_fleet::contention::{Contention, DemandReport};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::target::TargetEntry;

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

/// Load: an overload that ends. A host that died must not keep others from room by what waited
/// there.
#[test]
fn demand_of_a_silent_host_is_forgotten() {
    for (silent_ms, is_sent) in [(100, false), (3_700, true)] {
        let mut fleet = fleet(3, 1);
        fill(&mut fleet, 0, 5);
        let mut waiting = request("check");
        waiting.prompt_tokens = 4_500;
        assert_eq!(fleet.send_request(1, 1, waiting), None);
        fleet.advance(50);
        fleet.silent.insert(1);
        close(&mut fleet, 0, 1_000);
        fleet.advance(silent_ms);
        let sent = fleet.send_request(2, 2, request("draft"));
        assert_eq!(sent.is_some(), is_sent, "after {silent_ms} ms");
    }
}

/// A damaged message of a peer may report the highest numbers, of several ranks.
#[test]
fn highest_numbers_of_a_peer_are_added_up() {
    let claim = Claim {
        arrived_ms: 0,
        due_ms: 1_500,
        deadline_ms: 6_000,
        objective_ms: 1_500,
        first_event_ms: 400,
        priority: 1,
        tokens: 3_000,
        prompt_tokens: 3_000,
        is_continued: false,
        is_over_share: false,
    };
    let pool = PoolName::new("engines");
    let zone = ZoneName::new("upp-a");
    let rank = claim.rank(0, None);
    let report = DemandReport {
        waiting_tokens: vec![
            (pool.clone(), Rank::default(), u64::MAX),
            (pool.clone(), rank, u64::MAX),
        ],
        ..DemandReport::default()
    };
    let mut contention = Contention::default();
    contention.record_report(0, &HostName::new("host-2"), &zone, &report);
    assert_eq!(contention.waiting_tokens(&zone, &pool, rank), u64::MAX);
}
