//! The home's side: accounts of targets.

use indexmap::IndexMap;

use crate::accounts::account::{Account, Entry, Standing};
use crate::accounts::admission::{self, Decision};
use crate::accounts::event::{LoadReport, Outcome, RefuseReason};
use crate::accounts::message::{Finished, Holding, Load, Message, Progress, Reserve};
use crate::accounts::reply::{send_granted, send_queued, send_refused};
use crate::accounts::service::{expire, grant, refuse_all, serve_queue, shed_late};
use crate::accounts::state::{Outbox, State};
use crate::lengths;
use crate::prelude::*;
use crate::rng::Rng;

/// Accounts of the targets that the host is home of.
#[derive(Clone, Debug)]
pub(super) struct Home {
    pub(super) accounts: IndexMap<TargetName, Account>,
    pub(super) lengths: lengths::Store,
    refreshed_ms: u64,
    loads_sent_ms: u64,
    random: Rng,
}

impl Home {
    pub(super) fn new(config: lengths::Config) -> Self {
        Home {
            accounts: IndexMap::new(),
            lengths: lengths::Store::new(config),
            refreshed_ms: 0,
            loads_sent_ms: 0,
            random: Rng::new(0),
        }
    }

    pub(super) fn loads(&self) -> Vec<Load> {
        let accounts = self.accounts.values();
        accounts
            .map(|account| account.load(admission::wait_ms(account)))
            .collect()
    }
}

/// Takes up the accounts of targets that this host became home of, and drops the others.
pub(super) fn adopt(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    drop_foreign(state, outbox);
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
        account.awaited = state.zone.hosts.clone();
        account.rebuilt_by_ms = now_ms + state.config.rebuild_timeout_ms;
        state.home.accounts.insert(target.clone(), account);
        adopted.push(target.clone());
    }
    if adopted.is_empty() {
        return;
    }
    for host in &state.zone.hosts {
        let targets = adopted.clone();
        outbox.send(host, Message::Rebuild { targets });
    }
}

/// Drops accounts whose home is elsewhere now; who waits there is told to ask anew.
fn drop_foreign(state: &mut State, outbox: &mut Outbox) {
    let (host, zone) = (&state.host, &state.zone);
    state.home.accounts.retain(|target, account| {
        let kept =
            zone.homes.get(target) == Some(host) && zone.targets.contains_key(target);
        if !kept {
            refuse_all(account, RefuseReason::NotHome, 0, outbox);
        }
        kept
    });
}

/// Answers a host that asks for memory; a repeat is answered as before.
pub(super) fn reserve(
    state: &mut State,
    now_ms: u64,
    from: HostName,
    reserve: Reserve,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    let Some(account) = home.accounts.get_mut(&reserve.target) else {
        send_refused(&reserve, &from, RefuseReason::NotHome, 0, outbox);
        return;
    };
    if let Some(entry) = account.entries.get(&reserve.generation) {
        send_granted(&entry.reserve, &from, entry.priority, outbox);
        return;
    }
    let mut entry = Entry::new(reserve, from, now_ms);
    let oracle = state.config.length_oracle.as_ref();
    entry.known_length_tokens =
        oracle.and_then(|o| o.length_tokens(&entry.reserve.prefix_hashes));
    let decision =
        admission::decide(account, now_ms, &entry, &home.lengths, &state.config);
    match decision {
        Decision::Admit => grant(account, now_ms, entry, &home.lengths, outbox),
        Decision::Queue { wait_ms } => {
            send_queued(&entry, wait_ms, outbox);
            let waiting = admission::waiting_of(account, now_ms, &entry, &home.lengths);
            account.queue.push(waiting);
        }
        Decision::Refuse {
            reason,
            retry_after_ms,
        } => send_refused(&entry.reserve, &entry.host, reason, retry_after_ms, outbox),
    }
}

/// Gives up a place in the queue or a reservation.
pub(super) fn withdraw(
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
    if let Some(entry) = account.remove(generation) {
        let reserve = &entry.reserve;
        account.queue.correct(
            &reserve.organisation,
            reserve.weight,
            -entry.charged_tokens,
        );
        serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
    }
}

/// Takes in how far generations have come.
pub(super) fn progress(
    state: &mut State,
    now_ms: u64,
    from: &HostName,
    entries: &[Progress],
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    let mut unknown: Vec<TargetName> = Vec::new();
    for entry in entries {
        let Some(account) = home.accounts.get_mut(&entry.target) else {
            continue;
        };
        let known =
            account.progress(now_ms, entry.generation, entry.tokens, &home.lengths);
        if !known && !unknown.contains(&entry.target) {
            unknown.push(entry.target.clone());
        }
    }
    if !unknown.is_empty() {
        outbox.send(from, Message::Rebuild { targets: unknown });
    }
}

