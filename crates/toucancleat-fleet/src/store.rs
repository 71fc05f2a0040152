//! Queries to the platform's store, and when this host makes them.
//!
//! Each call to the store has a cost, and notices of leaving targets have to be received
//! within about 100 ms. So one host reads a feed of changes and broadcasts them at once.
//! Another host takes over when no reader is live. See docs/design/platform.md, "Who
//! reads".

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::target::TargetChange;

/// Maximum time since the store last answered a host for which the host counts as a reader,
/// and since its last message unless two message intervals are longer. Another host starts
/// to read after a silence of twice this time. About three times the usual interval between
/// two messages, so that a lost datagram starts no second reader.
pub const READER_SILENCE_MS: u64 = 450;

/// Additional wait for each host whose turn comes before this one's, so that hosts don't all
/// start to read at the same moment.
pub const READER_STAGGER_MS: u64 = 150;

/// Interval at which a reader confirms the configuration. A feed may be silent
/// without an error, so silence on it doesn't prove that nothing has changed.
pub const CONFIRM_INTERVAL_MS: u64 = 800;

/// Interval at which a reader reads the complete host list, for the same reason.
pub const LIST_INTERVAL_MS: u64 = 1_000;

/// Minimum time between two calls to a feed.
pub const FEED_INTERVAL_MIN_MS: u64 = 40;

/// Maximum time between two calls to a feed. A leaving target has to be known within
/// about 100 ms.
pub const FEED_INTERVAL_MAX_MS: u64 = 100;

/// Time between two calls to a feed for each target. Each heartbeat of a target ends a
/// call, so with many targets every call would return at once, with little gained for its
/// cost.
pub const FEED_INTERVAL_PER_TARGET_MS: u64 = 2;

/// Pause after a failed call. Doubles with each consecutive failure.
pub const RETRY_INTERVAL_MIN_MS: u64 = 150;

/// Maximum pause after a failed call. Failed calls cost as much as others, and the bounds
/// on the configuration's age allow for this pause.
pub const RETRY_INTERVAL_MAX_MS: u64 = 1_000;

/// Maximum time since the last answer for which the store counts as answering a host. A
/// reader reads the configuration more often than that.
pub const STORE_ANSWERING_MS: u64 = 2 * CONFIRM_INTERVAL_MS;

/// Maximum time that a feed may wait for a change.
pub const LONG_POLL_MS: u64 = 1_000;

/// Time for which targets whose entries vanished without a notice are still used if their
/// pool has no others. After an outage of the store all entries may have expired; those
/// of running targets are back within about two seconds. Shorter than any bound within
/// which work to a leaving target has to end.
pub const EXPIRED_ENTRY_GRACE_MS: u64 = 1_500;

/// Maximum number of changes of the host list in one message. An entry takes some 60 bytes,
/// and a message has to fit in a datagram.
pub const CHANGES_PER_MESSAGE_MAX: usize = 200;

/// Interval between two queries for other hosts while no peer is live.
pub const HOSTS_INTERVAL_MS: u64 = 2_000;

/// Delay before a host that appears to have missed a configuration queries the store, since
/// the message with the change may only have been overtaken.
pub const MISSED_CONFIGURATION_DELAY_MS: u64 = 60;

/// Delay before a host that appears to have missed a change of the host list queries the
/// store. A host that has just started may have read a change that the reader receives with
/// its next call to the feed, or, after an outage of the store, with its next turn.
pub const MISSED_TARGETS_DELAY_MS: u64 = FEED_INTERVAL_MAX_MS + READER_STAGGER_MS;

/// Range of the additional delay before a host reads a configuration that it missed. A
/// change that is too large to be sent is read by all hosts.
pub const MISSED_CONFIGURATION_SPREAD_MS: u64 = 240;

/// Time after which a row that the store has acknowledged counts as kept, also if the store
/// returns to a copy. Copies are some seconds old.
pub const ROW_AT_RISK_MS: u64 = 60_000;

/// A position in the history of the store.
///
/// The store may return to a copy that is some seconds old. Its versions then go back and are
/// given out again, and its era rises. So positions are ordered by era first. See
/// docs/design/store-eras.md.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// How often the store has returned to a copy.
    pub era: u64,
    /// The version within the era; zero precedes all.
    pub version: u64,
}

/// Minimum size of a configuration's row, in bytes, from which a reader asks whether the row
/// has changed instead of reading it. A shorter one costs hardly more than the question.
pub const CHECKED_ROW_MIN_BYTES: usize = 100_000;

/// Time for which a reader reads the configuration after it was not answered whether the row
/// has changed. The store may answer reads and not conditional calls.
pub const CHECK_RETRY_MS: u64 = 10_000;

/// A query to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The newest configuration.
    Configuration,
    /// The newest configuration, if its row has changed.
    ConfigurationCheck {
        /// The version of the row that this host knows.
        row_version: u64,
    },
    /// The evacuated zones alone, while the configuration beside them isn't read.
    Evacuations,
    /// The complete host list of targets.
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
    /// Returns the name of the query in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Query::Configuration => "configuration",
            Query::ConfigurationCheck { .. } => "configuration check",
            Query::Evacuations => "evacuations",
            Query::Targets => "targets",
            Query::TargetFeed { .. } => "target feed",
            Query::ConfigurationFeed { .. } => "configuration feed",
            Query::Hosts => "hosts",
            Query::Register => "register",
        }
    }

    /// Returns true if the reply contains the configuration.
    pub fn is_for_configuration(self) -> bool {
        matches!(
            self,
            Query::Configuration
                | Query::ConfigurationCheck { .. }
                | Query::ConfigurationFeed { .. }
        )
    }

    fn index(self) -> usize {
        match self {
            // A check replaces a read, so only one of them is in progress.
            Query::Configuration | Query::ConfigurationCheck { .. } => 0,
            Query::Targets => 1,
            Query::TargetFeed { .. } => 2,
            Query::ConfigurationFeed { .. } => 3,
            Query::Hosts => 4,
            Query::Register => 5,
            Query::Evacuations => 6,
        }
    }
}

