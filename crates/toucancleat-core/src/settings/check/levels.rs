//! Checks of the values that the levels set, alone and as they come together.

use std::collections::HashSet;

use serde_json::Value;

use super::check_name;
use crate::prelude::*;
use crate::settings::edit::join_pointer;
use crate::settings::explain::{Explained, LevelName, Source, explain_levels};
use crate::settings::problem::Problem;
use crate::settings::ranges::Limits;
use crate::settings::tree::{Level, TargetClass, Tree};
use crate::settings::values::Values;

/// A timeout that runs within another, so that it can't be the longer one.
const TIMEOUTS_WITHIN: &[(&str, &str)] = &[
    ("first_token_timeout_ms", "timeout_ms"),
    ("stall_timeout_ms", "timeout_ms"),
    ("queue_timeout_ms", "first_token_timeout_ms"),
];

const WEIGHTS: &[&str] = &[
    "weight_stall_time",
    "weight_preemptions",
    "weight_tail_latency",
];

/// The levels from the fleet down, outermost first.
type Levels<'t> = Vec<(LevelName, &'t Level)>;

/// Collects problems; what several organisations inherit is told once.
struct Check<'t, 'p> {
    tree: &'t Tree,
    problems: &'p mut Vec<Problem>,
    told: HashSet<String>,
}

pub(super) fn check(tree: &Tree, problems: &mut Vec<Problem>) {
    let mut check = Check {
        tree,
        problems,
        told: HashSet::new(),
    };
    let fleet = vec![(LevelName::Fleet, &tree.fleet)];
    check.levels(&fleet);
    for (event_name, event) in &tree.live_events {
        let mut levels = fleet.clone();
        levels.push((LevelName::LiveEvent(event_name.clone()), &event.level));
        check.levels(&levels);
        for (name, organisation) in &event.organisations {
            let level_name = LevelName::Organisation(event_name.clone(), name.clone());
            let mut levels = levels.clone();
            levels.push((level_name, &organisation.level));
            check.levels(&levels);
        }
    }
}

impl Check<'_, '_> {
    /// Checks the last of the levels, by itself and together with those above.
    fn levels(&mut self, levels: &Levels<'_>) {
        let Some(((name, level), above)) = levels.split_last() else {
            return;
        };
        if **level == Level::default() {
            return;
        }
        let path = name.path();
        self.values(&format!("{path}/values"), &level.values);
        for (kind, values) in &level.kinds {
            let path = join_pointer(&format!("{path}/kinds"), kind.as_str());
            check_name(&path, kind.as_str(), self.problems);
            self.values(&path, values);
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
            self.pool(&explained);
            self.timeouts(&explained);
            self.weights(&explained);
            match explain_levels(above, kind) {
                Some(above) => self.idempotent(&above, &explained),
                None => self.pool_is_set(name, kind, &explained),
            }
        }
    }

    fn values(&mut self, path: &str, values: &Values) {
        let json = serde_json::to_value(values).unwrap_or_default();
        for (name, value) in json.as_object().into_iter().flatten() {
            let path = join_pointer(path, name);
            match Limits::of(name) {
                Some(limits) if !in_range(limits, value) => {
                    let message = format!(
                        "expected a number from {} to {}, found {value}",
                        limits.min, limits.max
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

    fn pool_is_set(&mut self, level: &LevelName, kind: &KindName, explained: &Explained) {
        if explained.sources["pool"] == Source::BuiltIn {
            let path = join_pointer(&format!("{}/kinds", level.path()), kind.as_str());
            self.tell(path, "expected `pool` to be set here or at a level above");
        }
    }

    fn pool(&mut self, explained: &Explained) {
        let effective = &explained.effective;
        let Some(pool) = self.tree.pools.get(&effective.pool) else {
            return;
        };
        if effective.target_deduplicates && pool.class == TargetClass::ModelEngine {
            let message =
                "expected a pool of services: model engines don't deduplicate keys";
            self.tell_at(explained, &["pool", "target_deduplicates"], message);
        }
    }

    fn timeouts(&mut self, explained: &Explained) {
        let json = serde_json::to_value(&explained.effective).unwrap_or_default();
        for (inner, outer) in TIMEOUTS_WITHIN {
            let built_in = [inner, outer]
                .iter()
                .any(|n| explained.sources[**n] == Source::BuiltIn);
            let (inner_ms, outer_ms) = (json[*inner].as_u64(), json[*outer].as_u64());
            if !built_in && inner_ms > outer_ms {
                let message = format!("expected {inner} to be at most {outer}");
                self.tell_at(explained, &[inner, outer], &message);
            }
        }
    }

    fn weights(&mut self, explained: &Explained) {
        let effective = &explained.effective;
        let sum = effective.weight_stall_time
            + effective.weight_preemptions
            + effective.weight_tail_latency;
        if sum == 0.0 {
            self.tell_at(
                explained,
                WEIGHTS,
                "expected one of the weights to be above 0",
            );
        }
    }

    /// Whether a kind may run twice is the kind's nature: a lower level that declared it
    /// harmless would make its requests run again.
    fn idempotent(&mut self, above: &Explained, explained: &Explained) {
        let set_above = above.sources["idempotent"] != Source::BuiltIn;
        let set_here = explained.sources["idempotent"] != above.sources["idempotent"];
        if set_here
            && set_above
            && !above.effective.idempotent
            && explained.effective.idempotent
        {
            let message = "a level above says that the kind isn't idempotent";
            self.tell_at(explained, &["idempotent"], message);
        }
    }

    /// Tells a problem at the innermost level that sets one of the values.
    fn tell_at(&mut self, explained: &Explained, names: &[&str], message: &str) {
        let paths = names
            .iter()
            .filter_map(|name| explained.sources[*name].path(name));
        let innermost = paths.max_by_key(|path| path.matches('/').count());
        if let Some(path) = innermost {
            self.tell(path, message);
        }
    }

    fn tell(&mut self, path: String, message: &str) {
        if self.told.insert(format!("{path}: {message}")) {
            self.problems.push(Problem::new(&path, message));
        }
    }
}

fn in_range(limits: &Limits, value: &Value) -> bool {
    value.as_f64().is_some_and(|number| limits.contain(number))
}
