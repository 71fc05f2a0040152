//! The home's side of admission: the accounts of its targets.

use indexmap::IndexMap;

use crate::accounts::account::{Account, Reservation, TargetStatus};
use crate::accounts::admission::{self, Decision};
use crate::accounts::event::{LoadReport, Outcome, RefusalReason};
use crate::accounts::message::{
    AccountSummary, FinishedGeneration, Message, Progress, ReservationRequest,
    RunningGeneration,
};
use crate::accounts::reply::{send_grant, send_queue_notice, send_refusal};
use crate::accounts::scheduling::{
    expire_reservations, grant_reservation, refuse_late_requests, refuse_queue,
    serve_queue,
};
use crate::accounts::state::{Outbox, State};
use crate::lengths;
use crate::prelude::*;
use crate::rng::Rng;

/// The accounts of the targets that this host is home of.
#[derive(Clone, Debug)]
pub(super) struct Home {
    pub(super) accounts: IndexMap<TargetName, Account>,
    pub(super) lengths: lengths::Store,
    last_refresh_ms: u64,
    last_summaries_ms: u64,
    rng: Rng,
}

impl Home {
    pub(super) fn new(config: lengths::Config) -> Self {
        Home {
            accounts: IndexMap::new(),
            lengths: lengths::Store::new(config),
            last_refresh_ms: 0,
            last_summaries_ms: 0,
            rng: Rng::new(0),
        }
    }

    pub(super) fn account_summaries(&self) -> Vec<AccountSummary> {
        let accounts = self.accounts.values();
        accounts
            .map(|account| account.summary(admission::expected_wait_ms(account)))
            .collect()
    }
}

/// Creates the accounts of targets that this host has become home of, and drops those of
/// targets that it no longer is.
///
/// The hosts of the zone receive a request for their holdings at the new targets.
pub(super) fn update_accounts(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    drop_foreign_accounts(state, outbox);
    let mut adopted = Vec::new();
    for (target, spec) in &state.zone.targets {
        if state.zone.homes.get(target) != Some(&state.host) {
            continue;
        }
        if let Some(account) = state.home.accounts.get_mut(target) {
            account.spec = spec.clone();
            continue;
        }
        let mut account = Account::new(spec.clone());
        account.awaited_hosts = state.zone.hosts.clone();
        account.rebuild_deadline_ms = now_ms + state.config.rebuild_timeout_ms;
        state.home.accounts.insert(target.clone(), account);
        adopted.push(target.clone());
    }
    if adopted.is_empty() {
        return;
    }
    for host in &state.zone.hosts {
        let targets = adopted.clone();
        outbox.send(host, Message::HoldingsRequest { targets });
    }
}

/// Drops the accounts whose home is elsewhere now, and refuses the requests that wait
/// there, so that their hosts send them to the new home.
fn drop_foreign_accounts(state: &mut State, outbox: &mut Outbox) {
    let (host, zone) = (&state.host, &state.zone);
    state.home.accounts.retain(|target, account| {
        let is_home =
            zone.homes.get(target) == Some(host) && zone.targets.contains_key(target);
        if !is_home {
            refuse_queue(account, RefusalReason::NotHome, 0, outbox);
        }
        is_home
    });
}

/// Decides on a requested reservation; a repeated request gets the same grant again.
pub(super) fn handle_reservation_request(
    state: &mut State,
    now_ms: u64,
    from: HostName,
    request: ReservationRequest,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    let Some(account) = home.accounts.get_mut(&request.target) else {
        send_refusal(&request, &from, RefusalReason::NotHome, 0, outbox);
        return;
    };
    if let Some(reservation) = account.reservations.get(&request.generation) {
        send_grant(&reservation.request, &from, reservation.priority, outbox);
        return;
    }
    let mut reservation = Reservation::new(request, from, now_ms);
    let oracle = state.config.length_oracle.as_ref();
    reservation.known_length_tokens = oracle
        .and_then(|oracle| oracle.length_tokens(&reservation.request.prefix_hashes));
    let decision =
        admission::decide(account, now_ms, &reservation, &home.lengths, &state.config);
    match decision {
        Decision::Admit => {
            grant_reservation(account, now_ms, reservation, &home.lengths, outbox)
        }
        Decision::Queue { wait_ms } => {
            send_queue_notice(&reservation, wait_ms, outbox);
            let waiting =
                admission::waiting_request(account, now_ms, &reservation, &home.lengths);
            account.queue.push(waiting);
        }
        Decision::Refuse {
            reason,
            retry_after_ms,
        } => send_refusal(
            &reservation.request,
            &reservation.host,
            reason,
            retry_after_ms,
            outbox,
        ),
    }
}

/// Removes a request from the queue, or its reservation.
pub(super) fn handle_withdraw(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    generation: GenerationId,
    target: &TargetName,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    let Some(account) = home.accounts.get_mut(target) else {
        return;
    };
    account.queue.remove(request);
    if let Some(reservation) = account.remove(generation) {
        let request = &reservation.request;
        account.queue.correct(
            &request.organisation,
            request.weight,
            -reservation.charged_tokens,
        );
        serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
    }
}

/// Records the progress of generations, and requests the holdings of the sender at
/// targets whose account lacks one of them.
pub(super) fn handle_progress(
    state: &mut State,
    now_ms: u64,
    from: &HostName,
    entries: &[Progress],
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    let mut incomplete_targets: Vec<TargetName> = Vec::new();
    for progress in entries {
        let Some(account) = home.accounts.get_mut(&progress.target) else {
            continue;
        };
        let is_known = account.record_progress(
            now_ms,
            progress.generation,
            progress.tokens,
            &home.lengths,
        );
        if !is_known && !incomplete_targets.contains(&progress.target) {
            incomplete_targets.push(progress.target.clone());
        }
    }
    if !incomplete_targets.is_empty() {
        outbox.send(
            from,
            Message::HoldingsRequest {
                targets: incomplete_targets,
            },
        );
    }
}

