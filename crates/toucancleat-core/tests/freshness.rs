//! After a pause a target is looked at before it is given a request.

use toucancleat_core::Dispatch;
use toucancleat_core::freshness::State;
use toucancleat_core::prelude::*;

fn dispatch(request: u128, target: &str) -> Dispatch {
    Dispatch {
        request: RequestId(request),
        generation: GenerationId(request),
        target: TargetName::new(target),
        address: "127.0.0.1:1".to_owned(),
        attempt: 1,
        priority: 5,
        decided_ms: 0,
        deadline_ms: 60_000,
    }
}

#[test]
fn only_a_long_gap_between_ticks_counts_as_a_pause() {
    struct Case {
        name: &'static str,
        ticks_ms: &'static [u64],
        runs_ms: u64,
        paused: bool,
    }
    let cases = [
        Case {
            name: "just started",
            ticks_ms: &[],
            runs_ms: 50_000,
            paused: false,
        },
        Case {
            name: "a usual gap",
            ticks_ms: &[1_000, 1_050],
            runs_ms: 1_100,
            paused: false,
        },
        Case {
            name: "a busy machine",
            ticks_ms: &[1_000],
            runs_ms: 2_000,
            paused: false,
        },
        Case {
            name: "a pause",
            ticks_ms: &[1_000],
            runs_ms: 2_001,
            paused: true,
        },
    ];
    for case in cases {
        let mut state = State::default();
        for tick_ms in case.ticks_ms {
            state.ticked(*tick_ms);
        }
        assert_eq!(state.runs(case.runs_ms), case.paused, "{}", case.name);
        let target = TargetName::new("plan-llm-0");
        assert_eq!(state.must_look(&target), case.paused, "{}", case.name);
    }
}

#[test]
fn what_is_held_goes_on_after_a_look_from_after_the_pause() {
    let target = TargetName::new("plan-llm-0");
    let other = TargetName::new("plan-llm-1");
    let mut state = State::default();
    state.ticked(1_000);
    assert!(state.runs(9_000));
    assert!(state.hold(dispatch(1, "plan-llm-0")));
    assert!(!state.hold(dispatch(2, "plan-llm-0")));

    // This look was asked for before the pause, and says how things were then.
    assert!(state.looked(&target, 990, true).is_empty());
    assert!(state.must_look(&target));

    let released: Vec<_> = state
        .looked(&target, 9_000, true)
        .iter()
        .map(|d| d.request.0)
        .collect();
    assert_eq!(released, [1, 2]);
    assert!(!state.must_look(&target));
    assert!(state.must_look(&other));

    state.ticked(9_050);
    assert!(state.runs(20_000));
    assert!(state.must_look(&target));
}

/// Looks were counted once, so that the first to come back was taken for the one from
/// before the pause, and that one for the one after it.
#[test]
fn looks_that_come_back_in_another_order() {
    let target = TargetName::new("plan-llm-0");
    let mut state = State::default();
    state.ticked(1_000);
    assert!(state.runs(9_000));
    state.hold(dispatch(1, "plan-llm-0"));
    assert_eq!(state.looked(&target, 9_000, true).len(), 1);
    assert!(!state.must_look(&target));

    state.ticked(9_050);
    assert!(state.runs(20_000));
    state.hold(dispatch(2, "plan-llm-0"));
    assert_eq!(
        state.looked(&target, 20_000, false).len(),
        1,
        "goes elsewhere"
    );
    state.hold(dispatch(3, "plan-llm-0"));
    assert!(state.looked(&target, 9_040, true).is_empty(), "from before");
    assert!(state.must_look(&target));
}

#[test]
fn a_look_without_an_answer_shows_nothing() {
    let target = TargetName::new("plan-llm-0");
    let mut state = State::default();
    state.ticked(1_000);
    assert!(state.runs(9_000));
    state.hold(dispatch(1, "plan-llm-0"));
    assert_eq!(state.looked(&target, 9_010, false).len(), 1);
    assert!(state.must_look(&target));
}
