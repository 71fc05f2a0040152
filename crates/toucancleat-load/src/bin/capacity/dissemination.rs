//! Cost of the dissemination of the settings in a zone.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::json;
use toucancleat_core::dissemination::{Config, Effect, Event, Message, State, reduce};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{HEAD_ROW, Head, Row, change_row};
use toucancleat_core::settings::{Change, Edit, LiveEvent, Organisation, Tree};

use crate::fleet_size;
use crate::homes::host;
use crate::sample::{Role, Sample, Stopwatch, Traffic, measure_allocation};

/// Changes of the settings per 100 s.
const SIZES: [u64; 4] = [10, 27, 50, 100];
const HOSTS: usize = 20;
const MEASURED_S: u64 = 60;
const STEP_MS: u64 = 250;
/// Organisations in the settings tree.
const ORGANISATIONS: usize = 26_000;

pub fn measure() -> Role {
    Role {
        name: "settings dissemination",
        size: "changes of the settings per second",
        target_size: fleet_size::CHANGES_PER_DAY / fleet_size::DAY_S,
        mechanism: "one reader in each zone polls the platform; updates are gossiped to a few \
                    random peers",
        traffic_reduction: "",
        note: "20 hosts of one zone in virtual time with a tree of 26,000 organisations, \
               which all hosts of the benchmark share in memory; each change sets one value",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(changes_per_100_s: u64) -> Sample {
    let (mut zone, bytes) = measure_allocation(Zone::new);
    zone.run(MEASURED_S, changes_per_100_s);
    let node_s = (HOSTS as u64 * MEASURED_S) as f64;
    Sample {
        size: changes_per_100_s as f64 / 100.0,
        state_bytes: bytes,
        messages_per_s: zone.traffic.messages as f64 / node_s,
        bytes_per_s: zone.traffic.bytes as f64 / node_s,
        cpu_us_per_s: zone.stopwatch.elapsed.as_micros() as f64 / node_s,
    }
}

struct Zone {
    now_ms: u64,
    hosts: Vec<State>,
    names: Vec<HostName>,
    changes: Vec<Change>,
    traffic: Traffic,
    stopwatch: Stopwatch,
}

impl Zone {
    fn new() -> Self {
        let hosts = (0..HOSTS)
            .map(|i| State::new(Config::default(), i as u64))
            .collect();
        let mut zone = Zone {
            now_ms: 1_700_000_000_000,
            hosts,
            names: (0..HOSTS).map(|i| host(i).name).collect(),
            changes: Vec::new(),
            traffic: Traffic::default(),
            stopwatch: Stopwatch::default(),
        };
        zone.commit_change();
        let tree = Arc::new(settings_tree());
        for i in 0..HOSTS {
            let mut peers = zone.names.clone();
            peers.remove(i);
            let is_reader = i == 0;
            zone.deliver_event(
                i,
                Event::PeersChanged {
                    zone: peers,
                    other_zones: Vec::new(),
                    is_reader,
                },
            );
            let revision = Revision(1);
            let message = Message::Snapshot {
                revision,
                tree: Arc::clone(&tree),
                age_ms: 0,
            };
            let from = zone.names[0].clone();
            zone.deliver_event(i, Event::MessageReceived { from, message });
        }
        zone.traffic = Traffic::default();
        zone.stopwatch = Stopwatch::default();
        zone
    }

    fn run(&mut self, seconds: u64, changes_per_100_s: u64) {
        let interval_ms = 100_000 / changes_per_100_s;
        let end_ms = self.now_ms + seconds * 1_000;
        let mut next_change_ms = self.now_ms + interval_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            while next_change_ms <= self.now_ms {
                next_change_ms += interval_ms;
                self.commit_change();
            }
            for i in 0..HOSTS {
                self.deliver_event(i, Event::Tick);
            }
        }
    }

    fn commit_change(&mut self) {
        let revision = self.changes.len() as u64 + 1;
        let organisation = revision as usize * 37 % ORGANISATIONS;
        let path = format!(
            "/live_events/closure/organisations/organisation-{organisation}/level/values/priority"
        );
        self.changes.push(Change {
            revision: Revision(revision),
            change_id: ChangeId(u128::from(revision)),
            author: "operator".to_owned(),
            at_unix_ms: self.now_ms,
            edits: vec![Edit::set(&path, json!(revision % 10))],
        });
    }

    fn rows(&self, names: &[String]) -> Vec<Row> {
        names.iter().filter_map(|name| self.row(name)).collect()
    }

    fn row(&self, name: &str) -> Option<Row> {
        let last = self.changes.last()?;
        let value = if name == HEAD_ROW {
            let head = Head {
                revision: last.revision,
                change_id: last.change_id,
            };
            serde_json::to_value(head).ok()?
        } else {
            let change = self
                .changes
                .iter()
                .find(|change| change_row(change.revision) == name)?;
            serde_json::to_value(change).ok()?
        };
        Some(Row {
            row: name.to_owned(),
            version: Some(1),
            value,
        })
    }

    /// Delivers an event, and all messages and read results that follow from it.
    fn deliver_event(&mut self, i: usize, event: Event) {
        let mut pending = VecDeque::from([(i, event)]);
        while let Some((i, event)) = pending.pop_front() {
            let mut effects = Vec::new();
            let (state, now_ms) = (&mut self.hosts[i], self.now_ms);
            self.stopwatch
                .time(|| reduce(state, now_ms, event, &mut effects));
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => {
                        let from = self.names[i].clone();
                        let (traffic, stopwatch) =
                            (&mut self.traffic, &mut self.stopwatch);
                        stopwatch.time(|| traffic.count(&from, message.clone()));
                        if let Some(to) = self.names.iter().position(|name| *name == to) {
                            pending.push_back((
                                to,
                                Event::MessageReceived { from, message },
                            ));
                        }
                    }
                    Effect::ReadRows { read, rows } => {
                        let rows = Some(self.rows(&rows));
                        pending.push_back((i, Event::RowsRead { read, rows }));
                    }
                    Effect::ReadSnapshot { read, .. } => {
                        pending.push_back((
                            i,
                            Event::SnapshotRead {
                                read,
                                snapshot: None,
                            },
                        ));
                    }
                    _ => {}
                }
            }
        }
    }
}

fn settings_tree() -> Tree {
    let organisation = |i| {
        let name = OrganisationName::new(&format!("organisation-{i}"));
        let api_key_sha256 = vec!["0".repeat(64)];
        (
            name,
            Arc::new(Organisation {
                api_key_sha256,
                ..Organisation::default()
            }),
        )
    };
    let event = LiveEvent {
        starts_at_unix_ms: 1_700_000_000_000,
        ends_at_unix_ms: 1_700_100_000_000,
        level: Default::default(),
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
    };
    Tree {
        live_events: IndexMap::from([(LiveEventName::new("closure"), event)]),
        ..Tree::default()
    }
}
