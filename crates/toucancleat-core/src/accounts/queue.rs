//! The queue of one target: weighted fair queueing of organisations, then least slack.

use indexmap::IndexMap;

use crate::accounts::message::ReservationRequest;
use crate::prelude::*;

/// Number of flows at which idle ones are dropped.
const FLOWS_MAX: usize = 1_024;

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// The requested reservation.
    pub request: ReservationRequest,
    /// The host that requested it.
    pub host: HostName,
    /// When it was queued.
    pub queued_ms: u64,
    /// Latest time at which it may start and still be on time.
    pub start_by_ms: u64,
    /// Expected tokens still to be generated.
    pub expected_tokens: f64,
}

/// The queue of one target.
///
/// Each organisation is a flow with a counter of the service it received, divided by its
/// weight, as in the Virtual Token Counter of Sheng et al., "Fairness in Serving Large
/// Language Models" (OSDI 2024). The next request belongs to a flow whose counter lies
/// within a slack of the least; among those, the request whose latest start is soonest
/// goes first. A flow gets no credit for the time in which it was idle: once it has
/// requests again, its counter is raised to the virtual time, the highest counter at
/// which a request started, as in the start-time fair queueing of Goyal et al. (SIGCOMM
/// 1996).
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: IndexMap<RequestId, WaitingRequest>,
    flows: IndexMap<OrganisationName, Flow>,
    virtual_time_tokens: f64,
}

/// The flow of one organisation.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Service received so far, divided by the weight.
    service_tokens: f64,
    /// Expected tokens of the requests that wait.
    waiting_tokens: f64,
    waiting_requests: usize,
    weight: f64,
}

impl Queue {
    /// Adds a request. A request that waits already stays as it is.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let request = waiting.request.id;
        if self.waiting.contains_key(&request) {
            return;
        }
        let flow = self.activate(&waiting.request.organisation);
        flow.waiting_requests += 1;
        flow.waiting_tokens += waiting.expected_tokens;
        flow.weight = waiting.request.weight;
        self.waiting.insert(request, waiting);
    }

    /// Removes a request.
    pub fn remove(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let waiting = self.waiting.swap_remove(&request)?;
        if let Some(flow) = self.flows.get_mut(&waiting.request.organisation) {
            flow.waiting_requests -= 1;
            flow.waiting_tokens -= waiting.expected_tokens;
        }
        Some(waiting)
    }

    /// Removes and returns every request for which the predicate holds.
    pub fn remove_where(
        &mut self,
        predicate: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let requests: Vec<RequestId> = self
            .waiting
            .values()
            .filter(|waiting| predicate(waiting))
            .map(|waiting| waiting.request.id)
            .collect();
        requests
            .into_iter()
            .filter_map(|request| self.remove(request))
            .collect()
    }

    /// Returns a request, if it waits.
    pub fn get(&self, request: RequestId) -> Option<&WaitingRequest> {
        self.waiting.get(&request)
    }

    /// Returns the first `count` requests, in the order in which they should start.
    pub fn first(
        &self,
        count: usize,
        fairness_slack_tokens: f64,
    ) -> Vec<&WaitingRequest> {
        let least = self.least_service();
        let slack_tokens = fairness_slack_tokens.max(1.0);
        let mut order: Vec<(u64, u64, RequestId)> = self
            .waiting
            .values()
            .map(|waiting| {
                let ahead = self.service_of(&waiting.request.organisation) - least;
                // Counters within one slack of each other rank the same.
                let rank = (ahead / slack_tokens) as u64;
                (rank, waiting.start_by_ms, waiting.request.id)
            })
            .collect();
        if order.len() > count {
            order.select_nth_unstable(count);
            order.truncate(count);
        }
        order.sort_unstable();
        let requests = order.iter().map(|(_, _, request)| request);
        requests
            .filter_map(|request| self.waiting.get(request))
            .collect()
    }

    /// Charges an organisation for a request that starts, in tokens.
    pub fn charge(&mut self, organisation: &OrganisationName, weight: f64, tokens: f64) {
        let virtual_time = self.virtual_time_tokens;
        let flow = self.activate(organisation);
        let start = flow.service_tokens;
        flow.service_tokens += tokens / weight.max(f64::MIN_POSITIVE);
        self.virtual_time_tokens = virtual_time.max(start);
        self.drop_idle_flows();
    }

    /// Adds a correction to a charge once the true length is known.
    pub fn correct(&mut self, organisation: &OrganisationName, weight: f64, tokens: f64) {
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.service_tokens += tokens / weight.max(f64::MIN_POSITIVE);
        }
    }

    /// Returns the expected tokens of the requests that start before a new request of an
    /// organisation that has to start by `start_by_ms`.
    ///
    /// Of the organisation's own requests only the more urgent start before it. The
    /// flows of other organisations alternate with this one, so each counts at most up
    /// to the service that this flow receives up to and with the new request.
    pub fn tokens_ahead(
        &self,
        organisation: &OrganisationName,
        weight: f64,
        start_by_ms: u64,
        expected_tokens: f64,
    ) -> f64 {
        let own_tokens: f64 = self
            .waiting
            .values()
            .filter(|waiting| waiting.start_by_ms <= start_by_ms)
            .filter(|waiting| &waiting.request.organisation == organisation)
            .map(|waiting| waiting.expected_tokens)
            .sum();
        let own_service = (own_tokens + expected_tokens) / weight.max(f64::MIN_POSITIVE);
        let others = self.flows.iter().filter(|(name, _)| *name != organisation);
        let ahead =
            others.map(|(_, flow)| flow.waiting_tokens.min(own_service * flow.weight));
        own_tokens + ahead.sum::<f64>()
    }

    /// Returns the expected tokens of all requests that wait.
    pub fn expected_tokens(&self) -> f64 {
        self.flows.values().map(|flow| flow.waiting_tokens).sum()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn service_of(&self, organisation: &OrganisationName) -> f64 {
        self.flows
            .get(organisation)
            .map_or(0.0, |flow| flow.service_tokens)
    }

    fn least_service(&self) -> f64 {
        let flows = self.flows.values().filter(|flow| flow.waiting_requests > 0);
        let least = flows
            .map(|flow| flow.service_tokens)
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    /// Returns the flow of an organisation; the counter of an idle flow is raised to the
    /// virtual time.
    fn activate(&mut self, organisation: &OrganisationName) -> &mut Flow {
        let flow = self.flows.entry(organisation.clone()).or_default();
        if flow.waiting_requests == 0 {
            flow.service_tokens = flow.service_tokens.max(self.virtual_time_tokens);
        }
        flow
    }

    /// Drops the flows that `activate` would restore, so that the memory stays bounded.
    fn drop_idle_flows(&mut self) {
        if self.flows.len() < FLOWS_MAX {
            return;
        }
        let virtual_time = self.virtual_time_tokens;
        self.flows.retain(|_, flow| {
            flow.waiting_requests > 0 || flow.service_tokens > virtual_time
        });
    }
}
