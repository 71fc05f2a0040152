//! Hosts of a deployment whose availability zones can be evacuated.

use toucancleat_fleet::config::FleetConfig;
use toucancleat_fleet::evacuation::{EvacuationRow, EvacuationRows};
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};

use super::*;

/// Time after an evacuation from which no request may be sent to the zone.
pub const BOUND_MS: u64 = 5_000;

/// Returns the configuration of a host whose deployment evacuates zones.
pub fn evacuating_config() -> FleetConfig {
    FleetConfig {
        evacuation_bound_ms: Some(BOUND_MS),
        ..default_config()
    }
}

/// Lets a host read the row of an evacuated zone, or its removal.
pub fn read_row(
    host: &mut State,
    now_ms: u64,
    zone: &str,
    store_version: u64,
    is_evacuated: bool,
) -> Vec<Effect> {
    let row = EvacuationRow {
        zone: ZoneName::new(zone),
        store_version,
        is_evacuated,
    };
    let rows = EvacuationRows {
        complete_at: None,
        rows: vec![row],
    };
    read_rows(host, now_ms, None, rows)
}

/// Lets a host read rows of evacuated zones in an era of the store.
pub fn read_rows(
    host: &mut State,
    now_ms: u64,
    era: Option<u64>,
    rows: EvacuationRows,
) -> Vec<Effect> {
    let event = Event::StoreReplied {
        query: Query::Evacuations,
        era,
        evacuations: Some(rows),
        reply: Reply::Evacuations,
    };
    apply(host, now_ms, event)
}

/// Returns true if a zone is evacuated as far as a host knows.
pub fn is_evacuated(host: &State, zone: &str) -> bool {
    host.evacuations().contains(&ZoneName::new(zone))
}
