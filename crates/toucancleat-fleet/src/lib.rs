//! Decisions of entry hosts whose platform keeps the configuration and the host list.
//!
//! One reducer, [`reduce`], takes every event of a host and returns what is to be done as
//! data. It has no I/O, clock or thread, so each decision can be replayed in a test, and
//! the same reducer runs in the daemon `toucancleat-gateway`.
//!
//! # What holds
//!
//! - A request that isn't idempotent is sent again only on proof that it has not run
//!   ([`Verdict`](toucancleat_core::verdict::Verdict)).
//! - A target that is known to leave gets no new work, whoever heard of it.
//! - Keys are trusted only while the configuration is known to be recent.
//! - Retries of the whole fleet stay within one bound, also between hosts that can't hear
//!   each other ([`budget`]).
//! - A request that breaks off at each target that runs it is refused by all hosts
//!   ([`crashers`]).
//!
//! # What it costs
//!
//! A decision looks at each target of one pool and at each host's last message: both are
//! some dozens. Each host sends every other a datagram at an interval that grows with the
//! fleet ([`peers`]). One host reads the platform's store for all ([`store`]).
//!
//! The design is in docs/design/platform.md.

pub mod budget;
pub mod configuration;
pub mod crashers;
pub mod evacuation;
pub mod event;
pub mod events;
pub mod health;
pub mod migration_plan;
pub mod peers;
pub mod prelude;
mod reduce;
pub mod request;
pub mod selection;
pub mod settings;
pub mod state;
pub mod store;
pub mod target;

pub use crate::reduce::reduce;
