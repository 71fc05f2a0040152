//! Cost of computing the homes of the keys that a host uses.

use std::net::SocketAddr;

use toucancleat_core::homes::{HomeKey, Homes};
use toucancleat_core::membership::Host;
use toucancleat_core::prelude::*;

use crate::fleet_size;
use crate::sample::{Role, Sample, Stopwatch, measure_allocation};

const SIZES: [usize; 4] = [3_000, 6_000, 12_000, 24_000];
const CHANGES: u64 = 20;

pub fn measure() -> Role {
    Role {
        name: "homes",
        size: "targets and organisations whose home a host caches",
        target_size: fleet_size::ZONE_TARGETS + fleet_size::ORGANISATIONS,
        mechanism: "rendezvous hashing over the zone's live hosts, computed by each host \
                    alone, without messages",
        traffic_reduction: "",
        note: "60 hosts in the zone; processor time for the zone's share of replaced and \
               failing hosts, each of which leaves and joins",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(keys: usize) -> Sample {
    let hosts: Vec<Host> = (0..fleet_size::ZONE_HOSTS as usize).map(host).collect();
    let keys: Vec<HomeKey> = (0..keys)
        .map(|i| {
            HomeKey::Organisation(OrganisationName::new(&format!("organisation-{i}")))
        })
        .collect();
    let (mut homes, bytes) = measure_allocation(|| {
        let mut homes = Homes::new();
        homes.update(0, &hosts);
        for key in &keys {
            homes.home(key);
        }
        homes
    });
    let mut stopwatch = Stopwatch::default();
    for version in 1..=CHANGES {
        let removed = version as usize % hosts.len();
        let live: Vec<&Host> = hosts
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != removed)
            .map(|(_, host)| host)
            .collect();
        stopwatch.time(|| homes.update(version, live.iter().copied()));
    }
    let change_us = stopwatch.elapsed.as_micros() as f64 / CHANGES as f64;
    let changes_per_day = 2.0
        * (fleet_size::REPLACEMENTS_PER_DAY + fleet_size::FAILURES_PER_DAY)
        / fleet_size::ZONES;
    Sample {
        size: keys.len() as f64,
        state_bytes: bytes,
        cpu_us_per_s: change_us * changes_per_day / fleet_size::DAY_S,
        ..Sample::default()
    }
}

pub fn host(i: usize) -> Host {
    Host {
        name: HostName::new(&format!("entry-upp-a-{i}")),
        zone: ZoneName::new("upp-a"),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        incarnation: Incarnation(1),
    }
}
