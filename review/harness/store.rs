//! A stand-in for the platform's store: rows, feeds and transactions, as PROTOCOL.md has them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};

/// Time that the store takes for each answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Rows in one reply.
const PAGE_ROWS: usize = 500;

#[derive(Clone, Debug)]
struct Row {
    /// Base64, or `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String, String), Row>,
    ver: u64,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Store> {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Arc::new(Store {
            address,
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row, or removes it. Returns when that is acknowledged.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let value = value.map(|text| base64_encode(text.as_bytes()));
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, Row { value, ver });
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(head) = connection.read_head(None) {
            let Some(body) = connection.read_request_body(&head) else {
                return;
            };
            std::thread::sleep(ANSWER_TIME);
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status}\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if !connection.send(answer.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| url_decode(value))
        };
        match path {
            "/v1/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let table = parameter("table").unwrap_or_default();
                let from = parameter("from").unwrap_or_default();
                let to = parameter("to");
                let limit = parameter("limit").and_then(|text| text.parse().ok());
                let limit = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
                let mut found: Vec<String> = Vec::new();
                let mut has_more = false;
                for ((row_table, part, key), row) in &rows.rows {
                    let is_in_range = *key >= from && to.as_ref().is_none_or(|to| key < to);
                    if *row_table != table || !part.is_empty() || !is_in_range {
                        continue;
                    }
                    if row.value.is_none() {
                        continue;
                    }
                    if found.len() == limit {
                        has_more = true;
                        break;
                    }
                    found.push(row_json(row_table, key, row));
                }
                ("200 OK", self.page(&found, has_more, rows.ver))
            }
            "/v1/rows-feed" => {
                let table = parameter("table").unwrap_or_default();
                let number = |name| parameter(name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut rows = self.rows.lock().unwrap();
                loop {
                    if after > rows.ver {
                        return ("410 Gone", "{}".to_owned());
                    }
                    let mut changed: Vec<(u64, String)> = rows
                        .rows
                        .iter()
                        .filter(|((row_table, _, _), row)| *row_table == table && row.ver > after)
                        .map(|((row_table, _, key), row)| (row.ver, row_json(row_table, key, row)))
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        changed.sort();
                        let changed: Vec<String> = changed.into_iter().map(|(_, row)| row).collect();
                        return ("200 OK", self.page(&changed, false, rows.ver));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let mut rows = self.rows.lock().unwrap();
                for entry in json_objects(body, "expected_rev") {
                    let key = row_key(&entry);
                    let expected: u64 = json_number(&entry, "ver");
                    let row = rows.rows.get(&key);
                    let ver = row.filter(|row| row.value.is_some()).map_or(0, |row| row.ver);
                    if ver != expected {
                        let found: Vec<String> =
                            row.iter().map(|row| row_json(&key.0, &key.2, row)).collect();
                        return ("412 Precondition Failed", self.page(&found, false, rows.ver));
                    }
                }
                let puts = json_objects(body, "put");
                let removals = json_objects(body, "remove");
                if !puts.is_empty() || !removals.is_empty() {
                    rows.ver += 1;
                }
                let ver = rows.ver;
                for entry in puts {
                    let value = Some(json_text(&entry, "value"));
                    rows.rows.insert(row_key(&entry), Row { value, ver });
                }
                for entry in removals {
                    rows.rows.insert(row_key(&entry), Row { value: None, ver });
                }
                drop(rows);
                self.changed.notify_all();
                ("200 OK", format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms()))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn page(&self, rows: &[String], has_more: bool, ver: u64) -> String {
        let rows = rows.join(",");
        let now_ms = self.now_ms();
        format!("{{\"rows\":[{rows}],\"more_pages\":{has_more},\"ver\":{ver},\"now_ms\":{now_ms}}}")
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> String {
    let content = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{}}}", row.ver)
}

fn row_key(entry: &str) -> (String, String, String) {
    (json_text(entry, "table"), json_text(entry, "part"), json_text(entry, "key"))
}

/// Returns the flat objects in a list of an object. Enough for the transactions of the system.
fn json_objects(text: &str, name: &str) -> Vec<String> {
    let Some(at) = text.find(&format!("\"{name}\":[")) else {
        return Vec::new();
    };
    let list = &text[at..];
    let list = &list[..list.find(']').unwrap_or(list.len())];
    list.split('{').skip(1).map(str::to_owned).collect()
}

fn json_text(object: &str, name: &str) -> String {
    let Some((_, rest)) = object.split_once(&format!("\"{name}\":\"")) else {
        return String::new();
    };
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn json_number(object: &str, name: &str) -> u64 {
    let Some((_, rest)) = object.split_once(&format!("\"{name}\":")) else {
        return 0;
    };
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn url_decode(text: &str) -> String {
    let mut decoded = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(code) => {
                decoded.push(code);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub fn base64_encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().enumerate().fold(0_u32, |sum, (index, byte)| {
            sum | u32::from(*byte) << (16 - 8 * index)
        });
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
