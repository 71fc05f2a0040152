//! Orders: two hosts never hold the lease, and orders never overlap or take effect after
//! one of a later term.
//!
//! Time passes in whole units. A host may pause between any two of its actions, also
//! between deciding on an order and sending it. A write may take effect late, and its
//! reply may be delayed or lost. See docs/design/orders.md.

mod transition;

use std::collections::BTreeSet;

use self::transition::Transition;

/// Bounds of the exploration, and the mutation to explore.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time for which a lease is valid, in units.
    pub lease_units: u8,
    /// Time after which an order can't take effect any more, in units.
    pub deadline_units: u8,
    /// Time at which the exploration ends.
    pub time_max: u8,
    /// Largest total number of lost replies and late writes.
    pub losses_max: u8,
    /// Largest total number of crashes of hosts.
    pub crashes_max: u8,
    /// Largest total number of times that a host starts or stops being a candidate.
    pub candidate_changes_max: u8,
    /// Whether the target rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// The check that is left out, if any.
    pub mutation: Option<Mutation>,
}

/// A check that is left out, so that a test can show that exploration detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Mutation {
    /// A new holder doesn't wait until the previous holder's orders have expired.
    SkipWait,
    /// The time isn't checked again right before an order is sent.
    SkipRecheck,
    /// A holder counts its lease from the reply to its write, not from the sending.
    CountLeaseFromReply,
    /// A lease is released while an order is open.
    ReleaseWithOpenOrder,
}

/// The lease as stored in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Row {
    /// The host that holds the lease.
    pub holder: u8,
    /// The holder's incarnation.
    pub incarnation: u8,
    /// The lease's term, which is the fencing number.
    pub term: u8,
    /// Whether the holder has released the lease.
    pub is_released: bool,
}

/// A write conditional on the row's version; version 0 means that no row exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Write {
    /// The version that the row must have.
    pub version: u8,
    /// The new value.
    pub row: Row,
}

/// A host's write whose reply hasn't reached the host yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PendingWrite {
    Sent(Write),
    Applied(u8),
    Conflict(u8, Option<Row>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LeaseState {
    /// The host watches the row; `observed` is its version and the time of its last change.
    Watching {
        observed: Option<(u8, u8)>,
    },
    Acquiring {
        sent: u8,
        term: u8,
        wait: u8,
    },
    Holding(HeldLease),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    version: u8,
    term: u8,
    valid_until: u8,
    no_orders_until: u8,
    /// The time at which the pending write was sent, and whether it releases the lease.
    pending_renewal: Option<(u8, bool)>,
    is_release_sent: bool,
}

/// An order that was decided but not sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DecidedOrder {
    term: u8,
    valid_until: u8,
    expires_at: u8,
}

/// An order in flight to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// The host that sent the order.
    pub host: u8,
    /// The host's incarnation.
    pub incarnation: u8,
    /// The fencing number.
    pub term: u8,
    /// The time from which the order can't take effect any more.
    pub expires_at: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    incarnation: u8,
    is_candidate: bool,
    has_ticked: bool,
    lease_state: LeaseState,
    pending_write: Option<PendingWrite>,
    open_order_until: Option<u8>,
    decided_order: Option<DecidedOrder>,
}

/// A state of the table, two hosts and a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The current time.
    pub now: u8,
    /// The version and value of the row.
    pub row: (u8, Option<Row>),
    hosts: [Host; 2],
    delayed_writes: BTreeSet<Write>,
    orders: BTreeSet<Order>,
    highest_term: u8,
    has_stale_order_applied: bool,
    losses: u8,
    crashes: u8,
    candidate_changes: u8,
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
    AdvanceTime,
    /// The host runs its periodic work; `can_read` is false if the table can't be read.
    Tick { host: u8, can_read: bool },
    /// The host becomes a candidate for the lease, or stops being one.
    ChangeCandidate { host: u8 },
    /// The write reaches the table.
    ApplyWrite { host: u8 },
    /// The reply reaches the host.
    DeliverReply { host: u8 },
    /// The reply is lost.
    LoseReply { host: u8 },
    /// The host stops waiting for the reply; the write may still take effect.
    Delay { host: u8 },
    /// A delayed write takes effect.
    ApplyDelayed { write: Write },
    /// The host decides on an order.
    DecideOrder { host: u8 },
    /// The order is sent, or dropped because its time has ended.
    SendOrder { host: u8 },
    /// The target executes the order; the reply may be lost.
    ExecuteOrder { order: Order, has_reply: bool },
    /// The host restarts without any state.
    Crash { host: u8 },
}

