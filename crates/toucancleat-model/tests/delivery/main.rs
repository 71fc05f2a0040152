//! The specification of one stream, explored and replayed.

mod replay;

use toucancleat_model::delivery::{Action, Broken, Config, Phase, State, next};
use toucancleat_model::{explore, stuck};

const BOUNDED: Config = Config {
    tokens: 4,
    attempts_max: 3,
    resumes_max: 1,
    crashes: 2,
    idempotent: true,
    whole: false,
    broken: None,
};

#[test]
fn caller_is_given_one_generation_in_order_in_every_state() {
    for (idempotent, whole) in
        [(true, false), (true, true), (false, false), (false, true)]
    {
        let config = Config {
            idempotent,
            whole,
            ..BOUNDED
        };
        let violation = |state: &State| state.violation(&config);
        let explored = explore(
            &State::new(&config),
            |state| next(&config, state),
            violation,
        );
        let states = explored.states;
        eprintln!("delivery, idempotent {idempotent}, whole {whole}: {states} states");
        if let Some(counterexample) = explored.counterexample {
            panic!("{counterexample}");
        }
    }
}

#[test]
fn broken_variants_are_caught() {
    struct Case {
        broken: Broken,
        idempotent: bool,
        violation: &'static str,
    }
    let case = |broken, idempotent, violation| Case {
        broken,
        idempotent,
        violation,
    };
    let cases = [
        case(Broken::AnyGeneration, true, "the caller was given"),
        case(Broken::AnyIndex, true, "the caller was given"),
        case(Broken::Splice, true, "the caller was given"),
        case(Broken::RerunUnproved, false, "the request began 2 times"),
    ];
    for case in cases {
        let idempotent = case.idempotent;
        let config = Config {
            idempotent,
            broken: Some(case.broken),
            ..BOUNDED
        };
        let violation = |state: &State| state.violation(&config);
        let explored = explore(
            &State::new(&config),
            |state| next(&config, state),
            violation,
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
fn stream_can_end_once_the_faults_have_ended() {
    let benign = |action: &Action| {
        matches!(
            action,
            Action::Start
                | Action::Emit { .. }
                | Action::Arrive(_)
                | Action::Resumed
                | Action::CallerResumes
        )
    };
    // A caller that has seen nothing has no cursor and asks anew.
    let ended = |state: &State| {
        state.phase == Phase::Ended
            || (state.phase == Phase::Down && state.seen.is_empty())
    };
    let found = stuck(
        &State::new(&BOUNDED),
        |state| next(&BOUNDED, state),
        benign,
        ended,
    );
    assert_eq!(found, None);
}
