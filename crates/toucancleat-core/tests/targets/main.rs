//! Judgement of targets: leaving, failing, stalling, flapping, slow, replaced.

mod zone;

use toucancleat_core::targets::{
    Admission, Config, Effect, Event, Message, Outcome, Report, State, reduce,
};

use self::zone::{Zone, host, seen, target};

const ANSWERED: Outcome = Outcome::Answered {
    first_token_ms: 100.0,
};

fn ended(state: &mut State, now_ms: u64, number: usize, outcome: Outcome) -> Vec<Effect> {
    let mut effects = Vec::new();
    let event = Event::Ended {
        target: target(number),
        epoch: 1,
        outcome,
    };
    reduce(state, now_ms, event, &mut effects);
    effects
}

/// A host that knows a pool of targets and two other hosts.
fn state(targets: usize) -> State {
    let mut state = State::new(Config::default(), 1);
    for number in 0..targets {
        seen(&mut state, number, 1);
    }
    let peers = vec![host(1), host(2)];
    reduce(&mut state, 0, Event::Hosts { peers }, &mut Vec::new());
    state
}

#[test]
fn failing_targets_are_taken_out_and_tried_again() {
    #[derive(Clone, Copy)]
    enum Step {
        End(u64, Outcome),
        Admit(u64, Admission),
    }
    use Step::{Admit, End};
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
    }
    const FAILED: Outcome = Outcome::Failed;
    const STALLED: Outcome = Outcome::Stalled;
    const YES: Admission = Admission::Yes;
    const TRIAL: Admission = Admission::Trial;
    fn out(retry_after_ms: u64) -> Admission {
        Admission::Out { retry_after_ms }
    }
    let cases = [
        Case {
            name: "two failures and a success leave it in",
            steps: vec![
                End(0, FAILED),
                End(0, FAILED),
                End(0, ANSWERED),
                End(0, FAILED),
                Admit(1, YES),
            ],
        },
        Case {
            name: "three failures in a row take it out",
            steps: vec![
                End(0, FAILED),
                End(0, FAILED),
                End(0, FAILED),
                Admit(1, out(999)),
            ],
        },
        Case {
            name: "two stalls take it out",
            steps: vec![End(0, STALLED), End(0, STALLED), Admit(400, out(600))],
        },
        Case {
            name: "late failures don't lengthen the probation",
            steps: vec![
                End(0, STALLED),
                End(0, STALLED),
                End(900, FAILED),
                Admit(1_000, TRIAL),
            ],
        },
        Case {
            name: "one trial at a time, and two bring it back",
            steps: vec![
                End(0, STALLED),
                End(0, STALLED),
                Admit(1_000, TRIAL),
                Admit(1_000, out(30_000)),
                End(1_200, ANSWERED),
                Admit(1_200, TRIAL),
                End(1_300, ANSWERED),
                Admit(1_300, YES),
                Admit(1_300, YES),
            ],
        },
        Case {
            name: "a trial that never ends does not block the next for ever",
            steps: vec![
                End(0, STALLED),
                End(0, STALLED),
                Admit(1_000, TRIAL),
                Admit(30_999, out(1)),
                Admit(31_000, TRIAL),
            ],
        },
        Case {
            name: "a failed trial doubles the probation",
            steps: vec![
                End(0, STALLED),
                End(0, STALLED),
                Admit(1_000, TRIAL),
                End(1_000, FAILED),
                Admit(1_000, out(2_000)),
            ],
        },
        Case {
            name: "a target that flaps stays out longer each time",
            steps: vec![
                End(0, STALLED),
                End(0, STALLED),
                Admit(1_000, TRIAL),
                End(1_000, ANSWERED),
                Admit(1_000, TRIAL),
                End(1_000, ANSWERED),
                Admit(1_000, YES),
                End(2_000, STALLED),
                End(2_000, STALLED),
                Admit(2_000, out(2_000)),
            ],
        },
    ];
    for case in cases {
        let mut state = state(1);
        for (i, step) in case.steps.iter().enumerate() {
            match *step {
                End(now_ms, outcome) => drop(ended(&mut state, now_ms, 0, outcome)),
                Admit(now_ms, expected) => {
                    let admission = state.admit(now_ms, &target(0));
                    assert_eq!(admission, expected, "{}, step {i}", case.name);
                }
            }
        }
    }
}

