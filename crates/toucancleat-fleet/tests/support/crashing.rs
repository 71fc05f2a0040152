//! A fleet before engines that crash when they begin to answer certain requests.

use indexmap::IndexMap;
use toucancleat_core::rng::Rng;
use toucancleat_fleet::target::TargetEntry;

use super::fleet::Fleet;
use super::*;

/// Time from the arrival of a request at an engine to its first event.
const PREFILL_MS: u64 = 300;

/// Time between two reports of a stream's progress.
const PROGRESS_MS: u64 = 500;

/// Time for which a crashed engine is down.
const DOWN_MS: u64 = 3_000;

/// A request of the simulated callers.
#[derive(Clone, Debug)]
pub struct SimulatedRequest {
    pub host: usize,
    pub sent_ms: u64,
    pub is_poison: bool,
    incoming: IncomingRequest,
    /// Time from the first event to the last.
    pub length_ms: u64,
    /// Whether the first attempt has begun to answer.
    pub has_begun: bool,
    /// The request that was handed off to this host.
    handed_off_by: Option<u64>,
}

/// A run at an engine.
#[derive(Clone, Debug)]
struct Run {
    number: u64,
    target: TargetName,
    begins_ms: u64,
    next_progress_ms: u64,
    events: u64,
}

/// A fleet, its engines and its callers.
pub struct CrashingFleet {
    pub fleet: Fleet,
    /// Engines by name, with the time until which each is down.
    engines: IndexMap<TargetName, (TargetEntry, u64)>,
    runs: Vec<Run>,
    pub requests: IndexMap<u64, SimulatedRequest>,
    seen_dispatches: usize,
    store_version: u64,
    pub rng: Rng,
    /// When engines crashed under a poison request.
    pub crashes_ms: Vec<u64>,
    /// When poison requests reached an engine, and the host that sent each.
    pub poison_arrivals: Vec<(u64, usize)>,
    /// Number of sound requests that were refused as poison.
    pub poison_refusals: usize,
    /// When each host was started last, if it was restarted.
    pub restarted_ms: IndexMap<usize, u64>,
    /// Whether engines start again under their names.
    pub engines_keep_names: bool,
    /// Whether hosts don't learn that an engine has started again, as before its first heartbeat.
    pub hides_starts: bool,
    /// The fingerprint of all requests, if they are alike.
    pub fingerprint: Option<u64>,
}

