//! The servers of a service crash all at the same time, once, while requests with a bad part of prompts come that
//! hosts refuse already.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{
    HostConfig, KEY, Request, Run, Server, ServerConfig, new_id, read_stream,
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

const BAD_PART: &str = "0bad0bad";
const SERVERS: usize = 12;
/// A stream of 80 tokens, four an event; a step of an engine takes 7 ms and more.
const EVENTS: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(28);

/// A crashed server is back after this time, and writes its first entry at once.
const DOWN_FOR: Duration = Duration::from_millis(3_000);

/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Crashes after which the part has to be known.
const CRASHES_UNTIL_KNOWN: usize = 5;

const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const BAD_INTERVAL: Duration = Duration::from_millis(500);
const BAD_BEGIN: Duration = Duration::from_secs(8);

/// When the servers of the service crash.
const SERVICE_CRASH: Duration = Duration::from_secs(24);

/// Sound requests that are sent later than this after the crash are counted.
const COUNTED_AFTER: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(48);

/// What the servers and the clients have seen.
#[derive(Default)]
struct Seen {
    crashes: Mutex<Vec<Instant>>,
    bad_arrivals: Mutex<Vec<Instant>>,
    /// When sound requests were sent, and whether they began at the first attempt.
    sound: Mutex<Vec<(Instant, bool)>>,
}

fn handle(
    mut run: Run<'_>,
    seen: &Seen,
    crash: &mpsc::Sender<String>,
) -> std::io::Result<()> {
    let prefix = run.request.header("x-prompt-prefix").unwrap_or_default();
    let is_bad = prefix.contains(BAD_PART);
    if is_bad {
        seen.bad_arrivals.lock().unwrap().push(Instant::now());
    }
    thread::sleep(Duration::from_millis(60));
    run.begin_stream()?;
    if is_bad {
        seen.crashes.lock().unwrap().push(Instant::now());
        let _ = crash.send(run.server.id.clone());
        thread::sleep(Duration::from_secs(1));
        return Ok(());
    }
    let last = run.request.header("last-event-id");
    let last: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    for id in last + 1..=EVENTS {
        run.send_chunk(&format!("id: {id}\ndata: token {id}\n\n"))?;
        thread::sleep(EVENT_PAUSE);
    }
    run.end_stream()
}

