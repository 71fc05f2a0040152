//! Evacuated availability zones: which targets get requests, and what their callers learn.

mod support;

use indexmap::IndexMap;
use support::evacuation::*;
use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::cold_targets::HEARTBEAT_INTERVAL_MS;
use toucancleat_fleet::config::{ColdBound, FleetConfig};
use toucancleat_fleet::evacuation::RESUMPTION_GRACE_MS;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::TargetEntry;

const EVACUATED: &str = "upp-b";

/// Returns targets of each pool in two zones, of which the second will be evacuated.
fn targets() -> Vec<(&'static str, TargetEntry)> {
    vec![
        ("engine-a", entry("engines", "upp-a", 101)),
        ("engine-b", entry("engines", EVACUATED, 102)),
        ("engine-c", entry("engines", "upp-a", 103)),
        ("roster-a", entry("roster", "upp-a", 201)),
        ("roster-b", entry("roster", EVACUATED, 202)),
    ]
}

fn host_in(zone: &str) -> State {
    let mut host = host_with("host-1", zone, 1, evacuating_config());
    populate(&mut host, START_MS, &targets());
    host
}

/// Returns the targets to which effects send something.
fn used_targets(effects: &[Effect]) -> Vec<String> {
    let used = effects.iter().filter_map(|effect| match effect {
        Effect::Dispatch(dispatch) => Some(dispatch.target.to_string()),
        Effect::Migrate { destination, .. } => Some(destination.to_string()),
        Effect::ProbeTarget { target, .. } => Some(target.to_string()),
        _ => None,
    });
    used.collect()
}

fn end(
    host: &mut State,
    now_ms: u64,
    number: u64,
    outcome: AttemptOutcome,
) -> Vec<Effect> {
    let ended = Event::AttemptEnded {
        request_number: RequestNumber(number),
        outcome,
    };
    apply(host, now_ms, ended)
}

fn leave(host: &mut State, now_ms: u64, target: &str, number: u16) -> Vec<Effect> {
    let store_version = 50 + u64::from(number);
    let leaving = TargetEntry {
        is_leaving: true,
        ..entry("engines", "upp-a", number)
    };
    let reply = Reply::TargetFeed {
        store_version,
        changes: vec![change(target, store_version, Some(leaving))],
    };
    answer(host, now_ms, Query::TargetFeed { after: 10 }, reply)
}

/// Fills the engines of the zone that stays.
fn fill(host: &mut State, now_ms: u64) {
    for number in 100..130 {
        receive_request(host, now_ms, number, incoming_request("draft"));
    }
}

