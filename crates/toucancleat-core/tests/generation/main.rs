//! Delivery of a stream: which frames are accepted, and what follows a failure.

mod cursor;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::generation::{
    self, Config, Cursor, Effect, Ending, Event, Rejection, State,
};
use toucancleat_core::prelude::*;

const IDEMPOTENT: Config = Config {
    idempotent: true,
    is_buffered: false,
    attempts_max: 3,
    resumes_max: 2,
};
const ONCE: Config = Config {
    idempotent: false,
    ..IDEMPOTENT
};
const WHOLE: Config = Config {
    is_buffered: true,
    ..IDEMPOTENT
};

const G1: GenerationId = GenerationId(1);
const G2: GenerationId = GenerationId(2);

fn frame(generation: GenerationId, index: u64) -> Event {
    Event::Frame {
        generation,
        index,
        is_last: false,
    }
}

fn last(generation: GenerationId, index: u64) -> Event {
    Event::Frame {
        generation,
        index,
        is_last: true,
    }
}

fn started(generation: GenerationId) -> Event {
    Event::Started { generation }
}

fn interrupted(verdict: Verdict) -> Effect {
    Effect::End(Ending::Interrupted { verdict })
}

fn apply_all(config: &Config, state: &mut State, events: &[Event]) -> Vec<Effect> {
    let mut effects = Vec::new();
    for event in events {
        generation::reduce(config, state, *event, &mut effects);
    }
    effects
}

#[test]
fn failures_never_duplicate_or_reorder_tokens() {
    use Effect::{
        Buffer, Cancel, Deliver, DeliverBuffered, DiscardBuffered, End, Reject,
        StartAttempt,
    };
    use Event::{ConnectionLost, Refused, Resumed, Sent, TargetLost};

    struct Case {
        name: &'static str,
        config: Config,
        events: Vec<Event>,
        expected: Vec<Effect>,
    }
    let resume = |from_index| Effect::Resume {
        generation: G1,
        from_index,
    };
    let cancel = |generation| Cancel { generation };
    let case = |name, config, events: &[Event], expected: &[Effect]| Case {
        name,
        config,
        events: [&[started(G1), Sent], events].concat(),
        expected: expected.to_vec(),
    };
    let deliver = |index| Deliver { index };
    let cases = [
        case(
            "whole answer",
            IDEMPOTENT,
            &[frame(G1, 0), last(G1, 1)],
            &[deliver(0), deliver(1), End(Ending::Complete)],
        ),
        case(
            "repeated frame",
            IDEMPOTENT,
            &[frame(G1, 0), frame(G1, 0), frame(G1, 1)],
            &[deliver(0), Reject(Rejection::Repeated), deliver(1)],
        ),
        case(
            "skipped frame is requested again",
            IDEMPOTENT,
            &[
                frame(G1, 0),
                frame(G1, 2),
                frame(G1, 3),
                Resumed,
                frame(G1, 1),
            ],
            &[
                deliver(0),
                Reject(Rejection::Skipped),
                resume(1),
                Reject(Rejection::Skipped),
                deliver(1),
            ],
        ),
        case(
            "frame of another generation",
            IDEMPOTENT,
            &[frame(G2, 0), frame(G1, 0)],
            &[Reject(Rejection::OtherGeneration), deliver(0)],
        ),
        case(
            "connection lost and stream resumed",
            IDEMPOTENT,
            &[frame(G1, 0), ConnectionLost, Resumed, last(G1, 1)],
            &[deliver(0), resume(1), deliver(1), End(Ending::Complete)],
        ),
        case(
            "target lost before the first token",
            IDEMPOTENT,
            &[TargetLost, started(G2), frame(G1, 0), last(G2, 0)],
            &[
                cancel(G1),
                StartAttempt { attempt: 2 },
                Reject(Rejection::OtherGeneration),
                deliver(0),
                End(Ending::Complete),
            ],
        ),
        case(
            "target lost before the first token, not idempotent",
            ONCE,
            &[TargetLost],
            &[cancel(G1), interrupted(Verdict::MayHaveRun)],
        ),
        case(
            "target lost after the first token",
            IDEMPOTENT,
            &[frame(G1, 0), TargetLost, frame(G1, 1)],
            &[
                deliver(0),
                cancel(G1),
                interrupted(Verdict::MayHaveRun),
                Reject(Rejection::Ended),
            ],
        ),
        case(
            "connection lost repeatedly without progress",
            IDEMPOTENT,
            &[frame(G1, 0), ConnectionLost, ConnectionLost, ConnectionLost],
            &[
                deliver(0),
                resume(1),
                resume(1),
                cancel(G1),
                interrupted(Verdict::MayHaveRun),
            ],
        ),
        case(
            "refused at every attempt, not idempotent",
            ONCE,
            &[
                Refused,
                started(G2),
                Sent,
                Refused,
                started(G1),
                Sent,
                Refused,
            ],
            &[
                cancel(G1),
                StartAttempt { attempt: 2 },
                cancel(G2),
                StartAttempt { attempt: 3 },
                cancel(G1),
                interrupted(Verdict::NotRun),
            ],
        ),
        case(
            "refusal doesn't prove that an earlier attempt did not run",
            IDEMPOTENT,
            &[TargetLost, started(G2), Sent, Refused, started(G1), Refused],
            &[
                cancel(G1),
                StartAttempt { attempt: 2 },
                cancel(G2),
                StartAttempt { attempt: 3 },
                cancel(G1),
                interrupted(Verdict::MayHaveRun),
            ],
        ),
        case(
            "buffered answer hides a failed attempt",
            WHOLE,
            &[
                frame(G1, 0),
                TargetLost,
                started(G2),
                frame(G2, 0),
                last(G2, 1),
            ],
            &[
                Buffer { index: 0 },
                cancel(G1),
                DiscardBuffered,
                StartAttempt { attempt: 2 },
                Buffer { index: 0 },
                Buffer { index: 1 },
                DeliverBuffered,
                End(Ending::Complete),
            ],
        ),
        case(
            "caller disconnected",
            IDEMPOTENT,
            &[frame(G1, 0), Event::CallerDisconnected, frame(G1, 1)],
            &[
                deliver(0),
                cancel(G1),
                End(Ending::CallerDisconnected),
                Reject(Rejection::Ended),
            ],
        ),
        case(
            "timed out",
            IDEMPOTENT,
            &[Event::TimedOut],
            &[cancel(G1), interrupted(Verdict::MayHaveRun)],
        ),
    ];
    for case in cases {
        let mut state = State::new(&case.config);
        let effects = apply_all(&case.config, &mut state, &case.events);
        assert_eq!(effects, case.expected, "{}", case.name);
    }
}

