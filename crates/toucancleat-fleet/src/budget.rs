//! Limits retries of the whole fleet to a share of all requests.
//!
//! The bound applies to the sum over the fleet in any window. A part of it is guaranteed
//! to each host and can be used regardless of the others' counts. The rest is shared and
//! is used only while every host is a live peer, with the guaranteed shares of all hosts
//! counted as used.
//!
//! A process that is killed takes what it has counted with it, while its retries stay in the
//! window. So a process that starts takes none until a peer has told it what its host used
//! before, or a window has passed. See docs/design/platform.md, "Retries".

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// Number of buckets in a window. Counts expire a bucket at a time.
const BUCKETS: u64 = 10;

/// Share of the bound that is used at all, since the counts of other hosts are out of
/// date.
const USABLE_SHARE: f64 = 0.9;

/// Share of the bound that is divided into guaranteed shares of the hosts.
const GUARANTEED_SHARE: f64 = 0.5;

/// Requests and retries of one host for one pool within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCounts {
    /// First attempts, whether or not they reached a target.
    pub requests: u32,
    /// Attempts beyond the first.
    pub retries: u32,
}

/// Which part of the budget a retry was taken from, or why none was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RetryOutcome {
    /// It was taken from the guaranteed share of the host.
    Guaranteed,
    /// It was taken from the part that all hosts share.
    Shared,
    /// The process is about to exit, and has told its peers what it has used.
    Exiting,
    /// Nobody has told this process yet what its host used before it started.
    UnknownHistory,
    /// The guaranteed share is used up, and some host isn't a live peer or doesn't know yet what
    /// it used before it started.
    NotConnected,
    /// Both parts are used up, or this host's part of what is left until its peers have heard
    /// of what it has taken.
    UsedUp,
}

impl RetryOutcome {
    /// Returns true if the retry was taken.
    pub fn is_taken(self) -> bool {
        matches!(self, RetryOutcome::Guaranteed | RetryOutcome::Shared)
    }

    /// Returns the name of the outcome in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryOutcome::Guaranteed => "guaranteed",
            RetryOutcome::Shared => "shared",
            RetryOutcome::Exiting => "exiting",
            RetryOutcome::UnknownHistory => "unknown_history",
            RetryOutcome::NotConnected => "not_connected",
            RetryOutcome::UsedUp => "used_up",
        }
    }
}

/// A decision about a retry, and what it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// The outcome.
    pub outcome: RetryOutcome,
    /// What this host had counted in the window before.
    pub own: RetryCounts,
    /// Retries that this host may use regardless of the counts of the others.
    pub guaranteed_retries: f64,
    /// Number of hosts among which the bound was divided.
    pub hosts: usize,
}

impl RetryCounts {
    /// Returns the counts of a host of which one process followed another. The requests are those
    /// of one window, since a window is at most as long as both have run.
    fn followed_by(self, later: RetryCounts) -> RetryCounts {
        RetryCounts {
            requests: self.requests.max(later.requests),
            retries: self.retries + later.retries,
        }
    }
}

/// Counts over a sliding window.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: IndexMap<u64, RetryCounts>,
}

impl Window {
    fn current_bucket(&mut self, now_ms: u64, window_ms: u64) -> &mut RetryCounts {
        let length_ms = (window_ms / BUCKETS).max(1);
        let now_bucket = now_ms / length_ms;
        self.buckets
            .retain(|bucket, _| now_bucket.saturating_sub(*bucket) <= BUCKETS);
        self.buckets.entry(now_bucket).or_default()
    }

    fn sum(&self, now_ms: u64, window_ms: u64) -> RetryCounts {
        let length_ms = (window_ms / BUCKETS).max(1);
        let now_bucket = now_ms / length_ms;
        let recent = self
            .buckets
            .iter()
            .filter(|(bucket, _)| now_bucket.saturating_sub(**bucket) <= BUCKETS);
        recent.fold(RetryCounts::default(), |sum, (_, counts)| RetryCounts {
            requests: sum.requests + counts.requests,
            retries: sum.retries + counts.retries,
        })
    }
}

