//! The daemon of an entry host: sockets and timers around the reducers.
//!
//! [`EntryHost::start`] opens the ports, reads the settings from the platform and serves
//! until [`EntryHost::drain`] stops it. Every decision is made by
//! [`toucancleat_core::reduce`]; this crate applies events to it and executes its
//! effects.
//!
//! A process may run several entry hosts, as tests and the demonstration do; the binary
//! `toucancleat-entry` runs one.

pub mod callers;
mod claims;
pub mod clock;
mod config;
mod driver;
pub mod engine;
mod error;
mod host;
pub mod http;
pub mod logging;
mod metrics;
mod observe;
mod operators;
mod orders;
mod peers;
pub mod platform;
mod problem;
mod relay;
pub mod service;
mod serving;
mod settings;
mod views;

pub use self::config::Config;
pub use self::error::Error;
pub use self::serving::EntryHost;
