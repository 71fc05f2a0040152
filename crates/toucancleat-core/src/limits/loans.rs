//! Loans of an organisation's limits from zone to zone.
//!
//! The lender subtracts a loan from its own capacity before it sends the grant, and adds
//! it back only after the borrower's term has ended by the clocks of both.

use super::{Config, Share};
use crate::prelude::*;

/// Most loans in each direction for one organisation.
const LOANS_MAX: usize = 16;

/// The loans of one organisation at its home.
#[derive(Debug, Default)]
pub(super) struct Loans {
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
    pending_requests: Vec<PendingLoanRequest>,
    next_request_ms: u64,
}

#[derive(Clone, Debug)]
struct Loan {
    id: u64,
    zone: ZoneName,
    share: Share,
    expires_ms: u64,
}

#[derive(Clone, Debug)]
struct PendingLoanRequest {
    loan_id: u64,
    sequence: u64,
    sent_ms: u64,
}

impl Loans {
    /// Returns the share that other zones may be using.
    pub(super) fn lent(&self, config: &Config, now_ms: u64) -> Share {
        let rate = self.lent.iter().filter(|loan| now_ms < loan.expires_ms);
        // N.B. Requests that the borrower admitted before the end may run for as long as
        // the longest request.
        let drain_end_ms =
            |loan: &&Loan| loan.expires_ms + config.max_request_duration_ms;
        let concurrent = self.lent.iter().filter(|loan| now_ms < drain_end_ms(loan));
        Share {
            millirequests_per_s: rate.map(|loan| loan.share.millirequests_per_s).sum(),
            concurrent: concurrent.map(|loan| loan.share.concurrent).sum(),
        }
    }

    /// Returns the share that is borrowed until `until_ms` or longer.
    pub(super) fn borrowed(&self, until_ms: u64) -> Share {
        let lasting = self
            .borrowed
            .iter()
            .filter(|loan| loan.expires_ms >= until_ms);
        lasting.map(|loan| loan.share).sum()
    }

    /// Makes or renews a loan. Returns its share, or `None` if there is nothing to lend,
    /// too many loans are open or the loan to renew has expired.
    pub(super) fn lend(
        &mut self,
        config: &Config,
        now_ms: u64,
        id: u64,
        zone: &ZoneName,
        offer: Share,
    ) -> Option<Share> {
        let expires_ms = now_ms + config.loan_term_ms + config.margin_ms;
        if let Some(known) = self.lent.iter_mut().find(|known| known.id == id) {
            // N.B. An expired loan can't be renewed, since its share may be in use here.
            if now_ms >= known.expires_ms {
                return None;
            }
            known.expires_ms = expires_ms;
            return Some(known.share);
        }
        if offer == Share::NONE || self.lent.len() >= LOANS_MAX {
            return None;
        }
        let zone = zone.clone();
        self.lent.push(Loan {
            id,
            zone,
            share: offer,
            expires_ms,
        });
        Some(offer)
    }

    /// Returns true if the loan is known, even if it has expired.
    pub(super) fn is_lent(&self, id: u64) -> bool {
        self.lent.iter().any(|known| known.id == id)
    }

    /// Records a loan request to another zone, so that its grant is accepted.
    pub(super) fn record_request(
        &mut self,
        config: &Config,
        now_ms: u64,
        loan_id: u64,
        sequence: u64,
    ) {
        self.pending_requests
            .retain(|pending| now_ms < pending.sent_ms + config.loan_term_ms);
        self.pending_requests.push(PendingLoanRequest {
            loan_id,
            sequence,
            sent_ms: now_ms,
        });
        if self.pending_requests.len() > LOANS_MAX {
            self.pending_requests.remove(0);
        }
    }

    /// Applies a grant if its loan request is known.
    pub(super) fn apply_grant(
        &mut self,
        id: u64,
        sequence: u64,
        zone: &ZoneName,
        share: Share,
        term_ms: u64,
    ) {
        let pending = self
            .pending_requests
            .iter()
            .find(|pending| pending.loan_id == id && pending.sequence == sequence);
        let Some(pending) = pending else {
            return;
        };
        let expires_ms = pending.sent_ms + term_ms;
        if let Some(known) = self.borrowed.iter_mut().find(|known| known.id == id) {
            known.expires_ms = known.expires_ms.max(expires_ms);
        } else if self.borrowed.len() < LOANS_MAX {
            self.borrowed.push(Loan {
                id,
                zone: zone.clone(),
                share,
                expires_ms,
            });
        }
    }

    /// Returns true if a loan may be requested now, and if so starts the interval to the
    /// next loan request.
    pub(super) fn try_start_request(&mut self, config: &Config, now_ms: u64) -> bool {
        let may_request =
            now_ms >= self.next_request_ms && self.borrowed.len() < LOANS_MAX;
        if may_request {
            self.next_request_ms = now_ms + config.loan_request_interval_ms;
        }
        may_request
    }

    /// Returns the borrowed loans to renew now: those that expire within half a term.
    pub(super) fn due_renewals(
        &mut self,
        config: &Config,
        now_ms: u64,
    ) -> Vec<(u64, ZoneName, Share)> {
        let half_term_ms = config.loan_term_ms / 2;
        let is_due = |loan: &&Loan| loan.expires_ms < now_ms + half_term_ms;
        let current = self.borrowed.iter().filter(|loan| now_ms < loan.expires_ms);
        current
            .filter(is_due)
            .map(|loan| (loan.id, loan.zone.clone(), loan.share))
            .collect()
    }

    pub(super) fn remove_expired(&mut self, config: &Config, now_ms: u64) {
        self.borrowed.retain(|loan| now_ms < loan.expires_ms);
        self.lent
            .retain(|loan| now_ms < loan.expires_ms + config.max_request_duration_ms);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty()
    }
}
