//! The HTTP statuses that end a request.

/// Returns true if a status ends a request.
///
/// A faulty target may send any number. Those below 200 are interim, and HTTP has none above 599, so an
/// answer with one of these says nothing about its request.
pub fn ends_request(status: u16) -> bool {
    (200..600).contains(&status)
}