/// What a host used before its process started, as a peer knows it from the messages of the
/// processes before.
///
/// A process that starts has forgotten this, and its peers tell it. See
/// docs/design/platform.md, "Retries".
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PredecessorCounts {
    /// The last counts that the peer received.
    pub counts: Vec<(PoolName, RetryCounts)>,
    /// Whether the process took no retry after them, since it announced its exit.
    pub is_final: bool,
}

impl PredecessorCounts {
    fn get(&self, pool: &PoolName) -> RetryCounts {
        let mut counts = self.counts.iter();
        counts
            .find(|(name, _)| name == pool)
            .map(|(_, counts)| *counts)
            .unwrap_or_default()
    }

    /// Returns the counts of two processes of a host, of which one followed the other.
    fn followed_by(&self, later: &PredecessorCounts) -> PredecessorCounts {
        let add = |before: RetryCounts, after: RetryCounts| before.followed_by(after);
        self.merge(later, self.is_final && later.is_final, add)
    }

    /// Returns what two peers know of the same processes.
    fn or_known(&self, other: &PredecessorCounts) -> PredecessorCounts {
        if self.is_final || other.is_final {
            let last = if self.is_final { self } else { other };
            return last.clone();
        }
        self.merge(other, false, |one, other| RetryCounts {
            requests: one.requests.max(other.requests),
            retries: one.retries.max(other.retries),
        })
    }

    fn merge(
        &self,
        other: &PredecessorCounts,
        is_final: bool,
        merge_counts: impl Fn(RetryCounts, RetryCounts) -> RetryCounts,
    ) -> PredecessorCounts {
        let pools: IndexSet<&PoolName> = self
            .counts
            .iter()
            .chain(&other.counts)
            .map(|(pool, _)| pool)
            .collect();
        let merged = pools
            .into_iter()
            .map(|pool| (pool.clone(), merge_counts(self.get(pool), other.get(pool))));
        PredecessorCounts {
            counts: merged.collect(),
            is_final,
        }
    }

    /// Returns what the host may have used of a pool's budget.
    ///
    /// N.B. a process that was killed may have used its guaranteed share after its last message.
    fn used(&self, bound: RetryBound, pool: &PoolName) -> RetryCounts {
        let counts = self.get(pool);
        if self.is_final {
            return counts;
        }
        let guaranteed = guaranteed_share(bound, counts).ceil() as u32;
        RetryCounts {
            retries: guaranteed.max(counts.retries + 1),
            ..counts
        }
    }
}

/// What a process knows of the retries that its host used in the window before it started.
#[derive(Clone, Debug, Default)]
enum History {
    /// None of them counts any more, or there were none.
    #[default]
    Complete,
    /// Nothing.
    Unknown,
    /// What peers have told.
    Inherited(PredecessorCounts),
}

/// Counts that a peer has sent.
#[derive(Clone, Debug, Default)]
pub struct CountsReport {
    /// Random number of the peer's process.
    pub incarnation: u64,
    /// The counts of its host in the window.
    pub counts: IndexMap<PoolName, RetryCounts>,
    /// Whether they include what the processes before used.
    pub has_history: bool,
    /// Whether the process takes no more retries.
    pub is_final: bool,
}

/// The last counts received from a peer.
#[derive(Clone, Debug)]
struct PeerCounts {
    /// When the first message of its process was received.
    first_heard_ms: u64,
    received_ms: u64,
    report: CountsReport,
    /// What the processes before used, if this process knows that.
    predecessor: Option<PredecessorCounts>,
}

impl PeerCounts {
    /// Returns true if the counts include all retries of the host in the window before the last
    /// message.
    fn is_complete(&self, window_ms: u64) -> bool {
        self.report.has_history || self.received_ms >= self.first_heard_ms + window_ms
    }

    fn last_counts(&self) -> PredecessorCounts {
        let counts = self.report.counts.iter();
        PredecessorCounts {
            counts: counts
                .map(|(pool, counts)| (pool.clone(), *counts))
                .collect(),
            is_final: self.report.is_final,
        }
    }
}

/// The retry budget of the fleet as known to one host.
///
/// The default is that of a host that has used nothing.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    own: IndexMap<PoolName, Window>,
    history: History,
    peers: IndexMap<HostName, PeerCounts>,
    is_closed: bool,
    /// Retries that were taken from the shared part since the last message to all peers.
    untold: IndexMap<PoolName, u32>,
}

