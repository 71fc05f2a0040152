//! The keys of the only tenant are taken away, one after the other.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{ZONES, add_lookup_servers_with, configuration_with_keys};
use crate::client::{self, KEY, Request, new_attempt_id};
use crate::deployment::{Deployment, Exchange, Handler, Record};

/// The other key of the tenant.
const OTHER_KEY: &str = "wsjnbanfqasnmgkcuyj8";

/// A key that no configuration ever held.
const FOREIGN_KEY: &str = "zzzz0nobody0ever0had0";

const REVOKE: Duration = Duration::from_millis(5_000);
const REVOKED_AT: Duration = Duration::from_secs(4);

/// Time between the two withdrawals.
const GAP: Duration = Duration::from_millis(1_500);
const LENGTH: Duration = Duration::from_secs(18);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new(record.clone());
    let keys = [KEY, OTHER_KEY];
    let write = |deployment: &Deployment, version, keys: &[&str]| {
        let text = configuration_with_keys(version, false, keys);
        deployment.store.write("op", "config", Some(&text));
        Instant::now()
    };
    write(&deployment, 7, &keys);
    // The attempts that servers have run, and the tenant that they were told.
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let handler: Handler = {
        let runs = runs.clone();
        Arc::new(move |mut exchange: Exchange| {
            let tenant = exchange.head.get("x-tenant").unwrap_or("(none)").to_owned();
            let id = exchange.attempt_id().to_owned();
            exchange.record.write(&format!("server {}: runs {id} for tenant {tenant}", exchange.server.id));
            runs.lock().unwrap().push((id, tenant));
            std::thread::sleep(Duration::from_millis(30));
            exchange.answer("200 OK", &"r".repeat(800));
        })
    };
    add_lookup_servers_with(&deployment, &handler);
    deployment.add_hosts(2, &ZONES);
    deployment.start_all();
    let start = Instant::now();
    let mut acknowledged: [Option<Instant>; 2] = [None; 2];
    // When each attempt was sent, and with which key.
    let mut sent: Vec<(String, &str, Instant, u16)> = Vec::new();
    let mut number = 0_usize;
    while start.elapsed() < LENGTH {
        if has_trouble {
            for index in 0..2 {
                let at = REVOKED_AT + GAP * index as u32;
                if acknowledged[index].is_none() && start.elapsed() >= at {
                    let at = write(&deployment, 8 + index as u64, &keys[index + 1..]);
                    acknowledged[index] = Some(at);
                    record.write(&format!("operator: version {} takes key {} away", 8 + index, keys[index]));
                }
            }
        }
        let key = [KEY, OTHER_KEY, FOREIGN_KEY][number % 3];
        let host = &deployment.hosts[number / 3 % 2];
        number += 1;
        let id = new_attempt_id();
        let request = Request {
            key,
            method: "POST",
            path: "/driver/2f".to_owned(),
            attempt_id: id.clone(),
            headers: String::new(),
            body: String::new(),
            time_limit: Duration::from_millis(1_500),
        };
        let sent_at = Instant::now();
        let outcome = client::fetch(host.callers_address(), &request);
        record.write(&format!("client: {id} with key {key} to {}: status {}", host.name, outcome.status));
        sent.push((id, key, sent_at, outcome.status));
        std::thread::sleep(Duration::from_millis(40));
    }
    deployment.end();
    let runs = runs.lock().unwrap();
    let has_run = |id: &String| runs.iter().any(|(run, _)| run == id);
    let is_revoked = |key: &str, sent_at: Instant| {
        let index = keys.iter().position(|known| *known == key);
        let at = index.and_then(|index| acknowledged[index]);
        at.is_some_and(|at| sent_at > at + REVOKE)
    };
    let late = sent.iter().filter(|(_, key, at, _)| is_revoked(key, *at));
    let late_run = late.clone().filter(|(id, ..)| has_run(id)).count();
    let foreign = sent.iter().filter(|(_, key, ..)| *key == FOREIGN_KEY);
    let foreign_run = foreign.clone().filter(|(id, ..)| has_run(id)).count();
    let text = format!(
        "{} requests were sent later than revoke_ms after their key was taken away, {late_run} of them ran; \
         {} with a key that no configuration held, {foreign_run} of them ran",
        late.count(),
        foreign.count(),
    );
    record.write(&text);
    println!("{text}");
    late_run > 0
}
