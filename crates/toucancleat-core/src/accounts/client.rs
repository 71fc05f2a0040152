//! The requesting side: a host's own requests and generations.

use indexmap::IndexMap;

use crate::accounts::event::{Effect, LoadReport, RefuseReason, Request};
use crate::accounts::message::{Granted, Load, Message, Queued, Refused};
use crate::accounts::pending::{Answer, Asked, Pending, reserve_of};
use crate::accounts::running::{Run, dispatch, send_progress};
use crate::accounts::state::{Outbox, State};
use crate::accounts::views::Views;
use crate::accounts::widen::advance;
use crate::prelude::*;
use crate::rng::Rng;
use crate::routing::{Choice, RetryBudget, affinity_key, candidates};
use crate::settings::RoutingPolicy;

/// Time that a caller is told to stay away while no target serves its kind.
pub(super) const NO_TARGET_RETRY_MS: u64 = 1_000;

/// Requests that wait for a target, and generations that run.
#[derive(Clone, Debug)]
pub(super) struct Client {
    pub(super) views: Views,
    pending: IndexMap<RequestId, Pending>,
    pub(super) running: IndexMap<GenerationId, Run>,
    turns: IndexMap<PoolName, u64>,
    budgets: IndexMap<PoolName, RetryBudget>,
    random: Rng,
    progress_sent_ms: u64,
}

