//! Poison parts of prompts, which crash every engine that begins to answer a request with one.

mod support;

use support::START_MS;
use support::crashing::CrashingFleet;
use toucancleat_fleet::poison_parts::{
    CRASH_RETENTION_MS, CRASHES_MAX, CrashedTarget, FRESH_ANSWER_MS, PartReports,
    PoisonParts,
};
use toucancleat_fleet::poison_verdict::REFUSAL_MS;
use toucancleat_fleet::prelude::*;

/// Time after the fifth crash from which hosts know of it.
const CONTACT_MS: u64 = 3_000;

/// Requests with a poison part that may reach engines from then on.
const LATE_ARRIVALS_MAX: usize = 3;

/// Time between two restarts of hosts.
const RESTART_PAUSE_MS: u64 = 600;

/// How hosts are restarted, from 4 s after the first poison request on.
#[derive(Clone, Copy)]
enum Restarts {
    None,
    InTurn,
    AtOnce,
}

const POISON: PartId = PartId(u64::MAX);

/// The first parts of prompts, of which there are eight, and the second ones.
fn first_part(n: usize) -> PartId {
    PartId(100 + n as u64 % 8)
}

fn second_part(n: usize) -> PartId {
    PartId(1_000 + n as u64 % 400)
}

/// Sends the sound requests of one step: long streams and short ones.
fn send_sound(simulation: &mut CrashingFleet, hosts: f64) {
    for (kind, per_s, length_ms) in
        [("draft", 0.55 * hosts, 8_000), ("check", 0.8 * hosts, 100)]
    {
        if simulation.is_due(per_s) {
            let parts = vec![
                first_part(simulation.rng.below(8)),
                second_part(simulation.rng.below(400)),
            ];
            simulation.send(kind, parts, length_ms, false);
        }
    }
}

