//! The difference between two versions of the configuration.
//!
//! A reader of the store sends its peers what a new version changes. The complete
//! configuration grows with the routes and keys of the deployment, and hundreds of copies
//! of it would occupy a reader's link for seconds. See docs/design/platform.md, "Messages
//! between hosts".

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

use crate::configuration::{CallerLimits, Configuration, Organisation, Pool, Route};

/// Maximum number of routes and keys in one change. A larger change doesn't fit in a
/// datagram, so peers read the new version from the store.
pub const CHANGED_ENTRIES_MAX: usize = 100;

/// What one version of the configuration changes in another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// The version that the change applies to.
    pub base_version: u64,
    /// The version that results from it.
    pub version: u64,
    /// Routes that are removed.
    pub removed_routes: Vec<RouteKey>,
    /// Routes that are added or replaced.
    pub routes: Vec<Route>,
    /// All pools, if any of them changes.
    pub pools: Option<IndexMap<PoolName, Pool>>,
    /// The limits on callers, if they change.
    pub limits: Option<CallerLimits>,
    /// API keys that are removed.
    pub removed_keys: Vec<String>,
    /// API keys that are added or that get another organisation or priority.
    pub organisations: IndexMap<String, Organisation>,
}

/// The host and the path prefix that select a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// Value of the `Host` header.
    pub hostname: String,
    /// Start of the path.
    pub path_prefix: String,
}

impl ConfigurationChange {
    /// Returns what `after` changes in `before`.
    ///
    /// Returns `None` if the change is larger than [`CHANGED_ENTRIES_MAX`], or if two routes
    /// of a version have the same key.
    pub fn between(before: &Configuration, after: &Configuration) -> Option<Self> {
        let old_routes = routes_by_key(before)?;
        let new_routes = routes_by_key(after)?;
        let removed_routes = old_routes
            .keys()
            .filter(|key| !new_routes.contains_key(*key))
            .cloned();
        let routes = new_routes
            .iter()
            .filter(|(key, route)| old_routes.get(*key) != Some(route))
            .map(|(_, route)| (*route).clone());
        let removed_keys = before
            .organisations
            .keys()
            .filter(|key| !after.organisations.contains_key(*key))
            .cloned();
        let organisations = after
            .organisations
            .iter()
            .filter(|(key, organisation)| {
                before.organisations.get(*key) != Some(*organisation)
            })
            .map(|(key, organisation)| (key.clone(), organisation.clone()));
        let change = ConfigurationChange {
            base_version: before.version,
            version: after.version,
            removed_routes: removed_routes.collect(),
            routes: routes.collect(),
            pools: (before.pools != after.pools).then(|| after.pools.clone()),
            limits: (before.limits != after.limits).then_some(after.limits),
            removed_keys: removed_keys.collect(),
            organisations: organisations.collect(),
        };
        (change.entries() <= CHANGED_ENTRIES_MAX).then_some(change)
    }

    /// Returns the configuration that results from applying the change to `before`, or
    /// `None` if that isn't the version that the change applies to.
    pub fn apply(&self, before: &Configuration) -> Option<Configuration> {
        if before.version != self.base_version {
            return None;
        }
        let replaced: IndexSet<RouteKey> = self.routes.iter().map(route_key).collect();
        let is_kept = |route: &&Route| {
            let key = route_key(route);
            !replaced.contains(&key) && !self.removed_routes.contains(&key)
        };
        let kept = before.routes.iter().filter(is_kept).cloned();
        let kept_organisations = before
            .organisations
            .iter()
            .filter(|(key, _)| !self.removed_keys.contains(key))
            .map(|(key, organisation)| (key.clone(), organisation.clone()));
        let mut organisations: IndexMap<_, _> = kept_organisations.collect();
        organisations.extend(self.organisations.clone());
        Some(Configuration {
            version: self.version,
            routes: kept.chain(self.routes.iter().cloned()).collect(),
            pools: self.pools.clone().unwrap_or_else(|| before.pools.clone()),
            limits: self.limits.unwrap_or(before.limits),
            organisations,
        })
    }

    fn entries(&self) -> usize {
        self.removed_routes.len()
            + self.routes.len()
            + self.pools.as_ref().map_or(0, IndexMap::len)
            + self.removed_keys.len()
            + self.organisations.len()
    }
}

fn route_key(route: &Route) -> RouteKey {
    RouteKey {
        hostname: route.hostname.to_ascii_lowercase(),
        path_prefix: route.path_prefix.clone(),
    }
}

/// Returns the routes by key, or `None` if two have the same key.
fn routes_by_key(configuration: &Configuration) -> Option<IndexMap<RouteKey, &Route>> {
    let routes: IndexMap<RouteKey, &Route> = configuration
        .routes
        .iter()
        .map(|route| (route_key(route), route))
        .collect();
    (routes.len() == configuration.routes.len()).then_some(routes)
}
