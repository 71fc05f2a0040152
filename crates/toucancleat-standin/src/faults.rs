//! Changes of a fault set, field by field.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Returns `current` with the fields that `patch` names replaced.
///
/// A patch with an unknown field is an error: a misspelt fault that silently did nothing
/// would make a test pass without its failure.
pub(crate) fn patched<T>(current: &T, patch: &[u8]) -> Result<T, serde_json::Error>
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