/// Guards against the incident of docs/incidents/prompt-part-crashes-targets.md: requests that
/// share only a poison part crashed engine after engine, since no two of them were alike. Also against review/10:
/// the crashes of engines that keep their names counted as one for each name.
#[test]
fn requests_with_a_poison_part_are_refused_by_all_hosts() {
    #[derive(Clone, Copy)]
    struct Case {
        name: &'static str,
        hosts: u16,
        engines: u16,
        /// Time of sound requests before the first poison request.
        quiet_ms: u64,
        /// The other parts of a poison request, from a random number.
        other_parts: fn(usize) -> Vec<PartId>,
        kind: &'static str,
        /// Poison requests a second.
        poison_per_s: f64,
        restarts: Restarts,
        /// Whether the engines of a zone fail at the moment of the first poison request.
        zone_fails: bool,
        /// Whether crashed engines start again under their names.
        engines_keep_names: bool,
        /// Whether hosts don't learn of these starts.
        hides_starts: bool,
    }
    let plain = Case {
        name: "other parts at random",
        hosts: 8,
        engines: 12,
        quiet_ms: 10_000,
        other_parts: |n| vec![first_part(n), second_part(n / 8)],
        kind: "check",
        poison_per_s: 4.0,
        restarts: Restarts::None,
        zone_fails: false,
        engines_keep_names: false,
        hides_starts: false,
    };
    let cases = [
        Case {
            name: "two engines that keep their names",
            engines: 2,
            engines_keep_names: true,
            ..plain
        },
        Case {
            name: "twelve engines that keep their names",
            engines_keep_names: true,
            ..plain
        },
        Case {
            name: "two engines whose starts aren't known before they crash again",
            engines: 2,
            engines_keep_names: true,
            hides_starts: true,
            ..plain
        },
        Case {
            name: "a burst of poison requests",
            poison_per_s: 25.0,
            ..plain
        },
        Case {
            name: "few poison requests",
            poison_per_s: 0.4,
            ..plain
        },
        Case {
            name: "always the same other parts",
            other_parts: |_| vec![first_part(0), second_part(0)],
            ..plain
        },
        Case {
            name: "no other part",
            other_parts: |_| Vec::new(),
            ..plain
        },
        Case {
            name: "streams that run once only",
            kind: "draft",
            ..plain
        },
        Case {
            name: "the fleet has just started",
            quiet_ms: 0,
            ..plain
        },
        Case {
            name: "hosts are restarted in turn",
            restarts: Restarts::InTurn,
            ..plain
        },
        Case {
            name: "all hosts are restarted at once",
            restarts: Restarts::AtOnce,
            ..plain
        },
        Case {
            name: "a zone fails at the same time",
            zone_fails: true,
            ..plain
        },
        Case {
            name: "61 hosts",
            hosts: 61,
            engines: 60,
            quiet_ms: 4_000,
            ..plain
        },
        plain,
    ];
    for case in cases {
        let zones = ["upp-a", "upp-b", "vas-a", "ore-a"];
        let mut simulation = CrashingFleet::new(case.hosts, case.engines, &zones, 5);
        simulation.engines_keep_names = case.engines_keep_names;
        simulation.hides_starts = case.hides_starts;
        let hosts = f64::from(case.hosts);
        let began_ms = simulation.fleet.now_ms;
        let poison_from_ms = began_ms + case.quiet_ms;
        let end_ms = poison_from_ms + 24_000;
        while simulation.fleet.now_ms < end_ms {
            send_sound(&mut simulation, hosts);
            let now_ms = simulation.fleet.now_ms;
            if case.zone_fails && now_ms == poison_from_ms {
                for target in simulation.engines_of("vas-a") {
                    simulation.crash(&target);
                }
            }
            if now_ms >= poison_from_ms && simulation.is_due(case.poison_per_s) {
                let mut parts = (case.other_parts)(simulation.rng.below(3_200));
                parts.push(POISON);
                simulation.send(case.kind, parts, 0, true);
            }
            let restart_ms = (now_ms - began_ms).saturating_sub(case.quiet_ms + 4_000);
            for host in 0..usize::from(case.hosts) {
                let due_ms = match case.restarts {
                    Restarts::None => continue,
                    Restarts::InTurn => RESTART_PAUSE_MS * (host as u64 + 1),
                    Restarts::AtOnce => RESTART_PAUSE_MS,
                };
                if restart_ms == due_ms {
                    simulation.restart(host);
                }
            }
            simulation.step();
        }
        let bound_ms = simulation.crashes_ms.get(4).map(|at_ms| at_ms + CONTACT_MS);
        let is_in_touch = |at_ms: u64, host: usize| {
            let restarted_ms = simulation.restarted_ms.get(&host);
            restarted_ms.is_none_or(|restarted_ms| at_ms >= restarted_ms + CONTACT_MS)
        };
        let late = simulation.poison_arrivals.iter().filter(|(at_ms, host)| {
            bound_ms.is_some_and(|bound_ms| *at_ms >= bound_ms)
                && is_in_touch(*at_ms, *host)
        });
        assert!(
            late.clone().count() <= LATE_ARRIVALS_MAX,
            "{}: {} requests after the fifth of {} crashes",
            case.name,
            late.count(),
            simulation.crashes_ms.len(),
        );
        let last_counted = simulation.crashes_ms.iter().take(5).next_back();
        let sound_from_ms = last_counted.map_or(end_ms, |at_ms| at_ms + 2 * CONTACT_MS);
        let begun = simulation.begun_share(sound_from_ms, end_ms - 500);
        assert!(
            begun >= 0.5,
            "{}: {begun:.2} of the sound requests began",
            case.name
        );
    }
}

