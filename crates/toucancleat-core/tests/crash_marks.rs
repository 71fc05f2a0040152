//! Requests that crash targets are isolated, then refused, wherever they come again.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::crash_marks::{
    Config, Crash, Effect, Event, Fingerprint, Message, State, Treatment, reduce,
};
use toucancleat_core::prelude::*;

const MARK_MS: u64 = 3_600_000;

fn target(number: u64) -> TargetName {
    TargetName::new(&format!("ledger-llm-{number}"))
}

fn crash(number: u64) -> Crash {
    Crash {
        target: target(number),
        epoch: 1,
    }
}

fn event(state: &mut State, now_ms: u64, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    reduce(state, now_ms, event, &mut effects);
    effects
}

fn run_and_crash(
    state: &mut State,
    now_ms: u64,
    number: u64,
    fingerprint: Fingerprint,
) -> Vec<Effect> {
    event(
        state,
        now_ms,
        Event::Started {
            target: target(number),
            fingerprint,
        },
    );
    event(
        state,
        now_ms,
        Event::Crashed {
            crash: crash(number),
        },
    )
}

fn finish(state: &mut State, now_ms: u64, number: u64, fingerprint: Fingerprint) {
    event(
        state,
        now_ms,
        Event::Started {
            target: target(number),
            fingerprint,
        },
    );
    let finished = true;
    event(
        state,
        now_ms,
        Event::Stopped {
            target: target(number),
            fingerprint,
            finished,
        },
    );
}

#[test]
fn a_fingerprint_depends_on_organisation_and_body_alone() {
    let take = |organisation, body: &[u8]| {
        Fingerprint::new(&OrganisationName::new(organisation), body)
    };
    assert_eq!(take("club", b"body"), take("club", b"body"));
    assert_ne!(take("club", b"body"), take("club", b"other"));
    assert_ne!(take("club", b"body"), take("circle", b"body"));
    assert_ne!(take("club", b"body"), take("clubb", b"ody"));
}

