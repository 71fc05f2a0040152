//! Comparison of the documentation pages of values and problems with the code.

use std::path::Path;

use serde_json::Value;
use toucancleat_core::refusal::Problem;
use toucancleat_core::settings::{Effective, NumberRange, Values};

const UNITS: &[(&str, &str)] = &[
    ("_per_second", "a second"),
    ("_ms", "milliseconds"),
    ("_bytes", "bytes"),
    ("_tokens", "tokens"),
    ("_ratio", "share of 1"),
];

fn unit(name: &str) -> &'static str {
    let found = UNITS.iter().find(|(suffix, _)| name.ends_with(suffix));
    found.map_or("", |(_, unit)| unit)
}

fn range(name: &str, default: &Value) -> String {
    match (NumberRange::of(name), default, name) {
        (Some(range), ..) => format!("{} to {}", range.min, range.max),
        (None, Value::Bool(_), _) => "`true` or `false`".to_owned(),
        (None, _, "pool") => "a name in `pools`".to_owned(),
        (None, _, "delivery") => "`stream` or `whole`".to_owned(),
        (None, _, "routing_policy") => {
            "`home_accounts`, `round_robin`, `least_outstanding`, \
                                        `two_choices` or `reserve_maximum`"
                .to_owned()
        }
        _ => panic!("value `{name}` has no range to document"),
    }
}

fn default(default: &Value) -> String {
    match default {
        Value::String(text) if text.is_empty() => "must be set".to_owned(),
        Value::String(text) => format!("`{text}`"),
        other => format!("`{other}`"),
    }
}

fn table() -> String {
    let defaults = serde_json::to_value(Effective::default()).expect("values are JSON");
    let mut table = String::from(
        "| value | meaning | unit | default | range |\n| --- | --- | --- | --- | --- |\n",
    );
    for (name, meaning) in Values::NAMES.iter().zip(Values::MEANINGS) {
        let value = &defaults[*name];
        let cells = [
            format!("`{name}`"),
            meaning.trim().to_owned(),
            unit(name).to_owned(),
            default(value),
            range(name, value),
        ];
        table.push_str(&format!("| {} |\n", cells.join(" | ")));
    }
    table
}

fn page(name: &str) -> String {
    let page = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(page).unwrap_or_else(|e| panic!("{name}: {e}"))
}

#[test]
fn problems_page_lists_every_problem_and_no_other() {
    let text = page("PROBLEMS.md");
    for problem in Problem::ALL {
        let (slug, status, title) = (problem.slug(), problem.status(), problem.title());
        let row = format!("| `{slug}` | {status} | {title} |");
        assert!(text.contains(&row), "docs/PROBLEMS.md needs a row {row}");
    }
    let rows = text.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(
        rows,
        Problem::ALL.len(),
        "docs/PROBLEMS.md has rows for unknown problems"
    );
}

#[test]
fn settings_page_contains_the_table_of_values() {
    let text = page("SETTINGS.md");
    let table = table();
    assert!(
        text.contains(&table),
        "docs/SETTINGS.md needs this table:\n{table}"
    );
}
