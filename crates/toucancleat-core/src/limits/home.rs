//! The home's side of the limits: accounts of organisations and grants of shares to
//! hosts.

use super::ledger::Ledger;
use super::loans::Loans;
use super::share::max_min_share;
use super::{Config, Effect, HeldShare, Share, ShareGrant, ShareRequest, State};
use crate::homes::HomeKey;
use crate::prelude::*;
use crate::rng::stable_hash;

/// One organisation's account at its home.
#[derive(Debug, Default)]
pub(super) struct Account {
    pub ledger: Ledger,
    pub loans: Loans,
    /// Time since which this host has been the home without a gap.
    since_ms: u64,
    /// Whether every host has reported what it holds since then.
    is_fully_reported: bool,
    tokens_millirequests: u64,
    /// Whether the token bucket was filled once, which happens as soon as the home is
    /// settled.
    has_initial_burst: bool,
    accrued_ms: u64,
    /// The rate that no host held when tokens were last taken, less what was lent to
    /// zones since.
    pub free_rate: u64,
    last_share_request_ms: u64,
}

/// The shares that a home may grant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// Share for all hosts together, including what is granted already.
    pub hosts: Share,
    /// Share for loans to other zones, in addition to what is lent already.
    pub zones: Share,
    /// Whether the home may refuse requests for lack of capacity: it has waited long
    /// enough, or every host has reported.
    is_settled: bool,
}

impl State {
    /// Grants a share in reply to a host's share request. Returns `None` if this host
    /// isn't the home, the organisation has no limits, or the share request is old or
    /// releases a share.
    pub(super) fn grant_share(
        &mut self,
        now_ms: u64,
        from: &HostName,
        request: &ShareRequest,
        effects: &mut Vec<Effect>,
    ) -> Option<ShareGrant> {
        let organisation = &request.organisation;
        if !self.is_home(organisation) || !self.settings.limits.contains_key(organisation)
        {
            return None;
        }
        self.open_account(now_ms, organisation);
        let config = self.config.clone();
        if !self.accounts[organisation]
            .ledger
            .apply_share_request(&config, now_ms, from, request)
        {
            return None;
        }
        if request.wanted == Share::NONE {
            return None;
        }
        let capacity = self.capacity(now_ms, organisation);
        let account = &mut self.accounts[organisation];
        account.last_share_request_ms = now_ms;
        account.accrue_tokens(&config, now_ms, capacity);
        let share = account.fair_share_of(&config, now_ms, from, capacity);
        account
            .ledger
            .record_lease(&config, now_ms, from, request.sequence, share);
        let tokens = account.take_tokens(&config, now_ms, request.waiting, capacity);
        let wanted = account.ledger.wanted(now_ms);
        if wanted.saturating_sub(capacity.hosts) != Share::NONE {
            self.request_loan(
                now_ms,
                organisation,
                wanted.saturating_sub(capacity.hosts),
                effects,
            );
        }
        Some(ShareGrant {
            organisation: organisation.clone(),
            sequence: request.sequence,
            share,
            term_ms: config.term_ms,
            tokens_millirequests: tokens,
            is_unsettled: !capacity.is_settled,
        })
    }

    /// Applies a host's report of the shares that it holds of this home's organisations,
    /// and of the organisations whose home it is and whose successor is this host.
    pub(super) fn apply_holdings(
        &mut self,
        now_ms: u64,
        from: &HostName,
        view: u64,
        started_ms: u64,
        held: &[HeldShare],
    ) {
        if view != self.view {
            return;
        }
        let config = self.config.clone();
        for held in held {
            let organisation = &held.organisation;
            if self.is_home(organisation) {
                self.open_account(now_ms, organisation);
                let ledger = &mut self.accounts[organisation].ledger;
                ledger.apply_held(&config, now_ms, from, started_ms, held);
            } else if self.is_successor_to(from, organisation) {
                let ledger = self
                    .witnessed_ledgers
                    .entry(organisation.clone())
                    .or_default();
                ledger.apply_held(&config, now_ms, from, started_ms, held);
            }
        }
        self.authority.record_report(from);
    }

