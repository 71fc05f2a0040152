//! The commands about entry hosts and targets.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::connection::{HostPort, get_all};
use crate::error::Error;
use crate::options::Connection;
use crate::output::{Output, Table};

/// What an entry host says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Status {
    host: String,
    zone: String,
    /// The revision in force; `None` before the first.
    pub revision: Option<u64>,
    ready: bool,
    draining: bool,
    requests_in_progress: u64,
    #[serde(flatten)]
    further: IndexMap<String, Value>,
}

/// One entry host as the command shows it.
#[derive(Debug, Serialize)]
struct HostReport {
    listed_as: String,
    list_state: Option<String>,
    #[serde(flatten)]
    status: Option<Status>,
    error: Option<String>,
}

#[derive(Debug, Deserialize)]
struct TargetsReply {
    #[serde(default)]
    outstanding: IndexMap<String, u64>,
}

#[derive(Debug, Deserialize)]
struct SettingsReply {
    #[serde(default)]
    tree: Option<toucancleat_core::settings::Tree>,
}

/// One target as the command shows it.
#[derive(Debug, Serialize)]
struct TargetReport {
    target: String,
    pool: String,
    zone: String,
    address: String,
    outstanding: u64,
}

/// Lists the entry hosts.
pub(crate) async fn hosts(connection: &Connection, output: &Output) -> Result<(), Error> {
    let hosts = connection.hosts().await?;
    let replies = get_all::<Status>(&hosts, "/status").await;
    let reports: Vec<HostReport> = hosts
        .iter()
        .zip(replies)
        .map(|(host, reply)| host_report(host, reply))
        .collect();
    if output.json {
        output.json(&reports)?;
    } else {
        output.table(&host_table(&reports))?;
    }
    let missing = reports.iter().filter(|report| report.status.is_none());
    complete(missing.map(|report| report.listed_as.clone()).collect())
}

/// Lists the targets of the tree with the requests in progress that the hosts know of.
pub(crate) async fn targets(
    connection: &Connection,
    output: &Output,
) -> Result<(), Error> {
    let hosts = connection.hosts().await?;
    let mut missing = Vec::new();
    let mut outstanding: IndexMap<String, u64> = IndexMap::new();
    let replies = get_all::<TargetsReply>(&hosts, "/targets").await;
    for (host, reply) in hosts.iter().zip(replies) {
        match reply {
            Ok(reply) => {
                for (target, count) in reply.outstanding {
                    *outstanding.entry(target).or_default() += count;
                }
            }
            Err(_) => missing.push(host.label()),
        }
    }
    let trees = get_all::<SettingsReply>(&hosts, "/settings").await;
    let tree = trees
        .into_iter()
        .flatten()
        .find_map(|reply| reply.tree)
        .unwrap_or_default();
    let mut reports = Vec::new();
    for (pool_name, pool) in &tree.pools {
        for (name, target) in &pool.targets {
            reports.push(TargetReport {
                target: name.to_string(),
                pool: pool_name.to_string(),
                zone: target.zone.to_string(),
                address: target.address.clone(),
                outstanding: outstanding.get(name.as_str()).copied().unwrap_or(0),
            });
        }
    }
    if output.json {
        output.json(&reports)?;
    } else {
        output.table(&target_table(reports))?;
    }
    complete(missing)
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
        error,
    }
}

fn host_table(reports: &[HostReport]) -> Table {
    let mut table = Table::new(&["HOST", "ZONE", "STATE", "REVISION", "REQUESTS"]);
    for report in reports {
        let Some(status) = &report.status else {
            let state = "unreachable".to_owned();
            table.row(vec![report.listed_as.clone(), String::new(), state]);
            continue;
        };
        let revision = status
            .revision
            .map_or("none".to_owned(), |revision| revision.to_string());
        table.row(vec![
            status.host.clone(),
            status.zone.clone(),
            state(status).to_owned(),
            revision,
            status.requests_in_progress.to_string(),
        ]);
    }
    table
}

fn state(status: &Status) -> &'static str {
    match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

fn target_table(reports: Vec<TargetReport>) -> Table {
    let mut table = Table::new(&["TARGET", "POOL", "ZONE", "ADDRESS", "REQUESTS"]);
    for report in reports {
        let requests = report.outstanding.to_string();
        table.row(vec![
            report.target,
            report.pool,
            report.zone,
            report.address,
            requests,
        ]);
    }
    table
}