/// Frees the memory of a generation that ended, and learns from its length.
pub(super) fn finished(
    state: &mut State,
    now_ms: u64,
    finished: &Finished,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    let Some(account) = home.accounts.get_mut(&finished.target) else {
        return;
    };
    let Some(entry) = account.remove(finished.generation) else {
        return;
    };
    let reserve = &entry.reserve;
    learn(&mut home.lengths, reserve, finished);
    let used = f64::from(reserve.prompt_tokens) + f64::from(finished.tokens);
    account.queue.correct(
        &reserve.organisation,
        reserve.weight,
        used - entry.charged_tokens,
    );
    serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
}

/// Takes in all that one host runs at targets whose account is being rebuilt.
pub(super) fn holdings(
    state: &mut State,
    now_ms: u64,
    from: &HostName,
    targets: &[TargetName],
    entries: Vec<Holding>,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    for holding in entries {
        let Some(account) = home.accounts.get_mut(&holding.reserve.target) else {
            continue;
        };
        let generation = holding.reserve.generation;
        if account.progress(now_ms, generation, holding.tokens, &home.lengths) {
            continue;
        }
        let mut entry = Entry::new(holding.reserve, from.clone(), now_ms);
        entry.tokens = holding.tokens;
        account.insert(entry, &home.lengths);
    }
    for target in targets {
        if let Some(account) = home.accounts.get_mut(target) {
            account.awaited.retain(|host| host != from);
            serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
        }
    }
}

/// Takes in an engine's load report.
pub(super) fn load_reported(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    report: LoadReport,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    if let Some(account) = home.accounts.get_mut(target) {
        account.note_report(report);
        serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
    }
}

/// Drops what a lost host had queued; what it was running ends with its connections.
pub(super) fn host_lost(
    state: &mut State,
    now_ms: u64,
    host: &HostName,
    outbox: &mut Outbox,
) {
    let home = &mut state.home;
    for account in home.accounts.values_mut() {
        account.queue.remove_where(|waiting| &waiting.host == host);
        account.awaited.retain(|awaited| awaited != host);
        let generations: Vec<GenerationId> = account
            .entries
            .values()
            .filter(|entry| &entry.host == host)
            .map(|entry| entry.reserve.generation)
            .collect();
        for generation in generations {
            account.remove(generation);
        }
        serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
    }
}

/// Takes no new work for a target that is leaving.
pub(super) fn target_leaving(
    state: &mut State,
    _now_ms: u64,
    target: &TargetName,
    outbox: &mut Outbox,
) {
    if let Some(account) = state.home.accounts.get_mut(target) {
        account.standing = Standing::Leaving;
        refuse_all(account, RefuseReason::NoTarget, 0, outbox);
    }
}

/// Empties the account of a target that is lost; its hosts report each generation's end.
pub(super) fn target_lost(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    outbox: &mut Outbox,
) {
    target_leaving(state, now_ms, target, outbox);
    if let Some(account) = state.home.accounts.get_mut(target) {
        account.standing = Standing::Lost;
        account.entries.clear();
        account.reforecast(&state.home.lengths);
    }
}

/// Takes work again for a target that is back.
pub(super) fn target_returned(
    state: &mut State,
    _now_ms: u64,
    target: &TargetName,
    _outbox: &mut Outbox,
) {
    if let Some(account) = state.home.accounts.get_mut(target) {
        account.standing = Standing::Serving;
    }
}

/// Drops what has gone silent, refuses what has become late, and tells the zone.
pub(super) fn tick(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    refresh(state, now_ms);
    let home = &mut state.home;
    for account in home.accounts.values_mut() {
        expire(account, now_ms, &state.config);
        shed_late(account, now_ms, outbox);
        serve_queue(account, now_ms, &home.lengths, &state.config, outbox);
    }
    send_loads(state, now_ms, outbox);
}

fn refresh(state: &mut State, now_ms: u64) {
    let home = &mut state.home;
    if now_ms < home.refreshed_ms + state.config.refresh_interval_ms {
        return;
    }
    home.refreshed_ms = now_ms;
    let running = home.accounts.values().flat_map(|account| account.running());
    home.lengths.refresh(now_ms, running);
    for account in home.accounts.values_mut() {
        account.reforecast(&home.lengths);
    }
}

fn learn(lengths: &mut lengths::Store, reserve: &Reserve, finished: &Finished) {
    let (organisation, kind) = (&reserve.organisation, &reserve.kind);
    match finished.outcome {
        Outcome::Completed => lengths.observe_ended(organisation, kind, finished.tokens),
        Outcome::NotRun => {}
        _ => lengths.observe_censored(organisation, kind, finished.tokens),
    }
}

fn send_loads(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    let config = &state.config;
    if now_ms < state.home.loads_sent_ms + config.loads_interval_ms {
        return;
    }
    state.home.loads_sent_ms = now_ms;
    let entries = state.home.loads();
    if entries.is_empty() || state.zone.hosts.is_empty() {
        return;
    }
    let hosts = &state.zone.hosts;
    let start = state.home.random.below(hosts.len());
    let round = hosts.iter().cycle().skip(start).take(hosts.len());
    for host in round.take(config.loads_fanout) {
        let entries = entries.clone();
        outbox.send(host, Message::Loads { entries });
    }
}
