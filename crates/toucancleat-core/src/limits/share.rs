//! Arithmetic on shares of an organisation's limits.

use std::ops::Add;

/// A part of an organisation's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Share {
    /// Rate in thousandths of a request per second, that is requests per 1,000 s.
    pub millirequests_per_s: u64,
    /// Number of requests in progress at the same time.
    pub concurrent: u32,
}

impl Share {
    /// The empty share.
    pub const NONE: Share = Share {
        millirequests_per_s: 0,
        concurrent: 0,
    };

    /// Creates a share from the values of the settings; a negative rate counts as zero.
    pub fn new(requests_per_s: f64, concurrent: u32) -> Self {
        let millirequests_per_s = (requests_per_s * 1_000.0).max(0.0) as u64;
        Share {
            millirequests_per_s,
            concurrent,
        }
    }

    /// Returns the greater of both values for the rate and the requests in progress.
    pub fn max(self, other: Share) -> Share {
        Share {
            millirequests_per_s: self.millirequests_per_s.max(other.millirequests_per_s),
            concurrent: self.concurrent.max(other.concurrent),
        }
    }

    /// Returns the lesser of both values for the rate and the requests in progress.
    pub fn min(self, other: Share) -> Share {
        Share {
            millirequests_per_s: self.millirequests_per_s.min(other.millirequests_per_s),
            concurrent: self.concurrent.min(other.concurrent),
        }
    }

    /// Subtracts `other` from the rate and the requests in progress, each down to zero.
    pub fn saturating_sub(self, other: Share) -> Share {
        let rate = self
            .millirequests_per_s
            .saturating_sub(other.millirequests_per_s);
        Share {
            millirequests_per_s: rate,
            concurrent: self.concurrent.saturating_sub(other.concurrent),
        }
    }

    /// Returns `numerator / denominator` of the rate and the requests in progress,
    /// rounded down. A denominator of zero counts as one.
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

/// Divides a capacity between demands with max-min fairness: up to rounding, a part is
/// smaller than another only if it meets its demand in full. Returns the part of the
/// demand at `index`.
pub(super) fn max_min_share(capacity: u64, demands: &[u64], index: usize) -> u64 {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&i| (demands[i], i));
    let mut remaining = capacity;
    for (served_count, &i) in order.iter().enumerate() {
        let unserved_count = (demands.len() - served_count) as u64;
        let part = demands[i]
            .min(remaining.div_ceil(unserved_count))
            .min(remaining);
        if i == index {
            return part;
        }
        remaining -= part;
    }
    0
}
