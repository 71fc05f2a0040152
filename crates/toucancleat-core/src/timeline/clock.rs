//! Hybrid logical clocks.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How far ahead of the local clock another host's stamp is followed.
///
/// A host whose clock is further off would otherwise drag the stamps of the whole fleet
/// along with it.
const AHEAD_MAX_MS: u64 = 60_000;

/// A time that respects cause and effect between hosts whose clocks differ.
///
/// What a host records after it has received a message has a later stamp than what the
/// sender recorded before it sent the message.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Stamp {
    /// The latest wall-clock time known, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Counts the stamps within the millisecond.
    pub counter: u32,
}

/// The clock that gives out the stamps of one host, each later than the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns a stamp for something that happens now.
    pub fn tick(&mut self, now_unix_ms: u64) -> Stamp {
        self.last = self.last.max(before(now_unix_ms)).next();
        self.last
    }

    /// Takes in a stamp from another host.
    pub fn observe(&mut self, now_unix_ms: u64, stamp: Stamp) {
        if stamp.at_unix_ms <= now_unix_ms.saturating_add(AHEAD_MAX_MS) {
            self.last = self.last.max(stamp);
        }
    }
}

/// Bits of a packed stamp that hold the counter.
const COUNTER_BITS: u32 = 20;

impl Stamp {
    /// Packs the stamp into one number of the same order, for a message's envelope.
    ///
    /// N.B. A counter beyond its 20 bits is cut to the largest, which can only make two
    /// records of one millisecond look simultaneous.
    pub fn to_u64(self) -> u64 {
        let counter = u64::from(self.counter).min((1 << COUNTER_BITS) - 1);
        (self.at_unix_ms << COUNTER_BITS) | counter
    }

    /// Unpacks a stamp.
    pub fn from_u64(packed: u64) -> Self {
        Stamp {
            at_unix_ms: packed >> COUNTER_BITS,
            counter: (packed & ((1 << COUNTER_BITS) - 1)) as u32,
        }
    }

    /// Returns the next later stamp.
    fn next(self) -> Stamp {
        match self.counter.checked_add(1) {
            Some(counter) => Stamp { counter, ..self },
            None => Stamp {
                at_unix_ms: self.at_unix_ms + 1,
                counter: 0,
            },
        }
    }
}

/// Returns the last stamp before a millisecond begins.
fn before(now_unix_ms: u64) -> Stamp {
    Stamp {
        at_unix_ms: now_unix_ms.saturating_sub(1),
        counter: u32::MAX,
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.at_unix_ms, self.counter)
    }
}
