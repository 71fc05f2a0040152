//! Checks of a whole tree, run before a change is accepted.

mod levels;
mod targets;

use std::collections::HashMap;
use std::sync::Arc;

use super::directory::decode_sha256;
use super::document::Document;
use super::edit::join_pointer;
use super::problem::{Problem, Problems};
use super::tree::{LiveEvent, Organisation, Tree};
use crate::prelude::*;

/// Longest permitted name in the tree.
const NAME_MAX_BYTES: usize = 64;

/// Parses and checks a settings document; every problem carries its line and column.
pub fn parse(text: &str) -> Result<Tree, Problems> {
    let document = Document::parse(text)?;
    let tree: Tree = document.read()?;
    document.locate_problems(check(&tree))?;
    Ok(tree)
}

/// Returns all problems of a tree.
pub fn check(tree: &Tree) -> Vec<Problem> {
    let mut problems = Vec::new();
    targets::check(tree, &mut problems);
    for (name, event) in &tree.live_events {
        let path = join_pointer("/live_events", name.as_str());
        check_name(&path, name.as_str(), &mut problems);
        check_live_event(&path, event, &mut problems);
    }
    check_api_keys(tree, &mut problems);
    levels::check(tree, &mut problems);
    problems
}

fn check_live_event(path: &str, event: &LiveEvent, problems: &mut Vec<Problem>) {
    if event.ends_at_unix_ms <= event.starts_at_unix_ms {
        let message = format!(
            "expected a time after starts_at_unix_ms ({}), found {}",
            event.starts_at_unix_ms, event.ends_at_unix_ms
        );
        problems.push(Problem::new(&format!("{path}/ends_at_unix_ms"), message));
    }
    for name in event.organisations.keys() {
        let path = join_pointer(&format!("{path}/organisations"), name.as_str());
        check_name(&path, name.as_str(), problems);
    }
}

/// Checks the format of the hashes, and that no key belongs to two organisations.
fn check_api_keys(tree: &Tree, problems: &mut Vec<Problem>) {
    let mut owners: HashMap<[u8; 32], &OrganisationName> = HashMap::new();
    for (path, name, organisation) in organisations(tree) {
        for (index, digits) in organisation.api_key_sha256.iter().enumerate() {
            let path = format!("{path}/api_key_sha256/{index}");
            let Some(sha256) = decode_sha256(digits) else {
                problems.push(Problem::new(&path, "expected 64 hexadecimal digits"));
                continue;
            };
            let owner = owners.entry(sha256).or_insert(name);
            if *owner != name {
                let message = format!(
                    "expected a key of one organisation only, found it at `{owner}`"
                );
                problems.push(Problem::new(&path, message));
            }
        }
    }
}

/// Returns every organisation of every live event with its path and name.
fn organisations(
    tree: &Tree,
) -> impl Iterator<Item = (String, &OrganisationName, &Arc<Organisation>)> {
    tree.live_events.iter().flat_map(|(event_name, event)| {
        let path = join_pointer("/live_events", event_name.as_str()) + "/organisations";
        let entries = event.organisations.iter();
        entries
            .map(move |(name, value)| (join_pointer(&path, name.as_str()), name, value))
    })
}

/// Checks a name's length and characters, as names are used in headers, addresses and
/// table rows.
fn check_name(path: &str, name: &str, problems: &mut Vec<Problem>) {
    let permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > NAME_MAX_BYTES || !name.bytes().all(permitted) {
        let message = format!(
            "name `{name}`: expected 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_` or `.`"
        );
        problems.push(Problem::new(path, message));
    }
}
