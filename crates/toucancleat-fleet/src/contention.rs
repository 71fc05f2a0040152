//! The order in which requests get room while there is too little for all.
//!
//! Each host tells its peers what waits there. A request is sent to a target only if the room
//! that is free suffices for all those that come before it, at whichever host they wait.
//!
//! See docs/design/contention.md.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

use crate::claim::{Claim, RETURN_TIME_DIVISOR, Rank, UrgentKind};
use crate::configuration::Configuration;
use crate::organisation_share::{OrganisationTokens, over_share};
use crate::service_rate::{ServiceObservations, ServiceSums};

/// Divisor of the latency objective that yields the time for which a request waits for room in
/// its own zone before it looks for room in others.
const OWN_ZONE_WAIT_DIVISOR: u64 = 8;

/// Minimum delay after which a caller may retry.
const RETRY_AFTER_MIN_MS: u64 = 400;

/// Time between two callers that return, while the speed of the targets isn't known.
const RETURN_SPACING_MS: u64 = 100;

/// Maximum number of entries of each list in a message.
const REPORTED_MAX: usize = 8;

/// Time after which the report of a silent peer is forgotten.
const RETENTION_MS: u64 = 3_000;

/// Time between two searches for forgotten reports.
const EXPIRY_INTERVAL_MS: u64 = 500;

/// Time between two computations of the organisations' shares.
const SHARES_INTERVAL_MS: u64 = 100;

/// What a host reports to its peers about the requests that wait for room there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Tokens of the waiting requests of each pool and rank.
    pub waiting_tokens: Vec<(PoolName, Rank, u64)>,
    /// Tokens of the organisations' requests in each pool while requests wait, the largest
    /// first.
    pub organisations: Vec<(PoolName, OrganisationName, OrganisationTokens)>,
    /// What the sender has observed of each pool's targets.
    pub service: Vec<(PoolName, ServiceSums)>,
}

/// Room at the targets of one zone for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// Whether the request fits at some target.
    pub fits: bool,
    /// Tokens that are free at all targets for requests like this one.
    pub free_tokens: u64,
    /// Tokens of the runs there.
    pub used_tokens: u64,
    /// Number of targets.
    pub targets: u64,
}

/// What a request competes with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contest {
    /// Room in the own zone.
    pub supply: Supply,
    /// Tokens of the requests of the zone that come before this one.
    pub ahead_tokens: u64,
    /// What is known of the speed of the targets.
    pub service: ServiceSums,
}

/// What becomes of a request that asks for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Decision {
    /// It is sent to a target.
    Dispatch,
    /// It waits for room.
    Wait,
    /// It is refused.
    Refuse,
}

/// In whose favour a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RoomCause {
    /// Its organisation uses more than its share, so others came first.
    OverShare,
    /// Requests that come before it wait.
    Order,
    /// Nobody: the targets are full.
    Full,
}

impl RoomCause {
    /// Returns why a request with this claim was refused.
    pub fn of(claim: &Claim, contest: &Contest) -> RoomCause {
        match contest.ahead_tokens {
            0 => RoomCause::Full,
            _ if claim.is_over_share => RoomCause::OverShare,
            _ => RoomCause::Order,
        }
    }

    /// Returns the name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RoomCause::OverShare => "over_share",
            RoomCause::Order => "order",
            RoomCause::Full => "full",
        }
    }
}

/// Decides on a request. `fits_elsewhere` says whether it fits in another zone now.
///
/// A request waits as long as its answer can still be in time for the caller, and is refused as
/// soon as those before it take longer than that.
pub fn decide(
    now_ms: u64,
    claim: &Claim,
    contest: &Contest,
    fits_elsewhere: impl FnOnce() -> bool,
) -> Decision {
    let supply = contest.supply;
    let needed_tokens = contest.ahead_tokens.saturating_add(claim.tokens);
    // Without targets in the own zone, nobody there waits for their room.
    let has_turn = contest.ahead_tokens == 0
        || supply.targets == 0
        || supply.free_tokens >= needed_tokens;
    if supply.fits && has_turn {
        return Decision::Dispatch;
    }
    let waits_until_ms = claim.waits_until_ms();
    let prefilled_ms = now_ms + prefill_time_ms(claim, contest);
    let can_wait = now_ms < waits_until_ms && prefilled_ms <= waits_until_ms;
    let own_zone_until_ms = claim.arrived_ms + claim.objective_ms / OWN_ZONE_WAIT_DIVISOR;
    if (now_ms >= own_zone_until_ms || !can_wait) && fits_elsewhere() {
        return Decision::Dispatch;
    }
    if can_wait {
        Decision::Wait
    } else {
        Decision::Refuse
    }
}

