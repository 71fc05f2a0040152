//! Where a stream must have begun of which no host knows the origin.
//!
//! Such a stream began at the only version of a pool's software if the pool has had that version
//! alone, and its route that pool alone, for longer than any stream that can still be taken up.
//! A host that has just started doesn't know what was there before, nor for how long callers
//! waited then: all hosts may have been killed right after the last target of another version
//! left, or after a timeout was shortened. See docs/design/software-versions.md.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use crate::configuration::{Configuration, RetrySafety, Route};
use crate::stream_origin::StreamOrigin;
use crate::target::{SoftwareVersion, TargetDirectory};

/// Minimum time for which a pool and a route must have been as they are. Callers wait for less,
/// and the timeouts before the start of this host aren't known.
pub const SOLE_ORIGIN_MIN_MS: u64 = 60_000;

/// Number of the longest known timeouts of a route for which they must have been as they are.
const SOLE_ORIGIN_TIMEOUTS: u64 = 2;

/// Maximum age of the host list at which a single version in it counts as the only one. An
/// isolated host doesn't learn of a release.
pub const HOST_LIST_AGE_MAX_MS: u64 = 2_000;

/// The pools that have a single version, the routes that have a single pool, and since when.
#[derive(Clone, Debug, Default)]
pub struct SoleOrigins {
    versions: IndexMap<PoolName, (SoftwareVersion, u64)>,
    routes: IndexMap<RouteKey, KnownRoute>,
    configuration_version: Option<u64>,
}

/// Identifies a route over several configurations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RouteKey {
    hostname: String,
    path_prefix: String,
}

impl RouteKey {
    fn new(route: &Route) -> Self {
        RouteKey {
            hostname: route.hostname.clone(),
            path_prefix: route.path_prefix.clone(),
        }
    }
}

/// What a route has been.
#[derive(Clone, Debug)]
struct KnownRoute {
    pool: PoolName,
    since_ms: u64,
    longest_timeout_ms: u64,
}

impl SoleOrigins {
    /// Follows the host list and the configuration.
    pub fn update(
        &mut self,
        now_ms: u64,
        directory: &TargetDirectory,
        configuration: Option<&Configuration>,
    ) {
        self.update_versions(now_ms, directory);
        if let Some(configuration) = configuration
            && self.configuration_version != Some(configuration.version)
        {
            self.configuration_version = Some(configuration.version);
            self.update_routes(now_ms, configuration);
        }
    }

    fn update_versions(&mut self, now_ms: u64, directory: &TargetDirectory) {
        self.versions.retain(|pool, (version, _)| {
            directory
                .sole_version(pool)
                .is_some_and(|sole| sole == version)
        });
        for pool in directory.pools() {
            if let Some(version) = directory.sole_version(pool)
                && !self.versions.contains_key(pool)
            {
                let known = (version.clone(), now_ms);
                self.versions.insert(pool.clone(), known);
            }
        }
    }

    fn update_routes(&mut self, now_ms: u64, configuration: &Configuration) {
        let mut before = std::mem::take(&mut self.routes);
        for route in &configuration.routes {
            let [only] = route.weighted_pools.as_slice() else {
                continue;
            };
            if route.retry_safety != RetrySafety::ResumableStream {
                continue;
            }
            let key = RouteKey::new(route);
            let known = before.swap_remove(&key);
            let known = known.filter(|known| known.pool == only.pool);
            let known = known.unwrap_or_else(|| KnownRoute {
                pool: only.pool.clone(),
                since_ms: now_ms,
                longest_timeout_ms: route.timeout_ms,
            });
            let longest_timeout_ms = known.longest_timeout_ms.max(route.timeout_ms);
            let known = KnownRoute {
                longest_timeout_ms,
                ..known
            };
            self.routes.insert(key, known);
        }
    }

    /// Returns where each stream of a route began that can still be taken up, if it is the same
    /// for all.
    pub fn get(&self, now_ms: u64, route: &Route) -> Option<StreamOrigin> {
        let known = self.routes.get(&RouteKey::new(route))?;
        let (version, since_ms) = self.versions.get(&known.pool)?;
        let time_ms =
            SOLE_ORIGIN_MIN_MS.max(SOLE_ORIGIN_TIMEOUTS * known.longest_timeout_ms);
        let since_ms = known.since_ms.max(*since_ms);
        (now_ms.saturating_sub(since_ms) >= time_ms).then(|| StreamOrigin {
            pool: known.pool.clone(),
            version: version.clone(),
        })
    }
}
