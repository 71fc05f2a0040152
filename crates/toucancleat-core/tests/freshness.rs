//! Tests that after a pause a target is observed before a request is dispatched to it.

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
        chosen_ms: 0,
        deadline_ms: 60_000,
    }
}

#[test]
fn only_a_long_gap_between_ticks_counts_as_a_pause() {
    struct Case {
        name: &'static str,
        ticks_ms: &'static [u64],
        resumed_ms: u64,
        is_paused: bool,
    }
    let cases = [
        Case {
            name: "no tick since the start",
            ticks_ms: &[],
            resumed_ms: 50_000,
            is_paused: false,
        },
        Case {
            name: "a gap of one tick interval",
            ticks_ms: &[1_000, 1_050],
            resumed_ms: 1_100,
            is_paused: false,
        },
        Case {
            name: "a busy machine delays a tick up to the threshold",
            ticks_ms: &[1_000],
            resumed_ms: 2_000,
            is_paused: false,
        },
        Case {
            name: "a gap above the threshold",
            ticks_ms: &[1_000],
            resumed_ms: 2_001,
            is_paused: true,
        },
    ];
    for case in cases {
        let mut state = State::default();
        for tick_ms in case.ticks_ms {
            state.record_tick(*tick_ms);
        }
        assert_eq!(
            state.detect_pause(case.resumed_ms),
            case.is_paused,
            "{}",
            case.name
        );
        let target = TargetName::new("plan-llm-0");
        assert_eq!(
            state.needs_observation(&target),
            case.is_paused,
            "{}",
            case.name
        );
    }
}

#[test]
fn deferred_dispatches_wait_for_an_observation_requested_after_the_pause() {
    let target = TargetName::new("plan-llm-0");
    let other = TargetName::new("plan-llm-1");
    let mut state = State::default();
    state.record_tick(1_000);
    assert!(state.detect_pause(9_000));
    assert!(state.defer(dispatch(1, "plan-llm-0")));
    assert!(!state.defer(dispatch(2, "plan-llm-0")));

    // This observation was requested before the pause and shows the state from then.
    assert!(state.record_observation(&target, 990, true).is_empty());
    assert!(state.needs_observation(&target));

    let released: Vec<_> = state
        .record_observation(&target, 9_000, true)
        .iter()
        .map(|d| d.request.0)
        .collect();
    assert_eq!(released, [1, 2]);
    assert!(!state.needs_observation(&target));
    assert!(state.needs_observation(&other));

    state.record_tick(9_050);
    assert!(state.detect_pause(20_000));
    assert!(state.needs_observation(&target));
}

/// Observations can complete in another order than they were requested in. Counting them would
/// confuse one from before the pause with one from after it.
#[test]
fn observation_from_before_the_pause_releases_no_dispatch_when_it_completes_late() {
    let target = TargetName::new("plan-llm-0");
    let mut state = State::default();
    state.record_tick(1_000);
    assert!(state.detect_pause(9_000));
    state.defer(dispatch(1, "plan-llm-0"));
    assert_eq!(state.record_observation(&target, 9_000, true).len(), 1);
    assert!(!state.needs_observation(&target));

    state.record_tick(9_050);
    assert!(state.detect_pause(20_000));
    state.defer(dispatch(2, "plan-llm-0"));
    assert_eq!(
        state.record_observation(&target, 20_000, false).len(),
        1,
        "an unanswered observation returns the dispatch"
    );
    state.defer(dispatch(3, "plan-llm-0"));
    assert!(
        state.record_observation(&target, 9_040, true).is_empty(),
        "requested before the pause"
    );
    assert!(state.needs_observation(&target));
}

#[test]
fn an_unanswered_observation_does_not_count_as_observed() {
    let target = TargetName::new("plan-llm-0");
    let mut state = State::default();
    state.record_tick(1_000);
    assert!(state.detect_pause(9_000));
    state.defer(dispatch(1, "plan-llm-0"));
    assert_eq!(state.record_observation(&target, 9_010, false).len(), 1);
    assert!(state.needs_observation(&target));
}
