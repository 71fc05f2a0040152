//! Verdicts on poison parts of prompts, and the trials that confirm or end them.

mod support;

use support::START_MS;
use support::crashing::CrashingFleet;
use toucancleat_fleet::poison_parts::{
    CrashedTarget, PartReports, PoisonParts, TargetKey, TrialReports,
};
use toucancleat_fleet::poison_verdict::{
    COMMON_CAUSE_MS, CONFIRMED, PoisonVerdict, TRIAL_MS, trial_delay_ms,
};
use toucancleat_fleet::prelude::*;

const P: PartId = PartId(3);

/// Pauses before the trials of a new verdict and of a confirmed one.
const PAUSE_MS: u64 = 1_000;
const CONFIRMED_PAUSE_MS: u64 = 60_000;

/// A step in the history of two hosts.
#[derive(Clone, Copy)]
enum Step {
    /// This number of targets crash at the same moment under requests of a host.
    Crash(usize, u32),
    /// A host sends a request with the part.
    Send(usize),
    /// The run of a host's trial ends, and its request has reached no target or shown nothing.
    EndTrial(usize),
    Answer(usize),
    /// Each host receives a message of the other one.
    Exchange,
    TimePasses(u64),
}

struct Hosts {
    hosts: [PoisonParts; 2],
    now_ms: u64,
    next_target: TargetKey,
}

impl Hosts {
    fn apply(&mut self, step: Step) {
        let now_ms = self.now_ms;
        match step {
            Step::Crash(host, targets) => {
                for _ in 0..targets {
                    self.next_target += 1;
                    let target = CrashedTarget {
                        key: self.next_target,
                        unreached_ms: None,
                    };
                    self.hosts[host].record_crash(now_ms, target, &[P]);
                    self.hosts[host].end_trial(&[P]);
                }
            }
            Step::Send(host) => self.hosts[host].begin_trial(now_ms, &[P]),
            Step::EndTrial(host) => self.hosts[host].end_trial(&[P]),
            Step::Answer(host) => {
                self.hosts[host].record_answer(now_ms, &[P]);
                self.hosts[host].end_trial(&[P]);
            }
            Step::Exchange => {
                let reports = [0, 1].map(|host| self.hosts[host].own_reports(now_ms));
                let names = [0, 1].map(|host| HostName::new(&format!("host-{host}")));
                for (host, peer) in [(0, 1), (1, 0)] {
                    let report = &reports[peer];
                    self.hosts[host].record_reports(now_ms, &names[peer], report);
                }
            }
            Step::TimePasses(time_ms) => self.now_ms += time_ms,
        }
    }
}

