//! Tests of the routing policies, of the retry budget and of spilling to other zones.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::routing::{
    Candidate, RetryBudget, RoutingInputs, ZoneSummary, affinity_key, name_hash,
    prefix_hashes, rank_candidates, spill_zone,
};
use toucancleat_core::settings::RoutingPolicy;

fn names(count: usize) -> Vec<TargetName> {
    (0..count)
        .map(|i| TargetName::new(&format!("t{i}")))
        .collect()
}

fn idle_candidates(names: &[TargetName]) -> Vec<Candidate<'_>> {
    let idle = |name| Candidate {
        name,
        name_hash: name_hash(name.as_str()),
        outstanding: 0,
        reported_load: 0,
        used_share: 0.0,
        wait_ms: 0,
    };
    names.iter().map(idle).collect()
}

struct Case {
    name: &'static str,
    policy: RoutingPolicy,
    change: fn(&mut [Candidate<'_>]),
    /// Expected share of 1,000 choices whose first target is `t0`.
    expected_share: std::ops::RangeInclusive<f64>,
}

const CASES: &[Case] = &[
    Case {
        name: "round robin: the load is ignored",
        policy: RoutingPolicy::RoundRobin,
        change: |targets| targets[0].outstanding = 99,
        expected_share: 0.25..=0.25,
    },
    Case {
        name: "least outstanding: the target with the fewest requests is chosen",
        policy: RoutingPolicy::LeastOutstanding,
        change: |targets| targets[1..].iter_mut().for_each(|t| t.outstanding = 1),
        expected_share: 1.0..=1.0,
    },
    Case {
        name: "two choices: the less loaded target is chosen whenever it is drawn",
        policy: RoutingPolicy::TwoChoices,
        change: |targets| targets[1..].iter_mut().for_each(|t| t.reported_load = 1),
        expected_share: 0.45..=0.55,
    },
    Case {
        name: "two choices: the most loaded target is never chosen",
        policy: RoutingPolicy::TwoChoices,
        change: |targets| targets[0].reported_load = 1,
        expected_share: 0.0..=0.0,
    },
    Case {
        name: "home accounts: affinity is ignored for a crowded target",
        policy: RoutingPolicy::HomeAccounts,
        change: |targets| targets.iter_mut().for_each(|t| t.wait_ms = 5_000),
        expected_share: 0.2..=0.3,
    },
];

#[test]
fn loaded_target_is_not_preferred_by_a_policy_that_measures_its_load() {
    for case in CASES {
        let names = names(4);
        let mut targets = idle_candidates(&names);
        (case.change)(&mut targets);
        let (mut round_robin_counter, mut rng) = (0, Rng::new(1));
        let mut first = 0;
        for _ in 0..1_000 {
            let inputs = RoutingInputs {
                policy: case.policy,
                affinity_key: Some(7),
                round_robin_counter: &mut round_robin_counter,
                rng: &mut rng,
                candidates_max: 2,
            };
            first += u32::from(rank_candidates(&targets, inputs)[0] == names[0]);
        }
        let share = f64::from(first) / 1_000.0;
        assert!(
            case.expected_share.contains(&share),
            "{}: {share}",
            case.name
        );
    }
}

#[test]
fn equal_prefixes_share_a_target_and_others_are_distributed() {
    let names = names(12);
    let targets = idle_candidates(&names);
    let mut first_counts: IndexMap<TargetName, u32> = IndexMap::new();
    let (mut round_robin_counter, mut rng) = (0, Rng::new(1));
    for line in 0..240 {
        let shared = format!("line {line:04} ").repeat(60);
        let mut line_targets = Vec::new();
        for stop in 0..3 {
            let hashes = prefix_hashes(format!("{shared} stop {stop}").as_bytes());
            let inputs = RoutingInputs {
                policy: RoutingPolicy::HomeAccounts,
                affinity_key: affinity_key(&hashes),
                round_robin_counter: &mut round_robin_counter,
                rng: &mut rng,
                candidates_max: 2,
            };
            line_targets.push(rank_candidates(&targets, inputs).remove(0));
        }
        assert!(
            line_targets.iter().all(|t| *t == line_targets[0]),
            "prompts of line {line} were sent to several targets"
        );
        *first_counts.entry(line_targets.remove(0)).or_default() += 1;
    }
    assert_eq!(first_counts.len(), 12);
    assert!(
        first_counts.values().all(|&n| (8..=36).contains(&n)),
        "{first_counts:?}"
    );
}

#[test]
fn prefix_hashes_are_few_and_distinguish_prompts() {
    let long = vec![b'a'; 1_000_000];
    let hashes = prefix_hashes(&long);
    assert!(hashes.len() <= 16);
    let mut other = long.clone();
    other[999_999] = b'b';
    let others = prefix_hashes(&other);
    let shared = hashes.len() - 1;
    assert_eq!(hashes[..shared], others[..shared]);
    assert_ne!(hashes[shared], others[shared]);
    assert_eq!(prefix_hashes(b"").len(), 1);
}

#[test]
fn retry_budget_bounds_amplification() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(0.1);
        retries += u32::from(budget.withdraw());
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

#[test]
fn spill_chooses_a_zone_with_capacity() {
    let summary = |zone: &str, wait_ms, used_share, measured_unix_ms| ZoneSummary {
        zone: ZoneName::new(zone),
        pool: PoolName::new("plan-llm"),
        wait_ms,
        used_share,
        measured_unix_ms,
    };
    let summaries = [
        summary("full", 100, 0.95, 10_000),
        summary("slow", 5_000, 0.2, 10_000),
        summary("old", 0, 0.1, 1_000),
        summary("room", 100, 0.5, 10_000),
    ];
    let pool = PoolName::new("plan-llm");
    let spilled = |own_wait_ms| {
        spill_zone(&summaries, &pool, own_wait_ms, 10_100, 7).map(ZoneName::as_str)
    };
    assert_eq!(spilled(5_000), Some("room"));
    assert_eq!(spilled(150), None, "a short wait doesn't justify spilling");
}