/// The bound on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition, over all hosts.
    pub allowance: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Number of hosts that may be running, whether or not they are live peers.
    pub hosts: usize,
    /// Whether all of them are live peers that receive from this host.
    pub is_fully_connected: bool,
}

impl RetryBudget {
    /// Returns the budget of a host whose process has just started.
    pub fn of_new_process() -> Self {
        RetryBudget {
            history: History::Unknown,
            ..RetryBudget::default()
        }
    }

    /// Counts a request's first attempt.
    pub fn count_request(&mut self, now_ms: u64, window_ms: u64, pool: &PoolName) {
        let window = self.own.entry(pool.clone()).or_default();
        window.current_bucket(now_ms, window_ms).requests += 1;
    }

    /// Takes one retry if the bound allows it.
    pub fn take_retry(
        &mut self,
        now_ms: u64,
        bound: RetryBound,
        pool: &PoolName,
    ) -> RetryDecision {
        let own = self.host_counts(now_ms, bound, pool);
        let decision = RetryDecision {
            outcome: self.decide(now_ms, bound, pool, own),
            own,
            guaranteed_retries: guaranteed_share(bound, own),
            hosts: bound.hosts,
        };
        if decision.outcome.is_taken() {
            let window = self.own.entry(pool.clone()).or_default();
            window.current_bucket(now_ms, bound.window_ms).retries += 1;
        }
        if decision.outcome == RetryOutcome::Shared {
            *self.untold.entry(pool.clone()).or_default() += 1;
        }
        decision
    }

    /// Stores the counts received from a peer.
    pub fn record_peer_counts(
        &mut self,
        now_ms: u64,
        window_ms: u64,
        host: HostName,
        report: CountsReport,
    ) {
        let known = self.peers.get(&host);
        let (first_heard_ms, predecessor) = match known {
            Some(known) if known.report.incarnation == report.incarnation => {
                (known.first_heard_ms, known.predecessor.clone())
            }
            known => (now_ms, self.last_counts_of(now_ms, window_ms, known)),
        };
        let peer = PeerCounts {
            first_heard_ms,
            received_ms: now_ms,
            report,
            predecessor,
        };
        self.peers.insert(host, peer);
    }

    /// Returns what a host used in the window until the last message of a process that is gone,
    /// or `None` if that isn't known.
    fn last_counts_of(
        &self,
        now_ms: u64,
        window_ms: u64,
        known: Option<&PeerCounts>,
    ) -> Option<PredecessorCounts> {
        let is_recent =
            |peer: &&PeerCounts| now_ms.saturating_sub(peer.received_ms) <= window_ms;
        match known.filter(is_recent) {
            Some(peer) if peer.is_complete(window_ms) => Some(peer.last_counts()),
            Some(peer) if peer.predecessor.is_some() => {
                let before = peer.predecessor.as_ref()?;
                Some(before.followed_by(&peer.last_counts()))
            }
            // This process would have heard of more than the host's guaranteed share.
            _ if matches!(self.history, History::Complete) => {
                Some(PredecessorCounts::default())
            }
            _ => None,
        }
    }

    /// Returns what a peer's host used before its process started, while that counts and if it is
    /// known.
    pub fn predecessor_of(
        &self,
        now_ms: u64,
        window_ms: u64,
        host: &HostName,
    ) -> Option<&PredecessorCounts> {
        let peer = self.peers.get(host)?;
        let counts = now_ms < peer.first_heard_ms + window_ms;
        peer.predecessor.as_ref().filter(|_| counts)
    }

    /// Takes over what a peer knows of the processes of this host before this one.
    pub fn inherit(&mut self, told: &PredecessorCounts) {
        match &mut self.history {
            History::Complete => {}
            History::Unknown => self.history = History::Inherited(told.clone()),
            History::Inherited(known) => *known = known.or_known(told),
        }
    }

    /// Records that all peers are told of the counts.
    pub fn record_broadcast(&mut self) {
        self.untold.clear();
    }

