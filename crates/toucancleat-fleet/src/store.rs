//! When this host reads the platform's store, and when another reads for it.
//!
//! Each call to the store costs, and notices of targets that leave have to be heard within
//! about 100 ms. So one host reads a feed of changes and tells the others at once; any
//! other takes over when it hears no reader. See docs/design/platform.md, "Who reads".

use crate::configuration::Configuration;
use crate::target::TargetChange;

/// Longest silence of all readers before another host reads; about three times the usual
/// interval between two messages, so that one lost datagram starts no second reader.
pub const READER_SILENCE_MS: u64 = 450;

/// Additional silence for each host that stands before this one in the order of names, so
/// that hosts don't all begin to read at the same moment.
pub const READER_STAGGER_MS: u64 = 150;

/// Time between two reads of the whole configuration by a reader. A feed may be silent
/// without an error, so what was heard through it doesn't prove that nothing has changed.
pub const CONFIRM_INTERVAL_MS: u64 = 800;

/// Time between two reads of the whole host list by a reader, for the same reason.
pub const LIST_INTERVAL_MS: u64 = 1_000;

/// Shortest time between two calls to a feed.
pub const FEED_INTERVAL_MIN_MS: u64 = 40;

/// Longest such time: a target that leaves has to be known of within about 100 ms.
pub const FEED_INTERVAL_MAX_MS: u64 = 100;

/// Time between two calls to a feed for each target. Each heartbeat of a target ends a
/// call, so that with many targets every call would find a change and cost for little.
pub const FEED_INTERVAL_PER_TARGET_MS: u64 = 2;

/// Pause after a call that failed; doubled with each failure in a row.
pub const RETRY_INTERVAL_MIN_MS: u64 = 150;

/// Longest such pause. Calls that fail cost as much as others, and the bounds of the
/// configuration allow for it.
pub const RETRY_INTERVAL_MAX_MS: u64 = 1_000;

/// Longest time that a feed may wait for a change.
pub const FEED_WAIT_MS: u64 = 1_000;

/// Time for which targets are still used whose entries are gone without a notice, where
/// their pool has no other. After an outage of the store all entries may have expired; those
/// of live targets are back within some two seconds. Shorter than any bound within which
/// work to a target that leaves has to end.
pub const EXPIRED_ENTRY_GRACE_MS: u64 = 1_500;

/// Time between two looks for other hosts while none is heard.
pub const HOSTS_INTERVAL_MS: u64 = 2_000;

/// Delay before a host that has missed a change asks the store itself: the message with
/// the change may only have been overtaken.
pub const MISSED_CHANGE_DELAY_MS: u64 = 60;

/// A read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The newest configuration.
    Configuration,
    /// The whole host list of targets.
    Targets,
    /// Changes of the host list after a version, as soon as there are any.
    TargetFeed {
        /// The version.
        after: u64,
    },
    /// Changes of the configuration after a version, as soon as there are any.
    ConfigurationFeed {
        /// The version.
        after: u64,
    },
    /// The entry hosts of the fleet.
    Hosts,
    /// Writes this host's own row to the entry hosts of the fleet.
    Register,
}

impl Query {
    /// Returns a name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Query::Configuration => "configuration",
            Query::Targets => "targets",
            Query::TargetFeed { .. } => "target feed",
            Query::ConfigurationFeed { .. } => "configuration feed",
            Query::Hosts => "hosts",
            Query::Register => "register",
        }
    }

    fn index(self) -> usize {
        match self {
            Query::Configuration => 0,
            Query::Targets => 1,
            Query::TargetFeed { .. } => 2,
            Query::ConfigurationFeed { .. } => 3,
            Query::Hosts => 4,
            Query::Register => 5,
        }
    }
}