impl CrashingFleet {
    /// Creates hosts and engines, spread over zones.
    pub fn new(hosts: u16, engines: u16, zones: &[&str], seed: u64) -> Self {
        let named: Vec<(String, TargetEntry)> = (0..engines)
            .map(|n| {
                let zone = zones[usize::from(n) % zones.len()];
                (format!("engine-{n}-0"), entry("engines", zone, 10_000 + n))
            })
            .collect();
        let listed: Vec<(&str, TargetEntry)> = named
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.clone()))
            .collect();
        CrashingFleet {
            fleet: Fleet::new(hosts, zones, &listed),
            engines: named
                .iter()
                .map(|(name, entry)| (TargetName::new(name), (entry.clone(), 0)))
                .collect(),
            runs: Vec::new(),
            requests: IndexMap::new(),
            seen_dispatches: 0,
            store_version: 10,
            rng: Rng::new(seed),
            crashes_ms: Vec::new(),
            poison_arrivals: Vec::new(),
            poison_refusals: 0,
            restarted_ms: IndexMap::new(),
            engines_keep_names: false,
            hides_starts: false,
            fingerprint: None,
        }
    }

    /// Returns true with a probability of `rate_per_s` for each second, for one step.
    pub fn is_due(&mut self, rate_per_s: f64) -> bool {
        self.rng.below(1_000_000) as f64 / 1e6 < rate_per_s * 0.025
    }

    /// Sends a request to a random host.
    pub fn send(
        &mut self,
        kind: &str,
        parts: Vec<PartId>,
        length_ms: u64,
        is_poison: bool,
    ) {
        let number = self.requests.len() as u64;
        let host = self.rng.below(self.fleet.hosts.len());
        let request = IncomingRequest {
            attempt_id: format!("attempt-{number}").into(),
            fingerprint: self.fingerprint.unwrap_or(number),
            shared_parts: parts,
            time_limit_ms: Some(39_000),
            ..incoming_request(kind)
        };
        let simulated = SimulatedRequest {
            host,
            sent_ms: self.fleet.now_ms,
            is_poison,
            incoming: request.clone(),
            length_ms,
            has_begun: false,
            handed_off_by: None,
        };
        self.requests.insert(number, simulated);
        self.fleet.send_request(host, number, request);
        self.start_runs();
    }

    /// Advances the clock by one tick, and ends the runs that are due.
    pub fn step(&mut self) {
        self.fleet.advance(25);
        self.end_probes();
        self.hand_off();
        self.start_runs();
        let now_ms = self.fleet.now_ms;
        let due: Vec<u64> = self
            .runs
            .iter()
            .filter(|run| run.next_progress_ms <= now_ms)
            .map(|run| run.number)
            .collect();
        for number in due {
            self.progress(number);
        }
        self.restart_engines();
        self.close_refused();
    }

    fn close_refused(&mut self) {
        let refused = std::mem::take(&mut self.fleet.refused_requests);
        for (request_number, refusal) in refused {
            let request = &self.requests[&request_number.0];
            let host = request.host;
            if refusal.reason == Reason::CrashesTargets && !request.is_poison {
                self.poison_refusals += 1;
            }
            let origin = request.handed_off_by;
            self.fleet
                .apply(host, Event::RequestClosed { request_number });
            if let Some(origin) = origin {
                let outcome = match refusal.verdict {
                    Verdict::NotRun => HandoffOutcome::Refused,
                    _ => HandoffOutcome::Interrupted,
                };
                self.end_handoff(origin, outcome);
            }
        }
    }

    fn end_probes(&mut self) {
        let now_ms = self.fleet.now_ms;
        for (host, pool, target) in std::mem::take(&mut self.fleet.probes) {
            let is_reachable = self.is_up(&target);
            let probed = Event::TargetProbed {
                pool,
                target,
                began_ms: now_ms,
                is_reachable,
            };
            self.fleet.apply(host, probed);
        }
    }

    /// Lets peers receive the requests that hosts hand off to them.
    fn hand_off(&mut self) {
        for (host, handoff) in std::mem::take(&mut self.fleet.handoffs) {
            let origin = handoff.request_number.0;
            let peer = usize::from(handoff.address.port()) - 1;
            assert_ne!(peer, host, "a host doesn't hand requests off to itself");
            let number = self.requests.len() as u64;
            let first = self.requests[&origin].clone();
            let request = IncomingRequest {
                is_handed_off: true,
                ..first.incoming.clone()
            };
            let simulated = SimulatedRequest {
                host: peer,
                handed_off_by: Some(origin),
                ..first
            };
            self.requests.insert(number, simulated);
            self.fleet.send_request(peer, number, request);
        }
    }

    fn end_handoff(&mut self, origin: u64, outcome: HandoffOutcome) {
        let host = self.requests[&origin].host;
        let request_number = RequestNumber(origin);
        self.fleet.apply(
            host,
            Event::HandoffEnded {
                request_number,
                outcome,
            },
        );
        if outcome == HandoffOutcome::Answered {
            self.fleet
                .apply(host, Event::RequestClosed { request_number });
        }
    }

    fn is_up(&self, target: &TargetName) -> bool {
        self.engines
            .get(target)
            .is_some_and(|(_, down_until_ms)| *down_until_ms <= self.fleet.now_ms)
    }

    /// Starts a run for each attempt that reached an engine.
    fn start_runs(&mut self) {
        while let Some((request_number, target)) =
            self.fleet.dispatched.get(self.seen_dispatches).cloned()
        {
            self.seen_dispatches += 1;
            let now_ms = self.fleet.now_ms;
            let number = request_number.0;
            let request = &self.requests[&number];
            let host = request.host;
            if !self.is_up(&target) {
                self.end(number, AttemptOutcome::NotSent);
                continue;
            }
            if request.is_poison {
                self.poison_arrivals.push((now_ms, host));
            }
            self.runs.push(Run {
                number,
                target,
                begins_ms: now_ms + PREFILL_MS,
                next_progress_ms: now_ms + PREFILL_MS,
                events: 0,
            });
        }
    }

    fn end(&mut self, number: u64, outcome: AttemptOutcome) {
        let host = self.requests[&number].host;
        let request_number = RequestNumber(number);
        self.fleet.apply(
            host,
            Event::AttemptEnded {
                request_number,
                outcome,
            },
        );
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            self.fleet
                .apply(host, Event::RequestClosed { request_number });
            if let Some(origin) = self.requests[&number].handed_off_by {
                self.end_handoff(origin, HandoffOutcome::Answered);
            }
        }
    }

    fn progress(&mut self, number: u64) {
        let now_ms = self.fleet.now_ms;
        let Some(index) = self.runs.iter().position(|run| run.number == number) else {
            return;
        };
        let run = &mut self.runs[index];
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.is_poison {
            let target = run.target.clone();
            self.crashes_ms.push(now_ms);
            return self.crash(&target);
        }
        request.has_begun = true;
        let (host, length_ms) = (request.host, request.length_ms);
        if let Some(origin) = request.handed_off_by {
            self.requests[&origin].has_begun = true;
        }
        if now_ms >= run.begins_ms + length_ms {
            self.runs.swap_remove(index);
            let took_ms = PREFILL_MS;
            return self.end(number, AttemptOutcome::Answered { took_ms });
        }
        run.events += 16;
        run.next_progress_ms = (now_ms + PROGRESS_MS).min(run.begins_ms + length_ms);
        let progressed = Event::StreamProgressed {
            request_number: RequestNumber(number),
            events: run.events,
        };
        self.fleet.apply(host, progressed);
    }

    /// Ends an engine with all its runs.
    pub fn crash(&mut self, target: &TargetName) {
        if let Some((_, down_until_ms)) = self.engines.get_mut(target) {
            *down_until_ms = self.fleet.now_ms + DOWN_MS;
        }
        let (ended, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.target == *target);
        self.runs = running;
        let ended: Vec<Run> = ended;
        for run in ended {
            self.end(run.number, AttemptOutcome::Interrupted);
        }
        self.start_runs();
    }

    /// Returns the engines of a zone.
    pub fn engines_of(&self, zone: &str) -> Vec<TargetName> {
        self.engines
            .iter()
            .filter(|(_, (entry, _))| entry.zone.as_str() == zone)
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Replaces each engine whose time is over by one with a new name.
    fn restart_engines(&mut self) {
        let now_ms = self.fleet.now_ms;
        let is_back = |down_until_ms: u64| (1..=now_ms).contains(&down_until_ms);
        if !self
            .engines
            .values()
            .any(|(_, down_until_ms)| is_back(*down_until_ms))
        {
            return;
        }
        self.store_version += 1;
        let version = self.store_version;
        let keeps_names = self.engines_keep_names;
        let hides_starts = self.hides_starts;
        self.engines = std::mem::take(&mut self.engines)
            .into_iter()
            .map(|(target, (mut entry, down_until_ms))| {
                if !is_back(down_until_ms) {
                    return (target, (entry, down_until_ms));
                }
                if keeps_names {
                    if !hides_starts {
                        entry.started_unix_ms = Some(now_ms);
                    }
                    return (target, (entry, 0));
                }
                let name = format!("{target}-{version}");
                (TargetName::new(&name), (entry, 0))
            })
            .collect();
        let listed = self.listed();
        for host in &mut self.fleet.hosts {
            let reply = Reply::Targets {
                store_version: version,
                list: listed
                    .iter()
                    .map(|(name, entry)| change(name, version, Some(entry.clone())))
                    .collect(),
            };
            answer(host, now_ms, Query::Targets, reply);
        }
    }

    fn listed(&self) -> Vec<(String, TargetEntry)> {
        self.engines
            .iter()
            .map(|(target, (entry, _))| (target.to_string(), entry.clone()))
            .collect()
    }

    /// Restarts a host. Its requests end without an answer.
    pub fn restart(&mut self, host: usize) {
        let requests = &self.requests;
        self.runs.retain(|run| requests[&run.number].host != host);
        let listed = self.listed();
        let named: Vec<(&str, TargetEntry)> = listed
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.clone()))
            .collect();
        self.fleet.restart(host, &named);
        let now_ms = self.fleet.now_ms;
        self.restarted_ms.insert(host, now_ms);
        let reply = Reply::Targets {
            store_version: self.store_version,
            list: named
                .iter()
                .map(|(name, entry)| {
                    change(name, self.store_version, Some(entry.clone()))
                })
                .collect(),
        };
        answer(&mut self.fleet.hosts[host], now_ms, Query::Targets, reply);
    }

    /// Returns the share of the sound requests of a span that began to answer.
    pub fn begun_share(&self, from_ms: u64, until_ms: u64) -> f64 {
        let sound: Vec<&SimulatedRequest> = self
            .requests
            .values()
            .filter(|request| !request.is_poison && request.handed_off_by.is_none())
            .filter(|request| (from_ms..until_ms).contains(&request.sent_ms))
            .collect();
        let begun = sound.iter().filter(|request| request.has_begun).count();
        begun as f64 / sound.len().max(1) as f64
    }
}
