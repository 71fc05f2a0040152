//! Fetching the rings of all entry hosts.

use futures::future::join_all;
use indexmap::IndexMap;
use toucancleat_core::prelude::*;
use toucancleat_core::timeline::{Page, Record, merge};

use crate::connection::HostPort;
use crate::error::Error;

/// Most records in one reply.
const PAGE_RECORDS: usize = 10_000;

/// Reads the records of all hosts, each once.
pub(super) struct Reader {
    hosts: Vec<HostPort>,
    places: IndexMap<String, Place>,
}

/// What is new since the last look.
#[derive(Default)]
pub(super) struct Round {
    /// The records of all hosts in one order.
    pub records: Vec<Record>,
    /// What is missing from them, in words.
    pub notices: Vec<String>,
    /// The hosts that couldn't be reached.
    pub missing: Vec<String>,
}

/// How far a host's ring has been read.
#[derive(Clone, Copy, Default)]
struct Place {
    incarnation: Incarnation,
    after: u64,
}

impl Reader {
    pub(super) fn new(hosts: Vec<HostPort>) -> Self {
        Reader {
            hosts,
            places: IndexMap::new(),
        }
    }

    /// Reads what the hosts have recorded since the last call.
    pub(super) async fn read_new(&mut self) -> Round {
        let mut round = Round::default();
        let mut pages = Vec::new();
        let reads = self.hosts.iter().map(|host| {
            let place = self.places.get(&host.label()).copied().unwrap_or_default();
            read_host(host, place)
        });
        for (host, read) in self.hosts.iter().zip(join_all(reads).await) {
            let label = host.label();
            match read {
                Ok((place, read)) => {
                    let dropped: u64 = read.iter().map(|page| page.dropped).sum();
                    if dropped > 0 {
                        round.notices.push(format!(
                            "{label}: {dropped} records before these are no longer kept"
                        ));
                    }
                    pages.extend(read);
                    self.places.insert(label, place);
                }
                Err(error) => {
                    round.notices.push(format!("not shown: {error}"));
                    round.missing.push(label);
                }
            }
        }
        round.records = merge(pages);
        round
    }
}

/// Reads a host's ring to its end; from its start when the host has been started anew.
async fn read_host(host: &HostPort, from: Place) -> Result<(Place, Vec<Page>), Error> {
    let mut place = from;
    let mut pages = Vec::new();
    loop {
        let path = format!("/timeline?after={}&limit={PAGE_RECORDS}", place.after);
        let page: Page = host.get(&path).await?;
        if page.incarnation != place.incarnation {
            let first_look = place.after == 0;
            place = Place {
                incarnation: page.incarnation,
                after: 0,
            };
            if !first_look {
                continue;
            }
        }
        place.after = page.next_after;
        // A host may return fewer records than asked for, so only an empty page is the last.
        let is_last = page.records.is_empty();
        pages.push(page);
        if is_last {
            return Ok((place, pages));
        }
    }
}
