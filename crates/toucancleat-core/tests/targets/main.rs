//! Tests of the tracking of targets that leave, fail, stall, flap, are slow or replaced.

mod zone;

use toucancleat_core::targets::{
    Admission, BreakerReport, Config, Effect, Event, Message, Outcome, State, reduce,
};

use self::zone::{Zone, add_target, host, target};

const ANSWERED: Outcome = Outcome::Answered {
    first_token_ms: 100.0,
};

fn record_outcome(
    state: &mut State,
    now_ms: u64,
    number: usize,
    outcome: Outcome,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    let event = Event::RequestEnded {
        target: target(number),
        epoch: 1,
        outcome,
    };
    reduce(state, now_ms, event, &mut effects);
    effects
}

/// Returns the state of a host that knows a pool of targets and two peers.
fn state_with_targets(targets: usize) -> State {
    let mut state = State::new(Config::default(), 1);
    for number in 0..targets {
        add_target(&mut state, number, 1);
    }
    let peers = vec![host(1), host(2)];
    reduce(
        &mut state,
        0,
        Event::PeersChanged { peers },
        &mut Vec::new(),
    );
    state
}

#[test]
fn breaker_opens_after_failures_and_closes_by_trials() {
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
            name: "a success resets the count of failures",
            steps: vec![
                End(0, FAILED),
                End(0, FAILED),
                End(0, ANSWERED),
                End(0, FAILED),
                Admit(1, YES),
            ],
        },
        Case {
            name: "three failures in a row open the breaker",
            steps: vec![
                End(0, FAILED),
                End(0, FAILED),
                End(0, FAILED),
                Admit(1, out(999)),
            ],
        },
        Case {
            name: "two stalls open the breaker",
            steps: vec![End(0, STALLED), End(0, STALLED), Admit(400, out(600))],
        },
        Case {
            name: "failures while the breaker is open don't extend it",
            steps: vec![
                End(0, STALLED),
                End(0, STALLED),
                End(900, FAILED),
                Admit(1_000, TRIAL),
            ],
        },
        Case {
            name: "trials run one at a time, and two successes close the breaker",
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
            name: "a trial that never ends blocks the next only until its timeout",
            steps: vec![
                End(0, STALLED),
                End(0, STALLED),
                Admit(1_000, TRIAL),
                Admit(30_999, out(1)),
                Admit(31_000, TRIAL),
            ],
        },
        Case {
            name: "a failed trial doubles the time for which the breaker is open",
            steps: vec![
                End(0, STALLED),
                End(0, STALLED),
                Admit(1_000, TRIAL),
                End(1_000, FAILED),
                Admit(1_000, out(2_000)),
            ],
        },
        Case {
            name: "a flapping target doubles the time for which the breaker is open",
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
        let mut state = state_with_targets(1);
        for (index, step) in case.steps.iter().enumerate() {
            match *step {
                End(now_ms, outcome) => {
                    drop(record_outcome(&mut state, now_ms, 0, outcome))
                }
                Admit(now_ms, expected) => {
                    let admission = state.admit(now_ms, &target(0));
                    assert_eq!(admission, expected, "{}, step {index}", case.name);
                }
            }
        }
    }
}

#[test]
fn replaced_target_keeps_neither_failures_nor_leaving() {
    let mut state = state_with_targets(1);
    for _ in 0..3 {
        record_outcome(&mut state, 0, 0, Outcome::Failed);
    }
    let leaving = Event::TargetLeaving {
        target: target(0),
        epoch: 1,
    };
    reduce(&mut state, 0, leaving, &mut Vec::new());
    assert_eq!(state.admit(1, &target(0)), Admission::Leaving);
    add_target(&mut state, 0, 1);
    assert_eq!(
        state.admit(1, &target(0)),
        Admission::Leaving,
        "leaving is final within an epoch"
    );
    add_target(&mut state, 0, 2);
    assert_eq!(state.admit(1, &target(0)), Admission::Yes);
    let late_announcement = Event::TargetLeaving {
        target: target(0),
        epoch: 1,
    };
    reduce(&mut state, 2, late_announcement, &mut Vec::new());
    assert_eq!(
        state.admit(2, &target(0)),
        Admission::Yes,
        "the announcement is of an earlier epoch"
    );
}

