//! Random settings trees, with so few names that two trees often share some.

use std::sync::Arc;

use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::{
    Delivery, Level, LiveEvent, Organisation, Pool, Target, TargetClass, Tree, Values,
};

/// Returns the configuration of every property test, with a fixed seed so that each run
/// has the same cases.
pub fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x5e77_1465),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates random trees, which need not pass the check.
pub fn tree() -> impl Strategy<Value = Tree> {
    let zones = prop::collection::vec("[ab]".prop_map(|name| ZoneName::new(&name)), 0..3);
    let pools = map_of("[pq/~]", pool());
    let live_events = map_of("[ef~]", live_event());
    (zones, pools, level(), live_events).prop_map(|(zones, pools, fleet, live_events)| {
        Tree {
            zones,
            pools: to_map(pools),
            fleet,
            live_events: to_map(live_events),
        }
    })
}

fn pool() -> impl Strategy<Value = Pool> {
    map_of("[tu]", any::<(u16, bool)>()).prop_map(|targets| Pool {
        class: TargetClass::ModelEngine,
        targets: to_map(
            targets
                .into_iter()
                .map(|(name, value)| (name, target(value))),
        ),
    })
}

fn target((port, checks_fencing): (u16, bool)) -> Target {
    Target {
        zone: ZoneName::new("a"),
        address: format!("127.0.0.1:{port}"),
        memory_tokens: 0,
        max_batch: 0,
        checks_fencing,
        models: None,
        adapters: checks_fencing.then(IndexMap::new),
        role: checks_fencing.then(|| "generate".to_owned()),
    }
}

fn live_event() -> impl Strategy<Value = LiveEvent> {
    let organisations = map_of("[xyz/]", organisation());
    (any::<u32>(), level(), organisations).prop_map(|(start, level, organisations)| {
        LiveEvent {
            starts_at_unix_ms: start.into(),
            ends_at_unix_ms: u64::from(start) + 1,
            level,
            organisations: to_map(
                organisations.into_iter().map(|(n, o)| (n, Arc::new(o))),
            ),
        }
    })
}

fn organisation() -> impl Strategy<Value = Organisation> {
    let keys = prop::collection::vec("[0-9a-f]{2}", 0..2);
    (keys, level()).prop_map(|(api_key_sha256, level)| Organisation {
        api_key_sha256,
        level,
    })
}

fn level() -> impl Strategy<Value = Level> {
    (values(), map_of("[kl]", values())).prop_map(|(values, kinds)| Level {
        values,
        kinds: to_map(kinds),
    })
}

fn values() -> impl Strategy<Value = Values> {
    let whole = proptest::option::of(Just(Delivery::Whole));
    (
        any::<Option<u8>>(),
        any::<Option<u64>>(),
        proptest::option::of(-1.0e9..1.0e9),
        whole,
    )
        .prop_map(|(priority, timeout_ms, share_weight, delivery)| Values {
            priority,
            timeout_ms,
            share_weight,
            delivery,
            ..Values::default()
        })
}

fn map_of<V: Strategy>(
    name: &'static str,
    value: V,
) -> impl Strategy<Value = Vec<(String, V::Value)>> {
    prop::collection::vec((name, value), 0..3)
}

fn to_map<K, V>(entries: impl IntoIterator<Item = (String, V)>) -> IndexMap<K, V>
where
    K: for<'a> From<&'a str> + std::hash::Hash + Eq,
{
    entries
        .into_iter()
        .map(|(name, value)| (K::from(name.as_str()), value))
        .collect()
}
