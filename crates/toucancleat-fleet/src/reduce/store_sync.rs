//! Synchronises the configuration and the host list with the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use toucancleat_core::prelude::*;

use super::{cold, evacuation, messages, transitions};
use crate::configuration::Configuration;
use crate::configuration_change::ConfigurationChange;
use crate::evacuation::EvacuationRows;
use crate::event::{Effect, LogEvent};
use crate::peers::Update;
use crate::state::{Registration, State};
use crate::store::{
    CHANGES_PER_MESSAGE_MAX, CHECK_RETRY_MS, CHECKED_ROW_MIN_BYTES, ConfigurationRow,
    EXPIRED_ENTRY_GRACE_MS, MISSED_CONFIGURATION_DELAY_MS,
    MISSED_CONFIGURATION_SPREAD_MS, MISSED_TARGETS_DELAY_MS, Query, READER_SILENCE_MS,
    READER_STAGGER_MS, RETRY_INTERVAL_MAX_MS, ROW_AT_RISK_MS, Reply, STORE_ANSWERING_MS,
    StorePosition, StoredConfiguration,
};
use crate::target::{TargetChange, TargetEntry};

/// Starts the queries that are due.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.started_ms.get_or_insert(now_ms);
    state.update_store_trust(now_ms);
    update_reader_role(state, now_ms, effects);
    state
        .expired_entries
        .retain(|_, (_, since_ms)| now_ms < *since_ms + EXPIRED_ENTRY_GRACE_MS);
    state
        .departed_targets
        .retain(|_, departed| now_ms < departed.departed_ms + ROW_AT_RISK_MS);
    let behind_ms = time_behind_ms(state, now_ms);
    let has_missed_targets = state.lacks_target_changes()
        && behind_ms.is_some_and(|ms| ms >= MISSED_TARGETS_DELAY_MS);
    let configuration_delay_ms = MISSED_CONFIGURATION_DELAY_MS
        + state.identity.incarnation % MISSED_CONFIGURATION_SPREAD_MS;
    let has_missed_configuration = state.lacks_newest_configuration()
        && behind_ms.is_some_and(|ms| ms >= configuration_delay_ms);
    let lacks_targets = !state.directory.is_known();
    let lacks_configuration = state.configuration.is_none();
    let is_store_answering = state
        .query_schedule
        .success_age_ms(now_ms)
        .is_some_and(|age_ms| age_ms <= STORE_ANSWERING_MS);
    // One call shows whether the store answers this host.
    if (state.is_reader && is_store_answering) || has_missed_targets || lacks_targets {
        start_if_due(state, now_ms, Query::Targets, effects);
    }
    if state.is_reader || has_missed_configuration || lacks_configuration {
        let query = configuration_query(state, now_ms);
        start_if_due(state, now_ms, query, effects);
    }
    if evacuation::must_read(state, now_ms, configuration_query(state, now_ms)) {
        start_if_due(state, now_ms, Query::Evacuations, effects);
    }
    // In a new era of the store, feeds continue after the first list.
    let after = state.directory.known_position().version;
    let can_follow_feeds = is_store_answering && after > 0;
    if state.is_reader && can_follow_feeds && should_follow_feeds(state, now_ms) {
        start_if_due(state, now_ms, Query::TargetFeed { after }, effects);
        let after = state.query_schedule.configuration_feed_after();
        if after > 0 {
            start_if_due(state, now_ms, Query::ConfigurationFeed { after }, effects);
        }
    }
    if state.registration == Registration::Missing {
        start_if_due(state, now_ms, Query::Register, effects);
    }
    let has_no_live_peer = state.peers.live(now_ms).next().is_none();
    let has_unread_list = matches!(
        state.registration,
        Registration::Unknown | Registration::Written
    );
    if has_no_live_peer || has_unread_list {
        start_if_due(state, now_ms, Query::Hosts, effects);
    }
}

