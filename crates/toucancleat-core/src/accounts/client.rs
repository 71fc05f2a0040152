//! The requesting side of admission: the requests and generations of this host.

use indexmap::IndexMap;

use crate::accounts::event::{Effect, LoadReport, RefusalReason, Request};
use crate::accounts::known_targets::KnownTargets;
use crate::accounts::message::{
    AccountSummary, Message, QueueNotice, ReservationGrant, ReservationRefusal,
};
use crate::accounts::pending::{
    HomeReply, PendingRequest, SentReservationRequest, reservation_request,
};
use crate::accounts::running::{Run, dispatch, send_progress};
use crate::accounts::state::{Outbox, State};
use crate::accounts::widen::advance;
use crate::prelude::*;
use crate::refusal::RETRY_AFTER_NO_TARGET_MS;
use crate::rng::Rng;
use crate::routing::{RetryBudget, RoutingInputs, affinity_key, rank_candidates};
use crate::settings::RoutingPolicy;

/// The known state of the targets, the pending requests and the running generations.
#[derive(Clone, Debug)]
pub(super) struct Client {
    pub(super) known_targets: KnownTargets,
    pending: IndexMap<RequestId, PendingRequest>,
    pub(super) running: IndexMap<GenerationId, Run>,
    round_robin_counters: IndexMap<PoolName, u64>,
    retry_budgets: IndexMap<PoolName, RetryBudget>,
    rng: Rng,
    progress_sent_ms: u64,
}

impl Client {
    pub(super) fn new(seed: u64) -> Self {
        Client {
            known_targets: KnownTargets::default(),
            pending: IndexMap::new(),
            running: IndexMap::new(),
            round_robin_counters: IndexMap::new(),
            retry_budgets: IndexMap::new(),
            rng: Rng::new(seed),
            progress_sent_ms: 0,
        }
    }

    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }
}

/// Selects candidate targets for a request, and requests the first reservation.
///
/// Under a policy without reservations the request is dispatched at once.
pub(super) fn handle_arrival(
    state: &mut State,
    now_ms: u64,
    request: Request,
    outbox: &mut Outbox,
) {
    let client = &mut state.client;
    let retry_budget = client
        .retry_budgets
        .entry(request.pool.clone())
        .or_default();
    if request.attempt == 0 {
        retry_budget.deposit(request.retry_budget_ratio);
    } else if !retry_budget.withdraw() {
        refuse(
            &request,
            RefusalReason::RetryBudget,
            RETRY_AFTER_NO_TARGET_MS,
            outbox,
        );
        return;
    }
    let mut untried = rank_targets(state, &request);
    if untried.is_empty() {
        refuse(
            &request,
            RefusalReason::NoTarget,
            RETRY_AFTER_NO_TARGET_MS,
            outbox,
        );
        return;
    }
    if !needs_reservation(request.limits.policy) {
        let target = untried.remove(0);
        dispatch(state, now_ms, &request, target, request.priority, outbox);
        return;
    }
    untried.reverse();
    let mut pending = PendingRequest {
        arrived_ms: now_ms,
        last_widened_ms: now_ms,
        untried,
        sent_requests: Vec::new(),
        request,
    };
    send_next_reservation_request(state, now_ms, &mut pending, outbox);
    state.client.pending.insert(pending.request.id, pending);
}

/// Requests a reservation at the next untried target; returns false if none is left.
pub(super) fn send_next_reservation_request(
    state: &State,
    now_ms: u64,
    pending: &mut PendingRequest,
    outbox: &mut Outbox,
) -> bool {
    let Some(target) = pending.untried.pop() else {
        return false;
    };
    send_reservation_request(state, &pending.request, &target, outbox);
    pending.last_widened_ms = now_ms;
    pending.sent_requests.push(SentReservationRequest {
        target,
        first_sent_ms: now_ms,
        last_sent_ms: now_ms,
        reply: HomeReply::Missing,
    });
    true
}

