//! Servers that crash and start again under their ids, with the next version of their software, while
//! resumable streams run.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{
    HEARTBEAT, HostConfig, KEY, Request, Run, Server, ServerConfig, new_id, read_stream,
};
use crate::store::Store;
use crate::util::free_address;
use crate::{Context, Verdict};

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-check","hostname":"ficu95.example","path_prefix":"/check/","route_kind":"streaming",
"timeout_ms":6000,"slo_ms":1500,"priority":0,"service":"plan-llm","max_attempts":2,"public":false,
"sticky":true,"resumable":true,"gap_slo_ms":180}],
"services":[{"name":"plan-llm","health_path":"/healthz","max_conns":282,"protocol":"h1","tls":false,
"engine":{"slots":24,"kv_capacity":34331,"kv_token_bytes":262144,"link_mbps":38000.0,"moves":true,
"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,
"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

const ZONES: [&str; 4] = ["upp-a", "upp-b", "vas-a", "ore-a"];
const SERVERS: usize = 12;
const EVENTS: u64 = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(150);

/// Two of twelve servers crash at a time (`srv_crash`, a share of 0.17), and are back soon.
const CRASHED_AT_ONCE: usize = 2;
const DOWN_FOR: Duration = Duration::from_millis(400);
const BETWEEN_CRASHES: Duration = Duration::from_millis(900);

/// Runs a request as a sound engine does: it goes on after the last event that the caller has.
fn run_stream(mut run: Run<'_>) -> std::io::Result<()> {
    let last = run.request.header("last-event-id");
    let last: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    thread::sleep(Duration::from_millis(60));
    run.begin_stream()?;
    for id in last + 1..=EVENTS {
        let version = run.server.version.clone();
        run.send_chunk(&format!("id: {id}\ndata: {version} token {id}\n\n"))?;
        thread::sleep(EVENT_PAUSE);
    }
    run.end_stream()
}

/// The software versions that a caller's stream holds.
fn versions(events: &[String]) -> BTreeSet<String> {
    let data = events
        .iter()
        .filter_map(|event| event.split("data: ").nth(1));
    data.filter_map(|data| data.split(' ').next())
        .map(str::to_owned)
        .collect()
}

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "", "config", Some(CONFIGURATION));
    let mut configs: Vec<ServerConfig> = (0..SERVERS)
        .map(|i| ServerConfig {
            id: format!("i-{:08x}", 0x4000_0001 + i),
            service: "plan-llm".to_owned(),
            zone: ZONES[i % ZONES.len()].to_owned(),
            version: "v1".to_owned(),
            slots: 24,
            address: free_address(),
            first_heartbeat: Duration::ZERO,
        })
        .collect();
    let mut servers: Vec<Arc<Server>> = configs
        .iter()
        .map(|config| Server::start(config, &store, record, Arc::new(run_stream)))
        .collect();
    let mut hosts = Vec::new();
    for config in HostConfig::fleet(4, &ZONES, &store) {
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

    let is_over = Arc::new(AtomicBool::new(false));
    let joined = Arc::new(AtomicUsize::new(0));
    let streams = Arc::new(AtomicUsize::new(0));
    let complete = Arc::new(AtomicUsize::new(0));
    let readers = Arc::new(Mutex::new(Vec::new()));
    let clients = {
        let (is_over, joined, streams) =
            (is_over.clone(), joined.clone(), streams.clone());
        let (complete, readers, record) =
            (complete.clone(), readers.clone(), record.clone());
        let addresses: Vec<_> = hosts.iter().map(|host| host.callers).collect();
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let address = addresses[number % addresses.len()];
                let (joined, complete) = (joined.clone(), complete.clone());
                let record = record.clone();
                streams.fetch_add(1, Ordering::SeqCst);
                let reader = thread::spawn(move || {
                    let id = new_id();
                    let path = format!("/check/{number}");
                    let prefix = format!("5c1e07a2:35,91bd3f06:23,{number:08x}:250");
                    let request = Request {
                        method: "POST",
                        path: &path,
                        id: &id,
                        deadline_ms: 6_000,
                        key: KEY,
                        headers: &[
                            ("X-Model", "m"),
                            ("X-Token-Usage", "308,80"),
                            ("X-Prompt-Prefix", &prefix),
                        ],
                        body: "is this stop right?",
                    };
                    let Ok(stream) = request.send(address) else {
                        return record.line(&format!("client could not send {id}"));
                    };
                    let received = read_stream(stream);
                    let versions = versions(&received.events);
                    record.line(&format!(
                        "client got {} for {id}: {} events of {versions:?}, complete: {}",
                        received.status,
                        received.events.len(),
                        received.is_complete
                    ));
                    if received.is_complete {
                        complete.fetch_add(1, Ordering::SeqCst);
                    }
                    if versions.len() > 1 {
                        joined.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("stream {id} joins {:?}", received.events));
                    }
                });
                readers.lock().unwrap().push(reader);
                number += 1;
                thread::sleep(Duration::from_millis(50));
            }
        })
    };
    thread::sleep(Duration::from_secs(3));
    let begin = Instant::now();
    if context.has_trouble {
        for pair in 0..SERVERS / CRASHED_AT_ONCE {
            let indices = pair * CRASHED_AT_ONCE..(pair + 1) * CRASHED_AT_ONCE;
            for i in indices.clone() {
                servers[i].crash();
            }
            thread::sleep(DOWN_FOR);
            for i in indices {
                configs[i].version = "v2".to_owned();
                configs[i].first_heartbeat = HEARTBEAT;
                servers[i] =
                    Server::start(&configs[i], &store, record, Arc::new(run_stream));
            }
            thread::sleep(BETWEEN_CRASHES.saturating_sub(DOWN_FOR));
        }
    }
    thread::sleep(Duration::from_secs(11).saturating_sub(begin.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    let _ = clients.join();
    for reader in readers.lock().unwrap().drain(..) {
        let _ = reader.join();
    }
    let joined = joined.load(Ordering::SeqCst);
    record.line(&format!(
        "{} streams, {} complete; {joined} hold events of two software versions",
        streams.load(Ordering::SeqCst),
        complete.load(Ordering::SeqCst)
    ));
    if joined > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
