//! The specification of the orders, explored and replayed.

mod replay;

use toucancleat_model::orders::{Action, Broken, Config, State, next};
use toucancleat_model::{Exploration, explore};

const BOUNDED: Config = Config {
    lease: 2,
    deadline: 2,
    time_max: 5,
    losses: 0,
    crashes: 0,
    changes: 0,
    checks_fencing: false,
    broken: None,
};

fn explored(config: &Config) -> Exploration<State, Action> {
    let violation = |state: &State| state.violation(config);
    let explored = explore(&State::new(config), |state| next(config, state), violation);
    eprintln!("orders, {config:?}: {} states", explored.states);
    explored
}

fn holds(config: &Config) {
    if let Some(counterexample) = explored(config).counterexample {
        panic!("{counterexample}");
    }
}

#[test]
fn orders_never_overlap_with_a_lost_reply_or_late_write() {
    holds(&Config {
        losses: 1,
        ..BOUNDED
    });
}

#[test]
fn orders_never_overlap_with_a_crash() {
    holds(&Config {
        crashes: 1,
        ..BOUNDED
    });
}

#[test]
fn orders_never_overlap_with_a_hand_over() {
    holds(&Config {
        changes: 1,
        ..BOUNDED
    });
}

/// What a pause between the last look at the clock and the bytes can do.
#[test]
fn fencing_saves_a_target_from_a_holder_that_was_paused_at_the_last_moment() {
    holds(&Config {
        checks_fencing: true,
        broken: Some(Broken::NoRecheck),
        ..BOUNDED
    });
}

#[test]
fn broken_variants_are_caught() {
    struct Case {
        broken: Broken,
        violation: &'static str,
    }
    let cases = [
        Case {
            broken: Broken::NoWait,
            violation: "orders overlap",
        },
        Case {
            broken: Broken::NoRecheck,
            violation: "orders overlap",
        },
        Case {
            broken: Broken::CountFromReply,
            violation: "two hosts hold the lease",
        },
        Case {
            broken: Broken::ReleaseWhileOpen,
            violation: "orders overlap",
        },
    ];
    for case in cases {
        let config = Config {
            changes: 1,
            broken: Some(case.broken),
            ..BOUNDED
        };
        let counterexample = explored(&config).counterexample.expect("a counterexample");
        eprintln!("{:?}: {counterexample}", case.broken);
        assert!(
            counterexample.violation.contains(case.violation),
            "{counterexample}"
        );
    }
}