pub(super) fn send_reservation_request(
    state: &State,
    request: &Request,
    target: &TargetName,
    outbox: &mut Outbox,
) {
    if let Some(home) = state.zone.homes.get(target) {
        let reservation_request = reservation_request(request, target);
        outbox.send(home, Message::Reserve(reservation_request));
    }
}

/// Dispatches the request to the granted target, and withdraws it at all others.
pub(super) fn handle_grant(
    state: &mut State,
    now_ms: u64,
    from: HostName,
    granted: ReservationGrant,
    outbox: &mut Outbox,
) {
    let Some(pending) = state.client.pending.shift_remove(&granted.request) else {
        withdraw_unwanted(state, from, granted, outbox);
        return;
    };
    if pending.request.generation != granted.generation {
        // N.B. A grant for an earlier attempt must not start this one.
        state.client.pending.insert(granted.request, pending);
        withdraw_unwanted(state, from, granted, outbox);
        return;
    }
    withdraw_others(state, &pending, Some(&granted.target), outbox);
    let target = granted.target;
    dispatch(
        state,
        now_ms,
        &pending.request,
        target,
        granted.priority,
        outbox,
    );
}

/// Withdraws a grant that no pending request uses, unless the generation runs already.
fn withdraw_unwanted(
    state: &State,
    from: HostName,
    granted: ReservationGrant,
    outbox: &mut Outbox,
) {
    let run = state.client.running.get(&granted.generation);
    if run.is_some_and(|run| run.request.target == granted.target) {
        return;
    }
    let message = Message::Withdraw {
        request: granted.request,
        generation: granted.generation,
        target: granted.target,
    };
    outbox.send(&from, message);
}

/// Records that a request waits in a home's queue.
pub(super) fn handle_queue_notice(state: &mut State, now_ms: u64, queued: &QueueNotice) {
    if let Some(pending) = state.client.pending.get_mut(&queued.request) {
        // If it is the only requested target so far, the next tick requests another one
        // without waiting for the widening interval.
        if pending.sent_requests.len() == 1 {
            pending.last_widened_ms =
                now_ms.saturating_sub(state.config.widen_interval_ms);
        }
        pending.record_reply(&queued.target, HomeReply::Queued);
    }
}

/// Requests the next target, or refuses the request once every home has refused it.
pub(super) fn handle_refusal(
    state: &mut State,
    now_ms: u64,
    refused: &ReservationRefusal,
    outbox: &mut Outbox,
) {
    let Some(mut pending) = state.client.pending.shift_remove(&refused.request) else {
        return;
    };
    pending.record_reply(
        &refused.target,
        HomeReply::Refused {
            reason: refused.reason,
            retry_after_ms: refused.retry_after_ms,
        },
    );
    let was_sent = send_next_reservation_request(state, now_ms, &mut pending, outbox);
    match pending.refusal() {
        Some((reason, retry_after_ms)) if !was_sent => {
            refuse(&pending.request, reason, retry_after_ms, outbox)
        }
        _ => {
            state.client.pending.insert(refused.request, pending);
        }
    }
}

/// Withdraws a request whose caller has disconnected.
pub(super) fn handle_abandoned(
    state: &mut State,
    request: RequestId,
    outbox: &mut Outbox,
) {
    if let Some(pending) = state.client.pending.shift_remove(&request) {
        withdraw_others(state, &pending, None, outbox);
    }
}

/// Withdraws a request at every target that has not refused it, other than `kept`.
pub(super) fn withdraw_others(
    state: &State,
    pending: &PendingRequest,
    kept: Option<&TargetName>,
    outbox: &mut Outbox,
) {
    for sent in &pending.sent_requests {
        let refused = matches!(sent.reply, HomeReply::Refused { .. });
        if refused || Some(&sent.target) == kept {
            continue;
        }
        if let Some(home) = state.zone.homes.get(&sent.target) {
            let message = Message::Withdraw {
                request: pending.request.id,
                generation: pending.request.generation,
                target: sent.target.clone(),
            };
            outbox.send(home, message);
        }
    }
}

