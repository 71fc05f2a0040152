//! One stream: each token once, in order, from one generation.
//!
//! Every frame that a target has ever sent may arrive at any time and any number of times,
//! also from a cancelled generation or from that of another request. See
//! docs/design/generations.md.

mod transition;

use self::transition::Stream;

/// Bounds of the exploration, and the guard that a broken variant lacks.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Tokens of the answer.
    pub tokens: u8,
    /// Most attempts.
    pub attempts_max: u8,
    /// Most resumes in a row without a new token.
    pub resumes_max: u8,
    /// Crashes of the entry host in total.
    pub crashes: u8,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether the answer is held back to its end.
    pub whole: bool,
    /// Which guard is missing.
    pub broken: Option<Broken>,
}

/// A guard that is left out to see the checker catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Broken {
    /// Frames pass whatever generation they name.
    AnyGeneration,
    /// Frames pass whatever index they have.
    AnyIndex,
    /// Another generation goes on where the lost one ended.
    Splice,
    /// A request that may not run twice is run again without proof.
    RerunUnproved,
}

/// The frame of a generation; generation 0 is that of another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Frame {
    /// The generation.
    pub generation: u8,
    /// The index.
    pub index: u8,
}

/// Where the guard of the stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[expect(missing_docs, reason = "the names of the protocol's page")]
pub enum Phase {
    Starting,
    Streaming,
    Resuming,
    Ended,
    /// The entry host is gone; the caller holds its cursor.
    Down,
}

/// What is proved about a generation's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Run {
    Began,
    Refused,
}

/// A state of the caller, the guard and the targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Where the guard stands.
    pub phase: Phase,
    generation: u8,
    attempt: u8,
    next_index: u8,
    delivered: bool,
    sent: bool,
    earlier_may_have_run: bool,
    resumes_left: u8,
    crashes: u8,
    /// Frames sent so far by each generation, the first being another request's.
    emitted: Vec<u8>,
    runs: Vec<Run>,
    held: Vec<Frame>,
    /// What the caller has been given.
    pub seen: Vec<Frame>,
    ended: Option<Ending>,
}

/// How the stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[expect(missing_docs, reason = "named like the endings of the reducer")]
pub enum Ending {
    Whole,
    BrokenNotRun,
    BrokenMayHaveRun,
    CallerGone,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the events of the reducer")]
pub enum Action {
    /// The attempt is sent to a target.
    Start,
    /// A target produces its next token, also when it should have been cancelled.
    Emit {
        generation: u8,
    },
    /// A frame arrives that was sent at some time.
    Arrive(Frame),
    LinkLost,
    Resumed,
    TargetLost,
    /// The target proves that it didn't begin.
    Refused,
    CallerGone,
    TimedOut,
    /// The entry host is gone.
    Crash,
    /// The caller resumes with its cursor at another entry host.
    CallerResumes,
}

/// What the guard does in consequence of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the effects of the reducer")]
pub enum Output {
    Deliver(Frame),
    Hold(Frame),
    DeliverHeld,
    DiscardHeld,
    Reject,
    Resume { generation: u8, from_index: u8 },
    Cancel { generation: u8 },
    Rerun { attempt: u8 },
    End(Ending),
}

impl State {
    /// Makes the state of a new request.
    pub fn new(config: &Config) -> Self {
        State {
            phase: Phase::Starting,
            generation: 0,
            attempt: 1,
            next_index: 0,
            delivered: false,
            sent: false,
            earlier_may_have_run: false,
            resumes_left: config.resumes_max,
            crashes: 0,
            emitted: vec![config.tokens],
            runs: vec![Run::Refused],
            held: Vec::new(),
            seen: Vec::new(),
            ended: None,
        }
    }

    /// Says what is wrong with the state.
    pub fn violation(&self, config: &Config) -> Option<String> {
        let first = self.seen.first().map(|frame| frame.generation);
        for (index, frame) in self.seen.iter().enumerate() {
            let in_order = usize::from(frame.index) == index;
            if !in_order || Some(frame.generation) != first || frame.generation == 0 {
                return Some(format!("the caller was given {:?}", self.seen));
            }
        }
        let all = self.seen.len() == usize::from(config.tokens);
        if self.ended == Some(Ending::Whole) && !all {
            return Some(format!("{:?} counts as whole", self.seen));
        }
        let began = self.runs.iter().filter(|run| **run == Run::Began).count();
        if !config.idempotent && began > 1 {
            return Some(format!("the request began {began} times"));
        }
        let not_run = self.ended == Some(Ending::BrokenNotRun) && began > 0;
        not_run.then(|| "a request that began was refused as not run".to_owned())
    }

    /// Returns the generation, attempt and index of the caller's cursor.
    pub fn cursor(&self) -> (u8, u8, u8) {
        (self.generation, self.attempt, self.seen.len() as u8)
    }

    fn may_have_run(&self) -> bool {
        self.sent || self.earlier_may_have_run
    }
}

/// Returns the actions that are possible, with the states that they lead to.
pub fn next(config: &Config, state: &State) -> Vec<(Action, State)> {
    let generations = 0..state.emitted.len() as u8;
    let emits = generations
        .clone()
        .map(|generation| Action::Emit { generation });
    let frames = generations.flat_map(|generation| {
        let emitted = state.emitted[usize::from(generation)];
        (0..emitted).map(move |index| Action::Arrive(Frame { generation, index }))
    });
    let others = [
        Action::Start,
        Action::LinkLost,
        Action::Resumed,
        Action::TargetLost,
        Action::Refused,
        Action::CallerGone,
        Action::TimedOut,
        Action::Crash,
        Action::CallerResumes,
    ];
    let step = |action: Action| {
        let (after, _) = apply(config, state, action)?;
        Some((action, after))
    };
    emits.chain(frames).chain(others).filter_map(step).collect()
}

/// Takes an action; `None` when it isn't possible.
pub fn apply(
    config: &Config,
    state: &State,
    action: Action,
) -> Option<(State, Vec<Output>)> {
    let mut stream = Stream {
        config,
        state: state.clone(),
        outputs: Vec::new(),
    };
    stream.take(action)?;
    Some((stream.state, stream.outputs))
}
