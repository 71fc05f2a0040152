//! Renders docs/PROTOCOL-COSTS.md.

use std::fmt::Write as _;

use crate::claims::{PlatformCost, TABLE_MS};
use crate::fit::Line;
use crate::fleet_size;
use crate::membership::Detection;
use crate::sample::{Role, Sample};

/// Text of the page before its first table.
const HEADER: &str = "\
# Costs of the protocols of the own interface

<!-- Written by `cargo run --release -p toucancleat-load --bin capacity -- docs/PROTOCOL-COSTS.md`; \
change the benchmark in crates/toucancleat-load/src/bin/capacity, not this page. -->

The cost of the control plane of the own interface to one host of the target fleet: 1,200 hosts in
front of 12,000 servers, 12,000 requests per second, 26,000 organisations, 20 availability zones,
and per day 23,000 changes of configuration, 87 failures and 4,800 replacements. The budget of a
host is 3.9% of a core, 128 MB and 5 KB per second.

Each number is computed from a straight line fitted to measured points (below). The points
come from the reducers and the codec, driven in one process and in virtual time. Bytes are
those of each message encoded in a batch of its own, as sent, without TCP and RPC framing.
Processor time covers the reducer and the encoding, not sockets, on the machine that wrote the
page, which ran other work at the same time.

## At the target size

";

/// Roles that the benchmark doesn't drive.
const NOT_MEASURED: [(&str, &str); 6] = [
    (
        "relay",
        "not part of control; its speed is measured by the load tool",
    ),
    (
        "request home (streams)",
        "lookups of a stream that was resumed at another host",
    ),
    (
        "claim batching",
        "group commit of claim rows; its transactions are measured below",
    ),
    ("order reconciler", "one lease holder for each zone"),
    ("timeline", "a bounded ring buffer in each process"),
    (
        "platform reads and writes",
        "one settings reader for each zone, claims, leases",
    ),
];

/// Renders the whole page.
pub fn render(
    roles: &[Role],
    detections: &[Detection],
    platform: &[PlatformCost],
) -> String {
    let mut page = HEADER.to_owned();
    write_summary(&mut page, roles);
    write_detections(&mut page, detections);
    write_claims(&mut page, platform);
    page.push_str("\n## Measured points\n");
    for role in roles {
        write_points(&mut page, role);
    }
    page
}