#[test]
fn a_replaced_target_starts_afresh() {
    let mut state = state(1);
    for _ in 0..3 {
        ended(&mut state, 0, 0, Outcome::Failed);
    }
    let leaving = Event::Leaving {
        target: target(0),
        epoch: 1,
    };
    reduce(&mut state, 0, leaving, &mut Vec::new());
    assert_eq!(state.admit(1, &target(0)), Admission::Leaving);
    seen(&mut state, 0, 1);
    assert_eq!(
        state.admit(1, &target(0)),
        Admission::Leaving,
        "leaving has no way back"
    );
    seen(&mut state, 0, 2);
    assert_eq!(state.admit(1, &target(0)), Admission::Yes);
    let late = Event::Leaving {
        target: target(0),
        epoch: 1,
    };
    reduce(&mut state, 2, late, &mut Vec::new());
    assert_eq!(
        state.admit(2, &target(0)),
        Admission::Yes,
        "the word is of an earlier epoch"
    );
}

#[test]
fn two_hosts_take_a_target_out_for_the_zone() {
    struct Case {
        name: &'static str,
        reports: &'static [(usize, u64, u64)],
        /// Epoch that the reports name; the target's is 1.
        epoch: u64,
        out: bool,
    }
    let cases = [
        Case {
            name: "one reporter",
            reports: &[(1, 5, 1_000)],
            epoch: 1,
            out: false,
        },
        Case {
            name: "the same twice",
            reports: &[(1, 5, 1_000), (1, 6, 1_000)],
            epoch: 1,
            out: false,
        },
        Case {
            name: "two reporters",
            reports: &[(1, 5, 1_000), (2, 3, 1_000)],
            epoch: 1,
            out: true,
        },
        Case {
            name: "two reporters that know no epoch",
            reports: &[(1, 5, 1_000), (2, 3, 1_000)],
            epoch: 0,
            out: true,
        },
        Case {
            name: "two reporters of another start of the target",
            reports: &[(1, 5, 1_000), (2, 3, 1_000)],
            epoch: 2,
            out: false,
        },
        Case {
            name: "a stranger",
            reports: &[(1, 5, 1_000), (9, 3, 1_000)],
            epoch: 1,
            out: false,
        },
        Case {
            name: "the first took it back",
            reports: &[(1, 5, 1_000), (1, 6, 0), (2, 3, 1_000)],
            epoch: 1,
            out: false,
        },
        Case {
            name: "the taking back came before the report",
            reports: &[(1, 6, 0), (1, 5, 1_000), (2, 3, 1_000)],
            epoch: 1,
            out: false,
        },
    ];
    for case in cases {
        let mut state = state(1);
        for &(from, version, out_for_ms) in case.reports {
            let report = Report {
                target: target(0),
                epoch: case.epoch,
                version,
                out_for_ms,
            };
            let message = Message::Report(report);
            let event = Event::Received {
                from: host(from),
                message,
            };
            reduce(&mut state, 10, event, &mut Vec::new());
        }
        let expected = match case.out {
            true => Admission::Out {
                retry_after_ms: 1_000,
            },
            false => Admission::Yes,
        };
        assert_eq!(state.admit(10, &target(0)), expected, "{}", case.name);
    }
}