#[test]
fn breaker_opens_only_if_two_hosts_agree() {
    struct Case {
        name: &'static str,
        reports: &'static [(usize, u64, u64)],
        /// Epoch that the reports name; the target's is 1.
        epoch: u64,
        is_open: bool,
    }
    let cases = [
        Case {
            name: "one reporter",
            reports: &[(1, 5, 1_000)],
            epoch: 1,
            is_open: false,
        },
        Case {
            name: "one reporter twice",
            reports: &[(1, 5, 1_000), (1, 6, 1_000)],
            epoch: 1,
            is_open: false,
        },
        Case {
            name: "two reporters",
            reports: &[(1, 5, 1_000), (2, 3, 1_000)],
            epoch: 1,
            is_open: true,
        },
        Case {
            name: "two reporters that don't know the epoch",
            reports: &[(1, 5, 1_000), (2, 3, 1_000)],
            epoch: 0,
            is_open: true,
        },
        Case {
            name: "two reporters of another epoch",
            reports: &[(1, 5, 1_000), (2, 3, 1_000)],
            epoch: 2,
            is_open: false,
        },
        Case {
            name: "one reporter and a host that is no live peer",
            reports: &[(1, 5, 1_000), (9, 3, 1_000)],
            epoch: 1,
            is_open: false,
        },
        Case {
            name: "two reporters, one of which has withdrawn its report",
            reports: &[(1, 5, 1_000), (1, 6, 0), (2, 3, 1_000)],
            epoch: 1,
            is_open: false,
        },
        Case {
            name: "two reporters, one of whose reports arrives after its withdrawal",
            reports: &[(1, 6, 0), (1, 5, 1_000), (2, 3, 1_000)],
            epoch: 1,
            is_open: false,
        },
    ];
    for case in cases {
        let mut state = state_with_targets(1);
        for &(from, version, unavailable_for_ms) in case.reports {
            let report = BreakerReport {
                target: target(0),
                epoch: case.epoch,
                version,
                unavailable_for_ms,
            };
            let message = Message::Report(report);
            let event = Event::MessageReceived {
                from: host(from),
                message,
            };
            reduce(&mut state, 10, event, &mut Vec::new());
        }
        let expected = match case.is_open {
            true => Admission::Out {
                retry_after_ms: 1_000,
            },
            false => Admission::Yes,
        };
        assert_eq!(state.admit(10, &target(0)), expected, "{}", case.name);
    }
}

#[test]
fn slowness_opens_no_more_breakers_than_the_ratio() {
    struct Case {
        latencies_ms: [f64; 4],
        open_ratio_max: f64,
        open_breakers: usize,
    }
    let cases = [
        Case {
            latencies_ms: [100.0, 110.0, 120.0, 130.0],
            open_ratio_max: 0.5,
            open_breakers: 0,
        },
        Case {
            latencies_ms: [100.0, 110.0, 900.0, 1_000.0],
            open_ratio_max: 0.5,
            open_breakers: 2,
        },
        Case {
            latencies_ms: [100.0, 110.0, 900.0, 1_000.0],
            open_ratio_max: 0.25,
            open_breakers: 1,
        },
        Case {
            latencies_ms: [100.0, 900.0, 950.0, 1_000.0],
            open_ratio_max: 0.5,
            open_breakers: 0,
        },
    ];
    for case in cases {
        let slow_open_ratio_max = case.open_ratio_max;
        let config = Config {
            slow_open_ratio_max,
            ..Config::default()
        };
        let mut state = State::new(config, 1);
        (0..4).for_each(|number| add_target(&mut state, number, 1));
        for round in 0..100 {
            for (number, first_token_ms) in case.latencies_ms.into_iter().enumerate() {
                record_outcome(
                    &mut state,
                    round,
                    number,
                    Outcome::Answered { first_token_ms },
                );
            }
        }
        let is_open =
            |number: &usize| state.peek(100, &target(*number)) != Admission::Yes;
        let open: Vec<usize> = (0..4).filter(is_open).collect();
        assert_eq!(
            open.len(),
            case.open_breakers,
            "{:?}: {open:?} are open",
            case.latencies_ms
        );
        assert!(
            !open.contains(&0),
            "{:?}: the breaker of the fastest is open",
            case.latencies_ms
        );
    }
}

#[test]
fn leaving_reaches_every_host_despite_lost_messages() {
    struct Case {
        hosts: usize,
        loss_percent: usize,
        within_ms: u64,
    }
    /// Time within which every host must have stopped sending work to a leaving target.
    const NO_NEW_WORK_MS: u64 = 3_000;
    let many_rounds_ms = 20 * Config::default().gossip_interval_ms;
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
            within_ms: many_rounds_ms,
        },
    ];
    for (seed, case) in (1..).zip(cases) {
        let mut zone = Zone::new(case.hosts, case.loss_percent, seed);
        zone.handle_event(
            0,
            0,
            Event::TargetLeaving {
                target: target(0),
                epoch: 1,
            },
        );
        zone.deliver_messages(0);
        for now_ms in (0..case.within_ms).step_by(100) {
            for number in 0..case.hosts {
                zone.handle_event(number, now_ms, Event::Tick);
            }
            zone.deliver_messages(now_ms);
        }
        let knows_leaving =
            |state: &&State| state.peek(0, &target(0)) == Admission::Leaving;
        let count = zone.hosts.iter().filter(knows_leaving).count();
        assert_eq!(count, case.hosts, "{}% loss", case.loss_percent);
    }
}

#[test]
fn started_host_learns_of_earlier_leaving_targets() {
    let mut zone = Zone::new(3, 0, 9);
    zone.handle_event(
        0,
        0,
        Event::TargetLeaving {
            target: target(0),
            epoch: 1,
        },
    );
    zone.deliver_messages(0);
    let mut state = State::new(Config::default(), 9);
    let mut effects = Vec::new();
    let peers = vec![host(0), host(1), host(2)];
    reduce(&mut state, 0, Event::PeersChanged { peers }, &mut effects);
    zone.hosts.push(state);
    zone.send_messages(3, effects);
    zone.deliver_messages(0);
    add_target(&mut zone.hosts[3], 0, 1);
    assert_eq!(zone.hosts[3].admit(0, &target(0)), Admission::Leaving);
}
