//! A simulated fleet of dissemination reducers in one process, to measure them.
//!
//! The caller advances the time, and links only delay or lose messages. The measurements
//! cover the reducers' messages, reads and delays, not those of sockets and processes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;
use serde_json::json;
use toucancleat_core::dissemination::{self, Effect, Event, Message, State};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::settings::store::{
    HEAD_ROW, Head, Row, Snapshot, change_row, snapshot_object,
};
use toucancleat_core::settings::{Change, Edit, Tree};

/// Interval between two ticks of a host.
const TICK_MS: u64 = 250;
/// Delay of a message between two hosts.
const LATENCY_MS: u64 = 1;
/// Duration of a read of the platform, request and reply together.
const READ_MS: u64 = 20;
/// Number of peers of other zones that each host has.
const OTHER_ZONE_PEERS: usize = 3;

/// The messages and reads of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Number of messages sent.
    pub messages: u64,
    /// Bytes sent, as measured by the caller's function.
    pub bytes: u64,
    /// Number of reads requested from the platform.
    pub reads: u64,
}

/// Hosts in several availability zones that share one platform.
pub struct Fleet<'a> {
    /// The current time.
    pub now_ms: u64,
    /// Probability that a message between hosts is lost, in thousandths.
    pub loss_per_mille: usize,
    /// Whether the platform answers.
    pub is_platform_available: bool,
    /// Zones that can't reach the platform.
    pub isolated_from_platform: Vec<bool>,
    /// Zones that can't reach the other zones.
    pub isolated_from_zones: Vec<bool>,
    /// The messages and reads of each host.
    pub costs: Vec<Cost>,
    /// Time from each change's commit until it was in force, over all hosts.
    pub in_force_ms: Vec<u64>,
    hosts: Vec<State>,
    is_live: Vec<bool>,
    hosts_per_zone: usize,
    rng: Rng,
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    tasks: IndexMap<u64, (usize, Task)>,
    next_task: u64,
    rows: Vec<Row>,
    snapshots: IndexMap<String, Snapshot>,
    committed_ms: Vec<u64>,
    message_size: &'a dyn Fn(&Message) -> usize,
}

enum Task {
    Tick,
    Deliver(Event),
    ReadRows { read: u64, names: Vec<String> },
    ReadSnapshot { read: u64, names: Vec<String> },
}

impl std::fmt::Debug for Fleet<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut fleet = f.debug_struct("Fleet");
        fleet
            .field("now_ms", &self.now_ms)
            .field("hosts", &self.hosts.len());
        fleet.finish_non_exhaustive()
    }
}

impl<'a> Fleet<'a> {
    /// Returns a fleet in which the first host of each zone reads the platform.
    pub fn new(
        zones: usize,
        hosts_per_zone: usize,
        seed: u64,
        message_size: &'a dyn Fn(&Message) -> usize,
    ) -> Self {
        let count = zones * hosts_per_zone;
        let start = |host: usize| {
            State::new(dissemination::Config::default(), seed + host as u64)
        };
        let mut fleet = Fleet {
            now_ms: 0,
            loss_per_mille: 0,
            is_platform_available: true,
            isolated_from_platform: vec![false; zones],
            isolated_from_zones: vec![false; zones],
            costs: vec![Cost::default(); count],
            in_force_ms: Vec::new(),
            hosts: (0..count).map(start).collect(),
            is_live: vec![true; count],
            hosts_per_zone,
            rng: Rng::new(seed),
            schedule: BinaryHeap::new(),
            tasks: IndexMap::new(),
            next_task: 0,
            rows: Vec::new(),
            snapshots: IndexMap::new(),
            committed_ms: vec![0],
            message_size,
        };
        fleet.update_peers();
        for host in 0..count {
            let first_ms = fleet.rng.below(TICK_MS as usize) as u64;
            fleet.schedule_task(first_ms, host, Task::Tick);
        }
        fleet
    }

    /// Commits a change of the settings at the platform.
    pub fn commit_change(&mut self) {
        let revision = Revision(self.committed_ms.len() as u64);
        let change = Change {
            revision,
            change_id: ChangeId(revision.0.into()),
            author: "operator".to_owned(),
            at_unix_ms: self.now_ms,
            edits: vec![Edit::set("/fleet/values/timeout_ms", json!(revision.0))],
        };
        let head = Head {
            revision,
            change_id: change.change_id,
        };
        self.rows.retain(|row| row.row != HEAD_ROW);
        self.rows.push(row(HEAD_ROW.to_owned(), &head));
        self.rows.push(row(change_row(revision), &change));
        self.committed_ms.push(self.now_ms);
    }

    /// Advances the time by `for_ms` and runs everything that is due.
    pub fn advance_ms(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some(Reverse((at_ms, number))) = self.schedule.peek().copied() {
            if at_ms > end_ms {
                break;
            }
            self.schedule.pop();
            self.now_ms = at_ms;
            if let Some((host, task)) = self.tasks.swap_remove(&number) {
                self.run_task(host, task);
            }
        }
        self.now_ms = end_ms;
    }

    /// Stops a host.
    ///
    /// The next host of its zone reads the platform from the next call of
    /// [`update_peers`](Self::update_peers) on.
    pub fn stop_host(&mut self, host: usize) {
        self.is_live[host] = false;
    }

    /// Restarts a host without a tree, and updates the peers of all hosts.
    pub fn restart_host(&mut self, host: usize) {
        let seed = self.rng.next_u64();
        self.hosts[host] = State::new(dissemination::Config::default(), seed);
        self.is_live[host] = true;
        self.update_peers();
    }