/// Guards against ways around the rule. A host that ignores evacuations sends to the zone in all
/// of them.
#[test]
fn no_way_leads_to_a_target_of_an_evacuated_zone() {
    struct Case {
        name: &'static str,
        /// The zone of the host.
        zone: &'static str,
        before: fn(&mut State),
        /// What happens once the zone is evacuated.
        after: fn(&mut State, u64) -> Vec<Effect>,
        /// Whether something is sent elsewhere.
        is_sent: bool,
    }
    let cases = [
        Case {
            name: "a first attempt",
            zone: EVACUATED,
            before: |_| {},
            after: |host, now_ms| {
                receive_request(host, now_ms, 1, incoming_request("lookup"))
            },
            is_sent: true,
        },
        Case {
            name: "a stream's first attempt",
            zone: EVACUATED,
            before: |_| {},
            after: |host, now_ms| {
                receive_request(host, now_ms, 1, incoming_request("draft"))
            },
            is_sent: true,
        },
        Case {
            name: "a retry after a target has declined",
            zone: "upp-a",
            before: |host| {
                receive_request(host, START_MS, 1, incoming_request("booking"));
            },
            after: |host, now_ms| end(host, now_ms, 1, AttemptOutcome::Declined),
            is_sent: false,
        },
        Case {
            name: "a second choice after a silent one",
            zone: "upp-a",
            before: |host| {
                receive_request(host, START_MS, 1, incoming_request("lookup"));
            },
            after: |host, now_ms| end(host, now_ms, 1, AttemptOutcome::TimedOut),
            is_sent: false,
        },
        Case {
            name: "an interrupted stream that resumes",
            zone: "upp-a",
            before: |host| {
                receive_request(host, START_MS, 1, incoming_request("check"));
            },
            after: |host, now_ms| end(host, now_ms, 1, AttemptOutcome::Interrupted),
            is_sent: true,
        },
        Case {
            name: "requests that were queued before",
            zone: "upp-a",
            before: |host| fill(host, START_MS),
            after: |host, now_ms| {
                let mut effects = apply(host, now_ms, Event::Tick);
                effects.extend(apply(host, now_ms + 250, Event::Tick));
                effects
            },
            is_sent: false,
        },
        Case {
            name: "the planned destination of a migration",
            zone: "upp-a",
            before: |host| {
                // Both runs are at the same engine or at both.
                receive_request(host, START_MS, 1, incoming_request("draft"));
                receive_request(host, START_MS, 2, incoming_request("draft"));
            },
            after: |host, now_ms| {
                let mut effects = leave(host, now_ms, "engine-a", 101);
                effects.extend(leave(host, now_ms, "engine-c", 103));
                effects
            },
            is_sent: true,
        },
        Case {
            name: "another destination of a migration",
            zone: "upp-a",
            before: |host| {
                receive_request(host, START_MS, 1, incoming_request("draft"));
            },
            after: |host, now_ms| {
                let mut effects = Vec::new();
                for _ in 0..3 {
                    let needed = Event::DestinationNeeded {
                        request_number: RequestNumber(1),
                        can_retry_refused: false,
                    };
                    effects.extend(apply(host, now_ms, needed));
                }
                effects
            },
            is_sent: true,
        },
        Case {
            name: "a stream that its caller takes up again",
            zone: EVACUATED,
            before: |host| {
                receive_request(host, START_MS, 1, incoming_request("check"));
                let request_number = RequestNumber(1);
                let first_event = Event::StreamProgressed {
                    request_number,
                    events: 1,
                };
                apply(host, START_MS, first_event);
                apply(host, START_MS, Event::RequestClosed { request_number });
            },
            after: |host, now_ms| {
                let resumption = IncomingRequest {
                    is_resumption: true,
                    resumed_attempt_id: Some("attempt-1".into()),
                    ..incoming_request("check")
                };
                receive_request(host, now_ms, 2, resumption)
            },
            is_sent: true,
        },
        Case {
            name: "a request that a peer has handed off",
            zone: EVACUATED,
            before: |_| {},
            after: |host, now_ms| {
                let handed_off = IncomingRequest {
                    is_handed_off: true,
                    ..incoming_request("lookup")
                };
                receive_request(host, now_ms, 1, handed_off)
            },
            is_sent: true,
        },
        Case {
            name: "probes of a lost path",
            zone: "upp-a",
            before: |host| {
                for number in 1..6 {
                    receive_request(host, START_MS, number, incoming_request("lookup"));
                    end(host, START_MS, number, AttemptOutcome::NotSent);
                    end(host, START_MS, number, AttemptOutcome::NotSent);
                }
            },
            after: |host, now_ms| {
                let ticks = (0..80).map(|tick| now_ms + 25 * tick);
                ticks
                    .flat_map(|at_ms| apply(host, at_ms, Event::Tick))
                    .collect()
            },
            is_sent: true,
        },
    ];
    for case in cases {
        for round in 0..8 {
            let mut host = host_in(case.zone);
            // Hosts draw other random numbers in each round.
            for _ in 0..round {
                receive_request(&mut host, START_MS, 900, incoming_request("lookup"));
                let request_number = RequestNumber(900);
                apply(&mut host, START_MS, Event::RequestClosed { request_number });
            }
            (case.before)(&mut host);
            let now_ms = START_MS + 100;
            read_row(&mut host, now_ms, EVACUATED, 40, true);
            let used = used_targets(&(case.after)(&mut host, now_ms));
            let name = case.name;
            assert!(
                !used.iter().any(|used| used.ends_with("-b")),
                "{name}: {used:?}"
            );
            if case.is_sent {
                assert!(!used.is_empty(), "{name}");
            }
        }
    }
}

