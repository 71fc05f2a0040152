//! Engines of several software versions, and hosts that know them.

use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::TargetEntry;

use super::*;

/// Returns an engine with a version of its software.
pub fn engine(zone: &str, number: u16, version: &str) -> TargetEntry {
    TargetEntry {
        software_version: Some(SoftwareVersion::new(version)),
        ..entry("engines", zone, number)
    }
}

pub fn leaving(entry: &TargetEntry) -> TargetEntry {
    TargetEntry {
        is_leaving: true,
        ..entry.clone()
    }
}

/// Sends a stream to the only engine, and lets it deliver events. Then the other engines join.
pub fn host_with_stream(
    kind: &str,
    events: u64,
    version: &str,
    others: &[(&str, &str)],
) -> State {
    let mut host = empty_host("host-01", "upp-a", 1);
    populate(
        &mut host,
        START_MS,
        &[("engine-1", engine("upp-a", 101, version))],
    );
    let effects = receive_request(&mut host, START_MS, 1, incoming_request(kind));
    assert_eq!(dispatches(&effects).len(), 1);
    apply(
        &mut host,
        START_MS,
        Event::StreamProgressed {
            request_number: RequestNumber(1),
            events,
        },
    );
    let joining: Vec<_> = (102..)
        .zip(others)
        .map(|(number, (name, version))| {
            change(name, 11, Some(engine("upp-a", number, version)))
        })
        .collect();
    let reply = Reply::TargetFeed {
        store_version: 11,
        changes: joining,
    };
    let query = Query::TargetFeed { after: 10 };
    answer(&mut host, START_MS, query, reply);
    host
}

/// Applies changes of the host list that the store shows.
pub fn show(
    host: &mut State,
    now_ms: u64,
    version: u64,
    changes: &[(&str, Option<TargetEntry>)],
) {
    let changes = changes
        .iter()
        .map(|(name, entry)| change(name, version, entry.clone()))
        .collect();
    let reply = Reply::TargetFeed {
        store_version: version,
        changes,
    };
    let query = Query::TargetFeed { after: version - 1 };
    // A call that was made earlier returns without changes.
    let unchanged = Reply::TargetFeed {
        store_version: version - 1,
        changes: Vec::new(),
    };
    answer(host, now_ms, query, unchanged);
    answer(host, now_ms, query, reply);
    apply(host, now_ms, Event::Tick);
}
