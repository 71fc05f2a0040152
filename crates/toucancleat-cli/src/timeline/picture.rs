//! The lane picture: one lane for each host, time from left to right.

use std::fmt::Write;

use indexmap::{IndexMap, IndexSet};
use toucancleat_core::prelude::*;
use toucancleat_core::timeline::{Record, RecordKind};

const WIDTH_PX: u64 = 1_200;
const LANE_HEIGHT_PX: u64 = 90;
const MARGIN_PX: u64 = 140;
/// Records of a lane are spread over rows, so that their labels don't cover each other.
const ROWS: u64 = 4;
const ROW_HEIGHT_PX: u64 = 18;

/// Draws records, given in their order, as SVG.
pub(super) fn draw(records: &[&Record]) -> String {
    let hosts: IndexSet<&HostName> = records.iter().map(|record| &record.host).collect();
    let first_ms = records.first().map_or(0, |record| record.stamp.at_unix_ms);
    let last_ms = records.last().map_or(0, |record| record.stamp.at_unix_ms);
    let span_ms = (last_ms - first_ms).max(1);
    let x_of = |record: &Record| {
        MARGIN_PX
            + (record.stamp.at_unix_ms - first_ms) * (WIDTH_PX - MARGIN_PX) / span_ms
    };
    let height = LANE_HEIGHT_PX * hosts.len().max(1) as u64 + 30;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {} {height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n",
        WIDTH_PX + MARGIN_PX
    );
    for (lane, host) in hosts.iter().enumerate() {
        draw_lane(&mut svg, lane as u64, host);
    }
    let mut counts: IndexMap<&HostName, u64> = IndexMap::new();
    let mut last_of_request: IndexMap<RequestId, (u64, u64)> = IndexMap::new();
    for record in records {
        let lane = hosts.get_index_of(&record.host).unwrap_or(0) as u64;
        let count = counts.entry(&record.host).or_default();
        let place = (
            x_of(record),
            LANE_HEIGHT_PX * lane + 18 + *count % ROWS * ROW_HEIGHT_PX,
        );
        *count += 1;
        if let Some(request) = record.entry.request
            && let Some(before) = last_of_request.insert(request, place)
        {
            draw_step(&mut svg, before, place);
        }
        draw_record(&mut svg, place, record);
    }
    let foot = height - 10;
    let _ = writeln!(svg, "<text x=\"{MARGIN_PX}\" y=\"{foot}\">0 ms</text>");
    let _ = writeln!(
        svg,
        "<text x=\"{WIDTH_PX}\" y=\"{foot}\">{span_ms} ms</text>"
    );
    svg.push_str("</svg>\n");
    svg
}

fn draw_lane(svg: &mut String, lane: u64, host: &HostName) {
    let top = LANE_HEIGHT_PX * lane;
    let fill = if lane.is_multiple_of(2) {
        "#f4f6f8"
    } else {
        "#ffffff"
    };
    let width = WIDTH_PX + MARGIN_PX;
    let _ = writeln!(
        svg,
        "<rect x=\"0\" y=\"{top}\" width=\"{width}\" height=\"{LANE_HEIGHT_PX}\" \
         fill=\"{fill}\"/>\n<text x=\"8\" y=\"{}\" font-weight=\"bold\">{}</text>",
        top + 20,
        escaped(host.as_str()),
    );
}

/// Joins two records of the same request.
fn draw_step(svg: &mut String, from: (u64, u64), to: (u64, u64)) {
    let _ = writeln!(
        svg,
        "<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#9aa7b5\"/>",
        from.0, from.1, to.0, to.1
    );
}

fn draw_record(svg: &mut String, (x, y): (u64, u64), record: &Record) {
    let facts = record.entry.fields.iter();
    let facts: Vec<String> = facts
        .map(|field| format!("{}={}", field.name, field.value))
        .collect();
    let target = record
        .entry
        .target
        .as_ref()
        .map_or("", |target| target.as_str());
    let _ = writeln!(
        svg,
        "<g><title>{} {target} {}</title><circle cx=\"{x}\" cy=\"{y}\" r=\"4\" fill=\"{}\"/>\
         <text x=\"{}\" y=\"{}\">{} {}</text></g>",
        record.stamp,
        escaped(&facts.join(" ")),
        color(record.entry.kind),
        x + 6,
        y + 4,
        record.entry.kind,
        escaped(target),
    );
}

fn color(kind: RecordKind) -> &'static str {
    match kind {
        RecordKind::RequestRefused
        | RecordKind::RequestFailed
        | RecordKind::AttemptFailed
        | RecordKind::StreamStalled
        | RecordKind::TargetDown
        | RecordKind::HostDead
        | RecordKind::PlatformAway
        | RecordKind::LeaseLost => "#c0392b",
        RecordKind::RequestFinished | RecordKind::ClaimFinished => "#1e8449",
        _ => "#2e6da4",
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
