//! Exploration of the specification of orders.

mod replay;

use toucancleat_model::orders::{Action, Config, Mutation, State, next_states};
use toucancleat_model::{Exploration, explore};

const BOUNDED: Config = Config {
    lease_units: 2,
    deadline_units: 2,
    time_max: 5,
    losses_max: 0,
    crashes_max: 0,
    candidate_changes_max: 0,
    checks_fencing: false,
    mutation: None,
};

fn explore_within(config: &Config) -> Exploration<State, Action> {
    let violation = |state: &State| state.violation(config);
    let explored = explore(
        &State::new(config),
        |state| next_states(config, state),
        violation,
    );
    eprintln!("orders, {config:?}: {} states", explored.state_count);
    explored
}

fn assert_no_violation(config: &Config) {
    if let Some(counterexample) = explore_within(config).counterexample {
        panic!("{counterexample}");
    }
}

#[test]
fn orders_never_overlap_after_a_lost_reply_or_late_write() {
    assert_no_violation(&Config {
        losses_max: 1,
        ..BOUNDED
    });
}

#[test]
fn orders_never_overlap_after_a_crash() {
    assert_no_violation(&Config {
        crashes_max: 1,
        ..BOUNDED
    });
}

#[test]
fn orders_never_overlap_when_the_candidate_changes() {
    assert_no_violation(&Config {
        candidate_changes_max: 1,
        ..BOUNDED
    });
}

/// A holder may pause between its last check of the time and the sending of the order; only
/// the fencing number then lets the target reject the order as too old.
#[test]
fn order_of_a_holder_that_pauses_before_sending_never_passes_fencing() {
    assert_no_violation(&Config {
        checks_fencing: true,
        mutation: Some(Mutation::SkipRecheck),
        ..BOUNDED
    });
}

#[test]
fn exploration_detects_every_mutation() {
    struct Case {
        mutation: Mutation,
        violation: &'static str,
    }
    let cases = [
        Case {
            mutation: Mutation::SkipWait,
            violation: "orders overlap",
        },
        Case {
            mutation: Mutation::SkipRecheck,
            violation: "orders overlap",
        },
        Case {
            mutation: Mutation::CountLeaseFromReply,
            violation: "two hosts hold the lease",
        },
        Case {
            mutation: Mutation::ReleaseWithOpenOrder,
            violation: "orders overlap",
        },
    ];
    for case in cases {
        let config = Config {
            candidate_changes_max: 1,
            mutation: Some(case.mutation),
            ..BOUNDED
        };
        let counterexample = explore_within(&config)
            .counterexample
            .expect("a counterexample");
        eprintln!("{:?}: {counterexample}", case.mutation);
        assert!(
            counterexample.violation.contains(case.violation),
            "{counterexample}"
        );
    }
}
