//! Streams while targets of several software versions serve side by side.

mod support;

use support::fleet::Fleet;
use support::*;
use toucancleat_core::rng::Rng;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::target::TargetEntry;

/// Time for hosts to look up which version began a stream, and to answer.
const LOOKUP_MS: u64 = 250;

/// Returns an engine with a version of its software.
fn engine(zone: &str, number: u16, version: &str) -> TargetEntry {
    TargetEntry {
        software_version: Some(SoftwareVersion::new(version)),
        ..entry("engines", zone, number)
    }
}

fn leaving(entry: &TargetEntry) -> TargetEntry {
    TargetEntry {
        is_leaving: true,
        ..entry.clone()
    }
}

/// Sends a stream to the only engine, and lets it deliver events. Then the other engines join.
fn host_with_stream(
    kind: &str,
    events: u64,
    version: &str,
    others: &[(&str, &str)],
) -> State {
    let mut host = empty_host("host-01", "upp-a", 1);
    populate(
        &mut host,
        START_MS,
        &[("engine-1", engine("upp-a", 101, version))],
    );
    let effects = receive_request(&mut host, START_MS, 1, incoming_request(kind));
    assert_eq!(dispatches(&effects).len(), 1);
    apply(
        &mut host,
        START_MS,
        Event::StreamProgressed {
            request_number: RequestNumber(1),
            events,
        },
    );
    let joining: Vec<_> = (102..)
        .zip(others)
        .map(|(number, (name, version))| {
            change(name, 11, Some(engine("upp-a", number, version)))
        })
        .collect();
    let reply = toucancleat_fleet::store::Reply::TargetFeed {
        store_version: 11,
        changes: joining,
    };
    let query = toucancleat_fleet::store::Query::TargetFeed { after: 10 };
    answer(&mut host, START_MS, query, reply);
    host
}

/// Guards against streams that continue at another version of their target's software: a
/// planned migration chose any engine of the pool.
#[test]
fn a_run_migrates_only_to_the_version_that_began_it() {
    struct Case {
        name: &'static str,
        others: &'static [(&'static str, &'static str)],
        destination: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "another version is emptier",
            others: &[
                ("engine-2", "v1.1"),
                ("engine-3", "v1"),
                ("engine-4", "v1.1"),
            ],
            destination: Some("engine-3"),
        },
        Case {
            name: "a version that sorts before",
            others: &[("engine-2", "v0.9"), ("engine-3", "v1")],
            destination: Some("engine-3"),
        },
        Case {
            name: "only other versions are left",
            others: &[("engine-2", "v1.1"), ("engine-3", "v2")],
            destination: None,
        },
    ];
    for case in cases {
        let mut host = host_with_stream("draft", 2, "v1", case.others);
        let source = leaving(&engine("upp-a", 101, "v1"));
        let reply = toucancleat_fleet::store::Reply::TargetFeed {
            store_version: 12,
            changes: vec![change("engine-1", 12, Some(source))],
        };
        let query = toucancleat_fleet::store::Query::TargetFeed { after: 11 };
        let planned = answer(&mut host, START_MS, query, reply);
        assert_eq!(migrations(&planned), case.destination, "{}", case.name);
        // The destination refuses the run, or there was none.
        for can_retry_refused in [false, true] {
            let event = Event::DestinationNeeded {
                request_number: RequestNumber(1),
                can_retry_refused,
            };
            let chosen = apply(&mut host, START_MS, event);
            let expected = case.destination.filter(|_| can_retry_refused);
            assert_eq!(migrations(&chosen), expected, "{}", case.name);
        }
    }
}

/// Returns the destination of a migration among effects.
fn migrations(effects: &[Effect]) -> Option<&str> {
    effects.iter().find_map(|effect| match effect {
        Effect::Migrate { destination, .. } => Some(destination.as_str()),
        _ => None,
    })
}

