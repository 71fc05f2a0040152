//! Streams that callers take up again while targets of several software versions serve.

mod support;

use support::fleet::Fleet;
use support::versions::{engine, host_with_stream, leaving, show};
use support::*;
use toucancleat_core::rng::Rng;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::stream_origin::{
    Evidence, KEEPERS, KEEPERS_ASKED, ORIGINS_MAX, OriginMessage, StreamKey,
    StreamOrigin, StreamOrigins,
};
use toucancleat_fleet::target::TargetEntry;

/// Time for hosts to look up which version began a stream, and to answer.
const LOOKUP_MS: u64 = 250;

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
    /// The callers move to another zone, and theirs loses power.
    ZoneKilled,
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
        case(
            "the zone of 8 hosts is killed",
            8,
            Disturbance::ZoneKilled,
            95,
        ),
        case(
            "the zone of 61 hosts is killed",
            61,
            Disturbance::ZoneKilled,
            95,
        ),
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
        fleet.apply(host, first_event(number));
        began_at.push(version_of(&target));
        fleet.advance(25);
    }
    let told = fleet.origin_messages;
    let told_max = 2 * KEEPERS * STREAMS as usize;
    assert!(told <= told_max, "{}: {told} messages", case.name);
    disturb(&mut fleet, case, beginners, &targets, &mut rng);
    let receivers: Vec<usize> = (0..usize::from(case.hosts))
        .filter(|host| !fleet.silent.contains(host))
        .filter(|host| match case.disturbance {
            Disturbance::CallersMoved | Disturbance::ZoneKilled => host % 4 != 0,
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
    let sent = fleet.origin_messages - told;
    let sent_max = (4 * KEEPERS_ASKED + 2 * KEEPERS) * STREAMS as usize;
    assert!(sent <= sent_max, "{}: {sent} messages", case.name);
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
        Disturbance::ZoneKilled => {
            let zone = (0..usize::from(case.hosts)).step_by(4);
            fleet.silent.extend(zone);
        }
        Disturbance::BeginnersKilled => {}
    }
    fleet.silent.extend(beginners.iter().copied());
}

/// Returns the first event of a stream.
fn first_event(number: u64) -> Event {
    Event::StreamProgressed {
        request_number: RequestNumber(number),
        events: 1,
    }
}

fn resumption(resumed_attempt_id: Option<&str>) -> IncomingRequest {
    IncomingRequest {
        resumed_attempt_id: resumed_attempt_id.map(Into::into),
        is_resumption: true,
        ..incoming_request("check")
    }
}

/// What happens while a host runs that knows one engine, with v1.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// An engine with another version joins.
    OtherJoins,
    /// It leaves.
    OtherLeaves,
    /// The timeout of the routes changes.
    Timeout(u64),
    /// The routes lead to another pool, or back.
    Pool(&'static str),
}

