//! Streams that look for room while most engines are full: who goes where, and who waits.

mod support;

use indexmap::IndexMap;
use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::target::TargetEntry;

/// Lets a stream arrive at one of the hosts and tells the others; returns its target.
fn send(fleet: &mut Fleet, index: usize, ticket: u64, kind: &str) -> Option<TargetName> {
    let now_ms = fleet.now_ms;
    let effects = arrive(&mut fleet.hosts[index], now_ms, ticket, arrival(kind));
    let target = dispatches(&effects).first().map(|sent| sent.target.clone());
    fleet.execute(index, effects, true);
    target
}

/// Lets one tick pass at each host in turn; returns where waiting streams went.
fn look_for_room(fleet: &mut Fleet, after_ms: u64) -> Vec<TargetName> {
    fleet.now_ms += after_ms;
    let mut sent = Vec::new();
    for index in 0..fleet.hosts.len() {
        let effects = apply(&mut fleet.hosts[index], fleet.now_ms, Event::Tick);
        sent.extend(dispatches(&effects).iter().map(|sent| sent.target.clone()));
        fleet.execute(index, effects, true);
    }
    sent
}

/// Returns engines with a number for each, by the zones in which they are.
fn engines(zones: &[&str]) -> Vec<(String, TargetEntry)> {
    let engine = |(index, zone): (usize, &&str)| {
        let number = 101 + index as u16;
        (
            format!("engine-{}", index + 1),
            entry("engines", zone, number),
        )
    };
    zones.iter().enumerate().map(engine).collect()
}

fn fleet(size: u16, zones: &[&str], engines: &[(String, TargetEntry)]) -> Fleet {
    let targets: Vec<(&str, TargetEntry)> = engines
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    Fleet::new(size, zones, &targets)
}

/// On the quiet day of a deployment with 61 hosts an engine that had just joined got 14
/// requests for five places within the time in which hosts didn't know of each other's
/// choices.
#[test]
fn an_engine_that_joins_is_not_rushed() {
    let engines = engines(&["upp-a", "upp-a", "upp-a"]);
    let mut fleet = fleet(12, &["upp-a"], &engines);
    let mut sent = IndexMap::<TargetName, u64>::new();
    // Three engines of 20,000 tokens hold 15 drafts; 12 hosts get two each.
    for request in 0..24 {
        if let Some(target) = send(&mut fleet, request % 12, request as u64, "draft") {
            *sent.entry(target).or_default() += 1;
        }
    }
    assert_eq!(sent.values().sum::<u64>(), 15, "{sent:?}");
    assert!(sent.values().all(|runs| *runs == 5), "{sent:?}");
}

/// On the same day engines were 1.3 to 1.6 times full while others were half empty: hosts of
/// several zones without room found the same engine in another zone, and learned of each
/// other's choices only a second later.
#[test]
fn hosts_of_several_zones_do_not_meet_at_one_engine() {
    let engines = engines(&["upp-a", "upp-b", "vas-a"]);
    let mut fleet = fleet(12, &["upp-a", "upp-b", "vas-a"], &engines);
    // Three engines hold 15 drafts; hosts of two zones get nine each.
    let mut sent = IndexMap::<TargetName, u64>::new();
    for request in 0..18 {
        let index = request % 2 + 3 * (request / 2 % 4);
        if let Some(target) = send(&mut fleet, index, request as u64, "draft") {
            *sent.entry(target).or_default() += 1;
        }
    }
    for target in look_for_room(&mut fleet, 250) {
        *sent.entry(target).or_default() += 1;
    }
    assert!(sent.values().all(|runs| *runs <= 5), "{sent:?}");
}

/// On the same day a tenth of the engines' memory was free and nobody knew it: hosts told of
/// streams that had ended up to 1.2 s later, while others waited or were refused.
#[test]
fn room_that_a_stream_leaves_is_taken_by_one_that_waits_elsewhere() {
    let engines = engines(&["upp-a"]);
    let mut fleet = fleet(12, &["upp-a", "upp-b", "vas-a"], &engines);
    for request in 0..5 {
        let sent = send(&mut fleet, 0, request, "draft");
        assert!(sent.is_some(), "the engine has room for five");
    }
    assert_eq!(send(&mut fleet, 3, 5, "draft"), None);
    let now_ms = fleet.now_ms;
    apply(
        &mut fleet.hosts[0],
        now_ms,
        Event::Closed { ticket: Ticket(2) },
    );
    // One tick tells of it, and the next one at the latest finds the room.
    let mut sent = look_for_room(&mut fleet, 25);
    sent.extend(look_for_room(&mut fleet, 25));
    assert_eq!(sent.len(), 1, "{sent:?}");
}
