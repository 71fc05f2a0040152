//! The complete state of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::homes::Homes;
use crate::prelude::*;
use crate::requests::Requests;
use crate::settings::SettingsInForce;
use crate::timeline::Timeline;
use crate::{
    accounts, claims, crash_marks, dissemination, freshness, holds, limits, membership,
    orders, streams, targets,
};

/// Upper bound on the memory of the timeline's ring buffer, in bytes.
const TIMELINE_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// The identity of a host, fixed when its process starts.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address at which the host accepts connections from its peers.
    pub peers_address: SocketAddr,
    /// Incarnation of the host, which is higher after each restart.
    pub incarnation: Incarnation,
    /// A random number that distinguishes this host's claims from those of its earlier
    /// incarnations, and that seeds its random number generators.
    pub seed: u128,
}

/// The state of one entry host.
///
/// All of it is soft state: a host persists nothing locally, and whatever must survive a
/// restart is stored in the platform's tables.
#[derive(Debug)]
pub struct State {
    /// Identity of this host.
    pub identity: Identity,
    /// The settings in force at this host; `None` until the first revision arrives.
    pub settings: Option<Arc<SettingsInForce>>,
    /// Requests in progress.
    pub requests: Requests,
    /// Claims of idempotency keys in the platform's table.
    pub claims: claims::State,
    /// Membership: which entry hosts are alive.
    pub membership: membership::State,
    /// Rendezvous hashing of targets and zone roles to their home hosts.
    pub homes: Homes,
    /// Reservations of capacity at targets.
    pub accounts: accounts::State,
    /// Admission state of the targets.
    pub targets: targets::State,
    /// Targets that must be observed again after this host was paused.
    pub freshness: freshness::State,
    /// Crash marks of poison requests.
    pub crash_marks: crash_marks::State,
    /// Streams whose caller disconnected.
    pub streams: streams::State,
    /// Request limits of the organisations.
    pub limits: limits::State,
    /// Orders to the engines of this zone.
    pub orders: orders::State,
    /// Targets that admit no new requests while an order reconfigures them.
    pub holds: holds::State,
    /// Dissemination of the settings.
    pub dissemination: dissemination::State,
    /// Record of events and decisions for operators.
    pub timeline: Timeline,
    /// Number of attempts that this host has in progress at each target.
    pub outstanding: IndexMap<TargetName, u32>,
    /// Requests that run in isolation or wait for their turn to, by attempt.
    pub(crate) isolated: IndexMap<GenerationId, RequestId>,
    /// Requests that wait for a permit of their organisation's limit.
    pub(crate) awaiting_permit: IndexMap<RequestId, OrganisationName>,
    /// Entry hosts of this zone on the platform's host list, without those that leave;
    /// `None` until the list was read.
    pub(crate) listed_hosts: Option<Vec<HostName>>,
    /// Targets that the platform's host list marks as leaving, with the epoch that each had
    /// when the list first marked it.
    pub(crate) listed_leaving_targets: IndexMap<TargetName, u64>,
    /// When each target is due for its next observation.
    pub(crate) next_observation_ms: IndexMap<TargetName, u64>,
    /// When the host list is due to be read again.
    pub(crate) next_listing_ms: u64,
    /// Whether the host is stopping and takes no new requests.
    pub is_draining: bool,
}

impl State {
    /// Creates the state of a host that has just started.
    pub fn new(identity: Identity) -> Self {
        let own = membership::Host {
            name: identity.host.clone(),
            zone: identity.zone.clone(),
            address: identity.peers_address,
            incarnation: identity.incarnation,
        };
        let seed = identity.seed as u64;
        let mut homes = Homes::new();
        homes.update(0, [&own]);
        State {
            settings: None,
            requests: Requests::default(),
            claims: claims::State::new(
                claims::Config::default(),
                &identity.host,
                identity.incarnation,
                identity.seed,
            ),
            membership: membership::State::new(membership::Config::default(), own, seed),
            homes,
            accounts: accounts::State::new(
                identity.host.clone(),
                accounts::Config {
                    seed,
                    ..accounts::Config::default()
                },
            ),
            targets: targets::State::new(targets::Config::default(), seed),
            freshness: freshness::State::default(),
            crash_marks: crash_marks::State::new(crash_marks::Config::default()),
            streams: streams::State::default(),
            limits: limits::State::new(
                limits::Config {
                    // N.B. with a higher value, the home that replaces one lost with its
                    // host would refuse unheld capacity for as long as an answer may take.
                    // With 0, requests that a lost host still runs count only until its
                    // shares expire; see docs/design/limits.md.
                    max_request_duration_ms: 0,
                    // Requests that can't be decided in time are admitted, since refusing
                    // them would be wrong more often than right.
                    is_lenient: true,
                    permit_wait_max_ms: 50,
                    ..limits::Config::default()
                },
                identity.host.clone(),
                identity.zone.clone(),
                identity.incarnation.0,
                seed,
            ),
            orders: orders::State::new(
                orders::Config::default(),
                &identity.zone,
                &identity.host,
                (identity.seed >> 64) as u64,
            ),
            holds: holds::State::default(),
            dissemination: dissemination::State::new(
                dissemination::Config::default(),
                seed,
            ),
            timeline: Timeline::new(
                identity.host.clone(),
                identity.incarnation,
                TIMELINE_MAX_BYTES,
            ),
            outstanding: IndexMap::new(),
            isolated: IndexMap::new(),
            awaiting_permit: IndexMap::new(),
            listed_hosts: None,
            listed_leaving_targets: IndexMap::new(),
            next_observation_ms: IndexMap::new(),
            next_listing_ms: 0,
            is_draining: false,
            identity,
        }
    }
}
