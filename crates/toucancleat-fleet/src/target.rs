//! Targets as the platform's host list describes them.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

use crate::store::StorePosition;

/// The version of a target's software.
///
/// Versions are compared for equality only. They have no order: a release may be rolled back,
/// and several may serve side by side. What two of them generate doesn't fit together, so a
/// stream continues only at the version that began it. See
/// docs/design/software-versions.md.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Creates a version from its name.
    pub fn new(name: &str) -> Self {
        SoftwareVersion(Arc::from(name))
    }

    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A target's entry in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The pool that the target serves.
    pub pool: PoolName,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// Whether the target is leaving and takes no new work.
    pub is_leaving: bool,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// When the target started, in Unix time. A change reveals a restart under the same
    /// name.
    pub started_unix_ms: Option<u64>,
    /// Remaining duration of the target's slow start, as of this entry.
    pub slow_start_left_ms: u64,
    /// The version of the target's software, or `None` if a host of an earlier release has
    /// sent the entry. Those hosts don't know this field, so messages carry it separately.
    #[serde(skip)]
    pub software_version: Option<SoftwareVersion>,
}

impl TargetEntry {
    /// Returns true if this entry changes more than a heartbeat does.
    ///
    /// The remaining duration of a slow start decreases with each heartbeat, which is no
    /// change.
    fn differs_from(&self, before: &TargetEntry) -> bool {
        let without_countdown = TargetEntry {
            slow_start_left_ms: before.slow_start_left_ms,
            ..self.clone()
        };
        without_countdown != *before
    }

    /// Returns a hash of the target's name and of what [`differs_from`](Self::differs_from)
    /// compares.
    fn digest(&self, target: &TargetName) -> u64 {
        let content = format!(
            "{target} {} {} {} {} {} {:?}",
            self.pool,
            self.address,
            self.zone,
            self.is_leaving,
            self.slots,
            self.started_unix_ms,
        );
        stable_hash(content.as_bytes())
    }

    /// Returns a hash of the target's name and of its software's version. It is separate from
    /// [`digest`](Self::digest), which hosts of earlier releases compare.
    fn version_digest(&self, target: &TargetName) -> u64 {
        let content = format!(
            "{target} {:?} {:?}",
            self.started_unix_ms, self.software_version
        );
        stable_hash(content.as_bytes())
    }
}

/// One change of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChange {
    /// The target.
    pub target: TargetName,
    /// The store's version of the change.
    pub store_version: u64,
    /// The new entry, or `None` if it was removed or can't be decoded.
    pub entry: Option<TargetEntry>,
}

/// The known targets by name.
#[derive(Clone, Debug, Default)]
pub struct TargetDirectory {
    targets: IndexMap<TargetName, TargetEntry>,
    known_position: Option<StorePosition>,
    /// Changes of peers that are later than that position. A list may be older than they are
    /// though it is later than the position.
    later_changes: IndexMap<TargetName, TargetChange>,
    /// Combined hash of all entries. It doesn't depend on their order, so that a change
    /// updates it alone.
    digest: u64,
    /// The same for the versions of the targets' software.
    version_digest: u64,
    /// Number of targets whose software's version isn't known.
    unknown_versions: usize,
    /// Number of targets of each version in each pool, leaving ones included.
    versions: IndexMap<PoolName, IndexMap<SoftwareVersion, usize>>,
}

/// The effect of a change on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetTransition {
    /// The target is new or has restarted. Holds its entry.
    Joined(TargetName, TargetEntry),
    /// The target has started again under its name. Precedes what else has changed.
    Restarted(TargetName),
    /// The target no longer takes new work. Holds its last entry.
    Leaving(TargetName, TargetEntry),
}

impl TargetDirectory {
    /// Returns true if the list is known at all.
    pub fn is_known(&self) -> bool {
        self.known_position.is_some()
    }

    /// Returns the position of the store up to which the list is known.
    pub fn known_position(&self) -> StorePosition {
        self.known_position.unwrap_or_default()
    }

    /// Forgets up to where the list is known if the store has entered a later era. The entries
    /// are kept until the list of that era is known.
    pub fn enter_era(&mut self, era: u64) {
        if let Some(known) = &mut self.known_position
            && known.era < era
        {
            *known = StorePosition { era, version: 0 };
            self.later_changes.clear();
        }
    }

    /// Returns a digest of the entries without what a heartbeat changes. Two hosts with the
    /// same list have the same digest, at whichever versions they read it.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a digest of the versions of all targets' software.
    pub fn version_digest(&self) -> u64 {
        self.version_digest
    }

    /// Returns true if the version of some target's software isn't known. The complete list of
    /// the store has it.
    pub fn lacks_versions(&self) -> bool {
        self.unknown_versions > 0
    }

