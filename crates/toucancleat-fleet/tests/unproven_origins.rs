//! Attempts that brought no event of a stream which began at another software version.

mod support;

use support::fleet::Fleet;
use support::versions::engine;
use support::*;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::stream_origin::{
    Evidence, StreamKey, StreamOrigin, StreamOrigins,
};
use toucancleat_fleet::target::TargetEntry;

/// Time for hosts to look up which version began a stream, and to answer.
const LOOKUP_MS: u64 = 250;

const OLD: &str = "v4.1";
const NEW: &str = "v4.2";

/// Six hosts of the first zone and one of the second.
const ZONES: [&str; 7] = [
    "upp-a", "upp-a", "upp-a", "upp-a", "upp-a", "upp-a", "upp-b",
];
const PEER: usize = 6;

/// Returns engines of the old version in the first zone, and of the new one in the second.
fn engines() -> Vec<(&'static str, TargetEntry)> {
    let old = ["old-1", "old-2", "old-3"];
    let new = ["new-1", "new-2", "new-3", "new-4"];
    let old = (101..).zip(old);
    let old = old.map(|(number, name)| (name, engine("upp-a", number, OLD)));
    let new = (111..).zip(new);
    let new = new.map(|(number, name)| (name, engine("upp-b", number, NEW)));
    old.chain(new).collect()
}

fn is_new(target: &TargetName) -> bool {
    target.as_str().starts_with("new")
}

fn stream(attempt_id: &str) -> IncomingRequest {
    IncomingRequest {
        attempt_id: attempt_id.into(),
        prompt_tokens: 100,
        ..incoming_request("check")
    }
}

fn resumption(resumed_attempt_id: &str) -> IncomingRequest {
    IncomingRequest {
        resumed_attempt_id: Some(resumed_attempt_id.into()),
        is_resumption: true,
        ..stream("resumption")
    }
}

fn end_attempt(fleet: &mut Fleet, host: usize, number: u64, outcome: AttemptOutcome) {
    let request_number = RequestNumber(number);
    let event = Event::AttemptEnded {
        request_number,
        outcome,
    };
    fleet.apply(host, event);
}

fn receive_first_event(fleet: &mut Fleet, host: usize, number: u64) {
    let request_number = RequestNumber(number);
    let event = Event::StreamProgressed {
        request_number,
        events: 1,
    };
    fleet.apply(host, event);
}

/// Lets a host send a stream to a target and receive its complete answer.
fn serve_stream(fleet: &mut Fleet, host: usize, number: u64) {
    let request_number = RequestNumber(number);
    fleet.send_request(host, number, stream(&format!("served-{number}")));
    receive_first_event(fleet, host, number);
    end_attempt(
        fleet,
        host,
        number,
        AttemptOutcome::Answered { took_ms: 40 },
    );
    fleet.apply(host, Event::RequestClosed { request_number });
}

/// Guards against review/6: streams that a peer had begun went on at another software version, the one
/// that their own hosts had tried without a connection before they handed them off.
#[test]
fn a_stream_that_was_handed_off_goes_on_at_the_version_that_began_it() {
    struct Case {
        name: &'static str,
        /// How the attempts before the handoff ended.
        outcome: AttemptOutcome,
        /// Whether the hosts that handed off are killed together with the peer.
        are_beginners_killed: bool,
    }
    let cases = [
        Case {
            name: "the peer is killed",
            outcome: AttemptOutcome::NotSent,
            are_beginners_killed: false,
        },
        Case {
            name: "the peer and the hosts that handed off are killed",
            outcome: AttemptOutcome::NotSent,
            are_beginners_killed: true,
        },
    ];
    for case in cases {
        let targets = engines();
        let mut fleet = Fleet::new(7, &ZONES, &targets);
        serve_stream(&mut fleet, PEER, 900);
        fleet.advance(500);
        let beginners = [0, 1];
        for host in beginners {
            let number = host as u64;
            let id = format!("first-{host}");
            fleet.send_request(host, number, stream(&id));
            while !fleet.handoffs.iter().any(|(from, _)| *from == host) {
                assert!(!fleet.is_refused(number), "{}: no handoff", case.name);
                end_attempt(&mut fleet, host, number, case.outcome);
            }
            let handed_off = IncomingRequest {
                is_handed_off: true,
                ..stream(&id)
            };
            let target = fleet.send_request(PEER, 100 + number, handed_off);
            assert!(
                target.is_some_and(|target| is_new(&target)),
                "{}",
                case.name
            );
            receive_first_event(&mut fleet, PEER, 100 + number);
        }
        fleet.silent.insert(PEER);
        if case.are_beginners_killed {
            fleet.silent.extend(beginners);
        }
        let mut continued = 0;
        for (number, beginner) in (200..).zip(beginners) {
            for host in (0..PEER)
                .filter(|host| !fleet.silent.contains(host))
                .collect::<Vec<_>>()
            {
                let number = number * 10 + host as u64;
                fleet.send_request(
                    host,
                    number,
                    resumption(&format!("first-{beginner}")),
                );
                fleet.advance(LOOKUP_MS);
                let sent = fleet.dispatched_to(number);
                assert!(
                    sent.iter().all(is_new),
                    "{}: host {host} continues at {sent:?}",
                    case.name
                );
                continued += usize::from(!sent.is_empty());
            }
        }
        assert!(continued > 0, "{}: no stream goes on", case.name);
    }
}

