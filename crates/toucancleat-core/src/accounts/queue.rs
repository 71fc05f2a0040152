//! Requests that wait for one target, by organisation and by slack.

use indexmap::IndexMap;

use crate::accounts::message::Reserve;
use crate::prelude::*;

/// Organisations at which idle ones are forgotten.
const LANES_MAX: usize = 1_024;

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
    lanes: IndexMap<OrganisationName, Lane>,
    virtual_time_tokens: f64,
}

/// One organisation's part of the queue.
#[derive(Clone, Debug, Default)]
struct Lane {
    /// Service given so far, divided by the weight.
    service_tokens: f64,
    /// Expected tokens of what waits.
    waiting_tokens: f64,
    waiting: usize,
    weight: f64,
}

impl Queue {
    /// Adds a request; a repeat of one that waits already changes nothing.
    pub fn push(&mut self, waiting: Waiting) {
        let request = waiting.reserve.request;
        if self.waiting.contains_key(&request) {
            return;
        }
        let lane = self.lift(&waiting.reserve.organisation);
        lane.waiting += 1;
        lane.waiting_tokens += waiting.expected_tokens;
        lane.weight = waiting.reserve.weight;
        self.waiting.insert(request, waiting);
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.swap_remove(&request)?;
        if let Some(lane) = self.lanes.get_mut(&waiting.reserve.organisation) {
            lane.waiting -= 1;
            lane.waiting_tokens -= waiting.expected_tokens;
        }
        Some(waiting)
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

    /// Returns the first `count` requests in the order in which they should start.
    pub fn first(&self, count: usize, fairness_slack_tokens: f64) -> Vec<&Waiting> {
        let least = self.least_service();
        let slack = fairness_slack_tokens.max(1.0);
        let mut order: Vec<(u64, u64, RequestId)> = self
            .waiting
            .values()
            .map(|w| {
                let ahead = self.service_of(&w.reserve.organisation) - least;
                // Counters within one slack of each other rank the same.
                let rank = (ahead / slack) as u64;
                (rank, w.start_by_ms, w.reserve.request)
            })
            .collect();
        if order.len() > count {
            order.select_nth_unstable(count);
            order.truncate(count);
        }
        order.sort_unstable();
        let requests = order.iter().map(|(_, _, request)| request);
        requests.filter_map(|r| self.waiting.get(r)).collect()
    }

    /// Charges an organisation for a request that starts.
    pub fn charge(&mut self, organisation: &OrganisationName, weight: f64, tokens: f64) {
        let virtual_time = self.virtual_time_tokens;
        let lane = self.lift(organisation);
        let start = lane.service_tokens;
        lane.service_tokens += tokens / weight.max(f64::MIN_POSITIVE);
        self.virtual_time_tokens = virtual_time.max(start);
        self.forget_idle();
    }

    /// Corrects a charge once the true length is known.
    pub fn correct(&mut self, organisation: &OrganisationName, weight: f64, tokens: f64) {
        if let Some(lane) = self.lanes.get_mut(organisation) {
            lane.service_tokens += tokens / weight.max(f64::MIN_POSITIVE);
        }
    }

    /// Returns the expected tokens that start before a new request of an organisation that
    /// has to start by `start_by_ms`.
    ///
    /// Of the organisation's own requests only the more urgent go first. Others are served
    /// in turn with it, so a long queue of theirs counts only up to what goes before the
    /// request in its own.
    pub fn tokens_ahead(
        &self,
        organisation: &OrganisationName,
        weight: f64,
        start_by_ms: u64,
        expected_tokens: f64,
    ) -> f64 {
        let own: f64 = self
            .waiting
            .values()
            .filter(|w| w.start_by_ms <= start_by_ms)
            .filter(|w| &w.reserve.organisation == organisation)
            .map(|w| w.expected_tokens)
            .sum();
        let turn = (own + expected_tokens) / weight.max(f64::MIN_POSITIVE);
        let others = self.lanes.iter().filter(|(name, _)| *name != organisation);
        let ahead = others.map(|(_, lane)| lane.waiting_tokens.min(turn * lane.weight));
        own + ahead.sum::<f64>()
    }

    /// Returns the expected tokens of all requests that wait.
    pub fn expected_tokens(&self) -> f64 {
        self.lanes.values().map(|lane| lane.waiting_tokens).sum()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Says whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn service_of(&self, organisation: &OrganisationName) -> f64 {
        self.lanes
            .get(organisation)
            .map_or(0.0, |l| l.service_tokens)
    }

    fn least_service(&self) -> f64 {
        let lanes = self.lanes.values().filter(|lane| lane.waiting > 0);
        let least = lanes
            .map(|lane| lane.service_tokens)
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    /// Raises the counter of an organisation that had nothing waiting to the virtual time.
    fn lift(&mut self, organisation: &OrganisationName) -> &mut Lane {
        let lane = self.lanes.entry(organisation.clone()).or_default();
        if lane.waiting == 0 {
            lane.service_tokens = lane.service_tokens.max(self.virtual_time_tokens);
        }
        lane
    }

    /// Drops counters that a lift would restore, so that the memory stays bounded.
    fn forget_idle(&mut self) {
        if self.lanes.len() < LANES_MAX {
            return;
        }
        let virtual_time = self.virtual_time_tokens;
        self.lanes
            .retain(|_, lane| lane.waiting > 0 || lane.service_tokens > virtual_time);
    }
}
