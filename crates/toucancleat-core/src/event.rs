//! What can happen to an entry host.

use std::sync::Arc;

use crate::settings::InForce;
use crate::{claims, requests};

/// An event, as the daemon feeds it to [`crate::reduce`].
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time passed.
    Tick,
    /// A newer revision of the settings is known.
    Settings(Arc<InForce>),
    /// Something happened to a request.
    Request(requests::Event),
    /// The platform answered the claims, or something happened to one.
    Claims(claims::Event),
    /// The host was told to stop: it takes no new requests and finishes those it has.
    Drain,
}
