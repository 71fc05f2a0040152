//! One revision of the settings, prepared for the path of a request.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Effective, TargetClass, Tree};
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};

/// A revision of the settings with what each request looks up in it.
#[derive(Debug)]
pub struct InForce {
    /// The revision.
    pub revision: Revision,
    /// The whole tree.
    pub tree: Tree,
    /// Live events and organisations by the SHA-256 of an API key.
    credentials: HashMap<String, Vec<(LiveEventName, OrganisationName)>>,
}

/// What the settings say about one request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The live event the request belongs to.
    pub live_event: LiveEventName,
    /// When the live event begins.
    pub starts_at_unix_ms: u64,
    /// When the live event ends.
    pub ends_at_unix_ms: u64,
    /// Whose request it is.
    pub organisation: OrganisationName,
    /// What kind of target serves it.
    pub class: TargetClass,
    /// The values in force for it.
    pub values: Arc<Effective>,
}

impl InForce {
    /// Prepares a tree that was checked before.
    pub fn new(revision: Revision, tree: Tree) -> Self {
        let mut credentials: HashMap<String, Vec<_>> = HashMap::new();
        for (event_name, event) in &tree.live_events {
            for (name, organisation) in &event.organisations {
                for hash in &organisation.api_key_sha256 {
                    let place = (event_name.clone(), name.clone());
                    credentials
                        .entry(hash.to_lowercase())
                        .or_default()
                        .push(place);
                }
            }
        }
        InForce {
            revision,
            tree,
            credentials,
        }
    }

    /// Finds the organisation, live event and values of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller is to be given: unknown credential, unknown
    /// kind, or a live event that is missing or unknown.
    pub fn admit(
        &self,
        key_sha256_hex: &str,
        live_event: Option<&str>,
        kind: &KindName,
    ) -> Result<Admission, Refusal> {
        let places = self.credentials.get(key_sha256_hex).ok_or_else(|| {
            Refusal::not_run(Problem::Unauthorised, "the API key is not in the settings")
        })?;
        let (event_name, organisation) = choose_place(places, live_event)?;
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
        Ok(Admission {
            live_event: event_name.clone(),
            starts_at_unix_ms: event.starts_at_unix_ms,
            ends_at_unix_ms: event.ends_at_unix_ms,
            organisation: organisation.clone(),
            class: pool.class,
            values: Arc::new(values),
        })
    }
}

fn choose_place<'a>(
    places: &'a [(LiveEventName, OrganisationName)],
    live_event: Option<&str>,
) -> Result<&'a (LiveEventName, OrganisationName), Refusal> {
    match (live_event, places) {
        (Some(name), _) => {
            let found = places.iter().find(|(event, _)| event.as_str() == name);
            found.ok_or_else(|| {
                let detail = format!("the organisation does not take part in {name}");
                Refusal::not_run(Problem::Unknown, detail)
            })
        }
        (None, [place]) => Ok(place),
        (None, _) => Err(Refusal::not_run(
            Problem::LiveEventNeeded,
            "the organisation takes part in several live events; name one in X-Live-Event",
        )),
    }
}