/// A part that crashes no engine must not be refused because engines fail.
#[test]
fn sound_parts_are_not_refused_when_engines_fail() {
    struct Case {
        name: &'static str,
        /// Time between two failures of a random engine.
        failure_ms: Option<u64>,
        /// Time between two failures of all engines of a zone.
        zone_failure_ms: Option<u64>,
        quiet_ms: u64,
    }
    let cases = [
        Case {
            name: "an engine fails each second",
            failure_ms: Some(1_000),
            zone_failure_ms: None,
            quiet_ms: 4_000,
        },
        Case {
            name: "a zone fails each six seconds",
            failure_ms: None,
            zone_failure_ms: Some(6_000),
            quiet_ms: 4_000,
        },
        Case {
            name: "engines and zones fail from the start on",
            failure_ms: Some(2_000),
            zone_failure_ms: Some(8_000),
            quiet_ms: 0,
        },
    ];
    for case in cases {
        let zones = ["upp-a", "upp-b", "vas-a", "ore-a"];
        let mut simulation = CrashingFleet::new(8, 12, &zones, 9);
        let began_ms = simulation.fleet.now_ms;
        let is_due = |interval_ms: Option<u64>, ran_ms: u64| {
            interval_ms
                .is_some_and(|ms| ran_ms > case.quiet_ms && ran_ms.is_multiple_of(ms))
        };
        while simulation.fleet.now_ms < began_ms + 40_000 {
            send_sound(&mut simulation, 8.0);
            let ran_ms = simulation.fleet.now_ms - began_ms;
            let zone = zones[simulation.rng.below(4)];
            let engines = simulation.engines_of(zone);
            if is_due(case.zone_failure_ms, ran_ms) {
                for target in &engines {
                    simulation.crash(target);
                }
            } else if is_due(case.failure_ms, ran_ms) {
                let index = simulation.rng.below(engines.len());
                simulation.crash(&engines[index]);
            }
            simulation.step();
        }
        assert_eq!(simulation.poison_refusals, 0, "{}", case.name);
    }
}

/// Guards against review/11: all engines crashed at once, and hosts refused all requests that shared the
/// first part of their prompts, for ten minutes, since each crash counted against that part.
#[test]
fn sound_requests_begin_after_all_engines_crashed_at_once() {
    struct Case {
        name: &'static str,
        /// Time without requests before the last ones that precede the crash.
        pause_ms: u64,
        /// Time of requests between that pause and the crash.
        busy_ms: u64,
        /// Whether requests with a poison part come as well.
        has_poison: bool,
    }
    let cases = [
        Case {
            name: "steady traffic",
            pause_ms: 0,
            busy_ms: 8_000,
            has_poison: false,
        },
        Case {
            name: "a poison part beside it",
            pause_ms: 0,
            busy_ms: 8_000,
            has_poison: true,
        },
        Case {
            name: "a burst after a quiet time",
            pause_ms: 10_000,
            busy_ms: 400,
            has_poison: false,
        },
        Case {
            name: "a burst after a quiet time, and a poison part",
            pause_ms: 10_000,
            busy_ms: 400,
            has_poison: true,
        },
    ];
    for case in cases {
        let mut simulation = CrashingFleet::new(3, 12, &["upp-a", "upp-b"], 7);
        simulation.engines_keep_names = true;
        let sound_parts = || vec![first_part(0), second_part(0)];
        let send = |simulation: &mut CrashingFleet| {
            if simulation.is_due(25.0) {
                simulation.send("check", sound_parts(), 600, false);
            }
            if case.has_poison && simulation.is_due(2.0) {
                let parts = vec![first_part(0), POISON];
                simulation.send("check", parts, 0, true);
            }
            simulation.step();
        };
        let run_for = |simulation: &mut CrashingFleet, time_ms: u64| {
            let end_ms = simulation.fleet.now_ms + time_ms;
            while simulation.fleet.now_ms < end_ms {
                send(simulation);
            }
        };
        run_for(&mut simulation, 8_000);
        let resumed_ms = simulation.fleet.now_ms + case.pause_ms;
        while simulation.fleet.now_ms < resumed_ms {
            simulation.step();
        }
        run_for(&mut simulation, case.busy_ms);
        for target in [
            simulation.engines_of("upp-a"),
            simulation.engines_of("upp-b"),
        ]
        .concat()
        {
            simulation.crash(&target);
        }
        let crashed_ms = simulation.fleet.now_ms;
        run_for(&mut simulation, 2 * CONTACT_MS + 15_000);
        let end_ms = simulation.fleet.now_ms;
        let begun = simulation.begun_share(crashed_ms + 2 * CONTACT_MS, end_ms - 1_000);
        assert!(
            begun >= 0.5,
            "{}: {begun:.2} of the sound requests began",
            case.name
        );
    }
}

