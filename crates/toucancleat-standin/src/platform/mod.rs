//! The stand-in platform: table service, object store and host list in memory.

mod faults;
mod hosts;
mod routes;
mod table;

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use serde::Serialize;
use serde_json::Value;

pub use self::faults::PlatformFaults;
use self::hosts::HostList;
use self::table::Tables;
use crate::server::{ServerThread, Stop};

/// A running stand-in of the platform, which ends when this is dropped.
#[derive(Debug)]
pub struct Platform {
    server: ServerThread,
    shared: Arc<Shared>,
}

impl Platform {
    /// Binds and starts a platform.
    pub async fn start(config: PlatformConfig) -> io::Result<Platform> {
        let bind = config.bind;
        let shared = Arc::new(Shared {
            config,
            state: Mutex::default(),
        });
        let routed = Arc::clone(&shared);
        let server =
            ServerThread::start(bind, Stop::new(), move || routes::router(routed))?;
        Ok(Platform { server, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends the platform as a kill would; its records stay readable.
    pub async fn kill(&self) {
        self.server.stop();
        self.server.stopped().await;
    }

    /// Says whether the platform has ended.
    pub fn is_stopped(&self) -> bool {
        self.server.is_stopped()
    }

    /// Waits until the platform has ended.
    pub async fn stopped(&self) {
        self.server.stopped().await;
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.state().faults);
    }

    /// Returns what reached the platform.
    pub fn records(&self) -> PlatformRecords {
        self.shared.state().records.clone()
    }

    /// Returns the value of a row as it is now, past all faults.
    pub fn row(&self, table: &str, row: &str) -> Option<Value> {
        self.shared.state().tables.value(table, row)
    }
}

/// How a stand-in platform behaves without faults.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The address to bind; port 0 takes a free port.
    pub bind: SocketAddr,
    /// The time after which a change of the host list is seen by readers.
    pub host_list_lag_ms: u64,
    /// Transactions with writes that are accepted in one second; more get 429.
    pub writes_per_second: Option<u32>,
    /// Reads and pure checks that are accepted in one second; more get 429.
    pub reads_per_second: Option<u32>,
}

impl Default for PlatformConfig {
    fn default() -> PlatformConfig {
        PlatformConfig {
            bind: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            host_list_lag_ms: 0,
            writes_per_second: None,
            reads_per_second: None,
        }
    }
}

/// What reached a platform since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlatformRecords {
    /// Transactions in the order in which they were decided.
    pub transactions: Vec<TransactionRecord>,
    /// Reads of the table service.
    pub table_reads: u64,
    /// Reads of the host list.
    pub host_reads: u64,
    /// Reads and writes of objects.
    pub object_requests: u64,
    /// Requests refused because of the limits on writes and reads.
    pub limited: u64,
}

/// One transaction that the platform decided.
#[derive(Clone, Debug, Serialize)]
pub struct TransactionRecord {
    /// When the transaction was decided.
    pub decided_unix_ms: u64,
    /// The conditions and writes as they came.
    pub body: Value,
    /// What was decided.
    pub outcome: TransactionOutcome,
    /// Whether a fault dropped the reply.
    pub reply_dropped: bool,
}

/// What the platform decided on a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum TransactionOutcome {
    /// All writes were applied.
    Applied,
    /// A condition failed, and nothing was applied.
    Conflict,
}

#[derive(Debug)]
struct Shared {
    config: PlatformConfig,
    state: Mutex<State>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Default)]
struct State {
    tables: Tables,
    objects: BTreeMap<String, Bytes>,
    hosts: HostList,
    faults: PlatformFaults,
    records: PlatformRecords,
    write_window: Window,
    read_window: Window,
}

/// The requests accepted in the present second.
#[derive(Debug, Default)]
struct Window {
    second: u64,
    accepted: u32,
}

impl Window {
    /// Accepts a request unless the second's limit is reached.
    fn accept(&mut self, limit_per_second: Option<u32>, now_unix_ms: u64) -> bool {
        let second = now_unix_ms / 1_000;
        if self.second != second {
            *self = Window {
                second,
                accepted: 0,
            };
        }
        self.accepted += 1;
        limit_per_second.is_none_or(|limit| self.accepted <= limit)
    }
}
