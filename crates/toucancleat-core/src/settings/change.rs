//! One accepted change of the settings.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;

/// A change as the platform's table keeps it and as entry hosts pass it on.
///
/// The change id is drawn by the operator's command before the commit, so that a commit
/// whose reply was lost can be found again. See docs/SETTINGS.md, "How a change is
/// accepted".
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The revision that the change makes; one above the revision it was made on.
    pub revision: Revision,
    /// Identifies this change over all attempts to commit it.
    pub change_id: ChangeId,
    /// The operator who made the change.
    pub author: String,
    /// When the operator made the change, by the operator's clock.
    pub at_unix_ms: u64,
    /// What changes, in order.
    pub edits: Vec<Edit>,
}

/// A single assignment or removal in the settings tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The place in the tree as a JSON pointer (RFC 6901), such as
    /// `/fleet/kinds/draft/priority`.
    pub path: String,
    /// The new value; `None` removes what is there, so that it is inherited.
    #[serde(default)]
    pub value: Option<Value>,
}

impl Edit {
    /// Makes an edit that assigns a value.
    pub fn set(path: &str, value: Value) -> Self {
        Edit {
            path: path.to_owned(),
            value: Some(value),
        }
    }

    /// Makes an edit that removes what is at a path.
    pub fn remove(path: &str) -> Self {
        Edit {
            path: path.to_owned(),
            value: None,
        }
    }
}
