//! Sends messages to peers and handles those received from them.

use toucancleat_core::prelude::*;

use super::crashes::log_part_changes;
use super::requests::retry_bound;
use super::{cold, contention, evacuation, notices, store_sync, transitions, watch};
use crate::budget::CountsReport;
use crate::event::{Effect, LogEvent};
use crate::peers::{
    ANNOUNCEMENT_SPREAD_PER_HOST_MS, Message, Predecessor, Recipient, Update,
    earliest_send_ms,
};
use crate::poison_parts::PartScope;
use crate::request::Fingerprint;
use crate::state::{State, random_unit};
use crate::store::{READER_SILENCE_MS, StorePosition};

/// Sends the periodic messages that are due.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.peers.expire(now_ms);
    let zone = state.identity.zone.clone();
    let zone_interval_ms = state.peers.zone_interval_ms(&zone);
    let is_due =
        now_ms.saturating_sub(state.last_broadcast_ms) >= state.peers.interval_ms();
    // Freed memory stays unused until peers have received the lower load. It is sent at the
    // next tick, so that many streams that end at once, as in a network partition, cause a
    // single message.
    let must_announce = state.announce_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
    if is_due || must_announce || state.has_unsent_load || state.must_broadcast {
        broadcast(state, now_ms, None, effects);
    } else if now_ms.saturating_sub(state.last_zone_send_ms) >= zone_interval_ms
        || state.contention.has_unsent_demand
    {
        let recipients = recipients(state, now_ms, Some(&zone));
        send(state, now_ms, recipients, None, effects);
    }
}

/// Schedules a message to all peers before the next periodic one, which may be a second away.
///
/// Hosts that start together would otherwise all send to the same host in the same
/// millisecond, and most of the messages would find its socket full.
pub(super) fn announce(state: &mut State, now_ms: u64) {
    let spread_ms = state.peers.fleet_size() as u64 * ANNOUNCEMENT_SPREAD_PER_HOST_MS;
    let delay_ms = random_unit(&mut state.rng_state) * spread_ms as f64;
    state.announce_at_ms.get_or_insert(now_ms + delay_ms as u64);
}

/// Sends a message to all peers.
pub(super) fn broadcast(
    state: &mut State,
    now_ms: u64,
    update: Option<Update>,
    effects: &mut Vec<Effect>,
) {
    state.last_broadcast_ms = now_ms;
    state.announce_at_ms = None;
    state.has_unsent_load = false;
    state.must_broadcast = false;
    let started_ms = state.started_ms.unwrap_or(now_ms);
    let window_ms = state.config.retry_window_ms;
    state.retry_budget.expire(now_ms, window_ms, started_ms);
    let recipients = recipients(state, now_ms, None);
    send(state, now_ms, recipients, update, effects);
    state.retry_budget.record_broadcast();
}

fn recipients(state: &State, now_ms: u64, zone: Option<&ZoneName>) -> Vec<Recipient> {
    let window_ms = state.config.retry_window_ms;
    state.peers.recipients(now_ms, zone, |host| {
        let retries = state.retry_budget.predecessor_of(now_ms, window_ms, host);
        Predecessor {
            retries: retries.cloned(),
            interruptions: Vec::new(),
        }
    })
}

