//! Formats records as lines of text.

use toucancleat_core::timeline::Record;

const MS_PER_DAY: u64 = 86_400_000;

/// Formats a record as one line.
pub(super) fn format_record(record: &Record) -> String {
    let mut line = format!(
        "{} {:<12} {:<20}",
        format_time_of_day(record.stamp.at_unix_ms),
        record.host.as_str(),
        record.entry.kind
    );
    let entry = &record.entry;
    let labels = [
        entry
            .request
            .map(|request| ("request", request.to_string())),
        entry
            .organisation
            .as_ref()
            .map(|name| ("organisation", name.to_string())),
        entry
            .target
            .as_ref()
            .map(|name| ("target", name.to_string())),
    ];
    for (name, value) in labels.into_iter().flatten() {
        line.push_str(&format!(" {name}={value}"));
    }
    line.push_str(&format_fields(record));
    line
}

/// Formats the history of one request, with times relative to its first record.
pub(super) fn format_request_history(records: &[&Record]) -> Vec<String> {
    let Some(first) = records.first() else {
        return Vec::new();
    };
    let started_unix_ms = first.stamp.at_unix_ms;
    let organisation = records
        .iter()
        .find_map(|record| record.entry.organisation.as_ref());
    let mut lines = vec![format!(
        "request {} of {}, first seen at {} UTC by {}",
        first
            .entry
            .request
            .map_or("unknown".to_owned(), |request| request.to_string()),
        organisation.map_or("an unknown organisation", |name| name.as_str()),
        format_time_of_day(started_unix_ms),
        first.host,
    )];
    for record in records {
        let after_ms = record.stamp.at_unix_ms.saturating_sub(started_unix_ms);
        let target = record.entry.target.as_ref();
        lines.push(format!(
            "{:>8} ms  {:<12} {:<20}{}{}",
            after_ms,
            record.host.as_str(),
            record.entry.kind,
            target.map_or(String::new(), |target| format!(" target={target}")),
            format_fields(record),
        ));
    }
    lines
}

fn format_fields(record: &Record) -> String {
    let fields = record.entry.fields.iter();
    fields
        .map(|field| format!(" {}={}", field.name, field.value))
        .collect()
}

/// Formats the time of day in UTC, to the millisecond.
fn format_time_of_day(unix_ms: u64) -> String {
    let ms = unix_ms % MS_PER_DAY;
    let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
    format!(
        "{hours:02}:{minutes:02}:{:02}.{:03}",
        ms / 1_000 % 60,
        ms % 1_000
    )
}
