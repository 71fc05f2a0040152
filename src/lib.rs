//! Serving system for generations of unknown length on crowded engines.
//!
//! This crate is the front door: it re-exports the layers below and teaches how they fit.
//! Most deployments need no code at all, only the daemon `toucancleat-entry` and the
//! operators' command `toucancleat`. Use the library to embed an entry host, to test an
//! integration against the stand-ins, or to drive the decisions in a tool of your own.
//!
//! # Decisions without I/O
//!
//! Every decision is a step of one reducer: a state, an event, and the effects that follow.
//! A host that has just started asks for the platform's host list and for nothing else.
//!
//! ```
//! use toucancleat::core::{Effect, Event, Identity, State, reduce};
//! use toucancleat::prelude::*;
//!
//! let mut state = State::new(Identity {
//!     host: HostName::new("entry-1"),
//!     zone: ZoneName::new("upp-a"),
//!     peers_address: "127.0.0.1:7001".parse()?,
//!     incarnation: Incarnation(1),
//!     seed: 7,
//! });
//! let mut effects = Vec::new();
//! reduce(&mut state, 1_000, Event::Tick, &mut effects);
//! assert!(effects.iter().any(|effect| matches!(effect, Effect::ListHosts)));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```
//!
//! # Verdicts
//!
//! A refusal or failure says whether the request may have run, and only a proof that it did
//! not permits another attempt of a request that isn't idempotent:
//!
//! ```
//! use toucancleat::prelude::*;
//!
//! let idempotent = false;
//! assert!(Verdict::NotRun.permits_retry(idempotent));
//! assert!(!Verdict::MayHaveRun.permits_retry(idempotent));
//! ```
//!
//! # What is guaranteed
//!
//! Each token goes out once, in order and from one generation; a request that isn't
//! idempotent runs at most once; "not run" means not run; an accepted change of the
//! settings never reverts. docs/PROOFS.md says how each promise is proved, within which
//! bounds, and what is not proved.
//!
//! # What it costs
//!
//! A decision is paid for each request, not for each token. docs/MEASURED.md has the figures
//! with their commands, docs/CAPACITY.md what they mean at the target size.
//!
//! # When not to use it
//!
//! Where requests are short and alike, a plain balancer does. Where nothing like the
//! platform's transactional table exists, requests that may run once only can't be kept to
//! that. Where links between hosts aren't trusted, put them in a private network: peers and
//! callers connect without TLS.

pub use toucancleat_core as core;

/// The types that nearly every user of the library needs.
pub mod prelude {
    pub use toucancleat_core::prelude::*;
    pub use toucancleat_core::refusal::{Problem, Refusal};
}
