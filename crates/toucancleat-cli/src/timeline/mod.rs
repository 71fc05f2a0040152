//! Implements the commands that show the timeline and explain a request.

mod fetch;
mod picture;
mod text;

use std::time::Duration;

use toucancleat_core::prelude::*;
use toucancleat_core::timeline::{Record, records_related_to};

use self::fetch::TimelineReader;
use crate::error::Error;
use crate::fleet::ensure_all_reached;
use crate::options::{Connection, TimelineView};
use crate::output::Output;

/// Interval between reads of the hosts with `--follow`.
const FOLLOW_POLL: Duration = Duration::from_millis(500);

/// Shows the merged timeline of all hosts.
pub(crate) async fn show_records(
    connection: &Connection,
    output: &Output,
    view: &TimelineView,
) -> Result<(), Error> {
    let mut reader = TimelineReader::new(connection.hosts().await?);
    loop {
        let batch = reader.read_new_records().await;
        let records = select_records(&batch.records, view);
        for record in &records {
            write_record(output, record)?;
        }
        for notice in &batch.notices {
            write_notice(output, notice)?;
        }
        if let Some(file) = &view.svg {
            let picture = picture::draw(&records);
            std::fs::write(file, picture).map_err(|error| {
                Error::usage(format!("could not write {}: {error}", file.display()))
            })?;
        }
        if !view.follow {
            return ensure_all_reached(batch.unreached);
        }
        tokio::time::sleep(FOLLOW_POLL).await;
    }
}

/// Shows how one request was handled.
pub(crate) async fn explain_request(
    connection: &Connection,
    output: &Output,
    request: RequestId,
) -> Result<(), Error> {
    let mut reader = TimelineReader::new(connection.hosts().await?);
    let batch = reader.read_new_records().await;
    let records = records_related_to(request, &batch.records);
    if records.is_empty() && batch.unreached.is_empty() {
        let message = format!(
            "expected records of request {request}, found none at any entry host; they may have \
             been dropped"
        );
        return Err(Error::not_found(message));
    }
    if output.is_json {
        output.write_json(&records)?;
    } else {
        for line in text::format_request_history(&records) {
            output.write_line(&line)?;
        }
    }
    for notice in &batch.notices {
        write_notice(output, notice)?;
    }
    ensure_all_reached(batch.unreached)
}

fn select_records<'r>(records: &'r [Record], view: &TimelineView) -> Vec<&'r Record> {
    let filter = view.filter();
    let of_request: Vec<&Record> = match view.request {
        Some(request) => records_related_to(request, records),
        None => records.iter().collect(),
    };
    of_request
        .into_iter()
        .filter(|record| filter.matches(record))
        .collect()
}

fn write_record(output: &Output, record: &Record) -> Result<(), Error> {
    match output.is_json {
        true => output.write_json_line(record)?,
        false => output.write_line(&text::format_record(record))?,
    }
    Ok(())
}

/// N.B. Writes to standard error, so that a program that reads the records doesn't get it.
fn write_notice(output: &Output, notice: &str) -> Result<(), Error> {
    output.write_notice(notice)?;
    Ok(())
}
