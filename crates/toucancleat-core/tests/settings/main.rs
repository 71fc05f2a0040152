//! The settings tree: documents, checks, edits, look-ups and the store.

mod edit;
mod lookup;
mod page;
mod parse;
mod samples;
mod store;
mod trees;