/// Guards against streams that go on at the version of an attempt which brought no event: a keeper that
/// was told of it and missed the next one took it for the origin.
#[test]
fn an_attempt_without_an_event_is_no_origin() {
    struct Case {
        name: &'static str,
        outcome: AttemptOutcome,
    }
    let cases = [
        Case {
            name: "no connection",
            outcome: AttemptOutcome::NotSent,
        },
        Case {
            name: "declined",
            outcome: AttemptOutcome::Declined,
        },
        Case {
            name: "another target has the address",
            outcome: AttemptOutcome::Misdirected,
        },
        Case {
            name: "broken off before the first event",
            outcome: AttemptOutcome::Interrupted,
        },
        Case {
            name: "silent",
            outcome: AttemptOutcome::TimedOut,
        },
    ];
    for case in cases {
        let mut targets = engines();
        // The zone has one engine of the old version.
        targets.retain(|(name, _)| is_new(&TargetName::new(name)) || *name == "old-1");
        let mut fleet = Fleet::new(7, &ZONES, &targets);
        let first = fleet.send_request(0, 1, stream("first"));
        assert_eq!(first, Some(TargetName::new("old-1")), "{}", case.name);
        // The keepers are out of step for a moment.
        fleet.silent.extend(1..7);
        end_attempt(&mut fleet, 0, 1, case.outcome);
        let second = fleet.dispatched_to(1).pop();
        assert!(
            second.is_some_and(|target| is_new(&target)),
            "{}",
            case.name
        );
        receive_first_event(&mut fleet, 0, 1);
        fleet.silent.clear();
        fleet.silent.insert(0);
        for host in 1..7 {
            let number = 10 + host as u64;
            fleet.send_request(host, number, resumption("first"));
            fleet.advance(LOOKUP_MS);
            let sent = fleet.dispatched_to(number);
            assert!(
                sent.iter().all(is_new),
                "{}: host {host} continues at {sent:?}",
                case.name
            );
        }
    }
}

/// Guards against numbers of attempts that are compared across hosts: each counts its own, so a host
/// with a lower number may have begun the stream.
#[test]
fn only_the_first_event_or_a_later_attempt_of_the_same_host_replaces_an_origin() {
    struct Case {
        name: &'static str,
        /// What a keeper is told, in order: the evidence and the version.
        told: &'static [(Told, &'static str)],
        expected: Option<&'static str>,
    }
    #[derive(Clone, Copy)]
    enum Told {
        /// The host and the number of its attempt.
        Attempt(u16, u32),
        FirstEvent,
    }
    use Told::{Attempt, FirstEvent};
    let cases = [
        Case {
            name: "the first event after more attempts of another host",
            told: &[(Attempt(1, 3), OLD), (FirstEvent, NEW)],
            expected: Some(NEW),
        },
        Case {
            name: "an attempt that arrives after the first event",
            told: &[(FirstEvent, NEW), (Attempt(1, 3), OLD)],
            expected: Some(NEW),
        },
        Case {
            name: "a second first event, which a host has that guessed",
            told: &[(FirstEvent, NEW), (FirstEvent, OLD)],
            expected: Some(NEW),
        },
        Case {
            name: "attempts of one host",
            told: &[(Attempt(1, 1), OLD), (Attempt(1, 2), NEW)],
            expected: Some(NEW),
        },
        Case {
            name: "attempts of one host, out of order",
            told: &[(Attempt(1, 2), NEW), (Attempt(1, 1), OLD)],
            expected: Some(NEW),
        },
        Case {
            name: "attempts of two hosts",
            told: &[(Attempt(1, 3), OLD), (Attempt(2, 1), NEW)],
            expected: None,
        },
        Case {
            name: "attempts of two hosts at one version",
            told: &[(Attempt(1, 3), OLD), (Attempt(2, 1), OLD)],
            expected: Some(OLD),
        },
        Case {
            name: "a later attempt of a host that another one contradicts",
            told: &[
                (Attempt(1, 1), OLD),
                (Attempt(2, 1), NEW),
                (Attempt(1, 2), OLD),
            ],
            expected: None,
        },
        Case {
            name: "the first event after a contradiction",
            told: &[
                (Attempt(1, 1), OLD),
                (Attempt(2, 1), NEW),
                (FirstEvent, NEW),
            ],
            expected: Some(NEW),
        },
    ];
    for case in cases {
        let key = StreamKey::new(None, "attempt-1");
        let mut origins = StreamOrigins::default();
        for (now_ms, (told, version)) in (0..).zip(case.told) {
            let origin = StreamOrigin {
                pool: PoolName::new("engines"),
                version: SoftwareVersion::new(version),
            };
            let evidence = match *told {
                Attempt(host, number) => Evidence::Attempt {
                    sender: address(host),
                    number,
                },
                FirstEvent => Evidence::FirstEvent,
            };
            origins.keep(now_ms, key, origin, evidence, 5_000);
        }
        let kept = origins.get(10, key);
        let version = kept.map(|origin| origin.version.as_str());
        assert_eq!(version, case.expected, "{}", case.name);
    }
}