/// A stream of which no host knows where it began continues only if its pool has had a single
/// version, and its route that pool, for longer than any stream can be taken up. What was before
/// the start of the host isn't known: all hosts may have been killed.
#[test]
fn a_stream_of_unknown_origin_continues_only_at_a_sole_version() {
    struct Case {
        name: &'static str,
        changes: &'static [(u64, Change)],
        /// When the host list is last confirmed.
        confirmed_ms: u64,
        /// When the caller takes up the stream.
        resumed_ms: u64,
        continues: bool,
    }
    let case = |name, changes, resumed_ms, continues| Case {
        name,
        changes,
        confirmed_ms: resumed_ms - 100,
        resumed_ms,
        continues,
    };
    use Change::{OtherJoins, OtherLeaves, Pool, Timeout};
    let cases = [
        case("one version for long", &[], 70_000, true),
        case("the host has just started", &[], 20_000, false),
        case("another joins", &[(69_000, OtherJoins)], 70_000, false),
        case(
            "another was there until lately",
            &[(1_000, OtherJoins), (59_000, OtherLeaves)],
            70_000,
            false,
        ),
        case(
            "another was there long ago",
            &[(1_000, OtherJoins), (7_000, OtherLeaves)],
            70_000,
            true,
        ),
        case(
            "the timeout was shortened",
            &[
                (0, Timeout(60_000)),
                (1_000, OtherJoins),
                (7_000, OtherLeaves),
                (8_000, Timeout(1_500)),
            ],
            100_000,
            false,
        ),
        case(
            "the timeout was shortened long ago",
            &[(0, Timeout(60_000)), (8_000, Timeout(1_500))],
            130_000,
            true,
        ),
        case(
            "the route was moved lately",
            &[(0, Pool("roster")), (60_000, Pool("engines"))],
            70_000,
            false,
        ),
        case(
            "the route was moved long ago",
            &[(0, Pool("roster")), (5_000, Pool("engines"))],
            70_000,
            true,
        ),
        Case {
            name: "the host list is old",
            changes: &[],
            confirmed_ms: 67_000,
            resumed_ms: 70_000,
            continues: false,
        },
    ];
    for case in cases {
        let mut host = empty_host("host-01", "upp-a", 1);
        let known = [("engine-1", engine("upp-a", 101, "v1"))];
        populate(&mut host, START_MS, &known);
        apply(&mut host, START_MS, Event::Tick);
        let mut changed = configuration(1);
        for (version, (at_ms, change)) in (11..).zip(case.changes) {
            let now_ms = START_MS + at_ms;
            match change {
                OtherJoins => {
                    let other = engine("upp-a", 102, "v1.1");
                    show(&mut host, now_ms, version, &[("engine-2", Some(other))]);
                }
                OtherLeaves => show(&mut host, now_ms, version, &[("engine-2", None)]),
                Timeout(timeout_ms) => {
                    for route in &mut changed.routes {
                        route.timeout_ms = *timeout_ms;
                    }
                }
                Pool(pool) => {
                    for route in &mut changed.routes {
                        route.weighted_pools[0].pool = PoolName::new(pool);
                    }
                }
            }
            changed.version = version;
            let reply = Reply::Configuration(Some(stored(changed.clone())));
            answer(&mut host, now_ms, Query::Configuration, reply);
            apply(&mut host, now_ms, Event::Tick);
        }
        show(&mut host, START_MS + case.confirmed_ms, 50, &[]);
        let now_ms = START_MS + case.resumed_ms;
        // A call that was made earlier confirms less.
        for _ in 0..2 {
            let reply = Reply::Configuration(Some(stored(changed.clone())));
            answer(&mut host, now_ms, Query::Configuration, reply);
        }
        for id in [None, Some("attempt-of-a-host-that-is-gone")] {
            let effects = receive_request(&mut host, now_ms, 5, resumption(id));
            let is_sent = !dispatches(&effects).is_empty();
            assert_eq!(is_sent, case.continues, "{}", case.name);
            let refused = refusals(&effects);
            assert_eq!(refused.is_empty(), case.continues, "{}", case.name);
            for refusal in refused {
                assert_eq!(refusal.reason, Reason::UnknownStream, "{}", case.name);
                assert_eq!(refusal.verdict, Verdict::NotRun, "{}", case.name);
            }
            let request_number = RequestNumber(5);
            apply(&mut host, now_ms, Event::RequestClosed { request_number });
        }
    }
}

