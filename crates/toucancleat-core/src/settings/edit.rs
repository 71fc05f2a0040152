//! Application of edits to a tree, with their inverse, and the difference of two trees.

use std::borrow::Borrow;
use std::hash::Hash;

use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::change::Edit;
use super::tree::Tree;

/// The outcome of applying edits to a tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The tree after the edits.
    pub tree: Tree,
    /// Edits that restore the tree before the edits.
    pub inverse: Vec<Edit>,
}

/// An edit that can't be applied to the tree.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {kind}")]
pub struct EditError {
    path: String,
    kind: EditErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum EditErrorKind {
    #[error("expected a JSON pointer, such as /fleet/values/priority")]
    NotAPointer,
    #[error("expected a value to remove, found none")]
    NothingToRemove,
    #[error("expected an object at {0}; a list or a single value is replaced whole")]
    NotAnObject(String),
    #[error("{0}")]
    InvalidValue(String),
}

impl EditError {
    /// Returns the path of the edit that failed.
    pub fn path(&self) -> &str {
        &self.path
    }

    fn new(path: &str, kind: EditErrorKind) -> Self {
        EditError {
            path: path.to_owned(),
            kind,
        }
    }
}

impl Tree {
    /// Applies edits in order; either all of them or, on an error, none.
    ///
    /// Missing objects on the path of a new value are created. The resulting tree must
    /// still be checked as a whole: see [`check`](super::check).
    ///
    /// # Errors
    ///
    /// Fails if a path isn't a JSON pointer, if it leads through something other than an
    /// object, if there is nothing to remove, or if a value doesn't have the type of its
    /// place.
    pub fn apply(&self, edits: &[Edit]) -> Result<Applied, EditError> {
        let mut tree = self.clone();
        let mut inverse = Vec::with_capacity(edits.len());
        for edit in edits {
            let inverse_edit = apply_one(&mut tree, edit)?;
            inverse.push(inverse_edit);
        }
        inverse.reverse();
        Ok(Applied { tree, inverse })
    }

    /// Returns the edits that turn this tree into another.
    pub fn diff(&self, other: &Tree) -> Vec<Edit> {
        let mut edits = Vec::new();
        diff_values("", &to_value(self), &to_value(other), &mut edits);
        edits
    }

