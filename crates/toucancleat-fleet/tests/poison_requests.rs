//! Poison requests, which crash the targets that run them.

mod support;

use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::poison_parts::SOUND_AFTER_MS;
use toucancleat_fleet::poison_requests::{
    INTERRUPTIONS_MAX, PoisonRequests, RETENTION_MS,
};
use toucancleat_fleet::prelude::*;

const FINGERPRINT: u64 = 77;

/// A step in the history of one fingerprint.
#[derive(Clone, Copy)]
enum Step {
    Interrupted,
    Answered,
    /// A peer reports this number of interruptions.
    PeerReports(u32),
    TimePasses(u64),
}

#[test]
fn fingerprint_is_refused_after_repeated_interruptions() {
    use Step::*;
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "two interruptions may be coincidental",
            steps: &[Interrupted, Interrupted],
            is_refused: false,
        },
        Case {
            name: "three interruptions at this host",
            steps: &[Interrupted, Interrupted, Interrupted],
            is_refused: true,
        },
        Case {
            name: "one interruption at this host and two at another",
            steps: &[PeerReports(2), Interrupted],
            is_refused: true,
        },
        Case {
            name: "an answer between interruptions",
            steps: &[Interrupted, Interrupted, Answered, Interrupted],
            is_refused: false,
        },
        Case {
            name: "an answer at this host while another still reports interruptions",
            steps: &[PeerReports(3), Answered, PeerReports(3)],
            is_refused: false,
        },
        Case {
            name: "interruptions beyond the retention time",
            steps: &[
                Interrupted,
                Interrupted,
                Interrupted,
                TimePasses(RETENTION_MS),
            ],
            is_refused: false,
        },
        Case {
            name: "a reporting host silent beyond the retention time",
            steps: &[PeerReports(3), TimePasses(RETENTION_MS)],
            is_refused: false,
        },
    ];
    for case in cases {
        let mut requests = PoisonRequests::default();
        let mut now_ms = START_MS;
        for step in case.steps {
            match *step {
                Interrupted => requests.record_interruption(now_ms, FINGERPRINT),
                Answered => requests.record_answer(now_ms, FINGERPRINT),
                PeerReports(count) => {
                    let host = HostName::new("host-2");
                    requests.record_peer_counts(now_ms, host, 1, &[(FINGERPRINT, count)]);
                }
                TimePasses(time_ms) => now_ms += time_ms,
            }
        }
        let is_refused = requests.is_poison(now_ms, FINGERPRINT);
        assert_eq!(is_refused, case.is_refused, "{}", case.name);
    }
}

/// Applies the receipt of a request whose run is interrupted at each target. Returns the
/// number of targets that ran it, and the refusals.
fn send_crashing_request(
    fleet: &mut Fleet,
    index: usize,
    request_number: u64,
) -> (u32, Vec<Refusal>) {
    let now_ms = fleet.now_ms;
    let request = IncomingRequest {
        fingerprint: FINGERPRINT,
        ..incoming_request("lookup")
    };
    let mut effects =
        receive_request(&mut fleet.hosts[index], now_ms, request_number, request);
    let mut runs = 0;
    while let Some(Effect::Dispatch(dispatch)) = effects
        .iter()
        .find(|effect| matches!(effect, Effect::Dispatch(_)))
    {
        runs += 1;
        let ended = Event::AttemptEnded {
            request_number: dispatch.request_number,
            outcome: AttemptOutcome::Interrupted,
        };
        fleet.execute(index, effects, true);
        effects = apply(&mut fleet.hosts[index], now_ms, ended);
    }
    let refusals = refusals(&effects);
    fleet.execute(index, effects, true);
    let closed = Event::RequestClosed {
        request_number: RequestNumber(request_number),
    };
    apply(&mut fleet.hosts[index], now_ms, closed);
    (runs, refusals)
}

/// The caller of a poison request may send it again and again, each time to another host.
#[test]
fn poison_request_is_refused_by_all_hosts() {
    let targets: Vec<(String, _)> = (1..=6)
        .map(|n| (format!("roster-{n}"), entry("roster", "upp-a", 200 + n)))
        .collect();
    let named: Vec<(&str, _)> = targets
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    let mut fleet = Fleet::new(4, &["upp-a"], &named);
    let mut runs = 0;
    let mut last = Vec::new();
    for request_number in 0..8 {
        let (more, refusals) = send_crashing_request(
            &mut fleet,
            request_number as usize % 4,
            request_number,
        );
        runs += more;
        last = refusals;
        fleet.advance(2_000);
    }
    assert_eq!(runs, INTERRUPTIONS_MAX);
    assert_eq!(last[0].reason, Reason::CrashesTargets);
    assert_eq!(last[0].verdict, Verdict::NotRun);
    let now_ms = fleet.now_ms;
    let other =
        receive_request(&mut fleet.hosts[0], now_ms, 99, incoming_request("lookup"));
    assert_eq!(dispatches(&other).len(), 1, "another request is dispatched");
}

