//! Connects membership to the other modules, which it notifies of moved homes and changed
//! peers.

use super::{accounts, limits, orders, peers, settings, targets};
use crate::effect::Effect;
use crate::homes::{HomeKey, ZoneRole};
use crate::membership::{self, Host, Status};
use crate::prelude::*;
use crate::settings::TargetClass;
use crate::state::State;
use crate::timeline::{Entry, RecordKind};

/// Applies an event of membership and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: membership::Event,
    effects: &mut Vec<Effect>,
) {
    let mut pending = Vec::new();
    membership::reduce(&mut state.membership, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: membership::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        membership::Effect::Send { to, message } => {
            peers::send(state, now_ms, &to, message, effects);
        }
        membership::Effect::StatusChanged { host, status } => {
            handle_status_change(state, now_ms, &host, status, effects);
        }
        membership::Effect::LiveHostsChanged { version } => {
            handle_live_hosts_change(state, now_ms, version, effects);
        }
        membership::Effect::Refuted { incarnation } => {
            let entry = Entry::new(RecordKind::HostSuspected)
                .field("incarnation", incarnation.0)
                .reason("this host refuted a statement about itself");
            state.timeline.record(now_ms, entry);
            limits::apply(state, now_ms, crate::limits::Event::DeclaredDead, effects);
        }
        membership::Effect::ZoneReachabilityChanged { zone, is_reachable } => {
            let kind = if is_reachable {
                RecordKind::ZoneBack
            } else {
                RecordKind::ZoneCut
            };
            let entry = Entry::new(kind)
                .field("zone", zone.as_str())
                .field("reachable", is_reachable)
                .reason("another zone changed its reachability");
            state.timeline.record(now_ms, entry);
            notify_dissemination(state, now_ms, effects);
        }
    }
}

fn handle_status_change(
    state: &mut State,
    now_ms: u64,
    host: &Host,
    status: Status,
    effects: &mut Vec<Effect>,
) {
    let kind = match status {
        Status::Alive => RecordKind::HostJoined,
        Status::Suspect => RecordKind::HostSuspected,
        Status::Dead => RecordKind::HostDead,
        Status::Left => RecordKind::HostLeaving,
    };
    let entry = Entry::new(kind).field("subject", host.name.as_str());
    state.timeline.record(now_ms, entry);
    limits::notify_hosts_changed(state, now_ms, effects);
    if status == Status::Dead {
        let event = crate::accounts::Event::HostLost {
            host: host.name.clone(),
        };
        accounts::apply(state, now_ms, event, effects);
    }
}

fn handle_live_hosts_change(
    state: &mut State,
    now_ms: u64,
    version: u64,
    effects: &mut Vec<Effect>,
) {
    let moved = state.homes.update(version, state.membership.live_hosts());
    for home in moved {
        let entry = Entry::new(RecordKind::HomeMoved)
            .field("key", format!("{:?}", home.key).as_str())
            .field("to", home.to.as_ref().map_or("", |to| to.as_str()));
        state.timeline.record(now_ms, entry);
    }
    let peers = zone_peers(state);
    let event = crate::targets::Event::PeersChanged { peers };
    targets::apply(state, now_ms, event, effects);
    notify_accounts(state, now_ms, effects);
    notify_dissemination(state, now_ms, effects);
    orders::notify_lease_candidate(state, now_ms, effects);
    limits::notify_hosts_changed(state, now_ms, effects);
}

/// Notifies the accounts of the home of each engine of the zone.
pub(super) fn notify_accounts(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let Some(settings) = state.settings.clone() else {
        return;
    };
    let hosts: Vec<HostName> = state
        .membership
        .live_hosts()
        .map(|host| host.name.clone())
        .collect();
    let mut homes = Vec::new();
    for (_, class, name, target) in settings.targets() {
        if class != TargetClass::ModelEngine || target.zone != state.identity.zone {
            continue;
        }
        if let Some(home) = state.homes.home(&HomeKey::Target(name.clone())) {
            homes.push((name.clone(), home));
        }
    }
    let event = crate::accounts::Event::HomesChanged { hosts, homes };
    accounts::apply(state, now_ms, event, effects);
}

/// Notifies the dissemination of settings of the zone's peers, of the delegates of the other
/// zones and of whether this host is the zone's settings reader.
pub(super) fn notify_dissemination(
    state: &mut State,
    now_ms: u64,
    effects: &mut Vec<Effect>,
) {
    let host = state.identity.host.clone();
    let reader = HomeKey::Role(ZoneRole::SettingsReader);
    let event = crate::dissemination::Event::PeersChanged {
        zone: zone_peers(state),
        other_zones: other_zone_delegates(state),
        is_reader: state.homes.is_home(&reader, &host),
    };
    settings::apply(state, now_ms, event, effects);
}

/// Returns the peers in this zone that are alive or merely suspected.
pub(super) fn zone_peers(state: &State) -> Vec<HostName> {
    let own = &state.identity.host;
    let others = state
        .membership
        .live_hosts()
        .filter(|host| host.name != *own);
    others.map(|host| host.name.clone()).collect()
}

/// Returns one delegate of each other zone whose summary is known.
pub(super) fn other_zone_delegates(state: &State) -> Vec<HostName> {
    let summaries = state
        .membership
        .other_zones()
        .filter_map(|(_, zone)| zone.summary());
    let delegates = summaries.filter_map(|summary| summary.delegates.first());
    delegates.map(|delegate| delegate.name.clone()).collect()
}
