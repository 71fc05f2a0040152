//! Orders that bring engines to their declared state.
//!
//! One host of each zone holds a lease in the platform's table, whose term is the fencing
//! number of its orders. Engines that check it are protected from a holder that was
//! paused; for the others the module relies on timeouts alone. See docs/design/orders.md.

mod lease;
mod message;
mod target;

pub use self::lease::{Lease, LeaseRow, TABLE};
pub use self::message::{
    DeclaredState, Effect, Event, Order, OrderOutcome, TargetState, WriteOutcome,
};

use indexmap::IndexMap;

use self::target::Target;
use crate::prelude::*;

/// Timeouts and intervals of the orders.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time for which a written lease is valid.
    pub lease_ms: u64,
    /// Time between two renewals.
    pub renew_interval_ms: u64,
    /// Part of the lease that isn't used, which allows for clocks of different rates.
    pub margin_ms: u64,
    /// Maximum time in which an order reaches its target and is carried out.
    pub order_deadline_ms: u64,
    /// Time between two reads of a target that is in its declared state.
    pub check_interval_ms: u64,
    /// Pause after a failed read or order; doubled up to `check_interval_ms`.
    pub retry_ms: u64,
    /// Minimum time between two loads, which keeps the zone within its part of the weight
    /// store's rate limit.
    pub load_interval_ms: u64,
}

/// The state of the orders of one zone at one host.
#[derive(Clone, Debug)]
pub struct State {
    pub(in crate::orders) config: Config,
    lease: Lease,
    targets: IndexMap<TargetName, Target>,
    next_load_ms: u64,
    last_number: u64,
    /// Whether the lease was held after the last event; it may have expired since.
    was_holder: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            lease_ms: 10_000,
            renew_interval_ms: 3_000,
            margin_ms: 1_000,
            order_deadline_ms: 30_000,
            check_interval_ms: 30_000,
            retry_ms: 1_000,
            load_interval_ms: 5_000,
        }
    }
}

impl State {
    /// Creates the state of a host that has just started.
    ///
    /// The token has to be random: it distinguishes this start of the host from every
    /// other.
    pub fn new(config: Config, zone: &ZoneName, host: &HostName, token: u64) -> Self {
        State {
            config,
            lease: Lease::new(zone, host, token),
            targets: IndexMap::new(),
            next_load_ms: 0,
            last_number: 0,
            was_holder: false,
        }
    }

    /// Returns true if a state is declared for any target.
    pub fn has_declared(&self) -> bool {
        !self.targets.is_empty()
    }

    /// Returns the term if this host holds a valid lease.
    pub fn term(&self, now_ms: u64) -> Option<FencingNumber> {
        self.lease.term(now_ms)
    }

    /// Returns true if this host neither holds the lease nor waits for a write of its
    /// row.
    ///
    /// If the process ends before then, the row may stay unreleased, and the next holder
    /// has to wait until the lease and the orders that may be open under it have expired.
    pub fn is_lease_settled(&self) -> bool {
        self.lease.is_settled()
    }
}

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    update_term(state, now_ms, effects);
    apply(state, now_ms, event, effects);
    update_term(state, now_ms, effects);
    if state.lease.may_send_order(now_ms) {
        read_due_targets(state, now_ms, effects);
    }
}

/// Begins or ends a term if the lease was acquired or lost, also by expiry alone.
fn update_term(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.lease.expire(now_ms);
    let is_holder = state.lease.term(now_ms).is_some();
    match (state.was_holder, is_holder) {
        (false, true) => begin_term(state, now_ms),
        (true, false) => end_term(state, effects),
        _ => {}
    }
    state.was_holder = is_holder;
}

