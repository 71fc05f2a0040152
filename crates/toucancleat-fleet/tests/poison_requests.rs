//! Poison requests, which crash the targets that run them.

mod support;

use support::crashing::CrashingFleet;
use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::poison_parts::{
    CRASH_RETENTION_MS, CRASHES_MAX, CrashedTarget, PartReports, PoisonParts,
    SOUND_AFTER_MS,
};
use toucancleat_fleet::poison_verdict::CONFIRMED;
use toucancleat_fleet::prelude::*;

const FINGERPRINT: u64 = 77;

/// The content with this fingerprint.
const CONTENT: PartId = PartId(FINGERPRINT);

/// Time from the dispatch of a request that crashes its target to the crash.
const CRASH_MS: u64 = 600;

fn crashed_target(key: u32) -> CrashedTarget {
    CrashedTarget {
        key,
        unreached_ms: None,
    }
}

/// A step in the history of one fingerprint.
#[derive(Clone, Copy)]
enum Step {
    Interrupted,
    Answered,
    /// A peer reports this number of interruptions, and their age.
    PeerReports(u32, u32),
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
            steps: &[PeerReports(2, 0), Interrupted],
            is_refused: true,
        },
        Case {
            name: "an answer between interruptions",
            steps: &[Interrupted, Interrupted, Answered, Interrupted],
            is_refused: false,
        },
        Case {
            name: "an answer at this host while another still reports interruptions",
            steps: &[PeerReports(3, 0), Answered, PeerReports(3, 0)],
            is_refused: false,
        },
        Case {
            name: "two interruptions beyond the retention time, and another one",
            steps: &[
                Interrupted,
                Interrupted,
                TimePasses(CRASH_RETENTION_MS),
                Interrupted,
            ],
            is_refused: false,
        },
        Case {
            name: "a peer that reports interruptions beyond the retention time",
            steps: &[
                PeerReports(2, 0),
                TimePasses(CRASH_RETENTION_MS),
                PeerReports(2, CRASH_RETENTION_MS as u32),
                Interrupted,
            ],
            is_refused: false,
        },
    ];
    for case in cases {
        let mut requests = PoisonParts::default();
        let mut now_ms = START_MS;
        let mut target = 0;
        for step in case.steps {
            match *step {
                Interrupted => {
                    target += 1;
                    requests.record_crash(now_ms, crashed_target(target), &[CONTENT]);
                }
                Answered => {
                    requests.record_answer(now_ms, &[CONTENT]);
                }
                PeerReports(count, age_ms) => {
                    let crashes = (100..100 + count).map(|target| (target, age_ms));
                    let reports = PartReports {
                        crashes: vec![(CONTENT, crashes.collect())],
                        ..PartReports::default()
                    };
                    requests.record_reports(now_ms, &HostName::new("host-2"), &reports);
                }
                TimePasses(time_ms) => now_ms += time_ms,
            }
        }
        let is_refused = requests.is_refused(now_ms, &[CONTENT]);
        assert_eq!(is_refused, case.is_refused, "{}", case.name);
    }
}

/// Guards against several runs at one target that count each, though one crash ended them all.
#[test]
fn one_crash_of_a_target_counts_once() {
    let mut requests = PoisonParts::default();
    for _ in 0..CRASHES_MAX {
        requests.record_crash(START_MS, crashed_target(1), &[CONTENT]);
    }
    assert!(!requests.is_refused(START_MS, &[CONTENT]));
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
        fleet.advance(CRASH_MS);
        effects = apply(&mut fleet.hosts[index], fleet.now_ms, ended);
    }
    let refusals = refusals(&effects);
    fleet.execute(index, effects, true);
    let closed = Event::RequestClosed {
        request_number: RequestNumber(request_number),
    };
    apply(&mut fleet.hosts[index], fleet.now_ms, closed);
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
    assert_eq!(runs, CRASHES_MAX as u32);
    assert_eq!(last[0].reason, Reason::CrashesTargets);
    assert_eq!(last[0].verdict, Verdict::NotRun);
    let now_ms = fleet.now_ms;
    let other =
        receive_request(&mut fleet.hosts[0], now_ms, 99, incoming_request("lookup"));
    assert_eq!(dispatches(&other).len(), 1, "another request is dispatched");
}