/// Returns the least time until the requests before this one have been prefilled.
fn prefill_time_ms(claim: &Claim, contest: &Contest) -> u64 {
    let time_ms = contest
        .service
        .prefill_time_ms(lacking_tokens(claim, contest))
        .unwrap_or(0);
    time_ms / contest.supply.targets.max(1)
}

/// Returns the tokens of a request and of those before it for which there is no room.
fn lacking_tokens(claim: &Claim, contest: &Contest) -> u64 {
    contest
        .ahead_tokens
        .saturating_add(claim.tokens)
        .saturating_sub(contest.supply.free_tokens)
}

/// Returns the expected time until the requests before this one have got room.
fn expected_room_ms(claim: &Claim, contest: &Contest) -> u64 {
    let supply = contest.supply;
    let lacking_tokens = lacking_tokens(claim, contest);
    contest
        .service
        .room_time_ms(lacking_tokens, supply.targets, supply.used_tokens)
        .unwrap_or(0)
}

/// The times that refused callers are told, so that they return one after the other.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnSchedule {
    /// When the last one returns.
    last_ms: u64,
}

impl ReturnSchedule {
    /// Returns the delay after which a caller returns. `room_ms` is the expected time until
    /// there is room for it, and `own_room_ms` the time in which the room that it needs becomes
    /// free for this host.
    ///
    /// Callers that don't wait until their turn would come return at random times of the second
    /// half of the time that they wait.
    fn next_delay_ms(
        &mut self,
        now_ms: u64,
        claim: &Claim,
        room_ms: u64,
        own_room_ms: u64,
        random: f64,
    ) -> u64 {
        let left_ms = claim.deadline_ms.saturating_sub(now_ms);
        let latest_ms = (left_ms / RETURN_TIME_DIVISOR).max(RETRY_AFTER_MIN_MS);
        let wanted_ms = (now_ms + room_ms.max(RETRY_AFTER_MIN_MS))
            .max(self.last_ms.saturating_add(own_room_ms));
        let delay_ms = wanted_ms - now_ms;
        if delay_ms <= latest_ms {
            self.last_ms = wanted_ms;
            return delay_ms;
        }
        let random_ms = (random * (latest_ms / 2) as f64) as u64;
        (latest_ms - random_ms).max(RETRY_AFTER_MIN_MS)
    }
}

#[derive(Clone, Debug)]
struct PeerDemand {
    received_ms: u64,
    zone: ZoneName,
    report: DemandReport,
}

/// What this host knows of the demand of all hosts.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    peers: IndexMap<HostName, PeerDemand>,
    /// Sums over the peers, updated with each report.
    waiting_tokens: IndexMap<ZoneName, IndexMap<PoolName, BTreeMap<Rank, u64>>>,
    organisations: IndexMap<PoolName, IndexMap<OrganisationName, OrganisationTokens>>,
    service: IndexMap<PoolName, ServiceSums>,
    own_service: IndexMap<PoolName, ServiceObservations>,
    over_share: IndexMap<PoolName, IndexSet<OrganisationName>>,
    shares_due_ms: u64,
    expiry_due_ms: u64,
    returns: IndexMap<PoolName, ReturnSchedule>,
    /// The shortest objective of each priority of each pool, in the order of the priorities.
    objectives: IndexMap<PoolName, BTreeMap<u8, u64>>,
    objectives_version: Option<u64>,
    /// Whether the zone's hosts don't know yet what waits here.
    pub(crate) has_unsent_demand: bool,
}

