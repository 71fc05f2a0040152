//! Statuses that promise callers that a request has not run and never will: 408, 421, 429, 503.
//!
//! A caller sends a request that isn't idempotent again after one of them, so each must be true
//! on every path: attempts at targets, handoffs to peers, timeouts, and answers that are
//! forwarded.

#[path = "../../toucancleat-fleet/tests/support/mod.rs"]
mod support;

use http::{HeaderMap, StatusCode};
use support::*;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::peers::Message;
use toucancleat_fleet::pool_path::PathReport;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_platform::answer::{
    AnswerClass, PeerAnswerClass, classify_answer, classify_peer_answer, refusal_status,
};

const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The end of an attempt or a handoff.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Attempt(AttemptOutcome),
    Handoff(HandoffOutcome),
}

impl End {
    fn verdict(self) -> Verdict {
        match self {
            End::Attempt(outcome) => outcome.verdict(),
            End::Handoff(outcome) => outcome.verdict(),
        }
    }
}

const ATTEMPT_ENDS: [AttemptOutcome; 7] = [
    AttemptOutcome::Answered { took_ms: 5 },
    AttemptOutcome::ErrorAnswer,
    AttemptOutcome::Declined,
    AttemptOutcome::Misdirected,
    AttemptOutcome::NotSent,
    AttemptOutcome::Interrupted,
    AttemptOutcome::TimedOut,
];

const HANDOFF_ENDS: [HandoffOutcome; 5] = [
    HandoffOutcome::Answered,
    HandoffOutcome::Refused,
    HandoffOutcome::NotSent,
    HandoffOutcome::Interrupted,
    HandoffOutcome::TimedOut,
];

/// Returns a host that knows three targets of each pool and two peers that reach them.
fn host(has_path: bool) -> State {
    let targets: Vec<(String, toucancleat_fleet::target::TargetEntry)> = (1..=3)
        .flat_map(|number| {
            ["engines", "roster"].map(|pool| {
                let base = if pool == "engines" { 100 } else { 200 };
                let name = format!("{pool}-{number}");
                (name, entry(pool, "upp-a", base + number))
            })
        })
        .collect();
    let mut host = empty_host("host-1", "upp-a", 1);
    let listed: Vec<_> = targets
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    populate(&mut host, START_MS, &listed);
    for number in [2, 3] {
        let mut peer = empty_host(&format!("host-{number}"), "upp-a", number);
        populate(&mut peer, START_MS, &[]);
        let reply = Reply::Hosts(vec![address(1)]);
        answer(&mut peer, START_MS, Query::Hosts, reply);
        let effects = apply(&mut peer, START_MS + 2_000, Event::Tick);
        let (_, message) = messages(&effects).swap_remove(0);
        let reaches = |pool| PathReport {
            pool: PoolName::new(pool),
            reached_age_ms: Some(0),
            is_lost: false,
        };
        let message = Message {
            path_reports: vec![reaches("engines"), reaches("roster")],
            ..message
        };
        let received = Event::MessageReceived(Box::new(message));
        apply(&mut host, START_MS, received);
    }
    for (name, entry) in targets.iter().filter(|_| !has_path) {
        let event = Event::TargetProbed {
            pool: entry.pool.clone(),
            target: TargetName::new(name),
            began_ms: START_MS,
            is_reachable: false,
        };
        apply(&mut host, START_MS, event);
    }
    host
}

/// What a request waits for, or how it ended.
enum Next {
    Attempt,
    Handoff,
    Forwarded,
    Refused(Refusal),
}

fn next(effects: &[Effect]) -> Next {
    let mut found = effects.iter().filter_map(|effect| match effect {
        Effect::Dispatch(_) => Some(Next::Attempt),
        Effect::HandOff(_) => Some(Next::Handoff),
        Effect::ForwardAnswer { .. } => Some(Next::Forwarded),
        Effect::Refuse { refusal, .. } => Some(Next::Refused(*refusal)),
        _ => None,
    });
    let next = found.next().expect("a request goes on or ends");
    assert!(found.next().is_none(), "one step at a time: {effects:?}");
    next
}

