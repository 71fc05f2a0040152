//! What the platform's host list says of targets.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The pool that it serves.
    pub pool: PoolName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub is_leaving: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When it started, in Unix time; a new start under an old name shows by this.
    pub started_unix_ms: Option<u64>,
    /// For how much longer it is slow after its start, as of this entry.
    pub slow_start_left_ms: u64,
}

impl TargetEntry {
    /// Says whether this entry tells something that the one before didn't.
    ///
    /// The time left of a slow start goes down with each heartbeat, which is no news.
    fn differs_from(&self, before: &TargetEntry) -> bool {
        let without_countdown = TargetEntry {
            slow_start_left_ms: before.slow_start_left_ms,
            ..self.clone()
        };
        without_countdown != *before
    }
}

/// One change of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChange {
    /// The target.
    pub target: TargetName,
    /// The store's version of the change.
    pub store_version: u64,
    /// The new entry; `None` where it was removed or can't be read.
    pub entry: Option<TargetEntry>,
}

/// Targets by name, as far as the host list is known.
#[derive(Clone, Debug, Default)]
pub struct TargetDirectory {
    targets: IndexMap<TargetName, TargetEntry>,
    known_version: u64,
    content_version: u64,
}

/// What a change meant for one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetTransition {
    /// It is new, or has started again; its entry comes along.
    Joined(TargetName, TargetEntry),
    /// It takes no new work any more; its last entry comes along.
    Leaving(TargetName, TargetEntry),
}

impl TargetDirectory {
    /// Returns the store's version up to which the list is known.
    pub fn known_version(&self) -> u64 {
        self.known_version
    }

    /// Returns the version of the last change that was more than a heartbeat.
    pub fn content_version(&self) -> u64 {
        self.content_version
    }

    /// Returns a target's entry.
    pub fn get(&self, target: &TargetName) -> Option<&TargetEntry> {
        self.targets.get(target)
    }

    /// Returns all targets of a pool that take new work.
    pub fn accepting<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a TargetName, &'a TargetEntry)> {
        self.targets
            .iter()
            .filter(move |(_, entry)| entry.pool == *pool && !entry.is_leaving)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetEntry)> {
        self.targets.iter()
    }

    /// Takes a whole list as of one version.
    ///
    /// A list older than what is known is passed over: a target that was seen to leave
    /// must not come back through a late answer.
    pub fn replace_all(
        &mut self,
        store_version: u64,
        list: Vec<TargetChange>,
    ) -> Vec<TargetTransition> {
        if store_version < self.known_version {
            return Vec::new();
        }
        let mut transitions = Vec::new();
        let listed: IndexMap<TargetName, TargetEntry> = list
            .into_iter()
            .filter_map(|change| Some((change.target, change.entry?)))
            .collect();
        let removed: Vec<TargetName> = self
            .targets
            .keys()
            .filter(|target| !listed.contains_key(*target))
            .cloned()
            .collect();
        for target in removed {
            self.apply(target, None, store_version, &mut transitions);
        }
        for (target, entry) in listed {
            self.apply(target, Some(entry), store_version, &mut transitions);
        }
        self.known_version = store_version;
        transitions
    }

    /// Takes the changes up to a version, and keeps of them only what was news.
    ///
    /// Most changes are heartbeats; with thousands of targets a message with all of them
    /// would not fit into a datagram.
    pub fn apply_changes(
        &mut self,
        store_version: u64,
        changes: &mut Vec<TargetChange>,
    ) -> Vec<TargetTransition> {
        let mut transitions = Vec::new();
        changes.retain(|change| {
            change.store_version > self.known_version
                && self.apply(
                    change.target.clone(),
                    change.entry.clone(),
                    change.store_version,
                    &mut transitions,
                )
        });
        self.known_version = self.known_version.max(store_version);
        transitions
    }

    /// Notes that nothing but heartbeats came up to a version.
    pub fn advance_to(&mut self, store_version: u64) {
        self.known_version = self.known_version.max(store_version);
    }

    /// Takes one change; tells whether it was news.
    fn apply(
        &mut self,
        target: TargetName,
        entry: Option<TargetEntry>,
        store_version: u64,
        transitions: &mut Vec<TargetTransition>,
    ) -> bool {
        let before = self.targets.get(&target);
        let is_content_change = match (before, &entry) {
            (Some(before), Some(entry)) => entry.differs_from(before),
            (None, None) => false,
            _ => true,
        };
        if !is_content_change {
            return false;
        }
        self.content_version = self.content_version.max(store_version);
        let was_accepting = before.is_some_and(|entry| !entry.is_leaving);
        match entry {
            None => {
                if let Some(before) = self.targets.swap_remove(&target)
                    && was_accepting
                {
                    transitions.push(TargetTransition::Leaving(target, before));
                }
            }
            Some(entry) => {
                let restarted = before
                    .is_some_and(|old| old.started_unix_ms != entry.started_unix_ms);
                if entry.is_leaving && (was_accepting || before.is_none()) {
                    transitions
                        .push(TargetTransition::Leaving(target.clone(), entry.clone()));
                } else if !entry.is_leaving && (!was_accepting || restarted) {
                    transitions
                        .push(TargetTransition::Joined(target.clone(), entry.clone()));
                }
                self.targets.insert(target, entry);
            }
        }
        true
    }
}
