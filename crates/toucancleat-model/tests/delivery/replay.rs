//! Replay of random walks through the specification of delivery against the reducer.

use toucancleat_core::generation::{
    self, Cursor, Effect, Ending as CoreEnding, Event, State as Delivery,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_model::delivery::{
    Action, Config, Ending, Frame, Output, Phase, State, apply, next_states,
};
use toucancleat_model::random_walk;

const WALKS: usize = 3_000;
const STEPS_MAX: usize = 40;

#[test]
fn reducer_never_diverges_from_the_specification() {
    let mut rng = Rng::new(12);
    for (is_idempotent, is_buffered) in
        [(true, false), (true, true), (false, false), (false, true)]
    {
        let config = Config {
            tokens: 5,
            crashes_max: 3,
            is_idempotent,
            is_buffered,
            ..super::BOUNDED
        };
        for _ in 0..WALKS {
            let initial = State::new(&config);
            let steps = random_walk(
                &initial,
                |state| next_states(&config, state),
                &mut rng,
                STEPS_MAX,
            );
            replay(&config, initial, steps);
        }
    }
}

fn replay(config: &Config, initial: State, steps: Vec<(Action, State)>) {
    let core = generation::Config {
        idempotent: config.is_idempotent,
        is_buffered: config.is_buffered,
        attempts_max: config.attempts_max.into(),
        resumes_max: config.resumes_max.into(),
    };
    let mut delivery = Delivery::new(&core);
    let mut before = initial;
    let mut applied = Vec::new();
    for (action, after) in steps {
        applied.push(action);
        if action == Action::CallerResumes {
            delivery = Delivery::resumed(&core, &cursor(&before));
        }
        let mut effects = Vec::new();
        let mut frame = None;
        for event in events(config, action, &after) {
            if let Event::Frame {
                generation, index, ..
            } = event
            {
                let generation = generation.0 as u8;
                frame = Some(Frame {
                    generation,
                    index: index as u8,
                });
            }
            generation::reduce(&core, &mut delivery, event, &mut effects);
        }
        let outputs: Vec<_> =
            effects.iter().map(|effect| output(effect, frame)).collect();
        let (_, expected) = apply(config, &before, action).expect("a step");
        assert_eq!(outputs, expected, "after {applied:#?}");
        if after.phase != Phase::HostCrashed {
            let is_ended = after.phase == Phase::Ended;
            assert_eq!(delivery.is_ended(), is_ended, "after {applied:#?}");
        }
        before = after;
    }
}

fn cursor(state: &State) -> Cursor {
    let (generation, attempt, next_index) = state.cursor();
    Cursor {
        target: TargetName::new("plan-llm-1"),
        kind: KindName::new("draft"),
        live_event: LiveEventName::new("closure-weekend"),
        generation: GenerationId(generation.into()),
        attempt: attempt.into(),
        revision: Revision(1),
        next_index: next_index.into(),
    }
}

fn events(config: &Config, action: Action, after: &State) -> Vec<Event> {
    match action {
        Action::Start => {
            let (generation, ..) = after.cursor();
            let generation = GenerationId(generation.into());
            vec![Event::Started { generation }, Event::Sent]
        }
        Action::ReceiveFrame(frame) => vec![Event::Frame {
            generation: GenerationId(frame.generation.into()),
            index: frame.index.into(),
            is_last: frame.index + 1 == config.tokens,
        }],
        Action::ConnectionLost => vec![Event::ConnectionLost],
        Action::Resumed => vec![Event::Resumed],
        Action::TargetLost => vec![Event::TargetLost],
        Action::Refused => vec![Event::Refused],
        Action::CallerDisconnected => vec![Event::CallerDisconnected],
        Action::TimedOut => vec![Event::TimedOut],
        _ => vec![],
    }
}

fn output(effect: &Effect, frame: Option<Frame>) -> Output {
    let received = || frame.expect("a received frame");
    match *effect {
        Effect::Deliver { index } => {
            assert_eq!(index, u64::from(received().index));
            Output::Deliver(received())
        }
        Effect::Buffer { index } => {
            assert_eq!(index, u64::from(received().index));
            Output::Buffer(received())
        }
        Effect::DeliverBuffered => Output::DeliverBuffered,
        Effect::DiscardBuffered => Output::DiscardBuffered,
        Effect::Reject(_) => Output::Reject,
        Effect::Resume {
            generation,
            from_index,
        } => Output::Resume {
            generation: generation.0 as u8,
            from_index: from_index as u8,
        },
        Effect::Cancel { generation } => Output::Cancel {
            generation: generation.0 as u8,
        },
        Effect::StartAttempt { attempt } => Output::StartAttempt {
            attempt: attempt as u8,
        },
        Effect::End(ending) => Output::End(match ending {
            CoreEnding::Complete => Ending::Complete,
            CoreEnding::Interrupted {
                verdict: Verdict::NotRun,
            } => Ending::InterruptedNotRun,
            CoreEnding::Interrupted { .. } => Ending::InterruptedMayHaveRun,
            CoreEnding::CallerDisconnected => Ending::CallerDisconnected,
            ending => panic!("{ending:?}"),
        }),
        effect => panic!("{effect:?}"),
    }
}
