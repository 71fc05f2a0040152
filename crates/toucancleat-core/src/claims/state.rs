//! The state of the claims reducer of one entry host.

use std::collections::{HashMap, VecDeque};

use indexmap::IndexMap;

use super::claim::{Claim, Intent, Step};
use super::message::{ClaimRequest, Effect, RefusalReason};
use super::row::{Row, TokenSource};
use crate::prelude::*;

/// Limits and timeouts of the claims of one entry host.
#[derive(Clone, Debug)]
pub struct Config {
    /// Maximum number of rows in one transaction.
    pub batch_max: usize,
    /// Maximum number of transactions in flight; further writes are queued and batched.
    pub transactions_in_flight_max: usize,
    /// Maximum number of claims in memory; further requests are refused.
    pub claims_max: usize,
    /// Maximum time that a request waits for its claim.
    pub claim_timeout_ms: u64,
    /// Pause before a release, finish or upload is retried.
    pub retry_ms: u64,
    /// Retry time given to refused callers and assumed for the table when it gave none.
    pub retry_after_ms: u64,
    /// Maximum size of an answer that is stored in the row.
    pub inline_answer_max_bytes: usize,
    /// Maximum total size of answers that aren't yet in the object store; beyond it an
    /// answer is discarded, and a request that repeats its key receives only the verdict
    /// that the request ran.
    pub unstored_max_bytes: usize,
}

/// The state of the claims of one entry host.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) config: Config,
    pub(super) claims: IndexMap<RequestId, Claim>,
    pub(super) request_by_row: HashMap<String, RequestId>,
    pub(super) queue: VecDeque<RequestId>,
    pub(super) transactions: IndexMap<u64, Vec<(RequestId, Intent)>>,
    pub(super) reads: IndexMap<u64, Vec<RequestId>>,
    pub(super) last_number: u64,
    /// Time before which requests are refused and no transaction is sent.
    pub(super) table_unavailable_until_ms: u64,
    tokens: TokenSource,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            batch_max: 64,
            transactions_in_flight_max: 2,
            claims_max: 16_384,
            claim_timeout_ms: 1_000,
            retry_ms: 500,
            retry_after_ms: 1_000,
            inline_answer_max_bytes: 16_384,
            unstored_max_bytes: 33_554_432,
        }
    }
}

impl State {
    /// Creates the state of an entry host that has just started.
    ///
    /// The seed has to be random: tokens distinguish this host's rows from those of every
    /// other host and of its own earlier incarnations.
    pub fn new(
        config: Config,
        host: &HostName,
        incarnation: Incarnation,
        seed: u128,
    ) -> Self {
        State {
            config,
            claims: IndexMap::new(),
            request_by_row: HashMap::new(),
            queue: VecDeque::new(),
            transactions: IndexMap::new(),
            reads: IndexMap::new(),
            last_number: 0,
            table_unavailable_until_ms: 0,
            tokens: TokenSource::new(host, incarnation, seed),
        }
    }

