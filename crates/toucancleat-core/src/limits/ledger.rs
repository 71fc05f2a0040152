//! Ledger of the shares that a home has granted to the hosts of its zone.

use indexmap::IndexMap;

use super::{Config, HeldShare, Share, ShareRequest};
use crate::prelude::*;

/// The shares of one organisation that each host may be using.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    hosts: IndexMap<HostName, Leaseholder>,
}

#[derive(Debug, Default)]
struct Leaseholder {
    started_ms: u64,
    last_sequence: u64,
    leases: Vec<Lease>,
    in_use: u32,
    in_use_until_ms: u64,
    wanted: Share,
    wanted_until_ms: u64,
}

/// A granted share that the host may still be using.
#[derive(Clone, Copy, Debug)]
struct Lease {
    sequence: u64,
    share: Share,
    expires_ms: u64,
}

impl Ledger {
    /// Applies a host's share request. Returns true if it is newer than the last one.
    pub(super) fn apply_share_request(
        &mut self,
        config: &Config,
        now_ms: u64,
        from: &HostName,
        request: &ShareRequest,
    ) -> bool {
        let leaseholder = self.hosts.entry(from.clone()).or_default();
        if !leaseholder.apply_start(request.started_ms)
            || request.sequence <= leaseholder.last_sequence
        {
            return false;
        }
        leaseholder.last_sequence = request.sequence;
        leaseholder.apply_held(config, now_ms, request.granted_sequence, &request.held);
        leaseholder
            .leases
            .retain(|lease| lease.sequence >= request.granted_sequence);
        leaseholder.wanted = request.wanted;
        leaseholder.wanted_until_ms = now_ms + config.term_ms;
        true
    }

    /// Applies a host's report of a share that it holds from an earlier home.
    pub(super) fn apply_held(
        &mut self,
        config: &Config,
        now_ms: u64,
        from: &HostName,
        started_ms: u64,
        held: &HeldShare,
    ) {
        let leaseholder = self.hosts.entry(from.clone()).or_default();
        if leaseholder.apply_start(started_ms) {
            // N.B. The report may be older than the last share request, so it must not
            // lower the count.
            let in_use = held.in_use.max(leaseholder.in_use(now_ms));
            leaseholder.apply_held(config, now_ms, 0, held);
            leaseholder.in_use = in_use;
        }
    }

    /// Records a granted share.
    pub(super) fn record_lease(
        &mut self,
        config: &Config,
        now_ms: u64,
        to: &HostName,
        sequence: u64,
        share: Share,
    ) {
        let expires_ms = now_ms + config.term_ms + config.margin_ms;
        let leaseholder = self.hosts.entry(to.clone()).or_default();
        leaseholder.leases.push(Lease {
            sequence,
            share,
            expires_ms,
        });
    }

    /// Returns the largest share that a host may be using.
    pub(super) fn committed_to(
        &self,
        config: &Config,
        now_ms: u64,
        host: &HostName,
    ) -> Share {
        let leaseholder = self.hosts.get(host);
        leaseholder.map_or(Share::NONE, |leaseholder| {
            leaseholder.committed(config, now_ms)
        })
    }

    /// Returns the largest share that all hosts together may be using.
    pub(super) fn committed(&self, config: &Config, now_ms: u64) -> Share {
        self.hosts
            .values()
            .map(|leaseholder| leaseholder.committed(config, now_ms))
            .sum()
    }

    /// Returns the share that each host could use, and the index of `host` among them
    /// (`usize::MAX` if it is unknown).
    pub(super) fn demands(&self, now_ms: u64, host: &HostName) -> (Vec<Share>, usize) {
        let demand =
            |leaseholder: &Leaseholder| match now_ms < leaseholder.wanted_until_ms {
                true => leaseholder.wanted,
                false => Share::NONE,
            };
        let index = self.hosts.get_index_of(host).unwrap_or(usize::MAX);
        (self.hosts.values().map(demand).collect(), index)
    }

    /// Returns the share that all hosts together could use.
    pub(super) fn wanted(&self, now_ms: u64) -> Share {
        let is_current =
            |leaseholder: &&Leaseholder| now_ms < leaseholder.wanted_until_ms;
        self.hosts
            .values()
            .filter(is_current)
            .map(|leaseholder| leaseholder.wanted)
            .sum()
    }

    /// Adds the hosts of another ledger that this one doesn't have.
    pub(super) fn merge_unknown_hosts(&mut self, other: Ledger) {
        for (host, leaseholder) in other.hosts {
            self.hosts.entry(host).or_insert(leaseholder);
        }
    }

    /// Removes hosts that hold nothing any more. A host that is known to have ended holds
    /// nothing once its leases have expired, since its requests ended with it.
    pub(super) fn remove_expired(
        &mut self,
        config: &Config,
        now_ms: u64,
        has_ended: impl Fn(&HostName) -> bool,
    ) {
        self.hosts.retain(|name, leaseholder| {
            let drain_ms = match has_ended(name) {
                true => 0,
                false => config.max_request_duration_ms,
            };
            leaseholder
                .leases
                .retain(|lease| now_ms < lease.expires_ms + drain_ms);
            let is_running = drain_ms > 0 && leaseholder.in_use(now_ms) > 0;
            is_running
                || now_ms < leaseholder.wanted_until_ms
                || !leaseholder.leases.is_empty()
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

impl Leaseholder {
    /// Returns true if `started_ms` is the start of the host's latest known process.
    /// Drops what an earlier process held, since it has ended, and its requests with it.
    fn apply_start(&mut self, started_ms: u64) -> bool {
        if started_ms > self.started_ms {
            *self = Leaseholder {
                started_ms,
                ..Leaseholder::default()
            };
        }
        started_ms == self.started_ms
    }

    fn apply_held(
        &mut self,
        config: &Config,
        now_ms: u64,
        sequence: u64,
        held: &HeldShare,
    ) {
        let is_known = self.leases.iter().any(|lease| lease.sequence == sequence);
        if held.remaining_ms > 0 && !is_known {
            let remaining_ms = held.remaining_ms.min(config.term_ms);
            let expires_ms = now_ms + remaining_ms + config.margin_ms;
            self.leases.push(Lease {
                sequence,
                share: held.share,
                expires_ms,
            });
        }
        self.in_use = held.in_use;
        self.in_use_until_ms = now_ms + config.max_request_duration_ms;
    }

    fn committed(&self, config: &Config, now_ms: u64) -> Share {
        let rate = self
            .leases
            .iter()
            .filter(|lease| now_ms < lease.expires_ms)
            .map(|lease| lease.share.millirequests_per_s)
            .max();
        // N.B. Requests that a host admitted before its lease expired may run for as long
        // as the longest request.
        let concurrent = self
            .leases
            .iter()
            .filter(|lease| now_ms < lease.expires_ms + config.max_request_duration_ms)
            .map(|lease| lease.share.concurrent)
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
