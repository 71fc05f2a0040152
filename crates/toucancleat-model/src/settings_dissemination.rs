//! Many reducers of the settings' spreading in one process, to measure them.
//!
//! The time is driven from outside and links only delay or lose messages. It measures
//! what the reducers themselves cost and take, and says nothing of sockets and processes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;
use serde_json::json;
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::settings::store::{
    HEAD_ROW, Head, Row, Snapshot, change_row, snapshot_object,
};
use toucancleat_core::settings::{Change, Edit, Tree};
use toucancleat_core::spread::{self, Effect, Event, Message, State};

/// Time between two ticks of a host.
const TICK_MS: u64 = 250;
/// Time that a message takes between two hosts.
const LATENCY_MS: u64 = 1;
/// Time that the platform takes for a read.
const READ_MS: u64 = 20;
/// Hosts of other zones that each host knows.
const OTHER_ZONE_PEERS: usize = 3;

/// What one host has cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent, as the caller's function sizes them.
    pub bytes: u64,
    /// Reads asked of the platform.
    pub reads: u64,
}

/// Hosts in zones before one platform.
pub struct Fleet<'a> {
    /// The present time.
    pub now_ms: u64,
    /// Chance that a message between hosts is lost, in thousandths.
    pub loss_per_mille: usize,
    /// Whether the platform answers.
    pub platform_up: bool,
    /// Zones that can't reach the platform.
    pub cut_from_platform: Vec<bool>,
    /// Zones that can't reach the other zones.
    pub cut_from_zones: Vec<bool>,
    /// What each host has cost.
    pub costs: Vec<Cost>,
    /// Time from each change's commit until it was in force, over all hosts.
    pub in_force_ms: Vec<u64>,
    hosts: Vec<State>,
    alive: Vec<bool>,
    hosts_per_zone: usize,
    rng: Rng,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: IndexMap<u64, (usize, Due)>,
    next_event: u64,
    rows: Vec<Row>,
    objects: IndexMap<String, Snapshot>,
    committed_ms: Vec<u64>,
    size: &'a dyn Fn(&Message) -> usize,
}

enum Due {
    Tick,
    Feed(Event),
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
    /// Makes a fleet whose first host of each zone reads the platform.
    pub fn new(
        zones: usize,
        hosts_per_zone: usize,
        seed: u64,
        size: &'a dyn Fn(&Message) -> usize,
    ) -> Self {
        let count = zones * hosts_per_zone;
        let start =
            |host: usize| State::new(spread::Config::default(), seed + host as u64);
        let mut fleet = Fleet {
            now_ms: 0,
            loss_per_mille: 0,
            platform_up: true,
            cut_from_platform: vec![false; zones],
            cut_from_zones: vec![false; zones],
            costs: vec![Cost::default(); count],
            in_force_ms: Vec::new(),
            hosts: (0..count).map(start).collect(),
            alive: vec![true; count],
            hosts_per_zone,
            rng: Rng::new(seed),
            due: BinaryHeap::new(),
            events: IndexMap::new(),
            next_event: 0,
            rows: Vec::new(),
            objects: IndexMap::new(),
            committed_ms: vec![0],
            size,
        };
        fleet.tell_peers();
        for host in 0..count {
            let first_ms = fleet.rng.below(TICK_MS as usize) as u64;
            fleet.at(first_ms, host, Due::Tick);
        }
        fleet
    }

    /// Commits a change.
    pub fn commit(&mut self) {
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

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some(Reverse((at_ms, number))) = self.due.peek().copied() {
            if at_ms > end_ms {
                break;
            }
            self.due.pop();
            self.now_ms = at_ms;
            if let Some((host, due)) = self.events.swap_remove(&number) {
                self.handle(host, due);
            }
        }
        self.now_ms = end_ms;
    }

    /// Stops a host; the next one of its zone reads the platform from the given time on.
    pub fn stop(&mut self, host: usize) {
        self.alive[host] = false;
    }

    /// Starts a host anew, without a tree.
    pub fn restart(&mut self, host: usize) {
        let seed = self.rng.next_u64();
        self.hosts[host] = State::new(spread::Config::default(), seed);
        self.alive[host] = true;
        self.tell_peers();
    }