/// Guards against a rule that nobody asked for: zones are evacuated only where a deployment
/// bounds that.
#[test]
fn rows_of_evacuations_mean_nothing_without_a_bound() {
    let mut host = empty_host("host-1", EVACUATED, 1);
    populate(&mut host, START_MS, &targets());
    read_row(&mut host, START_MS, EVACUATED, 40, true);
    let used = targets_of(&mut host, START_MS, "lookup");
    assert!(used.contains(&"roster-b".to_owned()), "{used:?}");
}

/// Guards against callers that wait for a zone of which nobody knows when it is taken back, or
/// that learn nothing of when to return.
#[test]
fn a_request_that_only_evacuated_zones_could_run_is_refused_at_once() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        expected: Option<Reason>,
    }
    let cases = [
        Case {
            name: "a zone without the pool's targets",
            evacuated: &["ore-a"],
            expected: None,
        },
        Case {
            name: "all zones of the pool",
            evacuated: &["upp-a", EVACUATED],
            expected: Some(Reason::ZonesEvacuated),
        },
    ];
    for case in cases {
        for kind in ["draft", "check", "booking", "lookup"] {
            let mut host = host_in(EVACUATED);
            for (zone, version) in case.evacuated.iter().zip(40..) {
                read_row(&mut host, START_MS, zone, version, true);
            }
            let effects = receive_request(&mut host, START_MS, 1, incoming_request(kind));
            let refused = refusals(&effects);
            let reason = refused.first().map(|refusal| refusal.reason);
            assert_eq!(reason, case.expected, "{kind}, {}", case.name);
            for refusal in refused {
                assert_eq!(refusal.verdict, Verdict::NotRun);
                assert!(refusal.retry_after_ms >= Some(2_000), "{refusal:?}");
            }
        }
    }
}

/// Guards against a stream that is given up for good though the version that began it is only
/// out of reach for a time.
#[test]
fn a_stream_whose_version_is_evacuated_may_be_taken_up_later() {
    let mut host = host_with("host-1", "upp-a", 1, evacuating_config());
    let first = ("engine-b", entry("engines", EVACUATED, 102));
    populate(&mut host, START_MS, &[first]);
    receive_request(&mut host, START_MS, 1, incoming_request("check"));
    let progressed = Event::StreamProgressed {
        request_number: RequestNumber(1),
        events: 1,
    };
    apply(&mut host, START_MS, progressed);
    let other_version = TargetEntry {
        software_version: Some(SoftwareVersion::new("v2")),
        ..entry("engines", "upp-a", 101)
    };
    let reply = Reply::TargetFeed {
        store_version: 11,
        changes: vec![
            change("engine-a", 11, Some(other_version)),
            change("engine-c", 11, Some(entry("engines", EVACUATED, 103))),
        ],
    };
    answer(&mut host, START_MS, Query::TargetFeed { after: 10 }, reply);
    read_row(&mut host, START_MS, EVACUATED, 40, true);
    let effects = end(&mut host, START_MS, 1, AttemptOutcome::Interrupted);
    let refused = refusals(&effects);
    let reason = refused.first().map(|refusal| refusal.reason);
    assert_eq!(reason, Some(Reason::ZonesEvacuated), "{effects:?}");
    assert!(refused[0].retry_after_ms.is_some());
}

/// Guards against a run that is copied for seconds to a zone that is evacuated meanwhile.
#[test]
fn a_migration_leaves_a_destination_that_is_evacuated() {
    let mut host = host_with("host-1", "upp-a", 1, evacuating_config());
    let targets = [
        ("engine-a", entry("engines", "upp-a", 101)),
        ("engine-b", entry("engines", EVACUATED, 102)),
    ];
    populate(&mut host, START_MS, &targets);
    receive_request(&mut host, START_MS, 1, incoming_request("draft"));
    let moved = used_targets(&leave(&mut host, START_MS, "engine-a", 101));
    assert_eq!(moved, ["engine-b"]);
    let effects = read_row(&mut host, START_MS + 100, EVACUATED, 60, true);
    let leaves = |effect: &Effect| matches!(effect, Effect::LeaveDestination { .. });
    assert_eq!(effects.iter().filter(|effect| leaves(effect)).count(), 1);
    let target = TargetName::new("engine-b");
    // A run that its source has stopped already has no other place.
    let in_grace_ms = START_MS + 100 + RESUMPTION_GRACE_MS - 1;
    assert!(host.permits_resumption(in_grace_ms, &target));
    assert!(!host.permits_resumption(in_grace_ms + 1, &target));
    read_row(&mut host, in_grace_ms + 2, EVACUATED, 61, false);
    assert!(host.permits_resumption(in_grace_ms + 2, &target));
    let taken_back_ms = host.evacuations().taken_back_ms(&ZoneName::new(EVACUATED));
    assert_eq!(taken_back_ms, Some(in_grace_ms + 2));
}

