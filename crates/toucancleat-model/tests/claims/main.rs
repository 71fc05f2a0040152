//! The specification of the claims, explored and replayed.

mod replay;

use toucancleat_model::claims::{Action, Broken, Config, State, Step, next};
use toucancleat_model::{explore, stuck};

const BOUNDED: Config = Config {
    requests: &[2, 1],
    crashes: 1,
    broken: None,
};

#[test]
fn key_runs_at_most_once_in_every_state() {
    let explored = explore(
        &State::new(&BOUNDED),
        |state| next(&BOUNDED, state),
        State::violation,
    );
    eprintln!("claims: {} states", explored.states);
    if let Some(counterexample) = explored.counterexample {
        panic!("{counterexample}");
    }
}

#[test]
fn broken_variants_are_caught() {
    struct Case {
        broken: Broken,
        violation: &'static str,
    }
    let cases = [
        Case {
            broken: Broken::TakeOver,
            violation: "the key ran for",
        },
        Case {
            broken: Broken::DispatchUnread,
            violation: "the key ran for",
        },
        Case {
            broken: Broken::ReleaseDispatched,
            violation: "the key ran for",
        },
        Case {
            broken: Broken::Unconditional,
            violation: "the key ran for",
        },
    ];
    for case in cases {
        let config = Config {
            broken: Some(case.broken),
            ..BOUNDED
        };
        let explored = explore(
            &State::new(&config),
            |state| next(&config, state),
            State::violation,
        );
        let counterexample = explored.counterexample.expect("a counterexample");
        eprintln!("{:?}: {counterexample}", case.broken);
        assert!(
            counterexample.violation.contains(case.violation),
            "{counterexample}"
        );
    }
}

#[test]
fn hosts_come_to_rest_once_the_faults_have_ended() {
    let benign = |action: &Action| {
        matches!(
            action,
            Action::Answer { .. }
                | Action::Read { .. }
                | Action::Retry { .. }
                | Action::Dispatch { .. }
                | Action::Finish { .. }
        )
    };
    let at_rest = |state: &State| state.hosts.iter().all(|step| *step == Step::Idle);
    let found = stuck(
        &State::new(&BOUNDED),
        |state| next(&BOUNDED, state),
        benign,
        at_rest,
    );
    assert_eq!(found, None);
}
