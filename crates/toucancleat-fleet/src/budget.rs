//! Retries over all hosts, as a share of all requests.
//!
//! The bound is one sum over the fleet in any window. A part of it is each host's own and
//! can be used whatever is known of the others; the rest is common, and is used only while
//! every host is heard, with the own parts of all counted as if they had been used. See
//! docs/design/platform.md, "Retries".

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// Parts into which a window is cut; a count is forgotten a part at a time.
const PARTS: u64 = 10;

/// Share of the bound that is used at all, since counts of other hosts are some time old.
const USED_SHARE: f64 = 0.9;

/// Share of the bound that is divided into the hosts' own parts.
const OWN_SHARE: f64 = 0.5;

/// Requests and retries of one host for one pool within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// First attempts, whether they reached a target or not.
    pub requests: u32,
    /// Attempts beyond the first.
    pub retries: u32,
}

/// Counts over a sliding window.
#[derive(Clone, Debug, Default)]
struct Window {
    parts: IndexMap<u64, Counts>,
}

impl Window {
    fn part(&mut self, now_ms: u64, window_ms: u64) -> &mut Counts {
        let length_ms = (window_ms / PARTS).max(1);
        let now_part = now_ms / length_ms;
        self.parts
            .retain(|part, _| now_part.saturating_sub(*part) <= PARTS);
        self.parts.entry(now_part).or_default()
    }

    fn sum(&self, now_ms: u64, window_ms: u64) -> Counts {
        let length_ms = (window_ms / PARTS).max(1);
        let now_part = now_ms / length_ms;
        let live = self
            .parts
            .iter()
            .filter(|(part, _)| now_part.saturating_sub(**part) <= PARTS);
        live.fold(Counts::default(), |sum, (_, counts)| Counts {
            requests: sum.requests + counts.requests,
            retries: sum.retries + counts.retries,
        })
    }
}

/// What one other host has told of its counts.
#[derive(Clone, Debug)]
struct Told {
    at_ms: u64,
    counts: IndexMap<PoolName, Counts>,
}

/// The shared budget as one host sees it.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    own: IndexMap<PoolName, Window>,
    told: IndexMap<HostName, Told>,
}

/// The bound of retries.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beside those, over all hosts.
    pub allowance: f64,
    /// Span of the count.
    pub window_ms: u64,
    /// Hosts that may be counting at the same time, heard or not.
    pub hosts: usize,
    /// Whether every one of them was heard lately.
    pub hears_all: bool,
}

impl Budget {
    /// Counts a request's first attempt.
    pub fn count_request(&mut self, now_ms: u64, window_ms: u64, pool: &PoolName) {
        let window = self.own.entry(pool.clone()).or_default();
        window.part(now_ms, window_ms).requests += 1;
    }

    /// Takes one retry, if the bound allows it.
    pub fn take_retry(&mut self, now_ms: u64, bound: Bound, pool: &PoolName) -> bool {
        if !self.allows(now_ms, bound, pool) {
            return false;
        }
        let window = self.own.entry(pool.clone()).or_default();
        window.part(now_ms, bound.window_ms).retries += 1;
        true
    }

    /// Takes in what another host has counted.
    pub fn hear(
        &mut self,
        now_ms: u64,
        host: HostName,
        counts: IndexMap<PoolName, Counts>,
    ) {
        let told = Told {
            at_ms: now_ms,
            counts,
        };
        self.told.insert(host, told);
    }

    /// Returns this host's own counts, for the others.
    pub fn own_counts(&self, now_ms: u64, window_ms: u64) -> IndexMap<PoolName, Counts> {
        self.own
            .iter()
            .map(|(pool, window)| (pool.clone(), window.sum(now_ms, window_ms)))
            .collect()
    }

    fn allows(&self, now_ms: u64, bound: Bound, pool: &PoolName) -> bool {
        let own = self
            .own
            .get(pool)
            .map(|window| window.sum(now_ms, bound.window_ms))
            .unwrap_or_default();
        if f64::from(own.retries) + 1.0 <= own_part(bound, own) {
            return true;
        }
        if !bound.hears_all {
            return false;
        }
        // N.B. a silent host's last counts stay in the sum for one window, since its
        // retries do too.
        let told = self
            .told
            .values()
            .filter(|told| now_ms.saturating_sub(told.at_ms) <= bound.window_ms)
            .map(|told| told.counts.get(pool).copied().unwrap_or_default());
        let mut requests = f64::from(own.requests);
        let mut used = f64::from(own.retries) + 1.0;
        let mut told_of = 1;
        for counts in told {
            requests += f64::from(counts.requests);
            used += f64::from(counts.retries).max(own_part(bound, counts));
            told_of += 1;
        }
        let unheard = bound.hosts.saturating_sub(told_of) as f64;
        used += unheard * own_part(bound, Counts::default());
        // Each other host may have taken one more since it was heard last.
        used += bound.hosts.saturating_sub(1) as f64;
        used <= USED_SHARE * (bound.ratio * requests + bound.allowance)
    }
}

/// Returns the retries that a host may use whatever it knows of the others.
fn own_part(bound: Bound, counts: Counts) -> f64 {
    let allowance = bound.allowance / bound.hosts.max(1) as f64;
    OWN_SHARE * (bound.ratio * f64::from(counts.requests) + allowance)
}
