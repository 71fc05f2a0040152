//! Exploration of the specification of settings.

mod replay;

use toucancleat_model::settings::{Action, Config, Mutation, State, next_states};
use toucancleat_model::{explore, find_stuck_state};

const BOUNDED: Config = Config {
    operators: 3,
    hosts: 2,
    crashes_max: 1,
    mutation: None,
};

#[test]
fn no_reachable_state_reverts_or_reorders_an_accepted_change() {
    let explored = explore(
        &State::new(&BOUNDED),
        |state| next_states(&BOUNDED, state),
        State::violation,
    );
    eprintln!("settings: {} states", explored.state_count);
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
            mutation: Mutation::CommitWithoutCompare,
            violation: "contradicts the log: Accepted",
        },
        Case {
            mutation: Mutation::RepeatLostCommit,
            violation: "contradicts the log",
        },
        Case {
            mutation: Mutation::AcceptAnyTree,
            violation: "lower revision",
        },
        Case {
            mutation: Mutation::ApplyAfterGap,
            violation: "a host has a tree that contradicts the log",
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
fn host_that_only_receives_messages_can_always_reach_the_head() {
    // One host reads the platform, as the zone's reader does; the other only receives.
    let benign = |action: &Action| {
        let reads = matches!(action, Action::ReadPlatform { host: 0 });
        reads || matches!(action, Action::Receive { .. })
    };
    let all_at_head = |state: &State| {
        let is_at_head = |tree: &Option<Vec<u8>>| tree.as_ref() == Some(&state.log);
        state.hosts.iter().all(is_at_head)
    };
    let found = find_stuck_state(
        &State::new(&BOUNDED),
        |state| next_states(&BOUNDED, state),
        benign,
        all_at_head,
    );
    assert_eq!(found, None);
}
