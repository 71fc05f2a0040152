//! The commands about entry hosts.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::connection::{HostPort, get_all};
use crate::error::Error;
use crate::options::Connection;
use crate::output::{Output, Table};

/// What an entry host calls another that answers.
const ALIVE: &str = "alive";

/// What an entry host says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Status {
    host: String,
    zone: String,
    /// The revision in force; `None` before the first.
    pub revision: Option<u64>,
    settings_age_ms: Option<u64>,
    ready: bool,
    draining: bool,
    requests_in_progress: u64,
    #[serde(flatten)]
    further: IndexMap<String, Value>,
}

/// What an entry host says of the others.
#[derive(Debug, Deserialize)]
struct MembershipReply {
    hosts: Vec<Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    host: String,
    status: String,
}

/// One entry host as the command shows it.
#[derive(Debug, Serialize)]
struct HostReport {
    listed_as: String,
    list_state: Option<String>,
    #[serde(flatten)]
    status: Option<Status>,
    /// Hosts that don't take this one to be alive.
    doubted_by: Vec<String>,
    error: Option<String>,
}

/// Lists the entry hosts.
pub(crate) async fn hosts(connection: &Connection, output: &Output) -> Result<(), Error> {
    let hosts = connection.hosts().await?;
    let replies = get_all::<Status>(&hosts, "/status").await;
    let mut reports: Vec<HostReport> = hosts
        .iter()
        .zip(replies)
        .map(|(host, reply)| host_report(host, reply))
        .collect();
    let views = get_all::<MembershipReply>(&hosts, "/hosts").await;
    for (observer, view) in hosts.iter().zip(views) {
        let members = view.map_or(Vec::new(), |view| view.hosts);
        for member in members.iter().filter(|member| member.status != ALIVE) {
            let doubted = reports
                .iter_mut()
                .find(|report| report.listed_as == member.host);
            if let Some(report) = doubted {
                report.doubted_by.push(observer.label());
            }
        }
    }
    if output.json {
        output.json(&reports)?;
    } else {
        output.table(&host_table(&reports))?;
    }
    let missing = reports.iter().filter(|report| report.status.is_none());
    complete(missing.map(|report| report.listed_as.clone()).collect())
}

/// Stops an entry host as planned.
pub(crate) async fn drain(
    connection: &Connection,
    output: &Output,
    name: &str,
) -> Result<(), Error> {
    let hosts = connection.hosts().await?;
    let host = hosts.iter().find(|host| host.label() == name);
    let host = host.ok_or_else(|| {
        let known: Vec<String> = hosts.iter().map(HostPort::label).collect();
        Error::not_found(format!(
            "no entry host `{name}`; there are {}",
            known.join(", ")
        ))
    })?;
    let reply: Value = host.post("/drain").await?;
    match output.json {
        true => output.json(&reply)?,
        false => output.line(&format!(
            "{name} takes no new work and finishes what it has"
        ))?,
    }
    Ok(())
}

/// Fails when some hosts are missing from what was shown.
pub(crate) fn complete(missing: Vec<String>) -> Result<(), Error> {
    if missing.is_empty() {
        return Ok(());
    }
    Err(Error::unreachable(format!(
        "could not reach {}",
        missing.join(", ")
    )))
}

fn host_report(host: &HostPort, reply: Result<Status, Error>) -> HostReport {
    let (status, error) = match reply {
        Ok(status) => (Some(status), None),
        Err(error) => (None, Some(error.to_string())),
    };
    HostReport {
        listed_as: host.label(),
        list_state: host.listed.as_ref().map(|listed| listed.state.clone()),
        status,
        doubted_by: Vec::new(),
        error,
    }
}

fn host_table(reports: &[HostReport]) -> Table {
    let mut table = Table::new(&[
        "HOST",
        "ZONE",
        "STATE",
        "REVISION",
        "HEARD MS AGO",
        "REQUESTS",
        "DOUBTED BY",
    ]);
    for report in reports {
        let (host, doubted_by) = (report.listed_as.clone(), report.doubted_by.join(" "));
        let cells = match &report.status {
            Some(status) => [
                status.zone.clone(),
                state(status).to_owned(),
                shown(status.revision),
                shown(status.settings_age_ms),
                status.requests_in_progress.to_string(),
            ],
            None => ["", "unreachable", "", "", ""].map(str::to_owned),
        };
        table.row(
            [host]
                .into_iter()
                .chain(cells)
                .chain([doubted_by])
                .collect(),
        );
    }
    table
}

fn shown(number: Option<u64>) -> String {
    number.map_or("-".to_owned(), |number| number.to_string())
}

fn state(status: &Status) -> &'static str {
    match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}