fn send(
    state: &mut State,
    now_ms: u64,
    recipients: Vec<Recipient>,
    update: Option<Update>,
    effects: &mut Vec<Effect>,
) {
    state.last_zone_send_ms = now_ms;
    state.contention.has_unsent_demand = false;
    if recipients.is_empty() {
        return;
    }
    state.address_sample_offset = state.address_sample_offset.wrapping_add(1);
    let loads = state.own_loads.iter().filter(|(_, load)| load.runs > 0);
    let bound = retry_bound(state, now_ms);
    let counts = state.retry_budget.own_counts(now_ms, bound);
    let message = Message {
        from: state.identity.host.clone(),
        incarnation: state.identity.incarnation,
        zone: state.identity.zone.clone(),
        address: state.identity.address,
        sent_ms: now_ms,
        is_stopping: state.stopping_since_ms.is_some(),
        configuration_version: state.configuration.as_ref().map(|known| known.version),
        configuration_age_ms: state.configuration_age_ms(now_ms),
        host_list_version: state.directory.known_position().version,
        host_list_digest: state.directory.digest(),
        store_age_ms: reader_store_age_ms(state, now_ms),
        loads: loads
            .map(|(target, load)| (target.clone(), *load))
            .collect(),
        retry_counts: counts.into_iter().collect(),
        interruptions: own_crash_counts(state, now_ms),
        echo: None,
        notices: state.target_notices.own_reports(now_ms),
        store_era: state.store_era,
        version_digest: Some(state.directory.version_digest()),
        part_reports: state.poison_parts.own_reports(now_ms),
        request_reports: state.poison_requests.own_reports(now_ms),
        path_reports: state.pool_paths.reports(now_ms),
        brittle_reports: state.brittle_targets.own_reports(now_ms),
        evacuations: state.evacuations.report(now_ms),
        cold_reports: state.cold_targets.own_reports(now_ms),
        demand: contention::own_report(state, now_ms),
        heeds_confinement: true,
        watch: Some(watch::own_report(state, now_ms)),
        has_retry_history: state.retry_budget.has_history(),
        is_exiting: state.retry_budget.is_closed(),
        predecessor: Predecessor::default(),
        addresses: state.peers.sample_addresses(state.address_sample_offset),
        update,
    };
    effects.push(Effect::Send {
        recipients,
        message: Box::new(message),
    });
}

/// Returns the time since the store last answered this host, if it reads the store for all.
///
/// N.B. a host that has missed a change reads the host list for itself. If it counted as a reader,
/// the reader would give up its role, and nobody would read the configuration.
fn reader_store_age_ms(state: &State, now_ms: u64) -> Option<u64> {
    let age_ms = state.query_schedule.success_age_ms(now_ms);
    age_ms.filter(|_| state.is_reader)
}

/// Handles a message of a peer.
pub(super) fn handle_message(
    state: &mut State,
    now_ms: u64,
    message: Message,
    effects: &mut Vec<Effect>,
) {
    if message.address == state.identity.address {
        return;
    }
    store_sync::enter_era(state, now_ms, message.store_era, effects);
    evacuation::handle_report(state, now_ms, &message, effects);
    // An update is applied even if a later message has overtaken it.
    apply_update(state, now_ms, &message, effects);
    if state.peers.is_newest(&message) {
        if state.peers.live(now_ms).next().is_none() {
            state.joined_ms = Some(now_ms);
            state.update_store_trust(now_ms);
        }
        record_retry_counts(state, now_ms, &message, effects);
        record_crash_reports(state, now_ms, &message, effects);
        compare_versions(state, now_ms, &message, effects);
        notices::handle_reports(state, now_ms, &message, effects);
        cold::handle_reports(state, now_ms, &message, effects);
        watch::handle_peer_report(state, now_ms, &message, effects);
        state.contention.record_report(
            now_ms,
            &message.from,
            &message.zone,
            &message.demand,
        );
        state
            .peers
            .record_message(now_ms, state.identity.address, message);
    }
}

/// Records what a peer's host has used of the retry budget, and what the peer knows of the
/// processes of this host before this one.
fn record_retry_counts(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    let report = CountsReport {
        incarnation: message.incarnation,
        counts: message.retry_counts.iter().cloned().collect(),
        has_history: message.has_retry_history,
        is_final: message.is_exiting,
    };
    let window_ms = state.config.retry_window_ms;
    state.retry_budget.record_peer_counts(
        now_ms,
        window_ms,
        message.from.clone(),
        report,
    );
    if let Some(told) = message.predecessor.retries.as_ref()
        && is_for_this_process(state, message)
    {
        let had_history = state.retry_budget.has_history();
        state.retry_budget.inherit(told);
        if !had_history {
            effects.push(Effect::Log(LogEvent::RetriesInherited {
                from: message.from.clone(),
                is_final: told.is_final,
                retries: told.counts.iter().map(|(_, counts)| counts.retries).sum(),
            }));
        }
    }
}

/// Records what a peer has seen of requests that crash targets.
fn record_crash_reports(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    let (from, reports) = (&message.from, &message.part_reports);
    let changes = state.poison_parts.record_reports(now_ms, from, reports);
    log_part_changes(PartScope::Prompt, &changes, effects);
    let reports = &message.request_reports;
    let changes = state.poison_requests.record_reports(now_ms, from, reports);
    log_part_changes(PartScope::Request, &changes, effects);
}

