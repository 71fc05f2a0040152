//! Loans of an organisation's limits from zone to zone.
//!
//! The lender takes a loan off its own pool before the borrower hears of it, and puts it
//! back only when the borrower's term has ended by both clocks.

use super::{Config, Share};
use crate::prelude::*;

/// Most loans in each direction for one organisation.
const LOANS_MAX: usize = 16;

/// The loans of one organisation at its home.
#[derive(Debug, Default)]
pub(super) struct Loans {
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
    asked: Vec<Asked>,
    next_ask_ms: u64,
}

#[derive(Clone, Debug)]
struct Loan {
    loan: u64,
    zone: ZoneName,
    share: Share,
    expires_ms: u64,
}

#[derive(Clone, Debug)]
struct Asked {
    loan: u64,
    sequence: u64,
    at_ms: u64,
}

impl Loans {
    /// Returns what other zones may be using.
    pub(super) fn lent(&self, config: &Config, now_ms: u64) -> Share {
        let rate = self.lent.iter().filter(|loan| now_ms < loan.expires_ms);
        // N.B. What the borrower began before the end may go on as long as an answer.
        let drained_ms = |loan: &&Loan| loan.expires_ms + config.longest_answer_ms;
        let concurrent = self.lent.iter().filter(|loan| now_ms < drained_ms(loan));
        Share {
            millirequests_per_s: rate.map(|loan| loan.share.millirequests_per_s).sum(),
            concurrent: concurrent.map(|loan| loan.share.concurrent).sum(),
        }
    }

    /// Returns what is borrowed until `until_ms` at least.
    pub(super) fn borrowed(&self, until_ms: u64) -> Share {
        let lasting = self
            .borrowed
            .iter()
            .filter(|loan| loan.expires_ms >= until_ms);
        lasting.map(|loan| loan.share).sum()
    }

    /// Makes or renews a loan; returns its share, or `None` when there is nothing to lend.
    pub(super) fn lend(
        &mut self,
        config: &Config,
        now_ms: u64,
        loan: u64,
        zone: &ZoneName,
        offer: Share,
    ) -> Option<Share> {
        let expires_ms = now_ms + config.loan_term_ms + config.margin_ms;
        if let Some(known) = self.lent.iter_mut().find(|known| known.loan == loan) {
            // N.B. One that has ended can't be renewed: its share may be in use here.
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
            loan,
            zone,
            share: offer,
            expires_ms,
        });
        Some(offer)
    }

    /// Says whether a loan was made before.
    pub(super) fn is_lent(&self, loan: u64) -> bool {
        self.lent.iter().any(|known| known.loan == loan)
    }

    /// Notes a question to another zone.
    pub(super) fn asked(
        &mut self,
        config: &Config,
        now_ms: u64,
        loan: u64,
        sequence: u64,
    ) {
        self.asked
            .retain(|asked| now_ms < asked.at_ms + config.loan_term_ms);
        self.asked.push(Asked {
            loan,
            sequence,
            at_ms: now_ms,
        });
        if self.asked.len() > LOANS_MAX {
            self.asked.remove(0);
        }
    }

    /// Takes the answer to a question.
    pub(super) fn take_grant(
        &mut self,
        loan: u64,
        sequence: u64,
        zone: &ZoneName,
        share: Share,
        term_ms: u64,
    ) {
        let asked = self
            .asked
            .iter()
            .find(|asked| asked.loan == loan && asked.sequence == sequence);
        let Some(asked) = asked else {
            return;
        };
        let expires_ms = asked.at_ms + term_ms;
        if let Some(known) = self.borrowed.iter_mut().find(|known| known.loan == loan) {
            known.expires_ms = known.expires_ms.max(expires_ms);
        } else if self.borrowed.len() < LOANS_MAX {
            self.borrowed.push(Loan {
                loan,
                zone: zone.clone(),
                share,
                expires_ms,
            });
        }
    }

    /// Says whether another zone may be asked by now, and notes that it is.
    pub(super) fn may_ask(&mut self, config: &Config, now_ms: u64) -> bool {
        let may = now_ms >= self.next_ask_ms && self.borrowed.len() < LOANS_MAX;
        if may {
            self.next_ask_ms = now_ms + config.loan_ask_interval_ms;
        }
        may
    }

    /// Returns the loans to renew now: those that end within half a term.
    pub(super) fn due_renewals(
        &mut self,
        config: &Config,
        now_ms: u64,
    ) -> Vec<(u64, ZoneName, Share)> {
        let half_ms = config.loan_term_ms / 2;
        let due = |loan: &&Loan| loan.expires_ms < now_ms + half_ms;
        let current = self.borrowed.iter().filter(|loan| now_ms < loan.expires_ms);
        current
            .filter(due)
            .map(|loan| (loan.loan, loan.zone.clone(), loan.share))
            .collect()
    }

    pub(super) fn forget(&mut self, config: &Config, now_ms: u64) {
        self.borrowed.retain(|loan| now_ms < loan.expires_ms);
        self.lent
            .retain(|loan| now_ms < loan.expires_ms + config.longest_answer_ms);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty()
    }
}
