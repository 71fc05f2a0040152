//! Formats log records as JSON lines.
//!
//! Each daemon decides where its lines are written. The format is shared, so that one search
//! finds a request in the logs of all daemons.

use std::time::{SystemTime, UNIX_EPOCH};

use log::Record;
use log::kv::{self, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Returns the JSON line of a record, without a line terminator.
pub fn format_line(process: &str, record: &Record<'_>) -> String {
    let at = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_unix_ms = at.map_or(0, |since| since.as_millis() as u64);
    let mut line = Map::new();
    line.insert("at_unix_ms".to_owned(), json!(at_unix_ms));
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("process".to_owned(), json!(process));
    line.insert("module".to_owned(), json!(record.target()));
    line.insert("message".to_owned(), json!(record.args().to_string()));
    let mut fields = Fields(line);
    // N.B. the visitor never returns an error, so no field is lost by ignoring the result.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => json!(number),
            (_, Some(number), _) => json!(number),
            (_, _, Some(flag)) => json!(flag),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