    /// Returns the number of claims in memory; a planned stop waits until it is zero.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns true if no claim is in memory.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    pub(super) fn begin(
        &mut self,
        now_ms: u64,
        claim_request: ClaimRequest,
        effects: &mut Vec<Effect>,
    ) {
        let row = Row::name(&claim_request.organisation, &claim_request.key);
        if let Some(effect) = self.answer_without_table(now_ms, &claim_request, &row) {
            effects.push(effect);
            return;
        }
        let request = claim_request.request;
        let claim = Claim {
            request,
            row: row.clone(),
            token: self.tokens.next_token(),
            body_sha256: claim_request.body_sha256,
            expires_unix_ms: claim_request.expires_unix_ms,
            intent: Intent::Claim,
            step: Step::Queued,
            version: None,
            may_be_written: false,
            is_dispatched: false,
            deadline_ms: now_ms + self.config.claim_timeout_ms,
            answer: None,
            unstored_body: None,
        };
        self.claims.insert(request, claim);
        self.request_by_row.insert(row, request);
        self.queue.push_back(request);
    }

    /// Returns the refusal or replay of a request that can be answered without the table.
    fn answer_without_table(
        &self,
        now_ms: u64,
        claim_request: &ClaimRequest,
        row: &str,
    ) -> Option<Effect> {
        let request = claim_request.request;
        if claim_request.now_unix_ms >= claim_request.expires_unix_ms {
            return Some(refuse(
                request,
                Verdict::NotRun,
                RefusalReason::KeyExpired,
                None,
            ));
        }
        if let Some(existing) = self
            .request_by_row
            .get(row)
            .and_then(|id| self.claims.get(id))
        {
            return Some(self.answer_repeat(existing, claim_request));
        }
        let retry_after_ms = Some(self.config.retry_after_ms);
        if self.claims.len() >= self.config.claims_max {
            let reason = RefusalReason::TooManyClaims;
            return Some(refuse(request, Verdict::NotRun, reason, retry_after_ms));
        }
        let unavailable_ms = self.table_unavailable_until_ms.saturating_sub(now_ms);
        let reason = RefusalReason::TableUnavailable;
        (unavailable_ms > 0)
            .then(|| refuse(request, Verdict::NotRun, reason, Some(unavailable_ms)))
    }

    /// Answers a request whose key this host already has a claim of.
    fn answer_repeat(&self, existing: &Claim, claim_request: &ClaimRequest) -> Effect {
        let request = claim_request.request;
        let retry_after_ms = Some(self.config.retry_after_ms);
        if existing.body_sha256 != claim_request.body_sha256 {
            let reason = RefusalReason::KeyUsedWithOtherBody;
            return refuse(request, Verdict::NotRun, reason, None);
        }
        if let Some(answer) = existing.replayable_answer() {
            return Effect::Replay {
                request,
                answer: answer.clone(),
            };
        }
        if existing.intent == Intent::Release {
            let reason = RefusalReason::KeyBeingReleased;
            return refuse(request, Verdict::NotRun, reason, retry_after_ms);
        }
        refuse(
            request,
            Verdict::MayHaveRun,
            RefusalReason::KeyInUse,
            retry_after_ms,
        )
    }

    /// Refuses a request that doesn't own its key, and releases a row that it may have
    /// written.
    pub(super) fn refuse_unclaimed(
        &mut self,
        request: RequestId,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let retry_after_ms = retry_after_ms.unwrap_or(self.config.retry_after_ms);
        let reason = RefusalReason::TableUnavailable;
        effects.push(refuse(
            request,
            Verdict::NotRun,
            reason,
            Some(retry_after_ms),
        ));
        self.release(request);
    }

    /// Starts the release of the row, or removes a claim that was never written.
    pub(super) fn release(&mut self, request: RequestId) {
        let Some(claim) = self.claims.get_mut(&request) else {
            return;
        };
        let unwritten =
            matches!(claim.step, Step::Queued | Step::Idle | Step::Waiting { .. })
                && claim.version.is_none()
                && !claim.may_be_written;
        claim.intent = Intent::Release;
        if unwritten {
            self.remove(request);
        } else {
            self.queue_if_ready(request);
        }
    }

    /// Queues the claim's next write unless none is due or the answer's object has to be
    /// stored first.
    pub(super) fn queue_if_ready(&mut self, request: RequestId) {
        let Some(claim) = self.claims.get_mut(&request) else {
            return;
        };
        if claim.unstored_body.is_some() || claim.intent == Intent::Hold {
            return;
        }
        if matches!(claim.step, Step::Idle | Step::Waiting { .. }) {
            claim.step = Step::Queued;
            self.queue.push_back(request);
        }
    }

    pub(super) fn remove(&mut self, request: RequestId) {
        if let Some(claim) = self.claims.swap_remove(&request) {
            self.request_by_row.remove(&claim.row);
        }
    }

    /// Returns the requests whose claim has passed its deadline.
    pub(super) fn overdue_requests(&self, now_ms: u64) -> Vec<RequestId> {
        let overdue =
            |claim: &&Claim| claim.intent == Intent::Claim && claim.deadline_ms <= now_ms;
        self.claims
            .values()
            .filter(overdue)
            .map(|claim| claim.request)
            .collect()
    }

    /// Returns the requests whose retry pause has ended.
    pub(super) fn retries_due(&self, now_ms: u64) -> Vec<RequestId> {
        let due = |claim: &&Claim| matches!(claim.step, Step::Waiting { until_ms } if until_ms <= now_ms);
        self.claims
            .values()
            .filter(due)
            .map(|claim| claim.request)
            .collect()
    }

    pub(super) fn put_object(&self, request: RequestId, effects: &mut Vec<Effect>) {
        if let Some(claim) = self.claims.get(&request) {
            claim.put_object(effects);
        }
    }

    pub(super) fn discard_answer(&mut self, request: RequestId) {
        if let Some(claim) = self.claims.get_mut(&request) {
            claim.discard_answer();
        }
    }

    /// Returns the total size of the answers that aren't yet in the object store.
    pub(super) fn unstored_bytes(&self) -> usize {
        let bodies = self
            .claims
            .values()
            .filter_map(|claim| claim.unstored_body.as_ref());
        bodies.map(Vec::len).sum()
    }

    pub(super) fn allocate_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

pub(super) fn refuse(
    request: RequestId,
    verdict: Verdict,
    reason: RefusalReason,
    retry_after_ms: Option<u64>,
) -> Effect {
    Effect::Refuse {
        request,
        verdict,
        reason,
        retry_after_ms,
    }
}
