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
    /// The host and the number of the request that was handed off.
    handed_off_by: Option<(usize, u64)>,
}

/// What ends at a time.
#[derive(Clone, Debug)]
enum Due {
    Attempt(AttemptOutcome),
    Handoff(HandoffOutcome),
    Probe {
        target: TargetName,
        is_reachable: bool,
    },
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
    /// Requests that the last peer refused.
    refused: IndexSet<u64>,
    /// Requests that were handed off so far.
    pub handoffs: usize,
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
            refused: IndexSet::new(),
            handoffs: 0,
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
            handed_off_by: None,
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
                Due::Attempt(outcome) => self.apply(
                    host,
                    Event::AttemptEnded {
                        request_number,
                        outcome,
                    },
                ),
                Due::Handoff(outcome) => self.apply(
                    host,
                    Event::HandoffEnded {
                        request_number,
                        outcome,
                    },
                ),
                Due::Probe {
                    target,
                    is_reachable,
                } => {
                    let pool = PoolName::new(self.pools[&target]);
                    let probed = Event::TargetProbed {
                        pool,
                        target,
                        began_ms: now_ms,
                        is_reachable,
                    };
                    self.apply(host, probed);
                }
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
                    self.end(host, *request_number, HandoffOutcome::Answered);
                }
                Effect::Refuse {
                    request_number,
                    refusal,
                } => {
                    let outcome = match refusal.verdict {
                        Verdict::NotRun => HandoffOutcome::Refused,
                        _ => HandoffOutcome::Interrupted,
                    };
                    self.end(host, *request_number, outcome);
                }
                Effect::HandOff(handoff) => self.hand_off(host, handoff),
                Effect::ProbeTarget { target, .. } => {
                    let is_reachable = !self.is_cut(host, target);
                    let target = target.clone();
                    let due = Due::Probe {
                        target,
                        is_reachable,
                    };
                    self.due.push((self.fleet.now_ms + 25, host, 0, due));
                }
                _ => {}
            }
        }
    }

    /// Lets a host connect to a target, which answers unless the host is cut off.
    fn connect(&mut self, host: usize, number: u64, target: &TargetName) {
        let (after_ms, outcome) = if !self.is_cut(host, target) {
            let origin = self.requests[&number].handed_off_by;
            let first = origin.map_or(number, |(_, number)| number);
            self.requests[&first].runs += 1;
            (ANSWER_MS, AttemptOutcome::Answered { took_ms: ANSWER_MS })
        } else if self.refusing == Refusing::AtOnce {
            (0, AttemptOutcome::NotSent)
        } else {
            (CONNECT_TIMEOUT_MS, AttemptOutcome::NotSent)
        };
        let at_ms = self.fleet.now_ms + after_ms;
        self.due.push((at_ms, host, number, Due::Attempt(outcome)));
    }

    fn is_cut(&self, host: usize, target: &TargetName) -> bool {
        self.cut.contains(&host)
            && self.cut_pool.is_none_or(|pool| self.pools[target] == pool)
    }

    /// Lets the peer that a host has chosen receive a request.
    fn hand_off(&mut self, host: usize, handoff: &Handoff) {
        let peer = usize::from(handoff.address.port()) - 1;
        assert_ne!(peer, host, "a host doesn't hand requests off to itself");
        let origin = handoff.request_number.0;
        self.requests[&origin].is_direct = false;
        let number = self.requests.len() as u64;
        let incoming = IncomingRequest {
            is_handed_off: true,
            ..self.requests[&origin].incoming.clone()
        };
        let request = SimulatedRequest {
            host: peer,
            sent_ms: 0,
            incoming: incoming.clone(),
            runs: 0,
            is_served: false,
            is_direct: false,
            handed_off_by: Some((host, origin)),
        };
        self.requests.insert(number, request);
        self.handoffs += 1;
        self.apply(
            peer,
            Event::RequestReceived {
                request_number: RequestNumber(number),
                request: incoming,
            },
        );
    }

    /// Ends a request, for its caller or for the host that handed it off.
    fn end(
        &mut self,
        host: usize,
        request_number: RequestNumber,
        outcome: HandoffOutcome,
    ) {
        let number = request_number.0;
        // The peer of a handoff may have refused the request.
        let is_answered = outcome == HandoffOutcome::Answered
            && self.refused.shift_take(&number).is_none();
        let request = &mut self.requests[&number];
        request.is_served = is_answered;
        if let Some((origin_host, origin)) = request.handed_off_by {
            if outcome == HandoffOutcome::Refused {
                self.refused.insert(origin);
            } else {
                self.refused.shift_remove(&origin);
            }
            let due = Due::Handoff(outcome);
            self.due.push((self.fleet.now_ms, origin_host, origin, due));
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
            .filter(|request| request.handed_off_by.is_none())
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
