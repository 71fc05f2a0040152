//! A stand-in for the platform's metadata store.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::json::{Json, base64};

#[derive(Clone, Debug)]
struct Row {
    table: String,
    key: String,
    /// In base64; `None` for a row that was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Clone, Debug, Default)]
struct State {
    rows: Vec<Row>,
    version: u64,
    era: u64,
    is_away: bool,
}

/// The rows of the store at one moment.
pub struct Copy(Vec<Row>, u64);

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// Time of one call.
const CALL: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Store> {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let state = State {
            era: 1,
            ..State::default()
        };
        let store = Arc::new(Store {
            address,
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, or removes it.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        put(
            &mut state,
            table,
            key,
            value.map(|text| base64(text.as_bytes())),
        );
        self.changed.notify_all();
    }

    /// Writes a row unless the store is away. Returns true if it was written.
    pub fn try_write(&self, table: &str, key: &str, value: Option<&str>) -> bool {
        if self.state.lock().unwrap().is_away {
            return false;
        }
        self.write(table, key, value);
        true
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        Copy(state.rows.clone(), state.version)
    }

    /// Makes the store unavailable, or available again.
    pub fn set_away(&self, is_away: bool) {
        self.state.lock().unwrap().is_away = is_away;
        self.changed.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, and its versions are given out again.
    pub fn return_to(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        state.rows = copy.0.clone();
        state.version = copy.1;
        state.era += 1;
        state.is_away = false;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            let Ok(body) = reader.body(&head) else { return };
            let (status, body) = self.answer(&head.first_line, &body);
            let era = self.state.lock().unwrap().era;
            let text = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, first_line: &str, body: &[u8]) -> (u16, String) {
        std::thread::sleep(CALL);
        let target = first_line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
            value.map(|value| value.replace("%2F", "/"))
        };
        let table = parameter("table").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return (503, String::new());
        }
        match path {
            "/v1/rows-get" => {
                let (from, to) = (parameter("from"), parameter("to"));
                let mut rows: Vec<&Row> = state
                    .rows
                    .iter()
                    .filter(|row| row.table == table && row.value.is_some())
                    .filter(|row| from.as_ref().is_none_or(|from| row.key >= *from))
                    .filter(|row| to.as_ref().is_none_or(|to| row.key < *to))
                    .collect();
                rows.sort_by(|a, b| a.key.cmp(&b.key));
                (200, self.page(&rows, state.version))
            }
            "/v1/rows-feed" => {
                let number =
                    |name| parameter(name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let end = Instant::now()
                    + Duration::from_millis(number("wait_ms").unwrap_or(0));
                loop {
                    if state.is_away {
                        return (503, String::new());
                    }
                    if after > state.version {
                        return (410, "{}".to_owned());
                    }
                    let is_new = |row: &&Row| row.table == table && row.version > after;
                    let mut rows: Vec<&Row> = state.rows.iter().filter(is_new).collect();
                    let now = Instant::now();
                    if !rows.is_empty() || now >= end {
                        rows.sort_by_key(|row| row.version);
                        return (200, self.page(&rows, state.version));
                    }
                    state = self.changed.wait_timeout(state, end - now).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
                    return (400, String::new());
                };
                let list = |name: &str| call.get(name).map(|list| list.items().to_vec());
                let field = |row: &Json, name: &str| {
                    row.get(name)
                        .map(|value| value.text().to_owned())
                        .unwrap_or_default()
                };
                for expected in list("expected_rev").unwrap_or_default() {
                    let (table, key) =
                        (field(&expected, "table"), field(&expected, "key"));
                    let found = state.rows.iter().find(|row| {
                        row.table == table && row.key == key && row.value.is_some()
                    });
                    let version = expected.get("ver").map(Json::number).unwrap_or(0);
                    if found.map_or(0, |row| row.version) != version {
                        let rows: Vec<&Row> = found.into_iter().collect();
                        return (412, self.page(&rows, state.version));
                    }
                }
                for row in list("put").unwrap_or_default() {
                    let (table, key) = (field(&row, "table"), field(&row, "key"));
                    if table == "op" || table == "servers" {
                        return (403, String::new());
                    }
                    put(&mut state, &table, &key, Some(field(&row, "value")));
                }
                self.changed.notify_all();
                (200, self.page(&[], state.version))
            }
            _ => (404, String::new()),
        }
    }

    fn page(&self, rows: &[&Row], version: u64) -> String {
        let rows = rows.iter().map(|row| {
            let content = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"removed\":true".to_owned(),
            };
            format!(
                "{{\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\",\"ver\":{},{content}}}",
                row.table, row.key, row.version
            )
        });
        let rows: Vec<String> = rows.collect();
        format!(
            "{{\"rows\":[{}],\"more_pages\":false,\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }
}

fn put(state: &mut State, table: &str, key: &str, value: Option<String>) {
    state.version += 1;
    state
        .rows
        .retain(|row| row.table != table || row.key != key);
    state.rows.push(Row {
        table: table.to_owned(),
        key: key.to_owned(),
        value,
        version: state.version,
    });
}
