//! Implements the command that lists targets.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::settings::Tree;

use crate::connection::{OperatorPort, get_all};
use crate::error::Error;
use crate::fleet::ensure_all_reached;
use crate::options::Connection;
use crate::output::{Output, Table};

/// The known states of targets that an entry host reports.
#[derive(Debug, Deserialize)]
struct TargetsReply {
    targets: Vec<TargetStatus>,
}

#[derive(Debug, Deserialize)]
struct TargetStatus {
    target: String,
    admission: String,
    outstanding: u64,
    home: Option<String>,
}

#[derive(Debug, Deserialize)]
struct SettingsReply {
    #[serde(default)]
    tree: Option<Tree>,
}

/// One row of the list of targets.
#[derive(Debug, Serialize)]
struct TargetReport {
    target: String,
    pool: String,
    zone: String,
    address: String,
    /// Requests in progress, summed over all entry hosts.
    outstanding: u64,
    /// The admission state of the target at each entry host.
    admission_by_host: IndexMap<String, String>,
    /// The home of the target as known by each entry host in its zone.
    home_by_host: IndexMap<String, String>,
}

/// Lists the targets of the settings tree with their known state at the hosts.
pub(crate) async fn list_targets(
    connection: &Connection,
    output: &Output,
) -> Result<(), Error> {
    let hosts = connection.hosts().await?;
    let trees = get_all::<SettingsReply>(&hosts, "/settings").await;
    let tree = trees
        .into_iter()
        .flatten()
        .find_map(|reply| reply.tree)
        .unwrap_or_default();
    let mut reports = empty_reports(&tree);
    let replies = get_all::<TargetsReply>(&hosts, "/targets").await;
    let mut unreached = Vec::new();
    for (host, reply) in hosts.iter().zip(replies) {
        match reply {
            Ok(reply) => add_host_reply(&mut reports, host, reply),
            Err(_) => unreached.push(host.label()),
        }
    }
    let reports: Vec<&TargetReport> = reports.values().collect();
    match output.is_json {
        true => output.write_json(&reports)?,
        false => output.write_table(&target_table(&reports))?,
    }
    ensure_all_reached(unreached)
}

fn empty_reports(tree: &Tree) -> IndexMap<String, TargetReport> {
    let pools = tree.pools.iter();
    let targets = pools
        .flat_map(|(pool, settings)| settings.targets.iter().map(move |t| (pool, t)));
    let reports = targets.map(|(pool, (name, target))| {
        let report = TargetReport {
            target: name.to_string(),
            pool: pool.to_string(),
            zone: target.zone.to_string(),
            address: target.address.clone(),
            outstanding: 0,
            admission_by_host: IndexMap::new(),
            home_by_host: IndexMap::new(),
        };
        (name.to_string(), report)
    });
    reports.collect()
}

fn add_host_reply(
    reports: &mut IndexMap<String, TargetReport>,
    host: &OperatorPort,
    reply: TargetsReply,
) {
    for status in reply.targets {
        let Some(report) = reports.get_mut(&status.target) else {
            continue;
        };
        report.outstanding += status.outstanding;
        report
            .admission_by_host
            .insert(host.label(), status.admission);
        if let Some(home) = status.home.filter(|_| host.may_be_in_zone(&report.zone)) {
            report.home_by_host.insert(host.label(), home);
        }
    }
}

fn target_table(reports: &[&TargetReport]) -> Table {
    let mut table = Table::new(&[
        "TARGET",
        "POOL",
        "ZONE",
        "ADDRESS",
        "REQUESTS",
        "ADMISSION",
        "HOME",
    ]);
    for report in reports {
        table.add_row(vec![
            report.target.clone(),
            report.pool.clone(),
            report.zone.clone(),
            report.address.clone(),
            report.outstanding.to_string(),
            join_distinct(&report.admission_by_host),
            join_distinct(&report.home_by_host),
        ]);
    }
    table
}

/// Returns each distinct value once: a single one if all hosts agree.
fn join_distinct(values_by_host: &IndexMap<String, String>) -> String {
    let mut values: Vec<&str> = values_by_host.values().map(String::as_str).collect();
    values.sort_unstable();
    values.dedup();
    if values.is_empty() {
        "-".to_owned()
    } else {
        values.join(" or ")
    }
}
