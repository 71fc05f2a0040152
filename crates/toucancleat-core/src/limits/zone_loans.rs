//! Loan requests and grants between the homes of an organisation in two zones.

use super::{Effect, LoanGrant, LoanRequest, Message, Share, State};
use crate::prelude::*;

/// Most times that a loan request or grant is forwarded within a zone.
const HOPS_MAX: u8 = 2;

impl State {
    /// Requests a loan from another zone, chosen at random.
    pub(super) fn request_loan(
        &mut self,
        now_ms: u64,
        organisation: &OrganisationName,
        wanted: Share,
        effects: &mut Vec<Effect>,
    ) {
        let other_zones: Vec<ZoneName> = self
            .settings
            .zones
            .iter()
            .filter(|zone| **zone != self.zone)
            .cloned()
            .collect();
        if other_zones.is_empty()
            || !self.accounts[organisation]
                .loans
                .try_start_request(&self.config, now_ms)
        {
            return;
        }
        let lender = other_zones[self.rng.below(other_zones.len())].clone();
        let loan = self.rng.next_u64();
        self.send_loan_request(now_ms, organisation, loan, lender, wanted, effects);
    }

    pub(super) fn renew_loans(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let mut due = Vec::new();
        for (organisation, account) in &mut self.accounts {
            let wanted = account.ledger.wanted(now_ms);
            let zone_share = self.settings.zone_share(&self.zone, organisation);
            if wanted.saturating_sub(zone_share) == Share::NONE
                || !account.loans.try_start_request(&self.config, now_ms)
            {
                continue;
            }
            for (loan, lender, share) in account.loans.due_renewals(&self.config, now_ms)
            {
                due.push((organisation.clone(), loan, lender, share));
            }
        }
        for (organisation, loan, lender, share) in due {
            self.send_loan_request(now_ms, &organisation, loan, lender, share, effects);
        }
    }

    fn send_loan_request(
        &mut self,
        now_ms: u64,
        organisation: &OrganisationName,
        loan: u64,
        lender: ZoneName,
        wanted: Share,
        effects: &mut Vec<Effect>,
    ) {
        let sequence = self.rng.next_u64();
        self.accounts[organisation].loans.record_request(
            &self.config,
            now_ms,
            loan,
            sequence,
        );
        let message = Message::LoanRequest(LoanRequest {
            organisation: organisation.clone(),
            borrower: self.zone.clone(),
            lender: lender.clone(),
            loan,
            sequence,
            wanted,
            hops: 0,
        });
        effects.push(Effect::SendZone {
            zone: lender,
            message,
        });
    }

    /// Lends to another zone, or forwards the loan request to the organisation's home.
    pub(super) fn handle_loan_request(
        &mut self,
        now_ms: u64,
        mut request: LoanRequest,
        effects: &mut Vec<Effect>,
    ) {
        if request.lender != self.zone
            || !self.settings.limits.contains_key(&request.organisation)
        {
            return;
        }
        if !self.is_home(&request.organisation) {
            request.hops += 1;
            let home = self.home_of(&request.organisation);
            if let Some(to) = home.filter(|_| request.hops <= HOPS_MAX) {
                effects.push(Effect::Send {
                    to,
                    message: Message::LoanRequest(request),
                });
            }
            return;
        }
        self.open_account(now_ms, &request.organisation);
        let capacity = self.capacity(now_ms, &request.organisation);
        let account = &mut self.accounts[&request.organisation];
        let wanted = account.ledger.wanted(now_ms);
        let committed = account.ledger.committed(&self.config, now_ms);
        let spare = capacity.hosts.saturating_sub(committed.max(wanted));
        if account.loans.is_lent(request.loan)
            && wanted.saturating_sub(capacity.hosts) != Share::NONE
        {
            return;
        }
        let offer = request.wanted.min(spare).min(capacity.zones);
        let lent = account.loans.lend(
            &self.config,
            now_ms,
            request.loan,
            &request.borrower,
            offer,
        );
        let Some(share) = lent else {
            return;
        };
        account.free_rate = account.free_rate.saturating_sub(share.millirequests_per_s);
        let message = Message::LoanGrant(LoanGrant {
            organisation: request.organisation,
            lender: request.lender,
            loan: request.loan,
            sequence: request.sequence,
            share,
            term_ms: self.config.loan_term_ms,
            hops: 0,
        });
        effects.push(Effect::SendZone {
            zone: request.borrower,
            message,
        });
    }

    /// Applies the grant of a loan, or forwards it to the organisation's home.
    pub(super) fn apply_loan_grant(
        &mut self,
        mut grant: LoanGrant,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_home(&grant.organisation) {
            grant.hops += 1;
            let home = self.home_of(&grant.organisation);
            if let Some(to) = home.filter(|_| grant.hops <= HOPS_MAX) {
                effects.push(Effect::Send {
                    to,
                    message: Message::LoanGrant(grant),
                });
            }
            return;
        }
        if let Some(account) = self.accounts.get_mut(&grant.organisation) {
            let LoanGrant {
                loan,
                sequence,
                lender,
                share,
                term_ms,
                ..
            } = &grant;
            account
                .loans
                .apply_grant(*loan, *sequence, lender, *share, *term_ms);
        }
    }
}
