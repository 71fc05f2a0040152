//! Hybrid logical clocks, which order the records of hosts whose clocks differ.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Largest lead over the local clock at which another host's stamp is adopted.
///
/// Without this limit, one host whose clock is wrong would advance the stamps of the
/// whole fleet.
const AHEAD_MAX_MS: u64 = 60_000;

/// A timestamp whose order respects causality between hosts whose clocks differ.
///
/// A record that a host makes after it has received a message has a later stamp than the
/// records that the sender made before it sent the message.
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
    /// Latest known wall-clock time, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Number of the stamp within the millisecond.
    pub counter: u32,
}

/// The clock of one host, whose stamps strictly increase.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns the stamp for an event at the current time.
    pub fn tick(&mut self, now_unix_ms: u64) -> Stamp {
        self.last = self.last.max(latest_stamp_before(now_unix_ms)).next();
        self.last
    }

    /// Advances the clock past a stamp from another host, unless it is too far ahead.
    pub fn observe(&mut self, now_unix_ms: u64, stamp: Stamp) {
        if stamp.at_unix_ms <= now_unix_ms.saturating_add(AHEAD_MAX_MS) {
            self.last = self.last.max(stamp);
        }
    }
}

/// Number of bits that hold the counter in a packed stamp.
const COUNTER_BITS: u32 = 20;

impl Stamp {
    /// Packs the stamp into an integer that preserves the order, for the envelope of a
    /// message.
    ///
    /// N.B. A counter that exceeds 20 bits saturates, which can only make records of
    /// the same millisecond appear simultaneous.
    pub fn to_u64(self) -> u64 {
        let counter = u64::from(self.counter).min((1 << COUNTER_BITS) - 1);
        (self.at_unix_ms << COUNTER_BITS) | counter
    }

    /// Unpacks a stamp from [`Stamp::to_u64`].
    pub fn from_u64(packed: u64) -> Self {
        Stamp {
            at_unix_ms: packed >> COUNTER_BITS,
            counter: (packed & ((1 << COUNTER_BITS) - 1)) as u32,
        }
    }

    /// Returns the smallest later stamp.
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

/// Returns the latest stamp before a millisecond begins.
fn latest_stamp_before(now_unix_ms: u64) -> Stamp {
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