/// Returns the query that shows whether the configuration in force is the newest.
fn configuration_query(state: &State, now_ms: u64) -> Query {
    let is_long = |row: &ConfigurationRow| row.size_bytes >= CHECKED_ROW_MIN_BYTES;
    match state.configuration_row.filter(is_long) {
        Some(row) if now_ms >= state.may_check_from_ms => Query::ConfigurationCheck {
            row_version: row.version,
        },
        _ => Query::Configuration,
    }
}

/// Returns for how long this host has been behind its peers, in milliseconds, or `None` if it
/// isn't.
fn time_behind_ms(state: &mut State, now_ms: u64) -> Option<u64> {
    if !state.lacks_newest_configuration() && !state.lacks_target_changes() {
        state.behind_since_ms = None;
        return None;
    }
    let since_ms = *state.behind_since_ms.get_or_insert(now_ms);
    Some(now_ms.saturating_sub(since_ms))
}

/// Returns true if this host should follow the feeds.
///
/// It doesn't while the store fails: the queries of the lists detect that it answers
/// again. Nor does a host that is part of a fleet and has no live peer: it is most likely
/// isolated, possibly along with many others, each of which then reads the store. Lists
/// suffice for the few runs of one host.
///
/// A host that has just started waits until the other hosts that may be reading have been
/// heard. When a whole fleet starts, each host would otherwise follow the feeds and
/// broadcast every change until then.
fn should_follow_feeds(state: &State, now_ms: u64) -> bool {
    let has_live_peer = state.peers.live(now_ms).next().is_some();
    let started_ms = state.started_ms.unwrap_or(now_ms);
    let has_heard_peers = now_ms >= started_ms + state.peers.interval_ms();
    state.query_schedule.failures() == 0
        && ((has_live_peer && has_heard_peers) || state.peers.fleet_size() == 1)
}

fn update_reader_role(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let own = &state.identity.host;
    if state.peers.has_other_reader(now_ms, own, state.is_reader) {
        state.readerless_since_ms = None;
        // The store answers again, so this host has its usual turn if that reader goes.
        state.may_read_from_ms = 0;
        return set_reader_role(state, now_ms, false, effects);
    }
    let has_live_peer = state.peers.live(now_ms).next().is_some();
    if state.is_reader || (has_live_peer && now_ms < state.may_read_from_ms) {
        return;
    }
    let silence_ms = state
        .peers
        .live(now_ms)
        .filter_map(|(_, peer)| {
            let age_ms = peer.last_message.store_age_ms?;
            Some(age_ms + now_ms.saturating_sub(peer.received_ms))
        })
        .min()
        .unwrap_or(u64::MAX);
    if silence_ms < 2 * READER_SILENCE_MS {
        state.readerless_since_ms = None;
        return;
    }
    // N.B. turns count from the moment at which this host missed a reader. Counted from the
    // last answer of the store to any live peer, all turns would have passed when the peers
    // of a zone that was cut off are no longer live.
    let since_ms = *state.readerless_since_ms.get_or_insert(now_ms);
    let live_before = state.peers.live_before(now_ms, own);
    let turn = if has_live_peer { 1 + live_before } else { 0 };
    if now_ms >= since_ms + turn * READER_STAGGER_MS {
        set_reader_role(state, now_ms, true, effects);
    }
}

fn set_reader_role(
    state: &mut State,
    now_ms: u64,
    is_reader: bool,
    effects: &mut Vec<Effect>,
) {
    if is_reader != state.is_reader {
        state.is_reader = is_reader;
        effects.push(Effect::Log(LogEvent::ReaderRoleChanged {
            is_reader,
            live_peers: state.peers.live(now_ms).count(),
        }));
    }
}