impl Contention {
    /// Records the report of a peer.
    pub fn record_report(
        &mut self,
        now_ms: u64,
        host: &HostName,
        zone: &ZoneName,
        report: &DemandReport,
    ) {
        self.forget(host);
        let mut report = report.clone();
        report.waiting_tokens.truncate(REPORTED_MAX);
        report.organisations.truncate(REPORTED_MAX);
        report.service.truncate(REPORTED_MAX);
        if report == DemandReport::default() {
            return;
        }
        let demand = PeerDemand {
            received_ms: now_ms,
            zone: zone.clone(),
            report,
        };
        self.count(
            &demand,
            u64::saturating_add,
            OrganisationTokens::add,
            ServiceSums::add,
        );
        self.peers.insert(host.clone(), demand);
    }

    fn forget(&mut self, host: &HostName) {
        if let Some(demand) = self.peers.swap_remove(host) {
            self.count(
                &demand,
                u64::saturating_sub,
                OrganisationTokens::subtract,
                ServiceSums::subtract,
            );
        }
    }

    fn count(
        &mut self,
        demand: &PeerDemand,
        count_tokens: impl Fn(u64, u64) -> u64,
        count_organisation: impl Fn(&mut OrganisationTokens, OrganisationTokens),
        count_service: impl Fn(&mut ServiceSums, ServiceSums),
    ) {
        for (pool, rank, tokens) in &demand.report.waiting_tokens {
            let zone = self.waiting_tokens.entry(demand.zone.clone()).or_default();
            let ranks = zone.entry(pool.clone()).or_default();
            let total = ranks.entry(*rank).or_default();
            *total = count_tokens(*total, *tokens);
            if *total == 0 {
                ranks.remove(rank);
            }
        }
        for (pool, organisation, tokens) in &demand.report.organisations {
            let totals = self.organisations.entry(pool.clone()).or_default();
            let total = totals.entry(organisation.clone()).or_default();
            count_organisation(total, *tokens);
            if *total == OrganisationTokens::default() {
                totals.swap_remove(organisation);
            }
        }
        for (pool, sums) in &demand.report.service {
            count_service(self.service.entry(pool.clone()).or_default(), *sums);
        }
    }

    /// Forgets the reports of silent peers.
    pub fn expire(&mut self, now_ms: u64) {
        if now_ms < self.expiry_due_ms {
            return;
        }
        self.expiry_due_ms = now_ms + EXPIRY_INTERVAL_MS;
        let silent = self.peers.iter().filter(|(_, demand)| {
            now_ms.saturating_sub(demand.received_ms) > RETENTION_MS
        });
        let silent: Vec<HostName> = silent.map(|(host, _)| host.clone()).collect();
        for host in silent {
            self.forget(&host);
        }
    }

    /// Returns the tokens of the requests of a pool that wait at the peers of a zone and whose
    /// rank is at most the given one.
    pub fn waiting_tokens(&self, zone: &ZoneName, pool: &PoolName, up_to: Rank) -> u64 {
        let ranks = self
            .waiting_tokens
            .get(zone)
            .and_then(|pools| pools.get(pool));
        ranks.map_or(0, |ranks| {
            let tokens = ranks.range(..=up_to).map(|(_, tokens)| *tokens);
            tokens.fold(0, u64::saturating_add)
        })
    }

    /// Returns true if requests of a pool wait at some peer.
    pub fn is_contended(&self, pool: &PoolName) -> bool {
        self.waiting_tokens
            .values()
            .any(|pools| pools.get(pool).is_some_and(|ranks| !ranks.is_empty()))
    }

    /// Returns what all hosts have observed of a pool's targets.
    pub fn service(&self, now_ms: u64, pool: &PoolName) -> ServiceSums {
        let mut sums = self.service.get(pool).copied().unwrap_or_default();
        if let Some(own) = self.own_service.get(pool) {
            sums.add(own.sums(now_ms));
        }
        sums
    }

    /// Returns what this host has observed of a pool's targets, to be added to.
    pub fn observations(&mut self, pool: &PoolName) -> &mut ServiceObservations {
        self.own_service.entry(pool.clone()).or_default()
    }

