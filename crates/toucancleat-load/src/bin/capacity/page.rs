//! docs/CAPACITY.md.

use std::fmt::Write as _;

use crate::claims::{PlatformCost, TABLE_MS};
use crate::fit::Line;
use crate::fleet_size;
use crate::membership::Detection;
use crate::sample::{Role, Sample};

/// The part of the page before the table.
const HEADER: &str = "\
# Capacity

<!-- Written by `cargo run --release -p toucancleat-load --bin capacity -- docs/CAPACITY.md`; \
change the bench in crates/toucancleat-load/src/bin/capacity, not this page. -->

What one node spends on control at the size that the users set: 1,200 nodes before 12,000
servers, 12,000 requests a second, 26,000 organisations, 20 availability zones, 23,000
changes of configuration, 87 failures and 4,800 replacements a day. The budget of a node
is 3.9% of a core, 128 MB and 5 KB a second.

Each number is worked out from a straight line through measured points (below). The
points come from the reducers and the codec, driven in one process and in virtual time.
Bytes are those of each message encoded in a batch of its own, as sent; TCP and the frames
of the RPC are not in them. Processor time covers the reducer and the encoding, not
sockets, on the machine that wrote the page, with other work beside it.

## At the target size

";

/// Roles that the bench doesn't drive.
const NOT_MEASURED: [(&str, &str); 6] = [
    (
        "relay",
        "not part of control; its speed is measured by the load tool",
    ),
    (
        "request home (streams)",
        "questions for a stream that came back elsewhere",
    ),
    (
        "claim batching",
        "group commit of claim rows; its transactions are measured below",
    ),
    ("order reconciler", "one lease holder for each zone"),
    ("time line", "a bounded ring in each process"),
    (
        "platform reads and writes",
        "one settings reader for each zone, claims, leases",
    ),
];

/// Writes the whole page.
pub fn render(
    roles: &[Role],
    detections: &[Detection],
    platform: &[PlatformCost],
) -> String {
    let mut page = HEADER.to_owned();
    summary(&mut page, roles);
    times(&mut page, detections);
    claims(&mut page, platform);
    page.push_str("\n## Measured points\n");
    for role in roles {
        points(&mut page, role);
    }
    page
}

fn summary(page: &mut String, roles: &[Role]) {
    page.push_str(
        "| role | size of one node | state | messages/s | bytes/s | processor | mechanism |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut total = Sample::default();
    for role in roles {
        let at = worked_out(role);
        total.state_bytes += at.state_bytes;
        total.messages_per_s += at.messages_per_s;
        total.bytes_per_s += at.bytes_per_s;
        total.cpu_us_per_s += at.cpu_us_per_s;
        let size = format!("{} {}", number(role.target_size), role.size);
        row(page, role.name, &size, at, role.mechanism);
    }
    row(page, "**sum of the measured roles**", "", total, "");
    for (role, mechanism) in NOT_MEASURED {
        let _ = writeln!(
            page,
            "| {role} | not measured | not measured | not measured | not measured | not \
             measured | {mechanism} |"
        );
    }
    margins(page, roles, total);
}

fn row(page: &mut String, name: &str, size: &str, at: Sample, mechanism: &str) {
    let _ = writeln!(
        page,
        "| {name} | {size} | {} | {} | {} | {:.3}% | {mechanism} |",
        bytes(at.state_bytes),
        number(at.messages_per_s),
        number(at.bytes_per_s),
        at.cpu_us_per_s / 10_000.0,
    );
}

fn margins(page: &mut String, roles: &[Role], total: Sample) {
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
            bytes(total.state_bytes),
            "128 MB",
            total.state_bytes / fleet_size::BUDGET_STATE_BYTES,
        ),
        (
            "traffic sent",
            format!("{} bytes/s", number(total.bytes_per_s)),
            "5,000 bytes/s",
            total.bytes_per_s / fleet_size::BUDGET_BYTES_PER_S,
        ),
    ];
    for (name, spent, budget, part) in lines {
        let _ = writeln!(
            page,
            "| {name} | {spent} | {budget} | {:.0}% |",
            part * 100.0
        );
    }
    verdict(page, roles, total);
}

/// Says what has to change where the budget is broken.
fn verdict(page: &mut String, roles: &[Role], total: Sample) {
    if total.bytes_per_s <= fleet_size::BUDGET_BYTES_PER_S {
        page.push_str(
            "\nThe measured roles stay within the budget. The roles that are not measured come \
             on top of the sum.\n",
        );
        return;
    }
    page.push_str(
        "\n**The traffic breaks the budget.** Its largest parts, and what cuts them:\n\n",
    );
    for role in roles.iter().filter(|role| !role.relief.is_empty()) {
        let spent = worked_out(role).bytes_per_s;
        let part = 100.0 * spent / fleet_size::BUDGET_BYTES_PER_S;
        let _ = writeln!(
            page,
            "- {}, {} bytes/s ({part:.0}% of the budget): {}.",
            role.name,
            number(spent),
            role.relief
        );
    }
    page.push_str(
        "\nThe roles that are not measured come on top of the sum. Bytes are counted where \
         they are sent; over the fleet as many are received.\n",
    );
}

fn times(page: &mut String, detections: &[Detection]) {
    page.push_str(
        "\n## Time until a zone knows that a host has ended\n\n\
         In virtual time, 11 hosts one after another, without a lost message.\n\n\
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

fn claims(page: &mut String, platform: &[PlatformCost]) {
    let _ = write!(
        page,
        "\n## Claims at the platform's table\n\n\
         The letter doesn't say how many requests may not run twice. Transactions a second \
         of the whole fleet, claims and their answers together, with a table that takes \
         {TABLE_MS} ms; each host batches what waits while its transactions are under way. \
         Today each host writes its own claims. The last column is what one host of each \
         zone would write with all claims of the zone.\n\n\
         | part of the requests | by host | by zone |\n| --- | --- | --- |\n",
    );
    for PlatformCost {
        part,
        by_host_per_s,
        by_zone_per_s,
    } in platform
    {
        let _ = writeln!(
            page,
            "| {:.0}% | {} | {} |",
            part * 100.0,
            number(*by_host_per_s),
            number(*by_zone_per_s)
        );
    }
    page.push_str(
        "\nThe table takes several hundred writes a second for everything. Where a column \
         is above that, its mechanism doesn't carry the part; the change is to batch at a \
         home for each zone and to let a batch wait longer (the table's time bounds the \
         number of batches, not the number of claims in one).\n",
    );
}

fn points(page: &mut String, role: &Role) {
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
            number(sample.size),
            sample.state_bytes,
            sample.messages_per_s,
            sample.bytes_per_s,
            sample.cpu_us_per_s
        );
    }
    let [state, messages, bytes, cpu] = lines(role);
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

fn worked_out(role: &Role) -> Sample {
    let [state, messages, bytes, cpu] = lines(role).map(|line| line.at(role.target_size));
    Sample {
        size: role.target_size,
        state_bytes: state,
        messages_per_s: messages,
        bytes_per_s: bytes,
        cpu_us_per_s: cpu,
    }
}

fn lines(role: &Role) -> [Line; 4] {
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

fn bytes(value: f64) -> String {
    match value {
        value if value >= 1024.0 * 1024.0 => format!("{:.1} MB", value / 1024.0 / 1024.0),
        value if value >= 1024.0 => format!("{:.1} KB", value / 1024.0),
        value => format!("{value:.0} B"),
    }
}

fn number(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 1.0 => format!("{value:.1}"),
        value => format!("{value:.3}"),
    }
}