/// Gives up the role of the reader if the store doesn't answer this host, until the other
/// live hosts have had their turn.
///
/// The store may refuse some hosts and answer others, so each host has to try. If those that
/// have failed kept trying, all hosts would soon be calling a store that is down.
fn yield_reader_role(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let live_peers = state.peers.live(now_ms).count() as u64;
    let is_answered = state
        .query_schedule
        .success_age_ms(now_ms)
        .is_some_and(|age_ms| age_ms <= READER_SILENCE_MS);
    if !state.is_reader || live_peers == 0 || is_answered {
        return;
    }
    let turn_ms = (READER_STAGGER_MS * live_peers).max(RETRY_INTERVAL_MAX_MS);
    state.may_read_from_ms = now_ms + turn_ms;
    set_reader_role(state, now_ms, false, effects);
}

fn start_if_due(state: &mut State, now_ms: u64, query: Query, effects: &mut Vec<Effect>) {
    if state.query_schedule.start(now_ms, query) {
        effects.push(Effect::QueryStore(query));
    }
}

/// What the store has answered to a query.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) era: Option<u64>,
    pub(super) evacuations: Option<EvacuationRows>,
    pub(super) reply: Reply,
}

/// Handles the answer to a query.
pub(super) fn handle_reply(
    state: &mut State,
    now_ms: u64,
    query: Query,
    answer: Answer,
    effects: &mut Vec<Effect>,
) {
    let Answer {
        era,
        evacuations,
        reply,
    } = answer;
    let succeeded = reply != Reply::Failed;
    let was_failing = state.query_schedule.failures() > 0;
    if !succeeded {
        state.lapsed_entries.record_failure();
    }
    let started_ms = state.query_schedule.end(now_ms, query, succeeded);
    if succeeded == was_failing {
        effects.push(Effect::Log(LogEvent::StoreAvailabilityChanged {
            is_available: succeeded,
            query,
        }));
    }
    let era = era.unwrap_or(state.store_era);
    enter_era(state, now_ms, era, effects);
    if era < state.store_era && started_ms <= state.era_since_ms {
        // The store has answered as it was before it returned to a copy.
        state.query_schedule.make_due(now_ms, query);
        return tick(state, now_ms, effects);
    }
    if let Some(rows) = evacuations {
        evacuation::handle_rows(state, now_ms, started_ms, &rows, effects);
    }
    match reply {
        Reply::Configuration(configuration) => {
            let Some(stored) = configuration else {
                return;
            };
            let is_newest = state
                .configuration
                .as_ref()
                .is_none_or(|known| known.version <= stored.configuration.version);
            adopt_and_broadcast(state, now_ms, stored, effects);
            if is_newest {
                confirm_configuration(state, started_ms);
            }
        }
        Reply::ConfigurationUnchanged => {
            // The configuration may have been replaced by a change of a peer meanwhile.
            let checked_row = state.configuration_row.map(|row| row.version);
            if let Query::ConfigurationCheck { row_version } = query
                && checked_row == Some(row_version)
            {
                confirm_configuration(state, started_ms);
            }
        }
        Reply::ConfigurationFeed {
            store_version,
            configuration,
        } => {
            state
                .query_schedule
                .advance_configuration_feed(store_version);
            if let Some(stored) = configuration
                && adopt_and_broadcast(state, now_ms, stored, effects)
            {
                confirm_configuration(state, started_ms);
            }
        }
        Reply::InvalidConfiguration {
            store_version,
            problem,
        } => {
            state
                .query_schedule
                .advance_configuration_feed(store_version);
            reject_configuration(state, problem, effects);
        }
        Reply::Targets {
            store_version,
            mut list,
        } => {
            state
                .query_schedule
                .advance_configuration_feed(store_version);
            let is_first = !state.directory.is_known();
            hold_back_departed(state, &mut list);
            cold::record_changes(state, now_ms, state.store_era, &list, effects);
            // N.B. afterwards, since the entries that are kept are of an earlier time.
            keep_lapsed(state, now_ms, store_version, &mut list);
            let position = current_position(state, store_version);
            let transitions = state.directory.replace_all(position, &mut list);
            let targets = state.directory.iter().count();
            state.query_schedule.set_target_count(targets);
            if is_first {
                effects.push(Effect::Log(LogEvent::TargetsListed {
                    targets,
                    store_version,
                }));
            } else {
                transitions::log(state, &transitions, effects);
                if state.is_reader {
                    broadcast_changes(state, now_ms, &list, effects);
                }
            }
            transitions::apply(state, now_ms, transitions, effects);
            state.confirm_host_list(started_ms);
        }
        Reply::TargetFeed {
            store_version,
            mut changes,
        } => {
            let position = current_position(state, store_version);
            hold_back_removals(state, now_ms, &mut changes);
            cold::record_changes(state, now_ms, position.era, &changes, effects);
            let transitions = state.directory.apply_changes(position, &mut changes);
            broadcast_changes(state, now_ms, &changes, effects);
            transitions::log(state, &transitions, effects);
            transitions::apply(state, now_ms, transitions, effects);
            state.confirm_host_list(started_ms);
            tick(state, now_ms, effects);
        }
        Reply::Evacuations => {}
        Reply::HistoryExpired => {
            state.query_schedule.make_due(now_ms, Query::Targets);
            state.query_schedule.make_due(now_ms, Query::Configuration);
            // N.B. the list that is read next returns the version from which the feeds
            // continue.
            tick(state, now_ms, effects);
        }
        Reply::Hosts(addresses) => {
            state.peers.record_listed_hosts(addresses.len());
            handle_listed_hosts(state, now_ms, &addresses);
            state.update_store_trust(now_ms);
        }
        Reply::Registered => {
            state.registration = Registration::Written;
            state.registered_ms = Some(now_ms);
            state.query_schedule.make_due(now_ms, Query::Hosts);
        }
        Reply::Failed => {
            if matches!(query, Query::ConfigurationCheck { .. }) {
                state.may_check_from_ms = now_ms + CHECK_RETRY_MS;
            }
            yield_reader_role(state, now_ms, effects);
        }
    }
}

