//! The claim of a request to room, and the order of claims.
//!
//! See docs/design/contention.md, "Order".

use serde::{Deserialize, Serialize};

use crate::configuration::Route;

/// Part of the time that a caller has left for which it waits after a refusal, as a divisor.
pub const RETURN_TIME_DIVISOR: u64 = 3;

/// Part of the time until a claim is due that the prompts at a target may take, in percent. The
/// rest is for what the estimate of their duration lacks.
const PREFILL_PART_PERCENT: u64 = 75;

/// Part of the objective of a more urgent kind of request that the prompts of others may take at
/// a target, as a divisor. A request of that kind still begins there in time.
const URGENT_OBJECTIVE_DIVISOR: u64 = 2;

/// Part of the time that a caller has left for which an overdue request waits, as a divisor.
const OVERDUE_WAIT_DIVISOR: u64 = 4;

/// Part of the time that a caller has left that an overdue request keeps for its run, as a
/// divisor.
const RUN_TIME_DIVISOR: u64 = 2;

/// Priority from which on requests rank alike.
const PRIORITY_MAX: u8 = 15;

/// Place of a claim in the order of claims; the lowest gets room first.
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
pub struct Rank(u8);

impl Rank {
    /// Returns the rank before this one, or `None` for the first.
    pub fn before(self) -> Option<Rank> {
        self.0.checked_sub(1).map(Rank)
    }

    /// Returns the rank as a number for the log.
    pub fn number(self) -> u8 {
        self.0
    }
}

/// The most urgent requests of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UrgentKind {
    /// Their priority.
    pub priority: u8,
    /// Time within which their answers are in time.
    pub objective_ms: u64,
}

/// What a request asks of the targets of its pool, and how long that is of use to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// When the request arrived.
    pub arrived_ms: u64,
    /// Until when its answer has to begin to be in time for the caller.
    pub due_ms: u64,
    /// When the caller gives up.
    pub deadline_ms: u64,
    /// Time within which an answer is in time, from the caller's first attempt.
    pub objective_ms: u64,
    /// Time that the first event takes at a target without other prompts.
    pub first_event_ms: u64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Memory that it needs, in tokens.
    pub tokens: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Whether it is a stream that has begun elsewhere.
    pub is_continued: bool,
    /// Whether its organisation uses more than its share.
    pub is_over_share: bool,
}

impl Claim {
    /// Returns the rank at a time. `urgent` are the most urgent requests of the pool, if they are
    /// more urgent than this one.
    ///
    /// A stream that has begun comes first, since it is lost if it is refused. The others rank by
    /// priority. Those that can still be in time precede those of their priority that can't, and
    /// those of an organisation within its share precede others. A request with no more time left
    /// than the most urgent ones have ranks with these.
    pub fn rank(&self, now_ms: u64, urgent: Option<UrgentKind>) -> Rank {
        if self.is_continued {
            return Rank(0);
        }
        let left_ms = self.due_ms.saturating_sub(now_ms);
        let is_overdue = left_ms == 0;
        let risen = urgent.filter(|urgent| !is_overdue && left_ms <= urgent.objective_ms);
        let priority = risen.map_or(self.priority, |urgent| urgent.priority);
        let by_priority = 4 * priority.min(PRIORITY_MAX);
        Rank(1 + by_priority + 2 * u8::from(is_overdue) + u8::from(self.is_over_share))
    }

    /// Returns the time that the prompts at a target may take if this one is sent there. `urgent`
    /// are the most urgent requests of the pool, if they are more urgent than this one.
    pub fn prefill_limit_ms(&self, now_ms: u64, urgent: Option<UrgentKind>) -> u64 {
        let left_ms = self.due_ms.saturating_sub(now_ms);
        if left_ms == 0 {
            return self.objective_ms / URGENT_OBJECTIVE_DIVISOR;
        }
        let own_limit_ms = left_ms * PREFILL_PART_PERCENT / 100;
        urgent
            .filter(|urgent| left_ms > urgent.objective_ms)
            .map_or(own_limit_ms, |urgent| {
                own_limit_ms.min(urgent.objective_ms / URGENT_OBJECTIVE_DIVISOR)
            })
    }

    /// Returns until when the request waits for room: while its answer can be in time.
    ///
    /// If it can't be from the start, the request waits for a quarter of the time that its caller
    /// has left, and for as long as its objective if that leaves it half of the time for its run.
    /// Few callers come back after a second refusal.
    pub fn waits_until_ms(&self) -> u64 {
        let in_time_ms = self.due_ms.saturating_sub(self.first_event_ms);
        if self.arrived_ms < in_time_ms {
            return in_time_ms;
        }
        let left_ms = self.deadline_ms.saturating_sub(self.arrived_ms);
        let shortest_ms = self.objective_ms.min(left_ms / RUN_TIME_DIVISOR);
        self.arrived_ms + shortest_ms.max(left_ms / OVERDUE_WAIT_DIVISOR)
    }
}

/// Returns until when an answer has to begin to be in time for its caller.
///
/// The objective counts from the caller's first attempt. A caller that comes back after a refusal
/// has less time left than others of its route, which tells when it asked first. A caller whose
/// limit is shorter than a return explains always waits for so long.
pub fn due_ms(arrived_ms: u64, time_limit_ms: Option<u64>, route: &Route) -> u64 {
    let objective_ms = route.latency_objective_ms;
    let time_limit_ms = time_limit_ms.unwrap_or(route.timeout_ms);
    let elapsed_ms = route.timeout_ms.saturating_sub(time_limit_ms);
    let elapsed_max_ms = objective_ms + route.timeout_ms / RETURN_TIME_DIVISOR;
    let elapsed_ms = if elapsed_ms <= elapsed_max_ms {
        elapsed_ms
    } else {
        0
    };
    (arrived_ms + objective_ms).saturating_sub(elapsed_ms)
}
