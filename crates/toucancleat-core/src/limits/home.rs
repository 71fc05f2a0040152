//! The home's side: accounts of organisations and shares for hosts.

use super::ledger::Ledger;
use super::loans::Loans;
use super::share::fair_part;
use super::{Ask, Config, Effect, Grant, Held, Share, State};
use crate::homes::HomeKey;
use crate::prelude::*;
use crate::rng::stable_hash;

/// One organisation's account at its home.
#[derive(Debug, Default)]
pub(super) struct Account {
    pub ledger: Ledger,
    pub loans: Loans,
    /// Since when this host has been the home without a gap.
    since_ms: u64,
    /// Whether every host has said what it holds since then.
    is_told: bool,
    tokens_millirequests: u64,
    /// Whether the tokens of the first burst were given, as soon as the right was whole.
    has_burst: bool,
    accrued_ms: u64,
    /// The rate that nobody held when tokens were last accrued.
    pub free_rate: u64,
    last_asked_ms: u64,
}

/// What a home may lend.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pool {
    /// To all hosts together, what is lent already included.
    pub hosts: Share,
    /// To other zones, beyond what is lent already.
    pub zones: Share,
    /// Whether the home's right to lend is whole, for the rate.
    whole: bool,
}

impl State {
    /// Answers a host's question with a share, or not at all when this host isn't the
    /// home or the question is old.
    pub(super) fn answer(
        &mut self,
        now_ms: u64,
        from: &HostName,
        ask: &Ask,
        effects: &mut Vec<Effect>,
    ) -> Option<Grant> {
        let organisation = &ask.organisation;
        if !self.is_home(organisation) || !self.settings.limits.contains_key(organisation)
        {
            return None;
        }
        self.open_account(now_ms, organisation);
        let config = self.config.clone();
        if !self.accounts[organisation]
            .ledger
            .take_ask(&config, now_ms, from, ask)
        {
            return None;
        }
        if ask.wanted == Share::NONE {
            return None;
        }
        let pool = self.pool(now_ms, organisation);
        let account = &mut self.accounts[organisation];
        account.last_asked_ms = now_ms;
        account.accrue(&config, now_ms, pool);
        let share = account.part_of(&config, now_ms, from, pool);
        account
            .ledger
            .lend(&config, now_ms, from, ask.sequence, share);
        let tokens = account.take_tokens(&config, now_ms, ask.waiting, pool);
        let wanted = account.ledger.wanted(now_ms);
        if wanted.saturating_sub(pool.hosts) != Share::NONE {
            self.ask_for_loan(
                now_ms,
                organisation,
                wanted.saturating_sub(pool.hosts),
                effects,
            );
        }
        Some(Grant {
            organisation: organisation.clone(),
            sequence: ask.sequence,
            share,
            term_ms: config.term_ms,
            tokens_millirequests: tokens,
            is_early: !pool.whole,
        })
    }