fn current_position(state: &State, version: u64) -> StorePosition {
    StorePosition {
        era: state.store_era,
        version,
    }
}

/// Enters an era of the store if it is later than the known one.
///
/// What is known is kept, but no position of the era before says anything about the new one.
/// Only the reader reads the store again. The other hosts compare digests with it.
pub(super) fn enter_era(
    state: &mut State,
    now_ms: u64,
    era: u64,
    effects: &mut Vec<Effect>,
) {
    if era <= state.store_era {
        return;
    }
    // A host that has just started learns the era with the first answer.
    if state.directory.is_known() {
        effects.push(Effect::Log(LogEvent::StoreEraChanged {
            era,
            era_before: state.store_era,
        }));
        // Peers would take the changes of the new era for old ones.
        state.must_broadcast = true;
    }
    state.store_era = era;
    state.era_since_ms = now_ms;
    state.directory.enter_era(era);
    state.query_schedule.reset_configuration_feed();
    state.configuration_row = None;
    state.query_schedule.make_due(now_ms, Query::Targets);
    state.query_schedule.make_due(now_ms, Query::Configuration);
    state.query_schedule.make_due(now_ms, Query::Evacuations);
    let is_row_at_risk = state
        .registered_ms
        .is_some_and(|at_ms| now_ms < at_ms + ROW_AT_RISK_MS);
    if is_row_at_risk {
        state.registration = Registration::Unknown;
        state.query_schedule.make_due(now_ms, Query::Hosts);
    }
}

