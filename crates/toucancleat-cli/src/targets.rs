//! The command about targets.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::settings::Tree;

use crate::connection::{HostPort, get_all};
use crate::error::Error;
use crate::fleet::complete;
use crate::options::Connection;
use crate::output::{Output, Table};

/// What an entry host says of the targets of its zone.
#[derive(Debug, Deserialize)]
struct TargetsReply {
    targets: Vec<TargetView>,
}

#[derive(Debug, Deserialize)]
struct TargetView {
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

/// One target as the command shows it.
#[derive(Debug, Serialize)]
struct TargetReport {
    target: String,
    pool: String,
    zone: String,
    address: String,
    /// Requests in progress, over all entry hosts.
    outstanding: u64,
    /// How each entry host judges the target.
    admission_by_host: IndexMap<String, String>,
    /// Which entry host is home of the target, by the view of each in its zone.
    home_by_host: IndexMap<String, String>,
}

/// Lists the targets of the tree with what the hosts know of them.
pub(crate) async fn list(connection: &Connection, output: &Output) -> Result<(), Error> {
    let hosts = connection.hosts().await?;
    let trees = get_all::<SettingsReply>(&hosts, "/settings").await;
    let tree = trees
        .into_iter()
        .flatten()
        .find_map(|reply| reply.tree)
        .unwrap_or_default();
    let mut reports = reports(&tree);
    let replies = get_all::<TargetsReply>(&hosts, "/targets").await;
    let mut missing = Vec::new();
    for (host, reply) in hosts.iter().zip(replies) {
        match reply {
            Ok(reply) => add_views(&mut reports, host, reply),
            Err(_) => missing.push(host.label()),
        }
    }
    let reports: Vec<&TargetReport> = reports.values().collect();
    match output.json {
        true => output.json(&reports)?,
        false => output.table(&table(&reports))?,
    }
    complete(missing)
}

fn reports(tree: &Tree) -> IndexMap<String, TargetReport> {
    let pools = tree.pools.iter();
    let targets =
        pools.flat_map(|(pool, found)| found.targets.iter().map(move |t| (pool, t)));
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

fn add_views(
    reports: &mut IndexMap<String, TargetReport>,
    host: &HostPort,
    reply: TargetsReply,
) {
    for view in reply.targets {
        let Some(report) = reports.get_mut(&view.target) else {
            continue;
        };
        report.outstanding += view.outstanding;
        report
            .admission_by_host
            .insert(host.label(), view.admission);
        if let Some(home) = view.home.filter(|_| host.may_be_in_zone(&report.zone)) {
            report.home_by_host.insert(host.label(), home);
        }
    }
}

fn table(reports: &[&TargetReport]) -> Table {
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
        table.row(vec![
            report.target.clone(),
            report.pool.clone(),
            report.zone.clone(),
            report.address.clone(),
            report.outstanding.to_string(),
            agreed(&report.admission_by_host),
            agreed(&report.home_by_host),
        ]);
    }
    table
}

/// Returns the one view of all hosts, or each differing view once.
fn agreed(views: &IndexMap<String, String>) -> String {
    let mut views: Vec<&str> = views.values().map(String::as_str).collect();
    views.sort_unstable();
    views.dedup();
    if views.is_empty() {
        "-".to_owned()
    } else {
        views.join(" or ")
    }
}