    /// Takes what a host holds of this home's organisations.
    pub(super) fn take_holdings(
        &mut self,
        now_ms: u64,
        from: &HostName,
        view: u64,
        started_ms: u64,
        held: &[Held],
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
                ledger.take_held(&config, now_ms, from, started_ms, held);
            } else if self.follows(from, organisation) {
                let ledger = self.witnessed.entry(organisation.clone()).or_default();
                ledger.take_held(&config, now_ms, from, started_ms, held);
            }
        }
        self.authority.told(from);
    }

    pub(super) fn forget_accounts(&mut self, now_ms: u64) {
        let config = &self.config;
        let nobody_is_missing = self.authority.nobody_is_missing();
        let present = &self.present;
        let is_gone = |name: &HostName| nobody_is_missing && !present.contains(name);
        self.witnessed.retain(|_, ledger| {
            ledger.forget(config, now_ms, is_gone);
            !ledger.is_empty()
        });
        self.accounts.retain(|_, account| {
            account.ledger.forget(config, now_ms, is_gone);
            account.loans.forget(config, now_ms);
            // N.B. An account that is forgotten starts with a full burst when it is made
            // again, so it must have been idle for as long as that takes to come back.
            let idle =
                now_ms >= account.last_asked_ms + config.idle_ms.max(config.burst_ms);
            !(idle && account.ledger.is_empty() && account.loans.is_empty())
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
            last_asked_ms: now_ms,
            ..Account::default()
        };
        if let Some(holding) = self.holdings.get(organisation) {
            let held = holding.held(organisation, now_ms);
            account.ledger.take_held(
                &self.config,
                now_ms,
                &self.own,
                self.started_ms,
                &held,
            );
        }
        self.accounts.insert(organisation.clone(), account);
    }

    /// Works out what a home may lend by now.
    pub(super) fn pool(&mut self, now_ms: u64, organisation: &OrganisationName) -> Pool {
        let config = &self.config;
        let account = &mut self.accounts[organisation];
        account.is_told |= self.authority.is_told(now_ms, account.since_ms);
        let zone_share = self.settings.zone_share(&self.zone, organisation);
        let (live, possible) = self.authority.live_part();
        let base = zone_share.scaled(live, possible);
        let lendable = zone_share.scaled(1, config.lendable_divisor).min(base);
        let lent = account.loans.lent(config, now_ms);
        let until_ms = now_ms + config.term_ms + config.margin_ms;
        let borrowed = account.loans.borrowed(until_ms);
        let committed = account.ledger.committed(config, now_ms);

        // N.B. An earlier home may have lent up to `lendable` to other zones.
        let known = base.min(committed);
        let told = match account.is_told {
            true => base.saturating_sub(lendable),
            false => Share::NONE,
        };
        let early = known.max(told) + borrowed;
        let late = base.saturating_sub(lent) + borrowed;
        let wait_ms = config.term_ms.max(config.loan_term_ms)
            + config.margin_ms
            + config.view_lag_ms;
        let rate_whole = now_ms >= account.since_ms + wait_ms;
        let all_whole = now_ms >= account.since_ms + wait_ms + config.longest_answer_ms;
        let loanable = lendable.saturating_sub(lent);
        Pool {
            hosts: Share {
                millirequests_per_s: pick(rate_whole, late, early).millirequests_per_s,
                concurrent: pick(all_whole, late, early).concurrent,
            },
            zones: Share {
                millirequests_per_s: pick(rate_whole, loanable, Share::NONE)
                    .millirequests_per_s,
                concurrent: pick(all_whole, loanable, Share::NONE).concurrent,
            },
            whole: rate_whole || told != Share::NONE,
        }
    }
}

impl Account {
    /// Returns the share for a host: its fair part, as far as nobody may still use it.
    fn part_of(
        &self,
        config: &Config,
        now_ms: u64,
        host: &HostName,
        pool: Pool,
    ) -> Share {
        let (wishes, index) = self.ledger.wishes(now_ms, host);
        let rates: Vec<u64> =
            wishes.iter().map(|wish| wish.millirequests_per_s).collect();
        let counts: Vec<u64> = wishes
            .iter()
            .map(|wish| u64::from(wish.concurrent))
            .collect();
        let concurrent = fair_part(u64::from(pool.hosts.concurrent), &counts, index);
        let fair = Share {
            millirequests_per_s: fair_part(pool.hosts.millirequests_per_s, &rates, index),
            concurrent: concurrent as u32,
        };
        let committed = self.ledger.committed(config, now_ms);
        let free = pool.hosts.saturating_sub(committed);
        fair.min(self.ledger.committed_to(config, now_ms, host) + free)
    }

    /// Adds the tokens of the rate that nobody held since the last time.
    fn accrue(&mut self, config: &Config, now_ms: u64, pool: Pool) {
        let elapsed_ms = now_ms.saturating_sub(self.accrued_ms);
        self.accrued_ms = now_ms;
        self.tokens_millirequests += self.free_rate * elapsed_ms / 1_000;
        let burst = pool.hosts.millirequests_per_s * config.burst_ms / 1_000;
        if pool.whole && !self.has_burst {
            self.has_burst = true;
            self.tokens_millirequests = burst.max(1_000);
        }
        self.tokens_millirequests = self.tokens_millirequests.min(burst.max(1_000));
    }

    /// Takes tokens for the requests that wait, and notes the rate that stays free.
    fn take_tokens(
        &mut self,
        config: &Config,
        now_ms: u64,
        waiting: u32,
        pool: Pool,
    ) -> u64 {
        let committed = self.ledger.committed(config, now_ms);
        let free = pool.hosts.saturating_sub(committed);
        self.free_rate = free.millirequests_per_s;
        let wanted = u64::from(waiting) * 1_000;
        let tokens = match pool.whole {
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
    /// The parts of all zones sum to the limit. Which zones get the odd ones depends on
    /// the organisation, so that small limits don't all fall to the first zones.
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
        let turn = stable_hash(organisation.as_str().as_bytes()) % zones;
        let place = (index as u64 + turn) % zones;
        let part = |amount: u64| amount / zones + u64::from(place < amount % zones);
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