/// Guards against repeats of a poison request that go on reaching engines as trials.
#[test]
fn repeats_of_a_poison_request_are_refused_by_all_hosts() {
    /// Repeats that may reach engines once hosts know of the third crash.
    const LATE_ARRIVALS_MAX: usize = 3;
    const CONTACT_MS: u64 = 3_000;
    struct Case {
        hosts: u16,
        repeats_per_s: f64,
        /// Whether the engines of a zone fail as the first request comes.
        zone_fails: bool,
        /// Whether hosts are restarted in turn.
        has_restarts: bool,
    }
    let cases = [
        (3, 1.0, false, false),
        (3, 1.0, false, true),
        (8, 0.4, false, false),
        (8, 0.4, false, true),
        (8, 4.0, false, false),
        (8, 4.0, false, true),
        (8, 25.0, false, false),
        (8, 4.0, true, false),
    ];
    let cases = cases.map(|(hosts, repeats_per_s, zone_fails, has_restarts)| Case {
        hosts,
        repeats_per_s,
        zone_fails,
        has_restarts,
    });
    for case in cases {
        let mut simulation = CrashingFleet::new(case.hosts, 12, &["upp-a", "upp-b"], 5);
        let began_ms = simulation.fleet.now_ms;
        while simulation.fleet.now_ms < began_ms + 40_000 {
            if simulation.is_due(10.0) {
                simulation.send("check", Vec::new(), 600, false);
            }
            let ran_ms = simulation.fleet.now_ms - began_ms;
            if case.zone_fails && ran_ms == 4_000 {
                for target in simulation.engines_of("upp-a") {
                    simulation.crash(&target);
                }
            }
            if case.has_restarts && ran_ms >= 4_000 && ran_ms.is_multiple_of(1_500) {
                let host = (ran_ms / 1_500) as usize % usize::from(case.hosts);
                if !simulation.restarted_ms.contains_key(&host) {
                    simulation.restart(host);
                }
            }
            if ran_ms >= 4_000 && simulation.is_due(case.repeats_per_s) {
                simulation.fingerprint = Some(u64::MAX);
                simulation.send("check", Vec::new(), 0, true);
                simulation.fingerprint = None;
            }
            simulation.step();
        }
        let known_ms = simulation.crashes_ms.get(2).map(|at_ms| at_ms + CONTACT_MS);
        let arrivals = simulation.poison_arrivals.iter();
        let is_in_touch = |at_ms: u64, host: usize| {
            let restarted_ms = simulation.restarted_ms.get(&host);
            restarted_ms.is_none_or(|restarted_ms| {
                !(*restarted_ms..restarted_ms + CONTACT_MS).contains(&at_ms)
            })
        };
        let late = arrivals.filter(|(at_ms, host)| {
            known_ms.is_some_and(|known_ms| *at_ms >= known_ms)
                && is_in_touch(*at_ms, *host)
        });
        let late = late.count();
        assert!(
            late <= LATE_ARRIVALS_MAX,
            "{} hosts, {} repeats a second, restarts: {}: {late} after the third of {} crashes",
            case.hosts,
            case.repeats_per_s,
            case.has_restarts,
            simulation.crashes_ms.len(),
        );
        assert_eq!(simulation.poison_refusals, 0, "sound requests");
    }
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
            assert_eq!(runs, CRASHES_MAX as u32, "host {restarted} was restarted");
        }
    }
}

/// Guards against evidence that depends on which peer tells a restarted host first: one that had missed
/// a message knows fewer crashes.
#[test]
fn a_restarted_host_knows_all_crashes_whichever_peer_tells_first() {
    /// The crashed targets that a peer reports, or its verdict.
    #[derive(Clone, Copy)]
    enum Told {
        Crashes(&'static [u32]),
        Verdict,
        Nothing,
    }
    struct Case {
        name: &'static str,
        told: &'static [Told],
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "each peer has seen a part of them",
            told: &[Told::Crashes(&[1, 2]), Told::Crashes(&[3])],
            is_refused: true,
        },
        Case {
            name: "the other way round",
            told: &[Told::Crashes(&[3]), Told::Crashes(&[1, 2])],
            is_refused: true,
        },
        Case {
            name: "both have seen the same crashes",
            told: &[Told::Crashes(&[1, 2]), Told::Crashes(&[2, 1])],
            is_refused: false,
        },
        Case {
            name: "the first has missed the verdict",
            told: &[Told::Nothing, Told::Verdict],
            is_refused: true,
        },
        Case {
            name: "the second has missed it",
            told: &[Told::Verdict, Told::Nothing],
            is_refused: true,
        },
    ];
    for case in cases {
        let mut requests = PoisonParts::default();
        for (number, told) in case.told.iter().enumerate() {
            let mut reports = PartReports::default();
            match told {
                Told::Crashes(targets) => {
                    let crashes = targets.iter().map(|target| (*target, 900));
                    reports.crashes.push((CONTENT, crashes.collect()));
                }
                Told::Verdict => {
                    reports.poison.push((CONTENT, 900));
                    reports.trials.confidences.push(CONFIRMED);
                }
                Told::Nothing => {}
            }
            let peer = HostName::new(&format!("host-{number}"));
            requests.record_reports(START_MS, &peer, &reports);
        }
        let is_refused = requests.is_refused(START_MS, &[CONTENT]);
        assert_eq!(is_refused, case.is_refused, "{}", case.name);
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
        for number in 0..CRASHES_MAX as u64 {
            let sent = receive_request(&mut host, START_MS, number, request());
            assert_eq!(dispatches(&sent).len(), 1, "{}: {number}", case.name);
        }
        let request_numbers = (0..CRASHES_MAX as u64).map(RequestNumber);
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
