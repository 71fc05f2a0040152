//! Exploration of the specification of delivery.

mod replay;

use toucancleat_model::delivery::{Action, Config, Mutation, Phase, State, next_states};
use toucancleat_model::{explore, find_stuck_state};

const BOUNDED: Config = Config {
    tokens: 4,
    attempts_max: 3,
    resumes_max: 1,
    crashes_max: 2,
    is_idempotent: true,
    is_buffered: false,
    mutation: None,
};

#[test]
fn no_reachable_state_has_delivered_a_wrong_frame() {
    for (is_idempotent, is_buffered) in
        [(true, false), (true, true), (false, false), (false, true)]
    {
        let config = Config {
            is_idempotent,
            is_buffered,
            ..BOUNDED
        };
        let violation = |state: &State| state.violation(&config);
        let explored = explore(
            &State::new(&config),
            |state| next_states(&config, state),
            violation,
        );
        let states = explored.state_count;
        eprintln!(
            "delivery, idempotent {is_idempotent}, buffered {is_buffered}: {states} states"
        );
        if let Some(counterexample) = explored.counterexample {
            panic!("{counterexample}");
        }
    }
}

#[test]
fn exploration_detects_every_mutation() {
    struct Case {
        mutation: Mutation,
        is_idempotent: bool,
        violation: &'static str,
    }
    let case = |mutation, is_idempotent, violation| Case {
        mutation,
        is_idempotent,
        violation,
    };
    let cases = [
        case(
            Mutation::AcceptAnyGeneration,
            true,
            "the caller received wrong frames",
        ),
        case(
            Mutation::AcceptAnyIndex,
            true,
            "the caller received wrong frames",
        ),
        case(Mutation::Splice, true, "the caller received wrong frames"),
        case(
            Mutation::RetryWithoutProof,
            false,
            "a non-idempotent request began 2 times",
        ),
    ];
    for case in cases {
        let is_idempotent = case.is_idempotent;
        let config = Config {
            is_idempotent,
            mutation: Some(case.mutation),
            ..BOUNDED
        };
        let violation = |state: &State| state.violation(&config);
        let explored = explore(
            &State::new(&config),
            |state| next_states(&config, state),
            violation,
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
fn no_stream_gets_stuck_after_the_faults_have_ended() {
    let benign = |action: &Action| {
        matches!(
            action,
            Action::Start
                | Action::EmitToken { .. }
                | Action::ReceiveFrame(_)
                | Action::Resumed
                | Action::CallerResumes
        )
    };
    // A caller that has received nothing has no cursor and sends a new request.
    let is_ended = |state: &State| {
        state.phase == Phase::Ended
            || (state.phase == Phase::HostCrashed && state.received.is_empty())
    };
    let found = find_stuck_state(
        &State::new(&BOUNDED),
        |state| next_states(&BOUNDED, state),
        benign,
        is_ended,
    );
    assert_eq!(found, None);
}
