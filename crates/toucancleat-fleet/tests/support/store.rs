//! A store with versions, feeds and eras, and a fleet of hosts that use it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use toucancleat_fleet::evacuation::{EvacuationRow, EvacuationRows};
use toucancleat_fleet::event::{Effect, LogEvent};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{LONG_POLL_MS, Query, Reply};
use toucancleat_fleet::target::{TargetChange, TargetEntry};

use super::*;

/// Time from a query to its reply, if the store doesn't hold it.
const REPLY_TIME_MS: u64 = 5;

/// Time between two ticks of the hosts.
const TICK_MS: u64 = 25;

/// The rows of the store, of which a copy can be made.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    pub version: u64,
    /// Version of the configuration, and the store's version of its row.
    pub configuration: (u64, u64),
    /// Size of the configuration's row, in bytes.
    pub configuration_bytes: usize,
    pub targets: IndexMap<String, TargetChange>,
    /// The version of each evacuated zone's row, and whether it is there or was removed.
    pub evacuations: IndexMap<String, (u64, bool)>,
    pub hosts: IndexMap<SocketAddr, u64>,
}

impl Rows {
    /// Writes an entry of the host list, or removes it.
    pub fn write_target(&mut self, target: &str, entry: Option<TargetEntry>) {
        self.version += 1;
        let change = change(target, self.version, entry);
        self.targets.insert(target.to_owned(), change);
    }

    /// Evacuates a zone or takes it back.
    pub fn write_evacuation(&mut self, zone: &str, is_evacuated: bool) {
        self.version += 1;
        let row = (self.version, is_evacuated);
        self.evacuations.insert(zone.to_owned(), row);
    }

    /// Writes a version of the configuration.
    pub fn write_configuration(&mut self, version: u64) {
        self.version += 1;
        self.configuration = (version, self.version);
    }

    /// Writes each entry of the host list again, as the targets do with each heartbeat.
    pub fn beat(&mut self, except: &[&str]) {
        let targets: Vec<_> = self.targets.values().cloned().collect();
        for target in targets {
            let name = target.target.as_str();
            if target.entry.is_some() && !except.contains(&name) {
                self.write_target(name, target.entry.clone());
            }
        }
    }
}

/// A reply that is on its way to a host.
struct PendingReply {
    due_ms: u64,
    host: usize,
    query: Query,
    era: Option<u64>,
    evacuations: Option<EvacuationRows>,
    reply: Reply,
}

/// Hosts whose queries are answered by a store and whose messages arrive at once.
pub struct StoreFleet {
    pub hosts: Vec<State>,
    pub now_ms: u64,
    pub rows: Rows,
    pub era: u64,
    /// Whether the store answers.
    pub is_up: bool,
    /// Time from a query to its reply, if the store doesn't hold it.
    pub reply_time_ms: u64,
    /// Hosts that the store refuses.
    pub refused: IndexSet<usize>,
    /// Hosts that neither receive messages nor are heard.
    pub isolated: IndexSet<usize>,
    /// Whether each second message is lost.
    pub loses_messages: bool,
    /// Whether the store answers conditional calls.
    pub answers_checks: bool,
    /// Whether feeds are answered without changes.
    pub silent_feeds: bool,
    /// Number of calls so far, by query.
    pub calls: IndexMap<&'static str, usize>,
    /// Log records so far, with the host.
    pub records: Vec<(usize, LogEvent)>,
    /// Configuration of the hosts.
    config: FleetConfig,
    sent_messages: usize,
    replies: VecDeque<PendingReply>,
    held_feeds: Vec<(u64, usize, Query)>,
}

impl StoreFleet {
    /// Starts hosts and waits until they know each other and the store's rows.
    pub fn new(size: u16, zones: &[&str], targets: &[(&str, TargetEntry)]) -> Self {
        StoreFleet::with_config(size, zones, targets, default_config())
    }