    /// Forgets what doesn't count any more, given when this process started.
    pub fn expire(&mut self, now_ms: u64, window_ms: u64, started_ms: u64) {
        if now_ms >= started_ms + window_ms {
            self.history = History::Complete;
        }
        self.peers
            .retain(|_, peer| now_ms.saturating_sub(peer.received_ms) <= window_ms);
    }

    /// Denies all retries from now on, so that the counts that are sent next are final.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns true if all retries are denied.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns true if the counts include all retries of this host in the window.
    pub fn has_history(&self) -> bool {
        !matches!(self.history, History::Unknown)
    }

    /// Returns this host's own counts, for its peers.
    pub fn own_counts(
        &self,
        now_ms: u64,
        bound: RetryBound,
    ) -> IndexMap<PoolName, RetryCounts> {
        let inherited = match &self.history {
            History::Inherited(predecessor) => predecessor.counts.as_slice(),
            _ => &[],
        };
        let pools = self
            .own
            .keys()
            .chain(inherited.iter().map(|(pool, _)| pool));
        pools
            .map(|pool| (pool.clone(), self.host_counts(now_ms, bound, pool)))
            .collect()
    }

    /// Returns the counts of this host in the window, over all its processes.
    fn host_counts(
        &self,
        now_ms: u64,
        bound: RetryBound,
        pool: &PoolName,
    ) -> RetryCounts {
        let window = self.own.get(pool);
        let own = window
            .map(|window| window.sum(now_ms, bound.window_ms))
            .unwrap_or_default();
        match &self.history {
            History::Inherited(predecessor) => {
                predecessor.used(bound, pool).followed_by(own)
            }
            _ => own,
        }
    }

    fn decide(
        &self,
        now_ms: u64,
        bound: RetryBound,
        pool: &PoolName,
        own: RetryCounts,
    ) -> RetryOutcome {
        if self.is_closed {
            return RetryOutcome::Exiting;
        }
        if !self.has_history() {
            return RetryOutcome::UnknownHistory;
        }
        if f64::from(own.retries) + 1.0 <= guaranteed_share(bound, own) {
            return RetryOutcome::Guaranteed;
        }
        // N.B. the last counts of a silent host stay in the sum for one window, as its
        // retries do.
        let is_recent = |peer: &&PeerCounts| {
            now_ms.saturating_sub(peer.received_ms) <= bound.window_ms
        };
        let peers = || self.peers.values().filter(is_recent);
        let are_complete = peers().all(|peer| peer.is_complete(bound.window_ms));
        if !bound.is_fully_connected || !are_complete {
            return RetryOutcome::NotConnected;
        }
        let peer_counts =
            peers().map(|peer| peer.report.counts.get(pool).copied().unwrap_or_default());
        let mut requests = f64::from(own.requests);
        let mut used = f64::from(own.retries);
        let mut counted_hosts = 1;
        for counts in peer_counts {
            requests += f64::from(counts.requests);
            used += f64::from(counts.retries).max(guaranteed_share(bound, counts));
            counted_hosts += 1;
        }
        let uncounted_hosts = bound.hosts.saturating_sub(counted_hosts);
        // A host that this process has never heard may have used more before it fell silent.
        if uncounted_hosts > 0 && !matches!(self.history, History::Complete) {
            return RetryOutcome::NotConnected;
        }
        used += uncounted_hosts as f64 * guaranteed_share(bound, RetryCounts::default());
        // N.B. all hosts may need retries at the same moment, so until they have heard of each
        // other each takes only its part of what is left.
        let untold = f64::from(self.untold.get(pool).copied().unwrap_or_default());
        let usable = USABLE_SHARE * (bound.ratio * requests + bound.allowance);
        let left = usable - (used - untold);
        if untold + 1.0 <= left / bound.hosts.max(1) as f64 {
            RetryOutcome::Shared
        } else {
            RetryOutcome::UsedUp
        }
    }
}

/// Returns the number of retries that a host may use regardless of the counts of the
/// others.
fn guaranteed_share(bound: RetryBound, counts: RetryCounts) -> f64 {
    let allowance = bound.allowance / bound.hosts.max(1) as f64;
    GUARANTEED_SHARE * (bound.ratio * f64::from(counts.requests) + allowance)
}
