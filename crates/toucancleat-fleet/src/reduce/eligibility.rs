//! Which targets may get a request.
//!
//! First attempts, retries, migrations and probes all ask here, so that no way leads around a
//! rule.

use toucancleat_core::prelude::*;

use crate::continuation::Continuation;
use crate::peers::Message;
use crate::request::Request;
use crate::state::State;
use crate::target::TargetEntry;

/// Returns true if a request may be sent to a target, now or later.
pub(super) fn permits(state: &State, request: &Request, entry: &TargetEntry) -> bool {
    permits_continuation(state, request, &request.continuation, entry)
}

/// Returns true if a request whose stream may continue at some versions only may be sent to a
/// target, now or later. A migrating run names the version that runs it.
pub(super) fn permits_continuation(
    state: &State,
    request: &Request,
    continuation: &Continuation,
    entry: &TargetEntry,
) -> bool {
    continuation.permits(entry)
        && permits_zone(state, request, &entry.zone)
        && !state.evacuations.contains(&entry.zone)
}

/// Returns true if a request may leave this host for targets or hosts of a zone.
pub(super) fn permits_zone(state: &State, request: &Request, zone: &ZoneName) -> bool {
    !request.has_confining_regions
        || request.confinement().permit(&state.config.regions, zone)
}

/// Returns true if a request may be handed off to the host that has sent a message.
///
/// A host in the caller's own region would be permitted, too, but only the caller knows which
/// that is: it may have connected from elsewhere. Hosts of the last release take no notice of
/// home regions.
pub(super) fn permits_host(state: &State, request: &Request, message: &Message) -> bool {
    permits_zone(state, request, &message.zone)
        && (message.heeds_confinement || !is_confined(state, request))
}

/// Returns true if a request may not be sent to some of the deployment's zones.
pub(super) fn is_confined(state: &State, request: &Request) -> bool {
    request.has_confining_regions
        && request.confinement().is_confined(&state.config.regions)
}

/// Returns the zone whose hosts a request is handed off to first: the own one, or one of the home
/// regions if the own one is foreign. `hash` chooses among them.
pub(super) fn zone_at_home<'a>(
    state: &'a State,
    request: &Request,
    hash: u64,
) -> &'a ZoneName {
    let own_zone = &state.identity.zone;
    if permits_zone(state, request, own_zone) {
        return own_zone;
    }
    let zones = state.config.regions.keys();
    let at_home: Vec<&ZoneName> = zones
        .filter(|zone| permits_zone(state, request, zone))
        .collect();
    let index = hash % at_home.len().max(1) as u64;
    at_home.get(index as usize).copied().unwrap_or(own_zone)
}

/// Returns the usable targets of a request's pool to which the request may be sent.
pub(super) fn permitted_targets<'a>(
    state: &'a State,
    request: &'a Request,
) -> Vec<(&'a TargetName, &'a TargetEntry)> {
    let mut targets = state.usable_targets(&request.pool);
    targets.retain(|(_, entry)| permits(state, request, entry));
    targets
}

/// Returns true if a target takes a request of this host now.
pub(super) fn takes_request(state: &State, now_ms: u64, target: &TargetName) -> bool {
    state.target_notices.takes_request(now_ms, target)
        && !state.suspected_targets.contains(now_ms, target)
        && state.cold_targets.takes_request(now_ms, target)
}

/// Returns true if a target takes any number of requests now.
pub(super) fn takes_any_rate(state: &State, now_ms: u64, target: &TargetName) -> bool {
    state.target_notices.takes_any_rate(now_ms, target)
        && !state.suspected_targets.contains(now_ms, target)
        && state.cold_targets.takes_any_rate(now_ms, target)
}

/// Returns when a caller whose request a target doesn't take now should retry, or `None` if the
/// target takes no more requests.
pub(super) fn retry_at_ms(
    state: &State,
    now_ms: u64,
    target: &TargetName,
) -> Option<u64> {
    let retry_at_ms = state.target_notices.retry_at_ms(now_ms, target)?;
    let suspected_until_ms = state.suspected_targets.until_ms(target);
    let retry_at_ms = retry_at_ms.max(suspected_until_ms.unwrap_or_default());
    Some(retry_at_ms.max(state.cold_targets.retry_at_ms(now_ms, target)))
}

/// Counts a request to a target.
pub(super) fn take_permit(state: &mut State, now_ms: u64, target: &TargetName) {
    state.target_notices.take_permit(now_ms, target);
    state.brittle_targets.take_permit(now_ms, target);
    state.cold_targets.take_permit(now_ms, target);
}