    /// Returns the pools that have targets.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.versions.keys()
    }

    /// Returns the number of targets of a version in a pool, leaving ones included.
    pub fn count(&self, pool: &PoolName, version: &SoftwareVersion) -> usize {
        let versions = self.versions.get(pool);
        let count = versions.and_then(|versions| versions.get(version));
        count.copied().unwrap_or_default()
    }

    /// Returns the version of all targets of a pool, leaving ones included, if it is the same.
    pub fn sole_version(&self, pool: &PoolName) -> Option<&SoftwareVersion> {
        let versions = self.versions.get(pool)?;
        let (version, _) = versions.first()?;
        (versions.len() == 1 && !self.lacks_versions()).then_some(version)
    }

    /// Returns a target's entry.
    pub fn get(&self, target: &TargetName) -> Option<&TargetEntry> {
        self.targets.get(target)
    }

    /// Returns all targets of a pool that accept new work.
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

    /// Replaces all entries by a list as of one position, and retains in `list` only what was
    /// more than a heartbeat, removals included.
    ///
    /// A list older than the known one is ignored, so that a late reply can't restore
    /// a target that has left.
    pub fn replace_all(
        &mut self,
        position: StorePosition,
        list: &mut Vec<TargetChange>,
    ) -> Vec<TargetTransition> {
        let mut transitions = Vec::new();
        if Some(position) < self.known_position {
            list.clear();
            return transitions;
        }
        self.later_changes
            .retain(|_, change| change.store_version > position.version);
        list.retain(|change| !self.later_changes.contains_key(&change.target));
        list.extend(self.later_changes.values().cloned());
        let listed: IndexSet<&TargetName> = list
            .iter()
            .filter(|change| change.entry.is_some())
            .map(|change| &change.target)
            .collect();
        let removed = self
            .targets
            .keys()
            .filter(|target| !listed.contains(*target))
            .map(|target| TargetChange {
                target: target.clone(),
                store_version: position.version,
                entry: None,
            });
        let removed: Vec<TargetChange> = removed.collect();
        list.retain(|change| change.entry.is_some());
        list.splice(0..0, removed);
        list.retain(|change| {
            let entry = change.entry.clone();
            self.apply(change.target.clone(), entry, &mut transitions)
        });
        self.known_position = Some(position);
        transitions
    }

    /// Applies the changes up to a position, and retains only those that were more than
    /// heartbeats. Changes of an earlier era are ignored.
    ///
    /// Most changes are heartbeats. With thousands of targets, a message with all of them
    /// would exceed a datagram.
    pub fn apply_changes(
        &mut self,
        position: StorePosition,
        changes: &mut Vec<TargetChange>,
    ) -> Vec<TargetTransition> {
        let mut transitions = Vec::new();
        self.enter_era(position.era);
        // A host that has not read the list yet knows it as of the beginning of any era.
        let unknown = StorePosition {
            era: position.era,
            version: 0,
        };
        let known = self.known_position.unwrap_or(unknown);
        changes.retain(|change| {
            let later = self.later_changes.get(&change.target);
            let is_overtaken =
                later.is_some_and(|later| later.store_version > change.store_version);
            position.era == known.era
                && change.store_version > known.version
                && !is_overtaken
                && self.apply(
                    change.target.clone(),
                    change.entry.clone(),
                    &mut transitions,
                )
        });
        for change in changes.iter() {
            self.later_changes
                .insert(change.target.clone(), change.clone());
        }
        self.advance_to(position);
        transitions
    }

    /// Advances the known position to one up to which there were only heartbeats.
    pub fn advance_to(&mut self, position: StorePosition) {
        if position.version > 0 {
            self.known_position = self.known_position.max(Some(position));
            let known_version = self.known_position().version;
            self.later_changes
                .retain(|_, change| change.store_version > known_version);
        }
    }

    /// Applies one change, and returns true if it was more than a heartbeat.
    fn apply(
        &mut self,
        target: TargetName,
        mut entry: Option<TargetEntry>,
        transitions: &mut Vec<TargetTransition>,
    ) -> bool {
        let before = self.targets.get(&target);
        if let (Some(before), Some(entry)) = (before, &mut entry)
            && entry.software_version.is_none()
            && entry.started_unix_ms == before.started_unix_ms
        {
            entry.software_version.clone_from(&before.software_version);
        }
        let is_content_change = match (before, &entry) {
            (Some(before), Some(entry)) => entry.differs_from(before),
            (None, None) => false,
            _ => true,
        };
        if !is_content_change {
            return false;
        }
        for changed in [before, entry.as_ref()].into_iter().flatten() {
            self.digest ^= changed.digest(&target);
            self.version_digest ^= changed.version_digest(&target);
        }
        let lacks_version = |entry: Option<&TargetEntry>| {
            entry.is_some_and(|e| e.software_version.is_none())
        };
        self.unknown_versions += usize::from(lacks_version(entry.as_ref()));
        self.unknown_versions -= usize::from(lacks_version(before));
        count_version(&mut self.versions, entry.as_ref(), |count| *count += 1);
        count_version(&mut self.versions, before, |count| *count -= 1);
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
                if restarted {
                    transitions.push(TargetTransition::Restarted(target.clone()));
                }
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

/// Changes the count of the version of an entry's pool, and removes counts that become zero.
fn count_version(
    versions: &mut IndexMap<PoolName, IndexMap<SoftwareVersion, usize>>,
    entry: Option<&TargetEntry>,
    change: impl Fn(&mut usize),
) {
    let Some(entry) = entry else {
        return;
    };
    let Some(version) = &entry.software_version else {
        return;
    };
    let counts = versions.entry(entry.pool.clone()).or_default();
    let count = counts.entry(version.clone()).or_default();
    change(count);
    if *count == 0 {
        counts.swap_remove(version);
    }
    if counts.is_empty() {
        versions.swap_remove(&entry.pool);
    }
}
