//! Availability zones whose targets operators have evacuated.
//!
//! No request is sent to the targets of an evacuated zone until operators take the zone back.
//! Each host keeps the last known change of each zone with its position in the store's history,
//! and a later position replaces an earlier one. So hosts may learn of changes in any order,
//! repeatedly and from each other. See docs/design/evacuation.md.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

use crate::store::StorePosition;

/// Maximum number of zones in a message. A deployment has some 20 zones, and a damaged message
/// must not fill the memory.
pub const REPORTED_ZONES_MAX: usize = 64;

/// Number of bounds of evacuation for which a zone stays evacuated if the store has lost that.
/// Operators expect an evacuation to take effect within one bound, and a repeated one within
/// another.
pub const LOST_ROW_BOUNDS: u64 = 2;

/// Time, in addition to two intervals between messages, after which a host reads the evacuated zones
/// itself if no other has confirmed what it knows.
pub const CONFIRMED_AGE_BASE_MS: u64 = 1_200;

/// Time for which a run that is already migrating to a zone, or has been stopped there, may still
/// be resumed in it after this host has learnt of the evacuation.
pub const RESUMPTION_GRACE_MS: u64 = 1_000;

/// What a host reports to its peers about evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Time since these were last known to be the newest. Hosts of the last release don't know
    /// evacuations, so nothing follows from their reading the store.
    pub confirmed_age_ms: Option<u64>,
    /// The last known change of each zone.
    pub zones: Vec<ZoneReport>,
}

/// What a host reports about one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    pub zone: ZoneName,
    /// The position of the store at which this was so.
    pub position: StorePosition,
    /// Whether the zone is evacuated.
    pub is_evacuated: bool,
}

/// What a reply of the store says about evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationRows {
    /// The store's version of the list if it is complete: zones that it lacks aren't evacuated.
    pub complete_at: Option<u64>,
    /// The rows.
    pub rows: Vec<EvacuationRow>,
}

/// The row of an evacuated zone, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// The zone.
    pub zone: ZoneName,
    /// The store's version of the row.
    pub store_version: u64,
    /// Whether the zone is evacuated; false if the row was removed.
    pub is_evacuated: bool,
}

/// A change of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneName,
    /// The position of the store at which it changed.
    pub position: StorePosition,
    /// Whether the zone is evacuated now.
    pub is_evacuated: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownZone {
    position: StorePosition,
    is_evacuated: bool,
    /// When this host learnt that the zone was evacuated or taken back.
    changed_ms: u64,
}

/// The last known change of each zone that was ever evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: IndexMap<ZoneName, KnownZone>,
    /// Number of zones that are evacuated, so that a host without any compares no names.
    evacuated: usize,
    /// The position of the latest complete list. Zones that it lacks and that aren't known weren't
    /// evacuated then.
    listed_position: StorePosition,
    /// When these were last known to be the newest.
    confirmed_ms: Option<u64>,
}