#[test]
fn slow_targets_are_taken_out_up_to_a_part_of_the_pool() {
    struct Case {
        latencies_ms: [f64; 4],
        out_ratio_max: f64,
        out: usize,
    }
    let cases = [
        Case {
            latencies_ms: [100.0, 110.0, 120.0, 130.0],
            out_ratio_max: 0.5,
            out: 0,
        },
        Case {
            latencies_ms: [100.0, 110.0, 900.0, 1_000.0],
            out_ratio_max: 0.5,
            out: 2,
        },
        Case {
            latencies_ms: [100.0, 110.0, 900.0, 1_000.0],
            out_ratio_max: 0.25,
            out: 1,
        },
        Case {
            latencies_ms: [100.0, 900.0, 950.0, 1_000.0],
            out_ratio_max: 0.5,
            out: 0,
        },
    ];
    for case in cases {
        let slow_out_ratio_max = case.out_ratio_max;
        let config = Config {
            slow_out_ratio_max,
            ..Config::default()
        };
        let mut state = State::new(config, 1);
        (0..4).for_each(|number| seen(&mut state, number, 1));
        for round in 0..100 {
            for (number, first_token_ms) in case.latencies_ms.into_iter().enumerate() {
                ended(
                    &mut state,
                    round,
                    number,
                    Outcome::Answered { first_token_ms },
                );
            }
        }
        let is_out = |number: &usize| state.peek(100, &target(*number)) != Admission::Yes;
        let out: Vec<usize> = (0..4).filter(is_out).collect();
        assert_eq!(out.len(), case.out, "{:?}: {out:?} out", case.latencies_ms);
        assert!(
            !out.contains(&0),
            "{:?}: the fastest stays",
            case.latencies_ms
        );
    }
}

#[test]
fn leaving_reaches_every_host_though_messages_are_lost() {
    struct Case {
        hosts: usize,
        loss_percent: usize,
        within_ms: u64,
    }
    /// Time after which a leaving target gets no new work.
    const NO_NEW_WORK_MS: u64 = 3_000;
    let long_ms = 20 * Config::default().views_interval_ms;
    let cases = [
        Case {
            hosts: 8,
            loss_percent: 0,
            within_ms: 0,
        },
        Case {
            hosts: 60,
            loss_percent: 0,
            within_ms: 0,
        },
        Case {
            hosts: 60,
            loss_percent: 30,
            within_ms: NO_NEW_WORK_MS,
        },
        Case {
            hosts: 8,
            loss_percent: 50,
            within_ms: NO_NEW_WORK_MS,
        },
        Case {
            hosts: 8,
            loss_percent: 95,
            within_ms: long_ms,
        },
    ];
    for (seed, case) in (1..).zip(cases) {
        let mut zone = Zone::new(case.hosts, case.loss_percent, seed);
        zone.event(
            0,
            0,
            Event::Leaving {
                target: target(0),
                epoch: 1,
            },
        );
        zone.deliver(0);
        for now_ms in (0..case.within_ms).step_by(100) {
            for number in 0..case.hosts {
                zone.event(number, now_ms, Event::Tick);
            }
            zone.deliver(now_ms);
        }
        let told = |state: &&State| state.peek(0, &target(0)) == Admission::Leaving;
        let count = zone.hosts.iter().filter(told).count();
        assert_eq!(count, case.hosts, "{}% loss", case.loss_percent);
    }
}

#[test]
fn a_host_that_starts_asks_what_leaves() {
    let mut zone = Zone::new(3, 0, 9);
    zone.event(
        0,
        0,
        Event::Leaving {
            target: target(0),
            epoch: 1,
        },
    );
    zone.deliver(0);
    let mut state = State::new(Config::default(), 9);
    let mut effects = Vec::new();
    let peers = vec![host(0), host(1), host(2)];
    reduce(&mut state, 0, Event::Hosts { peers }, &mut effects);
    zone.hosts.push(state);
    zone.queue(3, effects);
    zone.deliver(0);
    seen(&mut zone.hosts[3], 0, 1);
    assert_eq!(zone.hosts[3].admit(0, &target(0)), Admission::Leaving);
}