/// A configuration as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfiguration {
    /// The configuration.
    pub configuration: Configuration,
    /// Its row.
    pub row: ConfigurationRow,
}

/// The row of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationRow {
    /// The store's version of the row.
    pub version: u64,
    /// The size of the row, in bytes.
    pub size_bytes: usize,
}

/// The reply to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The newest configuration, if there is one yet.
    Configuration(Option<StoredConfiguration>),
    /// The row of the configuration has the version that was asked for.
    ConfigurationUnchanged,
    /// The evacuated zones, which the event carries beside the reply.
    Evacuations,
    /// The complete host list.
    Targets {
        /// The version of the list.
        store_version: u64,
        /// The entries.
        list: Vec<TargetChange>,
    },
    /// Changes of the host list.
    TargetFeed {
        /// The version up to which the changes go.
        store_version: u64,
        /// The changes, in order.
        changes: Vec<TargetChange>,
    },
    /// Changes of the configuration.
    ConfigurationFeed {
        /// The version up to which the changes go.
        store_version: u64,
        /// The last of the changes.
        configuration: Option<StoredConfiguration>,
    },
    /// The newest configuration can't be decoded, or was received incompletely.
    InvalidConfiguration {
        /// The version of the store.
        store_version: u64,
        /// What is wrong with it.
        problem: String,
    },
    /// Addresses of entry hosts.
    Hosts(Vec<std::net::SocketAddr>),
    /// This host's row was written.
    Registered,
    /// The store no longer has the history that a feed requested.
    HistoryExpired,
    /// The call failed or returned an unusable reply.
    Failed,
}

/// Queries in progress, and when the next ones are due.
#[derive(Clone, Debug, Default)]
pub struct QuerySchedule {
    started_ms: [Option<u64>; 7],
    due_ms: [u64; 7],
    last_success_ms: Option<u64>,
    failures: u32,
    configuration_feed_after: u64,
    feed_interval_ms: u64,
}

impl QuerySchedule {
    /// Starts a query if none of its kind is in progress and it is due. Returns true if
    /// it was started.
    pub fn start(&mut self, now_ms: u64, query: Query) -> bool {
        let index = query.index();
        if self.started_ms[index].is_some() || now_ms < self.due_ms[index] {
            return false;
        }
        self.started_ms[index] = Some(now_ms);
        true
    }

    /// Makes a kind of query due at once.
    pub fn make_due(&mut self, now_ms: u64, query: Query) {
        let index = query.index();
        self.due_ms[index] = self.due_ms[index].min(now_ms);
    }

    /// Ends a query, schedules the next one of its kind, and returns when the query was
    /// started.
    ///
    /// The age of what was read counts from the start, since the store may have answered
    /// at any time after it.
    pub fn end(&mut self, now_ms: u64, query: Query, succeeded: bool) -> u64 {
        let index = query.index();
        let started_ms = self.started_ms[index].take().unwrap_or(now_ms);
        if succeeded {
            // N.B. a host that reads the evacuated zones for itself reads nothing on behalf of
            // others. If it counted as a reader, nobody would read the configuration.
            if query != Query::Evacuations {
                self.last_success_ms = Some(now_ms);
            }
            self.failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
        }
        let pause_ms = match (succeeded, query) {
            (false, _) => {
                (RETRY_INTERVAL_MIN_MS << self.failures.min(4)).min(RETRY_INTERVAL_MAX_MS)
            }
            (
                true,
                Query::Configuration
                | Query::ConfigurationCheck { .. }
                | Query::Evacuations,
            ) => CONFIRM_INTERVAL_MS,
            (true, Query::Targets) => LIST_INTERVAL_MS,
            (true, Query::TargetFeed { .. } | Query::ConfigurationFeed { .. }) => {
                self.feed_interval_ms.max(FEED_INTERVAL_MIN_MS)
            }
            (true, Query::Hosts) => HOSTS_INTERVAL_MS,
            (true, Query::Register) => 0,
        };
        self.due_ms[index] = match query {
            // N.B. a feed's interval counts from the start of the query, so that one that
            // waited long for a change is followed at once by the next.
            Query::TargetFeed { .. } | Query::ConfigurationFeed { .. } if succeeded => {
                started_ms + pause_ms
            }
            _ => now_ms + pause_ms,
        };
        started_ms
    }

    /// Sets the number of targets, which determines the interval between calls to a feed.
    pub fn set_target_count(&mut self, targets: usize) {
        self.feed_interval_ms = (targets as u64 * FEED_INTERVAL_PER_TARGET_MS)
            .clamp(FEED_INTERVAL_MIN_MS, FEED_INTERVAL_MAX_MS);
    }

    /// Returns the time since the store last answered, in milliseconds.
    pub fn success_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_success_ms
            .map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns the number of consecutive failed queries.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the version after which the configuration feed continues.
    pub fn configuration_feed_after(&self) -> u64 {
        self.configuration_feed_after
    }

    /// Forgets the version up to which the configuration feed was read.
    pub fn reset_configuration_feed(&mut self) {
        self.configuration_feed_after = 0;
    }

    /// Advances the version up to which the configuration feed was read.
    pub fn advance_configuration_feed(&mut self, store_version: u64) {
        self.configuration_feed_after = self.configuration_feed_after.max(store_version);
    }
}