fn apply(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Candidate { is_candidate } => state.lease.is_candidate = is_candidate,
        Event::Declared { targets } => set_declared(state, targets, effects),
        Event::LeaseRead { row } => {
            state.lease.handle_read(&state.config, now_ms, row, effects);
        }
        Event::LeaseWritten { write, outcome } => {
            state
                .lease
                .handle_write(&state.config, now_ms, write, outcome);
        }
        Event::TargetRead {
            target,
            read,
            state: actual,
        } => {
            handle_target_read(state, now_ms, &target, read, actual, effects);
        }
        Event::Drained { target } => {
            if let Some(target) = state.targets.get_mut(&target) {
                target.set_drained(now_ms);
            }
        }
        Event::OrderReply {
            target,
            order_id,
            outcome,
        } => {
            handle_order_reply(state, now_ms, &target, order_id, outcome);
        }
        Event::Tick => {
            let has_open_order = |target: &Target| target.has_open_order(now_ms);
            let has_open_orders = state.targets.values().any(has_open_order);
            state
                .lease
                .tick(&state.config, now_ms, has_open_orders, effects);
        }
    }
}

fn set_declared(
    state: &mut State,
    declared: IndexMap<TargetName, DeclaredState>,
    effects: &mut Vec<Effect>,
) {
    for (name, target) in &mut state.targets {
        if !declared.contains_key(name) {
            target.resume_admissions(effects);
        }
    }
    state.targets.retain(|name, _| declared.contains_key(name));
    for (name, declared) in declared {
        match state.targets.get_mut(&name) {
            Some(target) => target.set_declared(declared),
            None => {
                let target = Target::new(name.clone(), declared);
                state.targets.insert(name, target);
            }
        }
    }
}

/// Begins a term. The time of the previous holder's last load is unknown, so the first
/// load waits for a whole interval.
fn begin_term(state: &mut State, now_ms: u64) {
    state.next_load_ms = now_ms + state.config.load_interval_ms;
    state.targets.values_mut().for_each(Target::reset);
}

fn end_term(state: &mut State, effects: &mut Vec<Effect>) {
    for target in state.targets.values_mut() {
        target.resume_admissions(effects);
        target.reset();
    }
}

fn handle_target_read(
    state: &mut State,
    now_ms: u64,
    name: &TargetName,
    read: u64,
    actual: Option<TargetState>,
    effects: &mut Vec<Effect>,
) {
    let may_send_order = state.lease.may_send_order(now_ms);
    let Some(term) = state.lease.term(now_ms).filter(|_| may_send_order) else {
        return;
    };
    let Some(target) = state.targets.get_mut(name) else {
        return;
    };
    if !target.is_reading(read) {
        return;
    }
    let Some(actual) = actual else {
        target.back_off(&state.config, now_ms);
        return;
    };
    if actual.fencing_number > term {
        state.lease.step_down(now_ms);
        return;
    }
    let Some(order) = target.next_order(&actual) else {
        target.resume_admissions(effects);
        target.wait_until(now_ms + state.config.check_interval_ms);
        return;
    };
    if order.is_load() && now_ms < state.next_load_ms {
        target.wait_until(state.next_load_ms);
        return;
    }
    if target.needs_drain(&order, &actual) {
        target.stop_admissions(effects);
        return;
    }
    if order.is_load() {
        state.next_load_ms = now_ms + state.config.load_interval_ms;
    }
    state.last_number += 1;
    let order_id = state.last_number;
    target.send_order(
        &state.config,
        &state.lease,
        now_ms,
        order_id,
        order,
        effects,
    );
}

fn handle_order_reply(
    state: &mut State,
    now_ms: u64,
    name: &TargetName,
    order_id: u64,
    outcome: OrderOutcome,
) {
    let Some(target) = state.targets.get_mut(name) else {
        return;
    };
    if !target.awaits_reply_to(order_id) {
        return;
    }
    match outcome {
        OrderOutcome::Done => target.complete_order(now_ms),
        OrderOutcome::Refused => target.back_off(&state.config, now_ms),
        OrderOutcome::Fenced => state.lease.step_down(now_ms),
        // The order may still take effect, so no other order is sent to the target before
        // its deadline.
        OrderOutcome::Unknown => {}
    }
}

fn read_due_targets(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    for target in state.targets.values_mut() {
        if target.is_due(now_ms) {
            state.last_number += 1;
            target.start_read(&state.config, now_ms, state.last_number, effects);
        }
    }
}
