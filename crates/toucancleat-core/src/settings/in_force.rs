//! A revision of the settings in force, indexed for the lookups that requests need.

use std::sync::Arc;

use super::{Directory, Effective, Pool, Target, TargetClass, Tree};
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};

/// A revision of the settings with an index of its API keys.
#[derive(Debug)]
pub struct SettingsInForce {
    /// The revision.
    pub revision: Revision,
    /// The whole tree.
    pub tree: Arc<Tree>,
    directory: Directory,
}

/// The settings that apply to one request.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// The live event that the request belongs to.
    pub live_event: LiveEventName,
    /// Start of the live event.
    pub starts_at_unix_ms: u64,
    /// End of the live event.
    pub ends_at_unix_ms: u64,
    /// The organisation that sent the request.
    pub organisation: OrganisationName,
    /// The class of the targets that serve it.
    pub class: TargetClass,
    /// The values in force for it.
    pub values: Arc<Effective>,
}

impl SettingsInForce {
    /// Indexes a tree that has passed [`check`](super::check).
    pub fn new(revision: Revision, tree: Arc<Tree>) -> Self {
        let directory = Directory::new(&tree);
        SettingsInForce {
            revision,
            tree,
            directory,
        }
    }

    /// Returns a target and the pool that it belongs to.
    pub fn target(&self, name: &TargetName) -> Option<(&PoolName, &Pool, &Target)> {
        self.tree.pools.iter().find_map(|(pool_name, pool)| {
            let target = pool.targets.get(name)?;
            Some((pool_name, pool, target))
        })
    }

    /// Returns every target of every pool.
    pub fn targets(
        &self,
    ) -> impl Iterator<Item = (&PoolName, TargetClass, &TargetName, &Target)> {
        self.tree.pools.iter().flat_map(|(pool_name, pool)| {
            let targets = pool.targets.iter();
            targets.map(move |(name, target)| (pool_name, pool.class, name, target))
        })
    }

    /// Returns the organisation, live event and values of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal to be sent to the caller: for an unknown API key, an unknown
    /// kind, a kind without a pool, or a live event that is missing or unknown.
    pub fn request_settings(
        &self,
        api_key: &str,
        live_event: Option<&str>,
        kind: &KindName,
    ) -> Result<RequestSettings, Refusal> {
        let participation = self.directory.authenticate(api_key).ok_or_else(|| {
            Refusal::not_run(Problem::Unauthorised, "the API key is not in the settings")
        })?;
        let event_name = participation.live_event(live_event).map_err(|error| {
            let problem = match live_event {
                Some(_) => Problem::Unknown,
                None => Problem::LiveEventNeeded,
            };
            Refusal::not_run(problem, error.to_string())
        })?;
        let organisation = participation.organisation();
        let values = self.tree.effective(event_name, organisation, kind);
        let values = values.ok_or_else(|| {
            let detail = format!("request kind {kind} is not in the settings");
            Refusal::not_run(Problem::Unknown, detail)
        })?;
        let pool = self.tree.pools.get(&values.pool).ok_or_else(|| {
            let detail = format!("request kind {kind} has no pool of targets");
            Refusal::not_run(Problem::Unknown, detail)
        })?;
        let event = &self.tree.live_events[event_name];
        Ok(RequestSettings {
            live_event: event_name.clone(),
            starts_at_unix_ms: event.starts_at_unix_ms,
            ends_at_unix_ms: event.ends_at_unix_ms,
            organisation: organisation.clone(),
            class: pool.class,
            values: Arc::new(values),
        })
    }
}
