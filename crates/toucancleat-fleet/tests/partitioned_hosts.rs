//! Hosts that have lost their path to the targets, while callers and peers reach them.

mod support;

use support::partition::{PartitionedFleet, Refusing};
use toucancleat_core::rng::Rng;

/// Time after the beginning of a partition from which callers have to be served.
const CONTACT_MS: u64 = 3_000;

/// Guards against the incident of docs/incidents/host-without-path-to-targets.md: hosts that were
/// partitioned from all targets refused every request, while their peers reached the targets.
#[test]
fn callers_of_a_host_without_a_path_to_the_targets_are_served() {
    struct Case {
        name: &'static str,
        hosts: u16,
        /// Returns true if a host, by its number, is cut off.
        is_cut: fn(usize) -> bool,
        refusing: Refusing,
        /// Whether one pool only is out of reach.
        is_one_pool: bool,
    }
    let plain = Case {
        name: "one host, connections are refused",
        hosts: 8,
        is_cut: |host| host == 3,
        refusing: Refusing::AtOnce,
        is_one_pool: false,
    };
    let cases = [
        Case {
            name: "one host, connections hang",
            refusing: Refusing::AfterTimeout,
            ..plain
        },
        Case {
            name: "one pool only",
            is_one_pool: true,
            ..plain
        },
        Case {
            name: "half of all hosts",
            is_cut: |host| host < 4,
            ..plain
        },
        Case {
            name: "a whole zone, connections hang",
            is_cut: |host| host % 4 == 1,
            refusing: Refusing::AfterTimeout,
            ..plain
        },
        Case {
            name: "most of the hosts",
            is_cut: |host| host != 5,
            ..plain
        },
        Case {
            name: "61 hosts, a zone of them",
            hosts: 61,
            is_cut: |host| host % 4 == 1,
            ..plain
        },
        plain,
    ];
    for case in cases {
        let mut fleet = PartitionedFleet::new(case.hosts, 12);
        let mut rng = Rng::new(11);
        let began_ms = fleet.now_ms();
        let cut = began_ms + 4_000..began_ms + 16_000;
        while fleet.now_ms() < began_ms + 22_000 {
            let is_cut = cut.contains(&fleet.now_ms());
            fleet.cut = (0..usize::from(case.hosts))
                .filter(|host| is_cut && (case.is_cut)(*host))
                .collect();
            fleet.refusing = case.refusing;
            fleet.cut_pool = case.is_one_pool.then_some("roster");
            for host in 0..usize::from(case.hosts) {
                if rng.below(1_000) < 120 {
                    let kind = ["lookup", "booking", "check", "draft"][rng.below(4)];
                    fleet.send(host, kind);
                }
            }
            fleet.step();
        }
        let counted = cut.start + CONTACT_MS..cut.end;
        let served = fleet.served_share(counted.clone(), |host| (case.is_cut)(host));
        let served_elsewhere = fleet.served_share(counted, |host| !(case.is_cut)(host));
        assert!(
            served_elsewhere > 0.9,
            "{}: {served_elsewhere:.2} of the requests at the other hosts are served",
            case.name
        );
        assert!(
            served >= served_elsewhere * 2.0 / 3.0,
            "{}: {served:.2} of the requests at the cut hosts are served, {served_elsewhere:.2} at the others",
            case.name
        );
        let restored = cut.end + CONTACT_MS..began_ms + 21_000;
        let direct = fleet.direct_share(restored, |host| (case.is_cut)(host));
        assert!(
            direct > 0.99,
            "{}: {direct:.2} of the requests are sent to targets directly once they are reachable",
            case.name
        );
        assert_eq!(
            fleet.highest_runs(),
            1,
            "{}: no request runs twice",
            case.name
        );
    }
}
