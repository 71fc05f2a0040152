//! The state of both sides of admission, and the reducer.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::accounts::client::{self, Client};
use crate::accounts::config::Config;
use crate::accounts::event::{Effect, Event, TargetSpec};
use crate::accounts::home::{self, Home};
use crate::accounts::message::Message;
use crate::accounts::running;
use crate::prelude::*;

/// The accounts of the targets that a host is home of, and its own requests.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) host: HostName,
    pub(super) config: Config,
    pub(super) zone: Zone,
    pub(super) home: Home,
    pub(super) client: Client,
}

/// The known state of the zone, which both sides use.
#[derive(Clone, Debug, Default)]
pub(super) struct Zone {
    pub(super) hosts: Vec<HostName>,
    pub(super) homes: IndexMap<TargetName, HostName>,
    pub(super) targets: IndexMap<TargetName, TargetSpec>,
}

/// Messages to hosts, which include this host itself, and effects.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) messages: VecDeque<(HostName, Message)>,
    pub(super) effects: Vec<Effect>,
}

impl State {
    /// Creates the state of a host that knows no target.
    pub fn new(host: HostName, config: Config) -> Self {
        State {
            zone: Zone::default(),
            home: Home::new(config.lengths.clone()),
            client: Client::new(config.seed),
            host,
            config,
        }
    }

    /// Returns summaries of this host's accounts, for operators and zone summaries.
    pub fn account_summaries(&self) -> Vec<crate::accounts::AccountSummary> {
        self.home.account_summaries()
    }

    /// Returns the length estimates of this host.
    pub fn lengths(&self) -> &crate::lengths::Store {
        &self.home.lengths
    }

    /// Returns the number of this host's requests that wait for a target.
    pub fn pending_count(&self) -> usize {
        self.client.pending_count()
    }
}

impl Outbox {
    pub(super) fn send(&mut self, to: &HostName, message: Message) {
        self.messages.push_back((to.clone(), message));
    }
}

/// Applies one event to the state, and appends the effects that follow.
///
/// Messages between the two sides of one host never leave it. They are delivered before
/// the function returns, so a host that is the home of a target decides at once.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    let mut outbox = Outbox::default();
    handle_event(state, now_ms, event, &mut outbox);
    while let Some((to, message)) = outbox.messages.pop_front() {
        if to == state.host {
            let from = state.host.clone();
            handle_event(
                state,
                now_ms,
                Event::MessageReceived { from, message },
                &mut outbox,
            );
        } else {
            outbox.effects.push(Effect::Send { to, message });
        }
    }
    effects.append(&mut outbox.effects);
}

fn handle_event(state: &mut State, now_ms: u64, event: Event, outbox: &mut Outbox) {
    match event {
        Event::MessageReceived { from, message } => {
            handle_message(state, now_ms, from, message, outbox)
        }
        Event::RequestReceived(request) => {
            client::handle_arrival(state, now_ms, request, outbox)
        }
        Event::GenerationProgressed { generation, tokens } => {
            running::record_progress(state, generation, tokens)
        }
        Event::GenerationFinished {
            generation,
            tokens,
            outcome,
        } => running::finish_run(state, generation, tokens, outcome, outbox),
        Event::Abandoned { request } => client::handle_abandoned(state, request, outbox),
        Event::LoadReported { target, report } => {
            client::handle_load_report(state, &target, &report);
            home::handle_load_report(state, now_ms, &target, report, outbox);
        }
        Event::CacheChanged {
            target,
            stored,
            evicted,
        } => client::handle_cache_changed(state, &target, &stored, &evicted),
        Event::TargetsChanged(targets) => {
            state.client.known_targets.set_targets(targets.iter());
            state.zone.targets = by_name(targets);
            home::update_accounts(state, now_ms, outbox);
        }
        Event::HomesChanged { hosts, homes } => {
            let old_homes = std::mem::take(&mut state.zone.homes);
            state.zone.hosts = hosts;
            state.zone.homes = homes.into_iter().collect();
            home::update_accounts(state, now_ms, outbox);
            client::handle_homes_changed(state, now_ms, &old_homes, outbox);
        }
        Event::HostLost { host } => {
            home::handle_host_lost(state, now_ms, &host, outbox);
            client::handle_host_lost(state, now_ms, &host, outbox);
        }
        Event::TargetLeaving { target } => {
            home::handle_target_leaving(state, now_ms, &target, outbox);
            client::mark_target_unavailable(state, &target);
        }
        Event::TargetUnavailable { target } => {
            home::handle_target_unavailable(state, now_ms, &target, outbox);
            client::mark_target_unavailable(state, &target);
        }
        Event::TargetAvailable { target } => {
            home::handle_target_available(state, now_ms, &target, outbox);
            client::mark_target_available(state, &target);
        }
        Event::Tick => {
            home::handle_tick(state, now_ms, outbox);
            client::handle_tick(state, now_ms, outbox);
        }
    }
}

fn handle_message(
    state: &mut State,
    now_ms: u64,
    from: HostName,
    message: Message,
    outbox: &mut Outbox,
) {
    match message {
        Message::Reserve(request) => {
            home::handle_reservation_request(state, now_ms, from, request, outbox)
        }
        Message::Withdraw {
            request,
            generation,
            target,
        } => home::handle_withdraw(state, now_ms, request, generation, &target, outbox),
        Message::Progress { entries } => {
            home::handle_progress(state, now_ms, &from, &entries, outbox)
        }
        Message::Finished(finished) => {
            home::handle_finished(state, now_ms, &finished, outbox)
        }
        Message::Holdings { targets, entries } => {
            home::handle_holdings(state, now_ms, &from, &targets, entries, outbox)
        }
        Message::Granted(granted) => {
            client::handle_grant(state, now_ms, from, granted, outbox)
        }
        Message::Queued(queued) => client::handle_queue_notice(state, now_ms, &queued),
        Message::Refused(refused) => {
            client::handle_refusal(state, now_ms, &refused, outbox)
        }
        Message::HoldingsRequest { targets } => {
            running::send_holdings(state, &from, targets, outbox)
        }
        Message::AccountSummaries { entries } => {
            client::handle_account_summaries(state, entries)
        }
    }
}

fn by_name(targets: Vec<TargetSpec>) -> IndexMap<TargetName, TargetSpec> {
    targets
        .into_iter()
        .map(|spec| (spec.name.clone(), spec))
        .collect()
}
