//! Poison requests are isolated and then refused, at whichever host they arrive.

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

fn apply(state: &mut State, now_ms: u64, event: Event) -> Vec<Effect> {
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
    apply(
        state,
        now_ms,
        Event::Started {
            target: target(number),
            fingerprint,
        },
    );
    apply(
        state,
        now_ms,
        Event::Crashed {
            crash: crash(number),
        },
    )
}

fn finish(state: &mut State, now_ms: u64, number: u64, fingerprint: Fingerprint) {
    apply(
        state,
        now_ms,
        Event::Started {
            target: target(number),
            fingerprint,
        },
    );
    let finished = true;
    apply(
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
fn fingerprint_depends_only_on_organisation_and_body() {
    let fingerprint = |organisation, body: &[u8]| {
        Fingerprint::new(&OrganisationName::new(organisation), body)
    };
    assert_eq!(fingerprint("club", b"body"), fingerprint("club", b"body"));
    assert_ne!(fingerprint("club", b"body"), fingerprint("club", b"other"));
    assert_ne!(fingerprint("club", b"body"), fingerprint("circle", b"body"));
    assert_ne!(fingerprint("club", b"body"), fingerprint("clubb", b"ody"));
}

#[test]
fn marks_isolate_and_refuse_a_request_until_cleared_or_expired() {
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
            name: "two crashes",
            steps: &[Crash(1), Crash(2)],
            treatment: Treatment::Isolate,
        },
        Case {
            name: "one crash reported twice",
            steps: &[Crash(1), Crash(1), Crash(1)],
            treatment: Treatment::Normal,
        },
        Case {
            name: "three crashes",
            steps: &[Crash(1), Wait(10), Crash(2), Wait(10), Crash(3)],
            treatment: refuse(MARK_MS - 20),
        },
        Case {
            name: "finished while isolated",
            steps: &[Crash(1), Crash(2), Finish],
            treatment: Treatment::Normal,
        },
        Case {
            name: "a cleared crash reported again doesn't count",
            steps: &[Crash(1), Crash(2), Finish, Crash(3), Crash(1)],
            treatment: Treatment::Normal,
        },
        Case {
            name: "the first of three marks has expired",
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
fn a_crash_marks_requests_that_stopped_shortly_before_its_detection() {
    struct Case {
        name: &'static str,
        finished: bool,
        waited_ms: u64,
        marked: usize,
    }
    let cases = [
        Case {
            name: "connection lost shortly before",
            finished: false,
            waited_ms: 2_000,
            marked: 1,
        },
        Case {
            name: "finished shortly before",
            finished: true,
            waited_ms: 0,
            marked: 0,
        },
        Case {
            name: "connection lost long before",
            finished: false,
            waited_ms: 60_000,
            marked: 0,
        },
    ];
    for case in cases {
        let mut state = State::new(Config::default());
        let fingerprint = Fingerprint(1);
        apply(
            &mut state,
            0,
            Event::Started {
                target: target(1),
                fingerprint,
            },
        );
        let finished = case.finished;
        apply(
            &mut state,
            0,
            Event::Stopped {
                target: target(1),
                fingerprint,
                finished,
            },
        );
        apply(
            &mut state,
            case.waited_ms,
            Event::Crashed { crash: crash(1) },
        );
        assert_eq!(state.marked_count(), case.marked, "{}", case.name);
    }
}

#[test]
fn marks_reach_every_host_of_another_zone_through_a_delegate() {
    let mut first = State::new(Config::default());
    let mut delegate = State::new(Config::default());
    let effects = run_and_crash(&mut first, 0, 1, Fingerprint(5));
    let sent_to_zones = effects.iter().find_map(|effect| match effect {
        Effect::SendToZones { message } => Some(message.clone()),
        _ => None,
    });
    let message = sent_to_zones.expect("a message to the other zones");
    let from = HostName::new("entry-1");
    let effects = apply(&mut delegate, 0, Event::MessageReceived { from, message });
    assert_eq!(delegate.marked_count(), 1);
    let is_forwarded = effects.iter().any(|effect| {
        matches!(
            effect,
            Effect::Broadcast {
                message: Message::Marked { relay: false, .. }
            }
        )
    });
    assert!(is_forwarded, "{effects:?}");
}

#[test]
fn isolated_runs_never_overlap() {
    let mut home = State::new(Config::default());
    let mut is_turn_granted = |now_ms, attempt| {
        let fingerprint = Fingerprint(1);
        let message = Message::RequestTurn {
            fingerprint,
            attempt: GenerationId(attempt),
        };
        let from = HostName::new("entry-1");
        let effects = apply(&mut home, now_ms, Event::MessageReceived { from, message });
        matches!(
            &effects[..],
            [Effect::Send {
                message: Message::GrantTurn { .. },
                ..
            }]
        )
    };
    assert!(is_turn_granted(0, 1));
    assert!(!is_turn_granted(1, 2), "only one attempt holds the turn");
    assert!(
        is_turn_granted(1, 1),
        "a repeated request gets the same reply"
    );
    assert!(
        is_turn_granted(Config::default().isolation_timeout_ms + 1, 2),
        "the turn expires if the message that releases it is lost"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Hosts converge on the same marks when messages are reordered and duplicated.
    #[test]
    fn hosts_converge_on_the_same_marks(
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
                    apply(&mut origin, now_ms, Event::Tick)
                }
                false => run_and_crash(&mut origin, now_ms, number, fingerprint),
            };
            messages.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::Broadcast { message } => Some(message),
                _ => None,
            }));
        }
        let mut other = State::new(Config::default());
        let reordered = order.iter().filter(|_| !messages.is_empty()).map(|i| i.get(&messages));
        for message in reordered.chain(messages.iter().rev()) {
            let from = HostName::new("entry-1");
            let message = message.clone();
            apply(&mut other, now_ms, Event::MessageReceived { from, message });
        }
        let counted_marks = |state: &State| match state.treatment(now_ms, &fingerprint) {
            Treatment::Refuse { .. } => 3,
            Treatment::Isolate => 2,
            _ => 0,
        };
        prop_assert_eq!(counted_marks(&origin), counted_marks(&other));
    }
}