const A: PartId = PartId(1);
const B: PartId = PartId(2);
const P: PartId = PartId(3);

/// A step in the history of a host.
#[derive(Clone, Copy)]
enum Step {
    /// A target, by its key, crashed under a request with these parts.
    Crashed(u32, &'static [PartId]),
    Answered(&'static [PartId]),
    /// A peer reports crashes of these targets, which have just happened.
    PeerCrashes(PartId, &'static [u32]),
    /// A peer reports crashes of these targets, and their age.
    PeerCrashesBefore(PartId, &'static [u32], u32),
    /// A peer reports that a part is poison, and the age of its verdict.
    PeerVerdict(PartId, u32),
    /// A peer reports an answer, and its age.
    PeerAnswer(PartId, u32),
    TimePasses(u64),
}

fn crashed_target(key: u32) -> CrashedTarget {
    CrashedTarget {
        key,
        unreached_ms: None,
    }
}

fn peer() -> HostName {
    HostName::new("host-2")
}

fn apply_step(parts: &mut PoisonParts, now_ms: &mut u64, step: Step) {
    match step {
        Step::Crashed(target, crashed) => {
            parts.record_crash(*now_ms, crashed_target(target), crashed);
        }
        Step::Answered(answered) => {
            parts.record_answer(*now_ms, answered);
        }
        Step::PeerCrashes(part, targets) => {
            apply_step(parts, now_ms, Step::PeerCrashesBefore(part, targets, 0));
        }
        Step::PeerCrashesBefore(part, targets, age_ms) => {
            let targets = targets.iter().map(|target| (*target, age_ms)).collect();
            let reports = PartReports {
                crashes: vec![(part, targets)],
                ..PartReports::default()
            };
            parts.record_reports(*now_ms, &peer(), &reports);
        }
        Step::PeerVerdict(part, age_ms) => {
            let reports = PartReports {
                poison: vec![(part, age_ms)],
                ..PartReports::default()
            };
            parts.record_reports(*now_ms, &peer(), &reports);
        }
        Step::PeerAnswer(part, age_ms) => {
            let reports = PartReports {
                answered: vec![(part, age_ms)],
                ..PartReports::default()
            };
            parts.record_reports(*now_ms, &peer(), &reports);
        }
        Step::TimePasses(time_ms) => *now_ms += time_ms,
    }
}

#[test]
fn parts_are_refused_by_the_crashes_that_they_explain() {
    use Step::*;
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        refused: &'static [&'static [PartId]],
        accepted: &'static [&'static [PartId]],
    }
    let cases = [
        Case {
            name: "two crashes may be coincidental",
            steps: &[Crashed(1, &[P]), Crashed(2, &[P])],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "one target counts once",
            steps: &[
                Crashed(1, &[P]),
                Crashed(1, &[P]),
                Crashed(1, &[P]),
                PeerCrashes(P, &[1, 2]),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "crashes at this host and at another",
            steps: &[Crashed(1, &[P]), PeerCrashes(P, &[2, 3])],
            refused: &[&[P], &[A, P]],
            accepted: &[&[A], &[]],
        },
        Case {
            name: "the part with the most crashes explains those of the others",
            steps: &[
                Crashed(1, &[A, P]),
                Crashed(2, &[A, P]),
                Crashed(3, &[B, P]),
                Crashed(4, &[A, P]),
            ],
            refused: &[&[P]],
            accepted: &[&[A], &[B], &[A, B]],
        },
        Case {
            name: "parts that were always together are refused together",
            steps: &[
                Crashed(1, &[A, P]),
                Crashed(2, &[A, P]),
                Crashed(3, &[A, P]),
            ],
            refused: &[&[A, P]],
            accepted: &[&[A], &[P], &[A, B]],
        },
        Case {
            name: "an answer tells them apart",
            steps: &[
                Crashed(1, &[A, P]),
                Crashed(2, &[A, P]),
                Crashed(3, &[A, P]),
                Answered(&[A]),
                Crashed(4, &[A, P]),
            ],
            refused: &[&[A, P], &[P]],
            accepted: &[&[A]],
        },
        Case {
            name: "a part with an earlier answer isn't blamed beside one without",
            steps: &[
                Answered(&[A]),
                Crashed(1, &[A, P]),
                Crashed(2, &[A, P]),
                Crashed(3, &[A, P]),
            ],
            refused: &[&[P]],
            accepted: &[&[A]],
        },
        Case {
            name: "a part that was sound before, by the oldest answer",
            steps: &[
                Answered(&[P]),
                TimePasses(FRESH_ANSWER_MS + 1),
                Answered(&[A]),
                Crashed(1, &[A, P]),
                Crashed(2, &[A, P]),
                Answered(&[A]),
                Crashed(3, &[A, P]),
            ],
            refused: &[&[P]],
            accepted: &[&[A]],
        },
        Case {
            name: "an answer between crashes",
            steps: &[
                Crashed(1, &[P]),
                Crashed(2, &[P]),
                TimePasses(5),
                Answered(&[P]),
                TimePasses(5),
                Crashed(3, &[P]),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "a run that began before the verdict is answered after it",
            steps: &[
                Crashed(1, &[P]),
                Crashed(2, &[P]),
                Crashed(3, &[P]),
                TimePasses(5),
                Answered(&[P]),
                PeerVerdict(P, 4),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "an answer at a peer",
            steps: &[
                Crashed(1, &[P]),
                Crashed(2, &[P]),
                Crashed(3, &[P]),
                TimePasses(100),
                PeerAnswer(P, 30),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "an answer at a peer before the crashes",
            steps: &[
                TimePasses(500),
                Crashed(1, &[P]),
                Crashed(2, &[P]),
                Crashed(3, &[P]),
                PeerAnswer(P, FRESH_ANSWER_MS as u32 + 1),
            ],
            refused: &[&[P]],
            accepted: &[],
        },
        Case {
            name: "an answer at a peer shortly before the crashes",
            steps: &[
                TimePasses(500),
                Crashed(1, &[P]),
                Crashed(2, &[P]),
                Crashed(3, &[P]),
                PeerAnswer(P, FRESH_ANSWER_MS as u32),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "a peer's crashes shortly after an answer here",
            steps: &[
                Answered(&[P]),
                TimePasses(FRESH_ANSWER_MS),
                PeerCrashes(P, &[1, 2, 3]),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "all targets crash under parts that have just been answered",
            steps: &[
                Answered(&[A]),
                TimePasses(5),
                Answered(&[B]),
                TimePasses(5),
                Crashed(1, &[A, B]),
                Crashed(2, &[A, B]),
                Crashed(3, &[A, B]),
            ],
            refused: &[],
            accepted: &[&[A], &[B], &[A, B]],
        },
        Case {
            name: "crashes at a peer, and then an earlier answer that is later than they are",
            steps: &[
                PeerCrashesBefore(P, &[1, 2, 3], 5_000),
                PeerAnswer(P, 3_000),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "a verdict of a peer",
            steps: &[PeerVerdict(P, 5_000)],
            refused: &[&[P]],
            accepted: &[&[A]],
        },
        Case {
            name: "crashes beyond the retention time",
            steps: &[
                Crashed(1, &[P]),
                Crashed(2, &[P]),
                TimePasses(CRASH_RETENTION_MS),
                Crashed(3, &[P]),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "a verdict ends",
            steps: &[PeerVerdict(P, 0), TimePasses(REFUSAL_MS)],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "a verdict that returns from a peer doesn't last longer",
            steps: &[
                PeerVerdict(P, 0),
                TimePasses(REFUSAL_MS - 1),
                PeerVerdict(P, REFUSAL_MS as u32 - 10),
                TimePasses(1),
                PeerVerdict(P, REFUSAL_MS as u32 - 10),
            ],
            refused: &[],
            accepted: &[&[P]],
        },
        Case {
            name: "one crash after the end of a verdict",
            steps: &[
                PeerVerdict(P, 0),
                TimePasses(REFUSAL_MS + 1),
                Crashed(1, &[P]),
            ],
            refused: &[&[P]],
            accepted: &[],
        },
    ];
    for case in cases {
        let mut parts = PoisonParts::default();
        let mut now_ms = START_MS;
        for step in case.steps {
            apply_step(&mut parts, &mut now_ms, *step);
        }
        for (requests, is_refused) in [(case.refused, true), (case.accepted, false)] {
            for request in requests {
                let refused_for_ms = parts.refused_for_ms(now_ms, request, || 0);
                assert_eq!(
                    refused_for_ms.is_some(),
                    is_refused,
                    "{}: {request:?}",
                    case.name
                );
            }
        }
    }
}

/// Guards against crashes of targets that count as one, since hosts have not heard of them since they
/// started anew; and against a target that breaks connections off, but hasn't crashed, counting each time.
#[test]
fn a_target_that_was_down_after_a_crash_has_started_anew() {
    struct Case {
        name: &'static str,
        /// Whether it couldn't be reached between a crash and the next.
        is_down_between: bool,
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "down after each crash",
            is_down_between: true,
            is_refused: true,
        },
        Case {
            name: "connections broken off",
            is_down_between: false,
            is_refused: false,
        },
    ];
    for case in cases {
        let mut parts = PoisonParts::default();
        for crash in 0..CRASHES_MAX as u64 {
            let now_ms = START_MS + crash * 1_000;
            assert!(!parts.is_refused(now_ms, &[P]), "{}: {crash}", case.name);
            let target = CrashedTarget {
                unreached_ms: case.is_down_between.then_some(now_ms - 500),
                ..crashed_target(7)
            };
            parts.record_crash(now_ms, target, &[P]);
        }
        let is_refused = parts.is_refused(START_MS + 2_500, &[P]);
        assert_eq!(is_refused, case.is_refused, "{}", case.name);
    }
}

/// Reports of peers, however many, must not use up memory or displace a verdict.
#[test]
fn reports_are_bounded() {
    let mut parts = PoisonParts::default();
    for target in 0..CRASHES_MAX as u32 {
        parts.record_crash(START_MS, crashed_target(target), &[P]);
    }
    for message in 0..1_000_u64 {
        let invented = |n: u64| PartId(1_000 + message * 100 + n);
        let reports = PartReports {
            crashes: (0..100).map(|n| (invented(n), vec![(7, 0); 100])).collect(),
            poison: Vec::new(),
            answered: (0..100).map(|n| (invented(n), 0)).collect(),
            ..PartReports::default()
        };
        parts.record_reports(START_MS, &peer(), &reports);
    }
    assert!(parts.refused_for_ms(START_MS, &[P], || 0).is_some());
    let reports = parts.own_reports(START_MS);
    assert_eq!(reports.poison, [(P, 0)]);
    assert!(reports.crashes.len() <= 32 && reports.answered.len() <= 32);
}
