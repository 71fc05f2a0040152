//! The store returns to a copy from before a key was taken away, while a host is restarted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Attempt, exchange};
use crate::deployment::{Addresses, Host, HostSettings, Route, configuration, start_all};
use crate::http::Reader;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::{Stage, Verdict};

const ZONES: [&str; 2] = ["upp-a", "upp-b"];
const WORK: Work = Work::Answer {
    after: Duration::from_millis(30),
    bytes: 800,
};
/// `revoke_ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// The key that is taken away, and one that stays.
const KEY_GONE: &str = "xd9dnn2ctnfzs989anu6";
const KEY_KEPT: &str = "pf7kq2m4hwz81ctr5yab";

fn write_configuration(store: &Store, version: u64, keys: &[&str]) {
    let route = Route {
        name: "look",
        kind: "idempotent",
        service: "roster-api",
        timeout_ms: 1_500,
        slo_ms: 150,
        attempts: 2,
        is_resumable: false,
    };
    store.write(
        "op",
        "config",
        Some(&configuration(version, &[route], &[("huka270", keys)])),
    );
}

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let addresses = Addresses::new();
    let store = Store::start(addresses.store());
    write_configuration(&store, 7, &[KEY_GONE, KEY_KEPT]);
    let servers: Vec<Arc<Server>> = (0..4)
        .map(|number| {
            let name = format!("api-{number}");
            let zone = ZONES[number % ZONES.len()];
            let address = addresses.server();
            Server::create(
                &name,
                "roster-api",
                zone,
                "2.0",
                address,
                &store,
                record,
                |_| WORK,
            )
        })
        .collect();
    let hosts: Vec<Arc<Host>> = (0..4)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            let name = format!("frontend-{zone}-{}", 1 + number / ZONES.len());
            let settings = HostSettings {
                name: &name,
                zone,
                zones: &ZONES,
                memory_mb: 110,
                store: store.address,
            };
            Host::create(&settings, &addresses, &stage.folder)
        })
        .collect();
    if !start_all(&hosts, record) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(8));
    let copy = store.copy();
    std::thread::sleep(Duration::from_millis(1_000));
    write_configuration(&store, 12, &[KEY_KEPT]);
    let acknowledged = Instant::now();
    record.note("version 12 is acknowledged: it takes a key away");
    let at = |ms: u64| {
        let due = acknowledged + Duration::from_millis(ms);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    // One machine is stopped and started in turn, in both runs.
    let restarted = hosts[1].clone();
    at(300);
    record.note(format!("SIGTERM to {}", restarted.name));
    let stopping = {
        let (host, record) = (restarted.clone(), record.clone());
        std::thread::spawn(move || {
            host.terminate(Duration::from_secs(8));
            std::thread::sleep(Duration::from_millis(300));
            record.note(format!("{} is started again", host.name));
            host.start();
        })
    };
    if stage.has_trouble {
        at(3_500);
        record.note("the store is away");
        store.set_away(true);
        at(4_000);
        record.note("the store comes back from a copy from before version 12");
        store.return_to(&copy);
    }
    let _ = stopping.join();
    let rewriting = {
        let (store, record, has_trouble) =
            (store.clone(), record.clone(), stage.has_trouble);
        std::thread::spawn(move || {
            let due = acknowledged + Duration::from_millis(6_000);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if has_trouble {
                write_configuration(&store, 12, &[KEY_KEPT]);
                record.note(
                    "the operator has written version 12 again, 2 s after the return",
                );
            }
        })
    };
    // A connected client goes on using both keys at all nodes that are ready.
    let mut late_with_gone = 0;
    let mut late_with_kept = 0;
    at(5_100);
    while acknowledged.elapsed() < Duration::from_millis(9_000) {
        for host in hosts.iter().filter(|host| host.is_ready()) {
            for key in [KEY_GONE, KEY_KEPT] {
                let attempt =
                    Attempt::new("GET", "/look/2f", key, Duration::from_millis(1_500));
                let sent = acknowledged.elapsed();
                let Ok(stream) = host.connect() else { continue };
                let answer = exchange(&mut Reader::new(stream), &attempt);
                let status = answer.map_or(0, |head| head.status());
                let has_run = servers.iter().any(|server| server.has_run(&attempt.id));
                let which = if key == KEY_GONE {
                    "the key that is gone"
                } else {
                    "the other key"
                };
                record.note(format!(
                    "{} ms after version 12, to {} with {which}: status {status}, run: {has_run}",
                    sent.as_millis(),
                    host.name
                ));
                if has_run && sent > REVOKE {
                    late_with_gone += u32::from(key == KEY_GONE);
                    late_with_kept += u32::from(key == KEY_KEPT);
                }
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let _ = rewriting.join();
    record.note(format!(
        "requests sent over 5 s after the acknowledgement that have run: {late_with_gone} with the \
         key that is gone, {late_with_kept} with the other one"
    ));
    // CONFIG: such a request runs. It holds for all machines, in touch or not.
    match (late_with_gone, late_with_kept) {
        (_, 0) => Verdict::CouldNotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
