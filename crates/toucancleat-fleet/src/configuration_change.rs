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

/// Maximum number of home regions in one change, for the same reason.
pub const CHANGED_HOMES_MAX: usize = 200;

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
    /// Whether the routes, pools and organisations have all fields that this release knows. Hosts
    /// of the last release send changes without some, see [`ChangeAdditions`].
    #[serde(skip)]
    pub is_complete: bool,
}

/// The fields of a change that hosts of the last release don't know. They are encoded apart from
/// it, since the encoding of the change is theirs too. See docs/design/compatibility.md.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeAdditions {
    /// The home regions of each route, in the order of the change.
    pub route_homes: Vec<Vec<RegionName>>,
    /// The home regions of each organisation, in the order of the change.
    pub organisation_homes: Vec<Vec<RegionName>>,
    /// The rate of cold targets of each pool, in the order of the change.
    pub cold_requests_per_s: Vec<Option<f64>>,
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
    /// Returns `None` if the change is larger than [`CHANGED_ENTRIES_MAX`] or
    /// [`CHANGED_HOMES_MAX`], if two routes of a version have the same key, or if requests no longer
    /// need a key, or need one before there is any.
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
            is_complete: true,
        };
        // A change says nothing else of whether keys are needed.
        let requires_keys = before.requires_keys || !change.organisations.is_empty();
        if after.requires_keys != requires_keys {
            return None;
        }
        let fits = change.entries() <= CHANGED_ENTRIES_MAX
            && change.homes() <= CHANGED_HOMES_MAX;
        fits.then_some(change)
    }

    /// Returns the configuration that results from applying the change to `before`.
    ///
    /// Returns `None` if that isn't the version that the change applies to, or if the change
    /// lacks fields of what it adds. The new version then has to be read from the store.
    pub fn apply(&self, before: &Configuration) -> Option<Configuration> {
        if before.version != self.base_version || self.lacks_additions() {
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
            requires_keys: before.requires_keys || !self.organisations.is_empty(),
        })
    }

    /// Returns the fields that hosts of the last release don't know.
    pub fn additions(&self) -> ChangeAdditions {
        let pools = self.pools.iter().flat_map(IndexMap::values);
        let organisations = self.organisations.values();
        ChangeAdditions {
            route_homes: self
                .routes
                .iter()
                .map(|r| r.confining_regions.clone())
                .collect(),
            organisation_homes: organisations
                .map(|o| o.confining_regions.clone())
                .collect(),
            cold_requests_per_s: pools.map(|pool| pool.cold_requests_per_s).collect(),
        }
    }

    /// Restores the fields that hosts of the last release don't know. The change stays
    /// incomplete if they don't belong to it.
    pub fn restore(&mut self, additions: ChangeAdditions) {
        let pools = self.pools.as_ref().map_or(0, IndexMap::len);
        self.is_complete = additions.route_homes.len() == self.routes.len()
            && additions.organisation_homes.len() == self.organisations.len()
            && additions.cold_requests_per_s.len() == pools;
        if !self.is_complete {
            return;
        }
        for (route, homes) in self.routes.iter_mut().zip(additions.route_homes) {
            route.confining_regions = homes;
        }
        let organisations = self.organisations.values_mut();
        for (organisation, homes) in organisations.zip(additions.organisation_homes) {
            organisation.confining_regions = homes;
        }
        let pools = self.pools.iter_mut().flat_map(IndexMap::values_mut);
        for (pool, rate_per_s) in pools.zip(additions.cold_requests_per_s) {
            pool.cold_requests_per_s = rate_per_s;
        }
    }

    /// Returns true if the change adds something of which it lacks fields. What it removes, such
    /// as a revoked key, is complete in any release.
    fn lacks_additions(&self) -> bool {
        let adds = !self.routes.is_empty()
            || !self.organisations.is_empty()
            || self.pools.is_some();
        adds && !self.is_complete
    }

    fn homes(&self) -> usize {
        let of_routes = self
            .routes
            .iter()
            .map(|route| route.confining_regions.len());
        let organisations = self.organisations.values();
        let of_organisations = organisations.map(|o| o.confining_regions.len());
        of_routes.chain(of_organisations).sum()
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
