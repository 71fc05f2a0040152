//! Places requests in the order of their claims while engines are full.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use super::placement::{ZoneScope, is_brittle_and_full, load_at, memory_share};
use super::requests::refuse;
use super::{eligibility, evacuation};
use crate::claim::{self, Claim, Rank, UrgentKind};
use crate::configuration::EngineCapabilities;
use crate::contention::{
    Contention, Contest, Decision, DemandReport, RoomCause, Supply, decide,
};
use crate::continuation::Continuation;
use crate::event::{Effect, LogEvent};
use crate::organisation_share::OrganisationTokens;
use crate::request::{Reason, Request, RequestNumber};
use crate::service_rate::ServiceSums;
use crate::state::{State, random_unit};

/// Returns the claim of a request.
pub(super) fn claim(state: &State, now_ms: u64, request: &Request) -> Claim {
    let route = request.route();
    let incoming = &request.incoming;
    let organisation = request.organisation.as_ref();
    let service = state.contention.service(now_ms, &request.pool);
    Claim {
        arrived_ms: request.arrived_ms,
        due_ms: claim::due_ms(request.arrived_ms, incoming.time_limit_ms, route),
        deadline_ms: request.deadline_ms,
        objective_ms: route.latency_objective_ms,
        first_event_ms: service.prefill_time_ms(incoming.prompt_tokens).unwrap_or(0),
        priority: request.priority,
        tokens: request.memory_tokens(),
        prompt_tokens: incoming.prompt_tokens,
        is_continued: request.continuation != Continuation::AnyVersion,
        is_over_share: organisation.is_some_and(|organisation| {
            state.contention.is_over_share(&request.pool, organisation)
        }),
    }
}

fn rank(state: &State, now_ms: u64, request: &Request, claim: &Claim) -> Rank {
    claim.rank(now_ms, urgent_kind(state, request))
}

fn urgent_kind(state: &State, request: &Request) -> Option<UrgentKind> {
    state
        .contention
        .urgent_kind(&request.pool, request.priority)
}

/// Returns the order in which waiting requests ask for room.
pub(super) fn order(
    state: &State,
    now_ms: u64,
    request_number: RequestNumber,
) -> Option<(Rank, u64, RequestNumber)> {
    let request = state.requests.get(&request_number)?;
    let claim = claim(state, now_ms, request);
    Some((
        rank(state, now_ms, request, &claim),
        claim.due_ms,
        request_number,
    ))
}

/// Decides on a request for an engine.
pub(super) fn decide_on(
    state: &State,
    now_ms: u64,
    request_number: RequestNumber,
    request: &Request,
    engine: &EngineCapabilities,
) -> Decision {
    let claim = claim(state, now_ms, request);
    let contest = contest(state, now_ms, request_number, request, &claim, engine);
    let fits_elsewhere = || {
        let scope = ZoneScope::OtherZones;
        supply(
            state,
            now_ms,
            request,
            &claim,
            &contest.service,
            engine,
            scope,
        )
        .fits
    };
    decide(now_ms, &claim, &contest, fits_elsewhere)
}

fn contest(
    state: &State,
    now_ms: u64,
    request_number: RequestNumber,
    request: &Request,
    claim: &Claim,
    engine: &EngineCapabilities,
) -> Contest {
    let service = state.contention.service(now_ms, &request.pool);
    let scope = ZoneScope::OwnZone;
    Contest {
        supply: supply(state, now_ms, request, claim, &service, engine, scope),
        ahead_tokens: ahead_tokens(state, now_ms, request_number, request, claim),
        service,
    }
}

/// Returns the tokens of the requests of this zone that come before a request. One that has just
/// arrived comes after those of its rank that wait.
fn ahead_tokens(
    state: &State,
    now_ms: u64,
    request_number: RequestNumber,
    request: &Request,
    claim: &Claim,
) -> u64 {
    let rank = rank(state, now_ms, request, claim);
    let is_new = request.arrived_ms == now_ms;
    let own_order = order(state, now_ms, request_number);
    let own = state
        .queue
        .iter()
        .filter(|waiting| **waiting != request_number)
        .filter(|waiting| {
            let waiting_order = order(state, now_ms, **waiting);
            let is_same_rank = waiting_order.is_some_and(|(other, ..)| other == rank);
            waiting_order < own_order || (is_new && is_same_rank)
        })
        .filter_map(|waiting| state.requests.get(waiting))
        .filter(|waiting| waiting.pool == request.pool)
        .map(Request::memory_tokens);
    let zone = evacuation::preferred_zone(state, request);
    let peers = |up_to| state.contention.waiting_tokens(zone, &request.pool, up_to);
    let peers_tokens = match (is_new, rank.before()) {
        (true, _) => peers(rank),
        (false, Some(before)) => peers(before),
        (false, None) => 0,
    };
    own.sum::<u64>().saturating_add(peers_tokens)
}

