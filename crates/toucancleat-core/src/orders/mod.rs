//! Orders to engines, from the state that is declared for them.
//!
//! One host of each zone holds a lease in the platform's table, whose term is the fencing
//! number of its orders. Engines that check it are safe from a holder that was paused; for
//! the others the module keeps what time can give. See docs/design/orders.md.

mod lease;
mod message;
mod target;

pub use self::lease::{Lease, LeaseRow, TABLE};
pub use self::message::{
    Declared, Effect, Event, Order, OrderOutcome, TargetState, WriteOutcome,
};

use indexmap::IndexMap;

use self::target::Target;
use crate::prelude::*;

/// Times and bounds of the orders.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time for which a written lease is valid.
    pub lease_ms: u64,
    /// Time between two renewals.
    pub renew_ms: u64,
    /// Part of the lease that isn't used, for clocks that run at other rates.
    pub margin_ms: u64,
    /// Longest time that an order may take to reach its target and be carried out.
    pub order_deadline_ms: u64,
    /// Time between two reads of a target that is as declared.
    pub check_ms: u64,
    /// Pause after a failed read or order; doubled up to `check_ms`.
    pub retry_ms: u64,
    /// Least time between two loads, which keeps the zone's part of the weight store's
    /// rate limit.
    pub load_interval_ms: u64,
}

/// The orders of one zone, as one host sees them.
#[derive(Clone, Debug)]
pub struct State {
    pub(in crate::orders) config: Config,
    lease: Lease,
    targets: IndexMap<TargetName, Target>,
    next_load_ms: u64,
    next_number: u64,
    /// Whether the lease was held after the last event; it may have lapsed since.
    was_holding: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            lease_ms: 10_000,
            renew_ms: 3_000,
            margin_ms: 1_000,
            order_deadline_ms: 30_000,
            check_ms: 30_000,
            retry_ms: 1_000,
            load_interval_ms: 5_000,
        }
    }
}

impl State {
    /// Makes the state of a host that has just started.
    ///
    /// The token has to be random: it tells this start of the host from every other.
    pub fn new(config: Config, zone: &ZoneName, host: &HostName, token: u64) -> Self {
        State {
            config,
            lease: Lease::new(zone, host, token),
            targets: IndexMap::new(),
            next_load_ms: 0,
            next_number: 0,
            was_holding: false,
        }
    }

    /// Says whether anything is declared for any target.
    pub fn has_declared(&self) -> bool {
        !self.targets.is_empty()
    }

    /// Returns the term under which this host may give orders now.
    pub fn term(&self, now_ms: u64) -> Option<FencingNumber> {
        self.lease.term(now_ms)
    }

    /// Says whether this host neither holds the lease nor waits for a write of its row.
    ///
    /// A host that ends before then may leave the row as it was, and the next holder would
    /// wait out the lease and the orders that may be open under it.
    pub fn is_lease_settled(&self) -> bool {
        self.lease.is_settled()
    }
}

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    follow_lease(state, now_ms, effects);
    apply(state, now_ms, event, effects);
    follow_lease(state, now_ms, effects);
    if state.lease.may_order(now_ms) {
        give_orders(state, now_ms, effects);
    }
}

/// Begins or ends a term where the lease was gained or lost, also by time alone.
fn follow_lease(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.lease.lapse(now_ms);
    let holds = state.lease.term(now_ms).is_some();
    match (state.was_holding, holds) {
        (false, true) => begin_term(state, now_ms),
        (true, false) => end_term(state, effects),
        _ => {}
    }
    state.was_holding = holds;
}

fn apply(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Candidate { is_candidate } => state.lease.is_candidate = is_candidate,
        Event::Declared { targets } => declare(state, targets, effects),
        Event::LeaseRead { row } => {
            state.lease.read(&state.config, now_ms, row, effects);
        }
        Event::LeaseWritten { write, outcome } => {
            state.lease.written(&state.config, now_ms, write, outcome);
        }
        Event::TargetRead {
            target,
            read,
            state: found,
        } => {
            target_read(state, now_ms, &target, read, found, effects);
        }
        Event::Drained { target } => {
            if let Some(target) = state.targets.get_mut(&target) {
                target.drained(now_ms);
            }
        }
        Event::OrderReply {
            target,
            order_id,
            outcome,
        } => {
            order_reply(state, now_ms, &target, order_id, outcome);
        }
        Event::Tick => {
            let open = |target: &Target| target.is_ordering(now_ms);
            let busy = state.targets.values().any(open);
            state.lease.tick(&state.config, now_ms, busy, effects);
        }
    }
}

fn declare(
    state: &mut State,
    declared: IndexMap<TargetName, Declared>,
    effects: &mut Vec<Effect>,
) {
    for (name, target) in &mut state.targets {
        if !declared.contains_key(name) {
            target.resume(effects);
        }
    }
    state.targets.retain(|name, _| declared.contains_key(name));
    for (name, declared) in declared {
        match state.targets.get_mut(&name) {
            Some(target) => target.declare(declared),
            None => {
                let target = Target::new(name.clone(), declared);
                state.targets.insert(name, target);
            }
        }
    }
}

/// A new holder doesn't know when its predecessor loaded, so it waits an interval.
fn begin_term(state: &mut State, now_ms: u64) {
    state.next_load_ms = now_ms + state.config.load_interval_ms;
    state.targets.values_mut().for_each(Target::reset);
}

fn end_term(state: &mut State, effects: &mut Vec<Effect>) {
    for target in state.targets.values_mut() {
        target.resume(effects);
        target.reset();
    }
}

fn target_read(
    state: &mut State,
    now_ms: u64,
    name: &TargetName,
    read: u64,
    found: Option<TargetState>,
    effects: &mut Vec<Effect>,
) {
    let may_order = state.lease.may_order(now_ms);
    let Some(term) = state.lease.term(now_ms).filter(|_| may_order) else {
        return;
    };
    let Some(target) = state.targets.get_mut(name) else {
        return;
    };
    if !target.is_reading(read) {
        return;
    }
    let Some(found) = found else {
        target.failed(&state.config, now_ms);
        return;
    };
    if found.fencing_number > term {
        state.lease.lose(now_ms);
        return;
    }
    let Some(order) = target.next_order(&found) else {
        target.resume(effects);
        target.rest(now_ms + state.config.check_ms);
        return;
    };
    if order.is_load() && now_ms < state.next_load_ms {
        target.rest(state.next_load_ms);
        return;
    }
    if target.needs_drain(&order, &found) {
        target.drain(effects);
        return;
    }
    if order.is_load() {
        state.next_load_ms = now_ms + state.config.load_interval_ms;
    }
    state.next_number += 1;
    let order_id = state.next_number;
    target.send(
        &state.config,
        &state.lease,
        now_ms,
        order_id,
        order,
        effects,
    );
}

fn order_reply(
    state: &mut State,
    now_ms: u64,
    name: &TargetName,
    order_id: u64,
    outcome: OrderOutcome,
) {
    let Some(target) = state.targets.get_mut(name) else {
        return;
    };
    if !target.is_carrying_out(order_id) {
        return;
    }
    match outcome {
        OrderOutcome::Done => target.done(now_ms),
        OrderOutcome::Refused => target.failed(&state.config, now_ms),
        OrderOutcome::Fenced => state.lease.lose(now_ms),
        // The order may still take effect: nothing else goes to the target before its
        // deadline.
        OrderOutcome::Unknown => {}
    }
}

fn give_orders(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    for target in state.targets.values_mut() {
        if target.is_due(now_ms) {
            state.next_number += 1;
            target.read(&state.config, now_ms, state.next_number, effects);
        }
    }
}
