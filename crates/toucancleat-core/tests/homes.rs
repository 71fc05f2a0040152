//! Homes are the same on every host, evenly distributed, and moved only when their host
//! joins or leaves.

use std::net::SocketAddr;

use toucancleat_core::homes::{HomeKey, Homes};
use toucancleat_core::membership::Host;
use toucancleat_core::prelude::*;

fn hosts(count: usize) -> Vec<Host> {
    (0..count)
        .map(|i| Host {
            name: HostName::new(&format!("entry-{i}")),
            zone: ZoneName::new("kumamoto"),
            address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
            incarnation: Incarnation(1),
        })
        .collect()
}

fn keys(count: usize) -> Vec<HomeKey> {
    (0..count)
        .map(|i| HomeKey::Target(TargetName::new(&format!("ledger-llm-{i}"))))
        .collect()
}

#[test]
fn homes_do_not_depend_on_the_order_of_hosts() {
    let mut hosts = hosts(7);
    let (mut forward, mut backward) = (Homes::new(), Homes::new());
    forward.update(1, &hosts);
    hosts.reverse();
    backward.update(1, &hosts);
    for key in keys(500) {
        assert_eq!(forward.home(&key), backward.home(&key));
    }
}

#[test]
fn removing_a_host_moves_only_its_own_keys_and_restoring_it_moves_them_back() {
    struct Case {
        hosts: usize,
        removed: usize,
    }
    let cases = [
        Case {
            hosts: 2,
            removed: 0,
        },
        Case {
            hosts: 8,
            removed: 3,
        },
        Case {
            hosts: 60,
            removed: 59,
        },
    ];
    let keys = keys(6_000);
    for case in cases {
        let before = hosts(case.hosts);
        let mut homes = Homes::new();
        homes.update(1, &before);
        let removed_host = before[case.removed].name.clone();
        let owned_count = keys
            .iter()
            .filter(|key| homes.is_home(key, &removed_host))
            .count();
        let mean_count = keys.len() / case.hosts;
        assert!(
            (mean_count / 2..mean_count * 2).contains(&owned_count),
            "{} hosts: {owned_count}",
            case.hosts
        );

        let after: Vec<&Host> = before
            .iter()
            .filter(|host| host.name != removed_host)
            .collect();
        let moved = homes.update(2, after.iter().copied());
        assert_eq!(moved.len(), owned_count, "{} hosts", case.hosts);
        assert!(
            moved
                .iter()
                .all(|moved| moved.from.as_ref() == Some(&removed_host))
        );

        let moved_back = homes.update(3, &before);
        assert_eq!(moved_back.len(), owned_count);
        assert!(
            moved_back
                .iter()
                .all(|moved| moved.to.as_ref() == Some(&removed_host))
        );
    }
}

#[test]
fn no_key_has_a_home_without_a_live_host() {
    let mut homes = Homes::new();
    assert_eq!(homes.home(&keys(1)[0]), None);
    assert!(homes.update(1, &hosts(1)).len() == 1);
}
