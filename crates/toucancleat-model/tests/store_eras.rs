//! Exploration of the specification of the store's eras.

use toucancleat_model::store_eras::{Action, Config, Mutation, State, next_states};
use toucancleat_model::{explore, find_stuck_state};

const BOUNDED: Config = Config {
    hosts: 2,
    versions_max: 3,
    returns_max: 1,
    crashes_max: 0,
    mutation: None,
};

/// Bounds with two returns, for one host.
const TWICE: Config = Config {
    hosts: 1,
    returns_max: 2,
    ..BOUNDED
};

fn violation_with(config: Config) -> Option<String> {
    let explored = explore(
        &State::new(&config),
        |state| next_states(&config, state),
        State::violation,
    );
    eprintln!("store eras: {} states", explored.state_count);
    let counterexample = explored.counterexample?;
    eprintln!("{:?}: {counterexample}", config.mutation);
    Some(counterexample.violation)
}

#[test]
fn no_reachable_state_takes_a_lost_era_for_the_known_one() {
    assert_eq!(violation_with(BOUNDED), None);
    assert_eq!(violation_with(TWICE), None);
}

#[test]
fn exploration_detects_mutations() {
    let mutations = [
        Mutation::TakeLateReplies,
        Mutation::BelieveCopies,
        Mutation::BelieveCopiesOfOthers,
        Mutation::ForgetMessages,
    ];
    for mutation in mutations {
        let config = Config {
            mutation: Some(mutation),
            ..BOUNDED
        };
        let violation = violation_with(config);
        let expected = "a host uses a target that it has seen leave";
        assert_eq!(violation.as_deref(), Some(expected), "{mutation:?}");
    }
}

/// A host shows a target as ready to others only if it finds that it is back, which a target
/// that has left never is; and one that is shown as leaving has left in every era.
#[test]
fn late_messages_alone_violate_nothing() {
    let config = Config {
        mutation: Some(Mutation::TakeLateMessages),
        ..BOUNDED
    };
    assert_eq!(violation_with(config), None);
}

/// Returns a state from which hosts never learn what the store says, if there is one.
fn stuck_state(mutation: Option<Mutation>) -> Option<State> {
    let config = Config { mutation, ..TWICE };
    let is_benign =
        |action: &Action| matches!(action, Action::Read | Action::Deliver { .. });
    find_stuck_state(
        &State::new(&config),
        |state| next_states(&config, state),
        is_benign,
        State::is_settled,
    )
}

#[test]
fn hosts_always_learn_what_the_store_says() {
    assert_eq!(stuck_state(None), None);
    for mutation in [Mutation::IgnoreEras, Mutation::KeepVersion] {
        assert!(stuck_state(Some(mutation)).is_some(), "{mutation:?}");
    }
}
