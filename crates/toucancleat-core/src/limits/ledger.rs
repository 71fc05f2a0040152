//! What a home has lent to the hosts of its zone.

use indexmap::IndexMap;

use super::{Ask, Config, Held, Share};
use crate::prelude::*;

/// What one home has lent to each host.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    hosts: IndexMap<HostName, Borrower>,
}

#[derive(Debug, Default)]
struct Borrower {
    started_ms: u64,
    last_sequence: u64,
    grants: Vec<Lent>,
    in_use: u32,
    in_use_until_ms: u64,
    wanted: Share,
    wanted_until_ms: u64,
}

/// A grant that the host may still use.
#[derive(Clone, Copy, Debug)]
struct Lent {
    sequence: u64,
    share: Share,
    expires_ms: u64,
}

impl Ledger {
    /// Takes what a host says of itself; returns whether the question is news.
    pub(super) fn take_ask(
        &mut self,
        config: &Config,
        now_ms: u64,
        from: &HostName,
        ask: &Ask,
    ) -> bool {
        let borrower = self.hosts.entry(from.clone()).or_default();
        if !borrower.take_start(ask.started_ms) || ask.sequence <= borrower.last_sequence
        {
            return false;
        }
        borrower.last_sequence = ask.sequence;
        borrower.take_held(config, now_ms, ask.holds_sequence, &ask.held);
        borrower
            .grants
            .retain(|lent| lent.sequence >= ask.holds_sequence);
        borrower.wanted = ask.wanted;
        borrower.wanted_until_ms = now_ms + config.term_ms;
        true
    }

    /// Takes what a host says that it holds from an earlier home.
    pub(super) fn take_held(
        &mut self,
        config: &Config,
        now_ms: u64,
        from: &HostName,
        started_ms: u64,
        held: &Held,
    ) {
        let borrower = self.hosts.entry(from.clone()).or_default();
        if borrower.take_start(started_ms) {
            // N.B. It may be older than the last question; it must not lower the count.
            let in_use = held.in_use.max(borrower.in_use(now_ms));
            borrower.take_held(config, now_ms, 0, held);
            borrower.in_use = in_use;
        }
    }

    /// Notes a grant as lent.
    pub(super) fn lend(
        &mut self,
        config: &Config,
        now_ms: u64,
        to: &HostName,
        sequence: u64,
        share: Share,
    ) {
        let expires_ms = now_ms + config.term_ms + config.margin_ms;
        let borrower = self.hosts.entry(to.clone()).or_default();
        borrower.grants.push(Lent {
            sequence,
            share,
            expires_ms,
        });
    }

    /// Returns the most that a host may be using.
    pub(super) fn committed_to(
        &self,
        config: &Config,
        now_ms: u64,
        host: &HostName,
    ) -> Share {
        let borrower = self.hosts.get(host);
        borrower.map_or(Share::NONE, |borrower| borrower.committed(config, now_ms))
    }

    /// Returns the most that all hosts together may be using.
    pub(super) fn committed(&self, config: &Config, now_ms: u64) -> Share {
        self.hosts
            .values()
            .map(|borrower| borrower.committed(config, now_ms))
            .sum()
    }

    /// Returns what each host could use, with the position of one host among them.
    pub(super) fn wishes(&self, now_ms: u64, host: &HostName) -> (Vec<Share>, usize) {
        let wish = |borrower: &Borrower| match now_ms < borrower.wanted_until_ms {
            true => borrower.wanted,
            false => Share::NONE,
        };
        let index = self.hosts.get_index_of(host).unwrap_or(usize::MAX);
        (self.hosts.values().map(wish).collect(), index)
    }

    /// Returns what all hosts together could use.
    pub(super) fn wanted(&self, now_ms: u64) -> Share {
        let current = |borrower: &&Borrower| now_ms < borrower.wanted_until_ms;
        self.hosts
            .values()
            .filter(current)
            .map(|borrower| borrower.wanted)
            .sum()
    }

    /// Takes over what another ledger knows of hosts that this one doesn't know.
    pub(super) fn take_over(&mut self, other: Ledger) {
        for (host, borrower) in other.hosts {
            self.hosts.entry(host).or_insert(borrower);
        }
    }

    /// Forgets hosts that hold nothing any more. A host that is known to be gone holds
    /// nothing once its grants have ended, since its requests ended with it.
    pub(super) fn forget(
        &mut self,
        config: &Config,
        now_ms: u64,
        is_gone: impl Fn(&HostName) -> bool,
    ) {
        self.hosts.retain(|name, borrower| {
            let drain_ms = match is_gone(name) {
                true => 0,
                false => config.longest_answer_ms,
            };
            borrower
                .grants
                .retain(|lent| now_ms < lent.expires_ms + drain_ms);
            let runs = drain_ms > 0 && borrower.in_use(now_ms) > 0;
            runs || now_ms < borrower.wanted_until_ms || !borrower.grants.is_empty()
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

impl Borrower {
    /// Says whether a statement comes from the present process, and forgets what an
    /// earlier process held: it has ended, and its requests with it.
    fn take_start(&mut self, started_ms: u64) -> bool {
        if started_ms > self.started_ms {
            *self = Borrower {
                started_ms,
                ..Borrower::default()
            };
        }
        started_ms == self.started_ms
    }

    fn take_held(&mut self, config: &Config, now_ms: u64, sequence: u64, held: &Held) {
        let known = self.grants.iter().any(|lent| lent.sequence == sequence);
        if held.remaining_ms > 0 && !known {
            let remaining_ms = held.remaining_ms.min(config.term_ms);
            let expires_ms = now_ms + remaining_ms + config.margin_ms;
            self.grants.push(Lent {
                sequence,
                share: held.share,
                expires_ms,
            });
        }
        self.in_use = held.in_use;
        self.in_use_until_ms = now_ms + config.longest_answer_ms;
    }

    fn committed(&self, config: &Config, now_ms: u64) -> Share {
        let rate = self
            .grants
            .iter()
            .filter(|lent| now_ms < lent.expires_ms)
            .map(|lent| lent.share.millirequests_per_s)
            .max();
        // N.B. What a host began before its grant ended may go on as long as an answer.
        let concurrent = self
            .grants
            .iter()
            .filter(|lent| now_ms < lent.expires_ms + config.longest_answer_ms)
            .map(|lent| lent.share.concurrent)
            .max();
        Share {
            millirequests_per_s: rate.unwrap_or(0),
            concurrent: concurrent.unwrap_or(0).max(self.in_use(now_ms)),
        }
    }

    fn in_use(&self, now_ms: u64) -> u32 {
        match now_ms < self.in_use_until_ms {
            true => self.in_use,
            false => 0,
        }
    }
}