fn write_summary(page: &mut String, roles: &[Role]) {
    page.push_str(
        "| role | size of one node | state | messages/s | bytes/s | processor | mechanism |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut total = Sample::default();
    for role in roles {
        let at = at_target_size(role);
        total.state_bytes += at.state_bytes;
        total.messages_per_s += at.messages_per_s;
        total.bytes_per_s += at.bytes_per_s;
        total.cpu_us_per_s += at.cpu_us_per_s;
        let size = format!("{} {}", format_number(role.target_size), role.size);
        write_row(page, role.name, &size, at, role.mechanism);
    }
    write_row(page, "**sum of the measured roles**", "", total, "");
    for (role, mechanism) in NOT_MEASURED {
        let _ = writeln!(
            page,
            "| {role} | not measured | not measured | not measured | not measured | not \
             measured | {mechanism} |"
        );
    }
    write_margins(page, roles, total);
}

fn write_row(page: &mut String, name: &str, size: &str, at: Sample, mechanism: &str) {
    let _ = writeln!(
        page,
        "| {name} | {size} | {} | {} | {} | {:.3}% | {mechanism} |",
        format_bytes(at.state_bytes),
        format_number(at.messages_per_s),
        format_number(at.bytes_per_s),
        at.cpu_us_per_s / 10_000.0,
    );
}

fn write_margins(page: &mut String, roles: &[Role], total: Sample) {
    page.push_str("\n## Margin of the measured roles\n\n");
    page.push_str(
        "| | spent | budget | part of the budget |\n| --- | --- | --- | --- |\n",
    );
    let lines = [
        (
            "processor",
            format!("{:.3}% of a core", total.cpu_us_per_s / 10_000.0),
            "3.9% of a core",
            total.cpu_us_per_s / fleet_size::BUDGET_CPU_US_PER_S,
        ),
        (
            "memory",
            format_bytes(total.state_bytes),
            "128 MB",
            total.state_bytes / fleet_size::BUDGET_STATE_BYTES,
        ),
        (
            "traffic sent",
            format!("{} bytes/s", format_number(total.bytes_per_s)),
            "5,000 bytes/s",
            total.bytes_per_s / fleet_size::BUDGET_BYTES_PER_S,
        ),
    ];
    for (name, used, budget, share) in lines {
        let _ = writeln!(
            page,
            "| {name} | {used} | {budget} | {:.0}% |",
            share * 100.0
        );
    }
    write_budget_result(page, roles, total);
}

/// Writes whether the traffic stays within the budget and, if not, what would reduce it.
fn write_budget_result(page: &mut String, roles: &[Role], total: Sample) {
    if total.bytes_per_s <= fleet_size::BUDGET_BYTES_PER_S {
        page.push_str(
            "\nThe measured roles stay within the budget. The roles that are not measured add \
             to the sum.\n",
        );
        return;
    }
    page.push_str(
        "\n**The traffic exceeds the budget.** Its largest shares, and what would reduce them:\n\n",
    );
    for role in roles
        .iter()
        .filter(|role| !role.traffic_reduction.is_empty())
    {
        let used = at_target_size(role).bytes_per_s;
        let share = 100.0 * used / fleet_size::BUDGET_BYTES_PER_S;
        let _ = writeln!(
            page,
            "- {}, {} bytes/s ({share:.0}% of the budget): {}.",
            role.name,
            format_number(used),
            role.traffic_reduction
        );
    }
    page.push_str(
        "\nThe roles that are not measured add to the sum. Bytes are counted where they are \
         sent; over the whole fleet as many are received.\n",
    );
}

fn write_detections(page: &mut String, detections: &[Detection]) {
    page.push_str(
        "\n## Time until a zone detects the crash of a host\n\n\
         In virtual time, 11 hosts one after another, without lost messages.\n\n\
         | hosts in the zone | last host, median | last host, longest | first to last, \
         longest |\n| --- | --- | --- | --- |\n",
    );
    for Detection {
        hosts,
        median_ms,
        longest_ms,
        spread_ms,
    } in detections
    {
        let _ = writeln!(
            page,
            "| {hosts} | {median_ms} ms | {longest_ms} ms | {spread_ms} ms |"
        );
    }
}

fn write_claims(page: &mut String, platform: &[PlatformCost]) {
    let _ = write!(
        page,
        "\n## Claims at the platform's table\n\n\
         The requirements don't state the share of requests that may not run twice. The table \
         shows transactions per second of the whole fleet, claims and their answers \
         together, with a platform table that takes {TABLE_MS} ms per transaction; each host \
         batches the writes that wait while its transactions are in flight. At present each \
         host writes its own claims. The last column assumes that one host of each zone \
         writes all claims of the zone.\n\n\
         | part of the requests | by host | by zone |\n| --- | --- | --- |\n",
    );
    for PlatformCost {
        claimed_share,
        by_host_per_s,
        by_zone_per_s,
    } in platform
    {
        let _ = writeln!(
            page,
            "| {:.0}% | {} | {} |",
            claimed_share * 100.0,
            format_number(*by_host_per_s),
            format_number(*by_zone_per_s)
        );
    }
    page.push_str(
        "\nThe platform's table handles several hundred writes per second in total. Where a \
         column is above that, its mechanism can't sustain the share; the remedy is to batch \
         at one home per zone and to let a batch wait longer (the table's latency bounds the \
         number of batches, not the number of claims in a batch).\n",
    );
}

fn write_points(page: &mut String, role: &Role) {
    let _ = writeln!(
        page,
        "\n### {}\n\nSize: {}. {}.\n",
        role.name, role.size, role.note
    );
    page.push_str(
        "| size | state (bytes) | messages/s | bytes/s | processor (µs/s) |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for sample in &role.samples {
        let _ = writeln!(
            page,
            "| {} | {:.0} | {:.3} | {:.1} | {:.1} |",
            format_number(sample.size),
            sample.state_bytes,
            sample.messages_per_s,
            sample.bytes_per_s,
            sample.cpu_us_per_s
        );
    }
    let [state, messages, bytes, cpu] = fit_lines(role);
    for (label, pick) in [
        (
            "slope",
            (|line: &Line| format!("{:.4}", line.slope)) as fn(&Line) -> String,
        ),
        ("at size 0", |line| format!("{:.2}", line.base)),
        ("residual", |line| format!("{:.1}%", line.residual * 100.0)),
    ] {
        let _ = writeln!(
            page,
            "| {label} | {} | {} | {} | {} |",
            pick(&state),
            pick(&messages),
            pick(&bytes),
            pick(&cpu)
        );
    }
}

fn at_target_size(role: &Role) -> Sample {
    let [state, messages, bytes, cpu] =
        fit_lines(role).map(|line| line.at(role.target_size));
    Sample {
        size: role.target_size,
        state_bytes: state,
        messages_per_s: messages,
        bytes_per_s: bytes,
        cpu_us_per_s: cpu,
    }
}

fn fit_lines(role: &Role) -> [Line; 4] {
    let picks: [fn(&Sample) -> f64; 4] = [
        |sample| sample.state_bytes,
        |sample| sample.messages_per_s,
        |sample| sample.bytes_per_s,
        |sample| sample.cpu_us_per_s,
    ];
    picks.map(|pick| {
        let points: Vec<(f64, f64)> = role
            .samples
            .iter()
            .map(|sample| (sample.size, pick(sample)))
            .collect();
        Line::fit(&points)
    })
}

fn format_bytes(value: f64) -> String {
    match value {
        value if value >= 1024.0 * 1024.0 => format!("{:.1} MB", value / 1024.0 / 1024.0),
        value if value >= 1024.0 => format!("{:.1} KB", value / 1024.0),
        value => format!("{value:.0} B"),
    }
}

fn format_number(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 1.0 => format!("{value:.1}"),
        value => format!("{value:.3}"),
    }
}
