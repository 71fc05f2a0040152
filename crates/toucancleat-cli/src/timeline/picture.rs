//! Draws records as SVG: one lane per host, time from left to right.

use std::fmt::Write;

use indexmap::{IndexMap, IndexSet};
use toucancleat_core::prelude::*;
use toucancleat_core::timeline::{Record, RecordKind};

const WIDTH_PX: u64 = 1_200;
const LANE_HEIGHT_PX: u64 = 90;
const MARGIN_PX: u64 = 140;
/// Records of a lane alternate between rows, so that their labels overlap less.
const ROWS: u64 = 4;
const ROW_HEIGHT_PX: u64 = 18;

/// The axes of a picture: hosts and time.
struct Axes<'r> {
    hosts: IndexSet<&'r HostName>,
    first_ms: u64,
    span_ms: u64,
}

/// Draws records, which must be ordered by time, as SVG.
pub(super) fn draw(records: &[&Record]) -> String {
    let axes = Axes::new(records);
    let height = LANE_HEIGHT_PX * axes.hosts.len().max(1) as u64 + 30;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {} {height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n",
        WIDTH_PX + MARGIN_PX
    );
    for (lane, host) in axes.hosts.iter().enumerate() {
        draw_lane(&mut svg, lane as u64, host);
    }
    draw_records(&mut svg, &axes, records);
    let caption_y = height - 10;
    for (x, ms) in [(MARGIN_PX, 0), (WIDTH_PX, axes.span_ms)] {
        let _ = writeln!(svg, "<text x=\"{x}\" y=\"{caption_y}\">{ms} ms</text>");
    }
    svg.push_str("</svg>\n");
    svg
}

impl<'r> Axes<'r> {
    fn new(records: &[&'r Record]) -> Self {
        let unix_ms = |record: Option<&&Record>| record.map_or(0, |r| r.stamp.at_unix_ms);
        let first_ms = unix_ms(records.first());
        Axes {
            hosts: records.iter().map(|record| &record.host).collect(),
            first_ms,
            span_ms: (unix_ms(records.last()) - first_ms).max(1),
        }
    }

    /// Returns the x and y of a record; `count` is the number of records of its host before it.
    fn position(&self, record: &Record, count: u64) -> (u64, u64) {
        let lane = self.hosts.get_index_of(&record.host).unwrap_or(0) as u64;
        let since_ms = record.stamp.at_unix_ms - self.first_ms;
        (
            MARGIN_PX + since_ms * (WIDTH_PX - MARGIN_PX) / self.span_ms,
            LANE_HEIGHT_PX * lane + ROW_HEIGHT_PX + count % ROWS * ROW_HEIGHT_PX,
        )
    }
}

fn draw_records(svg: &mut String, axes: &Axes<'_>, records: &[&Record]) {
    let mut counts: IndexMap<&HostName, u64> = IndexMap::new();
    let mut last_position: IndexMap<RequestId, (u64, u64)> = IndexMap::new();
    for record in records {
        let count = counts.entry(&record.host).or_default();
        let position = axes.position(record, *count);
        *count += 1;
        if let Some(request) = record.entry.request
            && let Some(previous) = last_position.insert(request, position)
        {
            draw_connection(svg, previous, position);
        }
        draw_record(svg, position, record);
    }
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
        escape_xml(host.as_str()),
    );
}

/// Connects two records of the same request by a line.
fn draw_connection(svg: &mut String, from: (u64, u64), to: (u64, u64)) {
    let _ = writeln!(
        svg,
        "<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#9aa7b5\"/>",
        from.0, from.1, to.0, to.1
    );
}

fn draw_record(svg: &mut String, (x, y): (u64, u64), record: &Record) {
    let fields = record.entry.fields.iter();
    let fields: Vec<String> = fields
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
        escape_xml(&fields.join(" ")),
        dot_color(record.entry.kind),
        x + 6,
        y + 4,
        record.entry.kind,
        escape_xml(target),
    );
}

fn dot_color(kind: RecordKind) -> &'static str {
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

fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
