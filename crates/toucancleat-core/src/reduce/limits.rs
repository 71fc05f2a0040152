//! Connects the limits of organisations to the other modules.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{peers, requests};
use crate::effect::Effect;
use crate::limits::{self, FleetLimits, Share};
use crate::membership::Status;
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::Event as RequestEvent;
use crate::settings::{Effective, Tree, Values};
use crate::state::State;

/// Applies an event of the limits and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: limits::Event,
    effects: &mut Vec<Effect>,
) {
    let mut pending = Vec::new();
    limits::reduce(&mut state.limits, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

/// Requests a permit of the organisation's limit for a request.
pub(super) fn request_permit(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    organisation: OrganisationName,
    effects: &mut Vec<Effect>,
) {
    state.awaiting_permit.insert(request, organisation.clone());
    let event = limits::Event::AcquirePermit {
        organisation,
        request,
    };
    apply(state, now_ms, event, effects);
}

/// Notifies the limits of the hosts of the zone that are alive, leaving or missing.
pub(super) fn notify_hosts_changed(
    state: &mut State,
    now_ms: u64,
    effects: &mut Vec<Effect>,
) {
    let live: Vec<_> = state.membership.live_hosts().cloned().collect();
    let leaving = state
        .membership
        .entries()
        .filter(|entry| entry.status == Status::Left)
        .map(|entry| entry.host.name.clone())
        .collect();
    let event = limits::Event::HostsChanged {
        view: state.membership.digest(),
        live,
        leaving,
        missing: unreachable_hosts_max(state),
    };
    apply(state, now_ms, event, effects);
}

/// Notifies the limits of the organisations' limits in the settings.
pub(super) fn apply_settings(
    state: &mut State,
    now_ms: u64,
    tree: &Tree,
    effects: &mut Vec<Effect>,
) {
    let limits = Arc::new(fleet_limits(tree));
    apply(
        state,
        now_ms,
        limits::Event::SettingsChanged { limits },
        effects,
    );
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: limits::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        limits::Effect::Send { to, message } => {
            peers::send(state, now_ms, &to, message, effects);
        }
        limits::Effect::SendZone { zone, message } => {
            if let Some(to) = delegate_of(state, &zone) {
                peers::send(state, now_ms, &to, message, effects);
            }
        }
        limits::Effect::PermitGranted { request } => {
            grant_permit(state, now_ms, request, effects);
        }
        limits::Effect::PermitRefused {
            request,
            retry_after_ms,
        } => {
            state.awaiting_permit.swap_remove(&request);
            let detail = "the organisation has reached its limit";
            let refusal = Refusal::not_run(Problem::OverLimit, detail)
                .with_retry_after_ms(retry_after_ms);
            let event = RequestEvent::PermitRefused { request, refusal };
            requests::apply(state, now_ms, event, effects);
        }
    }
}

fn grant_permit(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    effects: &mut Vec<Effect>,
) {
    let organisation = state.awaiting_permit.swap_remove(&request);
    if state.requests.arrival(request).is_some() {
        let event = RequestEvent::PermitGranted { request };
        requests::apply(state, now_ms, event, effects);
        return;
    }
    // The caller disconnected meanwhile, so the permit is released.
    if let Some(organisation) = organisation {
        let event = limits::Event::ReleasePermit { organisation };
        apply(state, now_ms, event, effects);
    }
}

/// Counts the hosts of the zone that are on the host list but neither alive nor known to have
/// left; `None` until the list was read.
fn unreachable_hosts_max(state: &State) -> Option<usize> {
    let listed = state.listed_hosts.as_ref()?;
    let is_missing = |name: &&HostName| {
        let status = state.membership.status(name);
        !matches!(status, Some(Status::Alive | Status::Left))
    };
    Some(listed.iter().filter(is_missing).count())
}

fn delegate_of(state: &State, zone: &ZoneName) -> Option<HostName> {
    let mut zones = state.membership.other_zones();
    let (_, other) = zones.find(|(name, _)| *name == zone)?;
    let delegate = other.summary()?.delegates.first()?;
    Some(delegate.name.clone())
}

/// Returns each organisation's limit in the settings tree, the largest one if it takes part in
/// several live events.
fn fleet_limits(tree: &Tree) -> FleetLimits {
    let mut limits: IndexMap<OrganisationName, Share> = IndexMap::new();
    for event in tree.live_events.values() {
        for (name, organisation) in &event.organisations {
            let mut values: Values = tree.fleet.values.clone();
            values.overlay(&event.level.values);
            values.overlay(&organisation.level.values);
            let values = Effective::from(&values);
            let share =
                Share::new(values.requests_per_second, values.concurrent_requests);
            let limit = limits.entry(name.clone()).or_insert(Share::NONE);
            *limit = limit.max(share);
        }
    }
    FleetLimits {
        zones: tree.zones.clone(),
        limits,
    }
}
