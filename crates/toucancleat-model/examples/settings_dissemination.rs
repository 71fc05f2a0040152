//! Measures the dissemination of settings in fleets of several sizes.
//!
//! Prints a Markdown table of delays, messages and reads.

use toucancleat_core::dissemination::Message;
use toucancleat_core::peer::{self, Envelope};
use toucancleat_core::prelude::*;
use toucancleat_model::settings_dissemination::{Cost, Fleet};
use toucancleat_wire::encode_batch;

const CHANGES: usize = 100;
/// Time between two changes, for 23,000 changes a day.
const BETWEEN_CHANGES_MS: u64 = 3_757;
const SEEDS: u64 = 5;

fn main() {
    let mut table = String::from(
        "| zones x hosts | loss | in force p50 ms | p99 ms | max ms | messages/s a host | \
         bytes/s a host, mean | most | platform reads/s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let sizes = [(3, 2), (4, 6), (4, 24), (1, 60)];
    for (zones, hosts_per_zone) in sizes {
        for loss_per_mille in [0, 50] {
            table.push_str(&measure_row(zones, hosts_per_zone, loss_per_mille));
        }
    }
    use std::io::Write;
    let _ = std::io::stdout().write_all(table.as_bytes());
}

fn measure_row(zones: usize, hosts_per_zone: usize, loss_per_mille: usize) -> String {
    let mut in_force_ms = Vec::new();
    let mut costs = Vec::new();
    let mut seconds = 0.0;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(zones, hosts_per_zone, seed * 1_000, &encoded_bytes);
        fleet.commit_change();
        fleet.advance_ms(20_000);
        fleet.loss_per_mille = loss_per_mille;
        fleet.costs.fill(Cost::default());
        fleet.in_force_ms.clear();
        let started_ms = fleet.now_ms;
        for _ in 0..CHANGES {
            fleet.commit_change();
            fleet.advance_ms(BETWEEN_CHANGES_MS);
        }
        seconds = (fleet.now_ms - started_ms) as f64 / 1_000.0;
        in_force_ms.append(&mut fleet.in_force_ms);
        costs.append(&mut fleet.costs);
    }
    in_force_ms.sort_unstable();
    let quantile =
        |part: f64| in_force_ms[((in_force_ms.len() - 1) as f64 * part) as usize];
    let rate_per_host = |total: u64| total as f64 / seconds / costs.len() as f64;
    let messages = rate_per_host(costs.iter().map(|cost| cost.messages).sum());
    let bytes = rate_per_host(costs.iter().map(|cost| cost.bytes).sum());
    let largest_bytes =
        costs.iter().map(|cost| cost.bytes).max().unwrap_or(0) as f64 / seconds;
    let reads = costs.iter().map(|cost| cost.reads).sum::<u64>() as f64;
    let reads = reads / seconds / SEEDS as f64;
    format!(
        "| {zones} x {hosts_per_zone} | {}% | {} | {} | {} | {messages:.1} | {bytes:.0} | \
         {largest_bytes:.0} | {reads:.2} |\n",
        loss_per_mille / 10,
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
    )
}

/// Returns the size of a message that is sent alone, without the overhead of the
/// connection.
fn encoded_bytes(message: &Message) -> usize {
    let envelope = Envelope {
        from: HostName::new("entry-1"),
        incarnation: Incarnation(1),
        stamp: 0,
        message: peer::Message::Dissemination(message.clone()),
    };
    encode_batch(&[envelope]).len()
}
