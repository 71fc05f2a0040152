//! Servers of one zone crash; streams that hosts have handed off meanwhile are taken up again later.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::client::{Attempt, exchange};
use crate::deployment::{Addresses, Host, HostSettings, Route, configuration, start_all};
use crate::http::Reader;
use crate::server::{Server, Work};
use crate::session::{Outcome, Plan, play};
use crate::store::Store;
use crate::{Stage, Verdict};

const ZONES: [&str; 2] = ["upp-a", "upp-b"];
/// Hosts of the first zone; the second has one.
const HOSTS: usize = 6;

/// A stream of 30 s, which a stopping host can't finish.
const WORK: Work = Work::Stream {
    events: 200,
    interval: Duration::from_millis(150),
};

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let addresses = Addresses::new();
    let store = Store::start(addresses.store());
    let route = Route {
        name: "draft",
        kind: "streaming",
        service: "plan-llm",
        timeout_ms: 39_000,
        slo_ms: 1_500,
        attempts: 2,
        is_resumable: true,
    };
    store.write(
        "op",
        "config",
        Some(&configuration(7, &[route], &[("huka270", &["k-1"])])),
    );
    let server = |name: &str, zone: &str, version| {
        let address = addresses.server();
        Server::create(
            name,
            "plan-llm",
            zone,
            version,
            address,
            &store,
            record,
            |head| {
                // A short one, by which a host is seen to reach the servers.
                if head.path().ends_with("short") {
                    Work::Stream {
                        events: 2,
                        interval: Duration::from_millis(20),
                    }
                } else {
                    WORK
                }
            },
        )
    };
    let old: Vec<Arc<Server>> = (0..3)
        .map(|number| server(&format!("a-{number}"), ZONES[0], "4.1"))
        .collect();
    let new: Vec<Arc<Server>> = (0..17)
        .map(|number| server(&format!("b-{number}"), ZONES[1], "4.2"))
        .collect();
    let host = |name: String, zone| {
        let settings = HostSettings {
            name: &name,
            zone,
            zones: &ZONES,
            memory_mb: 110,
            store: store.address,
        };
        Host::create(&settings, &addresses, &stage.folder)
    };
    let mut hosts: Vec<Arc<Host>> = (1..=HOSTS)
        .map(|number| host(format!("frontend-upp-a-{number}"), ZONES[0]))
        .collect();
    hosts.push(host("frontend-upp-b-1".to_owned(), ZONES[1]));
    let last = hosts[HOSTS].clone();
    if !start_all(&hosts, record) {
        return Verdict::CouldNotRun;
    }
    // The callers of the second zone send something all the time.
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let steady = {
        let (host, is_over) = (last.clone(), is_over.clone());
        std::thread::spawn(move || {
            while !is_over.load(std::sync::atomic::Ordering::SeqCst) && host.is_running()
            {
                if let Ok(stream) = host.connect() {
                    let attempt = Attempt::new(
                        "POST",
                        "/draft/short",
                        "k-1",
                        Duration::from_secs(6),
                    );
                    let _ = exchange(&mut Reader::new(stream), &attempt);
                }
                std::thread::sleep(Duration::from_millis(300));
            }
        })
    };
    std::thread::sleep(Duration::from_secs(10));
    if stage.has_trouble {
        record.note("the servers of zone upp-a crash");
        for server in &old {
            server.crash();
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let clients = (0..HOSTS).map(|number| {
        let (hosts, record) = (hosts.clone(), record.clone());
        std::thread::spawn(move || {
            let plan = Plan {
                path: "/draft/1".to_owned(),
                key: "k-1",
                deadline: Duration::from_secs(39),
                gap: Duration::from_secs(6),
                first_host: number,
            };
            play(&hosts, &record, &plan)
        })
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(Duration::from_millis(4_400));
    if stage.has_trouble {
        record.note("these servers are back");
        for server in &old {
            server.start();
        }
    }
    std::thread::sleep(Duration::from_millis(2_000));
    // Planned work, in both runs: one machine is stopped.
    record.note(format!("SIGTERM to {}", last.name));
    last.terminate(Duration::from_secs(8));
    record.note(format!("{} has ended", last.name));
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    is_over.store(true, std::sync::atomic::Ordering::SeqCst);
    let _ = steady.join();
    drop(new);
    judge(stage, &outcomes)
}

/// ORDER: more than two streams hold events from servers of two software versions.
fn judge(stage: &Stage, outcomes: &[Outcome]) -> Verdict {
    let record = &stage.record;
    let mut joined = 0;
    for (number, outcome) in outcomes.iter().enumerate() {
        let versions: BTreeSet<&str> = outcome
            .events
            .iter()
            .filter_map(|(_, data)| data.split(' ').next())
            .collect();
        let change = outcome
            .events
            .windows(2)
            .find(|two| two[0].1.split(' ').next() != two[1].1.split(' ').next());
        joined += usize::from(versions.len() > 1);
        record.note(format!(
            "stream {number}: {} events, complete: {}, taken up {} times, versions {versions:?}{}",
            outcome.events.len(),
            outcome.is_complete,
            outcome.take_ups.len(),
            change.map_or(String::new(), |two| format!(", joined after event {}", two[0].0))
        ));
    }
    record.note(format!("streams with events of two versions: {joined}"));
    if outcomes.iter().all(|outcome| outcome.events.is_empty()) {
        return Verdict::CouldNotRun;
    }
    if joined > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
