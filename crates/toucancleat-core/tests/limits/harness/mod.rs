//! Limits reducers that exchange messages in virtual time, with clocks that disagree.

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
/// Time until the others notice that a host is gone.
const DETECTION_MS: u64 = 4_000;
/// Time after which every host knows that another is gone.
pub const DETECTION_AND_LAG_MS: u64 = DETECTION_MS + 2_500;
/// Time until a host that is gone is known to have ended.
const TOMBSTONE_MS: u64 = 30_000;
/// Longest answer in these tests, so that they reach the end of the longest wait.
pub const LONGEST_ANSWER_MS: u64 = 20_000;

/// How messages fare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Links {
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
    nodes: IndexMap<HostName, Node>,
    links: Links,
    zones_cut: bool,
    under_way: BTreeMap<(u64, u64), (HostName, HostName, Message)>,
    /// What becomes known to a host, and when.
    news: BTreeMap<(u64, u64), (HostName, News)>,
    finishing: BTreeMap<(u64, u64), Run>,
    /// Requests whose answer has ended while their host was paused, so that it can't
    /// know.
    ended_unseen: Vec<Run>,
    requests: IndexMap<RequestId, OrganisationName>,
    serial: u64,
    rng: Rng,
}

struct Node {
    zone: ZoneName,
    state: Option<State>,
    started: u64,
    paused: bool,
    /// Whether the others see it.
    visible: bool,
    missing: bool,
    /// Whether it has announced its stop.
    leaving: bool,
    offset_ms: u64,
    drift_ppm: u64,
}

/// A request in progress.
struct Run {
    host: HostName,
    /// Start of the host's process.
    started: u64,
    organisation: OrganisationName,
}

enum News {
    View {
        live: Vec<(HostName, u64)>,
        leaving: Vec<HostName>,
        missing: usize,
    },
    DeclaredDead,
}

