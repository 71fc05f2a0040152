//! Claims: requests with one idempotency key never run twice.
//!
//! Several hosts claim the key by conditional writes to one row. The table applies a write
//! if its condition holds; the reply may be lost, and a write whose sender no longer waits
//! may take effect later, and more than once. A host that crashes loses its state. See
//! docs/design/claims.md.

mod transition;

use std::collections::BTreeSet;

use self::transition::Transition;

/// Bounds of the exploration, and the mutation to explore.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of requests with the key at each entry host.
    pub requests: &'static [u8],
    /// Largest total number of crashes.
    pub crashes_max: u8,
    /// The check that is left out, if any.
    pub mutation: Option<Mutation>,
}

/// A check that is left out, so that a test can show that exploration detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Mutation {
    /// A claimed row is claimed again as if its owner had certainly crashed.
    TakeOver,
    /// A claim whose row can't be read is dispatched on the assumption that it was written.
    DispatchUnread,
    /// A dispatched claim is released when the caller disconnects.
    ReleaseDispatched,
    /// The row is written regardless of its version.
    UnconditionalWrite,
}

/// Identifies a claim by its host and request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The host.
    pub host: u8,
    /// The number of the request at this host, from 0.
    pub number: u8,
}

/// The status of a claim as stored in its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[expect(missing_docs, reason = "the names of the protocol's page")]
pub enum ClaimStatus {
    Claimed,
    Released,
    Finished,
}

/// A write conditional on the row's version; version 0 means that no row exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Write {
    /// The claim that the write belongs to.
    pub token: Token,
    /// The new status.
    pub status: ClaimStatus,
    /// The version that the row must have.
    pub version: u8,
}

/// The row of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Row {
    /// Incremented by each write; 0 while no row exists.
    pub version: u8,
    /// The claim and its status, once written.
    pub value: Option<(Token, ClaimStatus)>,
}

/// The state of a host's current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostState {
    /// No request.
    Idle,
    /// A write is in flight; `desired` may have changed since it was sent.
    Writing {
        /// The write.
        write: Write,
        /// The status that the row must have in the end.
        desired: ClaimStatus,
        /// Whether an earlier write of the claim may have taken effect.
        is_in_doubt: bool,
    },
    /// The row is being read, since the reply to a write was lost.
    Reading {
        /// The write whose reply was lost.
        write: Write,
        /// The status that the row must have in the end.
        desired: ClaimStatus,
    },
    /// The write is retried after a pause.
    AwaitingRetry {
        /// The write.
        write: Write,
    },
    /// The claim is held at this version of the row.
    Held {
        /// The claim.
        token: Token,
        /// The row's version.
        version: u8,
        /// Whether a byte may have been sent to the target.
        is_dispatched: bool,
    },
}

/// A state of the table and the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The row.
    pub row: Row,
    /// The state of each host.
    pub hosts: Vec<HostState>,
    begun_requests: Vec<u8>,
    crashes: u8,
    /// Writes in flight whose senders no longer wait for the reply.
    delayed_writes: BTreeSet<Write>,
    /// Dispatched claims, except those proved not to have run.
    may_have_run: BTreeSet<Token>,
    /// Claims whose callers received the verdict that nothing ran.
    refused_not_run: BTreeSet<Token>,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
#[expect(missing_docs, reason = "the fields are the host or the delayed write")]
pub enum Action {
    /// A request with the key arrives.
    Begin { host: u8 },
    /// The write reaches the table, and its reply reaches the host.
    CompleteWrite { host: u8 },
    /// The write reaches the table; its reply is lost.
    LoseReply { host: u8 },
    /// The host stops waiting for the reply; the write may still take effect.
    Delay { host: u8 },
    /// The table rejects the write without applying it.
    Reject { host: u8 },
    /// A delayed write takes effect, possibly not for the first time.
    ApplyDelayed { write: Write },
    /// The row is read.
    Read { host: u8 },
    /// The row can't be read.
    FailRead { host: u8 },
    /// The request's wait for its claim times out.
    TimeOut { host: u8 },
    /// The pause before a retry has ended.
    Retry { host: u8 },
    /// The first byte is sent to the target.
    Dispatch { host: u8 },
    /// The caller disconnects.
    Abandon { host: u8 },
    /// The target has answered.
    Finish { host: u8 },
    /// The target has proved that nothing ran.
    ProveNotRun { host: u8 },
    /// The host restarts without any state.
    Crash { host: u8 },
}

/// An effect that a host emits in response to an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the effects of the reducer")]
pub enum Output {
    Write(Write),
    Read,
    PermitDispatch(Token),
    RefuseNotRun(Token),
    RefuseMayHaveRun(Token),
    Replay(Token),
}

impl State {
    /// Returns the state before the first request.
    pub fn new(config: &Config) -> Self {
        State {
            row: Row {
                version: 0,
                value: None,
            },
            hosts: vec![HostState::Idle; config.requests.len()],
            begun_requests: vec![0; config.requests.len()],
            crashes: 0,
            delayed_writes: BTreeSet::new(),
            may_have_run: BTreeSet::new(),
            refused_not_run: BTreeSet::new(),
        }
    }

    /// Returns the number of requests that a host has begun.
    pub fn begun_requests(&self, host: usize) -> u8 {
        self.begun_requests[host]
    }

    /// Returns a description of the invariant that the state violates, if any.
    pub fn violation(&self) -> Option<String> {
        if self.may_have_run.len() > 1 {
            return Some(format!(
                "the key ran more than once: {:?}",
                self.may_have_run
            ));
        }
        let contradicted = self
            .may_have_run
            .intersection(&self.refused_not_run)
            .next()?;
        Some(format!("{contradicted:?} ran and was refused as not run"))
    }
}

/// Returns the actions that are enabled, with the states that follow them.
pub fn next_states(config: &Config, state: &State) -> Vec<(Action, State)> {
    let delayed = state
        .delayed_writes
        .iter()
        .map(|write| Action::ApplyDelayed { write: *write });
    let hosts = (0..config.requests.len() as u8).flat_map(host_actions);
    let step = |action: Action| {
        let (after, _) = apply(config, state, action)?;
        Some((action, after))
    };
    hosts.chain(delayed).filter_map(step).collect()
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
    transition.drop_unsatisfiable_writes();
    Some((transition.state, transition.outputs))
}

fn host_actions(host: u8) -> [Action; 14] {
    [
        Action::Begin { host },
        Action::CompleteWrite { host },
        Action::LoseReply { host },
        Action::Delay { host },
        Action::Reject { host },
        Action::Read { host },
        Action::FailRead { host },
        Action::TimeOut { host },
        Action::Retry { host },
        Action::Dispatch { host },
        Action::Abandon { host },
        Action::Finish { host },
        Action::ProveNotRun { host },
        Action::Crash { host },
    ]
}