impl Client {
    pub(super) fn new(seed: u64) -> Self {
        Client {
            views: Views::default(),
            pending: IndexMap::new(),
            running: IndexMap::new(),
            turns: IndexMap::new(),
            budgets: IndexMap::new(),
            random: Rng::new(seed),
            progress_sent_ms: 0,
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.pending.len()
    }
}

/// Looks for a target for a request.
pub(super) fn arrive(
    state: &mut State,
    now_ms: u64,
    request: Request,
    outbox: &mut Outbox,
) {
    let client = &mut state.client;
    let budget = client.budgets.entry(request.pool.clone()).or_default();
    if request.attempt == 0 {
        budget.deposit(request.retry_budget_ratio);
    } else if !budget.withdraw() {
        refuse(
            &request,
            RefuseReason::RetryBudget,
            NO_TARGET_RETRY_MS,
            outbox,
        );
        return;
    }
    let mut untried = choose(state, &request);
    if untried.is_empty() {
        refuse(&request, RefuseReason::NoTarget, NO_TARGET_RETRY_MS, outbox);
        return;
    }
    if !asks_home(request.limits.policy) {
        let target = untried.remove(0);
        dispatch(state, now_ms, &request, target, request.priority, outbox);
        return;
    }
    untried.reverse();
    let mut pending = Pending {
        since_ms: now_ms,
        widened_ms: now_ms,
        untried,
        asked: Vec::new(),
        request,
    };
    ask_next(state, now_ms, &mut pending, outbox);
    state
        .client
        .pending
        .insert(pending.request.request, pending);
}

/// Asks the home of the next untried target; tells whether there was one.
pub(super) fn ask_next(
    state: &State,
    now_ms: u64,
    pending: &mut Pending,
    outbox: &mut Outbox,
) -> bool {
    let Some(target) = pending.untried.pop() else {
        return false;
    };
    send_reserve(state, &pending.request, &target, outbox);
    pending.widened_ms = now_ms;
    pending.asked.push(Asked {
        target,
        at_ms: now_ms,
        sent_ms: now_ms,
        answer: Answer::None,
    });
    true
}

pub(super) fn send_reserve(
    state: &State,
    request: &Request,
    target: &TargetName,
    outbox: &mut Outbox,
) {
    if let Some(home) = state.zone.homes.get(target) {
        let reserve = reserve_of(request, target);
        outbox.send(home, Message::Reserve(reserve));
    }
}

/// Sends the request to the target that granted it, and gives up all other places.
pub(super) fn granted(
    state: &mut State,
    now_ms: u64,
    from: HostName,
    granted: Granted,
    outbox: &mut Outbox,
) {
    let Some(pending) = state.client.pending.shift_remove(&granted.request) else {
        return_unwanted(state, from, granted, outbox);
        return;
    };
    if pending.request.generation != granted.generation {
        // N.B. a grant of an earlier attempt must not start this one.
        state.client.pending.insert(granted.request, pending);
        return_unwanted(state, from, granted, outbox);
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

fn return_unwanted(state: &State, from: HostName, granted: Granted, outbox: &mut Outbox) {
    let run = state.client.running.get(&granted.generation);
    if run.is_some_and(|run| run.reserve.target == granted.target) {
        return;
    }
    let message = Message::Withdraw {
        request: granted.request,
        generation: granted.generation,
        target: granted.target,
    };
    outbox.send(&from, message);
}

/// Notes that a request waits at a home.
pub(super) fn queued(state: &mut State, now_ms: u64, queued: &Queued) {
    if let Some(pending) = state.client.pending.get_mut(&queued.request) {
        // The next target is asked at the next widening, at once if this is the first.
        if pending.asked.len() == 1 {
            pending.widened_ms = now_ms.saturating_sub(state.config.widen_interval_ms);
        }
        pending.note(&queued.target, Answer::Queued);
    }
}

/// Asks elsewhere, or refuses the request when no place is left.
pub(super) fn refused(
    state: &mut State,
    now_ms: u64,
    refused: &Refused,
    outbox: &mut Outbox,
) {
    let Some(mut pending) = state.client.pending.shift_remove(&refused.request) else {
        return;
    };
    pending.note(
        &refused.target,
        Answer::Refused {
            reason: refused.reason,
            retry_after_ms: refused.retry_after_ms,
        },
    );
    let asked = ask_next(state, now_ms, &mut pending, outbox);
    match pending.verdict() {
        Some((reason, retry_after_ms)) if !asked => {
            refuse(&pending.request, reason, retry_after_ms, outbox)
        }
        _ => {
            state.client.pending.insert(refused.request, pending);
        }
    }
}

/// Gives up every place of a request whose caller left.
pub(super) fn abandon(state: &mut State, request: RequestId, outbox: &mut Outbox) {
    if let Some(pending) = state.client.pending.shift_remove(&request) {
        withdraw_others(state, &pending, None, outbox);
    }
}

pub(super) fn withdraw_others(
    state: &State,
    pending: &Pending,
    kept: Option<&TargetName>,
    outbox: &mut Outbox,
) {
    for asked in &pending.asked {
        let refused = matches!(asked.answer, Answer::Refused { .. });
        if refused || Some(&asked.target) == kept {
            continue;
        }
        if let Some(home) = state.zone.homes.get(&asked.target) {
            let message = Message::Withdraw {
                request: pending.request.request,
                generation: pending.request.generation,
                target: asked.target.clone(),
            };
            outbox.send(home, message);
        }
    }
}

/// Asks again at new homes for the requests that waited at the old ones.
pub(super) fn homes_changed(
    state: &mut State,
    now_ms: u64,
    before: &IndexMap<TargetName, HostName>,
    outbox: &mut Outbox,
) {
    let moved = |zone: &IndexMap<TargetName, HostName>, target: &TargetName| {
        zone.get(target) != before.get(target)
    };
    let mut pending = std::mem::take(&mut state.client.pending);
    for one in pending.values_mut() {
        for asked in &mut one.asked {
            if moved(&state.zone.homes, &asked.target) {
                asked.at_ms = now_ms;
                asked.sent_ms = now_ms;
                asked.answer = Answer::None;
                send_reserve(state, &one.request, &asked.target, outbox);
            }
        }
    }
    state.client.pending = pending;
}

/// Counts the answers of a lost home as never given.
pub(super) fn host_lost(
    state: &mut State,
    _now_ms: u64,
    host: &HostName,
    _outbox: &mut Outbox,
) {
    for pending in state.client.pending.values_mut() {
        for asked in &mut pending.asked {
            if state.zone.homes.get(&asked.target) == Some(host) {
                asked.answer = Answer::None;
            }
        }
    }
}

/// Takes a target out of the choice.
pub(super) fn target_closed(state: &mut State, target: &TargetName) {
    if let Some(view) = state.client.views.get_mut(target) {
        view.closed = true;
    }
}

/// Takes a target into the choice again.
pub(super) fn target_opened(state: &mut State, target: &TargetName) {
    if let Some(view) = state.client.views.get_mut(target) {
        view.closed = false;
    }
}

/// Notes an engine's load report.
pub(super) fn load_reported(state: &mut State, target: &TargetName, report: &LoadReport) {
    if let Some(view) = state.client.views.get_mut(target) {
        view.note_report(report);
    }
}

/// Notes what homes told of their accounts.
pub(super) fn loads(state: &mut State, entries: Vec<Load>) {
    for load in entries {
        if let Some(view) = state.client.views.get_mut(&load.target) {
            view.note_load(&load);
        }
    }
}

/// Notes a change of a target's cache.
pub(super) fn cache_changed(
    _state: &mut State,
    _target: &TargetName,
    _stored: &[u64],
    _evicted: &[u64],
) {
}

/// Widens the search of what has waited, and reports progress to homes.
pub(super) fn tick(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    let pending = std::mem::take(&mut state.client.pending);
    for (request, mut one) in pending {
        if advance(state, now_ms, &mut one, outbox) {
            state.client.pending.insert(request, one);
        }
    }
    if now_ms >= state.client.progress_sent_ms + state.config.progress_interval_ms {
        state.client.progress_sent_ms = now_ms;
        send_progress(state, now_ms, outbox);
    }
}

pub(super) fn refuse(
    request: &Request,
    reason: RefuseReason,
    retry_after_ms: u64,
    outbox: &mut Outbox,
) {
    outbox.effects.push(Effect::Refuse {
        request: request.request,
        reason,
        retry_after_ms,
    });
}

fn asks_home(policy: RoutingPolicy) -> bool {
    matches!(
        policy,
        RoutingPolicy::HomeAccounts | RoutingPolicy::ReserveMaximum
    )
}

fn choose(state: &mut State, request: &Request) -> Vec<TargetName> {
    let client = &mut state.client;
    let open = client.views.open_targets(request);
    let choice = Choice {
        policy: request.limits.policy,
        affinity_key: affinity_key(&request.prefix_hashes),
        turn: client.turns.entry(request.pool.clone()).or_default(),
        random: &mut client.random,
        candidates_max: state.config.candidates_max,
    };
    candidates(&open, choice)
}
