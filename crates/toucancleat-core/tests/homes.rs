//! Homes: the same on every host, evenly spread, and moved as little as possible.

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
fn only_the_share_of_a_host_moves() {
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
        let gone = before[case.removed].name.clone();
        let owned = keys.iter().filter(|key| homes.is_home(key, &gone)).count();
        let mean = keys.len() / case.hosts;
        assert!(
            (mean / 2..mean * 2).contains(&owned),
            "{} hosts: {owned}",
            case.hosts
        );

        let after: Vec<&Host> = before.iter().filter(|host| host.name != gone).collect();
        let moved = homes.update(2, after.iter().copied());
        assert_eq!(moved.len(), owned, "{} hosts", case.hosts);
        assert!(moved.iter().all(|moved| moved.from.as_ref() == Some(&gone)));

        let back = homes.update(3, &before);
        assert_eq!(back.len(), owned);
        assert!(back.iter().all(|moved| moved.to.as_ref() == Some(&gone)));
    }
}

#[test]
fn without_a_live_host_there_is_no_home() {
    let mut homes = Homes::new();
    assert_eq!(homes.home(&keys(1)[0]), None);
    assert!(homes.update(1, &hosts(1)).len() == 1);
}