/// Guards against a handoff to a peer that would send the request to the evacuated zone: one of
/// the last release, or one that has missed the evacuation.
#[test]
fn requests_are_handed_off_only_to_peers_that_know_the_evacuation() {
    for is_known in [true, false] {
        let mut fleet = Fleet::new(2, &["upp-a"], &targets());
        let config = if is_known {
            evacuating_config()
        } else {
            default_config()
        };
        let addresses: Vec<_> = (1..=2).map(address).collect();
        let mut hosts = vec![
            host_with("host-01", "upp-a", 1, evacuating_config()),
            host_with("host-02", "upp-a", 2, config),
        ];
        for host in &mut hosts {
            populate(host, fleet.now_ms, &targets());
            let reply = Reply::Hosts(addresses.clone());
            answer(host, fleet.now_ms, Query::Hosts, reply);
            read_row(host, fleet.now_ms, EVACUATED, 40, true);
        }
        fleet.hosts = hosts;
        // The hosts hear each other.
        fleet.advance(1_200);
        // The peer reaches the targets, and the host doesn't.
        fleet.send_request(1, 1, incoming_request("lookup"));
        let answered = AttemptOutcome::Answered { took_ms: 5 };
        let request_number = RequestNumber(1);
        fleet.apply(
            1,
            Event::AttemptEnded {
                request_number,
                outcome: answered,
            },
        );
        fleet.advance(1_200);
        fleet.send_request(0, 2, incoming_request("lookup"));
        fleet.apply(
            0,
            Event::AttemptEnded {
                request_number: RequestNumber(2),
                outcome: AttemptOutcome::NotSent,
            },
        );
        assert_eq!(fleet.handoffs.len(), usize::from(is_known), "{is_known}");
    }
}

/// Returns a fleet with engines in three zones, the hosts in turn, of which the last zone is
/// evacuated.
fn evacuated_fleet(hosts: u16, engines_by_zone: [u16; 3]) -> Fleet {
    let zones = ["upp-a", "vas-a", EVACUATED];
    let mut list = Vec::new();
    for (zone, count) in zones.iter().zip(engines_by_zone) {
        for index in 0..count {
            let number = 100 + list.len() as u16;
            list.push((format!("{zone}-{index}"), entry("engines", zone, number)));
        }
    }
    let list: Vec<(&str, TargetEntry)> = list
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    let mut fleet = Fleet::new(hosts, &zones, &list);
    for index in 0..fleet.hosts.len() {
        let zone = fleet.hosts[index].zone().to_string();
        let number = index as u16 + 1;
        let name = format!("host-{number:02}");
        fleet.hosts[index] = host_with(&name, &zone, number, evacuating_config());
        populate(&mut fleet.hosts[index], fleet.now_ms, &list);
        let addresses = (1..=hosts).map(address).collect();
        let reply = Reply::Hosts(addresses);
        answer(&mut fleet.hosts[index], fleet.now_ms, Query::Hosts, reply);
        read_row(&mut fleet.hosts[index], fleet.now_ms, EVACUATED, 40, true);
    }
    fleet.advance(1_200);
    fleet
}

fn draft(number: u64) -> IncomingRequest {
    IncomingRequest {
        attempt_id: format!("attempt-{number}").into(),
        ..incoming_request("draft")
    }
}

