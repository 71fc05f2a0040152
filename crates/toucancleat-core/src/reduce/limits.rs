//! Effects of the limits of organisations.

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

/// Applies an event of the limits.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: limits::Event,
    effects: &mut Vec<Effect>,
) {
    let mut wanted = Vec::new();
    limits::reduce(&mut state.limits, now_ms, event, &mut wanted);
    for effect in wanted {
        carry_out(state, now_ms, effect, effects);
    }
}

/// Asks for the permission of a request.
pub(super) fn ask(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    organisation: OrganisationName,
    effects: &mut Vec<Effect>,
) {
    state.asking.insert(request, organisation.clone());
    let event = limits::Event::Arrived {
        organisation,
        request,
    };
    apply(state, now_ms, event, effects);
}

/// Tells the limits which hosts of the zone live, stop, or may run out of reach.
pub(super) fn tell_hosts(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let live: Vec<_> = state.membership.live_hosts().cloned().collect();
    let leaving = state
        .membership
        .entries()
        .filter(|entry| entry.status == Status::Left)
        .map(|entry| entry.host.name.clone())
        .collect();
    let event = limits::Event::Hosts {
        view: state.membership.digest(),
        live,
        leaving,
        missing: missing(state),
    };
    apply(state, now_ms, event, effects);
}

/// Tells the limits what the settings grant.
pub(super) fn take_settings(
    state: &mut State,
    now_ms: u64,
    tree: &Tree,
    effects: &mut Vec<Effect>,
) {
    let limits = Arc::new(fleet_limits(tree));
    apply(state, now_ms, limits::Event::Settings { limits }, effects);
}

fn carry_out(
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
        limits::Effect::Admitted { request } => {
            admitted(state, now_ms, request, effects);
        }
        limits::Effect::Refused {
            request,
            retry_after_ms,
        } => {
            state.asking.swap_remove(&request);
            let detail = "the organisation has reached its limit";
            let refusal = Refusal::not_run(Problem::OverLimit, detail)
                .with_retry_after_ms(retry_after_ms);
            let event = RequestEvent::NotPermitted { request, refusal };
            requests::apply(state, now_ms, event, effects);
        }
    }
}

fn admitted(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    effects: &mut Vec<Effect>,
) {
    let organisation = state.asking.swap_remove(&request);
    if state.requests.arrival(request).is_some() {
        let event = RequestEvent::Permitted { request };
        requests::apply(state, now_ms, event, effects);
        return;
    }
    // The caller left meanwhile.
    if let Some(organisation) = organisation {
        let event = limits::Event::Finished { organisation };
        apply(state, now_ms, event, effects);
    }
}

/// Counts the listed hosts of the zone that this host doesn't hear; `None` while the list
/// was never read.
fn missing(state: &State) -> Option<usize> {
    let listed = state.listed.as_ref()?;
    let unheard = |name: &&HostName| {
        let status = state.membership.status_of(name);
        !matches!(status, Some(Status::Alive | Status::Left))
    };
    Some(listed.iter().filter(unheard).count())
}

fn delegate_of(state: &State, zone: &ZoneName) -> Option<HostName> {
    let mut zones = state.membership.other_zones();
    let (_, other) = zones.find(|(name, _)| *name == zone)?;
    let delegate = other.summary()?.delegates.first()?;
    Some(delegate.name.clone())
}

/// Takes each organisation's limit from the tree; of several live events the largest.
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