#[test]
fn a_stream_resumed_with_a_cursor_continues_at_its_position() {
    let cursor = Cursor {
        next_index: 7,
        ..cursor::sample_cursor()
    };
    let mut state = State::resumed(&IDEMPOTENT, &cursor);
    let generation = cursor.generation;
    let events = [Event::Resumed, frame(generation, 6), last(generation, 7)];
    let effects = apply_all(&IDEMPOTENT, &mut state, &events);
    let expected = [
        Effect::Reject(Rejection::Repeated),
        Effect::Deliver { index: 7 },
        Effect::End(Ending::Complete),
    ];
    assert_eq!(effects, expected);

    let mut state = State::resumed(&IDEMPOTENT, &cursor);
    let effects = apply_all(&IDEMPOTENT, &mut state, &[Event::TargetLost]);
    assert_eq!(
        effects,
        [
            Effect::Cancel { generation },
            interrupted(Verdict::MayHaveRun)
        ]
    );
}

fn event_sequences() -> impl Strategy<Value = Vec<Event>> {
    let generation = || (1..4u128).prop_map(GenerationId);
    let event = prop_oneof![
        3 => generation().prop_map(started),
        2 => Just(Event::Sent),
        20 => (generation(), 0..6u64, prop::bool::weighted(0.1))
            .prop_map(|(generation, index, is_last)| Event::Frame { generation, index, is_last }),
        2 => Just(Event::ConnectionLost),
        2 => Just(Event::Resumed),
        2 => Just(Event::TargetLost),
        1 => Just(Event::Refused),
        1 => Just(Event::CallerDisconnected),
        1 => Just(Event::TimedOut),
    ];
    proptest::collection::vec(event, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn caller_receives_the_tokens_of_one_generation_in_order(
        events in event_sequences(),
        is_buffered: bool,
    ) {
        let config = Config { is_buffered, ..IDEMPOTENT };
        let mut state = State::new(&config);
        let mut buffered = Vec::new();
        let mut received: Vec<(GenerationId, u64)> = Vec::new();
        let mut has_ended = false;
        for event in events {
            let mut effects = Vec::new();
            generation::reduce(&config, &mut state, event, &mut effects);
            for effect in effects {
                prop_assert!(!has_ended || matches!(effect, Effect::Reject(_)));
                match (effect, event) {
                    (Effect::Deliver { .. }, Event::Frame { generation, index, .. }) => {
                        received.push((generation, index));
                    }
                    (Effect::Buffer { .. }, Event::Frame { generation, index, .. }) => {
                        buffered.push((generation, index));
                    }
                    (Effect::DiscardBuffered, _) => buffered.clear(),
                    (Effect::DeliverBuffered, _) => received.append(&mut buffered),
                    (Effect::End(_), _) => has_ended = true,
                    _ => {}
                }
            }
        }
        for (position, (generation, index)) in received.iter().enumerate() {
            prop_assert_eq!(*index, position as u64);
            prop_assert_eq!(*generation, received[0].0);
        }
    }
}