/// Removes from a list, or the changes of a peer, the targets that had left before the store
/// returned to a copy, until their rows are written again: after the first list of the era,
/// which targets that are still running do with each heartbeat.
pub(super) fn hold_back_departed(state: &mut State, list: &mut Vec<TargetChange>) {
    let departed_targets = &mut state.departed_targets;
    let listed_version = state.directory.known_position().version;
    let era_since_ms = state.era_since_ms;
    list.retain(|change| {
        let Some(entry) = &change.entry else {
            return true;
        };
        let Some(departed) = departed_targets.get(&change.target) else {
            return true;
        };
        let is_of_this_era = departed.departed_ms > era_since_ms;
        let has_restarted = entry.started_unix_ms != departed.started_unix_ms;
        if is_of_this_era || has_restarted || entry.is_leaving {
            return true;
        }
        if listed_version > 0 && change.store_version > listed_version {
            departed_targets.swap_remove(&change.target);
            return true;
        }
        false
    });
}

/// Returns true if a target counts as running though its entry may be missing: it took requests
/// before the store was away, and hasn't said since that it is leaving.
fn was_accepting(state: &State, target: &TargetName) -> bool {
    let entry = state.directory.get(target);
    entry.is_some_and(|entry| !entry.is_leaving)
        && !state.target_notices.get(target).is_leaving
}

/// Keeps entries in a list from which they are missing since they expired while the store was
/// away.
fn keep_lapsed(
    state: &mut State,
    now_ms: u64,
    store_version: u64,
    list: &mut Vec<TargetChange>,
) {
    let mut listed = IndexSet::new();
    for change in list.iter() {
        state.lapsed_entries.record_listed(&change.target);
        listed.insert(change.target.clone());
    }
    let superseded = superseded_by(state, list);
    for target in &superseded {
        state.lapsed_entries.record_listed(target);
        listed.insert(target.clone());
    }
    let known = state.directory.iter().map(|(target, _)| target);
    let missing =
        known.filter(|target| !listed.contains(*target) && was_accepting(state, target));
    let missing: Vec<TargetName> = missing.cloned().collect();
    state.lapsed_entries.record_missing(now_ms, missing);
    let kept = state
        .directory
        .iter()
        .filter(|(target, _)| state.lapsed_entries.contains(target));
    list.extend(kept.map(|(target, entry)| TargetChange {
        target: target.clone(),
        store_version,
        entry: Some(entry.clone()),
    }));
}

/// Returns the known targets whose addresses belong to other targets now. What is sent to one of
/// them reaches the other.
fn superseded_by(state: &State, changes: &[TargetChange]) -> Vec<TargetName> {
    let entries = changes.iter().filter_map(|change| {
        let entry = change.entry.as_ref()?;
        Some((entry.address, &change.target))
    });
    let owners: IndexMap<SocketAddr, &TargetName> = entries.collect();
    let is_superseded = |target: &TargetName, entry: &TargetEntry| {
        let owner = owners.get(&entry.address);
        owner.is_some_and(|owner| *owner != target)
    };
    let known = state.directory.iter();
    known
        .filter(|(target, entry)| is_superseded(target, entry))
        .map(|(target, _)| target.clone())
        .collect()
}

/// Drops the removals of such entries from changes of the host list. The first list after the
/// grace has those that stay removed.
fn hold_back_removals(state: &mut State, now_ms: u64, changes: &mut Vec<TargetChange>) {
    let removed = changes
        .iter()
        .filter(|change| change.entry.is_none() && was_accepting(state, &change.target));
    let removed: Vec<TargetName> = removed.map(|change| change.target.clone()).collect();
    state.lapsed_entries.record_missing(now_ms, removed);
    for change in changes.iter().filter(|change| change.entry.is_some()) {
        state.lapsed_entries.record_listed(&change.target);
    }
    changes.retain(|change| {
        change.entry.is_some() || !state.lapsed_entries.contains(&change.target)
    });
    if state.lapsed_entries.is_open() {
        let store_version = changes.iter().map(|change| change.store_version).max();
        for target in superseded_by(state, changes) {
            state.lapsed_entries.record_listed(&target);
            changes.push(TargetChange {
                target,
                store_version: store_version.unwrap_or_default(),
                entry: None,
            });
        }
    }
}

