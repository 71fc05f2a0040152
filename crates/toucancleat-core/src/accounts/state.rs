//! The state of both sides and the reducer over them.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::accounts::client::{self, Client};
use crate::accounts::config::Config;
use crate::accounts::event::{Effect, Event, TargetSpec};
use crate::accounts::home::{self, Home};
use crate::accounts::message::Message;
use crate::accounts::running;
use crate::prelude::*;

/// The accounts a host is home of, and its own requests.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) host: HostName,
    pub(super) config: Config,
    pub(super) zone: Zone,
    pub(super) home: Home,
    pub(super) client: Client,
}

/// What both sides know of their zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Zone {
    pub(super) hosts: Vec<HostName>,
    pub(super) homes: IndexMap<TargetName, HostName>,
    pub(super) targets: IndexMap<TargetName, TargetSpec>,
}

/// Messages that one side has for a host, which may be this very host.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) messages: VecDeque<(HostName, Message)>,
    pub(super) effects: Vec<Effect>,
}

impl State {
    /// Makes the state of a host that knows no target yet.
    pub fn new(host: HostName, config: Config) -> Self {
        State {
            zone: Zone::default(),
            home: Home::new(config.lengths.clone()),
            client: Client::new(config.seed),
            host,
            config,
        }
    }

    /// Returns the hosts' own accounts in brief, for operators and summaries.
    pub fn loads(&self) -> Vec<crate::accounts::Load> {
        self.home.loads()
    }

    /// Returns the length estimates of this host.
    pub fn lengths(&self) -> &crate::lengths::Store {
        &self.home.lengths
    }

    /// Returns the number of this host's requests that wait for a target.
    pub fn waiting(&self) -> usize {
        self.client.waiting()
    }
}

impl Outbox {
    pub(super) fn send(&mut self, to: &HostName, message: Message) {
        self.messages.push_back((to.clone(), message));
    }
}

/// Takes in an event and appends what has to be done.
///
/// Messages between the two sides of one host never leave it: they are delivered before
/// the function returns, so a host that is home of a target decides at once.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    let mut outbox = Outbox::default();
    handle(state, now_ms, event, &mut outbox);
    while let Some((to, message)) = outbox.messages.pop_front() {
        if to == state.host {
            let from = state.host.clone();
            handle(
                state,
                now_ms,
                Event::Received { from, message },
                &mut outbox,
            );
        } else {
            outbox.effects.push(Effect::Send { to, message });
        }
    }
    effects.append(&mut outbox.effects);
}

fn handle(state: &mut State, now_ms: u64, event: Event, outbox: &mut Outbox) {
    match event {
        Event::Received { from, message } => {
            receive(state, now_ms, from, message, outbox)
        }
        Event::Arrived(request) => client::arrive(state, now_ms, request, outbox),
        Event::Progressed { generation, tokens } => {
            running::progress(state, generation, tokens)
        }
        Event::Finished {
            generation,
            tokens,
            outcome,
        } => running::finish(state, generation, tokens, outcome, outbox),
        Event::Abandoned { request } => client::abandon(state, request, outbox),
        Event::LoadReported { target, report } => {
            client::load_reported(state, &target, &report);
            home::load_reported(state, now_ms, &target, report, outbox);
        }
        Event::CacheChanged {
            target,
            stored,
            evicted,
        } => client::cache_changed(state, &target, &stored, &evicted),
        Event::TargetsChanged(targets) => {
            state.client.views.set_targets(targets.iter());
            state.zone.targets = by_name(targets);
            home::adopt(state, now_ms, outbox);
        }
        Event::HomesChanged { hosts, homes } => {
            let before = std::mem::take(&mut state.zone.homes);
            state.zone.hosts = hosts;
            state.zone.homes = homes.into_iter().collect();
            home::adopt(state, now_ms, outbox);
            client::homes_changed(state, now_ms, &before, outbox);
        }
        Event::HostLost { host } => {
            home::host_lost(state, now_ms, &host, outbox);
            client::host_lost(state, now_ms, &host, outbox);
        }
        Event::TargetLeaving { target } => {
            home::target_leaving(state, now_ms, &target, outbox);
            client::target_closed(state, &target);
        }
        Event::TargetLost { target } => {
            home::target_lost(state, now_ms, &target, outbox);
            client::target_closed(state, &target);
        }
        Event::TargetReturned { target } => {
            home::target_returned(state, now_ms, &target, outbox);
            client::target_opened(state, &target);
        }
        Event::Tick => {
            home::tick(state, now_ms, outbox);
            client::tick(state, now_ms, outbox);
        }
    }
}

fn receive(
    state: &mut State,
    now_ms: u64,
    from: HostName,
    message: Message,
    outbox: &mut Outbox,
) {
    match message {
        Message::Reserve(reserve) => home::reserve(state, now_ms, from, reserve, outbox),
        Message::Withdraw {
            request,
            generation,
            target,
        } => home::withdraw(state, now_ms, request, generation, &target, outbox),
        Message::Progress { entries } => {
            home::progress(state, now_ms, &from, &entries, outbox)
        }
        Message::Finished(finished) => home::finished(state, now_ms, &finished, outbox),
        Message::Holdings { targets, entries } => {
            home::holdings(state, now_ms, &from, &targets, entries, outbox)
        }
        Message::Granted(granted) => {
            client::granted(state, now_ms, from, granted, outbox)
        }
        Message::Queued(queued) => client::queued(state, now_ms, &queued),
        Message::Refused(refused) => client::refused(state, now_ms, &refused, outbox),
        Message::Rebuild { targets } => running::rebuild(state, &from, targets, outbox),
        Message::Loads { entries } => client::loads(state, entries),
    }
}

fn by_name(targets: Vec<TargetSpec>) -> IndexMap<TargetName, TargetSpec> {
    targets
        .into_iter()
        .map(|spec| (spec.name.clone(), spec))
        .collect()
}