/// An effect that a host emits in response to an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the effects of the reducer")]
pub enum Output {
    Read,
    Write(Write),
}

impl State {
    /// Returns the state before the first lease, for which both hosts are candidates.
    pub fn new(_: &Config) -> Self {
        let host = || Host {
            incarnation: 0,
            is_candidate: true,
            has_ticked: false,
            lease_state: LeaseState::Watching { observed: None },
            pending_write: None,
            open_order_until: None,
            decided_order: None,
        };
        State {
            now: 0,
            row: (0, None),
            hosts: [host(), host()],
            delayed_writes: BTreeSet::new(),
            orders: BTreeSet::new(),
            highest_term: 0,
            has_stale_order_applied: false,
            losses: 0,
            crashes: 0,
            candidate_changes: 0,
        }
    }

    /// Returns a description of the invariant that the state violates, if any.
    pub fn violation(&self, config: &Config) -> Option<String> {
        if self.term(0).is_some() && self.term(1).is_some() {
            return Some("two hosts hold the lease".to_owned());
        }
        if self.has_stale_order_applied {
            return Some("an order took effect after one of a later term".to_owned());
        }
        let is_overlapping = self.orders.len() > 1 && !config.checks_fencing;
        is_overlapping.then(|| format!("orders overlap: {:?}", self.orders))
    }

    /// Returns the term under which a host may send orders.
    pub fn term(&self, host: usize) -> Option<u8> {
        match self.hosts[host].lease_state {
            LeaseState::Holding(held)
                if self.now < held.valid_until && !held.is_release_sent =>
            {
                Some(held.term)
            }
            _ => None,
        }
    }

    /// Returns true if a host is a candidate for the lease.
    pub fn is_candidate(&self, host: usize) -> bool {
        self.hosts[host].is_candidate
    }

    /// Returns true if a host may decide on an order now.
    pub fn may_decide_order(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        let LeaseState::Holding(held) = host.lease_state else {
            return false;
        };
        let has_open_order = host
            .open_order_until
            .is_some_and(|expires_at| self.now < expires_at);
        let must_wait = self.now < held.no_orders_until;
        self.term(index).is_some() && host.is_candidate && !has_open_order && !must_wait
    }
}

/// Returns the actions that are enabled, with the states that follow them.
pub fn next_states(config: &Config, state: &State) -> Vec<(Action, State)> {
    let mut actions = vec![Action::AdvanceTime];
    for host in 0..2 {
        actions.extend([
            Action::Tick {
                host,
                can_read: true,
            },
            Action::Tick {
                host,
                can_read: false,
            },
            Action::ChangeCandidate { host },
            Action::ApplyWrite { host },
            Action::DeliverReply { host },
            Action::LoseReply { host },
            Action::Delay { host },
            Action::DecideOrder { host },
            Action::SendOrder { host },
            Action::Crash { host },
        ]);
    }
    actions.extend(
        state
            .delayed_writes
            .iter()
            .map(|write| Action::ApplyDelayed { write: *write }),
    );
    for order in &state.orders {
        actions.push(Action::ExecuteOrder {
            order: *order,
            has_reply: true,
        });
        actions.push(Action::ExecuteOrder {
            order: *order,
            has_reply: false,
        });
    }
    let step = |action: Action| {
        let (after, _) = apply(config, state, action)?;
        Some((action, after))
    };
    actions.into_iter().filter_map(step).collect()
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
