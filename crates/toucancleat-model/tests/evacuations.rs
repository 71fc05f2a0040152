//! Exploration of the specification of evacuations.

use toucancleat_model::evacuations::{Action, Config, Mutation, State, next_states};
use toucancleat_model::{explore, find_stuck_state};

/// Bounds without a return, with two hosts that tell each other.
const SPREAD: Config = Config {
    hosts: 2,
    versions_max: 3,
    returns_max: 0,
    crashes_max: 0,
    in_flight_max: 2,
    mutation: None,
};

/// Bounds with a return, for one host.
const RETURNED: Config = Config {
    hosts: 1,
    versions_max: 3,
    returns_max: 1,
    crashes_max: 0,
    in_flight_max: 2,
    mutation: None,
};

/// Bounds with a crash.
const CRASHED: Config = Config {
    hosts: 1,
    crashes_max: 1,
    ..SPREAD
};

fn violation_with(config: Config) -> Option<String> {
    let explored = explore(
        &State::new(&config),
        |state| next_states(&config, state),
        State::violation,
    );
    eprintln!("evacuations: {} states", explored.state_count);
    let counterexample = explored.counterexample?;
    eprintln!("{:?}: {counterexample}", config.mutation);
    Some(counterexample.violation)
}

#[test]
fn no_host_in_touch_uses_an_evacuated_zone() {
    assert_eq!(violation_with(SPREAD), None);
    assert_eq!(violation_with(RETURNED), None);
    assert_eq!(violation_with(CRASHED), None);
}

#[test]
fn exploration_detects_mutations() {
    struct Case {
        mutation: Mutation,
        config: Config,
    }
    let case = |mutation, config| Case { mutation, config };
    let cases = [
        case(Mutation::IgnoreEras, RETURNED),
        case(Mutation::TakeLast, SPREAD),
        case(Mutation::TakeBackByAnyList, SPREAD),
        case(Mutation::IgnoreMissing, SPREAD),
        case(Mutation::TakeLateReplies, RETURNED),
        case(Mutation::TakeBackLostRows, RETURNED),
        case(Mutation::ForgetLists, SPREAD),
        case(Mutation::ForgetTakenBack, SPREAD),
    ];
    for case in cases {
        let config = Config {
            mutation: Some(case.mutation),
            ..case.config
        };
        assert!(violation_with(config).is_some(), "{:?}", case.mutation);
    }
}

/// Returns a state from which hosts never do what the store says, if there is one.
fn stuck_state(mutation: Option<Mutation>) -> Option<State> {
    let config = Config {
        mutation,
        in_flight_max: 1,
        ..RETURNED
    };
    let is_benign = |action: &Action| {
        matches!(
            action,
            Action::Repeat
                | Action::Read { is_list: true }
                | Action::Deliver { .. }
                | Action::EndHold { .. }
                | Action::Lose
        )
    };
    find_stuck_state(
        &State::new(&config),
        |state| next_states(&config, state),
        is_benign,
        |state| state.is_settled() || state.is_out_of_versions(&config),
    )
}

#[test]
fn hosts_always_learn_what_the_store_says() {
    assert_eq!(stuck_state(None), None);
    assert!(stuck_state(Some(Mutation::KeepLostRows)).is_some());
}
