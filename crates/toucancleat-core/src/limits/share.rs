//! Amounts of a limit.

use std::ops::Add;

/// A part of an organisation's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Share {
    /// Requests per 1,000 s.
    pub millirequests_per_s: u64,
    /// Requests in progress at once.
    pub concurrent: u32,
}

impl Share {
    /// Nothing.
    pub const NONE: Share = Share {
        millirequests_per_s: 0,
        concurrent: 0,
    };

    /// Makes a share from the values of the settings.
    pub fn new(requests_per_s: f64, concurrent: u32) -> Self {
        let millirequests_per_s = (requests_per_s * 1_000.0).max(0.0) as u64;
        Share {
            millirequests_per_s,
            concurrent,
        }
    }

    /// Takes the greater of each part.
    pub fn max(self, other: Share) -> Share {
        Share {
            millirequests_per_s: self.millirequests_per_s.max(other.millirequests_per_s),
            concurrent: self.concurrent.max(other.concurrent),
        }
    }

    /// Takes the lesser of each part.
    pub fn min(self, other: Share) -> Share {
        Share {
            millirequests_per_s: self.millirequests_per_s.min(other.millirequests_per_s),
            concurrent: self.concurrent.min(other.concurrent),
        }
    }

    /// Takes away from each part, down to nothing.
    pub fn saturating_sub(self, other: Share) -> Share {
        let rate = self
            .millirequests_per_s
            .saturating_sub(other.millirequests_per_s);
        Share {
            millirequests_per_s: rate,
            concurrent: self.concurrent.saturating_sub(other.concurrent),
        }
    }

    /// Takes `numerator / denominator` of each part, rounded down.
    pub(super) fn scaled(self, numerator: u64, denominator: u64) -> Share {
        let denominator = denominator.max(1);
        let scale = |value: u64| {
            let scaled =
                u128::from(value) * u128::from(numerator) / u128::from(denominator);
            scaled as u64
        };
        Share {
            millirequests_per_s: scale(self.millirequests_per_s),
            concurrent: scale(u64::from(self.concurrent)) as u32,
        }
    }
}

impl Add for Share {
    type Output = Share;

    fn add(self, other: Share) -> Share {
        let rate = self
            .millirequests_per_s
            .saturating_add(other.millirequests_per_s);
        Share {
            millirequests_per_s: rate,
            concurrent: self.concurrent.saturating_add(other.concurrent),
        }
    }
}

impl std::iter::Sum for Share {
    fn sum<I: Iterator<Item = Share>>(shares: I) -> Share {
        shares.fold(Share::NONE, Add::add)
    }
}

/// Divides a pool between wishes so that no one gets less than another unless it wishes
/// less (max-min fairness); returns what falls to the wish at `index`.
pub(super) fn fair_part(pool: u64, wishes: &[u64], index: usize) -> u64 {
    let mut order: Vec<usize> = (0..wishes.len()).collect();
    order.sort_by_key(|&i| (wishes[i], i));
    let mut left = pool;
    for (served, &i) in order.iter().enumerate() {
        let waiting = (wishes.len() - served) as u64;
        let part = wishes[i].min(left.div_ceil(waiting)).min(left);
        if i == index {
            return part;
        }
        left -= part;
    }
    0
}