/// Guards against the load of an evacuated zone on a part of the others: it is spread by their
/// targets.
#[test]
fn the_load_of_an_evacuated_zone_is_spread_over_the_others() {
    let engines_by_zone = [4, 8, 4];
    let mut fleet = evacuated_fleet(6, engines_by_zone);
    // Only the callers of the evacuated zone send, as much as a third of the others' room.
    let mut sent = IndexMap::<String, u32>::new();
    for number in 0..24 {
        let host = 2 + 3 * (number as usize % 2);
        let target = fleet.send_request(host, number, draft(number));
        let target = target.expect("room for the request").to_string();
        let zone = target.rsplit_once('-').map(|(zone, _)| zone.to_owned());
        *sent.entry(zone.unwrap_or_default()).or_default() += 1;
    }
    let share = f64::from(sent["upp-a"]) / 24.0;
    assert!((0.2..0.5).contains(&share), "{sent:?}");
    assert!(!sent.contains_key(EVACUATED), "{sent:?}");
}

/// Guards against callers of an evacuated zone that get room before those of the other zones, or
/// are refused more: seen without a preferred zone of their requests, since a host that has no
/// engine in its own zone took each as its last choice, however full the engines were.
#[test]
fn callers_of_an_evacuated_zone_are_served_like_the_others() {
    let mut fleet = evacuated_fleet(12, [6, 6, 6]);
    // 12 engines hold 60 drafts; as many again arrive in turn at the hosts of all zones.
    let mut served = IndexMap::<String, u32>::new();
    for number in 0..120 {
        let host = number as usize % 12;
        let zone = fleet.hosts[host].zone().to_string();
        fleet.send_request(host, number, draft(number));
        served.entry(zone).or_default();
        fleet.advance(25);
    }
    fleet.advance(400);
    for (request_number, _) in &fleet.dispatched {
        let host = request_number.0 as usize % 12;
        let zone = fleet.hosts[host].zone().to_string();
        *served.entry(zone).or_default() += 1;
    }
    let total: u32 = served.values().sum();
    assert!((54..=66).contains(&total), "{served:?}");
    for (zone, count) in &served {
        let share = f64::from(*count) / 40.0;
        assert!((share - 0.5).abs() <= 0.1, "{zone}: {served:?}");
    }
}

/// The targets of a zone that operators take back may have become cold shortly before, and their
/// entries say so only with the next heartbeats.
#[test]
fn targets_of_a_zone_that_is_taken_back_count_as_cold() {
    struct Case {
        name: &'static str,
        cold_bound: Option<ColdBound>,
        after_ms: u64,
        cold_targets: usize,
    }
    let bound = ColdBound {
        overage: 1.5,
        allowance: 5.0,
    };
    let cases = [
        Case {
            name: "at once",
            cold_bound: Some(bound),
            after_ms: 0,
            cold_targets: 2,
        },
        Case {
            name: "after a heartbeat",
            cold_bound: Some(bound),
            after_ms: HEARTBEAT_INTERVAL_MS,
            cold_targets: 0,
        },
        Case {
            name: "without a bound",
            cold_bound: None,
            after_ms: 0,
            cold_targets: 0,
        },
    ];
    for case in cases {
        let config = FleetConfig {
            cold_bound: case.cold_bound,
            ..evacuating_config()
        };
        let mut host = host_with("host-01", "upp-a", 1, config);
        let targets = [
            ("engine-a", entry("engines", "upp-a", 101)),
            ("engine-b", entry("engines", "upp-b", 102)),
            ("roster-b", entry("roster", "upp-b", 103)),
        ];
        populate(&mut host, START_MS, &targets);
        let mut configuration = configuration(2);
        for pool in configuration.pools.values_mut() {
            pool.cold_requests_per_s = Some(2.0);
        }
        let reply = Reply::Configuration(Some(stored(configuration)));
        answer(&mut host, START_MS, Query::Configuration, reply);
        read_row(&mut host, START_MS + 100, "upp-b", 20, true);
        assert_eq!(host.cold_targets(START_MS + 100), 0, "{}", case.name);
        let taken_back_ms = START_MS + 4_000;
        read_row(&mut host, taken_back_ms, "upp-b", 30, false);
        let cold_targets = host.cold_targets(taken_back_ms + case.after_ms);
        assert_eq!(cold_targets, case.cold_targets, "{}", case.name);
    }
}
