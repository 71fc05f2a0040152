//! Targets that start again under the name that they had.

mod support;

use support::*;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::peers::Load;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::TargetEntry;

fn targets() -> Vec<(&'static str, TargetEntry)> {
    vec![
        ("engine-1", entry("engines", "upp-a", 101)),
        ("roster-1", entry("roster", "upp-a", 201)),
    ]
}

fn populated_host() -> State {
    let mut host = empty_host("host-1", "upp-a", 1);
    populate(&mut host, START_MS, &targets());
    host
}

/// Supplies the list at a later version, in which targets may have started again.
fn list(
    host: &mut State,
    now_ms: u64,
    store_version: u64,
    started_unix_ms: u64,
) -> Vec<Effect> {
    let entry = |(name, mut entry): (&str, TargetEntry)| {
        entry.started_unix_ms = Some(started_unix_ms);
        change(name, store_version, Some(entry))
    };
    let list = targets().into_iter().map(entry).collect();
    let reply = Reply::Targets {
        store_version,
        list,
    };
    answer(host, now_ms, Query::Targets, reply)
}

fn end(
    host: &mut State,
    now_ms: u64,
    number: u64,
    outcome: AttemptOutcome,
) -> Vec<Effect> {
    let request_number = RequestNumber(number);
    let ended = Event::AttemptEnded {
        request_number,
        outcome,
    };
    apply(host, now_ms, ended)
}

fn abandoned(effects: &[Effect]) -> Vec<u64> {
    let runs = effects.iter().filter_map(|effect| match effect {
        Effect::AbandonRun { request_number } => Some(request_number.0),
        _ => None,
    });
    runs.collect()
}

/// Guards against runs that wait for their deadline though their target has started again, and
/// against runs that are taken for lost though they were sent to the new start.
#[test]
fn runs_of_an_earlier_start_are_abandoned() {
    struct Case {
        name: &'static str,
        kind: &'static str,
        /// Time from the request to the last list without the new start.
        confirmed_after_ms: Option<u64>,
        is_abandoned: bool,
    }
    let cases = [
        Case {
            name: "the list was known long after the request",
            kind: "lookup",
            confirmed_after_ms: Some(3_000),
            is_abandoned: true,
        },
        Case {
            name: "a stream, the same",
            kind: "draft",
            confirmed_after_ms: Some(3_000),
            is_abandoned: true,
        },
        Case {
            name: "the target may have started before the request",
            kind: "lookup",
            confirmed_after_ms: Some(1_000),
            is_abandoned: false,
        },
        Case {
            name: "the list was not known since",
            kind: "booking",
            confirmed_after_ms: None,
            is_abandoned: false,
        },
    ];
    for case in cases {
        let mut host = populated_host();
        let sent_ms = START_MS + 100;
        let request = incoming_request(case.kind);
        let effects = receive_request(&mut host, sent_ms, 1, request);
        assert_eq!(dispatches(&effects).len(), 1, "{}", case.name);
        if let Some(confirmed_after_ms) = case.confirmed_after_ms {
            let effects = list(&mut host, sent_ms + confirmed_after_ms, 20, 1);
            assert!(abandoned(&effects).is_empty(), "{}: too early", case.name);
        }
        let effects = list(&mut host, sent_ms + 4_000, 30, 2);
        assert_eq!(
            !abandoned(&effects).is_empty(),
            case.is_abandoned,
            "{}",
            case.name
        );
    }
}

/// Guards against a request that runs twice because its target has started again, and against one
/// that is refused as not run.
#[test]
fn request_that_may_have_run_is_not_sent_again() {
    let mut host = populated_host();
    receive_request(&mut host, START_MS, 1, incoming_request("booking"));
    list(&mut host, START_MS + 2_000, 20, 1);
    let effects = list(&mut host, START_MS + 2_100, 30, 2);
    assert_eq!(abandoned(&effects), [1]);
    let effects = end(&mut host, START_MS + 2_101, 1, AttemptOutcome::Interrupted);
    assert!(dispatches(&effects).is_empty());
    assert_eq!(refusals(&effects)[0].verdict, Verdict::MayHaveRun);
}

