//! Tests of the admission to targets through their accounts.

#[allow(dead_code, reason = "each test file uses a part of the module")]
mod zone;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::accounts::{Event, LoadReport, RefusalReason, Request};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::RoutingPolicy;
use zone::{Faults, Zone, report, request, target};

struct Case {
    name: &'static str,
    memory_tokens: u64,
    max_batch: u32,
    modify: fn(&mut Request),
    requests: u128,
    dispatched: usize,
    queued: u32,
    refused: Option<RefusalReason>,
}

const CASES: &[Case] = &[
    Case {
        name: "an idle target admits a request at once",
        memory_tokens: 10_000,
        max_batch: 8,
        modify: |_| {},
        requests: 1,
        dispatched: 1,
        queued: 0,
        refused: None,
    },
    Case {
        name: "the batch limits the running generations",
        memory_tokens: 1_000_000,
        max_batch: 3,
        modify: |_| {},
        requests: 5,
        dispatched: 3,
        queued: 2,
        refused: None,
    },
    Case {
        name: "a policy that reserves the maximum length admits fewer requests",
        memory_tokens: 2_500,
        max_batch: 8,
        modify: |r| r.limits.policy = RoutingPolicy::ReserveMaximum,
        requests: 3,
        dispatched: 2,
        queued: 1,
        refused: None,
    },
    Case {
        name: "a prompt that fills the memory is refused",
        memory_tokens: 1_000,
        max_batch: 8,
        modify: |r| r.prompt_tokens = 1_000,
        requests: 1,
        dispatched: 0,
        queued: 0,
        refused: Some(RefusalReason::TooLarge),
    },
    Case {
        name: "a request whose answer can't be on time is refused",
        memory_tokens: 10_000,
        max_batch: 8,
        modify: |r| r.deadline_unix_ms = 1_000_300,
        requests: 1,
        dispatched: 0,
        queued: 0,
        refused: Some(RefusalReason::DeadlineUnreachable),
    },
    Case {
        name: "a request for a pool without targets is refused",
        memory_tokens: 10_000,
        max_batch: 8,
        modify: |r| r.pool = PoolName::new("other"),
        requests: 1,
        dispatched: 0,
        queued: 0,
        refused: Some(RefusalReason::NoTarget),
    },
    Case {
        name: "a request that would wait beyond the queue timeout is refused",
        memory_tokens: 1_000_000,
        max_batch: 1,
        modify: |r| r.limits.queue_timeout_ms = 1,
        requests: 2,
        dispatched: 1,
        queued: 0,
        refused: Some(RefusalReason::QueueTimeout),
    },
];

#[test]
fn one_target_admits_queues_or_refuses() {
    for case in CASES {
        let targets = [target("t0", case.memory_tokens, case.max_batch)];
        let mut zone = Zone::new(2, &targets, 1);
        for id in 0..case.requests {
            let mut request = request(id, "org", zone.now_ms);
            (case.modify)(&mut request);
            zone.deliver_event(&HostName::new("h1"), Event::RequestReceived(request));
        }
        zone.advance_ms(20);
        assert_eq!(zone.dispatched.len(), case.dispatched, "{}", case.name);
        assert_eq!(zone.queued_count(), case.queued, "{}", case.name);
        let reason = zone.refused.values().next().map(|r| r.0);
        assert_eq!(reason, case.refused, "{}", case.name);
    }
}

#[test]
fn admission_leaves_memory_for_growing_answers() {
    // The prompts of all 18 requests fit, but their expected answers don't.
    let mut zone = Zone::new(1, &[target("t0", 2_000, 64)], 1);
    for id in 0..18 {
        let request = request(id, "org", zone.now_ms);
        zone.deliver_event(&HostName::new("h0"), Event::RequestReceived(request));
    }
    let dispatched = zone.dispatched.len();
    assert!(
        (1..9).contains(&dispatched),
        "{dispatched} of 18 requests were dispatched"
    );
}

