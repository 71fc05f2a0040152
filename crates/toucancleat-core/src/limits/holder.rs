//! The shares that this host holds, and the permits that it gives to requests under them.

use std::collections::VecDeque;

use super::{Config, Effect, HeldShare, Share, ShareGrant, ShareRequest};
use crate::prelude::*;

const MILLIREQUESTS_PER_REQUEST: u64 = 1_000;

/// Most share requests that wait for a grant.
const PENDING_SHARE_REQUESTS_MAX: usize = 8;

/// Retry-after time of a refusal if no rate gives a better estimate.
const RETRY_AFTER_MS: u64 = 1_000;

/// The share that this host holds of one organisation's limits, and its requests.
#[derive(Debug)]
pub(super) struct Holding {
    share: Share,
    expires_ms: u64,
    /// Sequence of the share request whose grant is held.
    granted_sequence: u64,
    pending_share_requests: VecDeque<(u64, u64)>,
    next_sequence: u64,
    next_share_request_ms: u64,
    last_share_request_ms: u64,
    /// Whether the last grant reduced the share and the home has yet to receive that this
    /// host holds less.
    has_unconfirmed_reduction: bool,
    /// Requests in progress.
    in_use: u32,
    tokens_millirequests: u64,
    refilled_ms: u64,
    waiting: VecDeque<(RequestId, u64)>,
    /// Time until which requests without a permit are refused without a share request.
    refuse_until_ms: u64,
    demand: Demand,
}

/// The rate and concurrency of recent requests.
#[derive(Debug)]
struct Demand {
    window_start_ms: u64,
    arrivals: u64,
    millirequests_per_s: u64,
    peak: u32,
    previous_peak: u32,
    last_arrival_ms: u64,
}

impl Holding {
    pub(super) fn new(now_ms: u64) -> Self {
        Holding {
            share: Share::NONE,
            expires_ms: 0,
            granted_sequence: 0,
            pending_share_requests: VecDeque::new(),
            // N.B. The sequence starts from the time, so that a holding that was removed
            // and created again continues with higher sequences.
            next_sequence: now_ms.max(1),
            next_share_request_ms: 0,
            last_share_request_ms: 0,
            has_unconfirmed_reduction: false,
            in_use: 0,
            tokens_millirequests: 0,
            refilled_ms: now_ms,
            waiting: VecDeque::new(),
            refuse_until_ms: 0,
            demand: Demand::new(now_ms),
        }
    }

    /// Returns the share that may be used now.
    pub(super) fn usable(&self, now_ms: u64) -> Share {
        match now_ms < self.expires_ms {
            true => self.share,
            false => Share::NONE,
        }
    }

    pub(super) fn in_use(&self) -> u32 {
        self.in_use
    }

    pub(super) fn held(&self, organisation: &OrganisationName, now_ms: u64) -> HeldShare {
        HeldShare {
            organisation: organisation.clone(),
            share: self.usable(now_ms),
            remaining_ms: self.expires_ms.saturating_sub(now_ms),
            in_use: self.in_use,
        }
    }

    /// Returns true if the share is no longer needed and may be released.
    pub(super) fn is_release_due(&self, config: &Config, now_ms: u64) -> bool {
        self.in_use == 0
            && self.waiting.is_empty()
            && now_ms >= self.demand.last_arrival_ms + config.idle_release_ms
    }

    /// Releases the share with a last share request to the home; nothing may be used
    /// afterwards.
    pub(super) fn release_share(
        &mut self,
        organisation: &OrganisationName,
        started_ms: u64,
        now_ms: u64,
    ) -> ShareRequest {
        self.pending_share_requests.clear();
        self.share = Share::NONE;
        self.expires_ms = now_ms;
        ShareRequest {
            organisation: organisation.clone(),
            started_ms,
            sequence: self.next_sequence,
            // N.B. This host uses no earlier grant any more.
            granted_sequence: self.next_sequence,
            held: self.held(organisation, now_ms),
            wanted: Share::NONE,
            waiting: 0,
        }
    }