/// All hosts lose power at once while engines of two versions serve, or when those of the old one
/// have just left, and callers take up their streams at the hosts that come back. Nobody knows
/// which version began them, so none may continue.
#[test]
fn no_stream_continues_at_a_guessed_version_after_all_hosts_were_killed() {
    struct Case {
        name: &'static str,
        hosts: u16,
        /// The versions that the list has when the hosts are back.
        versions_left: &'static [&'static str],
        /// The timeout of the route when the hosts are back; callers still wait for 6 s.
        timeout_ms: u64,
    }
    let case = |name, hosts, versions_left, timeout_ms| Case {
        name,
        hosts,
        versions_left,
        timeout_ms,
    };
    let both: &[&str] = &["v1", "v1.1"];
    let new: &[&str] = &["v1.1"];
    let cases = [
        case("8 hosts, both versions", 8, both, 6_000),
        case("8 hosts, the new one", 8, new, 6_000),
        case("61 hosts, the new one", 61, new, 6_000),
        case("a timeout was shortened meanwhile", 8, new, 1_500),
    ];
    // The callers' streams began at most 6 s before.
    const RESUMED_MS: [u64; 5] = [600, 1_200, 3_200, 4_500, 5_900];
    for case in cases {
        let engines: Vec<(String, TargetEntry)> = engines()
            .into_iter()
            .filter(|(_, entry)| {
                let version = entry.software_version.as_ref();
                version.is_some_and(|v| case.versions_left.contains(&v.as_str()))
            })
            .collect();
        let targets: Vec<(&str, TargetEntry)> = engines
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.clone()))
            .collect();
        let mut fleet = Fleet::new(case.hosts, &ZONES, &targets);
        for host in 0..usize::from(case.hosts) {
            fleet.restart(host, &targets);
        }
        let restarted_ms = fleet.now_ms;
        for host in 0..usize::from(case.hosts) {
            let mut changed = configuration(2);
            for route in &mut changed.routes {
                route.timeout_ms = case.timeout_ms;
            }
            let reply = Reply::Configuration(Some(stored(changed)));
            answer(
                &mut fleet.hosts[host],
                restarted_ms,
                Query::Configuration,
                reply,
            );
        }
        for (number, resumed_ms) in (0..).zip(RESUMED_MS) {
            fleet.advance(restarted_ms + resumed_ms - fleet.now_ms);
            for host in [0, usize::from(case.hosts) - 1] {
                // The list is confirmed as by the reader of the store.
                let now_ms = fleet.now_ms;
                show(&mut fleet.hosts[host], now_ms, 20 + number, &[]);
                let id = format!("before-{number}");
                let request = 2 * number + u64::from(host > 0);
                fleet.send_request(host, request, resumption(Some(&id)));
                fleet.advance(LOOKUP_MS);
                let sent = fleet.dispatched_to(request);
                assert!(sent.is_empty(), "{}, after {resumed_ms} ms", case.name);
                assert!(
                    fleet.is_refused(request),
                    "{}, after {resumed_ms} ms",
                    case.name
                );
            }
        }
    }
}

/// A host begins a stream at a version that has just appeared. The caller takes it up at a host
/// that has not heard of that version, and knows another as the only one.
#[test]
fn keepers_are_asked_before_a_sole_version_is_assumed() {
    let old = [("engine-1", engine("upp-a", 101, "v1"))];
    let mut fleet = Fleet::new(8, &ZONES, &old);
    for _ in 0..70 {
        fleet.advance(1_000);
    }
    let now_ms = fleet.now_ms;
    let new = engine("upp-a", 102, "v1.1");
    // The new engine is the only one with room for new streams.
    let changes = [
        ("engine-2", Some(new)),
        ("engine-1", Some(leaving(&engine("upp-a", 101, "v1")))),
    ];
    show(&mut fleet.hosts[0], now_ms, 11, &changes);
    let incoming = IncomingRequest {
        attempt_id: "first".into(),
        ..incoming_request("check")
    };
    let target = fleet.send_request(0, 1, incoming);
    assert_eq!(target, Some(TargetName::new("engine-2")));
    fleet.apply(0, first_event(1));
    for host in 1..8 {
        show(&mut fleet.hosts[host], now_ms, 10, &[]);
        let number = 10 + host as u64;
        fleet.send_request(host, number, resumption(Some("first")));
        fleet.advance(LOOKUP_MS);
        let sent = fleet.dispatched_to(number);
        let is_old = sent.contains(&TargetName::new("engine-1"));
        assert!(
            !is_old,
            "host {host} continues at the version that it knows"
        );
    }
}

/// A caller whose stream can't continue is told at once, and to begin anew instead of to wait.
#[test]
fn a_resumption_is_refused_at_once_when_its_version_is_gone() {
    let mut host = host_with_stream("check", 1, "v1", &[("engine-2", "v1.1")]);
    show(&mut host, START_MS, 12, &[("engine-1", None)]);
    let effects = receive_request(&mut host, START_MS, 2, resumption(Some("attempt-1")));
    assert!(dispatches(&effects).is_empty());
    let refused = refusals(&effects);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].reason, Reason::VersionGone);
    assert_eq!(refused[0].retry_after_ms, None);
}

