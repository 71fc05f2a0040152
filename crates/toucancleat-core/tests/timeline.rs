//! The timeline: stamps, the bounded ring buffer, merging of hosts and the JSON form.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use toucancleat_core::prelude::*;
use toucancleat_core::timeline::{
    Entry, Filter, Page, Record, RecordKind, Stamp, Timeline, merge, records_related_to,
};

const RING_BYTES: usize = 64 * 1_024;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x71_3e11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn timeline(host: &str) -> Timeline {
    Timeline::new(host.into(), Incarnation(1), RING_BYTES)
}

fn sequences(page: &Page) -> Vec<u64> {
    page.records.iter().map(|record| record.sequence).collect()
}

/// A step of one of two hosts that make records and send each other messages, each with
/// its own clock.
#[derive(Clone, Debug)]
enum Step {
    Record { host: usize, advance_ms: u64 },
    Send { from: usize, advance_ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..2_usize, 0..5_u64)
            .prop_map(|(host, advance_ms)| Step::Record { host, advance_ms }),
        (0..2_usize, 0..5_u64)
            .prop_map(|(from, advance_ms)| Step::Send { from, advance_ms }),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Numbers the records in the order in which they were made. A record from which
    /// messages lead to a later record must precede it in the merged order.
    #[test]
    fn merged_order_respects_causality_despite_clock_skew(
        steps in prop::collection::vec(step(), 1..60),
        skew_ms in 0..20_000_u64,
    ) {
        let mut hosts = [timeline("a"), timeline("b")];
        let mut clocks_ms = [1_000_000, 1_000_000 + skew_ms];
        // For each host, the number of the last record of each host that causally
        // precedes its next one.
        let mut latest_causes = [[0_u64; 2]; 2];
        let mut number = 0;
        let mut causes = vec![[0, 0]];
        for step in steps {
            match step {
                Step::Record { host, advance_ms } => {
                    clocks_ms[host] += advance_ms;
                    number += 1;
                    causes.push(latest_causes[host]);
                    latest_causes[host][host] = number;
                    let entry = Entry::new(RecordKind::RequestReceived).field("number", number);
                    hosts[host].record(clocks_ms[host], entry);
                }
                Step::Send { from, advance_ms } => {
                    let to = 1 - from;
                    clocks_ms[from] += advance_ms;
                    let stamp = hosts[from].stamp(clocks_ms[from]);
                    hosts[to].observe(clocks_ms[to], stamp);
                    latest_causes[to] = [0, 1].map(|host| {
                        latest_causes[to][host].max(latest_causes[from][host])
                    });
                }
            }
        }
        let merged = merge(hosts.iter().map(|host| host.page(0, usize::MAX)));
        let numbers: Vec<u64> = merged.iter().map(record_number).collect();
        for (position, number) in numbers.iter().enumerate() {
            for cause in causes[*number as usize].iter().filter(|cause| **cause > 0) {
                prop_assert!(numbers[..position].contains(cause), "{cause} after {number}");
            }
        }
    }

    #[test]
    fn ring_stays_within_its_memory_limit_and_counts_dropped_records(
        lengths in prop::collection::vec(0..400_usize, 1..400),
        after in 0..500_u64,
    ) {
        let mut timeline = timeline("a");
        for length in &lengths {
            let entry = Entry::new(RecordKind::RequestRefused).reason("é".repeat(*length));
            timeline.record(1, entry);
            prop_assert!(timeline.bytes() <= RING_BYTES);
        }
        let page = timeline.page(after, usize::MAX);
        let last = lengths.len() as u64;
        let expected: Vec<u64> = (after + page.dropped + 1..=last).collect();
        prop_assert_eq!(sequences(&page), expected);
        prop_assert_eq!(page.next_after, last.max(after));
    }
}

fn record_number(record: &Record) -> u64 {
    let number = record.entry.fields[0].value.to_string();
    number.parse().expect("the field is a number")
}

#[test]
fn a_host_clock_far_ahead_does_not_advance_other_clocks() {
    let mut timeline = timeline("a");
    let stamp_far_ahead = Stamp {
        at_unix_ms: 10_000_000,
        counter: 0,
    };
    timeline.observe(1_000, stamp_far_ahead);
    assert!(timeline.stamp(1_000) < stamp_far_ahead);
    let stamp_slightly_ahead = Stamp {
        at_unix_ms: 2_000,
        counter: 0,
    };
    timeline.observe(1_000, stamp_slightly_ahead);
    assert!(timeline.stamp(1_000) > stamp_slightly_ahead);
}

