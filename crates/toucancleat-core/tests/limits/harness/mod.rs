//! Simulation of limits reducers that exchange messages in virtual time, with clocks that
//! differ.

mod views;

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;
use toucancleat_core::limits::{
    Config, Effect, Event, FleetLimits, Message, Share, State, reduce,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;

const STEP_MS: u64 = 50;
/// Time until the other hosts detect that a host has failed.
const DETECTION_MS: u64 = 4_000;
/// Time after which every host has detected the failure of another.
pub const DETECTION_AND_LAG_MS: u64 = DETECTION_MS + 2_500;
/// Time until a host that has failed is known to have ended.
const TOMBSTONE_MS: u64 = 30_000;
/// Longest time that a request runs in these tests, short enough that they reach the end
/// of the longest wait.
pub const REQUEST_DURATION_MAX_MS: u64 = 20_000;

/// Faults and delays of the links between hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    pub loss_percent: usize,
    pub duplicate_percent: usize,
    pub delay_max_ms: usize,
}

pub struct Fleet {
    pub now_ms: u64,
    pub admitted: u64,
    pub refused: u64,
    pub limits: Arc<FleetLimits>,
    config: Config,
    hosts: IndexMap<HostName, SimulatedHost>,
    links: LinkFaults,
    are_zones_cut: bool,
    in_flight: BTreeMap<(u64, u64), (HostName, HostName, Message)>,
    /// Membership updates by the time at which a host receives them.
    updates: BTreeMap<(u64, u64), (HostName, MembershipUpdate)>,
    running_requests: BTreeMap<(u64, u64), RunningRequest>,
    /// Requests that have ended while their host was paused, which the host has not seen
    /// yet.
    ended_while_paused: Vec<RunningRequest>,
    requests: IndexMap<RequestId, OrganisationName>,
    serial: u64,
    rng: Rng,
}

struct SimulatedHost {
    zone: ZoneName,
    state: Option<State>,
    start_count: u64,
    is_paused: bool,
    /// Whether it is live in the view of the other hosts.
    is_visible: bool,
    is_missing: bool,
    /// Whether it has announced that it is stopping.
    is_leaving: bool,
    clock_offset_ms: u64,
    clock_drift_ppm: u64,
}

/// A request in progress.
struct RunningRequest {
    host: HostName,
    /// Number of the start of the host's process.
    start_count: u64,
    organisation: OrganisationName,
}

enum MembershipUpdate {
    View {
        live: Vec<(HostName, u64)>,
        leaving: Vec<HostName>,
        missing: usize,
    },
    DeclaredDead,
}

impl Fleet {
    pub fn new(
        zones: &[(&str, usize)],
        limit: Share,
        links: LinkFaults,
        seed: u64,
    ) -> Self {
        let mut limits = FleetLimits {
            zones: zones.iter().map(|(zone, _)| ZoneName::new(zone)).collect(),
            ..FleetLimits::default()
        };
        for name in ORGANISATIONS {
            limits.limits.insert(OrganisationName::new(name), limit);
        }
        let mut fleet = Fleet {
            now_ms: 0,
            admitted: 0,
            refused: 0,
            limits: Arc::new(limits),
            config: Config {
                max_request_duration_ms: REQUEST_DURATION_MAX_MS,
                ..Config::default()
            },
            hosts: IndexMap::new(),
            links,
            are_zones_cut: false,
            in_flight: BTreeMap::new(),
            updates: BTreeMap::new(),
            running_requests: BTreeMap::new(),
            ended_while_paused: Vec::new(),
            requests: IndexMap::new(),
            serial: 0,
            rng: Rng::new(seed),
        };
        for (zone, count) in zones {
            for i in 0..*count {
                fleet.add(&format!("{zone}-{i}"), zone);
            }
        }
        for i in 0..fleet.hosts.len() {
            fleet.start(i);
        }
        fleet
    }

