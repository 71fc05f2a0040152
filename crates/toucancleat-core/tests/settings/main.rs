//! Tests of the settings tree: documents, checks, edits, lookups and the store.

mod edit;
mod lookup;
mod page;
mod parse;
mod samples;
mod store;
mod trees;
