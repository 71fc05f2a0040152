//! A simulation of membership reducers that exchange messages in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use indexmap::IndexMap;
use toucancleat_core::membership::{
    Config, Effect, Event, Host, ListedHost, Message, State, Status, reduce,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;

const STEP_MS: u64 = 100;
const DELAY_MAX_MS: u64 = 20;

/// The simulated hosts and the network between them.
pub struct Fleet {
    pub now_ms: u64,
    pub hosts: IndexMap<HostName, Node>,
    /// Every status change: the time, the observing host, the host concerned and its
    /// new status.
    pub status_changes: Vec<(u64, HostName, HostName, Status)>,
    /// Largest number of entries in one probe message so far.
    pub probe_entries_max: usize,
    /// Largest number of entries in one page of a synchronised view so far.
    pub sync_page_entries_max: usize,
    pub sent_messages: u64,
    loss_percent: usize,
    is_link_cut: fn(&str, &str) -> bool,
    in_flight: BTreeMap<(u64, u64), (HostName, HostName, Message)>,
    /// Number of messages queued so far, which orders those that arrive at the same time.
    queued_count: u64,
    rng: Rng,
}

pub struct Node {
    pub state: State,
    pub paused: bool,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        Fleet {
            now_ms: 1_000_000,
            hosts: IndexMap::new(),
            status_changes: Vec::new(),
            probe_entries_max: 0,
            sync_page_entries_max: 0,
            sent_messages: 0,
            loss_percent: 0,
            is_link_cut: |_, _| false,
            in_flight: BTreeMap::new(),
            queued_count: 0,
            rng: Rng::new(seed),
        }
    }

    /// Starts `count` hosts of a zone, named after the zone.
    pub fn with_zone(mut self, zone: &str, count: usize) -> Self {
        for i in 0..count {
            self.start(&format!("{zone}-{i}"), zone);
        }
        self
    }

    pub fn with_loss_percent(mut self, percent: usize) -> Self {
        self.loss_percent = percent;
        self
    }

    /// Starts a host, or restarts it with a higher incarnation.
    pub fn start(&mut self, name: &str, zone: &str) {
        let own = Host {
            name: HostName::new(name),
            zone: ZoneName::new(zone),
            address: address(name),
            incarnation: Incarnation(self.now_ms),
        };
        let seed = self.rng.next_u64();
        let state = State::new(Config::default(), own.clone(), seed);
        self.hosts.insert(
            own.name,
            Node {
                state,
                paused: false,
            },
        );
    }

    pub fn kill(&mut self, name: &str) {
        self.hosts.shift_remove(name);
    }

    pub fn set_paused(&mut self, name: &str, paused: bool) {
        self.hosts.get_mut(name).expect("a started host").paused = paused;
    }

    /// Sets the links that lose all messages: those for whose sender and receiver the
    /// function returns true.
    pub fn cut_links(&mut self, is_link_cut: fn(&str, &str) -> bool) {
        self.is_link_cut = is_link_cut;
    }

    /// Delivers a host list to every host.
    pub fn deliver_host_list(&mut self, listed: &[ListedHost]) {
        let names: Vec<HostName> = self.hosts.keys().cloned().collect();
        for name in names {
            self.apply(
                &name,
                Event::HostListRead {
                    hosts: listed.to_vec(),
                },
            );
        }
    }

    /// Returns the host list that the platform would show if it did not lag.
    pub fn current_host_list(&self) -> Vec<ListedHost> {
        let listed = |node: &Node| {
            let host = &node.state.own().host;
            ListedHost {
                name: host.name.clone(),
                zone: host.zone.clone(),
                address: host.address,
                is_leaving: false,
            }
        };
        self.hosts.values().map(listed).collect()
    }

    pub fn apply(&mut self, name: &HostName, event: Event) {
        let mut effects = Vec::new();
        let node = self.hosts.get_mut(name).expect("a started host");
        reduce(&mut node.state, self.now_ms, event, &mut effects);
        for effect in effects {
            self.execute(name, effect);
        }
    }

    pub fn advance_ms(&mut self, ms: u64) {
        self.run_until(ms, |_| false);
    }

    /// Advances time until the condition holds or `ms` have passed, and returns true if
    /// it holds.
    pub fn run_until(&mut self, ms: u64, condition: impl Fn(&Fleet) -> bool) -> bool {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    /// Returns true if every running host of the zone has exactly these live hosts in
    /// its view.
    pub fn agrees_on(&self, zone: &str, live: &[&str]) -> bool {
        let mut expected = live.to_vec();
        expected.sort_unstable();
        let in_zone = |node: &&Node| node.state.own().host.zone.as_str() == zone;
        self.hosts
            .values()
            .filter(in_zone)
            .filter(|node| !node.paused)
            .all(|node| {
                let mut actual: Vec<&str> = node
                    .state
                    .live_hosts()
                    .map(|host| host.name.as_str())
                    .collect();
                actual.sort_unstable();
                actual == expected
            })
    }

    /// Returns the names of the started hosts, including paused ones.
    pub fn names(&self) -> Vec<String> {
        self.hosts
            .keys()
            .map(|name| name.as_str().to_owned())
            .collect()
    }

    fn step(&mut self) {
        let step_end_ms = self.now_ms + STEP_MS;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > step_end_ms {
                break;
            }
            let ((at_ms, _), (from, to, message)) = entry.remove_entry();
            let node = self.hosts.get(&to);
            // N.B. Messages to a paused host are delayed, as in the buffers of its
            // sockets.
            if node.is_some_and(|node| node.paused) {
                let delayed = (at_ms + STEP_MS, self.queued_count);
                self.queued_count += 1;
                self.in_flight.insert(delayed, (from, to, message));
                continue;
            }
            if node.is_some() {
                self.now_ms = self.now_ms.max(at_ms);
                self.apply(&to, Event::MessageReceived { from, message });
            }
        }
        self.now_ms = step_end_ms;
        let name_if_running =
            |(name, node): (&HostName, &Node)| (!node.paused).then(|| name.clone());
        let names: Vec<HostName> =
            self.hosts.iter().filter_map(name_if_running).collect();
        for name in names {
            self.apply(&name, Event::Tick);
        }
    }

    fn execute(&mut self, from: &HostName, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(from.clone(), to, message),
            Effect::StatusChanged { host, status } => {
                self.status_changes
                    .push((self.now_ms, from.clone(), host.name, status));
            }
            _ => {}
        }
    }

    fn send(&mut self, from: HostName, to: HostName, message: Message) {
        let sender = &self.hosts[&from].state;
        assert!(
            sender.address(&to).is_some(),
            "{from} has no address of {to}"
        );
        self.sent_messages += 1;
        match &message {
            Message::Ping { gossip, .. }
            | Message::Ack { gossip, .. }
            | Message::PingRequest { gossip, .. } => {
                self.probe_entries_max = self.probe_entries_max.max(gossip.entries.len());
            }
            Message::Sync { entries, .. } => {
                self.sync_page_entries_max =
                    self.sync_page_entries_max.max(entries.len());
            }
            _ => {}
        }
        if self.rng.below(100) < self.loss_percent
            || (self.is_link_cut)(from.as_str(), to.as_str())
        {
            return;
        }
        let delay_ms = 1 + self.rng.below(DELAY_MAX_MS as usize) as u64;
        self.queued_count += 1;
        let key = (self.now_ms + delay_ms, self.queued_count);
        self.in_flight.insert(key, (from, to, message));
    }
}

pub fn address(name: &str) -> SocketAddr {
    let port = 1_024
        + name
            .bytes()
            .fold(0u16, |hash, b| hash.wrapping_mul(31) ^ u16::from(b));
    SocketAddr::from(([127, 0, 0, 1], port))
}