/// Guards against a poison request that crashes one more target with each host that is restarted,
/// since its crashes were forgotten with the processes that had counted them.
#[test]
fn a_poison_request_is_refused_while_hosts_are_restarted_in_turn() {
    let targets: Vec<(String, _)> = (1..=12)
        .map(|n| (format!("roster-{n}"), entry("roster", "upp-a", 200 + n)))
        .collect();
    let named: Vec<(&str, _)> = targets
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    let hosts = 4;
    let mut fleet = Fleet::new(hosts as u16, &["upp-a"], &named);
    let mut number = 0;
    let mut runs = 0;
    let mut send = |fleet: &mut Fleet, host| {
        number += 1;
        fleet.advance(200);
        runs += send_crashing_request(fleet, host, number).0;
        runs
    };
    for host in 0..hosts {
        send(&mut fleet, host);
    }
    for restarted in [0, 1, 2, 3, 0, 1, 2, 3] {
        fleet.silent.insert(restarted);
        fleet.advance(400);
        fleet.silent.swap_remove(&restarted);
        fleet.restart(restarted, &named);
        fleet.advance(600);
        for host in 0..hosts {
            let runs = send(&mut fleet, host);
            assert_eq!(runs, INTERRUPTIONS_MAX, "host {restarted} was restarted");
        }
    }
}

/// Guards against a count of crashes that depends on which peer tells a restarted host first: one that
/// had missed the last message of its process before knows fewer.
#[test]
fn a_restarted_host_takes_over_the_highest_count_that_its_peers_know() {
    struct Case {
        name: &'static str,
        /// What peers tell, in order.
        told: &'static [u32],
        /// Whether a complete answer precedes the last of them.
        is_answered: bool,
        expected: u32,
    }
    let cases = [
        Case {
            name: "the first knows most",
            told: &[2, 1],
            is_answered: false,
            expected: 2,
        },
        Case {
            name: "the first has missed a message",
            told: &[1, 2],
            is_answered: false,
            expected: 2,
        },
        Case {
            name: "both know the same",
            told: &[2, 2],
            is_answered: false,
            expected: 2,
        },
        Case {
            name: "an answer clears what is told later",
            told: &[1, 2],
            is_answered: true,
            expected: 0,
        },
    ];
    for case in cases {
        let mut requests = PoisonRequests::default();
        let (last, others) = case.told.split_last().unwrap();
        for count in others {
            requests.inherit(START_MS, &[(FINGERPRINT, *count)]);
        }
        if case.is_answered {
            requests.record_answer(START_MS, FINGERPRINT);
        }
        requests.inherit(START_MS, &[(FINGERPRINT, *last)]);
        let counts = requests.own_counts();
        let count = counts.first().map_or(0, |(_, count)| *count);
        assert_eq!(count, case.expected, "{}", case.name);
    }
}

/// Guards against review/7: the crash of some targets made requests poison whose runs had been answering for
/// seconds, so that streams which share path, caller and body were refused after it.
#[test]
fn only_a_run_that_has_hardly_begun_counts_as_crashed_by_its_request() {
    struct Case {
        name: &'static str,
        kind: &'static str,
        /// Time from the first event to the interruption, if there was an event.
        answered_ms: Option<u64>,
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "no event",
            kind: "check",
            answered_ms: None,
            is_refused: true,
        },
        Case {
            name: "just begun",
            kind: "check",
            answered_ms: Some(SOUND_AFTER_MS - 1),
            is_refused: true,
        },
        Case {
            name: "answering for a while",
            kind: "check",
            answered_ms: Some(SOUND_AFTER_MS),
            is_refused: false,
        },
        Case {
            name: "answering for a while, not resumable",
            kind: "draft",
            answered_ms: Some(SOUND_AFTER_MS),
            is_refused: false,
        },
    ];
    for case in cases {
        let targets: Vec<(String, _)> = (1..=12)
            .map(|n| (format!("engine-{n}"), entry("engines", "upp-a", 100 + n)))
            .collect();
        let named: Vec<(&str, _)> = targets
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.clone()))
            .collect();
        let mut host = empty_host("host-01", "upp-a", 1);
        populate(&mut host, START_MS, &named);
        let request = || IncomingRequest {
            fingerprint: FINGERPRINT,
            prompt_tokens: 100,
            time_limit_ms: Some(60_000),
            ..incoming_request(case.kind)
        };
        for number in 0..u64::from(INTERRUPTIONS_MAX) {
            let sent = receive_request(&mut host, START_MS, number, request());
            assert_eq!(dispatches(&sent).len(), 1, "{}: {number}", case.name);
        }
        let request_numbers = (0..u64::from(INTERRUPTIONS_MAX)).map(RequestNumber);
        let mut now_ms = START_MS + 100;
        if let Some(answered_ms) = case.answered_ms {
            for request_number in request_numbers.clone() {
                let events = 1;
                let progressed = Event::StreamProgressed {
                    request_number,
                    events,
                };
                apply(&mut host, now_ms, progressed);
            }
            now_ms += answered_ms;
        }
        for request_number in request_numbers {
            let ended = Event::AttemptEnded {
                request_number,
                outcome: AttemptOutcome::Interrupted,
            };
            apply(&mut host, now_ms, ended);
        }
        let effects = receive_request(&mut host, now_ms, 99, request());
        let is_refused = refusals(&effects)
            .iter()
            .any(|refusal| refusal.reason == Reason::CrashesTargets);
        assert_eq!(is_refused, case.is_refused, "{}", case.name);
    }
}