    /// Starts hosts with a configuration in the same way.
    pub fn with_config(
        size: u16,
        zones: &[&str],
        targets: &[(&str, TargetEntry)],
        config: FleetConfig,
    ) -> Self {
        let zone_of = |n: u16| zones[usize::from(n - 1) % zones.len()];
        let mut rows = Rows::default();
        rows.write_configuration(1);
        for (name, entry) in targets {
            rows.write_target(name, Some(entry.clone()));
        }
        let mut fleet = StoreFleet {
            hosts: (1..=size)
                .map(|n| {
                    host_with(&format!("host-{n:02}"), zone_of(n), n, config.clone())
                })
                .collect(),
            now_ms: START_MS,
            rows,
            era: 1,
            is_up: true,
            reply_time_ms: REPLY_TIME_MS,
            refused: IndexSet::new(),
            isolated: IndexSet::new(),
            loses_messages: false,
            config,
            sent_messages: 0,
            answers_checks: true,
            silent_feeds: false,
            calls: IndexMap::new(),
            records: Vec::new(),
            replies: VecDeque::new(),
            held_feeds: Vec::new(),
        };
        fleet.advance(6_000);
        fleet
    }

    /// Lets the store return to a copy of its rows.
    pub fn return_to(&mut self, copy: &Rows) {
        self.rows = copy.clone();
        self.era += 1;
    }

    /// Replaces a host by one that has just started under its name.
    pub fn restart(&mut self, index: usize) {
        self.restart_with(index, self.config.clone());
    }

    /// Replaces a host in the same way, with settings of its own.
    pub fn restart_with(&mut self, index: usize, config: FleetConfig) {
        let zone = self.hosts[index].zone().to_string();
        let number = index as u16 + 1;
        let name = format!("host-{number:02}");
        self.hosts[index] = host_with(&name, &zone, number, config);
        self.replies.retain(|reply| reply.host != index);
        self.held_feeds.retain(|(_, host, _)| *host != index);
    }

