//! What this host holds of each organisation's limits, and the requests under it.

use std::collections::VecDeque;

use super::{Ask, Config, Effect, Grant, Held, Share};
use crate::prelude::*;

/// Millirequests in a request.
const REQUEST: u64 = 1_000;

/// Most questions whose answers are still awaited.
const ASKED_MAX: usize = 8;

/// Time to come back after when nothing better is known.
const RETRY_AFTER_MS: u64 = 1_000;

/// This host's part of one organisation's limits.
#[derive(Debug)]
pub(super) struct Holding {
    share: Share,
    expires_ms: u64,
    /// Sequence of the question whose grant is held.
    answered: u64,
    asked: VecDeque<(u64, u64)>,
    next_sequence: u64,
    next_ask_ms: u64,
    last_ask_ms: u64,
    /// Whether the home has yet to hear that this host now holds less.
    confirms: bool,
    /// Requests in progress.
    in_use: u32,
    tokens_millirequests: u64,
    refilled_ms: u64,
    waiting: VecDeque<(RequestId, u64)>,
    /// Until when the home's last answer stands for a refusal.
    denied_until_ms: u64,
    demand: Demand,
}

/// How much the requests of late could have used.
#[derive(Debug)]
struct Demand {
    window_ms: u64,
    arrivals: u64,
    millirequests_per_s: u64,
    peak: u32,
    last_peak: u32,
    last_arrival_ms: u64,
}

impl Holding {
    pub(super) fn new(now_ms: u64) -> Self {
        Holding {
            share: Share::NONE,
            expires_ms: 0,
            answered: 0,
            asked: VecDeque::new(),
            // N.B. Time is part of the sequence, so that a holding that was dropped and
            // made again goes on with higher ones.
            next_sequence: now_ms.max(1),
            next_ask_ms: 0,
            last_ask_ms: 0,
            confirms: false,
            in_use: 0,
            tokens_millirequests: 0,
            refilled_ms: now_ms,
            waiting: VecDeque::new(),
            denied_until_ms: 0,
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

    pub(super) fn held(&self, organisation: &OrganisationName, now_ms: u64) -> Held {
        Held {
            organisation: organisation.clone(),
            share: self.usable(now_ms),
            remaining_ms: self.expires_ms.saturating_sub(now_ms),
            in_use: self.in_use,
        }
    }

    /// Says whether the share is no longer needed and may be given back.
    pub(super) fn release_is_due(&self, config: &Config, now_ms: u64) -> bool {
        self.in_use == 0
            && self.waiting.is_empty()
            && now_ms >= self.demand.last_arrival_ms + config.release_ms
    }

    /// Gives the share back: the last word to the home, after which nothing may be used.
    pub(super) fn release(
        &mut self,
        organisation: &OrganisationName,
        started_ms: u64,
        now_ms: u64,
    ) -> Ask {
        self.asked.clear();
        self.share = Share::NONE;
        self.expires_ms = now_ms;
        Ask {
            organisation: organisation.clone(),
            started_ms,
            sequence: self.next_sequence,
            // N.B. It holds nothing of any earlier question.
            holds_sequence: self.next_sequence,
            held: self.held(organisation, now_ms),
            wanted: Share::NONE,
            waiting: 0,
        }
    }

    /// Admits a request, refuses it, or lets it wait for the home's answer; returns
    /// whether the home is to be asked.
    pub(super) fn arrive(
        &mut self,
        config: &Config,
        now_ms: u64,
        request: RequestId,
        effects: &mut Vec<Effect>,
    ) -> bool {
        self.refill(config, now_ms);
        self.demand
            .arrived(now_ms, self.in_use + self.waiting.len() as u32 + 1);
        if self.waiting.is_empty() && self.take(now_ms) {
            effects.push(Effect::Admitted { request });
            return false;
        }
        if now_ms < self.denied_until_ms || self.waiting.len() >= config.waiting_max {
            effects.push(self.refusal(now_ms, request));
            return false;
        }
        self.waiting
            .push_back((request, now_ms + config.answer_wait_ms));
        now_ms >= self.last_ask_ms + config.ask_gap_ms
    }

    pub(super) fn finished(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Says whether the home is to be asked again by now.
    ///
    /// Only new requests need a share, so that a host asks no more for an organisation
    /// whose requests merely go on.
    pub(super) fn ask_is_due(&self, now_ms: u64) -> bool {
        let arrived = self.demand.last_arrival_ms > self.last_ask_ms;
        let needed = arrived || self.confirms || !self.waiting.is_empty();
        needed && now_ms >= self.next_ask_ms
    }

    /// Makes the next question to the home.
    pub(super) fn ask(
        &mut self,
        config: &Config,
        organisation: &OrganisationName,
        started_ms: u64,
        now_ms: u64,
    ) -> Ask {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.asked.push_back((sequence, now_ms));
        if self.asked.len() > ASKED_MAX {
            self.asked.pop_front();
        }
        self.last_ask_ms = now_ms;
        self.confirms = false;
        // N.B. a host that does not yet know itself to be home gives no answer.
        self.next_ask_ms = match self.waiting.is_empty() {
            true => now_ms + config.renew_ms,
            false => now_ms + config.waiting_ask_ms,
        };
        Ask {
            organisation: organisation.clone(),
            started_ms,
            sequence,
            holds_sequence: self.answered,
            held: self.held(organisation, now_ms),
            wanted: self.wanted(now_ms),
            waiting: self.waiting.len() as u32,
        }
    }

    /// Forgets the questions that were asked when the home has changed: a late answer of
    /// the earlier home would rest on a right that may have ended.
    pub(super) fn forget_asked(&mut self) {
        self.asked.clear();
        self.next_ask_ms = 0;
        self.last_ask_ms = 0;
    }

    /// Takes the home's answer.
    pub(super) fn take_grant(
        &mut self,
        config: &Config,
        now_ms: u64,
        grant: &Grant,
        effects: &mut Vec<Effect>,
    ) {
        let asked = self
            .asked
            .iter()
            .find(|(sequence, _)| *sequence == grant.sequence);
        let Some(&(sequence, asked_ms)) = asked else {
            return;
        };
        // N.B. The term runs from the question, which was sent before the home counted
        // its own term: the home's always ends later.
        let expires_ms = asked_ms + grant.term_ms;
        if sequence <= self.answered || now_ms >= expires_ms {
            return;
        }
        self.refill(config, now_ms);
        let before = self.usable(now_ms);
        self.answered = sequence;
        self.share = grant.share;
        self.expires_ms = expires_ms;
        self.asked.retain(|(other, _)| *other > sequence);
        self.tokens_millirequests += grant.tokens_millirequests;
        self.cap_tokens(config);
        if before.saturating_sub(grant.share) != Share::NONE {
            // N.B. The home can't lend out what this host gave up before it hears so.
            self.confirms = true;
            self.next_ask_ms = now_ms + config.ask_gap_ms;
        }
        self.admit_waiting(now_ms, effects);
        if grant.is_early && config.is_lenient {
            self.expire_waiting(config, u64::MAX, effects);
        } else if grant.is_early {
            self.next_ask_ms = now_ms + config.waiting_ask_ms;
        } else {
            self.deny_waiting(config, now_ms, effects);
        }
    }

    /// Refuses those that have waited for an answer for too long.
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
                effects.push(Effect::Admitted { request });
            } else {
                effects.push(self.refusal(now_ms, request));
            }
        }
    }

