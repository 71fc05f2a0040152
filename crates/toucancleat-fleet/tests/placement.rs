//! Placement of streams while most engines are full.

mod support;

use indexmap::IndexMap;
use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::target::TargetEntry;

/// Applies the receipt of a stream's request at a host, delivers the resulting messages
/// and returns the target that was selected.
fn send(
    fleet: &mut Fleet,
    index: usize,
    request_number: u64,
    kind: &str,
) -> Option<TargetName> {
    let now_ms = fleet.now_ms;
    let effects = receive_request(
        &mut fleet.hosts[index],
        now_ms,
        request_number,
        incoming_request(kind),
    );
    let target = dispatches(&effects).first().map(|sent| sent.target.clone());
    fleet.execute(index, effects, true);
    target
}

/// Applies one tick at each host in turn and returns the targets of streams that left the
/// queue.
fn tick_all(fleet: &mut Fleet, after_ms: u64) -> Vec<TargetName> {
    fleet.now_ms += after_ms;
    let mut sent = Vec::new();
    for index in 0..fleet.hosts.len() {
        let effects = apply(&mut fleet.hosts[index], fleet.now_ms, Event::Tick);
        sent.extend(dispatches(&effects).iter().map(|sent| sent.target.clone()));
        fleet.execute(index, effects, true);
    }
    sent
}

/// Returns numbered engines in the given zones.
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

/// Hosts that select before they have received each other's loads may all select an
/// engine that has just joined. Seen with 61 hosts: 14 requests for five places.
#[test]
fn joining_engine_is_not_overloaded_by_concurrent_hosts() {
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

/// Hosts of several zones without room may all select the same engine of another zone
/// before they have received each other's loads. Seen with loads that reached other zones
/// after a second: engines were filled to 1.3 to 1.6 times their memory while others were
/// half empty.
#[test]
fn hosts_of_several_zones_do_not_overload_one_engine() {
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
    for target in tick_all(&mut fleet, 250) {
        *sent.entry(target).or_default() += 1;
    }
    assert!(sent.values().all(|runs| *runs <= 5), "{sent:?}");
}

/// If the end of a stream is announced only with the periodic messages, up to 1.2 s
/// later, requests are queued or refused while memory is free. Seen with a tenth of the
/// engines' memory unused.
#[test]
fn memory_freed_by_a_stream_is_used_by_a_request_queued_at_another_host() {
    let engines = engines(&["upp-a"]);
    let mut fleet = fleet(12, &["upp-a", "upp-b", "vas-a"], &engines);
    for request in 0..5 {
        let sent = send(&mut fleet, 0, request, "draft");
        assert!(sent.is_some(), "the engine has room for five streams");
    }
    assert_eq!(send(&mut fleet, 3, 5, "draft"), None);
    let now_ms = fleet.now_ms;
    apply(
        &mut fleet.hosts[0],
        now_ms,
        Event::RequestClosed {
            request_number: RequestNumber(2),
        },
    );
    // One tick announces the freed memory, and the next one at the latest uses it.
    let mut sent = tick_all(&mut fleet, 25);
    sent.extend(tick_all(&mut fleet, 25));
    assert_eq!(sent.len(), 1, "{sent:?}");
}
