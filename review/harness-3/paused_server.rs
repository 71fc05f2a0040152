//! Not a case: a server that has started again under its id and asks for a pause before its new entry is
//! known. See REPORT-3.md.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{
    HEARTBEAT, HostConfig, KEY, Request, Run, Server, ServerConfig, new_id,
};
use crate::store::Store;
use crate::util::free_address;
use crate::{Context, Verdict};

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-look","hostname":"ficu95.example","path_prefix":"/look/","route_kind":"idempotent",
"timeout_ms":800,"slo_ms":150,"priority":2,"service":"roster-api","max_attempts":2,"public":false,
"sticky":false,"resumable":false}],
"services":[{"name":"roster-api","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// The pause that the server asks for, and the part of it that counts.
const PAUSE: Duration = Duration::from_secs(4);
const COUNTS_AFTER: Duration = Duration::from_millis(500);
const REQUESTS_MAX: usize = 2;

/// What the server that asks for the pause has seen.
#[derive(Default)]
struct Seen {
    refuses: AtomicBool,
    first_refusal: Mutex<Option<Instant>>,
    arrivals: Mutex<Vec<Instant>>,
}

fn handle(mut run: Run<'_>, seen: Option<&Seen>) -> std::io::Result<()> {
    let Some(seen) = seen.filter(|seen| seen.refuses.load(Ordering::SeqCst)) else {
        thread::sleep(Duration::from_millis(30));
        return run.answer("coach 7");
    };
    seen.arrivals.lock().unwrap().push(Instant::now());
    thread::sleep(Duration::from_millis(100));
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {}\r\nX-Not-Executed: 1\r\n\
         Retry-After: {}\r\nContent-Length: 0\r\n\r\n",
        run.id(),
        PAUSE.as_secs()
    );
    run.writer.write_all(answer.as_bytes())?;
    let mut first = seen.first_refusal.lock().unwrap();
    first.get_or_insert_with(Instant::now);
    Ok(())
}

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "", "config", Some(CONFIGURATION));
    let seen = Arc::new(Seen::default());
    let mut configs: Vec<ServerConfig> = (0..3)
        .map(|i| ServerConfig {
            id: format!("i-{:08x}", 0x1000_0001 + i),
            service: "roster-api".to_owned(),
            zone: "upp-a".to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            address: free_address(),
            first_heartbeat: Duration::ZERO,
        })
        .collect();
    let start = |config: &ServerConfig, seen: Option<Arc<Seen>>| {
        let handler = Arc::new(move |run: Run<'_>| handle(run, seen.as_deref()));
        Server::start(config, &store, record, handler)
    };
    let paused = start(&configs[0], Some(seen.clone()));
    let _others = [start(&configs[1], None), start(&configs[2], None)];
    let host = match HostConfig::fleet(1, &["upp-a"], &store)[0]
        .start(context.directory, record)
    {
        Ok(host) => host,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    if !host.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the host did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let is_over = Arc::new(AtomicBool::new(false));
    let is_quiet = Arc::new(AtomicBool::new(false));
    let clients = {
        let (is_over, is_quiet, address) =
            (is_over.clone(), is_quiet.clone(), host.callers);
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(6));
                if is_quiet.load(Ordering::SeqCst) {
                    continue;
                }
                number += 1;
                thread::spawn(move || {
                    let request = Request {
                        method: "GET",
                        path: &format!("/look/{number}"),
                        id: &new_id(),
                        deadline_ms: 1_500,
                        key: KEY,
                        headers: &[],
                        body: "",
                    };
                    // The record of the servers shows what matters here.
                    let _ = request.fetch(address);
                });
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    // Nothing is under way there when the server ends, so no failure shows it.
    is_quiet.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    seen.refuses.store(true, Ordering::SeqCst);
    let mut again = None;
    if context.has_trouble {
        paused.crash();
        configs[0].first_heartbeat = HEARTBEAT;
        again = Some(start(&configs[0], Some(seen.clone())));
    }
    thread::sleep(Duration::from_millis(150));
    is_quiet.store(false, Ordering::SeqCst);
    thread::sleep(PAUSE + Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    let _ = clients.join();
    drop(again);
    let Some(first) = *seen.first_refusal.lock().unwrap() else {
        return Verdict::NotRun("the server refused nothing".to_owned());
    };
    let counted = first + COUNTS_AFTER..first + PAUSE;
    let arrivals = seen.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|at| counted.contains(at)).count();
    record.line(&format!("{late} requests reached the server in its pause"));
    if late > REQUESTS_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
