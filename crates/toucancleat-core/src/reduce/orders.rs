//! Connects the orders to engines, and the holds that accompany them, to the other modules.

use indexmap::IndexMap;

use super::{accounts, membership, peers};
use crate::accounts::Event as AccountEvent;
use crate::effect::Effect;
use crate::holds;
use crate::homes::{HomeKey, ZoneRole};
use crate::orders::{self, DeclaredState};
use crate::prelude::*;
use crate::settings::{SettingsInForce, TargetClass};
use crate::state::State;
use crate::targets::Admission;
use crate::timeline::{Entry, RecordKind};

/// Applies an event of the orders and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: orders::Event,
    effects: &mut Vec<Effect>,
) {
    record_order_end(state, now_ms, &event);
    let mut pending = Vec::new();
    orders::reduce(&mut state.orders, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

/// Notifies the orders of whether this host is to hold the zone's lease.
pub(super) fn notify_lease_candidate(
    state: &mut State,
    now_ms: u64,
    effects: &mut Vec<Effect>,
) {
    let key = HomeKey::Role(ZoneRole::Orders);
    let is_home = state.homes.is_home(&key, &state.identity.host);
    // N.B. a zone without declared targets needs no lease, which saves requests to the
    // platform's table.
    let is_candidate = is_home && state.orders.has_declared() && !state.is_draining;
    let event = orders::Event::Candidate { is_candidate };
    apply(state, now_ms, event, effects);
}

/// Notifies the orders of the state that the settings declare for the engines of the zone.
pub(super) fn apply_settings(
    state: &mut State,
    now_ms: u64,
    settings: &SettingsInForce,
    effects: &mut Vec<Effect>,
) {
    let mut targets = IndexMap::new();
    for (_, class, name, target) in settings.targets() {
        let declared = DeclaredState {
            models: target.models.clone(),
            adapters: target.adapters.clone(),
            role: target.role.clone(),
        };
        let is_declared = declared != DeclaredState::default();
        let in_zone = target.zone == state.identity.zone;
        if class == TargetClass::ModelEngine && in_zone && is_declared {
            targets.insert(name.clone(), declared);
        }
    }
    let event = orders::Event::Declared { targets };
    apply(state, now_ms, event, effects);
    notify_lease_candidate(state, now_ms, effects);
}

/// Notifies the orders that a held target has drained, if no request of this host is
/// outstanding there either.
pub(super) fn notify_idle(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    effects: &mut Vec<Effect>,
) {
    let outstanding = state.outstanding.get(target).copied().unwrap_or(0);
    if outstanding == 0 && state.holds.has_propagated(now_ms, target) {
        let target = target.clone();
        apply(state, now_ms, orders::Event::Drained { target }, effects);
    }
}

/// Applies an event of the holds and executes its effects.
pub(super) fn apply_hold(
    state: &mut State,
    now_ms: u64,
    event: holds::Event,
    effects: &mut Vec<Effect>,
) {
    let mut pending = Vec::new();
    holds::reduce(&mut state.holds, now_ms, event, &mut pending);
    for effect in pending {
        execute_hold(state, now_ms, effect, effects);
    }
}

fn execute_hold(
    state: &mut State,
    now_ms: u64,
    effect: holds::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        holds::Effect::Broadcast { message } => {
            for to in membership::zone_peers(state) {
                peers::send(state, now_ms, &to, message.clone(), effects);
            }
        }
        holds::Effect::Held { target } => {
            let event = AccountEvent::TargetLeaving { target };
            accounts::apply(state, now_ms, event, effects);
        }
        holds::Effect::Released { target } => {
            // A target that was made unavailable meanwhile becomes available again by its
            // trials instead.
            if state.targets.peek(now_ms, &target) == Admission::Yes {
                let event = AccountEvent::TargetAvailable { target };
                accounts::apply(state, now_ms, event, effects);
            }
        }
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: orders::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        orders::Effect::ReadLease { row } => effects.push(Effect::LeaseRead { row }),
        orders::Effect::WriteLease {
            write,
            row,
            version,
            value,
        } => effects.push(Effect::LeaseWrite {
            write,
            row,
            version,
            value,
        }),
        orders::Effect::ReadTarget { target, read } => {
            if let Some(address) = address_of(state, &target) {
                effects.push(Effect::TargetRead {
                    target,
                    read,
                    address,
                });
            }
        }
        orders::Effect::StopAdmissions { target } => {
            apply_hold(state, now_ms, holds::Event::Hold { target }, effects);
        }
        orders::Effect::ResumeAdmissions { target } => {
            apply_hold(state, now_ms, holds::Event::Release { target }, effects);
        }
        orders::Effect::SendOrder {
            target,
            order_id,
            order,
            fencing_number,
            valid_until_ms,
            deadline_ms,
        } => {
            let Some(address) = address_of(state, &target) else {
                return;
            };
            let entry = Entry::new(RecordKind::OrderSent)
                .target(&target)
                .field("fencing_number", fencing_number.0)
                .field("order", format!("{order:?}").as_str());
            state.timeline.record(now_ms, entry);
            effects.push(Effect::OrderSend {
                target,
                address,
                order_id,
                order,
                fencing_number,
                valid_until_ms,
                deadline_ms,
            });
        }
    }
}

fn address_of(state: &State, target: &TargetName) -> Option<String> {
    let settings = state.settings.as_ref()?;
    let (_, _, found) = settings.target(target)?;
    Some(found.address.clone())
}

fn record_order_end(state: &mut State, now_ms: u64, event: &orders::Event) {
    if let orders::Event::OrderReply {
        target, outcome, ..
    } = event
    {
        let entry = Entry::new(RecordKind::OrderEnded)
            .target(target)
            .field("outcome", format!("{outcome:?}").as_str());
        state.timeline.record(now_ms, entry);
    }
}
