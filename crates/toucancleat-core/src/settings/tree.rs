//! The settings tree as operators write it, and the resolution of the values in it.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::explain::LevelName;
use super::values::{Effective, Values};
use crate::prelude::*;

/// The whole settings document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// Availability zones of the fleet.
    #[serde(default)]
    pub zones: Vec<ZoneName>,
    /// Pools by name.
    #[serde(default)]
    pub pools: IndexMap<PoolName, Pool>,
    /// Values and kinds of the whole fleet.
    #[serde(default)]
    pub fleet: Level,
    /// Live events by name.
    #[serde(default)]
    pub live_events: IndexMap<LiveEventName, LiveEvent>,
}

/// The values that one level sets, for all kinds and for single kinds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Level {
    /// Values for every request kind.
    pub values: Values,
    /// Values for single request kinds, which override those for every kind.
    pub kinds: IndexMap<KindName, Values>,
}

/// A live event and the organisations that take part in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiveEvent {
    /// Start of the event.
    pub starts_at_unix_ms: u64,
    /// End of the event.
    pub ends_at_unix_ms: u64,
    /// Values that the event overrides.
    #[serde(default)]
    pub level: Level,
    /// Organisations by name. They are shared between revisions, as a change affects few
    /// of the many thousands.
    #[serde(default)]
    pub organisations: IndexMap<OrganisationName, Arc<Organisation>>,
}

/// An organisation within a live event.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Organisation {
    /// SHA-256 of each API key in force, in hexadecimal.
    pub api_key_sha256: Vec<String>,
    /// Values that the organisation overrides.
    pub level: Level,
}

/// A pool of targets that serve the same kinds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Class of the targets.
    pub class: TargetClass,
    /// Targets by name.
    #[serde(default)]
    pub targets: IndexMap<TargetName, Target>,
}

/// The class of a pool's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetClass {
    /// Model engines, which stream generations.
    ModelEngine,
    /// Plain services.
    Service,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// IP address and port.
    pub address: String,
    /// Cache memory of an engine, in tokens.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Maximum number of sequences that an engine decodes at once.
    #[serde(default)]
    pub max_batch: u32,
    /// Whether the target refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Models that the engine must have loaded, with their versions; `None` leaves them
    /// unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<IndexMap<String, String>>,
    /// Adapters that the engine must have loaded, with their versions; `None` leaves
    /// them unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapters: Option<IndexMap<String, String>>,
    /// Role that the engine must have; `None` leaves it unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

impl Tree {
    /// Resolves the values in force for a request; `None` when the live event, the
    /// organisation or the kind isn't in the tree.
    ///
    /// Levels apply from the fleet down to the organisation, and at each level the
    /// values for the kind override those for every kind.
    pub fn effective(
        &self,
        live_event: &LiveEventName,
        organisation: &OrganisationName,
        kind: &KindName,
    ) -> Option<Effective> {
        let event = self.live_events.get(live_event)?;
        let organisation = event.organisations.get(organisation)?;
        let levels = [&self.fleet, &event.level, &organisation.level];
        if !levels.iter().any(|level| level.kinds.contains_key(kind)) {
            return None;
        }
        let mut values = Values::default();
        for level in levels {
            values.overlay(&level.values);
            if let Some(kind_values) = level.kinds.get(kind) {
                values.overlay(kind_values);
            }
        }
        Some(Effective::from(&values))
    }

    /// Returns the levels from the fleet down to an organisation, outermost first.
    pub(super) fn levels(
        &self,
        live_event: &LiveEventName,
        organisation: &OrganisationName,
    ) -> Option<Vec<(LevelName, &Level)>> {
        let event = self.live_events.get(live_event)?;
        let level = &event.organisations.get(organisation)?.level;
        let event_name = LevelName::LiveEvent(live_event.clone());
        let name = LevelName::Organisation(live_event.clone(), organisation.clone());
        Some(vec![
            (LevelName::Fleet, &self.fleet),
            (event_name, &event.level),
            (name, level),
        ])
    }
}
