//! The reducer of all events of an entry host.
//!
//! It connects the reducers of the modules: each submodule executes the effects of one
//! module, by events to other modules or by effects that the daemon has to execute.

mod accounts;
mod choice;
mod claims;
mod crash_marks;
mod dispatch;
mod limits;
mod membership;
mod observations;
mod orders;
mod peers;
mod requests;
mod settings;
mod settlement;
mod streams;
mod targets;

use crate::effect::Effect;
use crate::event::Event;
use crate::membership::ListedHost;
use crate::state::State;
use crate::timeline::{Entry, RecordKind};

/// Applies one event and appends the effects that the daemon has to execute.
///
/// `now_ms` is in milliseconds since the Unix epoch and must not decrease while the process
/// runs.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    if state.freshness.detect_pause(now_ms) {
        observations::make_all_due(state, now_ms);
    }
    match event {
        Event::Tick => tick(state, now_ms, effects),
        Event::Request(event) => requests::apply(state, now_ms, event, effects),
        Event::Progressed { generation, tokens } => {
            let event =
                crate::accounts::Event::GenerationProgressed { generation, tokens };
            accounts::apply(state, now_ms, event, effects);
        }
        Event::Claims(event) => claims::apply(state, now_ms, event, effects),
        Event::Dissemination(event) => settings::apply(state, now_ms, event, effects),
        Event::Received(envelope) => peers::receive(state, now_ms, *envelope, effects),
        Event::Undelivered { to } => {
            peers::notify_undelivered(state, now_ms, to, effects)
        }
        Event::HostListRead {
            hosts,
            leaving_targets,
        } => {
            apply_host_list(state, now_ms, hosts, effects);
            targets::apply_listed_leaving(state, now_ms, leaving_targets, effects);
        }
        Event::TargetObserved {
            target,
            requested_ms,
            observation,
        } => observations::apply_observation(
            state,
            now_ms,
            target,
            requested_ms,
            observation,
            effects,
        ),
        Event::Streams(event) => streams::apply(state, now_ms, event, effects),
        Event::Orders(event) => orders::apply(state, now_ms, event, effects),
        Event::Drain => drain(state, now_ms, effects),
    }
}

fn apply_host_list(
    state: &mut State,
    now_ms: u64,
    hosts: Vec<ListedHost>,
    effects: &mut Vec<Effect>,
) {
    let zone = &state.identity.zone;
    let in_zone = hosts
        .iter()
        .filter(|host| host.zone == *zone && !host.is_leaving);
    state.listed_hosts = Some(in_zone.map(|host| host.name.clone()).collect());
    let event = crate::membership::Event::HostListRead { hosts };
    membership::apply(state, now_ms, event, effects);
    limits::notify_hosts_changed(state, now_ms, effects);
}

fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.freshness.record_tick(now_ms);
    membership::apply(state, now_ms, crate::membership::Event::Tick, effects);
    settings::apply(state, now_ms, crate::dissemination::Event::Tick, effects);
    targets::apply(state, now_ms, crate::targets::Event::Tick, effects);
    crash_marks::apply(state, now_ms, crate::crash_marks::Event::Tick, effects);
    claims::apply(state, now_ms, crate::claims::Event::Tick, effects);
    accounts::apply(state, now_ms, crate::accounts::Event::Tick, effects);
    limits::apply(state, now_ms, crate::limits::Event::Tick, effects);
    requests::apply(state, now_ms, crate::requests::Event::Tick, effects);
    streams::apply(state, now_ms, crate::streams::Event::Tick, effects);
    orders::apply(state, now_ms, crate::orders::Event::Tick, effects);
    orders::apply_hold(state, now_ms, crate::holds::Event::Tick, effects);
    observations::tick(state, now_ms, effects);
}

fn drain(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    if state.is_draining {
        return;
    }
    state.is_draining = true;
    state
        .timeline
        .record(now_ms, Entry::new(RecordKind::HostDraining));
    membership::apply(
        state,
        now_ms,
        crate::membership::Event::LeaveRequested,
        effects,
    );
    orders::notify_lease_candidate(state, now_ms, effects);
}
