//! All processes are killed while the store has returned to a copy that lacks the withdrawal of a key.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{
    Host, HostConfig, KEY, Request, SECOND_KEY, Server, ServerConfig, new_id,
};
use crate::store::Store;
use crate::util::free_address;
use crate::{Context, Verdict};

/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

/// When things happen after the withdrawal was acknowledged. The copy is five seconds old when the store
/// goes away, and the operator writes again two seconds after its return.
const STORE_AWAY: Duration = Duration::from_millis(4_000);
const STORE_RETURNS: Duration = Duration::from_millis(4_500);
const ALL_KILLED: Duration = Duration::from_millis(4_600);
const ALL_BACK: Duration = Duration::from_millis(5_000);
const WRITTEN_AGAIN: Duration = Duration::from_millis(6_500);
const END: Duration = Duration::from_millis(10_000);

fn configuration(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-look","hostname":"ficu95.example","path_prefix":"/look/","route_kind":"idempotent",
"timeout_ms":800,"slo_ms":150,"priority":2,"service":"roster-api","max_attempts":2,"public":false,
"sticky":false,"resumable":false}}],
"services":[{{"name":"roster-api","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}},
"tenants":[{{"name":"huka270","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    let both = format!(r#""{KEY}","{SECOND_KEY}""#);
    store.put("op", "", "config", Some(&configuration(7, &both)));
    let acknowledged: Arc<std::sync::Mutex<Option<Instant>>> = Arc::default();
    let late_runs = Arc::new(AtomicUsize::new(0));
    let _servers: Vec<Arc<Server>> = (0..4)
        .map(|i| {
            let config = ServerConfig {
                id: format!("i-{:08x}", 0x1000_0001 + i),
                service: "roster-api".to_owned(),
                zone: if i % 2 == 0 { "upp-a" } else { "upp-b" }.to_owned(),
                version: "v1".to_owned(),
                slots: 6,
                address: free_address(),
                first_heartbeat: Duration::ZERO,
            };
            let late_runs = late_runs.clone();
            let record = record.clone();
            Server::start(
                &config,
                &store,
                &context.record,
                Arc::new(move |mut run| {
                    if run.request.path().ends_with("/late") {
                        late_runs.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("{} runs with the withdrawn key", run.id()));
                    }
                    thread::sleep(Duration::from_millis(30));
                    run.answer("coach 7")
                }),
            )
        })
        .collect();
    let configs = HostConfig::fleet(4, &["upp-a", "upp-b"], &store);
    let mut hosts: Vec<Host> = Vec::new();
    for config in &configs {
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
    thread::sleep(Duration::from_secs(3));

    let is_over = Arc::new(AtomicBool::new(false));
    let clients = {
        let (is_over, acknowledged) = (is_over.clone(), acknowledged.clone());
        let record = record.clone();
        let addresses: Vec<_> = hosts.iter().map(|host| host.callers).collect();
        thread::spawn(move || {
            let mut clients = Vec::new();
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let address = addresses[number / 2 % addresses.len()];
                let key = if number % 2 == 0 { KEY } else { SECOND_KEY };
                let withdrawn_ms = acknowledged.lock().unwrap().map(|at| at.elapsed());
                let is_late =
                    key == KEY && withdrawn_ms.is_some_and(|elapsed| elapsed > REVOKE);
                let record = record.clone();
                clients.push(thread::spawn(move || {
                    let id = new_id();
                    let suffix = if is_late { "late" } else { "ordinary" };
                    let path = format!("/look/{number}/{suffix}");
                    let request = Request {
                        method: "GET",
                        path: &path,
                        id: &id,
                        deadline_ms: 1_500,
                        key,
                        headers: &[],
                        body: "",
                    };
                    record.line(&format!("client sends {id} {path} with key {key}"));
                    match request.fetch(address) {
                        Ok(answer) => record.line(&format!(
                            "client gets {} for {id} {suffix}",
                            answer.status()
                        )),
                        Err(error) => {
                            record
                                .line(&format!("client gets no answer to {id}: {error}"));
                        }
                    }
                }));
                number += 1;
                thread::sleep(Duration::from_millis(20));
            }
            for client in clients {
                let _ = client.join();
            }
        })
    };
    let copy = store.copy();
    thread::sleep(Duration::from_secs(1));
    let withdrawn = configuration(12, &format!(r#""{SECOND_KEY}""#));
    store.put("op", "", "config", Some(&withdrawn));
    let begin = Instant::now();
    *acknowledged.lock().unwrap() = Some(begin);
    record.line(&format!("version 12 takes {KEY} away; acknowledged"));
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(begin.elapsed()));
    if context.has_trouble {
        wait_until(STORE_AWAY);
        record.line("the store is away");
        store.go_away();
        wait_until(STORE_RETURNS);
        store.return_from(&copy);
        record.line("the store is back from a copy that lacks version 12");
        wait_until(ALL_KILLED);
        for host in &mut hosts {
            host.kill();
        }
        record.line("all processes are killed");
        wait_until(ALL_BACK);
        hosts.clear();
        for config in &configs {
            let config = HostConfig {
                is_first_start: false,
                ..config.clone()
            };
            match config.start(context.directory, record) {
                Ok(host) => hosts.push(host),
                Err(error) => return Verdict::NotRun(error.to_string()),
            }
        }
        wait_until(WRITTEN_AGAIN);
        store.put("op", "", "config", Some(&withdrawn));
        record.line("the operator writes version 12 again");
    }
    wait_until(END);
    is_over.store(true, Ordering::SeqCst);
    let _ = clients.join();
    let late_runs = late_runs.load(Ordering::SeqCst);
    record.line(&format!(
        "{late_runs} requests with the withdrawn key ran that were sent over {} ms after its withdrawal",
        REVOKE.as_millis()
    ));
    if late_runs > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
