//! Effects of membership: homes move, and every concern learns of it.

use super::{accounts, limits, orders, peers, settings, targets};
use crate::effect::Effect;
use crate::homes::{HomeKey, ZoneRole};
use crate::membership::{self, Host, Status};
use crate::prelude::*;
use crate::settings::TargetClass;
use crate::state::State;
use crate::timeline::{Entry, RecordKind};

/// Applies an event of membership.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: membership::Event,
    effects: &mut Vec<Effect>,
) {
    let mut wanted = Vec::new();
    membership::reduce(&mut state.membership, now_ms, event, &mut wanted);
    for effect in wanted {
        carry_out(state, now_ms, effect, effects);
    }
}

fn carry_out(
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
            status_changed(state, now_ms, &host, status, effects);
        }
        membership::Effect::LiveHostsChanged { version } => {
            live_hosts_changed(state, now_ms, version, effects);
        }
        membership::Effect::Refuted { incarnation } => {
            let entry = Entry::new(RecordKind::HostSuspected)
                .field("incarnation", incarnation.0)
                .reason("this host refuted a statement about itself");
            state.timeline.record(now_ms, entry);
            limits::apply(state, now_ms, crate::limits::Event::DeclaredDead, effects);
        }
        membership::Effect::ZoneReachable { zone, reachable } => {
            let kind = if reachable {
                RecordKind::ZoneBack
            } else {
                RecordKind::ZoneCut
            };
            let entry = Entry::new(kind)
                .field("zone", zone.as_str())
                .field("reachable", reachable)
                .reason("another zone changed its reachability");
            state.timeline.record(now_ms, entry);
            tell_spread(state, now_ms, effects);
        }
    }
}

fn status_changed(
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
    limits::tell_hosts(state, now_ms, effects);
    if status == Status::Dead {
        let event = crate::accounts::Event::HostLost {
            host: host.name.clone(),
        };
        accounts::apply(state, now_ms, event, effects);
    }
}

fn live_hosts_changed(
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
    let peers = other_hosts(state);
    let event = crate::targets::Event::Hosts { peers };
    targets::apply(state, now_ms, event, effects);
    tell_accounts(state, now_ms, effects);
    tell_spread(state, now_ms, effects);
    orders::tell_candidate(state, now_ms, effects);
    limits::tell_hosts(state, now_ms, effects);
}

/// Tells the accounts who is home of each engine of the zone.
pub(super) fn tell_accounts(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
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

/// Tells the spreading of settings whom to talk to, and whether this host is the reader.
pub(super) fn tell_spread(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let host = state.identity.host.clone();
    let reader = HomeKey::Role(ZoneRole::SettingsReader);
    let event = crate::spread::Event::Peers {
        zone: other_hosts(state),
        other_zones: delegates_elsewhere(state),
        is_reader: state.homes.is_home(&reader, &host),
    };
    settings::apply(state, now_ms, event, effects);
}

/// Returns the other live hosts of the zone.
pub(super) fn other_hosts(state: &State) -> Vec<HostName> {
    let own = &state.identity.host;
    let others = state
        .membership
        .live_hosts()
        .filter(|host| host.name != *own);
    others.map(|host| host.name.clone()).collect()
}

/// Returns one delegate of each other zone that is heard of.
pub(super) fn delegates_elsewhere(state: &State) -> Vec<HostName> {
    let summaries = state
        .membership
        .other_zones()
        .filter_map(|(_, zone)| zone.summary());
    let delegates = summaries.filter_map(|summary| summary.delegates.first());
    delegates.map(|delegate| delegate.name.clone()).collect()
}
