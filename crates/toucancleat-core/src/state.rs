//! Everything that an entry host knows.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::claims;
use crate::prelude::*;
use crate::requests::Requests;
use crate::settings::InForce;

/// The state of one entry host.
///
/// All of it is soft: a host keeps nothing, and what must last is in the platform's table.
#[derive(Debug)]
pub struct State {
    /// The host itself.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// The settings in force here; `None` until the first revision is known.
    pub settings: Option<Arc<InForce>>,
    /// Requests in progress.
    pub requests: Requests,
    /// Claims of keys in the platform's table.
    pub claims: claims::State,
    /// Requests that this host has given to each target and that are still running.
    pub outstanding: IndexMap<TargetName, u32>,
    /// Whether the host was told to stop.
    pub draining: bool,
}

impl State {
    /// Makes the state of a host that has just started.
    ///
    /// The seed has to be random: it tells this host's claims from those of its earlier
    /// incarnations.
    pub fn new(
        host: HostName,
        zone: ZoneName,
        incarnation: Incarnation,
        seed: u128,
    ) -> Self {
        let claims_config = claims::Config::default();
        State {
            claims: claims::State::new(claims_config, &host, incarnation, seed),
            host,
            zone,
            settings: None,
            requests: Requests::default(),
            outstanding: IndexMap::new(),
            draining: false,
        }
    }
}