    pub(super) fn remove_idle_accounts(&mut self, now_ms: u64) {
        let config = &self.config;
        let has_no_missing_hosts = self.authority.has_no_missing_hosts();
        let present_hosts = &self.present_hosts;
        let has_ended =
            |name: &HostName| has_no_missing_hosts && !present_hosts.contains(name);
        self.witnessed_ledgers.retain(|_, ledger| {
            ledger.remove_expired(config, now_ms, has_ended);
            !ledger.is_empty()
        });
        self.accounts.retain(|_, account| {
            account.ledger.remove_expired(config, now_ms, has_ended);
            account.loans.remove_expired(config, now_ms);
            // N.B. An account that is removed and created again starts with a full token
            // bucket, so it must have been idle for as long as filling the bucket takes.
            let is_idle = now_ms
                >= account.last_share_request_ms
                    + config.account_idle_ms.max(config.burst_ms);
            !(is_idle && account.ledger.is_empty() && account.loans.is_empty())
        });
    }

    pub(super) fn open_account(&mut self, now_ms: u64, organisation: &OrganisationName) {
        if self.accounts.contains_key(organisation) {
            return;
        }
        let key = HomeKey::Organisation(organisation.clone());
        let since_ms = self.authority.home_since_ms(&key, &self.own);
        let mut account = Account {
            since_ms,
            accrued_ms: now_ms,
            last_share_request_ms: now_ms,
            ..Account::default()
        };
        if let Some(holding) = self.holdings.get(organisation) {
            let held = holding.held(organisation, now_ms);
            account.ledger.apply_held(
                &self.config,
                now_ms,
                &self.own,
                self.started_ms,
                &held,
            );
        }
        self.accounts.insert(organisation.clone(), account);
    }

    /// Returns the shares that this host may grant now as the home of an organisation.
    pub(super) fn capacity(
        &mut self,
        now_ms: u64,
        organisation: &OrganisationName,
    ) -> Capacity {
        let config = &self.config;
        let account = &mut self.accounts[organisation];
        account.is_fully_reported |= self
            .authority
            .has_all_reports_since(now_ms, account.since_ms);
        let zone_share = self.settings.zone_share(&self.zone, organisation);
        let (live, possible) = self.authority.live_and_possible_hosts();
        let base = zone_share.scaled(live, possible);
        let lendable = zone_share.scaled(1, config.lendable_divisor).min(base);
        let lent = account.loans.lent(config, now_ms);
        let until_ms = now_ms + config.term_ms + config.margin_ms;
        let borrowed = account.loans.borrowed(until_ms);
        let committed = account.ledger.committed(config, now_ms);

        // N.B. An earlier home may have lent up to `lendable` to other zones.
        let known_held = base.min(committed);
        let reported = match account.is_fully_reported {
            true => base.saturating_sub(lendable),
            false => Share::NONE,
        };
        let restricted = known_held.max(reported) + borrowed;
        let unrestricted = base.saturating_sub(lent) + borrowed;
        let wait_ms = config.term_ms.max(config.loan_term_ms)
            + config.margin_ms
            + config.view_lag_ms;
        let has_rate_wait_ended = now_ms >= account.since_ms + wait_ms;
        let has_concurrent_wait_ended =
            now_ms >= account.since_ms + wait_ms + config.max_request_duration_ms;
        let loanable = lendable.saturating_sub(lent);
        Capacity {
            hosts: Share {
                millirequests_per_s: pick(has_rate_wait_ended, unrestricted, restricted)
                    .millirequests_per_s,
                concurrent: pick(has_concurrent_wait_ended, unrestricted, restricted)
                    .concurrent,
            },
            zones: Share {
                millirequests_per_s: pick(has_rate_wait_ended, loanable, Share::NONE)
                    .millirequests_per_s,
                concurrent: pick(has_concurrent_wait_ended, loanable, Share::NONE)
                    .concurrent,
            },
            is_settled: has_rate_wait_ended || reported != Share::NONE,
        }
    }
}