    fn add(&mut self, name: &str, zone: &str) {
        let host = SimulatedHost {
            zone: ZoneName::new(zone),
            state: None,
            start_count: 0,
            is_paused: false,
            is_visible: false,
            is_missing: false,
            is_leaving: false,
            // N.B. Nothing may depend on equal clocks.
            clock_offset_ms: 1_000_000 + self.rng.below(3_600_000) as u64,
            clock_drift_ppm: self.rng.below(10_000) as u64,
        };
        self.hosts.insert(HostName::new(name), host);
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    pub fn start(&mut self, i: usize) {
        let now_ms = self.clock(i);
        let seed = self.rng.next_u64();
        let (name, host) = self.hosts.get_index_mut(i).expect("the host exists");
        if host.state.is_some() {
            return;
        }
        let mut state = State::new(
            self.config.clone(),
            name.clone(),
            host.zone.clone(),
            now_ms,
            seed,
        );
        let limits = Arc::clone(&self.limits);
        reduce(
            &mut state,
            now_ms,
            Event::SettingsChanged { limits },
            &mut Vec::new(),
        );
        host.state = Some(state);
        host.start_count += 1;
        host.is_paused = false;
        host.is_leaving = false;
        self.add_to_view(i);
    }

    /// Announces a planned stop; the host keeps running its requests.
    pub fn leave(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if host.state.is_some() && host.is_visible && !host.is_paused {
            host.is_leaving = true;
            host.is_visible = false;
            let zone = host.zone.clone();
            self.schedule_view_updates(&zone);
        }
    }

    pub fn kill(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        host.state = None;
        if std::mem::take(&mut host.is_leaving) {
            let zone = host.zone.clone();
            self.schedule_view_updates(&zone);
        }
        self.schedule_detection(i, DETECTION_MS);
    }

    pub fn pause(&mut self, i: usize) {
        if self.hosts[i].state.is_some() {
            self.hosts[i].is_paused = true;
            self.schedule_detection(i, DETECTION_MS);
        }
    }

    pub fn resume(&mut self, i: usize) {
        if std::mem::take(&mut self.hosts[i].is_paused) {
            if !self.hosts[i].is_visible {
                self.schedule_update(i, MembershipUpdate::DeclaredDead);
            }
            self.add_to_view(i);
        }
    }

    /// Makes the other hosts declare a running host dead, which it learns a little later.
    pub fn declare_dead(&mut self, i: usize) {
        if self.hosts[i].state.is_some() && !self.hosts[i].is_paused {
            self.remove_from_view(i);
            self.schedule_update(i, MembershipUpdate::DeclaredDead);
            self.add_to_view(i);
        }
    }

    pub fn cut_zones(&mut self, are_cut: bool) {
        self.are_zones_cut = are_cut;
    }

    pub fn set_links(&mut self, links: LinkFaults) {
        self.links = links;
    }

    /// Runs for `ms` with about `requests_per_s` at each host, and checks the limits at
    /// each step.
    pub fn run_ms(&mut self, ms: u64, requests_per_s: usize) -> Result<(), String> {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.detect_due();
            self.apply_due_updates();
            self.deliver_due_messages();
            self.finish_due_requests();
            for i in 0..self.hosts.len() {
                self.send_requests(i, requests_per_s);
                self.apply_event(i, Event::Tick);
            }
            self.check_limits()?;
        }
        Ok(())
    }

    /// Returns the share that all hosts together may use.
    pub fn usable(&self, organisation: &str) -> Share {
        let organisation = OrganisationName::new(organisation);
        let usable = |(i, host): (usize, &SimulatedHost)| {
            let state = host.state.as_ref()?;
            Some(state.usable(self.clock(i), &organisation))
        };
        self.hosts.values().enumerate().filter_map(usable).sum()
    }

    /// Returns the share that one host may use.
    pub fn usable_at(&self, i: usize, organisation: &str) -> Share {
        let state = self.hosts[i].state.as_ref();
        let organisation = OrganisationName::new(organisation);
        state.map_or(Share::NONE, |state| {
            state.usable(self.clock(i), &organisation)
        })
    }

    fn check_limits(&self) -> Result<(), String> {
        for (organisation, limit) in &self.limits.limits {
            let used = |(i, (name, host)): (usize, (&HostName, &SimulatedHost))| {
                let state = host.state.as_ref()?;
                let mut share = state.usable(self.clock(i), organisation);
                let ended = self.ended_while_paused(name, organisation);
                let in_progress = state.in_use(organisation) - ended;
                share.concurrent = share.concurrent.max(in_progress);
                Some(share)
            };
            let shares: Vec<Share> =
                self.hosts.iter().enumerate().filter_map(used).collect();
            let sum: Share = shares.iter().copied().sum();
            if sum.saturating_sub(*limit) != Share::NONE {
                return Err(format!(
                    "{organisation} at {} ms: {shares:?} exceed {limit:?}",
                    self.now_ms
                ));
            }
        }
        Ok(())
    }

    fn clock(&self, i: usize) -> u64 {
        let host = &self.hosts[i];
        host.clock_offset_ms
            + self.now_ms
            + self.now_ms * host.clock_drift_ppm / 1_000_000
    }

    fn apply_event(&mut self, i: usize, event: Event) {
        let now_ms = self.clock(i);
        let mut effects = Vec::new();
        let (name, host) = self.hosts.get_index_mut(i).expect("the host exists");
        if host.is_paused {
            return;
        }
        let Some(state) = &mut host.state else {
            return;
        };
        reduce(state, now_ms, event, &mut effects);
        let (name, zone) = (name.clone(), host.zone.clone());
        for effect in effects {
            self.execute(&name, &zone, effect);
        }
    }

