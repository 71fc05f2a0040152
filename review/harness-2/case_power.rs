//! All machines lose power for a second; clients take their streams up again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::deployment::{Addresses, Host, HostSettings, Route, configuration, start_all};
use crate::server::{Server, Work};
use crate::session::{Outcome, Plan, play};
use crate::store::Store;
use crate::{Stage, Verdict};

const ZONES: [&str; 3] = ["upp-a", "upp-b", "vas-a"];
const STREAMS: usize = 18;
/// A stream of 20 s.
const WORK: Work = Work::Stream {
    events: 134,
    interval: Duration::from_millis(150),
};
/// Four times the objective of 1.5 s, the longest of the three times that the page names.
const GAP: Duration = Duration::from_secs(6);

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
    let servers: Vec<Arc<Server>> = (0..6)
        .map(|number| {
            let name = format!("llm-{number}");
            let zone = ZONES[number % ZONES.len()];
            let address = addresses.server();
            Server::create(
                &name,
                "plan-llm",
                zone,
                "4.1",
                address,
                &store,
                record,
                |_| WORK,
            )
        })
        .collect();
    let hosts: Vec<Arc<Host>> = ZONES
        .iter()
        .map(|zone| {
            let name = format!("frontend-{zone}-1");
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
    std::thread::sleep(Duration::from_secs(10));
    let before = start_clients(stage, &hosts, Duration::ZERO);
    std::thread::sleep(Duration::from_secs(5));
    if stage.has_trouble {
        record.note("all machines lose power");
        for host in &hosts {
            host.power_off();
        }
        std::thread::sleep(Duration::from_secs(1));
        record.note("power is back");
        if !start_all(&hosts, record) {
            return Verdict::CouldNotRun;
        }
    } else {
        std::thread::sleep(Duration::from_secs(1));
    }
    // New streams begin at the time at which the others are taken up.
    std::thread::sleep(Duration::from_millis(3_500));
    let after = start_clients(stage, &hosts, Duration::from_millis(100));
    let before: Vec<Outcome> = before
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let after: Vec<Outcome> = after
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    drop(servers);
    judge(stage, &before, &after)
}

fn start_clients(
    stage: &Stage,
    hosts: &[Arc<Host>],
    interval: Duration,
) -> Vec<std::thread::JoinHandle<Outcome>> {
    let start = Instant::now();
    let client = |number: usize| {
        let hosts = hosts.to_vec();
        let record = stage.record.clone();
        let at = start + interval * number as u32;
        std::thread::spawn(move || {
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let plan = Plan {
                path: "/draft/1".to_owned(),
                key: "k-1",
                deadline: Duration::from_secs(39),
                gap: GAP,
                first_host: number,
            };
            play(&hosts, &record, &plan)
        })
    };
    (0..STREAMS).map(client).collect()
}

/// LOST, as it was added to the pages with the versions of servers' software.
fn judge(stage: &Stage, before: &[Outcome], after: &[Outcome]) -> Verdict {
    let record = &stage.record;
    let taken_up = before
        .iter()
        .chain(after)
        .filter(|outcome| outcome.take_ups.iter().any(|take_up| take_up.is_in_touch));
    let taken_up: Vec<&Outcome> = taken_up.collect();
    let went_on = taken_up
        .iter()
        .filter(|outcome| outcome.take_ups.iter().any(|take_up| take_up.went_on));
    let went_on = went_on.count();
    let new: Vec<&Outcome> = after
        .iter()
        .filter(|outcome| outcome.began_in_touch)
        .collect();
    let begun = new.iter().filter(|outcome| outcome.has_begun).count();
    let complete = before.iter().filter(|outcome| outcome.is_complete).count();
    record.note(format!(
        "streams taken up at machines in touch: {}, of which {went_on} went on; new streams at \
         machines in touch: {}, of which {begun} began; of the {} first streams {complete} were \
         complete in the end",
        taken_up.len(),
        new.len(),
        before.len()
    ));
    if begun == 0 || (!stage.has_trouble && complete < before.len()) {
        return Verdict::CouldNotRun;
    }
    let share_on = went_on as f64 / taken_up.len().max(1) as f64;
    let share_new = begun as f64 / new.len().max(1) as f64;
    if taken_up.len() >= 12 && share_on < share_new / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