/// Returns the room for a request at the engines of the own zone, or at those of other zones in
/// which nobody waits.
///
/// If no engine of the own zone works and takes requests of this host, the request counts as
/// fitting there, since waiting for room would be pointless.
fn supply(
    state: &State,
    now_ms: u64,
    request: &Request,
    claim: &Claim,
    service: &ServiceSums,
    engine: &EngineCapabilities,
    scope: ZoneScope,
) -> Supply {
    let memory_limit =
        (memory_share(request, scope) * engine.memory_tokens as f64) as u64;
    let prefill_limit = if claim.is_continued {
        u64::MAX
    } else {
        let limit_ms = claim.prefill_limit_ms(now_ms, urgent_kind(state, request));
        service.prefill_in(limit_ms).unwrap_or(u64::MAX)
    };
    let own_zone = evacuation::preferred_zone(state, request);
    let mut supply = Supply::default();
    let targets = state.directory.accepting(&request.pool);
    for (target, entry) in targets {
        let is_own_zone = entry.zone == *own_zone;
        if is_own_zone != (scope == ZoneScope::OwnZone)
            || !eligibility::permits(state, request, entry)
            || state.health.is_ejected(now_ms, target)
            || !eligibility::takes_request(state, now_ms, target)
        {
            continue;
        }
        supply.targets += 1;
        let load = load_at(state, target);
        supply.used_tokens = supply.used_tokens.saturating_add(load.tokens);
        let free_memory = memory_limit.saturating_sub(load.tokens);
        let free_prefill = prefill_limit.saturating_sub(load.prefill_tokens);
        let is_idle = load.prefill_tokens == 0;
        if free_memory < claim.tokens
            || (free_prefill < claim.prompt_tokens && !is_idle)
            || is_brittle_and_full(state, now_ms, request, (target, entry))
        {
            continue;
        }
        let is_contended = !is_own_zone
            && state.contention.waiting_tokens(
                &entry.zone,
                &request.pool,
                rank(state, now_ms, request, claim),
            ) > 0;
        if !is_contended {
            supply.fits = true;
            supply.free_tokens = supply
                .free_tokens
                .saturating_add(free_memory.min(free_prefill.max(claim.tokens)));
        }
    }
    supply.fits |= supply.targets == 0 && scope == ZoneScope::OwnZone;
    supply
}

/// Refuses a request for which there is no room, and tells its caller when to return.
pub(super) fn refuse_for_room(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    engine: &EngineCapabilities,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let claim = claim(state, now_ms, request);
    let contest = contest(state, now_ms, request_number, request, &claim, engine);
    let pool = request.pool.clone();
    let hosts = state.peers.zone_size(&state.identity.zone) as u64;
    effects.push(Effect::Log(LogEvent::RoomRefused {
        attempt_id: request.incoming.attempt_id.clone(),
        pool: pool.clone(),
        organisation: request.organisation.clone(),
        cause: RoomCause::of(&claim, &contest),
        rank: rank(state, now_ms, request, &claim).number(),
        waited_ms: now_ms.saturating_sub(request.arrived_ms),
        ahead_tokens: contest.ahead_tokens,
        free_tokens: contest.supply.free_tokens,
    }));
    let random = random_unit(&mut state.rng_state);
    let delay_ms = state
        .contention
        .return_delay_ms(now_ms, &pool, &claim, &contest, hosts, random);
    state.contention.has_unsent_demand = true;
    let reason = Reason::TargetsFull;
    refuse(state, request_number, reason, Some(delay_ms), effects);
}

/// Updates what is known of the demand of all hosts.
pub(super) fn tick(state: &mut State, now_ms: u64) {
    if !state.config.orders_contention {
        return;
    }
    state.contention.expire(now_ms);
    if let Some(configuration) = &state.configuration {
        state.contention.adopt_objectives(configuration);
    }
    if state.contention.are_shares_due(now_ms) {
        let organisations = own_organisations(state);
        state.contention.compute_shares(now_ms, &organisations);
    }
}

/// Returns what this host reports to its peers.
pub(super) fn own_report(state: &State, now_ms: u64) -> DemandReport {
    if !state.config.orders_contention {
        return DemandReport::default();
    }
    let mut waiting_tokens = BTreeMap::new();
    for waiting in &state.queue {
        let (Some(request), Some((rank, ..))) =
            (state.requests.get(waiting), order(state, now_ms, *waiting))
        else {
            continue;
        };
        let tokens: &mut u64 = waiting_tokens
            .entry((request.pool.clone(), rank))
            .or_default();
        *tokens += request.memory_tokens();
    }
    state
        .contention
        .own_report(now_ms, waiting_tokens, own_organisations(state))
}

/// Returns the tokens of this host's requests for engines by pool and organisation.
fn own_organisations(
    state: &State,
) -> IndexMap<(PoolName, OrganisationName), OrganisationTokens> {
    let mut organisations = IndexMap::new();
    for request in state.requests.values() {
        let engine = request.configuration.engine(&request.pool);
        let (Some(organisation), Some(_)) = (&request.organisation, engine) else {
            continue;
        };
        let key = (request.pool.clone(), organisation.clone());
        let tokens: &mut OrganisationTokens = organisations.entry(key).or_default();
        match &request.placement {
            Some((_, load)) => tokens.used += load.tokens,
            None => tokens.waiting += request.memory_tokens(),
        }
    }
    organisations
}

/// Records the first event of a run, which tells how fast its target prefills.
pub(super) fn record_first_event(
    contention: &mut Contention,
    now_ms: u64,
    request: &Request,
) {
    let took_ms = now_ms.saturating_sub(request.dispatched_ms);
    // Those that wait for this target to prefill need to know that it has.
    contention.has_unsent_demand |= contention.is_contended(&request.pool);
    contention.observations(&request.pool).record_first_event(
        now_ms,
        request.prefill_at_dispatch,
        took_ms,
    );
}

/// Records the end of a run, which tells how long it has kept its room.
pub(super) fn record_end(state: &mut State, now_ms: u64, request_number: RequestNumber) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let is_engine = request.configuration.engine(&request.pool).is_some();
    let Some((_, load)) = request.placement.as_ref().filter(|_| is_engine) else {
        return;
    };
    let tokens = load.tokens;
    let took_ms = now_ms.saturating_sub(request.dispatched_ms);
    let pool = request.pool.clone();
    state
        .contention
        .observations(&pool)
        .record_end(now_ms, tokens, took_ms);
}
