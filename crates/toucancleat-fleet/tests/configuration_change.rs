//! The difference between two versions of the configuration.

mod support;

use indexmap::IndexMap;
use proptest::prelude::*;
use support::*;
use toucancleat_fleet::configuration::{
    CallerLimits, Configuration, Organisation, Pool, RetrySafety,
};
use toucancleat_fleet::configuration_change::{CHANGED_ENTRIES_MAX, ConfigurationChange};
use toucancleat_fleet::prelude::*;

/// Returns a configuration with one route and key for each number.
fn with_entries(version: u64, numbers: &[u8]) -> Configuration {
    let routes = numbers.iter().map(|number| Route {
        timeout_ms: u64::from(number % 3),
        ..route(
            &format!("kind-{}", number / 2),
            RetrySafety::Idempotent,
            "roster",
        )
    });
    let organisations = numbers.iter().map(|number| {
        let organisation = Organisation {
            name: OrganisationName::new(&format!("depot-{}", number % 5)),
            priority: None,
            home_regions: Vec::new(),
        };
        (format!("key-{}", number / 2), organisation)
    });
    let mut by_key: IndexMap<String, Route> = IndexMap::new();
    for route in routes {
        by_key.insert(route.path_prefix.clone(), route);
    }
    Configuration {
        version,
        routes: by_key.into_values().collect(),
        organisations: organisations.collect(),
        ..configuration(version)
    }
}

/// Sorts the routes, whose order has no meaning.
fn sorted(mut configuration: Configuration) -> Configuration {
    configuration
        .routes
        .sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
    configuration
}

proptest! {
    #[test]
    fn applying_a_change_yields_the_later_version(
        before in prop::collection::vec(0..40_u8, 0..20),
        after in prop::collection::vec(0..40_u8, 0..20),
    ) {
        let before = with_entries(1, &before);
        let after = with_entries(2, &after);
        let change = ConfigurationChange::between(&before, &after).expect("the change is small");
        let applied = change.apply(&before).expect("the version is the right one");
        prop_assert_eq!(sorted(applied), sorted(after));
    }
}

#[test]
fn change_holds_only_what_differs() {
    struct Case {
        name: &'static str,
        edit: fn(&mut Configuration),
        expected: fn(&mut ConfigurationChange),
    }
    let cases = [
        Case {
            name: "only the version",
            edit: |_| {},
            expected: |_| {},
        },
        Case {
            name: "a route is removed",
            edit: |after| {
                after.routes.retain(|route| route.kind.as_str() != "draft");
            },
            expected: |change| {
                assert_eq!(change.removed_routes[0].path_prefix, "/draft/");
                change.removed_routes.clear();
            },
        },
        Case {
            name: "a route moves to another pool",
            edit: |after| {
                after.routes[0].weighted_pools[0].pool = PoolName::new("roster")
            },
            expected: |change| {
                assert_eq!(change.routes[0].path_prefix, "/draft/");
                change.routes.clear();
            },
        },
        Case {
            name: "a key is withdrawn",
            edit: |after| after.organisations.clear(),
            expected: |change| {
                assert_eq!(change.removed_keys, [KEY]);
                change.removed_keys.clear();
            },
        },
        Case {
            name: "a pool is added",
            edit: |after| {
                after.pools.insert(PoolName::new("maps"), Pool::default());
            },
            expected: |change| {
                assert_eq!(change.pools.take().map(|pools| pools.len()), Some(3));
            },
        },
        Case {
            name: "a limit changes",
            edit: |after| after.limits.idle_timeout_ms += 1,
            expected: |change| assert!(change.limits.take().is_some()),
        },
    ];
    for case in cases {
        let before = configuration(1);
        let mut after = configuration(2);
        (case.edit)(&mut after);
        let mut change =
            ConfigurationChange::between(&before, &after).expect("it is small");
        assert_eq!(
            change.apply(&before),
            Some(sorted_like(&change, &before, &after))
        );
        (case.expected)(&mut change);
        let rest = ConfigurationChange {
            base_version: 1,
            version: 2,
            ..ConfigurationChange::default()
        };
        assert_eq!(change, rest, "{}: nothing else is in it", case.name);
    }
}

/// Returns `after` with its routes in the order in which the change leaves them.
fn sorted_like(
    change: &ConfigurationChange,
    before: &Configuration,
    after: &Configuration,
) -> Configuration {
    let applied = change.apply(before).expect("the version is the right one");
    assert_eq!(sorted(applied.clone()), sorted(after.clone()));
    applied
}

#[test]
fn change_applies_to_its_own_base_only() {
    let change = ConfigurationChange::between(&configuration(3), &configuration(4));
    let change = change.expect("it is small");
    for version in [1, 2, 4, 5] {
        assert_eq!(change.apply(&configuration(version)), None, "{version}");
    }
}

#[test]
fn change_that_exceeds_a_datagram_is_not_made() {
    let before = configuration(1);
    let mut after = configuration(2);
    let added = (0..=CHANGED_ENTRIES_MAX)
        .map(|n| route(&format!("kind-{n}"), RetrySafety::Idempotent, "roster"));
    after.routes.extend(added);
    assert_eq!(ConfigurationChange::between(&before, &after), None);
    let mut with_duplicate = configuration(2);
    with_duplicate.routes.push(with_duplicate.routes[0].clone());
    assert_eq!(ConfigurationChange::between(&before, &with_duplicate), None);
    let limits = CallerLimits::default();
    assert_eq!(
        after.limits, limits,
        "the limits are those of the table above"
    );
}
