//! Checks of availability zones, pools and targets.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::check_name;
use crate::prelude::*;
use crate::settings::edit::join_pointer;
use crate::settings::problem::Problem;
use crate::settings::tree::{Pool, Target, TargetClass, Tree};

/// Names and addresses of the targets checked so far, to find duplicates.
#[derive(Default)]
struct CheckedTargets<'t> {
    names: HashMap<&'t TargetName, &'t PoolName>,
    addresses: HashMap<SocketAddr, &'t TargetName>,
}

pub(super) fn check(tree: &Tree, problems: &mut Vec<Problem>) {
    check_zones(tree, problems);
    let mut checked = CheckedTargets::default();
    for (pool_name, pool) in &tree.pools {
        let path = join_pointer("/pools", pool_name.as_str());
        check_name(&path, pool_name.as_str(), problems);
        for (name, target) in &pool.targets {
            let path = join_pointer(&format!("{path}/targets"), name.as_str());
            check_name(&path, name.as_str(), problems);
            if let Some(other) = checked.names.insert(name, pool_name) {
                let message = format!(
                    "expected a name that no other target has, found it in pool `{other}`"
                );
                problems.push(Problem::new(&path, message));
            }
            check_target(tree, &path, pool, target, problems);
            check_address(&path, name, target, &mut checked, problems);
        }
    }
}

fn check_zones(tree: &Tree, problems: &mut Vec<Problem>) {
    for (index, zone) in tree.zones.iter().enumerate() {
        let path = format!("/zones/{index}");
        check_name(&path, zone.as_str(), problems);
        if tree.zones[..index].contains(zone) {
            problems.push(Problem::new(
                &path,
                format!("expected each zone once, found `{zone}` again"),
            ));
        }
    }
}

fn check_target(
    tree: &Tree,
    path: &str,
    pool: &Pool,
    target: &Target,
    problems: &mut Vec<Problem>,
) {
    if !tree.zones.contains(&target.zone) {
        let message = format!("expected one of `zones`, found `{}`", target.zone);
        problems.push(Problem::new(&format!("{path}/zone"), message));
    }
    if pool.class != TargetClass::ModelEngine {
        return;
    }
    let sizes = [
        ("memory_tokens", target.memory_tokens),
        ("max_batch", u64::from(target.max_batch)),
    ];
    for (name, _) in sizes.iter().filter(|(_, size)| *size == 0) {
        let message = "expected at least 1 for a model engine, found 0";
        problems.push(Problem::new(&format!("{path}/{name}"), message));
    }
}

fn check_address<'t>(
    path: &str,
    name: &'t TargetName,
    target: &Target,
    checked: &mut CheckedTargets<'t>,
    problems: &mut Vec<Problem>,
) {
    let path = format!("{path}/address");
    let Ok(address) = target.address.parse::<SocketAddr>() else {
        let message = format!(
            "expected an IP address and a port, such as 127.0.0.1:8000, found `{}`",
            target.address
        );
        problems.push(Problem::new(&path, message));
        return;
    };
    if let Some(other) = checked.addresses.insert(address, name) {
        let message = format!(
            "expected an address that no other target has, found it at `{other}`"
        );
        problems.push(Problem::new(&path, message));
    }
}
