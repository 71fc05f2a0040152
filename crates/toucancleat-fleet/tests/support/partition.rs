//! A fleet of which some hosts can't reach the targets.

use indexmap::{IndexMap, IndexSet};
use toucancleat_fleet::event::Effect;

use super::fleet::Fleet;
use super::*;

/// Time after which a connection that isn't answered is given up.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Time from the arrival of a request at a target to its answer.
const ANSWER_MS: u64 = 50;

/// How connections of hosts that are cut off fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusing {
    AtOnce,
    AfterTimeout,
}

/// A request of a simulated caller.
#[derive(Clone, Debug)]
struct SimulatedRequest {
    host: usize,
    sent_ms: u64,
    incoming: IncomingRequest,
    runs: u32,
    is_served: bool,
    is_direct: bool,
}

/// What happens to a request at a time.
#[derive(Clone, Debug)]
enum Due {
    AttemptEnds(AttemptOutcome),
}

/// Hosts, targets that answer each request, and callers.
pub struct PartitionedFleet {
    fleet: Fleet,
    /// Hosts that can't connect to targets.
    pub cut: IndexSet<usize>,
    /// The only pool to which they can't connect, if it isn't all.
    pub cut_pool: Option<&'static str>,
    pub refusing: Refusing,
    pools: IndexMap<TargetName, &'static str>,
    requests: IndexMap<u64, SimulatedRequest>,
    due: Vec<(u64, usize, u64, Due)>,
}

impl PartitionedFleet {
    /// Creates hosts in four zones, and engines and other targets.
    pub fn new(hosts: u16, targets_per_pool: u16) -> Self {
        let zones = ["upp-a", "upp-b", "vas-a", "ore-a"];
        let mut pools = IndexMap::new();
        let mut named = Vec::new();
        for (pool, base) in [("engines", 10_000), ("roster", 20_000)] {
            for n in 0..targets_per_pool {
                let name = format!("{pool}-{n}");
                pools.insert(TargetName::new(&name), pool);
                named.push((name, entry(pool, zones[usize::from(n) % 4], base + n)));
            }
        }
        let listed: Vec<(&str, TargetEntry)> = named
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.clone()))
            .collect();
        PartitionedFleet {
            fleet: Fleet::new(hosts, &zones, &listed),
            cut: IndexSet::new(),
            cut_pool: None,
            refusing: Refusing::AtOnce,
            pools,
            requests: IndexMap::new(),
            due: Vec::new(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.fleet.now_ms
    }

    /// Sends a request to a host.
    pub fn send(&mut self, host: usize, kind: &str) {
        let number = self.requests.len() as u64;
        let incoming = IncomingRequest {
            attempt_id: format!("attempt-{number}").into(),
            fingerprint: number,
            prompt_tokens: 30,
            output_tokens_max: 40,
            ..incoming_request(kind)
        };
        let request = SimulatedRequest {
            host,
            sent_ms: self.fleet.now_ms,
            incoming: incoming.clone(),
            runs: 0,
            is_served: false,
            is_direct: true,
        };
        self.requests.insert(number, request);
        self.apply(
            host,
            Event::RequestReceived {
                request_number: RequestNumber(number),
                request: incoming,
            },
        );
    }

    /// Advances the clock by one tick.
    pub fn step(&mut self) {
        self.fleet.now_ms += 25;
        let now_ms = self.fleet.now_ms;
        for host in 0..self.fleet.hosts.len() {
            self.apply(host, Event::Tick);
        }
        let (due, later) = std::mem::take(&mut self.due)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.due = later;
        let due: Vec<(u64, usize, u64, Due)> = due;
        for (_, host, number, due) in due {
            let request_number = RequestNumber(number);
            match due {
                Due::AttemptEnds(outcome) => self.apply(
                    host,
                    Event::AttemptEnded {
                        request_number,
                        outcome,
                    },
                ),
            }
        }
    }

    fn apply(&mut self, host: usize, event: Event) {
        let effects = apply(&mut self.fleet.hosts[host], self.fleet.now_ms, event);
        self.execute(host, &effects);
        self.fleet.execute(host, effects, true);
    }

    fn execute(&mut self, host: usize, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => {
                    self.connect(host, dispatch.request_number.0, &dispatch.target);
                }
                Effect::ForwardAnswer { request_number } => {
                    self.end(host, *request_number, true);
                }
                Effect::Refuse { request_number, .. } => {
                    self.end(host, *request_number, false);
                }
                _ => {}
            }
        }
    }

    /// Lets a host connect to a target, which answers unless the host is cut off.
    fn connect(&mut self, host: usize, number: u64, target: &TargetName) {
        let is_cut = self.cut.contains(&host)
            && self.cut_pool.is_none_or(|pool| self.pools[target] == pool);
        let (after_ms, outcome) = if !is_cut {
            self.requests[&number].runs += 1;
            (ANSWER_MS, AttemptOutcome::Answered { took_ms: ANSWER_MS })
        } else if self.refusing == Refusing::AtOnce {
            (0, AttemptOutcome::NotSent)
        } else {
            (CONNECT_TIMEOUT_MS, AttemptOutcome::NotSent)
        };
        let at_ms = self.fleet.now_ms + after_ms;
        self.due
            .push((at_ms, host, number, Due::AttemptEnds(outcome)));
    }

    /// Ends a request for its caller.
    fn end(&mut self, host: usize, request_number: RequestNumber, is_served: bool) {
        if let Some(request) = self.requests.get_mut(&request_number.0) {
            request.is_served = is_served;
        }
        let closed = Event::RequestClosed { request_number };
        let effects = apply(&mut self.fleet.hosts[host], self.fleet.now_ms, closed);
        self.fleet.execute(host, effects, true);
    }

    /// Returns the share of the requests of a span, at some hosts, for which `counts` holds.
    fn share(
        &self,
        span: std::ops::Range<u64>,
        is_host: impl Fn(usize) -> bool,
        counts: impl Fn(&SimulatedRequest) -> bool,
    ) -> f64 {
        let sent: Vec<&SimulatedRequest> = self
            .requests
            .values()
            .filter(|request| span.contains(&request.sent_ms) && is_host(request.host))
            .collect();
        let counted = sent.iter().filter(|request| counts(request)).count();
        counted as f64 / sent.len().max(1) as f64
    }

    /// Returns the share of the requests that are served.
    pub fn served_share(
        &self,
        span: std::ops::Range<u64>,
        is_host: impl Fn(usize) -> bool,
    ) -> f64 {
        self.share(span, is_host, |request| request.is_served)
    }

    /// Returns the share of the requests that their host has sent to a target itself.
    pub fn direct_share(
        &self,
        span: std::ops::Range<u64>,
        is_host: impl Fn(usize) -> bool,
    ) -> f64 {
        self.share(span, is_host, |request| {
            request.is_direct && request.is_served
        })
    }

    /// Returns the highest number of runs of a request.
    pub fn highest_runs(&self) -> u32 {
        self.requests
            .values()
            .map(|request| request.runs)
            .max()
            .unwrap_or_default()
    }
}
