//! Membership reducers that exchange messages in virtual time.

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

/// Hosts and the messages between them.
pub struct Fleet {
    pub now_ms: u64,
    pub hosts: IndexMap<HostName, Node>,
    /// Every status change: when, at which host, about whom, to what.
    pub changes: Vec<(u64, HostName, HostName, Status)>,
    /// Most entries seen on one probe message.
    pub entries_max: usize,
    /// Most entries seen in one part of a synchronised view.
    pub sync_entries_max: usize,
    pub messages: u64,
    loss_percent: usize,
    cut: fn(&str, &str) -> bool,
    under_way: BTreeMap<(u64, u64), (HostName, HostName, Message)>,
    sent: u64,
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
            changes: Vec::new(),
            entries_max: 0,
            sync_entries_max: 0,
            messages: 0,
            loss_percent: 0,
            cut: |_, _| false,
            under_way: BTreeMap::new(),
            sent: 0,
            rng: Rng::new(seed),
        }
    }

    /// Starts `count` hosts of a zone, named after it, with the whole fleet listed.
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

    /// Starts a host, or starts it again with a higher incarnation.
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

    pub fn pause(&mut self, name: &str, paused: bool) {
        self.hosts.get_mut(name).expect("a started host").paused = paused;
    }

    /// Cuts links: the function says whether messages between two hosts are lost.
    pub fn cut(&mut self, cut: fn(&str, &str) -> bool) {
        self.cut = cut;
    }

    /// Gives every host the list of the named hosts.
    pub fn list(&mut self, listed: &[ListedHost]) {
        let names: Vec<HostName> = self.hosts.keys().cloned().collect();
        for name in names {
            self.event(
                &name,
                Event::Listed {
                    hosts: listed.to_vec(),
                },
            );
        }
    }

    /// Returns the list as the platform would give it if it did not lag.
    pub fn true_list(&self) -> Vec<ListedHost> {
        let listed = |node: &Node| {
            let host = &node.state.own().host;
            ListedHost {
                name: host.name.clone(),
                zone: host.zone.clone(),
                address: host.address,
                leaving: false,
            }
        };
        self.hosts.values().map(listed).collect()
    }

    pub fn event(&mut self, name: &HostName, event: Event) {
        let mut effects = Vec::new();
        let node = self.hosts.get_mut(name).expect("a started host");
        reduce(&mut node.state, self.now_ms, event, &mut effects);
        for effect in effects {
            self.carry_out(name, effect);
        }
    }

    pub fn run_ms(&mut self, ms: u64) {
        self.run_until(ms, |_| false);
    }

    /// Runs until the condition holds; says whether it did within the time.
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

    /// Says whether every running host of the zone sees exactly these hosts as live.
    pub fn agrees_on(&self, zone: &str, live: &[&str]) -> bool {
        let mut expected = live.to_vec();
        expected.sort_unstable();
        let in_zone = |node: &&Node| node.state.own().host.zone.as_str() == zone;
        self.hosts
            .values()
            .filter(in_zone)
            .filter(|node| !node.paused)
            .all(|node| {
                let mut seen: Vec<&str> = node
                    .state
                    .live_hosts()
                    .map(|host| host.name.as_str())
                    .collect();
                seen.sort_unstable();
                seen == expected
            })
    }

    /// Returns the names of the hosts that run.
    pub fn names(&self) -> Vec<String> {
        self.hosts
            .keys()
            .map(|name| name.as_str().to_owned())
            .collect()
    }

    fn step(&mut self) {
        let step_end_ms = self.now_ms + STEP_MS;
        while let Some(entry) = self.under_way.first_entry() {
            if entry.key().0 > step_end_ms {
                break;
            }
            let ((at_ms, _), (from, to, message)) = entry.remove_entry();
            let node = self.hosts.get(&to);
            // N.B. A paused host's messages wait for it, as in its sockets.
            if node.is_some_and(|node| node.paused) {
                let later = (at_ms + STEP_MS, self.sent);
                self.sent += 1;
                self.under_way.insert(later, (from, to, message));
                continue;
            }
            if node.is_some() {
                self.now_ms = self.now_ms.max(at_ms);
                self.event(&to, Event::Received { from, message });
            }
        }
        self.now_ms = step_end_ms;
        let running =
            |(name, node): (&HostName, &Node)| (!node.paused).then(|| name.clone());
        let names: Vec<HostName> = self.hosts.iter().filter_map(running).collect();
        for name in names {
            self.event(&name, Event::Tick);
        }
    }

    fn carry_out(&mut self, from: &HostName, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(from.clone(), to, message),
            Effect::StatusChanged { host, status } => {
                self.changes
                    .push((self.now_ms, from.clone(), host.name, status));
            }
            _ => {}
        }
    }

    fn send(&mut self, from: HostName, to: HostName, message: Message) {
        let sender = &self.hosts[&from].state;
        assert!(
            sender.address_of(&to).is_some(),
            "{from} has no address of {to}"
        );
        self.messages += 1;
        match &message {
            Message::Ping { exchange, .. }
            | Message::Ack { exchange, .. }
            | Message::PingRequest { exchange, .. } => {
                self.entries_max = self.entries_max.max(exchange.entries.len());
            }
            Message::Sync { entries, .. } => {
                self.sync_entries_max = self.sync_entries_max.max(entries.len());
            }
            _ => {}
        }
        if self.rng.below(100) < self.loss_percent
            || (self.cut)(from.as_str(), to.as_str())
        {
            return;
        }
        let delay_ms = 1 + self.rng.below(DELAY_MAX_MS as usize) as u64;
        self.sent += 1;
        let key = (self.now_ms + delay_ms, self.sent);
        self.under_way.insert(key, (from, to, message));
    }
}

pub fn address(name: &str) -> SocketAddr {
    let port = 1_024
        + name
            .bytes()
            .fold(0u16, |hash, b| hash.wrapping_mul(31) ^ u16::from(b));
    SocketAddr::from(([127, 0, 0, 1], port))
}
