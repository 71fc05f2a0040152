//! Keys that a configuration has withdrawn, at hosts that read an older one while the store has returned to a
//! copy.

mod support;

use support::store::StoreFleet;
use support::*;
use toucancleat_fleet::config::FleetConfig;
use toucancleat_fleet::prelude::*;

/// Time after which no request with a withdrawn key may run.
const REVOCATION_BOUND_MS: u64 = 5_000;

/// Time for which the store is away.
const AWAY_MS: u64 = 500;

/// Time from the return of the store until the operator writes the configuration again.
const WRITTEN_AGAIN_MS: u64 = 3_000;

fn start(hosts: u16) -> StoreFleet {
    let targets = [("roster-1", entry("roster", "upp-a", 901))];
    let config = FleetConfig {
        revocation_bound_ms: REVOCATION_BOUND_MS,
        ..default_config()
    };
    StoreFleet::with_config(hosts, &["upp-a", "upp-b"], &targets, config)
}

/// Returns true if a host runs a request with a key by the configuration that it knows.
fn runs_requests(fleet: &mut StoreFleet, host: usize) -> bool {
    let now_ms = fleet.now_ms;
    let number = 1_000_000 + now_ms;
    let state = &mut fleet.hosts[host];
    let effects = receive_request(state, now_ms, number, incoming_request("lookup"));
    let request_number = RequestNumber(number);
    apply(state, now_ms, Event::RequestClosed { request_number });
    !dispatches(&effects).is_empty()
}

fn version(fleet: &StoreFleet, host: usize) -> Option<u64> {
    let configuration = fleet.hosts[host].configuration();
    configuration.map(|known| known.version)
}

/// Guards against review/8: a host that was started while the store had returned to a copy from before a key
/// was withdrawn took the copy's configuration for confirmed, and ran requests with that key.
#[test]
fn no_host_runs_requests_by_a_configuration_that_the_store_has_returned_to() {
    struct Case {
        name: &'static str,
        hosts: u16,
        /// Hosts that are restarted when the store has returned.
        restarted: &'static [usize],
        /// Time from the return to their restart.
        restarted_after_ms: u64,
        /// A host that reaches nobody from the time before the key was withdrawn until the return.
        cut_off: Option<usize>,
    }
    let plain = Case {
        name: "a host is restarted at the return",
        hosts: 4,
        restarted: &[1],
        restarted_after_ms: 0,
        cut_off: None,
    };
    let cases = [
        Case {
            name: "a host is restarted later",
            restarted_after_ms: 1_000,
            ..plain
        },
        Case {
            name: "the reader is restarted",
            restarted: &[0],
            ..plain
        },
        Case {
            name: "several hosts are restarted together",
            hosts: 8,
            restarted: &[0, 1, 2, 3, 4],
            ..plain
        },
        Case {
            name: "a host of a larger fleet is restarted",
            hosts: 61,
            restarted: &[30],
            ..plain
        },
        Case {
            name: "a host was cut off",
            restarted: &[],
            cut_off: Some(2),
            ..plain
        },
        plain,
    ];
    for case in cases {
        let mut fleet = start(case.hosts);
        let copy = fleet.rows.clone();
        if let Some(host) = case.cut_off {
            fleet.isolated.insert(host);
            fleet.refused.insert(host);
        }
        fleet.rows.write_configuration(2);
        fleet.advance(REVOCATION_BOUND_MS + 500);
        fleet.is_up = false;
        fleet.advance(AWAY_MS);
        fleet.is_up = true;
        fleet.return_to(&copy);
        fleet.isolated.clear();
        fleet.refused.clear();
        let returned_ms = fleet.now_ms;
        let mut restarted = false;
        while fleet.now_ms < returned_ms + WRITTEN_AGAIN_MS {
            if !restarted && fleet.now_ms >= returned_ms + case.restarted_after_ms {
                restarted = true;
                for host in case.restarted {
                    fleet.restart(*host);
                }
            }
            fleet.advance(25);
            for host in 0..usize::from(case.hosts) {
                let runs = runs_requests(&mut fleet, host);
                let after_ms = fleet.now_ms - returned_ms;
                assert!(
                    !runs || version(&fleet, host) == Some(2),
                    "{}: host {host}, {after_ms} ms after the return",
                    case.name
                );
            }
        }
        fleet.rows.write_configuration(2);
        fleet.advance(1_500);
        for host in 0..usize::from(case.hosts) {
            assert!(
                runs_requests(&mut fleet, host),
                "{}: host {host}",
                case.name
            );
            assert_eq!(version(&fleet, host), Some(2), "{}", case.name);
        }
    }
}

/// Guards against a host that waits for peers which don't come: it has to serve when it is alone.
#[test]
fn a_host_without_live_peers_serves_soon_after_its_start() {
    struct Case {
        name: &'static str,
        hosts: u16,
        /// Time from its start until it serves.
        serves_after_ms: u64,
    }
    let cases = [
        Case {
            name: "the only host",
            hosts: 1,
            serves_after_ms: 100,
        },
        Case {
            name: "the only one of 8 that is left",
            hosts: 8,
            serves_after_ms: 1_500,
        },
        Case {
            name: "the only one of 61 that is left",
            hosts: 61,
            serves_after_ms: 1_500,
        },
    ];
    for case in cases {
        let mut fleet = start(case.hosts);
        fleet.isolated.extend(1..usize::from(case.hosts));
        fleet.restart(0);
        fleet.advance(case.serves_after_ms);
        assert!(runs_requests(&mut fleet, 0), "{}", case.name);
    }
}