#[test]
fn step_time_above_its_bound_stops_admission() {
    let mut zone = Zone::new(1, &[target("t0", 1_000_000, 64)], 1);
    let host = HostName::new("h0");
    for batch in [2, 4, 6, 8, 10, 12] {
        let event = Event::LoadReported {
            target: TargetName::new("t0"),
            report: report(batch, 10.0 + 2.9 * f64::from(batch)),
        };
        zone.deliver_event(&host, event);
    }
    for id in 0..20 {
        let request = request(id, "org", zone.now_ms);
        zone.deliver_event(&host, Event::RequestReceived(request));
    }
    assert_eq!(
        zone.dispatched.len(),
        7,
        "a batch of 7 takes 30.3 ms, and one of 8 takes 33.2 ms"
    );
}

#[test]
fn organisation_within_its_share_overtakes_a_long_queue() {
    let mut zone = Zone::new(2, &[target("t0", 1_000_000, 2)], 1);
    let host = HostName::new("h1");
    for id in 0..20 {
        let request = request(id, "crowd", zone.now_ms);
        zone.deliver_event(&host, Event::RequestReceived(request));
    }
    zone.advance_ms(20);
    let late_request = request(100, "small", zone.now_ms);
    zone.deliver_event(&host, Event::RequestReceived(late_request));
    zone.advance_ms(20);
    let first = zone.dispatched[0].clone();
    zone.finish(&first, 200);
    zone.advance_ms(20);
    assert_eq!(zone.dispatched[2].request, RequestId(100));
}

#[test]
fn least_slack_starts_first_within_one_organisation() {
    let mut zone = Zone::new(1, &[target("t0", 1_000_000, 1)], 1);
    let host = HostName::new("h0");
    for (id, deadline_ms) in [(0, 90_000), (1, 90_000), (2, 80_000), (3, 85_000)] {
        let mut request = request(id, "org", zone.now_ms);
        request.deadline_unix_ms = zone.now_ms + deadline_ms;
        zone.deliver_event(&host, Event::RequestReceived(request));
    }
    for index in 0..3 {
        let running = zone.dispatched[index].clone();
        zone.finish(&running, 10);
    }
    let order: Vec<u128> = zone.dispatched.iter().map(|d| d.request.0).collect();
    assert_eq!(order, [0, 2, 3, 1]);
}

#[test]
fn leaving_target_gets_no_work_and_its_queue_moves() {
    let mut zone = Zone::new(2, &[target("t0", 9_000, 1), target("t1", 9_000, 1)], 1);
    let host = HostName::new("h1");
    for id in 0..4 {
        let request = request(id, "org", zone.now_ms);
        zone.deliver_event(&host, Event::RequestReceived(request));
    }
    zone.advance_ms(500);
    assert_eq!(zone.dispatched.len(), 2);
    let leaving = TargetName::new("t0");
    zone.deliver_to_all_hosts(&Event::TargetLeaving {
        target: leaving.clone(),
    });
    for running in zone.dispatched.clone() {
        zone.finish(&running, 10);
    }
    zone.advance_ms(500);
    let later = &zone.dispatched[2..];
    assert!(!later.is_empty(), "no queued request was dispatched");
    assert!(later.iter().all(|d| d.target != leaving), "{later:?}");
}

#[test]
fn new_home_rebuilds_accounts_from_holdings() {
    let mut zone = Zone::new(3, &[target("t0", 1_000_000, 4)], 1);
    zone.homes = vec![(TargetName::new("t0"), HostName::new("h2"))];
    zone.deliver_homes();
    zone.advance_ms(100);
    for id in 0..4 {
        let request = request(id, "org", zone.now_ms);
        zone.deliver_event(&HostName::new("h1"), Event::RequestReceived(request));
    }
    zone.advance_ms(100);
    assert_eq!(zone.dispatched.len(), 4);
    zone.crash_host("h2");
    zone.deliver_homes();
    zone.advance_ms(100);
    assert_eq!(
        zone.running_count(),
        4,
        "the new home doesn't know all running generations"
    );
    let next_request = request(9, "org", zone.now_ms);
    zone.deliver_event(&HostName::new("h0"), Event::RequestReceived(next_request));
    zone.advance_ms(100);
    assert_eq!(
        zone.dispatched.len(),
        4,
        "the new home exceeded the full batch"
    );
}

