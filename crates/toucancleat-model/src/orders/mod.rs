//! Orders to a target under a lease, with holders that are paused.
//!
//! Time passes in whole units. A host may be paused between any two of its actions, also
//! between the decision for an order and its sending. A write may take effect late, and
//! its reply may be slow or lost. See docs/design/orders.md.

mod transition;

use std::collections::BTreeSet;

use self::transition::World;

/// Bounds of the exploration, and the guard that a broken variant lacks.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time for which a lease is valid.
    pub lease: u8,
    /// Time in which an order takes effect or not at all.
    pub deadline: u8,
    /// End of the exploration.
    pub time_max: u8,
    /// Lost replies and late writes in total.
    pub losses: u8,
    /// Crashes of hosts in total.
    pub crashes: u8,
    /// Changes of the candidate in total.
    pub changes: u8,
    /// Whether the target refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Which guard is missing.
    pub broken: Option<Broken>,
}

/// A guard that is left out to see the checker catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Broken {
    /// A new holder doesn't wait for the orders of the last one.
    NoWait,
    /// The time isn't compared again right before an order leaves.
    NoRecheck,
    /// A holder counts its lease from the reply to its write.
    CountFromReply,
    /// A lease is given back while an order is open.
    ReleaseWhileOpen,
}

/// The lease as the table holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Row {
    /// The host.
    pub holder: u8,
    /// The host's start.
    pub start: u8,
    /// The term.
    pub term: u8,
    /// Whether the lease was given back.
    pub released: bool,
}

/// A write on the condition of the row's version; version 0 means that no row exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Write {
    /// Version that the row must have.
    pub version: u8,
    /// The new value.
    pub row: Row,
}

/// A write of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Flight {
    Sent(Write),
    Applied(u8),
    Conflict(u8, Option<Row>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Watching { seen: Option<(u8, u8)> },
    Acquiring { sent: u8, term: u8, wait: u8 },
    Holding(Held),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    version: u8,
    term: u8,
    valid_until: u8,
    quiet_until: u8,
    renewing: Option<(u8, bool)>,
    release_sent: bool,
}

/// An order that was decided but hasn't left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Ready {
    term: u8,
    valid_until: u8,
    until: u8,
}

/// An order on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// The host.
    pub host: u8,
    /// The host's start.
    pub start: u8,
    /// The fencing number.
    pub term: u8,
    /// When it can't take effect any more.
    pub until: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    start: u8,
    is_candidate: bool,
    ticked: bool,
    step: Step,
    flight: Option<Flight>,
    open_until: Option<u8>,
    ready: Option<Ready>,
}

/// A state of the table, two hosts and a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The present time.
    pub now: u8,
    /// Version and value of the row.
    pub row: (u8, Option<Row>),
    hosts: [Host; 2],
    late: BTreeSet<Write>,
    orders: BTreeSet<Order>,
    highest_term: u8,
    went_back: bool,
    losses: u8,
    crashes: u8,
    changes: u8,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
#[expect(
    missing_docs,
    reason = "the fields are the host, write or order concerned"
)]
pub enum Action {
    /// A unit of time passes.
    Pass,
    /// The host does what is due; `reads` says whether the table can be read.
    Tick { host: u8, reads: bool },
    /// The host learns that it is to hold the lease, or not any more.
    ChangeCandidate { host: u8 },
    /// The write reaches the table.
    Apply { host: u8 },
    /// The reply reaches the host.
    Reply { host: u8 },
    /// The reply is lost.
    LoseReply { host: u8 },
    /// The host gives up waiting; the write may still take effect.
    Delay { host: u8 },
    /// A late write takes effect.
    ArriveLate { write: Write },
    /// The host decides to give an order.
    Decide { host: u8 },
    /// The order leaves, or is dropped as its time is over.
    Send { host: u8 },
    /// The target carries the order out; the reply may be lost.
    CarryOut { order: Order, reply: bool },
    /// The host forgets everything.
    Crash { host: u8 },
}

/// What a host does in consequence of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the effects of the reducer")]
pub enum Output {
    Read,
    Write(Write),
}

impl State {
    /// Makes the state before the first lease, which both hosts mean to hold.
    pub fn new(_: &Config) -> Self {
        let host = || Host {
            start: 0,
            is_candidate: true,
            ticked: false,
            step: Step::Watching { seen: None },
            flight: None,
            open_until: None,
            ready: None,
        };
        State {
            now: 0,
            row: (0, None),
            hosts: [host(), host()],
            late: BTreeSet::new(),
            orders: BTreeSet::new(),
            highest_term: 0,
            went_back: false,
            losses: 0,
            crashes: 0,
            changes: 0,
        }
    }

    /// Says what is wrong with the state.
    pub fn violation(&self, config: &Config) -> Option<String> {
        if self.term(0).is_some() && self.term(1).is_some() {
            return Some("two hosts hold the lease".to_owned());
        }
        if self.went_back {
            return Some("an order took effect after one of a later term".to_owned());
        }
        let overlap = self.orders.len() > 1 && !config.checks_fencing;
        overlap.then(|| format!("orders overlap: {:?}", self.orders))
    }

    /// Returns the term under which a host may give orders.
    pub fn term(&self, host: usize) -> Option<u8> {
        match self.hosts[host].step {
            Step::Holding(held) if self.now < held.valid_until && !held.release_sent => {
                Some(held.term)
            }
            _ => None,
        }
    }

    /// Says whether a host is to hold the lease.
    pub fn is_candidate(&self, host: usize) -> bool {
        self.hosts[host].is_candidate
    }

    /// Says whether a host may decide to give an order now.
    pub fn may_decide(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        let Step::Holding(held) = host.step else {
            return false;
        };
        let open = host.open_until.is_some_and(|until| self.now < until);
        let quiet = self.now < held.quiet_until;
        self.term(index).is_some() && host.is_candidate && !open && !quiet
    }
}

/// Returns the actions that are possible, with the states that they lead to.
pub fn next(config: &Config, state: &State) -> Vec<(Action, State)> {
    let mut actions = vec![Action::Pass];
    for host in 0..2 {
        actions.extend([
            Action::Tick { host, reads: true },
            Action::Tick { host, reads: false },
            Action::ChangeCandidate { host },
            Action::Apply { host },
            Action::Reply { host },
            Action::LoseReply { host },
            Action::Delay { host },
            Action::Decide { host },
            Action::Send { host },
            Action::Crash { host },
        ]);
    }
    actions.extend(
        state
            .late
            .iter()
            .map(|write| Action::ArriveLate { write: *write }),
    );
    for order in &state.orders {
        actions.push(Action::CarryOut {
            order: *order,
            reply: true,
        });
        actions.push(Action::CarryOut {
            order: *order,
            reply: false,
        });
    }
    let step = |action: Action| {
        let (after, _) = apply(config, state, action)?;
        Some((action, after))
    };
    actions.into_iter().filter_map(step).collect()
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
    Some((world.state, world.outputs))
}
