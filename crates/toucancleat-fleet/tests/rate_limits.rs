//! Limits that targets name for the requests of all hosts together, in virtual time.

mod support;

use support::fleet::Fleet;
use support::traffic::{NamedLimit, Traffic};
use support::*;
use toucancleat_fleet::prelude::*;
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

fn limit(target: usize, per_s: f64, from_ms: u64, until_ms: u64) -> NamedLimit {
    NamedLimit {
        target: format!("roster-{target}"),
        per_s,
        from_ms,
        until_ms,
    }
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
        let from_ms = START_MS + 4_000;
        let until_ms = START_MS + 16_000;
        let limits = case
            .limits
            .iter()
            .map(|(target, per_s)| limit(*target, *per_s, from_ms, until_ms));
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

/// Guards against shares that add up to more than the limit, or to nothing, when the hosts
/// that share it change at the worst moment.
#[test]
fn limits_hold_while_hosts_come_and_go() {
    const LIMIT_PER_S: f64 = 3.0;
    struct Case {
        name: &'static str,
        /// Acts on the hosts that have sent the most requests to the target.
        act: fn(&mut Traffic, &[usize]),
        /// Ends the fault after three seconds.
        end: fn(&mut Traffic, &[usize]),
    }
    fn nothing(_: &mut Traffic, _: &[usize]) {}
    fn kill(traffic: &mut Traffic, senders: &[usize]) {
        for sender in senders {
            traffic.serving.swap_remove(sender);
            traffic.fleet.silent.insert(*sender);
        }
    }
    fn restart(traffic: &mut Traffic, senders: &[usize]) {
        let targets = roster_targets(1);
        let targets: Vec<(&str, TargetEntry)> = targets
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.clone()))
            .collect();
        for sender in senders {
            traffic.fleet.silent.swap_remove(sender);
            traffic.fleet.restart(*sender, &targets);
            traffic.forget_told(*sender);
            traffic.serving.insert(*sender);
        }
    }
    fn wake(traffic: &mut Traffic, senders: &[usize]) {
        for sender in senders {
            traffic.fleet.silent.swap_remove(sender);
            traffic.serving.insert(*sender);
        }
    }
    let cases = [
        Case {
            name: "the senders are killed",
            act: kill,
            end: nothing,
        },
        Case {
            name: "the senders are killed and start again",
            act: kill,
            end: restart,
        },
        Case {
            name: "the senders are suspended",
            act: kill,
            end: wake,
        },
        Case {
            name: "the senders are cut off from the other hosts, not from the target",
            act: |traffic, senders| traffic.fleet.isolated.extend(senders.to_vec()),
            end: |traffic, _| traffic.fleet.isolated.clear(),
        },
        Case {
            name: "all hosts are cut off from each other",
            act: |traffic, _| traffic.fleet.loses_messages = true,
            end: |traffic, _| traffic.fleet.loses_messages = false,
        },
        Case {
            name: "no requests, and then many at the same moment",
            act: |traffic, _| traffic.rate_per_host_per_s = 0.0,
            end: |traffic, _| traffic.rate_per_host_per_s = 40.0,
        },
        Case {
            name: "half of the hosts are killed",
            act: |traffic, _| {
                let half: Vec<usize> =
                    (0..traffic.fleet.hosts.len()).step_by(2).collect();
                kill(traffic, &half);
            },
            end: nothing,
        },
        Case {
            name: "all hosts start again",
            act: |traffic, _| {
                let all: Vec<usize> = (0..traffic.fleet.hosts.len()).collect();
                restart(traffic, &all);
            },
            end: nothing,
        },
    ];
    for hosts in [8, 61] {
        for case in &cases {
            let from_ms = START_MS + 3_000;
            let until_ms = START_MS + 20_000;
            let limits = vec![limit(0, LIMIT_PER_S, from_ms, until_ms)];
            let mut traffic = traffic(hosts, 45.0, 1, limits);
            traffic.advance(from_ms + 5_000 - traffic.fleet.now_ms);
            let senders = traffic.senders("roster-0", from_ms + IN_FORCE_AFTER_MS);
            assert!(!senders.is_empty(), "{}, {hosts} hosts", case.name);
            let acted_ms = traffic.fleet.now_ms;
            (case.act)(&mut traffic, &senders);
            traffic.advance(3_000);
            (case.end)(&mut traffic, &senders);
            traffic.advance(until_ms - traffic.fleet.now_ms);
            let in_force_ms = from_ms + IN_FORCE_AFTER_MS;
            let (count, at_ms) =
                traffic.highest_in_window("roster-0", in_force_ms, until_ms, |_| true);
            let allowed = allowed(LIMIT_PER_S);
            assert!(
                count <= allowed,
                "{}, {hosts} hosts: {count} requests in 4 s from {} ms after the fault on; \
                 allowed {allowed}",
                case.name,
                at_ms as i64 - acted_ms as i64
            );
            let after = traffic.count("roster-0", until_ms - 6_000, until_ms);
            assert!(
                after as f64 >= 6.0 * LIMIT_PER_S / 2.0,
                "{}, {hosts} hosts: only {after} requests in the last 6 s",
                case.name
            );
        }
    }
}