/// Guards against a wrong verdict that nothing can end, since requests with the part are refused at all
/// hosts, and against trials that several hosts begin at once.
#[test]
fn one_request_at_a_time_is_a_trial_of_a_refused_part() {
    use Step::*;
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        /// Whether each host refuses the next request with the part.
        is_refused: [bool; 2],
        /// Whether the part counts as poison at each host.
        is_poison: [bool; 2],
    }
    let cases = [
        Case {
            name: "no trial yet",
            steps: &[Crash(0, 3), Exchange, TimePasses(PAUSE_MS - 1)],
            is_refused: [true, true],
            is_poison: [true, true],
        },
        Case {
            name: "a trial is due",
            steps: &[Crash(0, 3), Exchange, TimePasses(PAUSE_MS)],
            is_refused: [false, false],
            is_poison: [true, true],
        },
        Case {
            name: "a trial is running",
            steps: &[
                Crash(0, 3),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(0),
                Exchange,
            ],
            is_refused: [true, true],
            is_poison: [true, true],
        },
        Case {
            name: "a trial is answered",
            steps: &[
                Crash(0, 3),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(0),
                Exchange,
                TimePasses(600),
                Answer(0),
                Exchange,
            ],
            is_refused: [false, false],
            is_poison: [false, false],
        },
        Case {
            name: "a trial crashes its target",
            steps: &[
                Crash(0, 3),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(0),
                Exchange,
                TimePasses(100),
                Crash(0, 1),
                Exchange,
                TimePasses(PAUSE_MS - 1),
            ],
            is_refused: [true, true],
            is_poison: [true, true],
        },
        Case {
            name: "two trials crash their targets",
            steps: &[
                Crash(0, 3),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(0),
                Crash(0, 1),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(1),
                Crash(1, 1),
                Exchange,
                TimePasses(CONFIRMED_PAUSE_MS - 1),
            ],
            is_refused: [true, true],
            is_poison: [true, true],
        },
        Case {
            name: "a trial of the confirmed verdict is due",
            steps: &[
                Crash(0, 3),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(0),
                Crash(0, 1),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(1),
                Crash(1, 1),
                Exchange,
                TimePasses(CONFIRMED_PAUSE_MS),
            ],
            is_refused: [false, false],
            is_poison: [true, true],
        },
        Case {
            name: "crashes on three occasions confirm it at once",
            steps: &[
                Crash(0, 1),
                TimePasses(COMMON_CAUSE_MS),
                Crash(0, 1),
                TimePasses(COMMON_CAUSE_MS),
                Crash(0, 1),
                Exchange,
                TimePasses(CONFIRMED_PAUSE_MS - 1),
            ],
            is_refused: [true, true],
            is_poison: [true, true],
        },
        Case {
            name: "a trial reaches no target",
            steps: &[
                Crash(0, 3),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(0),
                Exchange,
                EndTrial(0),
                Exchange,
            ],
            is_refused: [false, false],
            is_poison: [true, true],
        },
        Case {
            name: "a trial is lost with its host",
            steps: &[
                Crash(0, 3),
                Exchange,
                TimePasses(PAUSE_MS),
                Send(0),
                Exchange,
                TimePasses(TRIAL_MS),
            ],
            is_refused: [false, false],
            is_poison: [true, true],
        },
    ];
    for case in cases {
        let mut hosts = Hosts {
            hosts: Default::default(),
            now_ms: START_MS,
            next_target: 0,
        };
        for step in case.steps {
            hosts.apply(*step);
        }
        let now_ms = hosts.now_ms;
        let refused = [0, 1].map(|host| {
            let refused_ms = hosts.hosts[host].refused_for_ms(now_ms, &[P], || 0);
            refused_ms.is_some()
        });
        assert_eq!(refused, case.is_refused, "{}", case.name);
        let poison = [0, 1].map(|host| hosts.hosts[host].poison_count(now_ms) > 0);
        assert_eq!(poison, case.is_poison, "{}", case.name);
    }
}

/// Guards against crashes at one moment that count as independent evidence.
#[test]
fn confidence_follows_the_occasions_of_crashes() {
    struct Case {
        name: &'static str,
        crashes_ms: &'static [u64],
        confidence: u8,
    }
    let cases = [
        Case {
            name: "many at one moment",
            crashes_ms: &[100, 0, 3, 50, 499, 200, 7],
            confidence: 0,
        },
        Case {
            name: "two occasions",
            crashes_ms: &[0, 1, COMMON_CAUSE_MS],
            confidence: 1,
        },
        Case {
            name: "three occasions",
            crashes_ms: &[2 * COMMON_CAUSE_MS, 0, COMMON_CAUSE_MS],
            confidence: CONFIRMED,
        },
        Case {
            name: "more occasions",
            crashes_ms: &[0, 1_000, 2_000, 3_000, 4_000],
            confidence: CONFIRMED,
        },
    ];
    for case in cases {
        let verdict = PoisonVerdict::from_crashes(case.crashes_ms.iter().copied());
        let verdict = verdict.expect("there are crashes");
        assert_eq!(verdict.confidence, case.confidence, "{}", case.name);
        let last_ms = case.crashes_ms.iter().max();
        assert_eq!(Some(&verdict.since_ms), last_ms, "{}", case.name);
    }
    assert_eq!(PoisonVerdict::from_crashes([].into_iter()), None);
}

/// Guards against a process that ends since a peer names a confidence that no verdict has.
#[test]
fn a_verdict_of_any_confidence_is_renewed_by_a_crash() {
    for confidence in [CONFIRMED, CONFIRMED + 1, u8::MAX - 1, u8::MAX] {
        let mut parts = PoisonParts::default();
        let reports = PartReports {
            poison: vec![(P, 0)],
            trials: TrialReports {
                confidences: vec![confidence],
                begun: Vec::new(),
            },
            ..PartReports::default()
        };
        parts.record_reports(START_MS, &HostName::new("host-1"), &reports);
        let target = CrashedTarget {
            key: 1,
            unreached_ms: None,
        };
        let now_ms = START_MS + CONFIRMED_PAUSE_MS;
        parts.begin_trial(now_ms, &[P]);
        parts.record_crash(now_ms, target, &[P]);
        assert!(parts.is_refused(now_ms + 1, &[P]), "{confidence}");
        let known = parts.own_reports(now_ms).trials.confidences;
        assert_eq!(known, [CONFIRMED + 1], "{confidence}");
    }
}

