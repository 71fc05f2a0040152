//! Partial updates of a fault set.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Returns `current` with the fields of the JSON object `patch` replaced.
///
/// Returns an error if `patch` has an unknown field: ignoring a misspelt fault would let
/// a test pass without the failure that it injects.
pub(crate) fn apply_patch<T>(current: &T, patch: &[u8]) -> Result<T, serde_json::Error>
where
    T: Serialize + DeserializeOwned,
{
    let mut fields = serde_json::to_value(current)?;
    let patch: serde_json::Map<String, Value> = serde_json::from_slice(patch)?;
    if let Value::Object(fields) = &mut fields {
        fields.extend(patch);
    }
    serde_json::from_value(fields)
}