    /// Advances the clock.
    pub fn advance(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.release_feeds();
            self.deliver_replies();
            for index in 0..self.hosts.len() {
                self.apply(index, Event::Tick);
            }
        }
    }

    /// Applies an event at a host and executes its effects.
    pub fn apply(&mut self, index: usize, event: Event) -> Vec<Effect> {
        let effects = apply(&mut self.hosts[index], self.now_ms, event);
        for (to, message) in messages(&effects) {
            let to = usize::from(to.port()) - 1;
            self.sent_messages += 1;
            let is_lost = self.loses_messages && self.sent_messages.is_multiple_of(2);
            let is_cut = [index, to].iter().any(|host| self.isolated.contains(host));
            if to < self.hosts.len() && !is_lost && !is_cut {
                self.apply(to, Event::MessageReceived(Box::new(message)));
            }
        }
        for effect in &effects {
            match effect {
                Effect::QueryStore(query) => self.call(index, *query),
                Effect::Log(record) => self.records.push((index, record.clone())),
                _ => {}
            }
        }
        effects
    }

    fn call(&mut self, index: usize, query: Query) {
        *self.calls.entry(query.as_str()).or_default() += 1;
        if matches!(
            query,
            Query::TargetFeed { .. } | Query::ConfigurationFeed { .. }
        ) {
            self.held_feeds
                .push((self.now_ms + LONG_POLL_MS, index, query));
            return;
        }
        let reply = self.reply(index, query);
        self.push_reply(index, query, reply);
    }

    fn push_reply(&mut self, index: usize, query: Query, reply: Reply) {
        let is_answered = reply != Reply::Failed;
        self.replies.push_back(PendingReply {
            due_ms: self.now_ms + self.reply_time_ms,
            host: index,
            query,
            era: is_answered.then_some(self.era),
            evacuations: self.evacuations(query).filter(|_| is_answered),
            reply,
        });
    }

    fn evacuations(&self, query: Query) -> Option<EvacuationRows> {
        let (after, complete_at) = match query {
            Query::Configuration | Query::Evacuations => (0, Some(self.rows.version)),
            Query::ConfigurationFeed { .. } if self.silent_feeds => return None,
            Query::ConfigurationFeed { after } => (after, None),
            _ => return None,
        };
        let rows = self.rows.evacuations.iter();
        let rows = rows
            .filter(|(_, (version, _))| *version > after)
            .filter(|(_, (_, is_evacuated))| complete_at.is_none() || *is_evacuated)
            .map(|(zone, (version, is_evacuated))| EvacuationRow {
                zone: ZoneName::new(zone),
                store_version: *version,
                is_evacuated: *is_evacuated,
            });
        Some(EvacuationRows {
            complete_at,
            rows: rows.collect(),
        })
    }

    fn release_feeds(&mut self) {
        let now_ms = self.now_ms;
        let held = std::mem::take(&mut self.held_feeds);
        for (until_ms, index, query) in held {
            if now_ms >= until_ms || !self.is_up || self.has_news(query) {
                let reply = self.reply(index, query);
                self.push_reply(index, query, reply);
            } else {
                self.held_feeds.push((until_ms, index, query));
            }
        }
    }

    fn has_news(&self, query: Query) -> bool {
        match query {
            _ if self.silent_feeds => false,
            Query::TargetFeed { after } => {
                after > self.rows.version || !self.changes(after).is_empty()
            }
            Query::ConfigurationFeed { after } => {
                let mut evacuations = self.rows.evacuations.values();
                after > self.rows.version
                    || self.rows.configuration.1 > after
                    || evacuations.any(|(version, _)| *version > after)
            }
            _ => true,
        }
    }

    fn changes(&self, after: u64) -> Vec<TargetChange> {
        let mut changes: Vec<_> = self
            .rows
            .targets
            .values()
            .filter(|change| change.store_version > after)
            .cloned()
            .collect();
        changes.sort_by_key(|change| change.store_version);
        changes
    }

    fn reply(&mut self, index: usize, query: Query) -> Reply {
        let store_version = self.rows.version;
        let newest = StoredConfiguration {
            configuration: configuration(self.rows.configuration.0),
            row: ConfigurationRow {
                version: self.rows.configuration.1,
                size_bytes: self.rows.configuration_bytes,
            },
        };
        match query {
            _ if !self.is_up || self.refused.contains(&index) => Reply::Failed,
            Query::ConfigurationCheck { .. } if !self.answers_checks => Reply::Failed,
            Query::ConfigurationCheck { row_version }
                if row_version == self.rows.configuration.1 =>
            {
                Reply::ConfigurationUnchanged
            }
            Query::TargetFeed { .. } if self.silent_feeds => Reply::TargetFeed {
                store_version,
                changes: Vec::new(),
            },
            Query::ConfigurationFeed { .. } if self.silent_feeds => {
                Reply::ConfigurationFeed {
                    store_version,
                    configuration: None,
                }
            }
            Query::TargetFeed { after } | Query::ConfigurationFeed { after }
                if after > store_version =>
            {
                Reply::HistoryExpired
            }
            Query::Configuration | Query::ConfigurationCheck { .. } => {
                Reply::Configuration(Some(newest))
            }
            Query::ConfigurationFeed { after } => Reply::ConfigurationFeed {
                store_version,
                configuration: (self.rows.configuration.1 > after).then_some(newest),
            },
            Query::Evacuations => Reply::Evacuations,
            Query::Targets => {
                let mut list = self.changes(0);
                list.retain(|change| change.entry.is_some());
                Reply::Targets {
                    store_version,
                    list,
                }
            }
            Query::TargetFeed { after } => Reply::TargetFeed {
                store_version,
                changes: self.changes(after),
            },
            Query::Hosts => Reply::Hosts(self.rows.hosts.keys().copied().collect()),
            Query::Register => {
                self.rows.version += 1;
                let address = address(index as u16 + 1);
                self.rows.hosts.insert(address, self.rows.version);
                Reply::Registered
            }
        }
    }

    fn deliver_replies(&mut self) {
        while self
            .replies
            .front()
            .is_some_and(|reply| reply.due_ms <= self.now_ms)
        {
            let Some(reply) = self.replies.pop_front() else {
                return;
            };
            let event = Event::StoreReplied {
                query: reply.query,
                era: reply.era,
                evacuations: reply.evacuations,
                reply: reply.reply,
            };
            self.apply(reply.host, event);
        }
    }

    /// Returns the versions of the configuration in force at the hosts.
    pub fn versions(&self) -> Vec<u64> {
        let known = self.hosts.iter().filter_map(|host| host.configuration());
        known.map(|known| known.version).collect()
    }

    /// Returns the highest age of a configuration at the hosts.
    pub fn highest_age_ms(&self) -> Option<u64> {
        let ages = self
            .hosts
            .iter()
            .map(|host| host.configuration_age_ms(self.now_ms));
        ages.max().flatten()
    }
}
