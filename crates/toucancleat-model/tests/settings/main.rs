//! The specification of the settings, explored and replayed.

mod replay;

use toucancleat_model::settings::{Action, Broken, Config, State, next};
use toucancleat_model::{explore, stuck};

const BOUNDED: Config = Config {
    operators: 3,
    hosts: 2,
    crashes: 1,
    broken: None,
};

#[test]
fn accepted_changes_are_in_one_order_and_never_revert_in_every_state() {
    let explored = explore(
        &State::new(&BOUNDED),
        |state| next(&BOUNDED, state),
        State::violation,
    );
    eprintln!("settings: {} states", explored.states);
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
            broken: Broken::NoCompare,
            violation: "was told Accepted",
        },
        Case {
            broken: Broken::CommitAnew,
            violation: "was told",
        },
        Case {
            broken: Broken::AnyTree,
            violation: "lower revision",
        },
        Case {
            broken: Broken::Gaps,
            violation: "a host has the tree",
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
fn every_host_can_come_to_the_head_by_messages_alone() {
    // One host reads the platform, as the zone's reader does; the other only listens.
    let benign = |action: &Action| {
        let reads = matches!(action, Action::ReadPlatform { host: 0 });
        reads || matches!(action, Action::Receive { .. })
    };
    let at_head = |state: &State| {
        let own = |tree: &Option<Vec<u8>>| tree.as_ref() == Some(&state.log);
        state.hosts.iter().all(own)
    };
    let found = stuck(
        &State::new(&BOUNDED),
        |state| next(&BOUNDED, state),
        benign,
        at_head,
    );
    assert_eq!(found, None);
}