/// Returns what hosts of earlier releases count of requests that crash targets.
fn own_crash_counts(state: &State, now_ms: u64) -> Vec<(Fingerprint, u32)> {
    let counts = state.poison_requests.own_crash_counts(now_ms).into_iter();
    counts.map(|(part, count)| (part.0, count)).collect()
}

/// Returns true if a peer had heard the present process of this host when it sent a message.
fn is_for_this_process(state: &State, message: &Message) -> bool {
    let echo = message.echo.as_ref();
    echo.is_some_and(|echo| echo.incarnation == state.identity.incarnation)
}

fn apply_update(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    match &message.update {
        Some(Update::Configuration(change)) => {
            let known = state.configuration.as_ref();
            // A host with another version reads the new one from the store.
            if let Some(configuration) = known.and_then(|known| change.apply(known)) {
                store_sync::adopt_configuration(state, configuration, effects);
            }
        }
        Some(Update::Targets(changes)) => {
            // N.B. changes are applied even if an earlier one was missed: it is better to
            // know at once that a target is leaving. The version is advanced only if the
            // list then has the sender's digest. Otherwise the missing change is read from
            // the store.
            let position = StorePosition {
                era: message.store_era,
                ..state.directory.known_position()
            };
            let mut changes = changes.clone();
            store_sync::hold_back_departed(state, &mut changes);
            cold::record_changes(state, now_ms, position.era, &changes, effects);
            let transitions = state.directory.apply_changes(position, &mut changes);
            transitions::log(state, &transitions, effects);
            transitions::apply(state, now_ms, transitions, effects);
            if has_same_host_list(state, message) {
                state.directory.advance_to(message.host_list_position());
            }
        }
        None => {}
    }
}

/// Confirms the host list if the sender knows the same one and has read it recently.
fn confirm_host_list(state: &mut State, now_ms: u64, message: &Message) {
    let store_age_ms = message
        .store_age_ms
        .filter(|age_ms| *age_ms <= READER_SILENCE_MS);
    let sent_ms = earliest_send_ms(message, state.identity.incarnation, now_ms);
    if let (Some(store_age_ms), Some(sent_ms)) = (store_age_ms, sent_ms) {
        state.confirm_host_list(sent_ms.saturating_sub(store_age_ms));
    }
}

/// Returns true if the sender knows the same host list as this host.
fn has_same_host_list(state: &State, message: &Message) -> bool {
    let own_version_digest = state.directory.version_digest();
    message.host_list_digest == state.directory.digest()
        && message
            .version_digest
            .is_none_or(|digest| digest == own_version_digest)
}

/// Takes the confirmation of the configuration back if peers know a newer one that this host can have missed:
/// it has confirmed the older one without them, possibly by a store that has returned to a copy.
fn distrust_older_configuration(
    state: &mut State,
    now_ms: u64,
    effects: &mut Vec<Effect>,
) {
    if !state.lacks_newest_configuration() || !state.is_joining(now_ms) {
        return;
    }
    if state.configuration_confirmed_ms.take().is_some() {
        effects.push(Effect::Log(LogEvent::ConfigurationDistrusted {
            known_version: state.configuration.as_ref().map(|known| known.version),
            newest_version: state.peer_versions.configuration,
        }));
    }
}

/// Compares the versions that the sender knows with those known here, and confirms the
/// configuration if the sender has confirmed the same version.
fn compare_versions(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    let newest_version = &mut state.peer_versions.configuration;
    *newest_version = (*newest_version).max(message.configuration_version);
    distrust_older_configuration(state, now_ms, effects);
    // N.B. the versions alone don't show whether a list was missed: two hosts that read the
    // same list at different times know it at different versions.
    if has_same_host_list(state, message) {
        state.directory.advance_to(message.host_list_position());
        confirm_host_list(state, now_ms, message);
    } else {
        let newest_list = &mut state.peer_versions.host_list;
        *newest_list = (*newest_list).max(message.host_list_position());
    }
    let own_version = state.configuration.as_ref().map(|known| known.version);
    if message.configuration_version == own_version
        && let Some(age_ms) = message.configuration_age_ms
        && let Some(sent_ms) =
            earliest_send_ms(message, state.identity.incarnation, now_ms)
        && let Some(confirmed_ms) = sent_ms.checked_sub(age_ms)
    {
        store_sync::confirm_configuration(state, confirmed_ms);
    }
}