/// Sends pending reservations again to the new homes of the targets.
pub(super) fn handle_homes_changed(
    state: &mut State,
    now_ms: u64,
    old_homes: &IndexMap<TargetName, HostName>,
    outbox: &mut Outbox,
) {
    let has_moved = |zone: &IndexMap<TargetName, HostName>, target: &TargetName| {
        zone.get(target) != old_homes.get(target)
    };
    let mut pending = std::mem::take(&mut state.client.pending);
    for pending_request in pending.values_mut() {
        for sent in &mut pending_request.sent_requests {
            if has_moved(&state.zone.homes, &sent.target) {
                sent.first_sent_ms = now_ms;
                sent.last_sent_ms = now_ms;
                sent.reply = HomeReply::Missing;
                send_reservation_request(
                    state,
                    &pending_request.request,
                    &sent.target,
                    outbox,
                );
            }
        }
    }
    state.client.pending = pending;
}

/// Discards a lost home's replies, so that its reservations are requested again.
pub(super) fn handle_host_lost(
    state: &mut State,
    _now_ms: u64,
    host: &HostName,
    _outbox: &mut Outbox,
) {
    for pending in state.client.pending.values_mut() {
        for sent in &mut pending.sent_requests {
            if state.zone.homes.get(&sent.target) == Some(host) {
                sent.reply = HomeReply::Missing;
            }
        }
    }
}

/// Excludes a target from the choice for new requests.
pub(super) fn mark_target_unavailable(state: &mut State, target: &TargetName) {
    if let Some(known) = state.client.known_targets.get_mut(target) {
        known.is_unavailable = true;
    }
}

/// Includes a target in the choice for new requests again.
pub(super) fn mark_target_available(state: &mut State, target: &TargetName) {
    if let Some(known) = state.client.known_targets.get_mut(target) {
        known.is_unavailable = false;
    }
}

/// Records a load report of an engine.
pub(super) fn handle_load_report(
    state: &mut State,
    target: &TargetName,
    report: &LoadReport,
) {
    if let Some(known) = state.client.known_targets.get_mut(target) {
        known.record_report(report);
    }
}

/// Records the summaries of accounts that a home has sent.
pub(super) fn handle_account_summaries(state: &mut State, entries: Vec<AccountSummary>) {
    for summary in entries {
        if let Some(known) = state.client.known_targets.get_mut(&summary.target) {
            known.record_summary(&summary);
        }
    }
}

/// Ignores a change of a target's cache.
pub(super) fn handle_cache_changed(
    _state: &mut State,
    _target: &TargetName,
    _stored: &[u64],
    _evicted: &[u64],
) {
}

/// Advances the pending requests, and sends progress to the homes when it is due.
pub(super) fn handle_tick(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    let pending = std::mem::take(&mut state.client.pending);
    for (request, mut pending_request) in pending {
        if advance(state, now_ms, &mut pending_request, outbox) {
            state.client.pending.insert(request, pending_request);
        }
    }
    if now_ms >= state.client.progress_sent_ms + state.config.progress_interval_ms {
        state.client.progress_sent_ms = now_ms;
        send_progress(state, now_ms, outbox);
    }
}

pub(super) fn refuse(
    request: &Request,
    reason: RefusalReason,
    retry_after_ms: u64,
    outbox: &mut Outbox,
) {
    outbox.effects.push(Effect::Refuse {
        request: request.id,
        reason,
        retry_after_ms,
    });
}

fn needs_reservation(policy: RoutingPolicy) -> bool {
    matches!(
        policy,
        RoutingPolicy::HomeAccounts | RoutingPolicy::ReserveMaximum
    )
}

fn rank_targets(state: &mut State, request: &Request) -> Vec<TargetName> {
    let client = &mut state.client;
    let available_targets = client.known_targets.available_targets(request);
    let inputs = RoutingInputs {
        policy: request.limits.policy,
        affinity_key: affinity_key(&request.prefix_hashes),
        round_robin_counter: client
            .round_robin_counters
            .entry(request.pool.clone())
            .or_default(),
        rng: &mut client.rng,
        candidates_max: state.config.candidates_max,
    };
    rank_candidates(&available_targets, inputs)
}
