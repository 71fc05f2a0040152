//! The claims of one entry host.

use std::collections::{HashMap, VecDeque};

use indexmap::IndexMap;

use super::claim::{Claim, Step, Want};
use super::message::{Begin, Effect, RefuseReason};
use super::row::{Row, TokenSource};
use crate::prelude::*;

/// Bounds of the claims of one entry host.
#[derive(Clone, Debug)]
pub struct Config {
    /// Most rows in one transaction.
    pub batch_max: usize,
    /// Most transactions in flight at once; claims gather while none is free.
    pub transacts_in_flight_max: usize,
    /// Most claims known at once; a further request is refused.
    pub claims_max: usize,
    /// Longest time that a request waits for its claim.
    pub claim_timeout_ms: u64,
    /// Pause before a release, finish or upload is tried again.
    pub retry_ms: u64,
    /// Time to come back that a refused caller is told when the table gave none.
    pub retry_after_ms: u64,
    /// Largest answer that is kept in the row.
    pub inline_answer_max_bytes: usize,
    /// Most bytes of answers that wait for the object store; beyond it an answer isn't
    /// kept, and a repeat of its key learns only that the request ran.
    pub unstored_max_bytes: usize,
}

/// The claims of one entry host.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) config: Config,
    pub(super) claims: IndexMap<RequestId, Claim>,
    pub(super) by_row: HashMap<String, RequestId>,
    pub(super) queue: VecDeque<RequestId>,
    pub(super) transacts: IndexMap<u64, Vec<(RequestId, Want)>>,
    pub(super) reads: IndexMap<u64, Vec<RequestId>>,
    pub(super) next_number: u64,
    /// Until then requests are refused without asking the table.
    pub(super) table_away_until_ms: u64,
    tokens: TokenSource,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            batch_max: 64,
            transacts_in_flight_max: 2,
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
    /// Makes the claims of an entry host that has just started.
    ///
    /// The seed has to be random: tokens tell this host's rows from those of every other
    /// host and of its own earlier incarnations.
    pub fn new(
        config: Config,
        host: &HostName,
        incarnation: Incarnation,
        seed: u128,
    ) -> Self {
        State {
            config,
            claims: IndexMap::new(),
            by_row: HashMap::new(),
            queue: VecDeque::new(),
            transacts: IndexMap::new(),
            reads: IndexMap::new(),
            next_number: 0,
            table_away_until_ms: 0,
            tokens: TokenSource::new(host, incarnation, seed),
        }
    }

    /// Returns how many claims are known; a planned stop waits for none to be left.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Says whether no claim is known.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    pub(super) fn begin(&mut self, now_ms: u64, begin: Begin, effects: &mut Vec<Effect>) {
        let row = Row::name(&begin.organisation, &begin.key);
        if let Some(effect) = self.refuse_early(now_ms, &begin, &row) {
            effects.push(effect);
            return;
        }
        let request = begin.request;
        let claim = Claim {
            request,
            row: row.clone(),
            token: self.tokens.fresh(),
            body_sha256: begin.body_sha256,
            expires_unix_ms: begin.expires_unix_ms,
            want: Want::Claim,
            step: Step::Queued,
            version: None,
            may_be_written: false,
            dispatched: false,
            deadline_ms: now_ms + self.config.claim_timeout_ms,
            answer: None,
            object_body: None,
        };
        self.claims.insert(request, claim);
        self.by_row.insert(row, request);
        self.queue.push_back(request);
    }

    /// Decides what needs no question to the table.
    fn refuse_early(&self, now_ms: u64, begin: &Begin, row: &str) -> Option<Effect> {
        let request = begin.request;
        if begin.now_unix_ms >= begin.expires_unix_ms {
            return Some(refuse(
                request,
                Verdict::NotRun,
                RefuseReason::KeyExpired,
                None,
            ));
        }
        if let Some(known) = self.by_row.get(row).and_then(|id| self.claims.get(id)) {
            return Some(self.repeat_of(known, begin));
        }
        let retry_after_ms = Some(self.config.retry_after_ms);
        if self.claims.len() >= self.config.claims_max {
            let reason = RefuseReason::TooManyClaims;
            return Some(refuse(request, Verdict::NotRun, reason, retry_after_ms));
        }
        let away_ms = self.table_away_until_ms.saturating_sub(now_ms);
        let reason = RefuseReason::TableUnavailable;
        (away_ms > 0).then(|| refuse(request, Verdict::NotRun, reason, Some(away_ms)))
    }

    /// Answers a request whose key this very host is handling.
    fn repeat_of(&self, known: &Claim, begin: &Begin) -> Effect {
        let request = begin.request;
        let retry_after_ms = Some(self.config.retry_after_ms);
        if known.body_sha256 != begin.body_sha256 {
            let reason = RefuseReason::KeyUsedWithOtherBody;
            return refuse(request, Verdict::NotRun, reason, None);
        }
        if let Some(answer) = known.answer_at_hand() {
            return Effect::Replay {
                request,
                answer: answer.clone(),
            };
        }
        if known.want == Want::Release {
            let reason = RefuseReason::KeyBeingReleased;
            return refuse(request, Verdict::NotRun, reason, retry_after_ms);
        }
        refuse(
            request,
            Verdict::MayHaveRun,
            RefuseReason::KeyInUse,
            retry_after_ms,
        )
    }

    /// Refuses a request that holds no claim, and releases what it may have written.
    pub(super) fn refuse_unclaimed(
        &mut self,
        request: RequestId,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let retry_after_ms = retry_after_ms.unwrap_or(self.config.retry_after_ms);
        let reason = RefuseReason::TableUnavailable;
        effects.push(refuse(
            request,
            Verdict::NotRun,
            reason,
            Some(retry_after_ms),
        ));
        self.release(request);
    }

    /// Has the row released, or forgets a claim that was never written.
    pub(super) fn release(&mut self, request: RequestId) {
        let Some(claim) = self.claims.get_mut(&request) else {
            return;
        };
        let unwritten =
            matches!(claim.step, Step::Queued | Step::Idle | Step::Waiting { .. })
                && claim.version.is_none()
                && !claim.may_be_written;
        claim.want = Want::Release;
        if unwritten {
            self.forget(request);
        } else {
            self.queue_if_ready(request);
        }
    }

    /// Queues the claim's next write unless something else has to come first.
    pub(super) fn queue_if_ready(&mut self, request: RequestId) {
        let Some(claim) = self.claims.get_mut(&request) else {
            return;
        };
        if claim.object_body.is_some() || claim.want == Want::Hold {
            return;
        }
        if matches!(claim.step, Step::Idle | Step::Waiting { .. }) {
            claim.step = Step::Queued;
            self.queue.push_back(request);
        }
    }

    pub(super) fn forget(&mut self, request: RequestId) {
        if let Some(claim) = self.claims.swap_remove(&request) {
            self.by_row.remove(&claim.row);
        }
    }

    /// Returns the requests that have waited too long for their claim.
    pub(super) fn overdue(&self, now_ms: u64) -> Vec<RequestId> {
        let overdue =
            |claim: &&Claim| claim.want == Want::Claim && claim.deadline_ms <= now_ms;
        self.claims
            .values()
            .filter(overdue)
            .map(|claim| claim.request)
            .collect()
    }

    /// Returns the claims whose pause has ended.
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

    pub(super) fn drop_answer(&mut self, request: RequestId) {
        if let Some(claim) = self.claims.get_mut(&request) {
            claim.drop_answer();
        }
    }

    /// Returns the size of the answers that wait for the object store.
    pub(super) fn unstored_bytes(&self) -> usize {
        let bodies = self
            .claims
            .values()
            .filter_map(|claim| claim.object_body.as_ref());
        bodies.map(Vec::len).sum()
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}

pub(super) fn refuse(
    request: RequestId,
    verdict: Verdict,
    reason: RefuseReason,
    retry_after_ms: Option<u64>,
) -> Effect {
    Effect::Refuse {
        request,
        verdict,
        reason,
        retry_after_ms,
    }
}