/// Plays the case, with requests that have the bad part or without.
pub fn play(context: &Context, has_bad_part: bool) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "", "config", Some(CONFIGURATION));
    let seen = Arc::new(Seen::default());
    let (crash, crashes) = mpsc::channel();
    let handler = {
        let seen = seen.clone();
        let crash = Mutex::new(crash.clone());
        Arc::new(move |run: Run<'_>| {
            let crash = crash.lock().unwrap().clone();
            handle(run, &seen, &crash)
        })
    };
    let zones = ["upp-a", "upp-b"];
    let servers: Arc<Mutex<Vec<Arc<Server>>>> = Arc::default();
    let configs: Vec<ServerConfig> = (0..SERVERS)
        .map(|i| ServerConfig {
            id: format!("i-{:08x}", 0x4000_0001 + i),
            service: "plan-llm".to_owned(),
            zone: zones[i % zones.len()].to_owned(),
            version: "v1".to_owned(),
            slots: 24,
            address: free_address(),
            first_heartbeat: Duration::ZERO,
        })
        .collect();
    for config in &configs {
        let server = Server::start(config, &store, record, handler.clone());
        servers.lock().unwrap().push(server);
    }
    let supervisor = {
        let (servers, store, record) = (servers.clone(), store.clone(), record.clone());
        thread::spawn(move || {
            for id in crashes {
                let Some(i) = configs.iter().position(|config| config.id == id) else {
                    continue;
                };
                let server = servers.lock().unwrap()[i].clone();
                if !server.is_running() {
                    continue;
                }
                server.end();
                let (config, handler) = (configs[i].clone(), handler.clone());
                let (servers, store) = (servers.clone(), store.clone());
                let record = record.clone();
                thread::spawn(move || {
                    thread::sleep(DOWN_FOR);
                    let server = Server::start(&config, &store, &record, handler);
                    servers.lock().unwrap()[i] = server;
                });
            }
        })
    };
    let mut hosts = Vec::new();
    for config in HostConfig::fleet(3, &zones, &store) {
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
    let is_over = Arc::new(AtomicBool::new(false));
    let sent_bad = Arc::new(AtomicUsize::new(0));
    let mut readers = Vec::new();
    let mut number = 0;
    let mut bad_due = begin + BAD_BEGIN;
    let mut crashed: Option<Instant> = None;
    while begin.elapsed() < END {
        let is_bad_due = context.has_trouble && has_bad_part && Instant::now() >= bad_due;
        if is_bad_due {
            bad_due += BAD_INTERVAL;
        }
        if context.has_trouble && crashed.is_none() && begin.elapsed() >= SERVICE_CRASH {
            crashed = Some(Instant::now());
            record.line("the servers of the service crash");
            for server in servers.lock().unwrap().iter() {
                let _ = crash.send(server.id.clone());
            }
        }
        for is_bad in [Some(true).filter(|_| is_bad_due), Some(false)]
            .into_iter()
            .flatten()
        {
            number += 1;
            let address = hosts[number % hosts.len()].callers;
            let (record, seen, sent_bad) =
                (record.clone(), seen.clone(), sent_bad.clone());
            readers.push(thread::spawn(move || {
                let id = new_id();
                let path = format!("/check/{number}");
                let middle = if is_bad { BAD_PART } else { "91bd3f06" };
                let prefix = format!("5c1e07a2:35,{middle}:23,{number:08x}:250");
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
                    body: &format!("is stop {number} right?"),
                };
                let sent = Instant::now();
                let kind = if is_bad { "bad" } else { "sound" };
                let Ok(stream) = request.send(address) else {
                    return record.line(&format!("client could not send {id}"));
                };
                let received = read_stream(stream);
                record.line(&format!(
                    "client got {} for {id} ({kind}): {} events, complete: {}",
                    received.status,
                    received.events.len(),
                    received.is_complete
                ));
                if is_bad {
                    sent_bad.fetch_add(1, Ordering::SeqCst);
                } else {
                    let has_begun = !received.events.is_empty();
                    seen.sound.lock().unwrap().push((sent, has_begun));
                }
            }));
        }
        thread::sleep(SOUND_INTERVAL);
    }
    is_over.store(true, Ordering::SeqCst);
    for reader in readers {
        let _ = reader.join();
    }
    drop((crash, supervisor));
    let share = |from: Instant, to: Instant| {
        let sound = seen.sound.lock().unwrap();
        let sent = sound.iter().filter(|(at, _)| (from..to).contains(at));
        let (mut all, mut begun) = (0, 0);
        for (_, has_begun) in sent {
            all += 1;
            begun += usize::from(*has_begun);
        }
        (begun, all)
    };
    let crashes = seen.crashes.lock().unwrap().clone();
    let (calm_begun, calm) = share(begin, begin + BAD_BEGIN);
    let Some(crashed) = crashed else {
        let (begun, all) = share(begin, begin + END);
        record.line(&format!(
            "no crashes; {begun} of {all} sound requests began"
        ));
        return Verdict::Held;
    };
    let fifth = crashes.get(CRASHES_UNTIL_KNOWN - 1).or(crashes.last());
    // Without the part, what counts is the crash of the servers alone.
    let fifth = fifth.copied().unwrap_or(crashed - 2 * CONTACT);
    // The servers are back for some seconds by then, and so are their entries.
    let from = (fifth + 2 * CONTACT).max(crashed + COUNTED_AFTER);
    let arrivals = seen.bad_arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|at| **at > fifth + CONTACT).count();
    let (known_begun, known) = share(fifth + 2 * CONTACT, crashed);
    let (late_begun, late_sound) = share(from, begin + END);
    record.line(&format!(
        "{} crashes under the part; {late} requests with it reached servers later than {} ms after the fifth; sound \
         requests that began at the first attempt: {calm_begun} of {calm} before it came, {known_begun} of {known} \
         later than {} ms after the fifth crash and before the servers crashed, {late_begun} of {late_sound} later \
         than {} ms after that",
        crashes.len(),
        CONTACT.as_millis(),
        2 * CONTACT.as_millis(),
        COUNTED_AFTER.as_millis(),
    ));
    let share_late = late_begun as f64 / late_sound.max(1) as f64;
    let share_calm = calm_begun as f64 / calm.max(1) as f64;
    if calm >= 20 && late_sound >= 20 && share_late < share_calm / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