#[test]
fn marks_isolate_refuse_clear_and_expire() {
    const REQUEST: Fingerprint = Fingerprint(7);
    enum Step {
        Crash(u64),
        Finish,
        Wait(u64),
    }
    use Step::{Crash, Finish, Wait};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        treatment: Treatment,
    }
    let refuse = |retry_after_ms| Treatment::Refuse { retry_after_ms };
    let cases = [
        Case {
            name: "one crash",
            steps: &[Crash(1)],
            treatment: Treatment::Normal,
        },
        Case {
            name: "two",
            steps: &[Crash(1), Crash(2)],
            treatment: Treatment::Isolate,
        },
        Case {
            name: "one crash reported twice",
            steps: &[Crash(1), Crash(1), Crash(1)],
            treatment: Treatment::Normal,
        },
        Case {
            name: "three",
            steps: &[Crash(1), Wait(10), Crash(2), Wait(10), Crash(3)],
            treatment: refuse(MARK_MS - 20),
        },
        Case {
            name: "finished when isolated",
            steps: &[Crash(1), Crash(2), Finish],
            treatment: Treatment::Normal,
        },
        Case {
            name: "marks from before finishing don't count again",
            steps: &[Crash(1), Crash(2), Finish, Crash(3), Crash(1)],
            treatment: Treatment::Normal,
        },
        Case {
            name: "the first has expired",
            steps: &[Crash(1), Wait(MARK_MS), Crash(2), Crash(3)],
            treatment: Treatment::Isolate,
        },
    ];
    for case in cases {
        let mut state = State::new(Config::default());
        let mut now_ms = 1;
        for step in case.steps {
            match step {
                Crash(number) => {
                    drop(run_and_crash(&mut state, now_ms, *number, REQUEST))
                }
                Finish => finish(&mut state, now_ms, 9, REQUEST),
                Wait(ms) => now_ms += ms,
            }
        }
        assert_eq!(
            state.treatment(now_ms, &REQUEST),
            case.treatment,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_crash_marks_what_stopped_just_before_it_was_seen() {
    struct Case {
        name: &'static str,
        finished: bool,
        waited_ms: u64,
        marked: usize,
    }
    let cases = [
        Case {
            name: "connection lost",
            finished: false,
            waited_ms: 2_000,
            marked: 1,
        },
        Case {
            name: "finished",
            finished: true,
            waited_ms: 0,
            marked: 0,
        },
        Case {
            name: "long ago",
            finished: false,
            waited_ms: 60_000,
            marked: 0,
        },
    ];
    for case in cases {
        let mut state = State::new(Config::default());
        let fingerprint = Fingerprint(1);
        event(
            &mut state,
            0,
            Event::Started {
                target: target(1),
                fingerprint,
            },
        );
        let finished = case.finished;
        event(
            &mut state,
            0,
            Event::Stopped {
                target: target(1),
                fingerprint,
                finished,
            },
        );
        event(
            &mut state,
            case.waited_ms,
            Event::Crashed { crash: crash(1) },
        );
        assert_eq!(state.marked(), case.marked, "{}", case.name);
    }
}

#[test]
fn marks_reach_the_zone_and_the_other_zones() {
    let mut first = State::new(Config::default());
    let mut delegate = State::new(Config::default());
    let effects = run_and_crash(&mut first, 0, 1, Fingerprint(5));
    let relayed = effects.iter().find_map(|effect| match effect {
        Effect::SendToZones { message } => Some(message.clone()),
        _ => None,
    });
    let message = relayed.expect("a message to the other zones");
    let from = HostName::new("entry-1");
    let effects = event(&mut delegate, 0, Event::Received { from, message });
    assert_eq!(delegate.marked(), 1);
    let passed_on = effects.iter().any(|effect| {
        matches!(
            effect,
            Effect::Broadcast {
                message: Message::Marked { relay: false, .. }
            }
        )
    });
    assert!(passed_on, "{effects:?}");
}

#[test]
fn isolated_runs_take_turns() {
    let mut home = State::new(Config::default());
    let mut ask = |now_ms, attempt| {
        let fingerprint = Fingerprint(1);
        let message = Message::AskTurn {
            fingerprint,
            attempt: GenerationId(attempt),
        };
        let from = HostName::new("entry-1");
        let effects = event(&mut home, now_ms, Event::Received { from, message });
        matches!(
            &effects[..],
            [Effect::Send {
                message: Message::Turn { .. },
                ..
            }]
        )
    };
    assert!(ask(0, 1));
    assert!(!ask(1, 2), "one at a time");
    assert!(ask(1, 1), "a repeated question gets the same answer");
    assert!(
        ask(Config::default().isolation_ms + 1, 2),
        "a lost end frees the turn in time"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever the order and the repetition of the messages, hosts end at the same marks.
    #[test]
    fn hosts_converge(
        steps in prop::collection::vec((0u64..4, any::<bool>()), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let fingerprint = Fingerprint(3);
        let mut origin = State::new(Config::default());
        let mut messages = Vec::new();
        let mut now_ms = 0;
        for (number, finished) in steps {
            now_ms += 1_000;
            let effects = match finished {
                true => {
                    finish(&mut origin, now_ms, 9, fingerprint);
                    event(&mut origin, now_ms, Event::Tick)
                }
                false => run_and_crash(&mut origin, now_ms, number, fingerprint),
            };
            messages.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::Broadcast { message } => Some(message),
                _ => None,
            }));
        }
        let mut other = State::new(Config::default());
        let shuffled = order.iter().filter(|_| !messages.is_empty()).map(|i| i.get(&messages));
        for message in shuffled.chain(messages.iter().rev()) {
            let from = HostName::new("entry-1");
            let message = message.clone();
            event(&mut other, now_ms, Event::Received { from, message });
        }
        let marks = |state: &State| match state.treatment(now_ms, &fingerprint) {
            Treatment::Refuse { .. } => 3,
            Treatment::Isolate => 2,
            _ => 0,
        };
        prop_assert_eq!(marks(&origin), marks(&other));
    }
}
