//! The verdict that a part of prompts is poison, and the trials that confirm or end it.
//!
//! A verdict may be wrong: targets that crash for a common reason do so under whatever they run.
//! It can't be contradicted while all requests with the part are refused, so after a pause one of
//! them is sent as a trial. The pause is short while all crashes may have had one cause, and
//! grows with each crash at another time. See docs/design/poison-parts.md.

/// Time within which crashes may have a common cause, so that they are one occasion, however
/// many targets crash.
pub const COMMON_CAUSE_MS: u64 = 500;

/// Time for which requests with a poison part are refused, unless a trial is answered. The next
/// request then shows whether the part still crashes targets.
pub const REFUSAL_MS: u64 = 600_000;

/// Time after that in which a single crash suffices for another verdict.
pub(crate) const PROBATION_MS: u64 = 600_000;

/// Time from the last crash to a trial after one, two, and more occasions.
const TRIAL_PAUSES_MS: [u64; 3] = [1_000, 1_000, 60_000];

/// Time after which a trial without an outcome is followed by another. Most requests are answered,
/// or have been answering for a while, by then.
pub const TRIAL_MS: u64 = 3_000;

/// Delay of a trial at one host after another. It covers the message that tells of a trial.
const TRIAL_STAGGER_MS: u64 = 250;

/// Range of the random delay that is added to the time to retry after, as a share of that time.
const RETRY_SPREAD: f64 = 0.5;

/// How firmly a verdict stands; each crash on another occasion raises it by one. Beyond the pauses
/// of trials, after a trial of a confirmed verdict has failed, there are no more trials.
pub type Confidence = u8;

/// The confidence in a verdict with crashes on three occasions, or of a host that names none.
pub const CONFIRMED: Confidence = 2;

/// The highest confidence.
pub const CONFIDENCE_MAX: Confidence = CONFIRMED + 1;

/// A verdict on a poison part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonVerdict {
    /// When the last of the crashes happened by which the part was found to be poison.
    pub since_ms: u64,
    /// How firmly it stands.
    pub confidence: Confidence,
}

impl PoisonVerdict {
    /// Returns the verdict by the times of crashes, or `None` if there are none.
    pub fn from_crashes(crashes_ms: impl Iterator<Item = u64>) -> Option<PoisonVerdict> {
        let mut crashes_ms: Vec<u64> = crashes_ms.collect();
        crashes_ms.sort_unstable();
        let since_ms = *crashes_ms.last()?;
        let mut occasions: Confidence = 0;
        let mut began_ms = None;
        for at_ms in crashes_ms {
            if began_ms.is_none_or(|began_ms| at_ms >= began_ms + COMMON_CAUSE_MS) {
                began_ms = Some(at_ms);
                occasions = occasions.saturating_add(1);
            }
        }
        Some(PoisonVerdict {
            since_ms,
            confidence: (occasions - 1).min(CONFIRMED),
        })
    }

    /// Returns true while requests with the part are refused.
    pub fn is_in_force(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.since_ms) < REFUSAL_MS
    }

    /// Returns when the next trial is due, or the verdict ends.
    pub fn trial_due_ms(&self) -> u64 {
        let pause_ms = TRIAL_PAUSES_MS.get(usize::from(self.confidence));
        self.since_ms + pause_ms.copied().unwrap_or(REFUSAL_MS)
    }

    /// Renews the verdict by a crash on another occasion. Returns false if it may be the same one.
    pub fn renew(&mut self, crash_ms: u64, was_trial: bool) -> bool {
        if crash_ms < self.since_ms + COMMON_CAUSE_MS {
            return false;
        }
        let confidence_max = if was_trial { CONFIDENCE_MAX } else { CONFIRMED };
        let raised = (self.confidence + 1).min(confidence_max);
        self.confidence = self.confidence.max(raised);
        self.since_ms = crash_ms;
        true
    }
}

/// Returns how long a host waits with a trial that is due, so that not all begin one at the same moment.
///
/// Hosts whose turn comes later may have more requests with the part than the first, or it may have
/// none. The number of hosts that may begin doubles with each step, so that a fleet of any size gets
/// through in seconds.
pub fn trial_delay_ms(hosts_before: u64) -> u64 {
    let step = u64::BITS - hosts_before.leading_zeros();
    u64::from(step) * TRIAL_STAGGER_MS
}

/// Returns the time after which the caller of a refused request should retry, given a random number
/// from 0 to 1.
///
/// Without the random delay, all callers that a verdict has refused would retry at the same moment:
/// the first as the trial, and the others only to be refused again.
pub fn retry_after_ms(refused_ms: u64, random_unit: f64) -> u64 {
    refused_ms + (RETRY_SPREAD * refused_ms as f64 * random_unit) as u64
}