impl Evacuations {
    /// Returns true if a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.evacuated > 0 && self.zones.get(zone).is_some_and(|known| known.is_evacuated)
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.evacuated
    }

    /// Returns true if no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.evacuated == 0
    }

    /// Returns when this host learnt that a zone was taken back. All hosts see its empty targets
    /// from about that moment, and the targets may be cold.
    pub fn taken_back_ms(&self, zone: &ZoneName) -> Option<u64> {
        let known = self.zones.get(zone)?;
        (!known.is_evacuated).then_some(known.changed_ms)
    }

    /// Returns true if a run that is migrating may be resumed in a zone.
    pub fn permits_resumption(&self, now_ms: u64, zone: &ZoneName) -> bool {
        self.zones.get(zone).is_none_or(|known| {
            !known.is_evacuated || now_ms < known.changed_ms + RESUMPTION_GRACE_MS
        })
    }

    /// Records what a reply of the store in an era says, and returns what has changed.
    ///
    /// `is_lost_row_kept` is true for a time after the store has returned to a copy. A zone that
    /// was evacuated before that and that the copy lacks stays evacuated meanwhile.
    pub fn record_rows(
        &mut self,
        now_ms: u64,
        era: u64,
        rows: &EvacuationRows,
        is_lost_row_kept: bool,
    ) -> Vec<ZoneChange> {
        let listed = rows.rows.iter().map(|row| ZoneChange {
            zone: row.zone.clone(),
            position: StorePosition {
                era,
                version: row.store_version,
            },
            is_evacuated: row.is_evacuated,
        });
        let mut changes: Vec<ZoneChange> = listed.collect();
        if let Some(version) = rows.complete_at {
            let position = StorePosition { era, version };
            let is_listed =
                |zone: &ZoneName| rows.rows.iter().any(|row| row.zone == *zone);
            let is_kept = |known: &KnownZone| {
                is_lost_row_kept && known.is_evacuated && known.position.era < era
            };
            let missing = self
                .zones
                .iter()
                .filter(|(zone, known)| !is_listed(zone) && !is_kept(known))
                .map(|(zone, _)| ZoneChange {
                    zone: zone.clone(),
                    position,
                    is_evacuated: false,
                });
            changes.extend(missing);
        }
        changes.retain(|change| self.record(now_ms, change));
        if let Some(version) = rows.complete_at {
            let position = StorePosition { era, version };
            self.listed_position = self.listed_position.max(position);
        }
        changes
    }

    /// Records what a peer reports, and returns what has changed.
    pub fn record_report(
        &mut self,
        now_ms: u64,
        report: &EvacuationReport,
    ) -> Vec<ZoneChange> {
        let reported = report.zones.iter().take(REPORTED_ZONES_MAX);
        let mut changes: Vec<ZoneChange> = reported
            .map(|reported| ZoneChange {
                zone: reported.zone.clone(),
                position: reported.position,
                is_evacuated: reported.is_evacuated,
            })
            .collect();
        changes.retain(|change| self.record(now_ms, change));
        changes
    }

    /// Records a change unless a later one is known, and returns true if the zone is evacuated
    /// now and wasn't, or the other way round.
    fn record(&mut self, now_ms: u64, change: &ZoneChange) -> bool {
        let known = self.zones.get(&change.zone);
        let is_in_listed_era = change.position.era == self.listed_position.era;
        let is_older_than_list =
            is_in_listed_era && change.position < self.listed_position;
        if is_older_than_list
            || known.is_some_and(|known| known.position >= change.position)
        {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        let is_changed = was_evacuated != change.is_evacuated;
        let changed_ms = known.filter(|_| !is_changed).map(|known| known.changed_ms);
        let known = KnownZone {
            position: change.position,
            is_evacuated: change.is_evacuated,
            changed_ms: changed_ms.unwrap_or(now_ms),
        };
        self.zones.insert(change.zone.clone(), known);
        self.evacuated += usize::from(change.is_evacuated);
        self.evacuated -= usize::from(was_evacuated);
        self.forget_oldest();
        is_changed
    }

    /// Forgets the zone that was taken back first if there are too many to report.
    fn forget_oldest(&mut self) {
        if self.zones.len() <= REPORTED_ZONES_MAX {
            return;
        }
        let taken_back = self.zones.iter().filter(|(_, known)| !known.is_evacuated);
        let oldest = taken_back.min_by_key(|(_, known)| known.position);
        if let Some(zone) = oldest.map(|(zone, _)| zone.clone()) {
            self.zones.swap_remove(&zone);
        }
    }

    /// Records that these were the newest at a time.
    pub fn confirm(&mut self, at_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
    }

    /// Returns the time since these were last known to be the newest, in milliseconds.
    pub fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns what this host reports to its peers.
    pub fn report(&self, now_ms: u64) -> EvacuationReport {
        let zones = self.zones.iter().take(REPORTED_ZONES_MAX);
        EvacuationReport {
            confirmed_age_ms: self.confirmed_age_ms(now_ms),
            zones: zones
                .map(|(zone, known)| ZoneReport {
                    zone: zone.clone(),
                    position: known.position,
                    is_evacuated: known.is_evacuated,
                })
                .collect(),
        }
    }

    /// Returns true if a peer that has sent a report knows each zone that is evacuated here.
    pub fn are_known_to(&self, report: &EvacuationReport) -> bool {
        let is_known = |zone: &ZoneName| {
            let mut zones = report.zones.iter();
            zones.any(|reported| reported.zone == *zone && reported.is_evacuated)
        };
        let mut evacuated = self.zones.iter().filter(|(_, known)| known.is_evacuated);
        evacuated.all(|(zone, _)| is_known(zone))
    }
}
