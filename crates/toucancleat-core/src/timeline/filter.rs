//! Filtering and merging of the timeline records of many hosts.

use std::collections::HashSet;

use super::clock::Stamp;
use super::kind::RecordKind;
use super::record::Record;
use super::ring::Page;
use crate::prelude::*;

/// Selects records by their properties. A field that is `None` or empty matches every
/// record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Filter {
    /// Matches records of this request.
    pub request: Option<RequestId>,
    /// Matches records of this target.
    pub target: Option<TargetName>,
    /// Matches records of this organisation.
    pub organisation: Option<OrganisationName>,
    /// Matches records of any of these kinds.
    pub kinds: Vec<RecordKind>,
}

impl Filter {
    /// Returns true if the filter selects the record.
    pub fn matches(&self, record: &Record) -> bool {
        let entry = &record.entry;
        matches_field(&self.request, &entry.request)
            && matches_field(&self.target, &entry.target)
            && matches_field(&self.organisation, &entry.organisation)
            && (self.kinds.is_empty() || self.kinds.contains(&entry.kind))
    }
}

/// Merges the records of several hosts into one sequence whose order respects causality.
pub fn merge(pages: impl IntoIterator<Item = Page>) -> Vec<Record> {
    let mut records: Vec<Record> =
        pages.into_iter().flat_map(|page| page.records).collect();
    records.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    records
}

/// Returns the records of a request and of all requests that resumed one of its
/// streams, in any number of steps and at any host.
pub fn records_related_to(request: RequestId, records: &[Record]) -> Vec<&Record> {
    let mut requests = HashSet::from([request]);
    let mut generations: HashSet<GenerationId> = HashSet::new();
    loop {
        let known_count = requests.len() + generations.len();
        for record in records {
            if is_related(record, &requests, &generations) {
                requests.extend(record.entry.request);
                generations.extend(record.entry.generation);
            }
        }
        if requests.len() + generations.len() == known_count {
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

fn sort_key(record: &Record) -> (Stamp, &HostName, u64) {
    (record.stamp, &record.host, record.sequence)
}

fn matches_field<T: PartialEq>(expected: &Option<T>, actual: &Option<T>) -> bool {
    expected.is_none() || expected == actual
}
