//! Validation of the shipped samples against the deployments that they describe.

use std::collections::BTreeSet;
use std::path::Path;

use toucancleat_core::settings::{Directory, TargetClass, Tree, parse};

struct Case {
    file: &'static str,
    zones: &'static [&'static str],
    engines: usize,
    services: usize,
    organisations: usize,
    kinds: &'static [&'static str],
    /// Kinds that must run at most once.
    not_idempotent: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        file: "ersattningstrafik.jsonc",
        zones: &["upp-a", "upp-b", "vas-a", "ore-a"],
        engines: 12,
        services: 4,
        organisations: 10,
        kinds: &[
            "timetable-draft",
            "stop-pair-check",
            "roster-lookup",
            "coach-booking",
        ],
        not_idempotent: &["coach-booking"],
    },
    Case {
        file: "hakata.jsonc",
        zones: &["fukuoka-a", "fukuoka-b", "kumamoto"],
        engines: 12,
        services: 3,
        organisations: 10,
        kinds: &[
            "audit-narrative",
            "receipt-question",
            "balance-page",
            "dues-statement",
            "dues-posting",
            "year-end-reconciliation",
        ],
        not_idempotent: &["dues-posting", "year-end-reconciliation"],
    },
];

fn read(file: &str) -> Tree {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(file);
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{file}: {e}"));
    parse(&text).unwrap_or_else(|problems| panic!("{file}:\n{problems}"))
}

fn targets(tree: &Tree, class: TargetClass) -> usize {
    let pools = tree.pools.values().filter(|pool| pool.class == class);
    pools.map(|pool| pool.targets.len()).sum()
}

#[test]
fn samples_contain_the_zones_targets_kinds_and_organisations_of_their_deployments() {
    for case in CASES {
        let tree = read(case.file);
        let zones: Vec<&str> = tree.zones.iter().map(|zone| zone.as_str()).collect();
        assert_eq!(zones, case.zones, "{}", case.file);
        assert_eq!(
            targets(&tree, TargetClass::ModelEngine),
            case.engines,
            "{}",
            case.file
        );
        assert_eq!(
            targets(&tree, TargetClass::Service),
            case.services,
            "{}",
            case.file
        );
        let kinds: BTreeSet<&str> =
            tree.fleet.kinds.keys().map(|kind| kind.as_str()).collect();
        let expected: BTreeSet<&str> = case.kinds.iter().copied().collect();
        assert_eq!(kinds, expected, "{}", case.file);
        assert_eq!(
            Directory::new(&tree).len(),
            case.organisations,
            "{}",
            case.file
        );
    }
}

#[test]
fn each_organisation_of_a_sample_inherits_whether_a_kind_is_idempotent() {
    for case in CASES {
        let tree = read(case.file);
        let directory = Directory::new(&tree);
        for (event_name, event) in &tree.live_events {
            for organisation in event.organisations.keys() {
                let key = format!("{organisation}-sample-key");
                let found = directory
                    .authenticate(&key)
                    .expect("the key is in the sample");
                assert_eq!(found.organisation(), organisation);
                for kind in case.kinds {
                    let values =
                        tree.effective(event_name, organisation, &(*kind).into());
                    let values = values.expect("the kind is in the sample");
                    let expected = !case.not_idempotent.contains(kind);
                    assert_eq!(values.idempotent, expected, "{organisation} {kind}");
                }
            }
        }
    }
}