    /// Tells every host who lives and who reads the platform.
    pub fn tell_peers(&mut self) {
        for host in 0..self.hosts.len() {
            let zone = self.zone(host);
            let live = |peer: &usize| self.alive[*peer] && *peer != host;
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
                .find(|peer| self.zone(*peer) == zone && self.alive[*peer]);
            let zone = own.map(name).collect();
            self.rng.shuffle(&mut others);
            others.truncate(OTHER_ZONE_PEERS);
            let other_zones = others.into_iter().map(name).collect();
            let is_reader = reader == Some(host);
            self.feed(
                host,
                Event::Peers {
                    zone,
                    other_zones,
                    is_reader,
                },
            );
        }
    }

    /// Returns the lowest revision in force on a live host; `None` when one has none.
    pub fn lowest_revision(&self) -> Option<u64> {
        let live = (0..self.hosts.len()).filter(|host| self.alive[*host]);
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

    fn at(&mut self, at_ms: u64, host: usize, due: Due) {
        self.next_event += 1;
        self.due.push(Reverse((at_ms, self.next_event)));
        self.events.insert(self.next_event, (host, due));
    }

    fn handle(&mut self, host: usize, due: Due) {
        match due {
            Due::Tick => {
                self.feed(host, Event::Tick);
                self.at(self.now_ms + TICK_MS, host, Due::Tick);
            }
            Due::Feed(event) => self.feed(host, event),
            Due::ReadRows { read, names } => {
                let known = |row: &&Row| names.contains(&row.row);
                let rows: Vec<_> = self.rows.iter().filter(known).cloned().collect();
                let rows = self.reaches_platform(host).then_some(rows);
                let reply = Event::RowsRead { read, rows };
                self.at(self.now_ms + READ_MS / 2, host, Due::Feed(reply));
            }
            Due::ReadSnapshot { read, names } => {
                let found = names.iter().find_map(|name| self.objects.get(name));
                let snapshot = found.filter(|_| self.reaches_platform(host));
                let snapshot = snapshot.cloned().map(Box::new);
                let reply = Event::SnapshotRead { read, snapshot };
                self.at(self.now_ms + READ_MS / 2, host, Due::Feed(reply));
            }
        }
    }

    fn reaches_platform(&self, host: usize) -> bool {
        self.platform_up && !self.cut_from_platform[self.zone(host)]
    }

    fn feed(&mut self, host: usize, event: Event) {
        if !self.alive[host] {
            return;
        }
        let before = self.revision(host);
        let mut effects = Vec::new();
        spread::reduce(&mut self.hosts[host], self.now_ms, event, &mut effects);
        for effect in effects {
            self.carry_out(host, before, effect);
        }
    }

    fn carry_out(&mut self, host: usize, before: Option<u64>, effect: Effect) {
        let arrives_ms = self.now_ms + READ_MS / 2;
        match effect {
            Effect::Send { to, message } => self.send(host, &to, message),
            Effect::ReadRows { read, rows: names } => {
                self.costs[host].reads += 1;
                self.at(arrives_ms, host, Due::ReadRows { read, names });
            }
            Effect::ReadSnapshot {
                read,
                objects: names,
            } => {
                self.costs[host].reads += 1;
                self.at(arrives_ms, host, Due::ReadSnapshot { read, names });
            }
            Effect::StoreSnapshot { revision, tree } => {
                let snapshot = Snapshot {
                    revision,
                    tree: Tree::clone(&tree),
                };
                self.objects.insert(snapshot_object(revision), snapshot);
            }
            Effect::InForce { revision, .. } => {
                // A host that has just started is late for no change.
                let Some(before) = before else { return };
                for change in before + 1..=revision.0 {
                    let committed_ms = self.committed_ms[change as usize];
                    self.in_force_ms.push(self.now_ms - committed_ms);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &HostName, message: Message) {
        let to: usize = to.as_str().parse().expect("hosts are named by number");
        let cost = &mut self.costs[from];
        cost.messages += 1;
        cost.bytes += (self.size)(&message) as u64;
        let (here, there) = (self.zone(from), self.zone(to));
        let cut =
            here != there && (self.cut_from_zones[here] || self.cut_from_zones[there]);
        if cut || self.rng.below(1_000) < self.loss_per_mille {
            return;
        }
        let event = Event::Received {
            from: name(from),
            message,
        };
        self.at(self.now_ms + LATENCY_MS, to, Due::Feed(event));
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
