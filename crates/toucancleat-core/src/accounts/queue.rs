//! Requests that wait for one target, by organisation and by slack.

use indexmap::IndexMap;

use crate::accounts::message::Reserve;
use crate::prelude::*;

/// Counters at which idle organisations are forgotten.
const COUNTERS_MAX: usize = 1_024;

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// What was asked for.
    pub reserve: Reserve,
    /// The host that asked.
    pub host: HostName,
    /// When it came.
    pub since_ms: u64,
    /// Latest time at which it may start and still be on time.
    pub start_by_ms: u64,
    /// Expected tokens of prompt and answer.
    pub expected_tokens: f64,
}

/// The queue of one target.
///
/// Each organisation has a counter of the service it was given, divided by its weight, as
/// in the Virtual Token Counter of Sheng et al., "Fairness in Serving Large Language
/// Models" (OSDI 2024). The next request belongs to an organisation whose counter lies
/// within a slack of the least; among those, the one whose latest start is soonest goes
/// first. An organisation that comes back from idleness gets no credit for it: its
/// counter is lifted to the virtual time, the counter that was served last, as in the
/// start-time fair queueing of Goyal et al. (SIGCOMM 1996).
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: IndexMap<RequestId, Waiting>,
    service_tokens: IndexMap<OrganisationName, f64>,
    virtual_time_tokens: f64,
}

impl Queue {
    /// Adds a request; a repeat of one that waits already changes nothing.
    pub fn push(&mut self, waiting: Waiting) {
        let request = waiting.reserve.request;
        if self.waiting.contains_key(&request) {
            return;
        }
        self.lift(&waiting.reserve.organisation);
        self.waiting.insert(request, waiting);
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        self.waiting.shift_remove(&request)
    }

    /// Takes out every request that `leaves` says so of.
    pub fn remove_where(&mut self, leaves: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let requests: Vec<RequestId> = self
            .waiting
            .values()
            .filter(|waiting| leaves(waiting))
            .map(|waiting| waiting.reserve.request)
            .collect();
        requests
            .into_iter()
            .filter_map(|r| self.remove(r))
            .collect()
    }

    /// Returns a request that waits.
    pub fn get(&self, request: RequestId) -> Option<&Waiting> {
        self.waiting.get(&request)
    }

    /// Returns the requests in the order in which they should start.
    pub fn in_order(&self, fairness_slack_tokens: f64) -> Vec<&Waiting> {
        let least = self.least_service();
        let mut order: Vec<&Waiting> = self.waiting.values().collect();
        order.sort_by(|a, b| {
            let rank = |w: &Waiting| self.rank(w, least, fairness_slack_tokens);
            rank(a)
                .total_cmp(&rank(b))
                .then(a.start_by_ms.cmp(&b.start_by_ms))
                .then(a.reserve.request.cmp(&b.reserve.request))
        });
        order
    }

    /// Charges an organisation for a request that starts.
    pub fn charge(&mut self, organisation: &OrganisationName, weight: f64, tokens: f64) {
        self.lift(organisation);
        let counter = self.service_tokens.entry(organisation.clone()).or_default();
        self.virtual_time_tokens = self.virtual_time_tokens.max(*counter);
        *counter += tokens / weight.max(f64::MIN_POSITIVE);
        self.forget_idle();
    }

    /// Corrects a charge once the true length is known.
    pub fn correct(&mut self, organisation: &OrganisationName, weight: f64, tokens: f64) {
        if let Some(counter) = self.service_tokens.get_mut(organisation) {
            *counter += tokens / weight.max(f64::MIN_POSITIVE);
        }
    }

    /// Returns the expected tokens of all requests that wait.
    pub fn expected_tokens(&self) -> f64 {
        self.waiting
            .values()
            .map(|waiting| waiting.expected_tokens)
            .sum()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Says whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn rank(&self, waiting: &Waiting, least: f64, slack_tokens: f64) -> f64 {
        let service = self.service_of(&waiting.reserve.organisation);
        // Counters within one slack of each other rank the same.
        ((service - least) / slack_tokens.max(1.0)).floor().max(0.0)
    }

    fn service_of(&self, organisation: &OrganisationName) -> f64 {
        self.service_tokens
            .get(organisation)
            .copied()
            .unwrap_or(0.0)
    }

    fn least_service(&self) -> f64 {
        let waiting = self.waiting.values();
        let services = waiting.map(|w| self.service_of(&w.reserve.organisation));
        let least = services.fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    /// Raises the counter of an organisation that had nothing waiting to the virtual time.
    fn lift(&mut self, organisation: &OrganisationName) {
        let mut others = self.waiting.values();
        if others.any(|w| &w.reserve.organisation == organisation) {
            return;
        }
        let counter = self.service_tokens.entry(organisation.clone()).or_default();
        *counter = counter.max(self.virtual_time_tokens);
    }

    /// Drops counters that a lift would restore, so that the memory stays bounded.
    fn forget_idle(&mut self) {
        if self.service_tokens.len() < COUNTERS_MAX {
            return;
        }
        let virtual_time = self.virtual_time_tokens;
        let waiting = &self.waiting;
        self.service_tokens.retain(|organisation, counter| {
            let mut all = waiting.values();
            *counter > virtual_time
                || all.any(|w| &w.reserve.organisation == organisation)
        });
    }
}
