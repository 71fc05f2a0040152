//! Poison parts of prompts, which crash every engine that begins to answer a request with one.

mod support;

use support::crashing::CrashingFleet;
use toucancleat_fleet::prelude::*;

/// Time after the fifth crash from which hosts know of it.
const CONTACT_MS: u64 = 3_000;

/// Requests with a poison part that may reach engines from then on.
const LATE_ARRIVALS_MAX: usize = 3;

const POISON: PartId = PartId(u64::MAX);

/// The first parts of prompts, of which there are eight, and the second ones.
fn first_part(n: usize) -> PartId {
    PartId(100 + n as u64 % 8)
}

fn second_part(n: usize) -> PartId {
    PartId(1_000 + n as u64 % 400)
}

/// Sends the sound requests of one step: long streams and short ones.
fn send_sound(simulation: &mut CrashingFleet, hosts: f64) {
    for (kind, per_s, length_ms) in
        [("draft", 0.55 * hosts, 8_000), ("check", 0.8 * hosts, 100)]
    {
        if simulation.is_due(per_s) {
            let parts = vec![
                first_part(simulation.rng.below(8)),
                second_part(simulation.rng.below(400)),
            ];
            simulation.send(kind, parts, length_ms, false);
        }
    }
}

/// Guards against the incident of docs/incidents/prompt-part-crashes-targets.md: requests that
/// share only a poison part crashed engine after engine, since no two of them were alike.
#[test]
fn requests_with_a_poison_part_are_refused_by_all_hosts() {
    #[derive(Clone, Copy)]
    struct Case {
        name: &'static str,
        hosts: u16,
        engines: u16,
        /// Time of sound requests before the first poison request.
        quiet_ms: u64,
        /// The other parts of a poison request, from a random number.
        other_parts: fn(usize) -> Vec<PartId>,
        kind: &'static str,
        /// Whether every host is restarted, one after the other, from 4 s after the first crash
        /// on.
        restarts_hosts: bool,
        /// Whether the engines of a zone fail at the moment of the first poison request.
        zone_fails: bool,
    }
    let plain = Case {
        name: "other parts at random",
        hosts: 8,
        engines: 12,
        quiet_ms: 10_000,
        other_parts: |n| vec![first_part(n), second_part(n / 8)],
        kind: "check",
        restarts_hosts: false,
        zone_fails: false,
    };
    let cases = [
        Case {
            name: "always the same other parts",
            other_parts: |_| vec![first_part(0), second_part(0)],
            ..plain
        },
        Case {
            name: "no other part",
            other_parts: |_| Vec::new(),
            ..plain
        },
        Case {
            name: "streams that run once only",
            kind: "draft",
            ..plain
        },
        Case {
            name: "the fleet has just started",
            quiet_ms: 0,
            ..plain
        },
        Case {
            name: "hosts are restarted",
            restarts_hosts: true,
            ..plain
        },
        Case {
            name: "a zone fails at the same time",
            zone_fails: true,
            ..plain
        },
        Case {
            name: "61 hosts",
            hosts: 61,
            engines: 60,
            quiet_ms: 4_000,
            ..plain
        },
        plain,
    ];
    for case in cases {
        let zones = ["upp-a", "upp-b", "vas-a", "ore-a"];
        let mut simulation = CrashingFleet::new(case.hosts, case.engines, &zones, 5);
        let hosts = f64::from(case.hosts);
        let began_ms = simulation.fleet.now_ms;
        let poison_from_ms = began_ms + case.quiet_ms;
        let end_ms = poison_from_ms + 24_000;
        while simulation.fleet.now_ms < end_ms {
            send_sound(&mut simulation, hosts);
            let now_ms = simulation.fleet.now_ms;
            if case.zone_fails && now_ms == poison_from_ms {
                for target in simulation.engines_of("vas-a") {
                    simulation.crash(&target);
                }
            }
            if now_ms >= poison_from_ms && simulation.is_due(4.0) {
                let mut parts = (case.other_parts)(simulation.rng.below(3_200));
                parts.push(POISON);
                simulation.send(case.kind, parts, 0, true);
            }
            let restart_ms = (now_ms - began_ms).saturating_sub(case.quiet_ms + 4_000);
            if case.restarts_hosts && restart_ms > 0 && restart_ms.is_multiple_of(600) {
                let host = (restart_ms / 600 - 1) as usize;
                if host < usize::from(case.hosts) {
                    simulation.restart(host);
                }
            }
            simulation.step();
        }
        let bound_ms = simulation.crashes_ms.get(4).map(|at_ms| at_ms + CONTACT_MS);
        let is_in_touch = |at_ms: u64, host: usize| {
            let restarted_ms = simulation.restarted_ms.get(&host);
            restarted_ms.is_none_or(|restarted_ms| at_ms >= restarted_ms + CONTACT_MS)
        };
        let late = simulation.poison_arrivals.iter().filter(|(at_ms, host)| {
            bound_ms.is_some_and(|bound_ms| *at_ms >= bound_ms)
                && is_in_touch(*at_ms, *host)
        });
        assert!(
            late.clone().count() <= LATE_ARRIVALS_MAX,
            "{}: {} requests after the fifth of {} crashes",
            case.name,
            late.count(),
            simulation.crashes_ms.len(),
        );
        let last_counted = simulation.crashes_ms.iter().take(5).next_back();
        let sound_from_ms = last_counted.map_or(end_ms, |at_ms| at_ms + 2 * CONTACT_MS);
        let begun = simulation.begun_share(sound_from_ms, end_ms - 500);
        assert!(
            begun >= 0.5,
            "{}: {begun:.2} of the sound requests began",
            case.name
        );
    }
}

