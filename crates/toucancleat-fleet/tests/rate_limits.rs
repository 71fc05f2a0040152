//! Limits that targets name for the requests of all hosts together, in virtual time.

mod support;

use support::fleet::Fleet;
use support::traffic::{NamedLimit, Traffic};
use support::*;
use toucancleat_fleet::target::TargetEntry;

/// Time from the moment at which a target first names a limit until it is in force.
const IN_FORCE_AFTER_MS: u64 = 3_000;

/// Requests in any window that may exceed the share of the limit.
const SLACK: f64 = 5.0;

/// Factor by which the requests in any window may exceed the limit.
const OVERAGE: f64 = 1.5;

/// Length of the window, in seconds.
const WINDOW_S: f64 = support::traffic::LIMIT_WINDOW_MS as f64 / 1_000.0;

const ZONES: [&str; 4] = ["upp-a", "upp-b", "vas-a", "ore-a"];

fn roster_targets(count: usize) -> Vec<(String, TargetEntry)> {
    (0..count)
        .map(|n| {
            let zone = ZONES[n % ZONES.len()];
            (format!("roster-{n}"), entry("roster", zone, 900 + n as u16))
        })
        .collect()
}

fn traffic(
    hosts: u16,
    rate_per_s: f64,
    targets: usize,
    limits: Vec<NamedLimit>,
) -> Traffic {
    let targets = roster_targets(targets);
    let targets: Vec<(&str, TargetEntry)> = targets
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    Traffic::new(Fleet::new(hosts, &ZONES, &targets), rate_per_s, limits)
}

fn allowed(limit_per_s: f64) -> usize {
    (OVERAGE * limit_per_s * WINDOW_S + SLACK) as usize
}

/// Guards against a target that gets many times the requests that it has said it takes,
/// because no host reads the limit or each counts for itself. See
/// docs/incidents/limit-of-a-target-exceeded.md.
#[test]
fn limits_hold_for_the_sum_over_all_hosts() {
    struct Case {
        name: &'static str,
        hosts: u16,
        rate_per_s: f64,
        targets: usize,
        /// Limits by the number of the target.
        limits: &'static [(usize, f64)],
    }
    let cases = [
        Case {
            name: "two of four targets, few hosts",
            hosts: 8,
            rate_per_s: 45.0,
            targets: 4,
            limits: &[(2, 4.9), (1, 1.9)],
        },
        Case {
            name: "two of four targets, more hosts than requests in a window",
            hosts: 61,
            rate_per_s: 160.0,
            targets: 4,
            limits: &[(0, 4.9), (3, 1.9)],
        },
        Case {
            name: "all targets, many hosts",
            hosts: 195,
            rate_per_s: 200.0,
            targets: 6,
            limits: &[(0, 2.0), (1, 2.0), (2, 2.0), (3, 2.0), (4, 2.0), (5, 2.0)],
        },
        Case {
            name: "nothing at all",
            hosts: 8,
            rate_per_s: 45.0,
            targets: 4,
            limits: &[(0, 0.0)],
        },
        Case {
            name: "more than anybody sends",
            hosts: 8,
            rate_per_s: 45.0,
            targets: 4,
            limits: &[(0, 1_000.0)],
        },
    ];
    for case in cases {
        let from_ms = START_MS + 6_000;
        let until_ms = START_MS + 22_000;
        let limits = case.limits.iter().map(|(target, per_s)| NamedLimit {
            target: format!("roster-{target}"),
            per_s: *per_s,
            from_ms,
            until_ms,
        });
        let mut traffic =
            traffic(case.hosts, case.rate_per_s, case.targets, limits.collect());
        traffic.advance(until_ms - traffic.fleet.now_ms);
        for (target, limit_per_s) in case.limits {
            let target = format!("roster-{target}");
            let in_force_ms = from_ms + IN_FORCE_AFTER_MS;
            let (count, at_ms) =
                traffic.highest_in_window(&target, in_force_ms, until_ms, |arrival| {
                    arrival.is_told
                });
            let allowed = allowed(*limit_per_s);
            assert!(
                count <= allowed,
                "{}: {target} named {limit_per_s}/s and got {count} requests in 4 s from \
                 {} ms on; allowed {allowed}",
                case.name,
                at_ms - from_ms
            );
        }
    }
}