    /// Grants a request its permit, refuses it or queues it until the home's grant.
    /// Returns true if a share request is to be sent to the home.
    pub(super) fn acquire_permit(
        &mut self,
        config: &Config,
        now_ms: u64,
        request: RequestId,
        effects: &mut Vec<Effect>,
    ) -> bool {
        self.refill(config, now_ms);
        self.demand
            .record_arrival(now_ms, self.in_use + self.waiting.len() as u32 + 1);
        if self.waiting.is_empty() && self.try_take_permit(now_ms) {
            effects.push(Effect::PermitGranted { request });
            return false;
        }
        if now_ms < self.refuse_until_ms || self.waiting.len() >= config.waiting_max {
            effects.push(self.refusal(now_ms, request));
            return false;
        }
        self.waiting
            .push_back((request, now_ms + config.permit_wait_max_ms));
        now_ms >= self.last_share_request_ms + config.share_request_interval_min_ms
    }

    pub(super) fn release_permit(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns true if the next share request to the home is due.
    ///
    /// Only new requests need a share, so a host whose requests of an organisation are
    /// all in progress stops renewing it.
    pub(super) fn is_share_request_due(&self, now_ms: u64) -> bool {
        let has_arrived = self.demand.last_arrival_ms > self.last_share_request_ms;
        let is_needed =
            has_arrived || self.has_unconfirmed_reduction || !self.waiting.is_empty();
        is_needed && now_ms >= self.next_share_request_ms
    }

    /// Creates the next share request to the home.
    pub(super) fn next_share_request(
        &mut self,
        config: &Config,
        organisation: &OrganisationName,
        started_ms: u64,
        now_ms: u64,
    ) -> ShareRequest {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending_share_requests.push_back((sequence, now_ms));
        if self.pending_share_requests.len() > PENDING_SHARE_REQUESTS_MAX {
            self.pending_share_requests.pop_front();
        }
        self.last_share_request_ms = now_ms;
        self.has_unconfirmed_reduction = false;
        // N.B. A host that doesn't know yet that it is the home doesn't reply, so share
        // requests are repeated quickly while requests wait.
        self.next_share_request_ms = match self.waiting.is_empty() {
            true => now_ms + config.renew_interval_ms,
            false => now_ms + config.waiting_share_request_interval_ms,
        };
        ShareRequest {
            organisation: organisation.clone(),
            started_ms,
            sequence,
            granted_sequence: self.granted_sequence,
            held: self.held(organisation, now_ms),
            wanted: self.wanted(now_ms),
            waiting: self.waiting.len() as u32,
        }
    }

    /// Discards the pending share requests after a change of the home, since a late grant
    /// of the earlier home would rest on a right that may have ended.
    pub(super) fn discard_pending_share_requests(&mut self) {
        self.pending_share_requests.clear();
        self.next_share_request_ms = 0;
        self.last_share_request_ms = 0;
    }

    /// Applies a grant of the home, and gives permits to or refuses waiting requests.
    pub(super) fn apply_grant(
        &mut self,
        config: &Config,
        now_ms: u64,
        grant: &ShareGrant,
        effects: &mut Vec<Effect>,
    ) {
        let pending = self
            .pending_share_requests
            .iter()
            .find(|(sequence, _)| *sequence == grant.sequence);
        let Some(&(sequence, requested_ms)) = pending else {
            return;
        };
        // N.B. The term runs from the sending of the share request, which was before the
        // home started its own term, so the home's term always ends later.
        let expires_ms = requested_ms + grant.term_ms;
        if sequence <= self.granted_sequence || now_ms >= expires_ms {
            return;
        }
        self.refill(config, now_ms);
        let previously_usable = self.usable(now_ms);
        self.granted_sequence = sequence;
        self.share = grant.share;
        self.expires_ms = expires_ms;
        self.pending_share_requests
            .retain(|(other, _)| *other > sequence);
        self.tokens_millirequests += grant.tokens_millirequests;
        self.cap_tokens(config);
        if previously_usable.saturating_sub(grant.share) != Share::NONE {
            // N.B. The home can grant the difference to others only after it has received
            // that this host holds less.
            self.has_unconfirmed_reduction = true;
            self.next_share_request_ms = now_ms + config.share_request_interval_min_ms;
        }
        self.admit_waiting(now_ms, effects);
        if grant.is_unsettled && config.is_lenient {
            self.expire_waiting(config, u64::MAX, effects);
        } else if grant.is_unsettled {
            self.next_share_request_ms =
                now_ms + config.waiting_share_request_interval_ms;
        } else {
            self.refuse_waiting(config, now_ms, effects);
        }
    }

    /// Refuses waiting requests whose deadline has passed, or admits them if the
    /// configuration is lenient.
    pub(super) fn expire_waiting(
        &mut self,
        config: &Config,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        while let Some(&(request, deadline_ms)) = self.waiting.front() {
            if now_ms < deadline_ms {
                return;
            }
            self.waiting.pop_front();
            if config.is_lenient {
                self.in_use += 1;
                effects.push(Effect::PermitGranted { request });
            } else {
                effects.push(self.refusal(now_ms, request));
            }
        }
    }

    fn admit_waiting(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        while let Some(&(request, _)) = self.waiting.front() {
            if !self.try_take_permit(now_ms) {
                return;
            }
            self.waiting.pop_front();
            effects.push(Effect::PermitGranted { request });
        }
    }

    /// Refuses the requests that still wait after a settled home's grant was used up.
    fn refuse_waiting(
        &mut self,
        config: &Config,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        self.refuse_until_ms = now_ms + config.refusal_reuse_ms;
        while let Some((request, _)) = self.waiting.pop_front() {
            effects.push(self.refusal(now_ms, request));
        }
    }

    fn try_take_permit(&mut self, now_ms: u64) -> bool {
        let usable = self.usable(now_ms);
        if self.in_use >= usable.concurrent
            || self.tokens_millirequests < MILLIREQUESTS_PER_REQUEST
        {
            return false;
        }
        self.tokens_millirequests -= MILLIREQUESTS_PER_REQUEST;
        self.in_use += 1;
        true
    }

    fn refusal(&self, now_ms: u64, request: RequestId) -> Effect {
        let usable = self.usable(now_ms);
        let missing_tokens =
            MILLIREQUESTS_PER_REQUEST.saturating_sub(self.tokens_millirequests);
        let retry_after_ms = match usable.millirequests_per_s {
            0 => RETRY_AFTER_MS,
            _ if self.in_use >= usable.concurrent => RETRY_AFTER_MS,
            rate => (missing_tokens * 1_000).div_ceil(rate).max(1),
        };
        Effect::PermitRefused {
            request,
            retry_after_ms,
        }
    }

    /// Adds the tokens for the time since the last call; an expired share yields none.
    fn refill(&mut self, config: &Config, now_ms: u64) {
        let until_ms = now_ms.min(self.expires_ms);
        let elapsed_ms = until_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms.max(self.refilled_ms);
        self.tokens_millirequests += self.share.millirequests_per_s * elapsed_ms / 1_000;
        self.cap_tokens(config);
    }

    fn cap_tokens(&mut self, config: &Config) {
        let burst = self.share.millirequests_per_s * config.burst_ms / 1_000;
        self.tokens_millirequests = self
            .tokens_millirequests
            .min(burst.max(MILLIREQUESTS_PER_REQUEST));
    }

    /// Estimates the share that this host could use, with a quarter more for growth.
    fn wanted(&mut self, now_ms: u64) -> Share {
        let waiting = self.waiting.len() as u32;
        let rate = self
            .demand
            .rate(now_ms)
            .max(u64::from(waiting) * MILLIREQUESTS_PER_REQUEST);
        let peak = self.demand.peak().max(self.in_use + waiting);
        Share {
            millirequests_per_s: rate + rate / 4,
            concurrent: peak + peak / 4 + 1,
        }
    }
}

impl Demand {
    /// Length of the window over which arrivals are counted.
    const WINDOW_MS: u64 = 2_000;

    fn new(now_ms: u64) -> Self {
        Demand {
            window_start_ms: now_ms,
            arrivals: 0,
            millirequests_per_s: 0,
            peak: 0,
            previous_peak: 0,
            last_arrival_ms: now_ms,
        }
    }

    fn record_arrival(&mut self, now_ms: u64, in_progress: u32) {
        self.roll(now_ms);
        self.arrivals += 1;
        self.peak = self.peak.max(in_progress);
        self.last_arrival_ms = now_ms;
    }

    fn rate(&mut self, now_ms: u64) -> u64 {
        self.roll(now_ms);
        let current_rate = self.arrivals * 1_000_000 / Self::WINDOW_MS;
        self.millirequests_per_s.max(current_rate)
    }

    fn peak(&self) -> u32 {
        self.peak.max(self.previous_peak)
    }

    fn roll(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms < Self::WINDOW_MS {
            return;
        }
        self.millirequests_per_s = self.arrivals * 1_000_000 / elapsed_ms;
        self.previous_peak = self.peak;
        self.window_start_ms = now_ms;
        self.arrivals = 0;
        self.peak = 0;
    }
}