/// Guards against streams that continue at another version of their target's software: an
/// interrupted one was retried at any target of the pool.
#[test]
fn an_interrupted_stream_is_retried_only_at_the_version_that_began_it() {
    struct Case {
        name: &'static str,
        events: u64,
        others: &'static [(&'static str, &'static str)],
        retried_at: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "one engine of the version is left",
            events: 1,
            others: &[("engine-2", "v1.1"), ("engine-3", "v1"), ("engine-4", "v2")],
            retried_at: Some("engine-3"),
        },
        Case {
            name: "none of the version is left",
            events: 1,
            others: &[("engine-2", "v1.1"), ("engine-4", "v2")],
            retried_at: None,
        },
        Case {
            name: "the caller has received no event",
            events: 0,
            others: &[("engine-2", "v1.1")],
            retried_at: Some("engine-2"),
        },
    ];
    for case in cases {
        let mut host = host_with_stream("check", case.events, "v1", case.others);
        let event = Event::AttemptEnded {
            request_number: RequestNumber(1),
            outcome: AttemptOutcome::Interrupted,
        };
        let effects = apply(&mut host, START_MS + 20, event);
        let retried_at = dispatches(&effects)
            .first()
            .map(|sent| sent.target.to_string());
        assert_eq!(retried_at.as_deref(), case.retried_at, "{}", case.name);
        let refused = refusals(&effects).len();
        assert_eq!(refused == 1, case.retried_at.is_none(), "{}", case.name);
    }
}

/// What happens between the first event of the streams and their resumption.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    /// The hosts that began the streams are killed.
    BeginnersKilled,
    /// The same, and so are two in five of the others.
    ManyKilled,
    /// The same as the first, and the zone of the callers is cut off from the others.
    ZoneCutOff,
    /// The callers move to another zone, and theirs is cut off.
    CallersMoved,
    /// All hosts lose power; they know nothing of the streams.
    AllRestarted,
}

struct ResumptionCase {
    name: &'static str,
    hosts: u16,
    disturbance: Disturbance,
    /// Least number of the streams that continue, in a hundred.
    continued_min: usize,
}

/// Guards against streams that continue at another version of their target's software: a
/// caller that resumes a stream, at any host, was sent to any target.
#[test]
fn a_stream_resumed_at_any_host_continues_only_at_the_version_that_began_it() {
    let case = |name, hosts, disturbance, continued_min| ResumptionCase {
        name,
        hosts,
        disturbance,
        continued_min,
    };
    let cases = [
        case("8 hosts", 8, Disturbance::BeginnersKilled, 90),
        case("61 hosts", 61, Disturbance::BeginnersKilled, 90),
        case("195 hosts", 195, Disturbance::BeginnersKilled, 90),
        case("many of 8 killed", 8, Disturbance::ManyKilled, 50),
        case("many of 61 killed", 61, Disturbance::ManyKilled, 50),
        case("the zone is cut off", 61, Disturbance::ZoneCutOff, 50),
        case("the callers move", 61, Disturbance::CallersMoved, 50),
        case("all of 8 restarted", 8, Disturbance::AllRestarted, 0),
        case("all of 61 restarted", 61, Disturbance::AllRestarted, 0),
    ];
    for case in cases {
        check_resumption(&case);
    }
}

const ZONES: [&str; 4] = ["upp-a", "upp-b", "vas-a", "ore-a"];

/// Returns engines of two versions in each zone.
fn engines() -> Vec<(String, TargetEntry)> {
    let mut engines = Vec::new();
    for (number, zone) in (101..).step_by(4).zip(ZONES) {
        for (offset, version) in (0..).zip(["v1", "v1", "v1.1", "v1.1"]) {
            let number: u16 = number + offset;
            engines.push((format!("engine-{number}"), engine(zone, number, version)));
        }
    }
    engines
}