/// Answer of a read.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The newest configuration, if there is one yet.
    Configuration(Option<Configuration>),
    /// The whole host list.
    Targets {
        /// The version that it shows.
        store_version: u64,
        /// Its entries.
        list: Vec<TargetChange>,
    },
    /// Changes of the host list.
    TargetFeed {
        /// The version up to which they go.
        store_version: u64,
        /// The changes, in order.
        changes: Vec<TargetChange>,
    },
    /// Changes of the configuration.
    ConfigurationFeed {
        /// The version up to which they go.
        store_version: u64,
        /// The last of them.
        configuration: Option<Configuration>,
    },
    /// Addresses of entry hosts.
    Hosts(Vec<std::net::SocketAddr>),
    /// This host's row is written.
    Registered,
    /// The store no longer has the history that a feed asked for.
    HistoryGone,
    /// No answer that can be used.
    Failed,
}

/// Calls that are under way and when the next are due.
#[derive(Clone, Debug, Default)]
pub struct QuerySchedule {
    started_ms: [Option<u64>; 6],
    due_ms: [u64; 6],
    last_success_ms: Option<u64>,
    failures: u32,
    configuration_feed_after: u64,
    feed_interval_ms: u64,
}

impl QuerySchedule {
    /// Starts a call if none of its kind is under way and it is due.
    pub fn start(&mut self, now_ms: u64, query: Query) -> bool {
        let index = query.index();
        if self.started_ms[index].is_some() || now_ms < self.due_ms[index] {
            return false;
        }
        self.started_ms[index] = Some(now_ms);
        true
    }

    /// Makes a kind of call due at once.
    pub fn make_due(&mut self, now_ms: u64, query: Query) {
        let index = query.index();
        self.due_ms[index] = self.due_ms[index].min(now_ms);
    }

    /// Ends a call and says when it was started.
    ///
    /// The start counts as the age of what was read, since the store may have answered at
    /// any time after it.
    pub fn end(&mut self, now_ms: u64, query: Query, succeeded: bool) -> u64 {
        let index = query.index();
        let started_ms = self.started_ms[index].take().unwrap_or(now_ms);
        if succeeded {
            self.last_success_ms = Some(now_ms);
            self.failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
        }
        let pause_ms = match (succeeded, query) {
            (false, _) => {
                (RETRY_INTERVAL_MIN_MS << self.failures.min(4)).min(RETRY_INTERVAL_MAX_MS)
            }
            (true, Query::Configuration) => CONFIRM_INTERVAL_MS,
            (true, Query::Targets) => LIST_INTERVAL_MS,
            (true, Query::TargetFeed { .. } | Query::ConfigurationFeed { .. }) => {
                self.feed_interval_ms.max(FEED_INTERVAL_MIN_MS)
            }
            (true, Query::Hosts) => HOSTS_INTERVAL_MS,
            (true, Query::Register) => 0,
        };
        self.due_ms[index] = match query {
            // N.B. a feed's interval counts from its start, so that one which waited long
            // for a change is followed at once.
            Query::TargetFeed { .. } | Query::ConfigurationFeed { .. } if succeeded => {
                started_ms + pause_ms
            }
            _ => now_ms + pause_ms,
        };
        started_ms
    }

    /// Notes how many targets there are, on which the pace of feeds depends.
    pub fn set_target_count(&mut self, targets: usize) {
        self.feed_interval_ms = (targets as u64 * FEED_INTERVAL_PER_TARGET_MS)
            .clamp(FEED_INTERVAL_MIN_MS, FEED_INTERVAL_MAX_MS);
    }

    /// Returns the time since the last answer of the store.
    pub fn success_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_success_ms
            .map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns how many calls in a row have failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the version after which the configuration's feed goes on.
    pub fn configuration_feed_after(&self) -> u64 {
        self.configuration_feed_after
    }

    /// Notes the version up to which the configuration's feed has told.
    pub fn advance_configuration_feed(&mut self, store_version: u64) {
        self.configuration_feed_after = self.configuration_feed_after.max(store_version);
    }
}