/// The first of a fleet's hosts begins a trial at once, and all of a large one may within seconds.
#[test]
fn the_number_of_hosts_that_may_begin_a_trial_doubles() {
    let hosts_until = |delay_ms: u64| {
        let hosts = 0..1_200_u64;
        hosts
            .filter(|before| trial_delay_ms(*before) <= delay_ms)
            .count()
    };
    let delays_ms = (0..=11).map(|step| step * trial_delay_ms(1));
    let counts: Vec<usize> = delays_ms.map(hosts_until).collect();
    let expected = [1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1_024, 1_200];
    assert_eq!(counts, expected);
    assert!(trial_delay_ms(1_199) < TRIAL_MS);
}

/// Guards against requests that are refused at a cost that grows with the fleet: a host's place among all
/// hosts matters only once a trial is due.
#[test]
fn hosts_ask_for_their_turn_only_once_a_trial_is_due() {
    let mut parts = PoisonParts::default();
    for key in 0..3 {
        let target = CrashedTarget {
            key,
            unreached_ms: None,
        };
        parts.record_crash(START_MS, target, &[P]);
    }
    let due_ms = START_MS + PAUSE_MS;
    let delay_ms = trial_delay_ms(1);
    let refused_ms = |now_ms| {
        let is_asked = std::cell::Cell::new(false);
        let turn = || {
            is_asked.set(true);
            delay_ms
        };
        (parts.refused_for_ms(now_ms, &[P], turn), is_asked.get())
    };
    assert_eq!(refused_ms(due_ms - 1), (Some(1 + TRIAL_MS), false));
    assert_eq!(refused_ms(due_ms), (Some(TRIAL_MS), true));
    assert_eq!(refused_ms(due_ms + delay_ms), (None, true));
}

/// Guards against callers who all return at one moment since they were refused by one verdict.
#[test]
fn callers_that_one_verdict_refuses_return_at_different_times() {
    struct Case {
        name: &'static str,
        /// Time for which poison requests come.
        poison_ms: u64,
        pause_ms: u64,
    }
    let cases = [
        Case {
            name: "a new verdict",
            poison_ms: 1_000,
            pause_ms: PAUSE_MS,
        },
        Case {
            name: "a confirmed verdict",
            poison_ms: 8_000,
            pause_ms: CONFIRMED_PAUSE_MS,
        },
    ];
    for case in cases {
        let mut simulation = CrashingFleet::new(3, 12, &["upp-a"], 7);
        let end_ms = simulation.fleet.now_ms + case.poison_ms;
        while simulation.fleet.now_ms < end_ms {
            if simulation.is_due(20.0) {
                simulation.send("check", vec![P], 600, true);
            }
            simulation.step();
        }
        assert!(simulation.crashes_ms.len() >= 3, "{}", case.name);
        for _ in 0..40 {
            simulation.send("check", vec![P], 600, true);
        }
        let refusals = &simulation.fleet.refused_requests;
        let times_ms: Vec<u64> = refusals
            .iter()
            .filter(|(_, refusal)| refusal.reason == Reason::CrashesTargets)
            .filter_map(|(_, refusal)| refusal.retry_after_ms)
            .collect();
        assert!(times_ms.len() >= 39, "{}: {times_ms:?}", case.name);
        let first_ms = times_ms.iter().min().copied().unwrap_or_default();
        let last_ms = times_ms.iter().max().copied().unwrap_or_default();
        let range = format!("{}: {first_ms} to {last_ms} ms", case.name);
        assert!(first_ms >= TRIAL_MS, "{range}");
        assert!(last_ms <= 2 * (case.pause_ms + TRIAL_MS), "{range}");
        assert!(last_ms - first_ms >= first_ms / 4, "{range}");
    }
}
