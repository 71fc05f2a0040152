//! Stand-in for the platform: table service, object store and host list in memory.

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
use crate::server::{ServerThread, StopSignal};

/// A running stand-in for the platform, which stops when this is dropped.
#[derive(Debug)]
pub struct Platform {
    server: ServerThread,
    shared: Arc<Shared>,
}

impl Platform {
    /// Binds and starts a platform.
    ///
    /// Returns an error if the address can't be bound or the thread can't be started.
    pub async fn start(config: PlatformConfig) -> io::Result<Platform> {
        let bind = config.bind;
        let shared = Arc::new(Shared {
            config,
            state: Mutex::default(),
        });
        let routed = Arc::clone(&shared);
        let server =
            ServerThread::start(bind, StopSignal::new(), move || routes::router(routed))?;
        Ok(Platform { server, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the platform as killing its process would; its records stay readable.
    pub async fn kill(&self) {
        self.server.stop();
        self.server.wait_until_stopped().await;
    }

    /// Returns true if the platform has stopped.
    pub fn is_stopped(&self) -> bool {
        self.server.is_stopped()
    }

    /// Waits until the platform has stopped.
    pub async fn wait_until_stopped(&self) {
        self.server.wait_until_stopped().await;
    }

    /// Updates the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.state().faults);
    }

    /// Returns the records of what reached the platform.
    pub fn records(&self) -> PlatformRecords {
        self.shared.state().records.clone()
    }

    /// Returns the current value of a row, unaffected by faults.
    pub fn row(&self, table: &str, row: &str) -> Option<Value> {
        self.shared.state().tables.value(table, row)
    }
}

/// Behaviour of a stand-in platform without faults.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address to bind; port 0 selects a free port.
    pub bind: SocketAddr,
    /// Delay until a change of the host list becomes visible to readers.
    pub host_list_lag_ms: u64,
    /// Maximum number of transactions with writes per second; more are refused with 429.
    pub writes_per_second: Option<u32>,
    /// Maximum number of reads and of transactions without writes per second; more are
    /// refused with 429.
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

/// Records of what reached a platform since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlatformRecords {
    /// Transactions in the order in which they were decided.
    pub transactions: Vec<TransactionRecord>,
    /// Number of reads of the table service.
    pub table_reads: u64,
    /// Number of reads of the host list.
    pub host_reads: u64,
    /// Number of reads and writes of objects.
    pub object_requests: u64,
    /// Number of requests refused because of the limits on writes and reads.
    pub limited: u64,
}

/// Record of one transaction that the platform decided.
#[derive(Clone, Debug, Serialize)]
pub struct TransactionRecord {
    /// Time at which the transaction was decided.
    pub decided_unix_ms: u64,
    /// Conditions and writes as received.
    pub body: Value,
    /// Outcome of the transaction.
    pub outcome: TransactionOutcome,
    /// Whether a fault dropped the reply.
    pub reply_dropped: bool,
}

/// Outcome of a transaction.
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
    write_window: RateWindow,
    read_window: RateWindow,
}

/// Rate limiter that counts requests in the current second.
#[derive(Debug, Default)]
struct RateWindow {
    second: u64,
    accepted: u32,
}

impl RateWindow {
    /// Counts a request; returns true if it is within the limit of the second.
    fn accept(&mut self, limit_per_second: Option<u32>, now_unix_ms: u64) -> bool {
        let second = now_unix_ms / 1_000;
        if self.second != second {
            *self = RateWindow {
                second,
                accepted: 0,
            };
        }
        self.accepted += 1;
        limit_per_second.is_none_or(|limit| self.accepted <= limit)
    }
}
