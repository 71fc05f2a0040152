//! Everything that an entry host knows.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::homes::Homes;
use crate::prelude::*;
use crate::requests::Requests;
use crate::settings::InForce;
use crate::timeline::Timeline;
use crate::{
    accounts, claims, crash_marks, freshness, holds, limits, membership, orders, spread,
    streams, targets,
};

/// Bound on the memory of the time line's ring.
const TIMELINE_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// What a host is told of itself at its start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where other entry hosts connect.
    pub peers_address: SocketAddr,
    /// Higher at each start of the host.
    pub incarnation: Incarnation,
    /// A random number, which tells this host's claims from those of its earlier
    /// incarnations.
    pub seed: u128,
}

/// The state of one entry host.
///
/// All of it is soft: a host keeps nothing, and what must last is in the platform's table.
#[derive(Debug)]
pub struct State {
    /// The host itself.
    pub identity: Identity,
    /// The settings in force here; `None` until the first revision is known.
    pub settings: Option<Arc<InForce>>,
    /// Requests in progress.
    pub requests: Requests,
    /// Claims of keys in the platform's table.
    pub claims: claims::State,
    /// Which entry hosts live.
    pub membership: membership::State,
    /// Which of them keeps what.
    pub homes: Homes,
    /// Reservations at targets.
    pub accounts: accounts::State,
    /// Which targets may take new work.
    pub targets: targets::State,
    /// Which targets must be looked at before they are given work again.
    pub freshness: freshness::State,
    /// Requests that crash targets.
    pub crash_marks: crash_marks::State,
    /// Streams whose caller has gone.
    pub streams: streams::State,
    /// What may run of each organisation.
    pub limits: limits::State,
    /// Orders to the engines of the zone.
    pub orders: orders::State,
    /// Targets that take no new work while an order changes them.
    pub holds: holds::State,
    /// How the settings reach this host and go on from it.
    pub spread: spread::State,
    /// What was done, for operators.
    pub timeline: Timeline,
    /// Requests that this host has given to each target and that are still running.
    pub outstanding: IndexMap<TargetName, u32>,
    /// Requests that run alone, or wait for their turn to, by attempt.
    pub(crate) isolated: IndexMap<GenerationId, RequestId>,
    /// Requests that wait for their permission, with their organisation.
    pub(crate) asking: IndexMap<RequestId, OrganisationName>,
    /// Entry hosts of the zone on the platform's list; `None` until it was read.
    pub(crate) listed: Option<Vec<HostName>>,
    /// Targets that the platform's list says are leaving, with the epoch that each had
    /// when the list first said so.
    pub(crate) listed_leaving: IndexMap<TargetName, u64>,
    /// When each target is to be looked at again.
    pub(crate) observe_at_ms: IndexMap<TargetName, u64>,
    /// When the host list is to be read again.
    pub(crate) list_at_ms: u64,
    /// Whether the host was told to stop.
    pub draining: bool,
}

impl State {
    /// Makes the state of a host that has just started.
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
                    // N.B. a home lost with its host would otherwise refuse what nobody
                    // holds for as long as an answer may take. So what a lost host still
                    // runs counts no longer than its shares do; see docs/design/limits.md.
                    longest_answer_ms: 0,
                    // What can't be settled at once is served, since a refusal would be
                    // wrong more often than right.
                    is_lenient: true,
                    answer_wait_ms: 50,
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
            spread: spread::State::new(spread::Config::default(), seed),
            timeline: Timeline::new(
                identity.host.clone(),
                identity.incarnation,
                TIMELINE_MAX_BYTES,
            ),
            outstanding: IndexMap::new(),
            isolated: IndexMap::new(),
            asking: IndexMap::new(),
            listed: None,
            listed_leaving: IndexMap::new(),
            observe_at_ms: IndexMap::new(),
            list_at_ms: 0,
            draining: false,
            identity,
        }
    }
}
