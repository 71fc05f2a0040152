//! Logs as JSON lines on the standard error.

use std::io::Write;

use log::kv::{self, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::clock::wall_unix_ms;

/// Name of the environment variable that sets the level, such as `info` or
/// `toucancleat_entry=debug`.
const LEVEL_VARIABLE: &str = "TOUCANCLEAT_LOG";

/// Starts logging for the process; a second call changes nothing.
pub fn start(process: &str) {
    let process = process.to_owned();
    let env = env_logger::Env::new().filter_or(LEVEL_VARIABLE, "info,volo_http=warn");
    let started = env_logger::Builder::from_env(env)
        .format(move |out, record| {
            let mut line = Map::new();
            line.insert("at_unix_ms".to_owned(), json!(wall_unix_ms()));
            line.insert("level".to_owned(), json!(record.level().as_str()));
            line.insert("process".to_owned(), json!(process));
            line.insert("module".to_owned(), json!(record.target()));
            line.insert("message".to_owned(), json!(record.args().to_string()));
            let mut fields = Fields(line);
            // N.B. the visitor never fails, so no field is lost here.
            let _ = record.key_values().visit(&mut fields);
            writeln!(out, "{}", serde_json::Value::Object(fields.0))
        })
        .try_init();
    drop(started);
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