impl Account {
    /// Returns the share for a host: its fair part, but no more than it may hold already
    /// and what no host may be using.
    fn fair_share_of(
        &self,
        config: &Config,
        now_ms: u64,
        host: &HostName,
        capacity: Capacity,
    ) -> Share {
        let (demands, index) = self.ledger.demands(now_ms, host);
        let rates: Vec<u64> = demands
            .iter()
            .map(|demand| demand.millirequests_per_s)
            .collect();
        let counts: Vec<u64> = demands
            .iter()
            .map(|demand| u64::from(demand.concurrent))
            .collect();
        let concurrent =
            max_min_share(u64::from(capacity.hosts.concurrent), &counts, index);
        let fair_share = Share {
            millirequests_per_s: max_min_share(
                capacity.hosts.millirequests_per_s,
                &rates,
                index,
            ),
            concurrent: concurrent as u32,
        };
        let committed = self.ledger.committed(config, now_ms);
        let free = capacity.hosts.saturating_sub(committed);
        fair_share.min(self.ledger.committed_to(config, now_ms, host) + free)
    }

    /// Adds the tokens of the rate that no host has held since the last call.
    fn accrue_tokens(&mut self, config: &Config, now_ms: u64, capacity: Capacity) {
        let elapsed_ms = now_ms.saturating_sub(self.accrued_ms);
        self.accrued_ms = now_ms;
        self.tokens_millirequests += self.free_rate * elapsed_ms / 1_000;
        let burst = capacity.hosts.millirequests_per_s * config.burst_ms / 1_000;
        if capacity.is_settled && !self.has_initial_burst {
            self.has_initial_burst = true;
            self.tokens_millirequests = burst.max(1_000);
        }
        self.tokens_millirequests = self.tokens_millirequests.min(burst.max(1_000));
    }

    /// Takes tokens for the waiting requests and records the rate that remains free.
    fn take_tokens(
        &mut self,
        config: &Config,
        now_ms: u64,
        waiting: u32,
        capacity: Capacity,
    ) -> u64 {
        let committed = self.ledger.committed(config, now_ms);
        let free = capacity.hosts.saturating_sub(committed);
        self.free_rate = free.millirequests_per_s;
        let wanted = u64::from(waiting) * 1_000;
        let tokens = match capacity.is_settled {
            true => wanted.min(self.tokens_millirequests),
            false => 0,
        };
        self.tokens_millirequests -= tokens;
        tokens
    }
}

impl super::FleetLimits {
    /// Returns a zone's fixed part of an organisation's limit.
    ///
    /// The parts of all zones sum to the limit. The zones that get the remainder of the
    /// division depend on the organisation, so that small limits don't all go to the
    /// first zones.
    pub fn zone_share(&self, zone: &ZoneName, organisation: &OrganisationName) -> Share {
        let limit = self
            .limits
            .get(organisation)
            .copied()
            .unwrap_or(Share::NONE);
        let Some(index) = self.zones.iter().position(|other| other == zone) else {
            return Share::NONE;
        };
        let zones = self.zones.len() as u64;
        let rotation = stable_hash(organisation.as_str().as_bytes()) % zones;
        let position = (index as u64 + rotation) % zones;
        let part = |amount: u64| amount / zones + u64::from(position < amount % zones);
        Share {
            millirequests_per_s: part(limit.millirequests_per_s),
            concurrent: part(u64::from(limit.concurrent)) as u32,
        }
    }
}

fn pick(condition: bool, then: Share, otherwise: Share) -> Share {
    match condition {
        true => then,
        false => otherwise,
    }
}
