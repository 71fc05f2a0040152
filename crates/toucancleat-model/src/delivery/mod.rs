//! Delivery: a caller receives each token once, in order and from one generation.
//!
//! Every frame that a target has ever sent may arrive at any time and any number of times,
//! also from a cancelled generation or a generation of another request. See
//! docs/design/generations.md.

mod transition;

use self::transition::Transition;

/// Bounds of the exploration, and the mutation to explore.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of tokens of the answer.
    pub tokens: u8,
    /// Largest number of attempts.
    pub attempts_max: u8,
    /// Largest number of consecutive resumes without a new token.
    pub resumes_max: u8,
    /// Largest total number of crashes of the entry host.
    pub crashes_max: u8,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the answer is buffered until it is complete.
    pub is_buffered: bool,
    /// The check that is left out, if any.
    pub mutation: Option<Mutation>,
}

/// A check that is left out, so that a test can show that exploration detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Mutation {
    /// Frames are accepted regardless of their generation.
    AcceptAnyGeneration,
    /// Frames are accepted regardless of their index.
    AcceptAnyIndex,
    /// Another generation continues where the interrupted one ended.
    Splice,
    /// A non-idempotent request is retried without proof that it didn't run.
    RetryWithoutProof,
}

/// A frame of a generation; generation 0 belongs to another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Frame {
    /// The generation.
    pub generation: u8,
    /// The index.
    pub index: u8,
}

/// The phase of the delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[expect(missing_docs, reason = "the names of the protocol's page")]
pub enum Phase {
    Starting,
    Streaming,
    Resuming,
    Ended,
    /// The entry host has crashed; the caller still has its cursor.
    HostCrashed,
}

/// Whether the target has begun a generation's run, or proved that it hasn't.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RunState {
    Began,
    ProvedNotRun,
}

/// A state of the caller, the entry host and the targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The phase of the delivery.
    pub phase: Phase,
    generation: u8,
    attempt: u8,
    next_index: u8,
    has_delivered: bool,
    is_sent: bool,
    earlier_attempt_may_have_run: bool,
    resumes_left: u8,
    crashes: u8,
    /// Number of frames sent so far by each generation; the first is another request's.
    emitted: Vec<u8>,
    runs: Vec<RunState>,
    buffered: Vec<Frame>,
    /// The frames that the caller has received.
    pub received: Vec<Frame>,
    ending: Option<Ending>,
}

/// How the stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[expect(missing_docs, reason = "named like the endings of the reducer")]
pub enum Ending {
    Complete,
    InterruptedNotRun,
    InterruptedMayHaveRun,
    CallerDisconnected,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the events of the reducer")]
pub enum Action {
    /// The attempt is sent to a target.
    Start,
    /// A target produces its next token, even if the generation was cancelled.
    EmitToken {
        generation: u8,
    },
    /// A frame that was sent at any earlier time arrives.
    ReceiveFrame(Frame),
    ConnectionLost,
    Resumed,
    TargetLost,
    /// The target proves that the run didn't begin.
    Refused,
    CallerDisconnected,
    TimedOut,
    /// The entry host crashes.
    Crash,
    /// The caller resumes at another entry host with its cursor.
    CallerResumes,
}

/// An effect that the entry host emits in response to an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the effects of the reducer")]
pub enum Output {
    Deliver(Frame),
    Buffer(Frame),
    DeliverBuffered,
    DiscardBuffered,
    Reject,
    Resume { generation: u8, from_index: u8 },
    Cancel { generation: u8 },
    StartAttempt { attempt: u8 },
    End(Ending),
}

impl State {
    /// Returns the state of a new request.
    pub fn new(config: &Config) -> Self {
        State {
            phase: Phase::Starting,
            generation: 0,
            attempt: 1,
            next_index: 0,
            has_delivered: false,
            is_sent: false,
            earlier_attempt_may_have_run: false,
            resumes_left: config.resumes_max,
            crashes: 0,
            emitted: vec![config.tokens],
            runs: vec![RunState::ProvedNotRun],
            buffered: Vec::new(),
            received: Vec::new(),
            ending: None,
        }
    }

    /// Returns a description of the invariant that the state violates, if any.
    pub fn violation(&self, config: &Config) -> Option<String> {
        let first = self.received.first().map(|frame| frame.generation);
        for (index, frame) in self.received.iter().enumerate() {
            let is_in_order = usize::from(frame.index) == index;
            if !is_in_order || Some(frame.generation) != first || frame.generation == 0 {
                return Some(format!(
                    "the caller received wrong frames: {:?}",
                    self.received
                ));
            }
        }
        let is_complete = self.received.len() == usize::from(config.tokens);
        if self.ending == Some(Ending::Complete) && !is_complete {
            return Some(format!(
                "the answer ended as complete with {:?}",
                self.received
            ));
        }
        let began = self
            .runs
            .iter()
            .filter(|run| **run == RunState::Began)
            .count();
        if !config.is_idempotent && began > 1 {
            return Some(format!("a non-idempotent request began {began} times"));
        }
        let is_wrong_verdict =
            self.ending == Some(Ending::InterruptedNotRun) && began > 0;
        is_wrong_verdict.then(|| "a request that began was refused as not run".to_owned())
    }

    /// Returns the generation, attempt and index of the caller's cursor.
    pub fn cursor(&self) -> (u8, u8, u8) {
        (self.generation, self.attempt, self.received.len() as u8)
    }

    fn may_have_run(&self) -> bool {
        self.is_sent || self.earlier_attempt_may_have_run
    }
}

/// Returns the actions that are enabled, with the states that follow them.
pub fn next_states(config: &Config, state: &State) -> Vec<(Action, State)> {
    let generations = 0..state.emitted.len() as u8;
    let emissions = generations
        .clone()
        .map(|generation| Action::EmitToken { generation });
    let frames = generations.flat_map(|generation| {
        let emitted = state.emitted[usize::from(generation)];
        (0..emitted).map(move |index| Action::ReceiveFrame(Frame { generation, index }))
    });
    let other_actions = [
        Action::Start,
        Action::ConnectionLost,
        Action::Resumed,
        Action::TargetLost,
        Action::Refused,
        Action::CallerDisconnected,
        Action::TimedOut,
        Action::Crash,
        Action::CallerResumes,
    ];
    let step = |action: Action| {
        let (after, _) = apply(config, state, action)?;
        Some((action, after))
    };
    emissions
        .chain(frames)
        .chain(other_actions)
        .filter_map(step)
        .collect()
}

/// Applies an action; returns `None` if it isn't enabled.
pub fn apply(
    config: &Config,
    state: &State,
    action: Action,
) -> Option<(State, Vec<Output>)> {
    let mut transition = Transition {
        config,
        state: state.clone(),
        outputs: Vec::new(),
    };
    transition.apply(action)?;
    Some((transition.state, transition.outputs))
}