    /// Returns what this host reports, given the tokens of its waiting requests by pool and rank
    /// and the tokens of its organisations.
    pub fn own_report(
        &self,
        now_ms: u64,
        waiting_tokens: BTreeMap<(PoolName, Rank), u64>,
        organisations: IndexMap<(PoolName, OrganisationName), OrganisationTokens>,
    ) -> DemandReport {
        let mut organisations: Vec<_> = organisations
            .into_iter()
            .filter(|((pool, _), _)| {
                self.is_contended(pool)
                    || waiting_tokens.keys().any(|(waiting, _)| waiting == pool)
            })
            .map(|((pool, organisation), tokens)| (pool, organisation, tokens))
            .collect();
        organisations.sort_by_key(|(.., tokens)| std::cmp::Reverse(tokens.used));
        organisations.truncate(REPORTED_MAX);
        let service = self
            .own_service
            .iter()
            .map(|(pool, own)| (pool.clone(), own.sums(now_ms)));
        DemandReport {
            waiting_tokens: waiting_tokens
                .into_iter()
                .map(|((pool, rank), tokens)| (pool, rank, tokens))
                .take(REPORTED_MAX)
                .collect(),
            organisations,
            service: service
                .filter(|(_, sums)| *sums != ServiceSums::default())
                .take(REPORTED_MAX)
                .collect(),
        }
    }

    /// Returns true if the organisations' shares should be computed anew.
    pub fn are_shares_due(&self, now_ms: u64) -> bool {
        now_ms >= self.shares_due_ms
    }

    /// Computes which organisations use more than their share, given the tokens of those of this
    /// host.
    pub fn compute_shares(
        &mut self,
        now_ms: u64,
        own: &IndexMap<(PoolName, OrganisationName), OrganisationTokens>,
    ) {
        self.shares_due_ms = now_ms + SHARES_INTERVAL_MS;
        let mut totals = self.organisations.clone();
        for ((pool, organisation), tokens) in own {
            let pool_totals = totals.entry(pool.clone()).or_default();
            let total = pool_totals.entry(organisation.clone()).or_default();
            total.add(*tokens);
        }
        self.over_share = totals
            .iter()
            .map(|(pool, organisations)| (pool.clone(), over_share(organisations)))
            .filter(|(_, organisations)| !organisations.is_empty())
            .collect();
    }

    /// Returns true if an organisation uses more than its share of a pool.
    pub fn is_over_share(
        &self,
        pool: &PoolName,
        organisation: &OrganisationName,
    ) -> bool {
        self.over_share
            .get(pool)
            .is_some_and(|organisations| organisations.contains(organisation))
    }

    /// Returns the number of organisations that use more than their share of a pool.
    pub fn over_share_count(&self) -> usize {
        self.over_share.values().map(IndexSet::len).sum()
    }

    /// Returns the delay after which the caller of a refused request returns. `hosts` is the
    /// number of hosts that share the zone's targets.
    pub fn return_delay_ms(
        &mut self,
        now_ms: u64,
        pool: &PoolName,
        claim: &Claim,
        contest: &Contest,
        hosts: u64,
        random: f64,
    ) -> u64 {
        let Supply {
            targets,
            used_tokens,
            ..
        } = contest.supply;
        let own_room_ms = contest
            .service
            .room_time_ms(claim.tokens.saturating_mul(hosts), targets, used_tokens)
            .unwrap_or(RETURN_SPACING_MS);
        let room_ms = expected_room_ms(claim, contest);
        let schedule = self.returns.entry(pool.clone()).or_default();
        schedule.next_delay_ms(now_ms, claim, room_ms, own_room_ms, random)
    }

    /// Learns the objectives of the routes from the configuration in force.
    pub fn adopt_objectives(&mut self, configuration: &Configuration) {
        if self.objectives_version == Some(configuration.version) {
            return;
        }
        self.objectives_version = Some(configuration.version);
        self.objectives.clear();
        for route in &configuration.routes {
            for weighted in &route.weighted_pools {
                let objectives =
                    self.objectives.entry(weighted.pool.clone()).or_default();
                let shortest_ms = objectives.entry(route.priority).or_insert(u64::MAX);
                *shortest_ms = (*shortest_ms).min(route.latency_objective_ms);
            }
        }
    }

    /// Returns the most urgent requests of a pool, if they are more urgent than a priority.
    pub fn urgent_kind(&self, pool: &PoolName, priority: u8) -> Option<UrgentKind> {
        let objectives = self.objectives.get(pool)?;
        let (most_urgent, objective_ms) = objectives.first_key_value()?;
        (*most_urgent < priority).then_some(UrgentKind {
            priority: *most_urgent,
            objective_ms: *objective_ms,
        })
    }
}
