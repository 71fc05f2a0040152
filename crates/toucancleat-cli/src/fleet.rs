//! Implements the commands that list and drain entry hosts.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::connection::{OperatorPort, get_all};
use crate::error::Error;
use crate::options::Connection;
use crate::output::{Output, Table};

/// Status of a live peer in an entry host's reply.
const ALIVE: &str = "alive";

/// The status that an entry host reports for itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HostStatus {
    host: String,
    zone: String,
    /// The settings revision in force; `None` before the first.
    pub revision: Option<u64>,
    settings_age_ms: Option<u64>,
    ready: bool,
    draining: bool,
    requests_in_progress: u64,
    #[serde(flatten)]
    other_fields: IndexMap<String, Value>,
}

/// The known state of its peers that an entry host reports.
#[derive(Debug, Deserialize)]
struct MembershipReply {
    hosts: Vec<Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    host: String,
    status: String,
}

/// One row of the list of entry hosts.
#[derive(Debug, Serialize)]
struct HostReport {
    listed_as: String,
    list_state: Option<String>,
    #[serde(flatten)]
    status: Option<HostStatus>,
    /// Hosts at which the known state of this one isn't alive.
    doubted_by: Vec<String>,
    error: Option<String>,
}

/// Lists the entry hosts, each with its status and the peers at which it isn't alive.
pub(crate) async fn list_hosts(
    connection: &Connection,
    output: &Output,
) -> Result<(), Error> {
    let hosts = connection.hosts().await?;
    let replies = get_all::<HostStatus>(&hosts, "/status").await;
    let mut reports: Vec<HostReport> = hosts
        .iter()
        .zip(replies)
        .map(|(host, reply)| host_report(host, reply))
        .collect();
    let views = get_all::<MembershipReply>(&hosts, "/hosts").await;
    for (observer, view) in hosts.iter().zip(views) {
        let members = view.map_or(Vec::new(), |view| view.hosts);
        for member in members.iter().filter(|member| member.status != ALIVE) {
            let member_report = reports
                .iter_mut()
                .find(|report| report.listed_as == member.host);
            if let Some(report) = member_report {
                report.doubted_by.push(observer.label());
            }
        }
    }
    if output.is_json {
        output.write_json(&reports)?;
    } else {
        output.write_table(&host_table(&reports))?;
    }
    let unreached = reports.iter().filter(|report| report.status.is_none());
    ensure_all_reached(unreached.map(|report| report.listed_as.clone()).collect())
}

/// Drains an entry host: it accepts no new requests and finishes those in progress.
pub(crate) async fn drain_host(
    connection: &Connection,
    output: &Output,
    name: &str,
) -> Result<(), Error> {
    let hosts = connection.hosts().await?;
    let host = hosts.iter().find(|host| host.label() == name);
    let host = host.ok_or_else(|| {
        let known: Vec<String> = hosts.iter().map(OperatorPort::label).collect();
        Error::not_found(format!(
            "expected the name of an entry host, found `{name}`; known are {}",
            known.join(", ")
        ))
    })?;
    let reply: Value = host.post("/drain").await?;
    match output.is_json {
        true => output.write_json(&reply)?,
        false => output.write_line(&format!(
            "{name} accepts no new requests and finishes those in progress"
        ))?,
    }
    Ok(())
}

/// Fails if some hosts couldn't be reached, as the output lacks their replies.
pub(crate) fn ensure_all_reached(unreached: Vec<String>) -> Result<(), Error> {
    if unreached.is_empty() {
        return Ok(());
    }
    Err(Error::unreachable(format!(
        "could not reach {}",
        unreached.join(", ")
    )))
}

fn host_report(host: &OperatorPort, reply: Result<HostStatus, Error>) -> HostReport {
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
                state_name(status).to_owned(),
                format_optional(status.revision),
                format_optional(status.settings_age_ms),
                status.requests_in_progress.to_string(),
            ],
            None => ["", "unreachable", "", "", ""].map(str::to_owned),
        };
        table.add_row(
            [host]
                .into_iter()
                .chain(cells)
                .chain([doubted_by])
                .collect(),
        );
    }
    table
}

fn format_optional(number: Option<u64>) -> String {
    number.map_or("-".to_owned(), |number| number.to_string())
}

fn state_name(status: &HostStatus) -> &'static str {
    match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}