    fn execute(&mut self, from: &HostName, zone: &ZoneName, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(from, to, message),
            Effect::SendZone {
                zone: other,
                message,
            } => {
                assert_ne!(zone, &other);
                let in_zone =
                    |(_, host): &(&HostName, &SimulatedHost)| host.zone == other;
                let delegates: Vec<HostName> = self
                    .hosts
                    .iter()
                    .filter(in_zone)
                    .map(|(name, _)| name.clone())
                    .collect();
                let to = delegates[self.rng.below(delegates.len())].clone();
                self.send(from, to, message);
            }
            Effect::PermitGranted { request } => {
                self.admitted += 1;
                let organisation = self
                    .requests
                    .swap_remove(&request)
                    .expect("the request is known");
                let ends_ms = self.now_ms
                    + 1
                    + self.rng.below(REQUEST_DURATION_MAX_MS as usize) as u64;
                let start_count = self.hosts[from].start_count;
                let key = (ends_ms, self.next_serial());
                let host = from.clone();
                self.running_requests.insert(
                    key,
                    RunningRequest {
                        host,
                        start_count,
                        organisation,
                    },
                );
            }
            Effect::PermitRefused { request, .. } => {
                self.refused += 1;
                self.requests
                    .swap_remove(&request)
                    .expect("the request is known");
            }
            _ => {}
        }
    }

    fn send(&mut self, from: &HostName, to: HostName, message: Message) {
        let is_cut = self.are_zones_cut && self.hosts[from].zone != self.hosts[&to].zone;
        if is_cut || self.rng.below(100) < self.links.loss_percent {
            return;
        }
        let is_duplicated = self.rng.below(100) < self.links.duplicate_percent;
        for _ in 0..1 + usize::from(is_duplicated) {
            let delay_ms = 1 + self.rng.below(self.links.delay_max_ms.max(1)) as u64;
            let key = (self.now_ms + delay_ms, self.next_serial());
            self.in_flight
                .insert(key, (from.clone(), to.clone(), message.clone()));
        }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn send_requests(&mut self, i: usize, requests_per_s: usize) {
        let count_bound = 2 * requests_per_s * STEP_MS as usize;
        let count = self.rng.below(count_bound + 1_000) / 1_000;
        let host = &self.hosts[i];
        if host.state.is_none() || host.is_paused || host.is_leaving {
            return;
        }
        for _ in 0..count {
            let organisation = ORGANISATIONS[self.rng.below(ORGANISATIONS.len())];
            let organisation = OrganisationName::new(organisation);
            let request = RequestId(u128::from(self.next_serial()));
            self.requests.insert(request, organisation.clone());
            self.apply_event(
                i,
                Event::AcquirePermit {
                    organisation,
                    request,
                },
            );
        }
    }

    fn finish_due_requests(&mut self) {
        let mut ended = std::mem::take(&mut self.ended_while_paused);
        while let Some((_, request)) = pop_due(&mut self.running_requests, self.now_ms) {
            ended.push(request);
        }
        for request in ended {
            let i = self
                .hosts
                .get_index_of(&request.host)
                .expect("the host exists");
            if self.hosts[i].start_count != request.start_count {
                continue;
            }
            if self.hosts[i].is_paused {
                self.ended_while_paused.push(request);
            } else {
                self.apply_event(
                    i,
                    Event::ReleasePermit {
                        organisation: request.organisation,
                    },
                );
            }
        }
    }

    /// Counts the requests that have ended unseen by their paused host.
    fn ended_while_paused(
        &self,
        host: &HostName,
        organisation: &OrganisationName,
    ) -> u32 {
        let ended = self.ended_while_paused.iter();
        let ended = ended.filter(|request| {
            request.host == *host && request.organisation == *organisation
        });
        ended.count() as u32
    }

    fn deliver_due_messages(&mut self) {
        while let Some((_, (from, to, message))) =
            pop_due(&mut self.in_flight, self.now_ms)
        {
            let i = self.hosts.get_index_of(&to).expect("the host exists");
            if self.hosts[i].is_paused {
                let key = (self.now_ms + STEP_MS, self.next_serial());
                self.in_flight.insert(key, (from, to, message));
            } else {
                self.apply_event(i, Event::MessageReceived { from, message });
            }
        }
    }

    fn apply_due_updates(&mut self) {
        while let Some((_, (name, update))) = pop_due(&mut self.updates, self.now_ms) {
            let i = self.hosts.get_index_of(&name).expect("the host exists");
            if self.hosts[i].is_paused {
                continue;
            }
            let event = match update {
                MembershipUpdate::DeclaredDead => Event::DeclaredDead,
                MembershipUpdate::View {
                    live,
                    leaving,
                    missing,
                } => self.view_event(i, live, leaving, missing),
            };
            self.apply_event(i, event);
        }
    }
}

/// Organisations with limits.
pub const ORGANISATIONS: [&str; 3] = ["coach-operator", "transit-authority", "depot"];

fn pop_due<T>(
    queue: &mut BTreeMap<(u64, u64), T>,
    now_ms: u64,
) -> Option<((u64, u64), T)> {
    let entry = queue.first_entry()?;
    (entry.key().0 <= now_ms).then(|| entry.remove_entry())
}
