//! Choosing among the records of many hosts and putting them in order.

use std::collections::HashSet;

use super::clock::Stamp;
use super::kind::RecordKind;
use super::record::Record;
use super::ring::Page;
use crate::prelude::*;

/// Which records to show; what is `None` or empty doesn't matter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Filter {
    /// The request.
    pub request: Option<RequestId>,
    /// The target.
    pub target: Option<TargetName>,
    /// The organisation.
    pub organisation: Option<OrganisationName>,
    /// One of these kinds.
    pub kinds: Vec<RecordKind>,
}

impl Filter {
    /// Says whether a record is to be shown.
    pub fn matches(&self, record: &Record) -> bool {
        let entry = &record.entry;
        is_wanted(&self.request, &entry.request)
            && is_wanted(&self.target, &entry.target)
            && is_wanted(&self.organisation, &entry.organisation)
            && (self.kinds.is_empty() || self.kinds.contains(&entry.kind))
    }
}

/// Puts the records of several hosts into one order that respects cause and effect.
pub fn merge(pages: impl IntoIterator<Item = Page>) -> Vec<Record> {
    let mut records: Vec<Record> =
        pages.into_iter().flat_map(|page| page.records).collect();
    records.sort_by(|a, b| order(a).cmp(&order(b)));
    records
}

/// Returns the records of a request and of those that went on with one of its streams, at
/// whichever host and however often.
pub fn related_to(request: RequestId, records: &[Record]) -> Vec<&Record> {
    let mut requests = HashSet::from([request]);
    let mut generations: HashSet<GenerationId> = HashSet::new();
    loop {
        let known = requests.len() + generations.len();
        for record in records {
            if is_related(record, &requests, &generations) {
                requests.extend(record.entry.request);
                generations.extend(record.entry.generation);
            }
        }
        if requests.len() + generations.len() == known {
            break;
        }
    }
    let related = records.iter();
    related
        .filter(|record| is_related(record, &requests, &generations))
        .collect()
}

fn is_related(
    record: &Record,
    requests: &HashSet<RequestId>,
    generations: &HashSet<GenerationId>,
) -> bool {
    let entry = &record.entry;
    entry
        .request
        .is_some_and(|request| requests.contains(&request))
        || entry
            .generation
            .is_some_and(|generation| generations.contains(&generation))
}

fn order(record: &Record) -> (Stamp, &HostName, u64) {
    (record.stamp, &record.host, record.sequence)
}

fn is_wanted<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
    wanted.is_none() || wanted == found
}