/// Broadcasts changes of the host list.
///
/// What a reader finds in the complete list is broadcast as well. A host that takes over has
/// missed changes, and hosts that the store doesn't answer learn of them from peers only.
fn broadcast_changes(
    state: &mut State,
    now_ms: u64,
    changes: &[TargetChange],
    effects: &mut Vec<Effect>,
) {
    for part in changes.chunks(CHANGES_PER_MESSAGE_MAX) {
        let update = Update::Targets(part.to_vec());
        messages::broadcast(state, now_ms, Some(update), effects);
    }
}

/// Adds the listed hosts, and announces this host to those that are new.
fn handle_listed_hosts(state: &mut State, now_ms: u64, addresses: &[SocketAddr]) {
    let own_address = state.identity.address;
    let is_listed = addresses.contains(&own_address);
    state.registration = match state.registration {
        _ if is_listed => Registration::Listed,
        Registration::Unknown => Registration::Missing,
        known => known,
    };
    let mut has_new_host = false;
    for address in addresses {
        has_new_host |= state.peers.add_candidate(now_ms, own_address, *address);
    }
    if has_new_host {
        messages::announce(state, now_ms);
    }
}

/// Puts a configuration that was read from the store in force if it is newer, and returns
/// true if it was.
///
/// Only the reader broadcasts what it changes, and only if it replaces another: many hosts
/// may start, or read a change that they missed, at the same time, and each would send it to
/// all.
fn adopt_and_broadcast(
    state: &mut State,
    now_ms: u64,
    stored: StoredConfiguration,
    effects: &mut Vec<Effect>,
) -> bool {
    let before = state.configuration.clone();
    let version = stored.configuration.version;
    let is_newer = adopt_configuration(state, stored.configuration, effects);
    let known = state.configuration.as_ref().map(|known| known.version);
    state.configuration_row = (known == Some(version)).then_some(stored.row);
    if is_newer
        && state.is_reader
        && let (Some(before), Some(after)) = (before, &state.configuration)
    {
        // Without an update the message still tells the peers that there is a new version.
        let update = ConfigurationChange::between(&before, after);
        let update = update.map(|change| Update::Configuration(Box::new(change)));
        messages::broadcast(state, now_ms, update, effects);
    }
    is_newer
}

/// Keeps the last valid configuration in force.
///
/// It isn't confirmed: the one that can't be decoded may have withdrawn a key. So requests
/// with a key are refused once the bound of revocation has passed.
fn reject_configuration(state: &mut State, problem: String, effects: &mut Vec<Effect>) {
    if state.configuration_problem.as_ref() == Some(&problem) {
        return;
    }
    effects.push(Effect::Log(LogEvent::ConfigurationRejected {
        kept_version: state.configuration.as_ref().map(|known| known.version),
        problem: problem.clone(),
    }));
    state.configuration_problem = Some(problem);
}

/// Puts a configuration in force if it is newer, and returns true if it was.
pub(super) fn adopt_configuration(
    state: &mut State,
    configuration: Configuration,
    effects: &mut Vec<Effect>,
) -> bool {
    let is_newer = state
        .configuration
        .as_ref()
        .is_none_or(|known| known.version < configuration.version);
    if is_newer {
        let configuration = Arc::new(configuration);
        state.configuration = Some(configuration.clone());
        state.configuration_row = None;
        state.configuration_problem = None;
        effects.push(Effect::ApplyConfiguration(configuration));
    }
    is_newer
}

/// Records that the configuration in force was the newest at a time.
///
/// N.B. the store may have returned to a copy. It then says so of a configuration that it has replaced before,
/// as long as peers know a newer one.
pub(super) fn confirm_configuration(state: &mut State, at_ms: u64) {
    if state.lacks_newest_configuration() {
        return;
    }
    state.configuration_confirmed_ms = Some(
        state
            .configuration_confirmed_ms
            .map_or(at_ms, |known| known.max(at_ms)),
    );
}