/// A part that crashes no engine must not be refused because engines fail.
#[test]
fn sound_parts_are_not_refused_when_engines_fail() {
    struct Case {
        name: &'static str,
        /// Time between two failures of a random engine.
        failure_ms: Option<u64>,
        /// Time between two failures of all engines of a zone.
        zone_failure_ms: Option<u64>,
        quiet_ms: u64,
    }
    let cases = [
        Case {
            name: "an engine fails each second",
            failure_ms: Some(1_000),
            zone_failure_ms: None,
            quiet_ms: 4_000,
        },
        Case {
            name: "a zone fails each six seconds",
            failure_ms: None,
            zone_failure_ms: Some(6_000),
            quiet_ms: 4_000,
        },
        Case {
            name: "engines and zones fail from the start on",
            failure_ms: Some(2_000),
            zone_failure_ms: Some(8_000),
            quiet_ms: 0,
        },
    ];
    for case in cases {
        let zones = ["upp-a", "upp-b", "vas-a", "ore-a"];
        let mut simulation = CrashingFleet::new(8, 12, &zones, 9);
        let began_ms = simulation.fleet.now_ms;
        let is_due = |interval_ms: Option<u64>, ran_ms: u64| {
            interval_ms
                .is_some_and(|ms| ran_ms > case.quiet_ms && ran_ms.is_multiple_of(ms))
        };
        while simulation.fleet.now_ms < began_ms + 40_000 {
            send_sound(&mut simulation, 8.0);
            let ran_ms = simulation.fleet.now_ms - began_ms;
            let zone = zones[simulation.rng.below(4)];
            let engines = simulation.engines_of(zone);
            if is_due(case.zone_failure_ms, ran_ms) {
                for target in &engines {
                    simulation.crash(target);
                }
            } else if is_due(case.failure_ms, ran_ms) {
                let index = simulation.rng.below(engines.len());
                simulation.crash(&engines[index]);
            }
            simulation.step();
        }
        assert_eq!(simulation.poison_refusals, 0, "{}", case.name);
    }
}
