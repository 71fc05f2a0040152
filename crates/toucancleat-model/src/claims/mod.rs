//! At most once: several hosts, one key, one row.
//!
//! The table applies a write whose condition holds; its reply may be lost, and a write
//! whose sender has given up may take effect later, and more than once. Hosts crash and
//! forget everything. See docs/design/claims.md.

mod transition;

use std::collections::BTreeSet;

use self::transition::World;

/// Bounds of the exploration, and the guards that a broken variant lacks.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests with the key at each entry host.
    pub requests: &'static [u8],
    /// Crashes in total.
    pub crashes: u8,
    /// Which guard is missing.
    pub broken: Option<Broken>,
}

/// A guard that is left out to see the checker catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Broken {
    /// A claimed row is taken over, as if its owner had to be dead after some time.
    TakeOver,
    /// A claim whose row can't be read is dispatched in the hope that it was written.
    DispatchUnread,
    /// A claim that was dispatched is released when the caller goes.
    ReleaseDispatched,
    /// The row is written whatever its version.
    Unconditional,
}

/// One claim: a host and the number of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The host.
    pub host: u8,
    /// The number of its request.
    pub number: u8,
}

/// What a row says of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[expect(missing_docs, reason = "the names of the protocol's page")]
pub enum Mark {
    Claimed,
    Released,
    Finished,
}

/// A write on the condition of the row's version; version 0 means that no row exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Write {
    /// The claim that writes.
    pub token: Token,
    /// What it writes.
    pub mark: Mark,
    /// Version that the row must have.
    pub version: u8,
}

/// The row of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Row {
    /// Raised by each write; 0 while no row exists.
    pub version: u8,
    /// Claim and mark, once written.
    pub value: Option<(Token, Mark)>,
}

/// What a host does for its present request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// No request.
    Idle,
    /// A write is on its way; `want` may have changed since it was sent.
    Writing {
        /// The write.
        write: Write,
        /// What the row has to say in the end.
        want: Mark,
        /// Whether an earlier write of the claim may have taken effect.
        in_doubt: bool,
    },
    /// A lost reply is being read back.
    Reading {
        /// The write whose reply was lost.
        write: Write,
        /// What the row has to say in the end.
        want: Mark,
    },
    /// The write is tried again later.
    Waiting {
        /// The write.
        write: Write,
    },
    /// The claim is held at this version of the row.
    Held {
        /// The claim.
        token: Token,
        /// The row's version.
        version: u8,
        /// Whether a byte may have left.
        dispatched: bool,
    },
}

/// A state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The row.
    pub row: Row,
    /// What each host does.
    pub hosts: Vec<Step>,
    begun: Vec<u8>,
    crashes: u8,
    /// Writes whose senders have given up on them.
    late: BTreeSet<Write>,
    /// Claims that were dispatched, without those proved not to have run.
    may_have_run: BTreeSet<Token>,
    /// Claims whose callers were told that nothing ran.
    refused: BTreeSet<Token>,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
#[expect(missing_docs, reason = "the fields are the host or the late write")]
pub enum Action {
    /// A request with the key arrives.
    Begin { host: u8 },
    /// The write reaches the table and the reply the host.
    Answer { host: u8 },
    /// The write reaches the table; its reply is lost.
    LoseReply { host: u8 },
    /// The host gives up waiting; the write may still take effect.
    Delay { host: u8 },
    /// The table refuses the write.
    Reject { host: u8 },
    /// A late write takes effect, perhaps not for the first time.
    ArriveLate { write: Write },
    /// The row is read.
    Read { host: u8 },
    /// The row can't be read.
    FailRead { host: u8 },
    /// The request has waited long enough for its claim.
    TimeOut { host: u8 },
    /// The pause before another try is over.
    Retry { host: u8 },
    /// The first byte leaves.
    Dispatch { host: u8 },
    /// The caller goes.
    Abandon { host: u8 },
    /// The target has answered.
    Finish { host: u8 },
    /// The target has proved that nothing ran.
    Disprove { host: u8 },
    /// The host forgets everything.
    Crash { host: u8 },
}

/// What a host says or does in consequence of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the effects of the reducer")]
pub enum Output {
    Write(Write),
    Read,
    Permit(Token),
    RefuseNotRun(Token),
    RefuseMayHaveRun(Token),
    Replay(Token),
}

impl State {
    /// Makes the state before the first request.
    pub fn new(config: &Config) -> Self {
        State {
            row: Row {
                version: 0,
                value: None,
            },
            hosts: vec![Step::Idle; config.requests.len()],
            begun: vec![0; config.requests.len()],
            crashes: 0,
            late: BTreeSet::new(),
            may_have_run: BTreeSet::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Returns how many requests a host has begun.
    pub fn begun(&self, host: usize) -> u8 {
        self.begun[host]
    }

    /// Says what is wrong with the state.
    pub fn violation(&self) -> Option<String> {
        if self.may_have_run.len() > 1 {
            return Some(format!("the key ran for {:?}", self.may_have_run));
        }
        let wrong = self.may_have_run.intersection(&self.refused).next()?;
        Some(format!("{wrong:?} ran and was refused as not run"))
    }
}

/// Returns the actions that are possible, with the states that they lead to.
pub fn next(config: &Config, state: &State) -> Vec<(Action, State)> {
    let late = state
        .late
        .iter()
        .map(|write| Action::ArriveLate { write: *write });
    let hosts = (0..config.requests.len() as u8).flat_map(host_actions);
    let step = |action: Action| {
        let (after, _) = apply(config, state, action)?;
        Some((action, after))
    };
    hosts.chain(late).filter_map(step).collect()
}

/// Takes an action; `None` when it isn't possible.
pub fn apply(
    config: &Config,
    state: &State,
    action: Action,
) -> Option<(State, Vec<Output>)> {
    let mut world = World {
        config,
        state: state.clone(),
        outputs: Vec::new(),
    };
    world.take(action)?;
    world.forget_dead_writes();
    Some((world.state, world.outputs))
}

fn host_actions(host: u8) -> [Action; 14] {
    [
        Action::Begin { host },
        Action::Answer { host },
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
        Action::Disprove { host },
        Action::Crash { host },
    ]
}
