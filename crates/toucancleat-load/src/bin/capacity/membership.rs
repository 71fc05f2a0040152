//! Membership in a zone, with summaries of the other zones.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::IndexMap;
use toucancleat_core::membership::{
    Config, Delegate, Effect, Event, Host, ListedHost, Message, PoolSpare, State, Status,
    ZoneSummary, reduce,
};
use toucancleat_core::prelude::*;

use crate::fleet_size;
use crate::sample::{Role, Sample, Stopwatch, Traffic, allocated};

const SIZES: [usize; 4] = [15, 30, 60, 120];
const WARM_UP_S: u64 = 120;
const MEASURED_S: u64 = 120;
const STEP_MS: u64 = 100;

pub fn measure() -> Role {
    Role {
        name: "membership and zone delegates",
        size: "entry hosts in the zone",
        target_size: fleet_size::ZONE_HOSTS,
        mechanism: "one probe a second, bounded statements on each message, delegates \
                    that exchange summaries",
        relief: "",
        note: "a zone in virtual time, with the summaries of 19 other zones and one host \
               replaced in the measured time",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(hosts: usize) -> Sample {
    let (mut zone, bytes) = allocated(|| {
        let mut zone = Zone::new(hosts);
        zone.run(WARM_UP_S);
        zone
    });
    zone.traffic = Traffic::default();
    zone.stopwatch = Stopwatch::default();
    zone.run(MEASURED_S / 2);
    zone.replace();
    zone.run(MEASURED_S / 2);
    let node_s = (hosts as u64 * MEASURED_S) as f64;
    Sample {
        size: hosts as f64,
        state_bytes: bytes / hosts as f64,
        messages_per_s: zone.traffic.messages as f64 / node_s,
        bytes_per_s: zone.traffic.bytes as f64 / node_s,
        cpu_us_per_s: zone.stopwatch.elapsed.as_micros() as f64 / node_s,
    }
}

/// Times from the end of a host until all others know of it.
#[derive(Debug)]
pub struct Detection {
    /// Hosts in the zone.
    pub hosts: usize,
    /// The median time.
    pub median_ms: u64,
    /// The longest time.
    pub longest_ms: u64,
    /// The longest time between the first and the last host to know.
    pub spread_ms: u64,
}

/// Ends hosts one after another, and waits until all others know of each.
pub fn detections() -> Vec<Detection> {
    const ENDS: usize = 11;
    let detect = |hosts| {
        let mut zone = Zone::new(hosts);
        zone.run(WARM_UP_S);
        let ends: Vec<(u64, u64)> = (0..ENDS).map(|_| zone.end_one()).collect();
        let mut times_ms: Vec<u64> = ends.iter().map(|(_, last_ms)| *last_ms).collect();
        times_ms.sort_unstable();
        Detection {
            hosts,
            median_ms: times_ms[ENDS / 2],
            longest_ms: times_ms[ENDS - 1],
            spread_ms: ends
                .iter()
                .map(|(first, last)| last - first)
                .max()
                .unwrap_or(0),
        }
    };
    SIZES.map(detect).into()
}

struct Zone {
    now_ms: u64,
    hosts: IndexMap<HostName, State>,
    traffic: Traffic,
    stopwatch: Stopwatch,
    started: usize,
}

impl Zone {
    fn new(count: usize) -> Self {
        let mut zone = Zone {
            now_ms: 1_700_000_000_000,
            hosts: IndexMap::new(),
            traffic: Traffic::default(),
            stopwatch: Stopwatch::default(),
            started: 0,
        };
        for _ in 0..count {
            zone.start();
        }
        let listed = zone.listed();
        for i in 0..count {
            zone.event(
                i,
                Event::Listed {
                    hosts: listed.clone(),
                },
            );
        }
        zone
    }

    fn start(&mut self) {
        let own = Host {
            name: HostName::new(&format!("entry-upp-a-{}", self.started)),
            zone: ZoneName::new("upp-a"),
            address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
            incarnation: Incarnation(self.now_ms),
        };
        self.started += 1;
        let state = State::new(Config::default(), own.clone(), self.started as u64);
        self.hosts.insert(own.name, state);
    }

    fn replace(&mut self) {
        self.hosts.shift_remove_index(0);
        self.start();
        let listed = self.listed();
        self.event(self.hosts.len() - 1, Event::Listed { hosts: listed });
    }

    /// Ends a host without a word; returns the times until one and until all others know.
    fn end_one(&mut self) -> (u64, u64) {
        let Some((ended, _)) = self.hosts.shift_remove_index(0) else {
            return (0, 0);
        };
        let ended_ms = self.now_ms;
        let knows =
            |state: &State| !state.status_of(&ended).is_some_and(Status::takes_homes);
        while !self.hosts.values().any(knows) {
            self.step();
        }
        let first_ms = self.now_ms - ended_ms;
        while !self.hosts.values().all(knows) {
            self.step();
        }
        let last_ms = self.now_ms - ended_ms;
        self.start();
        let listed = self.listed();
        self.event(self.hosts.len() - 1, Event::Listed { hosts: listed });
        self.run(WARM_UP_S);
        (first_ms, last_ms)
    }

    fn listed(&self) -> Vec<ListedHost> {
        let own = self.hosts.values().map(|state| &state.own().host);
        own.map(|host| ListedHost {
            name: host.name.clone(),
            zone: host.zone.clone(),
            address: host.address,
            leaving: false,
        })
        .collect()
    }

    fn run(&mut self, seconds: u64) {
        let end_ms = self.now_ms + seconds * 1_000;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.now_ms.is_multiple_of(2_000) {
            self.hear_zones();
        }
        for i in 0..self.hosts.len() {
            self.event(i, Event::Tick);
        }
    }

    /// Brings a fresh summary of each other zone to one host.
    fn hear_zones(&mut self) {
        for number in 1..fleet_size::ZONES as usize {
            let i = (self.now_ms / 2_000) as usize * 7 + number;
            let message = Message::Summary {
                reply: false,
                summary: self.summary(number),
            };
            let from = HostName::new("entry-vas-a-1");
            self.event(i % self.hosts.len(), Event::Received { from, message });
        }
    }

    fn summary(&self, number: usize) -> ZoneSummary {
        let delegate = |i| Delegate {
            name: HostName::new(&format!("entry-zone-{number}-{i}")),
            address: SocketAddr::from(([10, 0, 1, 1], 7_000)),
        };
        let spare = |i| PoolSpare {
            pool: PoolName::new(&format!("pool-{i}")),
            requests: 9,
        };
        ZoneSummary {
            zone: ZoneName::new(&format!("zone-{number}")),
            made_unix_ms: self.now_ms,
            live_hosts: 60,
            delegates: (0..3).map(delegate).collect(),
            spare: (0..8).map(spare).collect(),
        }
    }

    /// Feeds an event and all messages that follow from it.
    fn event(&mut self, i: usize, event: Event) {
        let Some((name, _)) = self.hosts.get_index(i) else {
            return;
        };
        let mut pending = VecDeque::from([(name.clone(), event)]);
        while let Some((name, event)) = pending.pop_front() {
            let Some(state) = self.hosts.get_mut(&name) else {
                continue;
            };
            let mut effects = Vec::new();
            let now_ms = self.now_ms;
            self.stopwatch
                .time(|| reduce(state, now_ms, event, &mut effects));
            for effect in effects {
                if let Effect::Send { to, message } = effect {
                    let (traffic, stopwatch) = (&mut self.traffic, &mut self.stopwatch);
                    stopwatch.time(|| traffic.count(&name, message.clone()));
                    pending.push_back((
                        to,
                        Event::Received {
                            from: name.clone(),
                            message,
                        },
                    ));
                }
            }
        }
    }
}
