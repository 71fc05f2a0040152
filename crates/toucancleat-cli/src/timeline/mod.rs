//! The commands about the time line.

mod fetch;
mod picture;
mod text;

use std::time::Duration;

use toucancleat_core::prelude::*;
use toucancleat_core::timeline::{Record, related_to};

use self::fetch::Reader;
use crate::error::Error;
use crate::fleet::complete;
use crate::options::{Connection, TimelineView};
use crate::output::Output;

/// Pause between two looks at the hosts when following.
const FOLLOW_POLL: Duration = Duration::from_millis(500);

/// Shows the merged time line.
pub(crate) async fn show(
    connection: &Connection,
    output: &Output,
    view: &TimelineView,
) -> Result<(), Error> {
    let mut reader = Reader::new(connection.hosts().await?);
    loop {
        let round = reader.read_new().await;
        let records = chosen(&round.records, view);
        for record in &records {
            write_record(output, record)?;
        }
        for notice in &round.notices {
            write_notice(output, notice)?;
        }
        if let Some(file) = &view.svg {
            let picture = picture::draw(&records);
            std::fs::write(file, picture)
                .map_err(|error| Error::usage(format!("{}: {error}", file.display())))?;
        }
        if !view.follow {
            return complete(round.missing);
        }
        tokio::time::sleep(FOLLOW_POLL).await;
    }
}

/// Tells one request's way.
pub(crate) async fn explain(
    connection: &Connection,
    output: &Output,
    request: RequestId,
) -> Result<(), Error> {
    let mut reader = Reader::new(connection.hosts().await?);
    let round = reader.read_new().await;
    let records = related_to(request, &round.records);
    if records.is_empty() && round.missing.is_empty() {
        let message = format!("no entry host has a record of request {request} any more");
        return Err(Error::not_found(message));
    }
    if output.json {
        output.json(&records)?;
    } else {
        for line in text::way(&records) {
            output.line(&line)?;
        }
    }
    for notice in &round.notices {
        write_notice(output, notice)?;
    }
    complete(round.missing)
}

fn chosen<'r>(records: &'r [Record], view: &TimelineView) -> Vec<&'r Record> {
    let filter = view.filter();
    let of_request: Vec<&Record> = match view.request {
        Some(request) => related_to(request, records),
        None => records.iter().collect(),
    };
    of_request
        .into_iter()
        .filter(|record| filter.matches(record))
        .collect()
}

fn write_record(output: &Output, record: &Record) -> Result<(), Error> {
    match output.json {
        true => output.json_line(record)?,
        false => output.line(&text::line(record))?,
    }
    Ok(())
}

/// N.B. Goes to standard error, so that a program that reads the records isn't disturbed.
fn write_notice(output: &Output, notice: &str) -> Result<(), Error> {
    output.notice(notice)?;
    Ok(())
}