/// Guards against a new start that is avoided, or takes fewer requests, because of what was known
/// of the earlier one.
#[test]
fn what_was_known_of_an_earlier_start_is_forgotten() {
    struct Case {
        name: &'static str,
        kind: &'static str,
        before: fn(&mut State),
    }
    fn notice(host: &mut State, target: &str, notice: TargetNotice) {
        let target = TargetName::new(target);
        apply(host, START_MS, Event::NoticeReceived { target, notice });
    }
    let cases = [
        Case {
            name: "a rate limit",
            kind: "lookup",
            before: |host| {
                let limit = TargetNotice {
                    rate_limit_per_s: Some(0.0),
                    ..TargetNotice::default()
                };
                notice(host, "roster-1", limit);
            },
        },
        Case {
            name: "a rejection of a brittle target",
            kind: "lookup",
            before: |host| {
                receive_request(host, START_MS, 1, incoming_request("lookup"));
                let brittle = TargetNotice {
                    rejections_max_per_s: Some(1.0),
                    ..TargetNotice::default()
                };
                notice(host, "roster-1", brittle);
                end(host, START_MS, 1, AttemptOutcome::Declined);
                let request_number = RequestNumber(1);
                apply(host, START_MS, Event::RequestClosed { request_number });
            },
        },
        Case {
            name: "runs of a peer that fill its memory",
            kind: "draft",
            before: |host| {
                let mut peer = empty_host("host-2", "upp-a", 2);
                populate(&mut peer, START_MS, &targets());
                let hosts = Reply::Hosts(vec![address(1), address(2)]);
                answer(&mut peer, START_MS, Query::Hosts, hosts);
                let effects = apply(&mut peer, START_MS + 2_000, Event::Tick);
                let (_, mut message) = messages(&effects).remove(0);
                let load = Load {
                    runs: 7,
                    tokens: MEMORY_TOKENS,
                    ..Load::default()
                };
                message.loads = vec![(TargetName::new("engine-1"), load)];
                let received = Event::MessageReceived(Box::new(message));
                apply(host, START_MS, received);
            },
        },
    ];
    for case in cases {
        for started_unix_ms in [1, 2] {
            let mut host = populated_host();
            (case.before)(&mut host);
            list(&mut host, START_MS + 10, 20, started_unix_ms);
            let request = incoming_request(case.kind);
            let effects = receive_request(&mut host, START_MS + 20, 2, request);
            let is_sent = !dispatches(&effects).is_empty();
            assert_eq!(is_sent, started_unix_ms == 2, "{}", case.name);
        }
    }
}

/// Guards against requests in a pause that a new start asked for before its entry was known: what
/// was known of the earlier start is forgotten then.
#[test]
fn a_pause_that_may_be_of_the_new_start_is_kept() {
    struct Case {
        name: &'static str,
        /// Time from the answer that asks for the pause to the last list without the new start.
        confirmed_after_ms: u64,
        /// The notice of another answer of the earlier start, at the time of that list.
        is_answered: bool,
        is_used: bool,
    }
    let cases = [
        Case {
            name: "the new start may have asked for it",
            confirmed_after_ms: 1_100,
            is_answered: false,
            is_used: false,
        },
        Case {
            name: "the earlier start has asked for it",
            confirmed_after_ms: 1_300,
            is_answered: false,
            is_used: true,
        },
        Case {
            name: "the earlier start has asked for it, and answered later",
            confirmed_after_ms: 1_300,
            is_answered: true,
            is_used: true,
        },
    ];
    for case in cases {
        let mut host = populated_host();
        let target = TargetName::new("roster-1");
        let notify = |host: &mut State, now_ms, notice| {
            let target = target.clone();
            apply(host, now_ms, Event::NoticeReceived { target, notice });
        };
        let pause = TargetNotice {
            pause_ms: Some(8_000),
            ..TargetNotice::default()
        };
        notify(&mut host, START_MS, pause);
        let confirmed_ms = START_MS + case.confirmed_after_ms;
        if case.is_answered {
            notify(&mut host, confirmed_ms, TargetNotice::default());
        }
        list(&mut host, confirmed_ms, 20, 1);
        list(&mut host, confirmed_ms + 100, 21, 2);
        let sent_ms = confirmed_ms + 200;
        let request = incoming_request("lookup");
        let effects = receive_request(&mut host, sent_ms, 1, request);
        assert_eq!(
            !dispatches(&effects).is_empty(),
            case.is_used,
            "{}",
            case.name
        );
    }
}

/// Guards against a new start that is ejected because of runs that have ended with the earlier one.
#[test]
fn end_of_an_earlier_run_says_nothing_about_the_new_start() {
    for restarts in [false, true] {
        let mut host = populated_host();
        let targets = [
            ("roster-1", entry("roster", "upp-a", 201)),
            ("roster-2", entry("roster", "upp-a", 202)),
        ];
        populate(&mut host, START_MS, &targets);
        let effects =
            receive_request(&mut host, START_MS, 1, incoming_request("booking"));
        let sent_to = dispatches(&effects)[0].target.to_string();
        if restarts {
            let started = |(name, mut entry): (&str, TargetEntry)| {
                entry.started_unix_ms = Some(2);
                change(name, 30, Some(entry))
            };
            let reply = Reply::Targets {
                store_version: 30,
                list: targets.clone().into_iter().map(started).collect(),
            };
            answer(&mut host, START_MS + 10, Query::Targets, reply);
        }
        end(&mut host, START_MS + 20, 1, AttemptOutcome::Interrupted);
        let used = targets_of(&mut host, START_MS + 30, "lookup");
        assert_eq!(used.contains(&sent_to), restarts, "restarts: {restarts}");
    }
}