#[test]
fn hosts_without_a_home_use_a_cautious_share() {
    let mut zone = Zone::new(2, &[target("t0", 100_000, 8)], 1);
    zone.crash_host("h0");
    for id in 0..20 {
        let request = request(id, "org", zone.now_ms);
        zone.deliver_event(&HostName::new("h1"), Event::RequestReceived(request));
    }
    zone.advance_ms(1_000);
    let dispatched = zone.dispatched.len();
    assert!(
        (1..=4).contains(&dispatched),
        "{dispatched} requests were dispatched to a batch of 8"
    );
}

#[test]
fn unaccounted_memory_is_not_reserved() {
    let mut zone = Zone::new(1, &[target("t0", 10_000, 64)], 1);
    let host = HostName::new("h0");
    let load_reported = |used_tokens| Event::LoadReported {
        target: TargetName::new("t0"),
        report: LoadReport {
            used_tokens,
            ..report(8, 20.0)
        },
    };
    for _ in 0..4 {
        zone.deliver_event(&host, load_reported(9_500));
    }
    let first = request(1, "org", zone.now_ms);
    zone.deliver_event(&host, Event::RequestReceived(first));
    assert_eq!(
        zone.dispatched,
        [],
        "a request was admitted although unaccounted work fills the target"
    );
    zone.deliver_event(&host, load_reported(0));
    zone.advance_ms(100);
    assert_eq!(zone.dispatched.len(), 1);
}

#[test]
fn retries_are_bounded_by_the_retry_budget() {
    let mut zone = Zone::new(1, &[target("t0", 1_000_000, 1_000)], 1);
    let host = HostName::new("h0");
    for id in 0..100 {
        let mut request = request(id, "org", zone.now_ms);
        request.attempt = 1;
        zone.deliver_event(&host, Event::RequestReceived(request));
    }
    let reasons: Vec<_> = zone.refused.values().map(|r| r.0).collect();
    assert_eq!(reasons, vec![RefusalReason::RetryBudget; 90]);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// With lost, duplicated and delayed messages, each request is dispatched to one
    /// target or refused exactly once, and no account keeps a generation that has ended.
    #[test]
    fn each_request_is_dispatched_or_refused_once(
        seed in 0u64..1_000_000,
        lost_percent in 0usize..40,
        duplicated_percent in 0usize..40,
        delay_max_ms in 0usize..300,
        gaps_ms in prop::collection::vec(0u64..200, 1..40),
    ) {
        let targets = [target("t0", 4_000, 3), target("t1", 4_000, 3)];
        let mut zone = Zone::new(3, &targets, seed);
        zone.faults = Faults { lost_percent, duplicated_percent, delay_max_ms };
        for (id, &gap_ms) in gaps_ms.iter().enumerate() {
            zone.advance_ms(gap_ms);
            let host = HostName::new(&format!("h{}", id % 3));
            let mut request = request(id as u128, "org", zone.now_ms);
            request.limits.queue_timeout_ms = 5_000;
            zone.deliver_event(&host, Event::RequestReceived(request));
        }
        zone.advance_ms(6_000);
        let mut settled: Vec<RequestId> = zone.dispatched.iter().map(|d| d.request).collect();
        settled.extend(zone.refused.keys());
        settled.sort();
        let all: Vec<RequestId> = (0..gaps_ms.len()).map(|i| RequestId(i as u128)).collect();
        prop_assert_eq!(settled, all);
        for running in zone.dispatched.clone() {
            zone.finish(&running, 50);
        }
        zone.advance_ms(8_000);
        prop_assert_eq!((zone.running_count(), zone.queued_count()), (0, 0));
    }
}