/// Lets a request run into each end of each attempt and handoff in turn, in all orders. Returns
/// the number of orders.
fn explore(kind: &str, has_path: bool) -> usize {
    let mut unexplored: Vec<Vec<End>> = vec![Vec::new()];
    let mut explored = 0;
    while let Some(ends) = unexplored.pop() {
        let mut host = host(has_path);
        let request_number = RequestNumber(1);
        let mut effects = receive_request(&mut host, START_MS, 1, incoming_request(kind));
        for end in &ends {
            let event = match *end {
                End::Attempt(outcome) => Event::AttemptEnded {
                    request_number,
                    outcome,
                },
                End::Handoff(outcome) => Event::HandoffEnded {
                    request_number,
                    outcome,
                },
            };
            effects = apply(&mut host, START_MS + 10, event);
        }
        let name = format!("{kind}, path: {has_path}: {ends:?}");
        let has_run_maybe = ends.iter().any(|end| end.verdict() != Verdict::NotRun);
        match next(&effects) {
            Next::Attempt | Next::Handoff if has_run_maybe => {
                assert!(kind == "lookup", "{name}: it may run twice");
                // Idempotent requests may run again, so only the first step matters here.
                explored += 1;
            }
            Next::Attempt => unexplored.extend(
                ATTEMPT_ENDS
                    .map(|outcome| [ends.as_slice(), &[End::Attempt(outcome)]].concat()),
            ),
            Next::Handoff => unexplored.extend(
                HANDOFF_ENDS
                    .map(|outcome| [ends.as_slice(), &[End::Handoff(outcome)]].concat()),
            ),
            Next::Forwarded => {
                explored += 1;
                let last = ends.last().expect("an answer comes after an attempt");
                let is_refusal = *last == End::Handoff(HandoffOutcome::Refused);
                assert!(!is_refusal || !has_run_maybe, "{name}: forwarded refusal");
                let has_answer = matches!(
                    last,
                    End::Attempt(
                        AttemptOutcome::Answered { .. } | AttemptOutcome::ErrorAnswer
                    ) | End::Handoff(HandoffOutcome::Answered | HandoffOutcome::Refused)
                );
                assert!(has_answer, "{name}: nothing to forward");
            }
            Next::Refused(refusal) => {
                explored += 1;
                let is_not_run = refusal.verdict == Verdict::NotRun;
                assert_eq!(is_not_run, !has_run_maybe, "{name}: {refusal:?}");
                let status = refusal_status(&refusal).as_u16();
                assert_eq!(PROMISES.contains(&status), is_not_run, "{name}: {status}");
            }
        }
    }
    explored
}

#[test]
fn a_promise_is_made_only_if_no_attempt_and_no_handoff_may_have_run() {
    for kind in ["booking", "draft", "lookup"] {
        for has_path in [true, false] {
            let explored = explore(kind, has_path);
            assert!(explored > 5, "{kind}, path: {has_path}: {explored}");
        }
    }
}

/// A refusal for any reason, of a request that has not run and of one that may have.
#[test]
fn each_reason_has_a_status_that_says_whether_the_request_has_run() {
    let reasons = [
        Reason::NoConfiguration,
        Reason::StaleConfiguration,
        Reason::NoRoute,
        Reason::UnknownKey,
        Reason::NoTarget,
        Reason::NoTargetAtHome,
        Reason::VersionGone,
        Reason::UnknownStream,
        Reason::TargetsFull,
        Reason::TargetsLimited,
        Reason::Stopping,
        Reason::Unreachable,
        Reason::TargetFailed,
        Reason::TimedOut,
        Reason::TooLate,
        Reason::CrashesTargets,
    ];
    for reason in reasons {
        let status = |verdict| {
            let refusal = Refusal {
                reason,
                verdict,
                retry_after_ms: None,
            };
            refusal_status(&refusal).as_u16()
        };
        for verdict in [Verdict::MayHaveRun, Verdict::Ran] {
            assert!([502, 504].contains(&status(verdict)), "{reason:?}");
        }
        let not_run = status(Verdict::NotRun);
        assert!([401, 404, 503].contains(&not_run), "{reason:?}");
    }
}

/// The answers of targets and of peers with a status that is a promise. Only what the target
/// itself, or a peer's own refusal, says is passed on as a promise.
#[test]
fn promises_of_others_are_passed_on_only_if_they_are_proved() {
    struct Case {
        name: &'static str,
        headers: &'static [(&'static str, &'static str)],
        /// The classes of a target's and of a peer's answer, for 408, 429 and 503.
        target: AnswerClass,
        peer: PeerAnswerClass,
        /// The class of a target's answer with 421, which says by itself that it has not run.
        misdirected: AnswerClass,
    }
    let cases = [
        Case {
            name: "no word on whether it has run",
            headers: &[("x-attempt-id", "9c41")],
            target: AnswerClass::Unverified,
            peer: PeerAnswerClass::Refusal,
            misdirected: AnswerClass::Misdirected,
        },
        Case {
            name: "the target's proof",
            headers: &[("x-attempt-id", "9c41"), ("x-not-executed", "1")],
            target: AnswerClass::Declined,
            peer: PeerAnswerClass::Refusal,
            misdirected: AnswerClass::Misdirected,
        },
        Case {
            name: "signed, so a target has sent it, without a proof",
            headers: &[("x-attempt-id", "9c41"), ("x-server-stamp", "s")],
            target: AnswerClass::Unverified,
            peer: PeerAnswerClass::Unverified,
            misdirected: AnswerClass::Misdirected,
        },
        Case {
            name: "of another request",
            headers: &[("x-attempt-id", "other"), ("x-not-executed", "1")],
            target: AnswerClass::Unverified,
            peer: PeerAnswerClass::Unverified,
            misdirected: AnswerClass::Unverified,
        },
        Case {
            name: "of another request, signed",
            headers: &[("x-attempt-id", "other"), ("x-server-stamp", "s")],
            target: AnswerClass::Unverified,
            peer: PeerAnswerClass::Unverified,
            misdirected: AnswerClass::Unverified,
        },
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        for (name, value) in case.headers {
            headers.insert(*name, value.parse().expect("valid header value"));
        }
        for status in PROMISES {
            let code = StatusCode::from_u16(status).expect("valid status");
            let name = format!("{}: {status}", case.name);
            let target = classify_answer("9c41", code, &headers);
            let expected = if status == 421 {
                case.misdirected
            } else {
                case.target
            };
            assert_eq!(target, expected, "{name}");
            let peer = classify_peer_answer("9c41", code, &headers);
            assert_eq!(peer, case.peer, "{name}");
        }
    }
}
