//! Exploration of the specification of claims.

mod replay;

use toucancleat_model::claims::{
    Action, Config, HostState, Mutation, State, next_states,
};
use toucancleat_model::{explore, find_stuck_state};

const BOUNDED: Config = Config {
    requests: &[2, 1],
    crashes_max: 1,
    mutation: None,
};

#[test]
fn no_reachable_state_has_a_key_that_ran_twice() {
    let explored = explore(
        &State::new(&BOUNDED),
        |state| next_states(&BOUNDED, state),
        State::violation,
    );
    eprintln!("claims: {} states", explored.state_count);
    if let Some(counterexample) = explored.counterexample {
        panic!("{counterexample}");
    }
}

#[test]
fn exploration_detects_every_mutation() {
    struct Case {
        mutation: Mutation,
        violation: &'static str,
    }
    let cases = [
        Case {
            mutation: Mutation::TakeOver,
            violation: "the key ran more than once",
        },
        Case {
            mutation: Mutation::DispatchUnread,
            violation: "the key ran more than once",
        },
        Case {
            mutation: Mutation::ReleaseDispatched,
            violation: "the key ran more than once",
        },
        Case {
            mutation: Mutation::UnconditionalWrite,
            violation: "the key ran more than once",
        },
    ];
    for case in cases {
        let config = Config {
            mutation: Some(case.mutation),
            ..BOUNDED
        };
        let explored = explore(
            &State::new(&config),
            |state| next_states(&config, state),
            State::violation,
        );
        let counterexample = explored.counterexample.expect("a counterexample");
        eprintln!("{:?}: {counterexample}", case.mutation);
        assert!(
            counterexample.violation.contains(case.violation),
            "{counterexample}"
        );
    }
}

#[test]
fn no_host_gets_stuck_after_the_faults_have_ended() {
    let benign = |action: &Action| {
        matches!(
            action,
            Action::CompleteWrite { .. }
                | Action::Read { .. }
                | Action::Retry { .. }
                | Action::Dispatch { .. }
                | Action::Finish { .. }
        )
    };
    let all_idle =
        |state: &State| state.hosts.iter().all(|host| *host == HostState::Idle);
    let found = find_stuck_state(
        &State::new(&BOUNDED),
        |state| next_states(&BOUNDED, state),
        benign,
        all_idle,
    );
    assert_eq!(found, None);
}