    /// Notifies every host of its live peers and of whether it reads the platform.
    pub fn update_peers(&mut self) {
        for host in 0..self.hosts.len() {
            let zone = self.zone(host);
            let live = |peer: &usize| self.is_live[*peer] && *peer != host;
            let all = 0..self.hosts.len();
            let own = all
                .clone()
                .filter(|peer| self.zone(*peer) == zone)
                .filter(live);
            let mut others: Vec<_> = all
                .filter(|peer| self.zone(*peer) != zone)
                .filter(live)
                .collect();
            let reader = (0..self.hosts.len())
                .find(|peer| self.zone(*peer) == zone && self.is_live[*peer]);
            let zone = own.map(name).collect();
            self.rng.shuffle(&mut others);
            others.truncate(OTHER_ZONE_PEERS);
            let other_zones = others.into_iter().map(name).collect();
            let is_reader = reader == Some(host);
            self.deliver_event(
                host,
                Event::PeersChanged {
                    zone,
                    other_zones,
                    is_reader,
                },
            );
        }
    }

    /// Returns the lowest revision in force among live hosts; `None` if a host has none.
    pub fn lowest_revision(&self) -> Option<u64> {
        let live = (0..self.hosts.len()).filter(|host| self.is_live[*host]);
        let revisions = live.map(|host| self.hosts[host].revision());
        revisions.min().flatten().map(|revision| revision.0)
    }

    /// Returns the revision in force on a host.
    pub fn revision(&self, host: usize) -> Option<u64> {
        self.hosts[host].revision().map(|revision| revision.0)
    }

    fn zone(&self, host: usize) -> usize {
        host / self.hosts_per_zone
    }

    fn schedule_task(&mut self, at_ms: u64, host: usize, task: Task) {
        self.next_task += 1;
        self.schedule.push(Reverse((at_ms, self.next_task)));
        self.tasks.insert(self.next_task, (host, task));
    }

    fn run_task(&mut self, host: usize, task: Task) {
        match task {
            Task::Tick => {
                self.deliver_event(host, Event::Tick);
                self.schedule_task(self.now_ms + TICK_MS, host, Task::Tick);
            }
            Task::Deliver(event) => self.deliver_event(host, event),
            Task::ReadRows { read, names } => {
                let is_requested = |row: &&Row| names.contains(&row.row);
                let rows: Vec<_> =
                    self.rows.iter().filter(is_requested).cloned().collect();
                let rows = self.can_reach_platform(host).then_some(rows);
                let reply = Event::RowsRead { read, rows };
                self.schedule_task(self.now_ms + READ_MS / 2, host, Task::Deliver(reply));
            }
            Task::ReadSnapshot { read, names } => {
                let found = names.iter().find_map(|name| self.snapshots.get(name));
                let snapshot = found.filter(|_| self.can_reach_platform(host));
                let snapshot = snapshot.cloned().map(Box::new);
                let reply = Event::SnapshotRead { read, snapshot };
                self.schedule_task(self.now_ms + READ_MS / 2, host, Task::Deliver(reply));
            }
        }
    }

    fn can_reach_platform(&self, host: usize) -> bool {
        self.is_platform_available && !self.isolated_from_platform[self.zone(host)]
    }

    fn deliver_event(&mut self, host: usize, event: Event) {
        if !self.is_live[host] {
            return;
        }
        let previous = self.revision(host);
        let mut effects = Vec::new();
        dissemination::reduce(&mut self.hosts[host], self.now_ms, event, &mut effects);
        for effect in effects {
            self.apply_effect(host, previous, effect);
        }
    }

    fn apply_effect(&mut self, host: usize, previous: Option<u64>, effect: Effect) {
        let arrives_ms = self.now_ms + READ_MS / 2;
        match effect {
            Effect::Send { to, message } => self.send(host, &to, message),
            Effect::ReadRows { read, rows: names } => {
                self.costs[host].reads += 1;
                self.schedule_task(arrives_ms, host, Task::ReadRows { read, names });
            }
            Effect::ReadSnapshot {
                read,
                objects: names,
            } => {
                self.costs[host].reads += 1;
                self.schedule_task(arrives_ms, host, Task::ReadSnapshot { read, names });
            }
            Effect::StoreSnapshot { revision, tree } => {
                let snapshot = Snapshot {
                    revision,
                    tree: Tree::clone(&tree),
                };
                self.snapshots.insert(snapshot_object(revision), snapshot);
            }
            Effect::PutInForce { revision, .. } => {
                // A host that has just started didn't delay any earlier change.
                let Some(previous) = previous else { return };
                for change in previous + 1..=revision.0 {
                    let committed_ms = self.committed_ms[change as usize];
                    self.in_force_ms.push(self.now_ms - committed_ms);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &HostName, message: Message) {
        let to: usize = to.as_str().parse().expect("host names are numbers");
        let cost = &mut self.costs[from];
        cost.messages += 1;
        cost.bytes += (self.message_size)(&message) as u64;
        let (here, there) = (self.zone(from), self.zone(to));
        let is_cut = here != there
            && (self.isolated_from_zones[here] || self.isolated_from_zones[there]);
        if is_cut || self.rng.below(1_000) < self.loss_per_mille {
            return;
        }
        let event = Event::MessageReceived {
            from: name(from),
            message,
        };
        self.schedule_task(self.now_ms + LATENCY_MS, to, Task::Deliver(event));
    }
}

fn name(host: usize) -> HostName {
    HostName::new(&host.to_string())
}

fn row<T: serde::Serialize>(name: String, value: &T) -> Row {
    let value = serde_json::to_value(value).expect("rows have string keys");
    Row {
        row: name,
        version: Some(1),
        value,
    }
}
