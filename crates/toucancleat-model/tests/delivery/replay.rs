//! Walks through the specification, taken by the reducer at the same time.

use toucancleat_core::generation::{
    self, Cursor, Effect, Ending as CoreEnding, Event, State as Guard,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_model::delivery::{
    Action, Config, Ending, Frame, Output, Phase, State, apply, next,
};
use toucancleat_model::walk;

const WALKS: usize = 3_000;
const STEPS_MAX: usize = 40;

#[test]
fn reducer_follows_every_walk() {
    let mut rng = Rng::new(12);
    for (idempotent, whole) in
        [(true, false), (true, true), (false, false), (false, true)]
    {
        let config = Config {
            tokens: 5,
            crashes: 3,
            idempotent,
            whole,
            ..super::BOUNDED
        };
        for _ in 0..WALKS {
            let initial = State::new(&config);
            let steps = walk(&initial, |state| next(&config, state), &mut rng, STEPS_MAX);
            follow(&config, initial, steps);
        }
    }
}

fn follow(config: &Config, initial: State, steps: Vec<(Action, State)>) {
    let core = generation::Config {
        idempotent: config.idempotent,
        whole: config.whole,
        attempts_max: config.attempts_max.into(),
        resumes_max: config.resumes_max.into(),
    };
    let mut guard = Guard::new(&core);
    let mut before = initial;
    let mut taken = Vec::new();
    for (action, after) in steps {
        taken.push(action);
        if action == Action::CallerResumes {
            guard = Guard::resumed(&core, &cursor(&before));
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
            generation::reduce(&core, &mut guard, event, &mut effects);
        }
        let outputs: Vec<_> =
            effects.iter().map(|effect| output(effect, frame)).collect();
        let (_, expected) = apply(config, &before, action).expect("a step");
        assert_eq!(outputs, expected, "after {taken:#?}");
        if after.phase != Phase::Down {
            let ended = after.phase == Phase::Ended;
            assert_eq!(guard.is_ended(), ended, "after {taken:#?}");
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
        Action::Arrive(frame) => vec![Event::Frame {
            generation: GenerationId(frame.generation.into()),
            index: frame.index.into(),
            last: frame.index + 1 == config.tokens,
        }],
        Action::LinkLost => vec![Event::LinkLost],
        Action::Resumed => vec![Event::Resumed],
        Action::TargetLost => vec![Event::TargetLost],
        Action::Refused => vec![Event::Refused],
        Action::CallerGone => vec![Event::CallerGone],
        Action::TimedOut => vec![Event::TimedOut],
        _ => vec![],
    }
}

fn output(effect: &Effect, frame: Option<Frame>) -> Output {
    let arrived = || frame.expect("a frame has arrived");
    match *effect {
        Effect::Deliver { index } => {
            assert_eq!(index, u64::from(arrived().index));
            Output::Deliver(arrived())
        }
        Effect::Hold { index } => {
            assert_eq!(index, u64::from(arrived().index));
            Output::Hold(arrived())
        }
        Effect::DeliverHeld => Output::DeliverHeld,
        Effect::DiscardHeld => Output::DiscardHeld,
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
        Effect::Rerun { attempt } => Output::Rerun {
            attempt: attempt as u8,
        },
        Effect::End(ending) => Output::End(match ending {
            CoreEnding::Whole => Ending::Whole,
            CoreEnding::Broken {
                verdict: Verdict::NotRun,
            } => Ending::BrokenNotRun,
            CoreEnding::Broken { .. } => Ending::BrokenMayHaveRun,
            CoreEnding::CallerGone => Ending::CallerGone,
            ending => panic!("{ending:?}"),
        }),
        effect => panic!("{effect:?}"),
    }
}
