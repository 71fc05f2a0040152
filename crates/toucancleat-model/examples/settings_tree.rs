//! Measures the size and processing time of the settings tree by number of organisations.
//!
//! Prints a Markdown table.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use serde_json::json;
use toucancleat_core::dissemination::Message;
use toucancleat_core::peer::{self, Envelope};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::{Edit, LiveEvent, Organisation, Tree};
use toucancleat_wire::{decode_batch, encode_batch};

/// Number of live events among which the organisations are distributed.
const LIVE_EVENTS: usize = 100;

fn main() {
    let mut table = String::from(
        "| organisations | JSON bytes | message bytes | decoded | apply a change ms | \
         encode ms | decode ms |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for organisations in [1_000, 4_000, 13_000, 26_000] {
        table.push_str(&measure_row(organisations));
    }
    use std::io::Write;
    let _ = std::io::stdout().write_all(table.as_bytes());
}

fn measure_row(organisations: usize) -> String {
    let tree = build_tree(organisations);
    let json_bytes = serde_json::to_vec(&tree).expect("JSON").len();
    let edits = [Edit::set(
        "/live_events/event-7/organisations/organisation-7/level/values/priority",
        json!(7),
    )];
    let (applied, apply_ms) = time_ms(|| tree.apply(&edits));
    black_box(applied.expect("a tree"));
    let message = Message::Snapshot {
        revision: Revision(1),
        tree: Arc::new(tree),
        age_ms: 0,
    };
    let envelope = Envelope {
        from: HostName::new("entry-1"),
        incarnation: Incarnation(1),
        stamp: 0,
        message: peer::Message::Dissemination(message),
    };
    let (bytes, encode_ms) = time_ms(|| encode_batch(&[envelope]));
    let (decoded, decode_ms) = time_ms(|| decode_batch(&bytes));
    let decoded = if decoded.is_ok() { "yes" } else { "refused" };
    format!(
        "| {organisations} | {json_bytes} | {} | {decoded} | {apply_ms:.2} | \
         {encode_ms:.1} | {decode_ms:.1} |\n",
        bytes.len(),
    )
}

fn time_ms<T>(operation: impl FnOnce() -> T) -> (T, f64) {
    let started_at = Instant::now();
    let result = operation();
    (result, started_at.elapsed().as_secs_f64() * 1e3)
}

/// Returns a tree whose organisations have two API keys and override two values each.
fn build_tree(organisations: usize) -> Tree {
    let mut tree = Tree::default();
    for number in 0..organisations {
        let event = LiveEventName::new(&format!("event-{}", number % LIVE_EVENTS));
        let event = tree.live_events.entry(event).or_insert_with(|| LiveEvent {
            starts_at_unix_ms: 1,
            ends_at_unix_ms: 2,
            level: Default::default(),
            organisations: Default::default(),
        });
        let mut organisation = Organisation {
            api_key_sha256: vec![format!("{number:064x}"), format!("{number:064x}")],
            ..Organisation::default()
        };
        organisation.level.values.requests_per_second = Some(10.0);
        organisation.level.values.concurrent_requests = Some(number as u32);
        let name = OrganisationName::new(&format!("organisation-{number}"));
        event.organisations.insert(name, Arc::new(organisation));
    }
    tree
}
