//! Values that each host computes by itself and that hosts of several builds compare.
//!
//! The expected ones were computed by the build of the last landing, 2b1dfa5. One that differs
//! would make hosts of the two builds read the store for ever, or ask the wrong keepers. See
//! docs/design/compatibility.md.

mod support;

use support::{at, change, entry};
use toucancleat_core::rng::stable_hash;
use toucancleat_fleet::host_ring::HostRing;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::stream_origin::StreamKey;
use toucancleat_fleet::target::TargetDirectory;

#[test]
fn values_that_hosts_compare_are_those_of_the_last_landing() {
    let mut directory = TargetDirectory::default();
    let mut leaving = entry("roster", "upp-b", 9);
    leaving.is_leaving = true;
    leaving.slow_start_left_ms = 700;
    leaving.started_unix_ms = None;
    let mut list = vec![
        change("i-1", 3, Some(entry("engines", "upp-a", 7))),
        change("i-2", 4, Some(leaving)),
    ];
    directory.replace_all(at(5), &mut list);
    let depot = OrganisationName::new("depot");
    let mut ring = HostRing::default();
    for number in 1..=6 {
        ring.insert(&HostName::new(&format!("host-{number}")));
    }
    let keepers = ring.successors(1 << 62, 3, |_| true);
    let keepers: Vec<&str> = keepers.into_iter().map(HostName::as_str).collect();
    struct Case {
        name: &'static str,
        value: u64,
        expected: u64,
    }
    let cases = [
        Case {
            name: "digest of the host list",
            value: directory.digest(),
            expected: 8_216_088_235_868_012_238,
        },
        Case {
            name: "digest of the versions of the targets' software",
            value: directory.version_digest(),
            expected: 3_433_542_825_095_536_240,
        },
        Case {
            name: "key of a stream",
            value: StreamKey::new(Some(&depot), "attempt-1").hash(),
            expected: 4_659_288_437_785_005_150,
        },
        Case {
            name: "part of a prompt",
            value: stable_hash(b"5c1e07a2"),
            expected: 12_346_748_629_925_844_088,
        },
    ];
    let found: Vec<(&str, u64)> =
        cases.iter().map(|case| (case.name, case.value)).collect();
    let expected: Vec<(&str, u64)> = cases
        .iter()
        .map(|case| (case.name, case.expected))
        .collect();
    assert_eq!(found, expected);
    assert_eq!(keepers, ["host-2", "host-3", "host-6"]);
}
