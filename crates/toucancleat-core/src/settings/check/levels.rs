//! Checks of the values that each level sets, by themselves and combined with those of
//! the levels above.

use std::collections::HashSet;

use serde_json::Value;

use super::check_name;
use crate::prelude::*;
use crate::settings::edit::join_pointer;
use crate::settings::explain::{Explained, LevelName, Source, explain_levels};
use crate::settings::problem::Problem;
use crate::settings::ranges::NumberRange;
use crate::settings::tree::{Level, TargetClass, Tree};
use crate::settings::values::Values;

/// Pairs of an inner timeout and the outer one that it runs within and must not exceed.
const NESTED_TIMEOUTS: &[(&str, &str)] = &[
    ("first_token_timeout_ms", "timeout_ms"),
    ("stall_timeout_ms", "timeout_ms"),
    ("queue_timeout_ms", "first_token_timeout_ms"),
];

const WEIGHTS: &[&str] = &[
    "weight_stall_time",
    "weight_preemptions",
    "weight_tail_latency",
];

/// Levels from the fleet down, outermost first.
type Levels<'t> = Vec<(LevelName, &'t Level)>;

/// Collects problems; one that several organisations inherit is reported once.
struct LevelChecker<'t, 'p> {
    tree: &'t Tree,
    problems: &'p mut Vec<Problem>,
    reported: HashSet<String>,
}

pub(super) fn check(tree: &Tree, problems: &mut Vec<Problem>) {
    let mut checker = LevelChecker {
        tree,
        problems,
        reported: HashSet::new(),
    };
    let fleet = vec![(LevelName::Fleet, &tree.fleet)];
    checker.check_innermost(&fleet);
    for (event_name, event) in &tree.live_events {
        let mut levels = fleet.clone();
        levels.push((LevelName::LiveEvent(event_name.clone()), &event.level));
        checker.check_innermost(&levels);
        for (name, organisation) in &event.organisations {
            let level_name = LevelName::Organisation(event_name.clone(), name.clone());
            let mut levels = levels.clone();
            levels.push((level_name, &organisation.level));
            checker.check_innermost(&levels);
        }
    }
}

impl LevelChecker<'_, '_> {
    /// Checks the last of the levels, by itself and combined with those above.
    fn check_innermost(&mut self, levels: &Levels<'_>) {
        let Some(((name, level), above)) = levels.split_last() else {
            return;
        };
        if **level == Level::default() {
            return;
        }
        let path = name.path();
        self.check_values(&format!("{path}/values"), &level.values);
        for (kind, values) in &level.kinds {
            let path = join_pointer(&format!("{path}/kinds"), kind.as_str());
            check_name(&path, kind.as_str(), self.problems);
            self.check_values(&path, values);
        }
        let kinds: HashSet<&KindName> = levels
            .iter()
            .flat_map(|(_, level)| level.kinds.keys())
            .collect();
        let mut kinds: Vec<&KindName> = kinds.into_iter().collect();
        kinds.sort();
        for kind in kinds {
            let Some(explained) = explain_levels(levels, kind) else {
                continue;
            };
            self.check_pool_class(&explained);
            self.check_timeouts(&explained);
            self.check_weights(&explained);
            match explain_levels(above, kind) {
                Some(above) => self.check_idempotent(&above, &explained),
                None => self.check_pool_is_set(name, kind, &explained),
            }
        }
    }

    /// Checks the ranges of the numbers that a level sets, and that its pool exists.
    fn check_values(&mut self, path: &str, values: &Values) {
        let json = serde_json::to_value(values).unwrap_or_default();
        for (name, value) in json.as_object().into_iter().flatten() {
            let path = join_pointer(path, name);
            match NumberRange::of(name) {
                Some(range) if !in_range(range, value) => {
                    let message = format!(
                        "expected a number from {} to {}, found {value}",
                        range.min, range.max
                    );
                    self.problems.push(Problem::new(&path, message));
                }
                _ => {}
            }
        }
        if let Some(pool) = &values.pool
            && !self.tree.pools.contains_key(pool)
        {
            let message = format!("expected one of `pools`, found `{pool}`");
            self.problems
                .push(Problem::new(&format!("{path}/pool"), message));
        }
    }

    fn check_pool_is_set(
        &mut self,
        level: &LevelName,
        kind: &KindName,
        explained: &Explained,
    ) {
        if explained.sources["pool"] == Source::BuiltIn {
            let path = join_pointer(&format!("{}/kinds", level.path()), kind.as_str());
            self.report(
                path,
                "expected `pool` to be set here or at a level above, found none",
            );
        }
    }

    /// Checks that idempotency keys are deduplicated only by targets that can do so.
    fn check_pool_class(&mut self, explained: &Explained) {
        let effective = &explained.effective;
        let Some(pool) = self.tree.pools.get(&effective.pool) else {
            return;
        };
        if effective.target_deduplicates && pool.class == TargetClass::ModelEngine {
            let message = "expected a pool of services, found model engines, which don't \
                 deduplicate keys";
            self.report_at_innermost(
                explained,
                &["pool", "target_deduplicates"],
                message,
            );
        }
    }

    /// Checks that no timeout exceeds the one that it runs within, unless one of the two
    /// is a built-in default.
    fn check_timeouts(&mut self, explained: &Explained) {
        let json = serde_json::to_value(&explained.effective).unwrap_or_default();
        for (inner, outer) in NESTED_TIMEOUTS {
            let has_built_in = [inner, outer]
                .iter()
                .any(|n| explained.sources[**n] == Source::BuiltIn);
            let (inner_ms, outer_ms) = (json[*inner].as_u64(), json[*outer].as_u64());
            if !has_built_in && inner_ms > outer_ms {
                let message = format!("expected {inner} to be at most {outer}");
                self.report_at_innermost(explained, &[inner, outer], &message);
            }
        }
    }

    fn check_weights(&mut self, explained: &Explained) {
        let effective = &explained.effective;
        let sum = effective.weight_stall_time
            + effective.weight_preemptions
            + effective.weight_tail_latency;
        if sum == 0.0 {
            self.report_at_innermost(
                explained,
                WEIGHTS,
                "expected one of the weights to be above 0, found a sum of 0",
            );
        }
    }

    /// Checks that no level declares a kind idempotent against a level above.
    ///
    /// Whether a kind may run twice is a property of the kind: a lower level that
    /// declared it idempotent would allow its requests to run again.
    fn check_idempotent(&mut self, above: &Explained, explained: &Explained) {
        let is_set_above = above.sources["idempotent"] != Source::BuiltIn;
        let is_set_here = explained.sources["idempotent"] != above.sources["idempotent"];
        if is_set_here
            && is_set_above
            && !above.effective.idempotent
            && explained.effective.idempotent
        {
            let message = "expected `false` as at a level above, found `true`";
            self.report_at_innermost(explained, &["idempotent"], message);
        }
    }

    /// Reports a problem at the innermost level that sets one of the values.
    fn report_at_innermost(
        &mut self,
        explained: &Explained,
        names: &[&str],
        message: &str,
    ) {
        let paths = names
            .iter()
            .filter_map(|name| explained.sources[*name].path(name));
        let innermost = paths.max_by_key(|path| path.matches('/').count());
        if let Some(path) = innermost {
            self.report(path, message);
        }
    }

    fn report(&mut self, path: String, message: &str) {
        if self.reported.insert(format!("{path}: {message}")) {
            self.problems.push(Problem::new(&path, message));
        }
    }
}

fn in_range(range: &NumberRange, value: &Value) -> bool {
    value.as_f64().is_some_and(|number| range.contains(number))
}
