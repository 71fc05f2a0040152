//! Which hosts read the store for all, while others have missed changes.

mod support;

use support::fleet::Fleet;
use support::{address, answer, change, entry};
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::TargetEntry;

const ZONES: [&str; 4] = ["upp-a", "upp-b", "vas-a", "ore-a"];

/// Age of a configuration from which keys aren't trusted.
const REVOCATION_BOUND_MS: u64 = 5_000;

/// Guards against a fleet without a reader: hosts that have missed changes of the host list read
/// it for themselves, again and again while targets come and go. They counted as readers, so the
/// reader gave up its role, no host read the configuration, and all refused every request.
#[test]
fn hosts_that_missed_changes_do_not_replace_the_reader() {
    struct Case {
        name: &'static str,
        hosts: u16,
    }
    let cases = [
        Case {
            name: "8 hosts",
            hosts: 8,
        },
        Case {
            name: "61 hosts",
            hosts: 61,
        },
    ];
    for case in cases {
        let known = [("engine-1", entry("engines", "upp-a", 101))];
        let mut fleet = Fleet::new(case.hosts, &ZONES, &known);
        // The store answers one host only, so that one becomes the reader. Its name is the last.
        let reader = usize::from(case.hosts) - 1;
        fleet.refused = (0..reader).collect();
        fleet.advance(20_000);
        fleet.refused.clear();
        fleet.advance(1_000);
        let list = |version: u64| {
            let engine =
                |n: u16| (format!("engine-{n}"), entry("engines", "upp-a", 100 + n));
            let engines: Vec<(String, TargetEntry)> =
                (1..=1 + version as u16).map(engine).collect();
            engines
                .into_iter()
                .map(|(name, entry)| change(&name, version, Some(entry)))
                .collect::<Vec<_>>()
        };
        // Engines join all the time. One host learns of each first, the others are behind it.
        let mut version = 20;
        for step in 0..80 {
            if step % 10 == 0 {
                version += 1;
                fleet.host_list = Some((version, list(version - 20)));
                let ahead = reader - 1;
                let reply = Reply::Targets {
                    store_version: version,
                    list: list(version - 20),
                };
                let now_ms = fleet.now_ms;
                answer(&mut fleet.hosts[ahead], now_ms, Query::Targets, reply);
            }
            fleet.advance(100);
            for (number, host) in fleet.hosts.iter().enumerate() {
                let age_ms = host.configuration_age_ms(fleet.now_ms).unwrap();
                assert!(
                    age_ms < REVOCATION_BOUND_MS,
                    "{}: {} at {step}: {age_ms} ms",
                    case.name,
                    address(number as u16 + 1)
                );
            }
        }
    }
}