    /// Returns the JSON at a pointer; the empty pointer is the whole tree.
    pub fn get(&self, path: &str) -> Option<Value> {
        to_value(self).pointer(path).cloned()
    }
}

/// Splits a JSON pointer into its unescaped segments; `None` for a text that isn't one.
pub fn pointer_segments(path: &str) -> Option<Vec<String>> {
    if path.is_empty() {
        return Some(Vec::new());
    }
    let segments = path.strip_prefix('/')?.split('/');
    Some(segments.map(unescape).collect())
}

/// Appends a name to a JSON pointer.
pub fn join_pointer(path: &str, name: &str) -> String {
    let name = name.replace('~', "~0").replace('/', "~1");
    format!("{path}/{name}")
}

fn unescape(segment: &str) -> String {
    segment.replace("~1", "/").replace("~0", "~")
}

/// Applies one edit and returns its inverse.
///
/// N.B. Only the smallest part that contains the path is converted to JSON and back:
/// with many thousands of organisations, converting the whole tree at every change would
/// cost too much.
fn apply_one(tree: &mut Tree, edit: &Edit) -> Result<Edit, EditError> {
    let segments = pointer_segments(&edit.path)
        .ok_or_else(|| EditError::new(&edit.path, EditErrorKind::NotAPointer))?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    match segments.as_slice() {
        ["live_events", event, "organisations", _, ..]
            if tree.live_events.contains_key(*event) =>
        {
            let organisations = &mut tree.live_events[*event].organisations;
            edit_entry(organisations, edit, &segments, 3)
        }
        ["live_events", event, field, ..]
            if *field != "organisations" && tree.live_events.contains_key(*event) =>
        {
            let event = &mut tree.live_events[*event];
            let organisations = std::mem::take(&mut event.organisations);
            let inverse = edit_part(event, edit, &segments, 2);
            event.organisations = organisations;
            inverse
        }
        ["pools", pool, "targets", _, ..] if tree.pools.contains_key(*pool) => {
            edit_entry(&mut tree.pools[*pool].targets, edit, &segments, 3)
        }
        ["live_events", ..] | [] => edit_part(tree, edit, &segments, 0),
        _ => {
            let live_events = std::mem::take(&mut tree.live_events);
            let inverse = edit_part(tree, edit, &segments, 0);
            tree.live_events = live_events;
            inverse
        }
    }
}

/// Edits the entry of a map that the segment at `depth` names, without converting its
/// siblings.
fn edit_entry<K, V>(
    map: &mut IndexMap<K, V>,
    edit: &Edit,
    segments: &[&str],
    depth: usize,
) -> Result<Edit, EditError>
where
    K: Serialize + DeserializeOwned + Hash + Eq + Clone + Borrow<str>,
    V: Serialize + DeserializeOwned + Clone,
{
    let name = segments[depth];
    let entry = map.get_key_value(name);
    let mut single_entry: IndexMap<K, V> = entry
        .map(|(k, v)| (k.clone(), v.clone()))
        .into_iter()
        .collect();
    let inverse = edit_part(&mut single_entry, edit, segments, depth)?;
    if single_entry.is_empty() {
        map.shift_remove(name);
    }
    map.extend(single_entry);
    Ok(inverse)
}

/// Edits the part of the tree that the first `depth` segments name, by way of its JSON.
fn edit_part<T: Serialize + DeserializeOwned>(
    part: &mut T,
    edit: &Edit,
    segments: &[&str],
    depth: usize,
) -> Result<Edit, EditError> {
    let error = |kind| EditError::new(&edit.path, kind);
    let mut json = to_value(part);
    let value = edit.value.clone().filter(|value| !value.is_null());
    let inverse = edit_value(&mut json, segments, depth, value);
    let inverse = inverse.map_err(error)?;
    *part = serde_path_to_error::deserialize(json)
        .map_err(|e| error(EditErrorKind::InvalidValue(e.into_inner().to_string())))?;
    Ok(inverse)
}

/// Edits a JSON value and returns the inverse; the first `depth` segments lead to the
/// value.
fn edit_value(
    root: &mut Value,
    segments: &[&str],
    depth: usize,
    value: Option<Value>,
) -> Result<Edit, EditErrorKind> {
    let Some((last, parents)) = segments[depth..].split_last() else {
        let before = std::mem::replace(root, value.unwrap_or(Value::Object(Map::new())));
        return Ok(Edit::set(&pointer(segments), before));
    };
    let mut first_created = None;
    let mut object = object_at(root, segments, depth)?;
    for (index, name) in parents.iter().enumerate() {
        let end = depth + index + 1;
        if !object.contains_key(*name) {
            if value.is_none() {
                return Err(EditErrorKind::NothingToRemove);
            }
            first_created.get_or_insert(end);
        }
        let child = object
            .entry(*name)
            .or_insert_with(|| Value::Object(Map::new()));
        object = object_at(child, segments, end)?;
    }
    let path = pointer(segments);
    let before = match value {
        Some(value) => object.insert((*last).to_owned(), value),
        None => Some(object.remove(*last).ok_or(EditErrorKind::NothingToRemove)?),
    };
    Ok(match (first_created, before) {
        (Some(end), _) => Edit::remove(&pointer(&segments[..end])),
        (None, Some(before)) => Edit::set(&path, before),
        (None, None) => Edit::remove(&path),
    })
}

fn object_at<'v>(
    value: &'v mut Value,
    segments: &[&str],
    end: usize,
) -> Result<&'v mut Map<String, Value>, EditErrorKind> {
    value
        .as_object_mut()
        .ok_or_else(|| EditErrorKind::NotAnObject(pointer(&segments[..end])))
}

fn pointer(segments: &[&str]) -> String {
    segments
        .iter()
        .fold(String::new(), |path, name| join_pointer(&path, name))
}

/// Appends the edits that turn one value into another. Objects are compared entry by
/// entry, other values as a whole.
fn diff_values(path: &str, before: &Value, after: &Value, edits: &mut Vec<Edit>) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        if before != after {
            edits.push(Edit::set(path, after.clone()));
        }
        return;
    };
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        edits.push(Edit::remove(&join_pointer(path, name)));
    }
    for (name, value) in new {
        let path = join_pointer(path, name);
        match old.get(name) {
            Some(before) => diff_values(&path, before, value, edits),
            None => edits.push(Edit::set(&path, value.clone())),
        }
    }
}

fn to_value<T: Serialize>(part: &T) -> Value {
    serde_json::to_value(part).expect("settings have string keys and finite numbers")
}
