//! A change of the settings, as it is committed and disseminated.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;

/// A change as the platform's table stores it and as entry hosts disseminate it.
///
/// The operator's command generates the change id before the commit, so that a commit
/// whose reply was lost can be recognised. See docs/SETTINGS.md, "How a change is
/// accepted".
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The revision that the change creates; one above its base revision.
    pub revision: Revision,
    /// Identifies this change across all attempts to commit it.
    pub change_id: ChangeId,
    /// The operator who made the change.
    pub author: String,
    /// When the operator made the change, by the operator's clock.
    pub at_unix_ms: u64,
    /// The edits of the change, in the order in which they are applied.
    pub edits: Vec<Edit>,
}

/// A single assignment or removal in the settings tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The location in the tree as a JSON pointer (RFC 6901), such as
    /// `/fleet/kinds/draft/priority`.
    pub path: String,
    /// The new value; `None` removes the present one, so that it is inherited.
    #[serde(default)]
    pub value: Option<Value>,
}

impl Edit {
    /// Creates an edit that assigns a value.
    pub fn set(path: &str, value: Value) -> Self {
        Edit {
            path: path.to_owned(),
            value: Some(value),
        }
    }

    /// Creates an edit that removes the value at a path.
    pub fn remove(path: &str) -> Self {
        Edit {
            path: path.to_owned(),
            value: None,
        }
    }
}
