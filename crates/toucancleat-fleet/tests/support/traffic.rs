//! Requests to a fleet, and targets that answer them and name limits.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::prelude::*;

use super::fleet::Fleet;
use super::*;

/// Time from the dispatch of a request to its answer.
const ANSWER_TIME_MS: u64 = 50;

/// Time after which a request with a limit that was passed on counts against it.
const TOLD_AFTER_MS: u64 = 500;

/// Length of the window in which the requests to a target are bounded.
pub const LIMIT_WINDOW_MS: u64 = 4_000;

/// A limit that a target names from one moment until another.
#[derive(Clone, Debug)]
pub struct NamedLimit {
    pub target: String,
    pub per_s: f64,
    pub from_ms: u64,
    pub until_ms: u64,
}

/// A request that has reached a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub host: usize,
    pub target: String,
    /// Whether the host had passed on a limit of the target some time before.
    pub is_told: bool,
}

/// A fleet that receives requests at a constant rate.
pub struct Traffic {
    pub fleet: Fleet,
    /// Requests per second to each host.
    pub rate_per_host_per_s: f64,
    pub limits: Vec<NamedLimit>,
    pub arrivals: Vec<Arrival>,
    pub refusals: Vec<Refusal>,
    /// Hosts that serve requests of callers. The others are gone.
    pub serving: IndexSet<usize>,
    answers: VecDeque<(u64, usize, u64, TargetName)>,
    told_since_ms: IndexMap<(usize, TargetName), u64>,
    next_request: u64,
    rng: toucancleat_core::rng::Rng,
}

impl Traffic {
    pub fn new(fleet: Fleet, rate_per_s: f64, limits: Vec<NamedLimit>) -> Self {
        let hosts = fleet.hosts.len();
        Traffic {
            fleet,
            rate_per_host_per_s: rate_per_s / hosts as f64,
            limits,
            arrivals: Vec::new(),
            refusals: Vec::new(),
            serving: (0..hosts).collect(),
            answers: VecDeque::new(),
            told_since_ms: IndexMap::new(),
            next_request: 0,
            rng: toucancleat_core::rng::Rng::new(7),
        }
    }

    /// Advances the clock while requests arrive and are answered.
    pub fn advance(&mut self, time_ms: u64) {
        let end_ms = self.fleet.now_ms + time_ms;
        while self.fleet.now_ms < end_ms {
            self.fleet.advance(25);
            self.answer_requests();
            for host in 0..self.fleet.hosts.len() {
                let is_due = (self.rng.below(1_000_000) as f64) / 1e6
                    < self.rate_per_host_per_s * 0.025;
                if is_due && self.serving.contains(&host) {
                    self.next_request += 1;
                    let number = self.next_request;
                    let event = Event::RequestReceived {
                        request_number: RequestNumber(number),
                        request: IncomingRequest {
                            attempt_id: format!("attempt-{number}").into(),
                            ..incoming_request("lookup")
                        },
                    };
                    self.apply(host, event);
                }
            }
        }
    }

    fn answer_requests(&mut self) {
        let now_ms = self.fleet.now_ms;
        while self
            .answers
            .front()
            .is_some_and(|(at_ms, ..)| *at_ms <= now_ms)
        {
            let Some((_, host, number, target)) = self.answers.pop_front() else {
                return;
            };
            if !self.serving.contains(&host) {
                continue;
            }
            let notice = TargetNotice {
                rate_limit_per_s: self.limit_at(&target, now_ms),
                ..TargetNotice::default()
            };
            let told = (host, target.clone());
            match notice.rate_limit_per_s {
                Some(_) => {
                    self.told_since_ms.entry(told).or_insert(now_ms);
                }
                None => {
                    self.told_since_ms.swap_remove(&told);
                }
            }
            self.apply(host, Event::NoticeReceived { target, notice });
            let request_number = RequestNumber(number);
            let outcome = AttemptOutcome::Answered {
                took_ms: ANSWER_TIME_MS,
            };
            let ended = Event::AttemptEnded {
                request_number,
                outcome,
            };
            self.apply(host, ended);
            self.apply(host, Event::RequestClosed { request_number });
        }
    }

    /// Forgets which limits a host has passed on, since it has restarted.
    pub fn forget_told(&mut self, host: usize) {
        self.told_since_ms.retain(|(told, _), _| *told != host);
    }

    /// Returns the hosts that have sent requests to a target since a time.
    pub fn senders(&self, target: &str, since_ms: u64) -> Vec<usize> {
        let recent = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.target == target && arrival.at_ms >= since_ms);
        let senders: IndexSet<usize> = recent.map(|arrival| arrival.host).collect();
        senders.into_iter().collect()
    }

    /// Returns the limit that a target names at a time.
    pub fn limit_at(&self, target: &TargetName, at_ms: u64) -> Option<f64> {
        self.limits
            .iter()
            .find(|limit| {
                limit.target == target.as_str()
                    && (limit.from_ms..limit.until_ms).contains(&at_ms)
            })
            .map(|limit| limit.per_s)
    }

    fn apply(&mut self, host: usize, event: Event) {
        let now_ms = self.fleet.now_ms;
        let effects = apply(&mut self.fleet.hosts[host], now_ms, event);
        for dispatch in dispatches(&effects) {
            let told = (host, dispatch.target.clone());
            let told_since_ms = self.told_since_ms.get(&told);
            self.arrivals.push(Arrival {
                at_ms: now_ms,
                host,
                target: dispatch.target.to_string(),
                is_told: told_since_ms
                    .is_some_and(|at_ms| at_ms + TOLD_AFTER_MS <= now_ms),
            });
            self.answers.push_back((
                now_ms + ANSWER_TIME_MS,
                host,
                dispatch.request_number.0,
                dispatch.target.clone(),
            ));
        }
        for refusal in refusals(&effects) {
            self.refusals.push(refusal);
        }
        for effect in &effects {
            if let Effect::Refuse { request_number, .. } = effect {
                let request_number = *request_number;
                let closed = Event::RequestClosed { request_number };
                super::apply(&mut self.fleet.hosts[host], now_ms, closed);
            }
        }
        self.fleet.execute(host, effects, true);
    }

    /// Returns the highest number of requests in a window that a target got from hosts for
    /// which `counts` returns true, and the start of the window.
    pub fn highest_in_window(
        &self,
        target: &str,
        from_ms: u64,
        until_ms: u64,
        counts: impl Fn(&Arrival) -> bool,
    ) -> (usize, u64) {
        let times: Vec<u64> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.target == target && counts(arrival))
            .map(|arrival| arrival.at_ms)
            .filter(|at_ms| (from_ms..until_ms).contains(at_ms))
            .collect();
        let in_window = |start: &u64| {
            let end_ms = start + LIMIT_WINDOW_MS;
            let count = times
                .iter()
                .filter(|at_ms| (*start..end_ms).contains(at_ms));
            (count.count(), *start)
        };
        times.iter().map(in_window).max().unwrap_or_default()
    }

    /// Returns the number of requests that a target got in a span.
    pub fn count(&self, target: &str, from_ms: u64, until_ms: u64) -> usize {
        self.arrivals
            .iter()
            .filter(|arrival| arrival.target == target)
            .filter(|arrival| (from_ms..until_ms).contains(&arrival.at_ms))
            .count()
    }
}
