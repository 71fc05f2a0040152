//! Log-spaced buckets of answer lengths.

/// Number of buckets. The last one holds every longer answer.
pub(super) const BUCKETS: usize = 86;

/// Buckets for each doubling of the length, which bound the relative error by 15%.
const BUCKETS_PER_OCTAVE: f64 = 5.0;

/// Returns the bucket that holds an answer of `tokens`.
pub(super) fn bucket_of(tokens: u32) -> usize {
    bucket_position(tokens.max(1) as f64) as usize
}

/// Returns the fractional bucket of `tokens`: the integer part is the bucket, and the
/// rest is the relative position within it.
pub(super) fn bucket_position(tokens: f64) -> f64 {
    let last = (BUCKETS - 1) as f64;
    (tokens.max(1.0).log2() * BUCKETS_PER_OCTAVE).min(last)
}

/// Returns the least length of a bucket, in tokens.
pub(super) fn lower_edge(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
}