    fn admit_waiting(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        while let Some(&(request, _)) = self.waiting.front() {
            if !self.take(now_ms) {
                return;
            }
            self.waiting.pop_front();
            effects.push(Effect::Admitted { request });
        }
    }

    /// Refuses those for whom the home's answer has no room.
    fn deny_waiting(&mut self, config: &Config, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.waiting.is_empty() {
            return;
        }
        self.denied_until_ms = now_ms + config.denied_ms;
        while let Some((request, _)) = self.waiting.pop_front() {
            effects.push(self.refusal(now_ms, request));
        }
    }

    fn take(&mut self, now_ms: u64) -> bool {
        let usable = self.usable(now_ms);
        if self.in_use >= usable.concurrent || self.tokens_millirequests < REQUEST {
            return false;
        }
        self.tokens_millirequests -= REQUEST;
        self.in_use += 1;
        true
    }

    fn refusal(&self, now_ms: u64, request: RequestId) -> Effect {
        let usable = self.usable(now_ms);
        let missing = REQUEST.saturating_sub(self.tokens_millirequests);
        let retry_after_ms = match usable.millirequests_per_s {
            0 => RETRY_AFTER_MS,
            _ if self.in_use >= usable.concurrent => RETRY_AFTER_MS,
            rate => (missing * 1_000).div_ceil(rate).max(1),
        };
        Effect::Refused {
            request,
            retry_after_ms,
        }
    }

    /// Adds the tokens of the time since the last call; an ended share brings none.
    fn refill(&mut self, config: &Config, now_ms: u64) {
        let until_ms = now_ms.min(self.expires_ms);
        let elapsed_ms = until_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms.max(self.refilled_ms);
        self.tokens_millirequests += self.share.millirequests_per_s * elapsed_ms / 1_000;
        self.cap_tokens(config);
    }

    fn cap_tokens(&mut self, config: &Config) {
        let burst = self.share.millirequests_per_s * config.burst_ms / 1_000;
        self.tokens_millirequests = self.tokens_millirequests.min(burst.max(REQUEST));
    }

    /// Estimates what could be used, with some room to grow.
    fn wanted(&mut self, now_ms: u64) -> Share {
        let waiting = self.waiting.len() as u32;
        let rate = self.demand.rate(now_ms).max(u64::from(waiting) * REQUEST);
        let peak = self.demand.peak().max(self.in_use + waiting);
        Share {
            millirequests_per_s: rate + rate / 4,
            concurrent: peak + peak / 4 + 1,
        }
    }
}

impl Demand {
    /// Time over which arrivals are counted.
    const WINDOW_MS: u64 = 2_000;

    fn new(now_ms: u64) -> Self {
        Demand {
            window_ms: now_ms,
            arrivals: 0,
            millirequests_per_s: 0,
            peak: 0,
            last_peak: 0,
            last_arrival_ms: now_ms,
        }
    }

    fn arrived(&mut self, now_ms: u64, in_progress: u32) {
        self.roll(now_ms);
        self.arrivals += 1;
        self.peak = self.peak.max(in_progress);
        self.last_arrival_ms = now_ms;
    }

    fn rate(&mut self, now_ms: u64) -> u64 {
        self.roll(now_ms);
        let current = self.arrivals * 1_000_000 / Self::WINDOW_MS;
        self.millirequests_per_s.max(current)
    }

    fn peak(&self) -> u32 {
        self.peak.max(self.last_peak)
    }

    fn roll(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_ms);
        if elapsed_ms < Self::WINDOW_MS {
            return;
        }
        self.millirequests_per_s = self.arrivals * 1_000_000 / elapsed_ms;
        self.last_peak = self.peak;
        self.window_ms = now_ms;
        self.arrivals = 0;
        self.peak = 0;
    }
}
