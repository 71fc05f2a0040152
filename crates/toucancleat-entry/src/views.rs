//! JSON views of the reducer's state for operators.

use serde_json::{Value, json};
use toucancleat_core::State;
use toucancleat_core::homes::{HomeKey, rank};

/// Returns the entry hosts of the zone and the known state of the other zones.
pub(crate) fn hosts(state: &State) -> Value {
    let members: Vec<Value> = state
        .membership
        .entries()
        .map(|entry| {
            json!({
                "host": entry.host.name,
                "zone": entry.host.zone,
                "peers_address": entry.host.address,
                "incarnation": entry.host.incarnation,
                "status": format!("{:?}", entry.status).to_lowercase(),
            })
        })
        .collect();
    let zones: Vec<Value> = state
        .membership
        .other_zones()
        .map(|(name, zone)| {
            json!({
                "zone": name,
                "reachable": zone.is_reachable(),
                "live_hosts": zone.summary().map(|summary| summary.live_hosts),
            })
        })
        .collect();
    json!({ "hosts": members, "other_zones": zones })
}

/// Returns each target with its admission, its outstanding requests and its home.
pub(crate) fn targets(state: &State, now_ms: u64) -> Value {
    let targets: Vec<Value> = state
        .targets
        .targets()
        .map(|name| {
            let key = HomeKey::Target(name.clone());
            let home = rank(&key, state.membership.live_hosts(), 1);
            json!({
                "target": name,
                "admission": format!("{:?}", state.targets.peek(now_ms, name)),
                "outstanding": state.outstanding.get(name).copied().unwrap_or(0),
                "home": home.first().map(|host| host.name.as_str()),
            })
        })
        .collect();
    json!({ "outstanding": state.outstanding, "targets": targets })
}
