//! Cost of the membership of a zone, with the summaries of the other zones.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::IndexMap;
use toucancleat_core::membership::{
    Config, Delegate, Effect, Event, Host, ListedHost, Message, SpareCapacity, State,
    Status, ZoneSummary, reduce,
};
use toucancleat_core::prelude::*;

use crate::fleet_size;
use crate::sample::{Role, Sample, Stopwatch, Traffic, measure_allocation};

const SIZES: [usize; 4] = [15, 30, 60, 120];
const WARM_UP_S: u64 = 120;
const MEASURED_S: u64 = 120;
const STEP_MS: u64 = 100;

pub fn measure() -> Role {
    Role {
        name: "membership and zone delegates",
        size: "entry hosts in the zone",
        target_size: fleet_size::ZONE_HOSTS,
        mechanism: "one probe per second, a bounded number of updates on each message, delegates \
                    that exchange summaries",
        traffic_reduction: "",
        note: "a zone in virtual time, with the summaries of 19 other zones and one host \
               replaced in the measured time",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(hosts: usize) -> Sample {
    let (mut zone, bytes) = measure_allocation(|| {
        let mut zone = Zone::new(hosts);
        zone.run(WARM_UP_S);
        zone
    });
    zone.traffic = Traffic::default();
    zone.stopwatch = Stopwatch::default();
    zone.run(MEASURED_S / 2);
    zone.replace_host();
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

/// Times from the crash of a host until all others have detected it.
#[derive(Debug)]
pub struct Detection {
    /// Number of hosts in the zone.
    pub hosts: usize,
    /// Median time until the last host has detected the crash.
    pub median_ms: u64,
    /// Longest time until the last host has detected the crash.
    pub longest_ms: u64,
    /// Longest time between the first and the last detection of one crash.
    pub spread_ms: u64,
}

/// Crashes hosts one after another and measures how long the others take to detect each crash.
pub fn measure_detections() -> Vec<Detection> {
    const CRASHES: usize = 11;
    let detect = |hosts| {
        let mut zone = Zone::new(hosts);
        zone.run(WARM_UP_S);
        let detection_times_ms: Vec<(u64, u64)> =
            (0..CRASHES).map(|_| zone.crash_host()).collect();
        let mut times_ms: Vec<u64> = detection_times_ms
            .iter()
            .map(|(_, last_ms)| *last_ms)
            .collect();
        times_ms.sort_unstable();
        Detection {
            hosts,
            median_ms: times_ms[CRASHES / 2],
            longest_ms: times_ms[CRASHES - 1],
            spread_ms: detection_times_ms
                .iter()
                .map(|(first_ms, last_ms)| last_ms - first_ms)
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
            zone.start_host();
        }
        let host_list = zone.host_list();
        for i in 0..count {
            zone.deliver_event(
                i,
                Event::HostListRead {
                    hosts: host_list.clone(),
                },
            );
        }
        zone
    }

    fn start_host(&mut self) {
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

    fn replace_host(&mut self) {
        self.hosts.shift_remove_index(0);
        self.start_host();
        let host_list = self.host_list();
        self.deliver_event(
            self.hosts.len() - 1,
            Event::HostListRead { hosts: host_list },
        );
    }

    /// Removes a host without notice. Returns the times until the first and until the last of
    /// the others has detected it, in milliseconds.
    fn crash_host(&mut self) -> (u64, u64) {
        let Some((crashed, _)) = self.hosts.shift_remove_index(0) else {
            return (0, 0);
        };
        let crashed_ms = self.now_ms;
        let has_detected =
            |state: &State| !state.status(&crashed).is_some_and(Status::is_live);
        while !self.hosts.values().any(has_detected) {
            self.step();
        }
        let first_ms = self.now_ms - crashed_ms;
        while !self.hosts.values().all(has_detected) {
            self.step();
        }
        let last_ms = self.now_ms - crashed_ms;
        self.start_host();
        let host_list = self.host_list();
        self.deliver_event(
            self.hosts.len() - 1,
            Event::HostListRead { hosts: host_list },
        );
        self.run(WARM_UP_S);
        (first_ms, last_ms)
    }

    fn host_list(&self) -> Vec<ListedHost> {
        let own = self.hosts.values().map(|state| &state.own().host);
        own.map(|host| ListedHost {
            name: host.name.clone(),
            zone: host.zone.clone(),
            address: host.address,
            is_leaving: false,
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
            self.deliver_zone_summaries();
        }
        for i in 0..self.hosts.len() {
            self.deliver_event(i, Event::Tick);
        }
    }

    /// Delivers a current summary of each other zone to one host.
    fn deliver_zone_summaries(&mut self) {
        for number in 1..fleet_size::ZONES as usize {
            let i = (self.now_ms / 2_000) as usize * 7 + number;
            let message = Message::Summary {
                reply: false,
                summary: self.summary(number),
            };
            let from = HostName::new("entry-vas-a-1");
            self.deliver_event(
                i % self.hosts.len(),
                Event::MessageReceived { from, message },
            );
        }
    }

    fn summary(&self, number: usize) -> ZoneSummary {
        let delegate = |i| Delegate {
            name: HostName::new(&format!("entry-zone-{number}-{i}")),
            address: SocketAddr::from(([10, 0, 1, 1], 7_000)),
        };
        let spare = |i| SpareCapacity {
            pool: PoolName::new(&format!("pool-{i}")),
            requests: 9,
        };
        ZoneSummary {
            zone: ZoneName::new(&format!("zone-{number}")),
            created_unix_ms: self.now_ms,
            live_hosts: 60,
            delegates: (0..3).map(delegate).collect(),
            spare: (0..8).map(spare).collect(),
        }
    }

    /// Delivers an event and all messages that follow from it.
    fn deliver_event(&mut self, i: usize, event: Event) {
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
                        Event::MessageReceived {
                            from: name.clone(),
                            message,
                        },
                    ));
                }
            }
        }
    }
}
