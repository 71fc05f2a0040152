//! Streams while targets of several software versions serve side by side.

mod support;

use support::versions::{engine, host_with_stream, leaving, show};
use support::*;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::TargetEntry;

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
        let reply = Reply::TargetFeed {
            store_version: 12,
            changes: vec![change("engine-1", 12, Some(source))],
        };
        let query = Query::TargetFeed { after: 11 };
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

/// Hosts of the last release send entries without versions, and don't notice a target that
/// restarts under its name with another one.
#[test]
fn a_host_that_lacks_a_version_reads_the_host_list() {
    struct Case {
        name: &'static str,
        /// The version that the peer shows for the target, and whether it sends the digest.
        shown: Option<&'static str>,
        sends_digest: bool,
        reads: bool,
    }
    let cases = [
        Case {
            name: "the same version",
            shown: Some("v1"),
            sends_digest: true,
            reads: false,
        },
        Case {
            name: "another version, of which the change was lost",
            shown: Some("v2"),
            sends_digest: true,
            reads: true,
        },
        Case {
            name: "a peer of the last release",
            shown: None,
            sends_digest: false,
            reads: false,
        },
    ];
    for case in cases {
        let mut hosts = [1_u16, 2].map(|n| empty_host(&format!("host-0{n}"), "upp-a", n));
        for (host, version) in hosts
            .iter_mut()
            .zip([Some("v1"), case.shown.or(Some("v1"))])
        {
            let version = version.unwrap_or_default();
            populate(
                host,
                START_MS,
                &[("engine-1", engine("upp-a", 101, version))],
            );
            let reply = Reply::Hosts(vec![address(1), address(2)]);
            answer(host, START_MS, Query::Hosts, reply);
        }
        let now_ms = START_MS + 900;
        let [one, two] = &mut hosts;
        answer(
            two,
            now_ms,
            Query::Targets,
            list_of(two_version(case.shown)),
        );
        let sent = messages(&apply(two, now_ms + 1_200, Event::Tick));
        let (_, mut message) = sent
            .into_iter()
            .find(|(to, _)| *to == address(1))
            .expect("a message to the other host");
        if !case.sends_digest {
            message.version_digest = None;
        }
        let at_ms = now_ms + 1_200;
        apply(one, at_ms, Event::MessageReceived(Box::new(message)));
        let mut queries = Vec::new();
        for step in 0..20 {
            let effects = apply(one, at_ms + 25 * step, Event::Tick);
            queries.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::QueryStore(query) => Some(query),
                _ => None,
            }));
        }
        // The host isn't a reader while the other one is.
        assert_eq!(
            queries.contains(&Query::Targets),
            case.reads,
            "{}",
            case.name
        );
    }
}

fn two_version(shown: Option<&str>) -> TargetEntry {
    engine("upp-a", 101, shown.unwrap_or("v1"))
}

fn list_of(entry: TargetEntry) -> Reply {
    Reply::Targets {
        store_version: 12,
        list: vec![change("engine-1", 12, Some(entry))],
    }
}

/// In a release the targets of the earlier version leave one after the other. Runs there need
/// the room that is left at it, so new streams begin at the other version.
#[test]
fn new_streams_begin_at_the_version_whose_targets_stay() {
    struct Case {
        name: &'static str,
        /// Versions of eight engines, and how many of the first ones leave.
        versions: [&'static str; 8],
        leaving: usize,
        /// When the streams begin after that.
        after_ms: u64,
        /// Least and greatest number of 12 streams that begin at v1.
        at_v1: (usize, usize),
    }
    let halves = ["v1", "v1", "v1", "v1", "v1.1", "v1.1", "v1.1", "v1.1"];
    let cases = [
        Case {
            name: "nothing leaves",
            versions: halves,
            leaving: 0,
            after_ms: 0,
            at_v1: (4, 8),
        },
        Case {
            name: "two of four have left",
            versions: halves,
            leaving: 2,
            after_ms: 0,
            at_v1: (0, 2),
        },
        Case {
            name: "two of four had left long ago",
            versions: halves,
            leaving: 2,
            after_ms: 60_000,
            at_v1: (3, 5),
        },
        Case {
            name: "there is only one version",
            versions: ["v1"; 8],
            leaving: 4,
            after_ms: 0,
            at_v1: (12, 12),
        },
    ];
    for case in cases {
        let mut host = empty_host("host-01", "upp-a", 1);
        let names: Vec<String> = (1..=8).map(|n| format!("engine-{n}")).collect();
        let engines: Vec<(&str, TargetEntry)> = (101..)
            .zip(names.iter().zip(case.versions))
            .map(|(number, (name, version))| {
                (name.as_str(), engine("upp-a", number, version))
            })
            .collect();
        populate(&mut host, START_MS, &engines);
        for (version, (name, _)) in (11..).zip(&engines[..case.leaving]) {
            show(&mut host, START_MS, version, &[(name, None)]);
        }
        let now_ms = START_MS + case.after_ms;
        for _ in 0..2 {
            let configuration = Reply::Configuration(Some(stored(configuration(1))));
            answer(&mut host, now_ms, Query::Configuration, configuration);
        }
        let mut at_v1 = 0;
        for number in 0..12 {
            let effects =
                receive_request(&mut host, now_ms, number, incoming_request("draft"));
            let target = dispatches(&effects)[0].target.clone();
            let (_, entry) = engines
                .iter()
                .find(|(name, _)| *name == target.as_str())
                .expect("a listed engine");
            let progress = Event::StreamProgressed {
                request_number: RequestNumber(number),
                events: 1,
            };
            apply(&mut host, now_ms, progress);
            at_v1 +=
                usize::from(entry.software_version == Some(SoftwareVersion::new("v1")));
        }
        let (least, greatest) = case.at_v1;
        assert!(
            (least..=greatest).contains(&at_v1),
            "{}: {at_v1}",
            case.name
        );
    }
}
