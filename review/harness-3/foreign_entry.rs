//! Rows of another writer in the table `servers` that name no server to use. They say that a server of
//! one service serves another.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{HostConfig, KEY, Request, Server, ServerConfig, new_id};
use crate::store::Store;
use crate::util::free_address;
use crate::{Context, Verdict};

/// The service that looks coaches up, and the one that books them.
const LOOKUP: &str = "roster-api";
const BOOKING: &str = "booking-api";

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-look","hostname":"ficu95.example","path_prefix":"/look/","route_kind":"idempotent",
"timeout_ms":800,"slo_ms":150,"priority":2,"service":"roster-api","max_attempts":2,"public":false,
"sticky":false,"resumable":false},
{"name":"r-book","hostname":"ficu95.example","path_prefix":"/book/","route_kind":"non_idempotent",
"timeout_ms":800,"slo_ms":150,"priority":2,"service":"booking-api","max_attempts":1,"public":false,
"sticky":false,"resumable":false}],
"services":[{"name":"roster-api","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},
{"name":"booking-api","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// What is wrong with the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Its entry lacks the field `seq`.
    LacksField,
    /// It is in a part of the table that isn't the empty one, where entries are.
    OtherPart,
    /// Not a case: the same in the table of the operator, with the key of the configuration.
    OtherPartOfOperator,
}

pub fn play(context: &Context, flaw: Flaw) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "", "config", Some(CONFIGURATION));
    // Runs of bookings at servers of the service that looks coaches up.
    let foreign_runs = Arc::new(AtomicUsize::new(0));
    let start = |id: &str, service: &str, zone: &str| {
        let config = ServerConfig {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            address: free_address(),
            first_heartbeat: Duration::ZERO,
        };
        let foreign_runs = foreign_runs.clone();
        Server::start(
            &config,
            &store,
            record,
            Arc::new(move |mut run| {
                let is_foreign = run.server.service == LOOKUP
                    && run.request.path().starts_with("/book/");
                if is_foreign {
                    foreign_runs.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(30));
                let body = format!("{} {}", run.server.service, run.request.path());
                run.answer(&body)
            }),
        )
    };
    let servers = [
        start("i-10000001", LOOKUP, "upp-a"),
        start("i-10000002", LOOKUP, "upp-b"),
        start("i-20000001", BOOKING, "upp-a"),
        start("i-20000002", BOOKING, "upp-b"),
    ];
    let mut hosts = Vec::new();
    for config in HostConfig::fleet(2, &["upp-a", "upp-b"], &store) {
        match config.start(context.directory, record) {
            Ok(host) => hosts.push(host),
            Err(error) => return Verdict::NotRun(error.to_string()),
        }
    }
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::NotRun("a host did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let begin = Instant::now();
    let mut foreign_entries = 0;
    let mut clients = Vec::new();
    let mut number = 0;
    while begin.elapsed() < Duration::from_secs(10) {
        let is_due = begin.elapsed() >= Duration::from_secs(2 + foreign_entries);
        if context.has_trouble && is_due && foreign_entries < 6 {
            put_foreign_row(context, &store, &servers[0], flaw);
            foreign_entries += 1;
        }
        let address = hosts[number % hosts.len()].callers;
        let record = record.clone();
        let is_booking = number % 4 < 3;
        clients.push(thread::spawn(move || {
            let id = new_id();
            let (method, path) = if is_booking {
                ("POST", format!("/book/{number}"))
            } else {
                ("GET", format!("/look/{number}"))
            };
            let request = Request {
                method,
                path: &path,
                id: &id,
                deadline_ms: 1_500,
                key: KEY,
                headers: &[],
                body: if is_booking { "one coach" } else { "" },
            };
            record.line(&format!("client sends {id} {method} {path}"));
            match request.fetch(address) {
                Ok(answer) => record.line(&format!(
                    "client gets {} for {id}: {}",
                    answer.status(),
                    String::from_utf8_lossy(&answer.body)
                )),
                Err(error) => {
                    record.line(&format!("client gets no answer to {id}: {error}"))
                }
            }
        }));
        number += 1;
        thread::sleep(Duration::from_millis(25));
    }
    for client in clients {
        let _ = client.join();
    }
    let broken = foreign_runs.load(Ordering::SeqCst);
    record.line(&format!(
        "{number} requests; {broken} bookings were run by {LOOKUP}, to which no configuration sends them"
    ));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Puts a row of another writer under the id of a live server.
fn put_foreign_row(context: &Context, store: &Store, server: &Server, flaw: Flaw) {
    if flaw == Flaw::OtherPartOfOperator {
        let draft = CONFIGURATION.replace(r#""version":7"#, r#""version":9"#);
        let draft =
            draft.replace(r#""service":"booking-api""#, r#""service":"roster-api""#);
        context
            .record
            .line("the operator puts a draft, part \"draft\" and key config: version 9");
        store.put("op", "draft", "config", Some(&draft));
        return;
    }
    let (part, last_field) = match flaw {
        Flaw::LacksField => ("", ""),
        Flaw::OtherPart | Flaw::OtherPartOfOperator => ("trial", r#","seq":4"#),
    };
    let entry = format!(
        r#"{{"service":"{BOOKING}","address":"{}","zone":"upp-a","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"born":{}{last_field}}}"#,
        server.address, server.born_ms
    );
    context.record.line(&format!(
        "another writer puts a row with table servers, part {part:?}, key {}: {entry}",
        server.id
    ));
    store.put("servers", part, &server.id, Some(&entry));
}