/// The route sends its requests to two pools. A stream continues at the pool that began it.
#[test]
fn a_resumed_stream_continues_at_the_pool_that_began_it() {
    let mut host = empty_host("host-01", "upp-a", 1);
    let other_pool = TargetEntry {
        pool: PoolName::new("other-engines"),
        ..engine("upp-a", 102, "v1")
    };
    let engines = [
        ("engine-1", engine("upp-a", 101, "v1")),
        ("engine-2", other_pool),
    ];
    populate(&mut host, START_MS, &engines);
    let mut split = configuration(2);
    let engine = split.pools[0].clone();
    split.pools.insert(PoolName::new("other-engines"), engine);
    for route in &mut split.routes {
        let mut other = route.weighted_pools[0].clone();
        other.pool = PoolName::new("other-engines");
        route.weighted_pools.push(other);
    }
    let reply = Reply::Configuration(Some(stored(split)));
    answer(&mut host, START_MS, Query::Configuration, reply);
    for number in 0..40 {
        let incoming = IncomingRequest {
            attempt_id: format!("first-{number}").into(),
            ..incoming_request("check")
        };
        let began = receive_request(&mut host, START_MS, 2 * number, incoming);
        apply(&mut host, START_MS, first_event(2 * number));
        let id = format!("first-{number}");
        let resumed =
            receive_request(&mut host, START_MS, 2 * number + 1, resumption(Some(&id)));
        assert_eq!(
            dispatches(&began)[0].target,
            dispatches(&resumed)[0].target,
            "{number}"
        );
        for request_number in [2 * number, 2 * number + 1].map(RequestNumber) {
            apply(&mut host, START_MS, Event::RequestClosed { request_number });
        }
    }
}

/// An organisation must not learn or continue what another one's caller has begun, although
/// callers choose the ids of their attempts.
#[test]
fn streams_of_organisations_are_distinct() {
    let depot = OrganisationName::new("depot");
    let mill = OrganisationName::new("mill");
    let key = StreamKey::new(Some(&depot), "attempt-1");
    assert_eq!(key, StreamKey::new(Some(&depot), "attempt-1"));
    assert_ne!(key, StreamKey::new(Some(&mill), "attempt-1"));
    assert_ne!(key, StreamKey::new(None, "attempt-1"));
    assert_ne!(key, StreamKey::new(Some(&depot), "attempt-2"));
}

/// Messages may be lost, late or repeated.
#[test]
fn kept_origins_expire_and_are_bounded() {
    let origin = |version| StreamOrigin {
        pool: PoolName::new("engines"),
        version: SoftwareVersion::new(version),
    };
    let key = |n: usize| StreamKey::new(None, &n.to_string());
    let proof = Evidence::FirstEvent;
    let mut origins = StreamOrigins::default();
    origins.keep(0, key(0), origin("v1"), proof, 5_000);
    origins.keep(3, key(0), origin("v1"), proof, 5_000);
    assert_eq!(origins.get(5_002, key(0)), Some(&origin("v1")));
    assert_eq!(origins.get(5_003, key(0)), None, "its time has passed");
    origins.keep(5_003, key(0), origin("v2"), proof, 5_000);
    assert_eq!(origins.get(5_004, key(0)), Some(&origin("v2")));
    for n in 0..2 * ORIGINS_MAX {
        origins.keep(10, key(n), origin("v1"), proof, u64::MAX);
    }
    assert!(origins.len() <= ORIGINS_MAX);
    let newest = origins.get(11, key(2 * ORIGINS_MAX - 1));
    assert_eq!(newest, Some(&origin("v1")), "the newest is kept");
}

/// Answers of hosts that were not asked, and repeated ones, end no look-up.
#[test]
fn a_look_up_ends_with_the_origin_or_the_last_answer() {
    let key = StreamKey::new(None, "attempt-1");
    let request = RequestNumber(1);
    let asked = [address(1), address(2)];
    struct Case {
        name: &'static str,
        /// Host that answers, and whether it knows the origin.
        answers: &'static [(u16, bool)],
        ends: bool,
    }
    let cases = [
        Case {
            name: "the first knows it",
            answers: &[(1, true)],
            ends: true,
        },
        Case {
            name: "one of two doesn't",
            answers: &[(1, false)],
            ends: false,
        },
        Case {
            name: "one of two doesn't, twice",
            answers: &[(1, false), (1, false)],
            ends: false,
        },
        Case {
            name: "neither does",
            answers: &[(1, false), (2, false)],
            ends: true,
        },
        Case {
            name: "a host that was not asked",
            answers: &[(3, true)],
            ends: false,
        },
    ];
    for case in cases {
        let mut origins = StreamOrigins::default();
        origins.begin_lookup(0, request, key, asked.to_vec());
        let mut ended = Vec::new();
        for (host, is_known) in case.answers {
            ended.extend(origins.record_answer(address(*host), key, *is_known));
        }
        assert_eq!(!ended.is_empty(), case.ends, "{}", case.name);
        let timed_out = origins.expire(1_000);
        assert_eq!(timed_out.is_empty(), case.ends, "{}", case.name);
    }
}

