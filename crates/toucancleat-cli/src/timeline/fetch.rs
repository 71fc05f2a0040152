//! Fetches the timeline records from the rings of all entry hosts.

use futures::future::join_all;
use indexmap::IndexMap;
use toucancleat_core::prelude::*;
use toucancleat_core::timeline::{Page, Record, merge};

use crate::connection::OperatorPort;
use crate::error::Error;

/// Maximum number of records in one reply.
const PAGE_RECORDS: usize = 10_000;

/// Reads the records of all hosts, each record once.
pub(super) struct TimelineReader {
    hosts: Vec<OperatorPort>,
    positions: IndexMap<String, ReadPosition>,
}

/// The records that hosts have made since the last read.
#[derive(Default)]
pub(super) struct RecordBatch {
    /// The records of all hosts, merged in order.
    pub records: Vec<Record>,
    /// Messages about missing records.
    pub notices: Vec<String>,
    /// The hosts that couldn't be reached or didn't send a valid reply.
    pub unreached: Vec<String>,
}

/// The position up to which a host's ring has been read.
#[derive(Clone, Copy, Default)]
struct ReadPosition {
    incarnation: Incarnation,
    after: u64,
}

impl TimelineReader {
    pub(super) fn new(hosts: Vec<OperatorPort>) -> Self {
        TimelineReader {
            hosts,
            positions: IndexMap::new(),
        }
    }

    /// Reads the records that the hosts have made since the last call.
    pub(super) async fn read_new_records(&mut self) -> RecordBatch {
        let mut batch = RecordBatch::default();
        let mut pages = Vec::new();
        let reads = self.hosts.iter().map(|host| {
            let position = self
                .positions
                .get(&host.label())
                .copied()
                .unwrap_or_default();
            read_host(host, position)
        });
        for (host, read) in self.hosts.iter().zip(join_all(reads).await) {
            let label = host.label();
            match read {
                Ok((position, host_pages)) => {
                    let dropped: u64 = host_pages.iter().map(|page| page.dropped).sum();
                    if dropped > 0 {
                        batch.notices.push(format!(
                            "{label}: {dropped} earlier records aren't shown; the ring no longer has \
                             them"
                        ));
                    }
                    pages.extend(host_pages);
                    self.positions.insert(label, position);
                }
                Err(error) => {
                    batch
                        .notices
                        .push(format!("records of a host aren't shown: {error}"));
                    batch.unreached.push(label);
                }
            }
        }
        batch.records = merge(pages);
        batch
    }
}

/// Reads a host's ring to its end, from the start if the host has restarted since.
async fn read_host(
    host: &OperatorPort,
    from: ReadPosition,
) -> Result<(ReadPosition, Vec<Page>), Error> {
    let mut position = from;
    let mut pages = Vec::new();
    loop {
        let path = format!("/timeline?after={}&limit={PAGE_RECORDS}", position.after);
        let page: Page = host.get(&path).await?;
        if page.incarnation != position.incarnation {
            let is_first_read = position.after == 0;
            position = ReadPosition {
                incarnation: page.incarnation,
                after: 0,
            };
            if !is_first_read {
                continue;
            }
        }
        position.after = page.next_after;
        // A host may return fewer records than the limit, so only an empty page is the last.
        let is_last = page.records.is_empty();
        pages.push(page);
        if is_last {
            return Ok((position, pages));
        }
    }
}