#[test]
fn pages_follow_each_other_without_gaps_or_repeats() {
    let mut timeline = timeline("a");
    for _ in 0..5 {
        timeline.record(1, Entry::new(RecordKind::HostStarted));
    }
    let first = timeline.page(0, 3);
    assert_eq!((sequences(&first), first.next_after), (vec![1, 2, 3], 3));
    let second = timeline.page(first.next_after, 3);
    assert_eq!((sequences(&second), second.next_after), (vec![4, 5], 5));
    let last = timeline.page(second.next_after, 3);
    assert_eq!((sequences(&last), last.next_after), (vec![], 5));
}

fn full_record() -> Record {
    let mut timeline = timeline("entry-1");
    let entry = Entry::new(RecordKind::RequestDispatched)
        .request(RequestId(1))
        .generation(GenerationId(2))
        .organisation(&"sl".into())
        .target(&"plan-1".into())
        .field("attempt", 1_u32)
        .field("hedged", false)
        .field("chance", 0.5)
        .reason("most room");
    timeline.record(7, entry);
    timeline.page(0, 1).records.remove(0)
}

#[test]
fn json_form_of_records_is_stable_and_unknown_kinds_are_accepted() {
    let json = json!({
        "stamp": {"at_unix_ms": 7, "counter": 0},
        "host": "entry-1", "sequence": 1, "kind": "request_dispatched",
        "request": "00000000000000000000000000000001",
        "generation": "00000000000000000000000000000002",
        "organisation": "sl", "target": "plan-1",
        "fields": {"attempt": 1, "hedged": false, "chance": 0.5, "reason": "most room"},
    });
    let text =
        serde_json::to_string(&full_record()).expect("a record serialises as JSON");
    assert_eq!(
        serde_json::from_str::<serde_json::Value>(&text).expect("the text is JSON"),
        json
    );
    assert_eq!(
        serde_json::from_str::<Record>(&text).expect("the text is a record"),
        full_record()
    );
    let with_unknown_kind = json!({
        "stamp": {"at_unix_ms": 7, "counter": 0}, "host": "h", "sequence": 1,
        "kind": "from_a_later_version",
    });
    let with_unknown_kind: Record =
        serde_json::from_value(with_unknown_kind).expect("a record of an unknown kind");
    assert_eq!(with_unknown_kind.entry.kind, RecordKind::Other);
}

#[test]
fn filters_select_records_that_match_every_field() {
    let any = Filter::default;
    let cases = [
        (any(), true),
        (
            Filter {
                request: Some(RequestId(1)),
                ..any()
            },
            true,
        ),
        (
            Filter {
                request: Some(RequestId(3)),
                ..any()
            },
            false,
        ),
        (
            Filter {
                target: Some("plan-1".into()),
                ..any()
            },
            true,
        ),
        (
            Filter {
                target: Some("plan-2".into()),
                ..any()
            },
            false,
        ),
        (
            Filter {
                organisation: Some("sl".into()),
                ..any()
            },
            true,
        ),
        (
            Filter {
                organisation: Some("ul".into()),
                ..any()
            },
            false,
        ),
        (
            Filter {
                kinds: vec![RecordKind::RequestDispatched, RecordKind::Other],
                ..any()
            },
            true,
        ),
        (
            Filter {
                kinds: vec![RecordKind::FirstToken],
                ..any()
            },
            false,
        ),
        (
            Filter {
                request: Some(RequestId(1)),
                target: Some("x".into()),
                ..any()
            },
            false,
        ),
    ];
    for (filter, expected) in cases {
        assert_eq!(filter.matches(&full_record()), expected, "{filter:?}");
    }
}

#[test]
fn related_records_include_resumptions_at_other_hosts() {
    let entry = |request, generation| {
        let entry = Entry::new(RecordKind::StreamResumed).request(RequestId(request));
        entry.generation(GenerationId(generation))
    };
    let mut hosts = [timeline("a"), timeline("b")];
    hosts[0].record(1, entry(1, 10));
    let admitted = Entry::new(RecordKind::RequestAdmitted).request(RequestId(2));
    hosts[1].record(2, admitted);
    hosts[1].record(3, entry(2, 10));
    hosts[1].record(4, entry(3, 11));
    let records = merge(hosts.iter().map(|host| host.page(0, usize::MAX)));
    let related = records_related_to(RequestId(1), &records);
    let requests: Vec<_> = related.iter().map(|record| record.entry.request).collect();
    assert_eq!(requests, [1, 2, 2].map(|id| Some(RequestId(id))));
}