/// A look-up that no keeper answers ends soon; the caller isn't kept waiting.
#[test]
fn a_resumption_that_no_keeper_answers_is_refused_soon() {
    let engines = engines();
    let targets: Vec<(&str, TargetEntry)> = engines
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    let mut fleet = Fleet::new(8, &ZONES, &targets);
    fleet.silent.extend(1..8);
    fleet.send_request(0, 1, resumption(Some("attempt-of-a-host-that-is-gone")));
    assert!(!fleet.is_refused(1), "keepers are asked");
    fleet.advance(LOOKUP_MS);
    assert!(fleet.is_refused(1));
    assert!(fleet.dispatched_to(1).is_empty());
    // An answer that comes later has no effect.
    let key = StreamKey::new(
        Some(&OrganisationName::new("depot")),
        "attempt-of-a-host-that-is-gone",
    );
    let origin = StreamOrigin {
        pool: PoolName::new("engines"),
        version: SoftwareVersion::new("v1"),
    };
    let message = OriginMessage::Reply {
        key,
        origin: Some(origin),
    };
    let from = address(2);
    fleet.apply(0, Event::OriginMessageReceived { from, message });
    assert!(fleet.dispatched_to(1).is_empty());
}

/// Guards against streams that a host out of step continues at another version: one that was cut
/// off from its peers or stood still while targets of a new version joined and began streams
/// through other hosts. It knew the version before as the only one, and no keeper to ask.
#[test]
fn a_host_out_of_step_does_not_guess_the_version_that_began_a_stream() {
    struct Case {
        name: &'static str,
        /// Time for which the host is out of step.
        out_of_step_ms: u64,
        /// Whether it runs and is cut off, or stands still.
        is_cut_off: bool,
        /// Time from its return until the callers take their streams up there.
        returned_ms: u64,
    }
    let cases = [
        Case {
            name: "cut off for a moment",
            out_of_step_ms: 500,
            is_cut_off: true,
            returned_ms: 0,
        },
        Case {
            name: "cut off until its peers count as silent",
            out_of_step_ms: 1_500,
            is_cut_off: true,
            returned_ms: 0,
        },
        Case {
            name: "stands still for a moment",
            out_of_step_ms: 400,
            is_cut_off: false,
            returned_ms: 0,
        },
        Case {
            name: "stands still until its peers count as silent",
            out_of_step_ms: 1_500,
            is_cut_off: false,
            returned_ms: 0,
        },
        Case {
            name: "stands still for seconds",
            out_of_step_ms: 4_000,
            is_cut_off: false,
            returned_ms: 50,
        },
    ];
    for case in cases {
        let old = [("engine-1", engine("upp-a", 101, "v1"))];
        let mut fleet = Fleet::new(8, &ZONES, &old);
        fleet.host_list =
            Some((10, vec![change("engine-1", 10, Some(old[0].1.clone()))]));
        for _ in 0..70 {
            fleet.advance(1_000);
        }
        let out_of_step = 5;
        let disturbed = if case.is_cut_off {
            &mut fleet.isolated
        } else {
            &mut fleet.silent
        };
        disturbed.insert(out_of_step);
        let now_ms = fleet.now_ms;
        let new = engine("upp-a", 102, "v1.1");
        // The new engine is the only one with room for new streams.
        let changes = [
            ("engine-2", Some(new)),
            ("engine-1", Some(leaving(&engine("upp-a", 101, "v1")))),
        ];
        show(&mut fleet.hosts[0], now_ms, 11, &changes);
        let incoming = IncomingRequest {
            attempt_id: "first".into(),
            ..incoming_request("check")
        };
        let target = fleet.send_request(0, 1, incoming);
        assert_eq!(target, Some(TargetName::new("engine-2")), "{}", case.name);
        fleet.apply(0, first_event(1));
        fleet.advance(case.out_of_step_ms);
        if !case.is_cut_off {
            fleet.silent.swap_remove(&out_of_step);
            fleet.advance(case.returned_ms);
        }
        fleet.send_request(out_of_step, 2, resumption(Some("first")));
        fleet.advance(LOOKUP_MS);
        let sent = fleet.dispatched_to(2);
        let is_old = sent.contains(&TargetName::new("engine-1"));
        assert!(!is_old, "{}", case.name);
    }
}