/// Guards against a limit that costs callers more than it has to: what the target doesn't
/// take goes to the others, the permits are used, and the limit ends with its last answer.
#[test]
fn what_limits_permit_is_used() {
    struct Case {
        name: &'static str,
        hosts: u16,
        rate_per_s: f64,
        limits_per_s: &'static [f64],
        /// Whether requests are refused, since all targets together take fewer.
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "one of four targets",
            hosts: 8,
            rate_per_s: 45.0,
            limits_per_s: &[3.0],
            is_refused: false,
        },
        Case {
            name: "all targets, less than is asked for",
            hosts: 8,
            rate_per_s: 45.0,
            limits_per_s: &[5.0, 5.0, 2.0, 8.0],
            is_refused: true,
        },
        Case {
            name: "all targets, less than is asked for, more hosts",
            hosts: 61,
            rate_per_s: 160.0,
            limits_per_s: &[5.0, 5.0, 2.0, 8.0],
            is_refused: true,
        },
    ];
    for case in cases {
        let from_ms = START_MS + 3_000;
        let until_ms = START_MS + 17_000;
        let limits = (0..).zip(case.limits_per_s);
        let limits =
            limits.map(|(target, per_s)| limit(target, *per_s, from_ms, until_ms));
        let mut traffic = traffic(case.hosts, case.rate_per_s, 4, limits.collect());
        traffic.advance(until_ms - traffic.fleet.now_ms);
        for (target, limit_per_s) in case.limits_per_s.iter().enumerate() {
            let target = format!("roster-{target}");
            let in_force_ms = from_ms + IN_FORCE_AFTER_MS;
            let used = traffic.count(&target, in_force_ms, until_ms) as f64;
            let permitted = limit_per_s * (until_ms - in_force_ms) as f64 / 1_000.0;
            assert!(
                used >= 0.6 * permitted,
                "{}: {target} got {used} of {permitted} requests",
                case.name
            );
        }
        assert_eq!(
            !traffic.refusals.is_empty(),
            case.is_refused,
            "{}",
            case.name
        );
        for refusal in &traffic.refusals {
            assert_eq!(refusal.reason, Reason::TargetsLimited, "{}", case.name);
            assert_eq!(refusal.verdict, Verdict::NotRun, "{}", case.name);
            assert!(refusal.retry_after_ms.is_some(), "{}", case.name);
        }
        let refused_before = traffic.refusals.len();
        traffic.advance(8_000);
        let refused = traffic.refusals.len() - refused_before;
        assert!(
            refused <= 5,
            "{}: {refused} refused after the end",
            case.name
        );
        let now_ms = traffic.fleet.now_ms;
        for target in 0..4 {
            let target = format!("roster-{target}");
            let got = traffic.count(&target, now_ms - 4_000, now_ms) as f64 / 4.0;
            assert!(
                got >= case.rate_per_s / 4.0 / 2.0,
                "{}: {target} got {got}/s after the end of its limit",
                case.name
            );
        }
    }
}
