//! A stand-in for the platform's store, as the pages describe it.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::util::{Json, Message, base64, free_address, read_message};

type RowKey = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    /// By table, part and key; a removed row has no value.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    version: u64,
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
    /// How often the store has returned to a copy, and 1.
    era: AtomicU64,
    is_away: AtomicBool,
}

/// The rows of the store at one moment.
pub struct StoreCopy(Rows);

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind(free_address()).unwrap();
        let store = Arc::new(Store {
            address: listener.local_addr().unwrap(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            era: AtomicU64::new(1),
            is_away: AtomicBool::new(false),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.rows.lock().unwrap().clone())
    }

    /// Ends all connections without an answer until the store returns.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Returns from a copy. What was written since is gone, and its versions are given out again.
    pub fn return_from(&self, copy: &StoreCopy) {
        *self.rows.lock().unwrap() = copy.0.clone();
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, part: &str, key: &str, value: Option<&str>) -> u64 {
        let encoded = value.map(|text| base64(text.as_bytes()));
        self.put_encoded(table, part, key, encoded)
    }

    fn put_encoded(
        &self,
        table: &str,
        part: &str,
        key: &str,
        value: Option<String>,
    ) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let row_key = (table.to_owned(), part.to_owned(), key.to_owned());
        rows.rows.insert(row_key, (value, version));
        self.changed.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let era = self.era.load(Ordering::SeqCst);
            let (status, body) = self.answer(&request);
            // A store that is away answers nothing, nor does it answer later what it was asked before.
            if self.is_away.load(Ordering::SeqCst)
                || era != self.era.load(Ordering::SeqCst)
            {
                return Ok(());
            }
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = match request.path().split_once('?') {
            Some((path, query)) => (path, query),
            None => (request.path(), ""),
        };
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map(|(_, value)| value.replace("%2F", "/"))
        };
        let table = parameter("table").unwrap_or_default();
        match path {
            "/v1/rows-get" => {
                let part = parameter("part").unwrap_or_default();
                let (from, to) = (parameter("from"), parameter("to"));
                let limit = parameter("limit").and_then(|text| text.parse().ok());
                let rows = self.rows.lock().unwrap();
                let mut listed = Vec::new();
                for ((row_table, row_part, key), (value, version)) in &rows.rows {
                    let is_in_range = from.as_ref().is_none_or(|from| key >= from)
                        && to.as_ref().is_none_or(|to| key < to);
                    if *row_table == table && *row_part == part && is_in_range {
                        if let Some(value) = value {
                            listed.push(row(
                                row_table,
                                row_part,
                                key,
                                Some(value),
                                *version,
                            ));
                        }
                    }
                }
                let limit: usize = limit.unwrap_or(500).min(500);
                let more = listed.len() > limit;
                listed.truncate(limit);
                ("200 OK", self.page(&listed, rows.version, Some(more)))
            }
            "/v1/rows-feed" => {
                let after: u64 =
                    parameter("after").and_then(|t| t.parse().ok()).unwrap_or(0);
                let wait_ms: u64 = parameter("wait_ms")
                    .and_then(|t| t.parse().ok())
                    .unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                let mut rows = self.rows.lock().unwrap();
                loop {
                    if after > rows.version {
                        return ("410 Gone", "{}".to_owned());
                    }
                    let mut changes: Vec<(u64, String)> = rows
                        .rows
                        .iter()
                        .filter(|((row_table, ..), (_, version))| {
                            *row_table == table && *version > after
                        })
                        .map(|((row_table, part, key), (value, version))| {
                            let text =
                                row(row_table, part, key, value.as_ref(), *version);
                            (*version, text)
                        })
                        .collect();
                    let now = Instant::now();
                    let is_over = now >= end || self.is_away.load(Ordering::SeqCst);
                    if !changes.is_empty() || is_over {
                        changes.sort();
                        let listed: Vec<String> =
                            changes.into_iter().map(|(_, text)| text).collect();
                        return ("200 OK", self.page(&listed, rows.version, None));
                    }
                    rows = self.changed.wait_timeout(rows, end - now).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let Some(body) = Json::parse(&text) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                for expected in body.get("expected_rev").list() {
                    let row_key = (
                        expected.get("table").text().to_owned(),
                        expected.get("part").text().to_owned(),
                        expected.get("key").text().to_owned(),
                    );
                    let rows = self.rows.lock().unwrap();
                    let known = rows.rows.get(&row_key);
                    let version = match known {
                        Some((Some(_), version)) => *version,
                        _ => 0,
                    };
                    if expected.get("ver").number() != Some(version as f64) {
                        let listed: Vec<String> = known
                            .iter()
                            .map(|(value, version)| {
                                let (t, p, k) = &row_key;
                                row(t, p, k, value.as_ref(), *version)
                            })
                            .collect();
                        let page = self.page(&listed, rows.version, None);
                        return ("412 Precondition Failed", page);
                    }
                }
                for put in body.get("put").list() {
                    let table = put.get("table").text();
                    if table == "op" || table == "servers" {
                        return ("403 Forbidden", "{}".to_owned());
                    }
                    let value = Some(put.get("value").text().to_owned());
                    self.put_encoded(
                        table,
                        put.get("part").text(),
                        put.get("key").text(),
                        value,
                    );
                }
                let rows = self.rows.lock().unwrap();
                ("200 OK", self.page(&[], rows.version, None))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn page(&self, rows: &[String], version: u64, more: Option<bool>) -> String {
        let now_ms = self.start.elapsed().as_millis();
        let more = more.map_or(String::new(), |more| format!(r#","more_pages":{more}"#));
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}]{more},"ver":{version},"now_ms":{now_ms}}}"#)
    }
}

fn row(
    table: &str,
    part: &str,
    key: &str,
    value: Option<&String>,
    version: u64,
) -> String {
    match value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"{part}","key":"{key}","value":"{value}","ver":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"{part}","key":"{key}","ver":{version},"removed":true}}"#
        ),
    }
}