impl Fleet {
    pub fn new(zones: &[(&str, usize)], limit: Share, links: Links, seed: u64) -> Self {
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
                longest_answer_ms: LONGEST_ANSWER_MS,
                ..Config::default()
            },
            nodes: IndexMap::new(),
            links,
            zones_cut: false,
            under_way: BTreeMap::new(),
            news: BTreeMap::new(),
            finishing: BTreeMap::new(),
            ended_unseen: Vec::new(),
            requests: IndexMap::new(),
            serial: 0,
            rng: Rng::new(seed),
        };
        for (zone, count) in zones {
            for i in 0..*count {
                fleet.add(&format!("{zone}-{i}"), zone);
            }
        }
        for i in 0..fleet.nodes.len() {
            fleet.start(i);
        }
        fleet
    }

    fn add(&mut self, name: &str, zone: &str) {
        let node = Node {
            zone: ZoneName::new(zone),
            state: None,
            started: 0,
            paused: false,
            visible: false,
            missing: false,
            leaving: false,
            // N.B. Nothing may depend on clocks that agree.
            offset_ms: 1_000_000 + self.rng.below(3_600_000) as u64,
            drift_ppm: self.rng.below(10_000) as u64,
        };
        self.nodes.insert(HostName::new(name), node);
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn start(&mut self, i: usize) {
        let now_ms = self.clock(i);
        let seed = self.rng.next_u64();
        let (name, node) = self.nodes.get_index_mut(i).expect("a host");
        if node.state.is_some() {
            return;
        }
        let mut state = State::new(
            self.config.clone(),
            name.clone(),
            node.zone.clone(),
            now_ms,
            seed,
        );
        let limits = Arc::clone(&self.limits);
        reduce(
            &mut state,
            now_ms,
            Event::Settings { limits },
            &mut Vec::new(),
        );
        node.state = Some(state);
        node.started += 1;
        node.paused = false;
        node.leaving = false;
        self.reveal(i);
    }

    /// Announces a planned stop; the host goes on with its requests.
    pub fn leave(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if node.state.is_some() && node.visible && !node.paused {
            node.leaving = true;
            node.visible = false;
            let zone = node.zone.clone();
            self.spread_view(&zone);
        }
    }

    pub fn kill(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.state = None;
        if std::mem::take(&mut node.leaving) {
            let zone = node.zone.clone();
            self.spread_view(&zone);
        }
        self.hide_after(i, DETECTION_MS);
    }

    pub fn pause(&mut self, i: usize) {
        if self.nodes[i].state.is_some() {
            self.nodes[i].paused = true;
            self.hide_after(i, DETECTION_MS);
        }
    }

    pub fn resume(&mut self, i: usize) {
        if std::mem::take(&mut self.nodes[i].paused) {
            if !self.nodes[i].visible {
                self.tell_after_lag(i, News::DeclaredDead);
            }
            self.reveal(i);
        }
    }

    /// The others declare a host dead that goes on, and that hears so a little later.
    pub fn declare_dead(&mut self, i: usize) {
        if self.nodes[i].state.is_some() && !self.nodes[i].paused {
            self.hide(i);
            self.tell_after_lag(i, News::DeclaredDead);
            self.reveal(i);
        }
    }

    pub fn cut_zones(&mut self, cut: bool) {
        self.zones_cut = cut;
    }

    pub fn set_links(&mut self, links: Links) {
        self.links = links;
    }

    /// Runs with this many requests a second at each host, at most, and checks the limits
    /// at every step.
    pub fn run_ms(&mut self, ms: u64, requests_per_s: usize) -> Result<(), String> {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.hide_due();
            self.tell_due();
            self.deliver_due();
            self.finish_due();
            for i in 0..self.nodes.len() {
                self.request(i, requests_per_s);
                self.event(i, Event::Tick);
            }
            self.check()?;
        }
        Ok(())
    }

    /// Returns what all hosts together may use.
    pub fn usable(&self, organisation: &str) -> Share {
        let organisation = OrganisationName::new(organisation);
        let usable = |(i, node): (usize, &Node)| {
            let state = node.state.as_ref()?;
            Some(state.usable(self.clock(i), &organisation))
        };
        self.nodes.values().enumerate().filter_map(usable).sum()
    }

    /// Returns what one host may use.
    pub fn usable_at(&self, i: usize, organisation: &str) -> Share {
        let state = self.nodes[i].state.as_ref();
        let organisation = OrganisationName::new(organisation);
        state.map_or(Share::NONE, |state| {
            state.usable(self.clock(i), &organisation)
        })
    }

    fn check(&self) -> Result<(), String> {
        for (organisation, limit) in &self.limits.limits {
            let used = |(i, (name, node)): (usize, (&HostName, &Node))| {
                let state = node.state.as_ref()?;
                let mut share = state.usable(self.clock(i), organisation);
                let ended = self.ended_unseen(name, organisation);
                let in_progress = state.in_use(organisation) - ended;
                share.concurrent = share.concurrent.max(in_progress);
                Some(share)
            };
            let shares: Vec<Share> =
                self.nodes.iter().enumerate().filter_map(used).collect();
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
        let node = &self.nodes[i];
        node.offset_ms + self.now_ms + self.now_ms * node.drift_ppm / 1_000_000
    }

    fn event(&mut self, i: usize, event: Event) {
        let now_ms = self.clock(i);
        let mut effects = Vec::new();
        let (name, node) = self.nodes.get_index_mut(i).expect("a host");
        if node.paused {
            return;
        }
        let Some(state) = &mut node.state else {
            return;
        };
        reduce(state, now_ms, event, &mut effects);
        let (name, zone) = (name.clone(), node.zone.clone());
        for effect in effects {
            self.carry_out(&name, &zone, effect);
        }
    }

    fn carry_out(&mut self, from: &HostName, zone: &ZoneName, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(from, to, message),
            Effect::SendZone {
                zone: other,
                message,
            } => {
                assert_ne!(zone, &other);
                let in_zone = |(_, node): &(&HostName, &Node)| node.zone == other;
                let delegates: Vec<HostName> = self
                    .nodes
                    .iter()
                    .filter(in_zone)
                    .map(|(name, _)| name.clone())
                    .collect();
                let to = delegates[self.rng.below(delegates.len())].clone();
                self.send(from, to, message);
            }
            Effect::Admitted { request } => {
                self.admitted += 1;
                let organisation =
                    self.requests.swap_remove(&request).expect("a request");
                let ends_ms =
                    self.now_ms + 1 + self.rng.below(LONGEST_ANSWER_MS as usize) as u64;
                let started = self.nodes[from].started;
                let key = (ends_ms, self.next_serial());
                let host = from.clone();
                self.finishing.insert(
                    key,
                    Run {
                        host,
                        started,
                        organisation,
                    },
                );
            }
            Effect::Refused { request, .. } => {
                self.refused += 1;
                self.requests.swap_remove(&request).expect("a request");
            }
            _ => {}
        }
    }

    fn send(&mut self, from: &HostName, to: HostName, message: Message) {
        let cut = self.zones_cut && self.nodes[from].zone != self.nodes[&to].zone;
        if cut || self.rng.below(100) < self.links.loss_percent {
            return;
        }
        let twice = self.rng.below(100) < self.links.duplicate_percent;
        for _ in 0..1 + usize::from(twice) {
            let delay_ms = 1 + self.rng.below(self.links.delay_max_ms.max(1)) as u64;
            let key = (self.now_ms + delay_ms, self.next_serial());
            self.under_way
                .insert(key, (from.clone(), to.clone(), message.clone()));
        }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn request(&mut self, i: usize, requests_per_s: usize) {
        let most = 2 * requests_per_s * STEP_MS as usize;
        let count = self.rng.below(most + 1_000) / 1_000;
        let node = &self.nodes[i];
        if node.state.is_none() || node.paused || node.leaving {
            return;
        }
        for _ in 0..count {
            let organisation = ORGANISATIONS[self.rng.below(ORGANISATIONS.len())];
            let organisation = OrganisationName::new(organisation);
            let request = RequestId(u128::from(self.next_serial()));
            self.requests.insert(request, organisation.clone());
            self.event(
                i,
                Event::Arrived {
                    organisation,
                    request,
                },
            );
        }
    }

    fn finish_due(&mut self) {
        let mut ended = std::mem::take(&mut self.ended_unseen);
        while let Some((_, run)) = pop_due(&mut self.finishing, self.now_ms) {
            ended.push(run);
        }
        for run in ended {
            let i = self.nodes.get_index_of(&run.host).expect("a host");
            if self.nodes[i].started != run.started {
                continue;
            }
            if self.nodes[i].paused {
                self.ended_unseen.push(run);
            } else {
                self.event(
                    i,
                    Event::Finished {
                        organisation: run.organisation,
                    },
                );
            }
        }
    }

    /// Counts the requests whose end a paused host hasn't seen.
    fn ended_unseen(&self, host: &HostName, organisation: &OrganisationName) -> u32 {
        let ended = self.ended_unseen.iter();
        let ended =
            ended.filter(|run| run.host == *host && run.organisation == *organisation);
        ended.count() as u32
    }

    fn deliver_due(&mut self) {
        while let Some((_, (from, to, message))) =
            pop_due(&mut self.under_way, self.now_ms)
        {
            let i = self.nodes.get_index_of(&to).expect("a host");
            if self.nodes[i].paused {
                let key = (self.now_ms + STEP_MS, self.next_serial());
                self.under_way.insert(key, (from, to, message));
            } else {
                self.event(i, Event::Received { from, message });
            }
        }
    }

    fn tell_due(&mut self) {
        while let Some((_, (name, news))) = pop_due(&mut self.news, self.now_ms) {
            let i = self.nodes.get_index_of(&name).expect("a host");
            if self.nodes[i].paused {
                continue;
            }
            let event = match news {
                News::DeclaredDead => Event::DeclaredDead,
                News::View {
                    live,
                    leaving,
                    missing,
                } => self.view(i, live, leaving, missing),
            };
            self.event(i, event);
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