fn check_resumption(case: &ResumptionCase) {
    const STREAMS: u64 = 40;
    let mut rng = Rng::new(11);
    let engines = engines();
    let targets: Vec<(&str, TargetEntry)> = engines
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    let version_of = |target: &TargetName| {
        let listed = engines.iter().find(|(name, _)| name == target.as_str());
        listed.and_then(|(_, entry)| entry.software_version.clone())
    };
    let mut fleet = Fleet::new(case.hosts, &ZONES, &targets);
    // One host in four of the first zone begins the streams, one at least.
    let in_first_zone: Vec<usize> = (0..usize::from(case.hosts)).step_by(4).collect();
    let beginners = &in_first_zone[..in_first_zone.len().div_ceil(4)];
    let mut began_at = Vec::new();
    for number in 0..STREAMS {
        let host = beginners[number as usize % beginners.len()];
        let incoming = IncomingRequest {
            attempt_id: format!("first-{number}").into(),
            prompt_tokens: 100,
            ..incoming_request("check")
        };
        let target = fleet
            .send_request(host, number, incoming)
            .expect("a target");
        fleet.apply(
            host,
            Event::StreamProgressed {
                request_number: RequestNumber(number),
                events: 1,
            },
        );
        began_at.push(version_of(&target));
        fleet.advance(25);
    }
    disturb(&mut fleet, case, beginners, &targets, &mut rng);
    let receivers: Vec<usize> = (0..usize::from(case.hosts))
        .filter(|host| !fleet.silent.contains(host))
        .filter(|host| match case.disturbance {
            Disturbance::CallersMoved => host % 4 != 0,
            Disturbance::AllRestarted => true,
            _ => host % 4 == 0,
        })
        .collect();
    for number in 0..STREAMS {
        let host = receivers[rng.below(receivers.len())];
        let incoming = IncomingRequest {
            attempt_id: format!("second-{number}").into(),
            prompt_tokens: 100,
            resumed_attempt_id: Some(format!("first-{number}").into()),
            is_resumption: true,
            ..incoming_request("check")
        };
        fleet.send_request(host, STREAMS + number, incoming);
    }
    fleet.advance(LOOKUP_MS);
    let mut continued = 0;
    for (number, began_at) in (0..STREAMS).zip(&began_at) {
        let request_number = STREAMS + number;
        let sent: Vec<_> = fleet.dispatched_to(request_number);
        for target in &sent {
            assert_eq!(version_of(target), *began_at, "{}: {number}", case.name);
        }
        continued += usize::from(!sent.is_empty());
        // A caller is told at once if its stream can't continue.
        let is_answered = !sent.is_empty() || fleet.is_refused(request_number);
        assert!(is_answered, "{}: {number}", case.name);
    }
    let share = 100 * continued / STREAMS as usize;
    assert!(
        share >= case.continued_min,
        "{}: {share} in a hundred",
        case.name
    );
}

fn disturb(
    fleet: &mut Fleet,
    case: &ResumptionCase,
    beginners: &[usize],
    targets: &[(&str, TargetEntry)],
    rng: &mut Rng,
) {
    match case.disturbance {
        Disturbance::AllRestarted => {
            for host in 0..usize::from(case.hosts) {
                fleet.restart(host, targets);
            }
            return fleet.advance(1_200);
        }
        Disturbance::ManyKilled => {
            for host in 0..usize::from(case.hosts) {
                if rng.below(5) < 2 {
                    fleet.silent.insert(host);
                }
            }
            // The platform sends callers to the hosts of their zone that are left.
            if let Some(spared) = (0..usize::from(case.hosts))
                .step_by(4)
                .find(|host| !beginners.contains(host))
            {
                fleet.silent.swap_remove(&spared);
            }
        }
        Disturbance::ZoneCutOff | Disturbance::CallersMoved => {
            fleet
                .isolated
                .extend((0..usize::from(case.hosts)).step_by(4));
        }
        Disturbance::BeginnersKilled => {}
    }
    fleet.silent.extend(beginners.iter().copied());
}