/// Frees the memory of a generation that has ended, and records its length.
pub(super) fn handle_finished(
    state: &mut State,
    now_ms: u64,
    finished: &FinishedGeneration,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    let Some(account) = home.accounts.get_mut(&finished.target) else {
        return;
    };
    let Some(reservation) = account.remove(finished.generation) else {
        return;
    };
    let request = &reservation.request;
    observe_length(&mut home.lengths, request, finished);
    let used_tokens = f64::from(request.prompt_tokens) + f64::from(finished.tokens);
    account.queue.correct(
        &request.organisation,
        request.weight,
        used_tokens - reservation.charged_tokens,
    );
    serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
}

/// Adds all generations of one host to the accounts that are being rebuilt.
pub(super) fn handle_holdings(
    state: &mut State,
    now_ms: u64,
    from: &HostName,
    targets: &[TargetName],
    entries: Vec<RunningGeneration>,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    for holding in entries {
        let Some(account) = home.accounts.get_mut(&holding.request.target) else {
            continue;
        };
        let generation = holding.request.generation;
        if account.record_progress(now_ms, generation, holding.tokens, &home.lengths) {
            continue;
        }
        let mut reservation = Reservation::new(holding.request, from.clone(), now_ms);
        reservation.tokens = holding.tokens;
        account.insert(reservation, &home.lengths);
    }
    for target in targets {
        if let Some(account) = home.accounts.get_mut(target) {
            account.awaited_hosts.retain(|host| host != from);
            serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
        }
    }
}

/// Records a load report of an engine.
pub(super) fn handle_load_report(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    report: LoadReport,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    if let Some(account) = home.accounts.get_mut(target) {
        account.record_report(report);
        serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
    }
}

/// Drops the requests and reservations of a lost host; its generations end with its
/// connections.
pub(super) fn handle_host_lost(
    state: &mut State,
    now_ms: u64,
    host: &HostName,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    for account in home.accounts.values_mut() {
        account.queue.remove_where(|waiting| &waiting.host == host);
        account.awaited_hosts.retain(|awaited| awaited != host);
        let generations: Vec<GenerationId> = account
            .reservations
            .values()
            .filter(|reservation| &reservation.host == host)
            .map(|reservation| reservation.request.generation)
            .collect();
        for generation in generations {
            account.remove(generation);
        }
        serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
    }
}

/// Stops admission to a leaving target, and refuses its queue.
pub(super) fn handle_target_leaving(
    state: &mut State,
    _now_ms: u64,
    target: &TargetName,
    outbox: &mut Outbox,
) {
    if let Some(account) = state.home.accounts.get_mut(target) {
        account.status = TargetStatus::Leaving;
        refuse_queue(account, RefusalReason::NoTarget, 0, outbox);
    }
}

/// Clears the account of an unavailable target; each host reports the end of its own generations.
pub(super) fn handle_target_unavailable(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    outbox: &mut Outbox,
) {
    handle_target_leaving(state, now_ms, target, outbox);
    if let Some(account) = state.home.accounts.get_mut(target) {
        account.status = TargetStatus::Unavailable;
        account.reservations.clear();
        account.reforecast(&state.home.lengths);
    }
}

/// Resumes admission to a target that is available again.
pub(super) fn handle_target_available(
    state: &mut State,
    _now_ms: u64,
    target: &TargetName,
    _outbox: &mut Outbox,
) {
    if let Some(account) = state.home.accounts.get_mut(target) {
        account.status = TargetStatus::Serving;
    }
}

/// Expires reservations, refuses late requests, grants waiting ones and sends summaries
/// of the accounts to the zone.
pub(super) fn handle_tick(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    refresh_lengths(state, now_ms);
    let home = &mut state.home;
    for account in home.accounts.values_mut() {
        expire_reservations(account, now_ms, &state.config);
        refuse_late_requests(account, now_ms, outbox);
        serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
    }
    send_account_summaries(state, now_ms, outbox);
}

fn refresh_lengths(state: &mut State, now_ms: u64) {
    let home = &mut state.home;
    if now_ms < home.last_refresh_ms + state.config.refresh_interval_ms {
        return;
    }
    home.last_refresh_ms = now_ms;
    let running = home.accounts.values().flat_map(|account| account.running());
    home.lengths.refresh(now_ms, running);
    for account in home.accounts.values_mut() {
        account.reforecast(&home.lengths);
    }
}

fn observe_length(
    lengths: &mut lengths::Store,
    request: &ReservationRequest,
    finished: &FinishedGeneration,
) {
    let (organisation, kind) = (&request.organisation, &request.kind);
    match finished.outcome {
        Outcome::Completed => lengths.observe_ended(organisation, kind, finished.tokens),
        Outcome::NotRun => {}
        _ => lengths.observe_censored(organisation, kind, finished.tokens),
    }
}

fn send_account_summaries(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    let config = &state.config;
    if now_ms < state.home.last_summaries_ms + config.summaries_interval_ms {
        return;
    }
    state.home.last_summaries_ms = now_ms;
    let entries = state.home.account_summaries();
    if entries.is_empty() || state.zone.hosts.is_empty() {
        return;
    }
    let hosts = &state.zone.hosts;
    let start = state.home.rng.below(hosts.len());
    let round = hosts.iter().cycle().skip(start).take(hosts.len());
    for host in round.take(config.summaries_fanout) {
        let entries = entries.clone();
        outbox.send(host, Message::AccountSummaries { entries });
    }
}
