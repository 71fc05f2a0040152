//! A few servers crash while they run streams of which some are alike.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::deployment::{Addresses, Host, HostSettings, Route, configuration, start_all};
use crate::server::{Server, Work};
use crate::session::{Outcome, Plan, play};
use crate::store::Store;
use crate::{Stage, Verdict};

const ZONES: [&str; 3] = ["upp-a", "upp-b", "vas-a"];
const SERVERS: usize = 30;
/// Servers that crash, and for how long.
const CRASHED: usize = 5;
const DOWN: Duration = Duration::from_millis(4_500);
const CLIENTS: usize = 640;
/// Clients that begin a stream after the crash.
const NEW_CLIENTS: usize = 60;
/// Of so many requests, one after the other, so many are about the same thing: same path, caller and body.
const ROUND: usize = 25;
const ALIKE: usize = 7;
/// A stream of 30 s.
const WORK: Work = Work::Stream {
    events: 170,
    interval: Duration::from_millis(175),
};
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
        attempts: 3,
        is_resumable: true,
    };
    let tenants: [(&str, &[&str]); 1] = [("huka270", &["k-1"])];
    store.write("op", "config", Some(&configuration(7, &[route], &tenants)));
    let servers: Vec<Arc<Server>> = (0..SERVERS)
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
    std::thread::sleep(Duration::from_secs(8));
    let before = start_clients(stage, &hosts, 0, CLIENTS);
    std::thread::sleep(Duration::from_secs(7));
    if stage.has_trouble {
        record.note(format!("{CRASHED} of {SERVERS} servers crash"));
        for server in &servers[..CRASHED] {
            server.crash();
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    let after = start_clients(stage, &hosts, CLIENTS, NEW_CLIENTS);
    std::thread::sleep(DOWN - Duration::from_secs(1));
    if stage.has_trouble {
        record.note("these servers are back");
        for server in &servers[..CRASHED] {
            server.start();
        }
    }
    let join = |threads: Vec<std::thread::JoinHandle<Outcome>>| -> Vec<Outcome> {
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    };
    let (before, after) = (join(before), join(after));
    judge(stage, &before, &after)
}

/// Returns true if a client's request is about the same thing as others.
fn is_alike(number: usize) -> bool {
    number % ROUND < ALIKE
}

/// Starts clients within two seconds.
fn start_clients(
    stage: &Stage,
    hosts: &[Arc<Host>],
    first: usize,
    count: usize,
) -> Vec<std::thread::JoinHandle<Outcome>> {
    let start = Instant::now();
    let interval = Duration::from_secs(2) / count as u32;
    let client = |number: usize| {
        let hosts = hosts.to_vec();
        let record = stage.record.clone();
        let at = start + interval * number as u32;
        std::thread::spawn(move || {
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let thing = if is_alike(number) {
                "2f".to_owned()
            } else {
                format!("t{}", first + number)
            };
            let plan = Plan {
                path: format!("/draft/{thing}"),
                key: "k-1",
                deadline: Duration::from_secs(39),
                gap: GAP,
                first_host: number,
            };
            play(&hosts, &record, &plan)
        })
    };
    (0..count).map(client).collect()
}

/// LOST, as it was added to the pages with the versions of servers' software.
fn judge(stage: &Stage, before: &[Outcome], after: &[Outcome]) -> Verdict {
    let record = &stage.record;
    for (name, outcomes) in [("before", before), ("after", after)] {
        for is_wanted in [true, false] {
            let of_kind = outcomes.iter().enumerate();
            let of_kind: Vec<&Outcome> = of_kind
                .filter(|(number, _)| is_alike(*number) == is_wanted)
                .map(|(_, outcome)| outcome)
                .collect();
            let count =
                |is: &dyn Fn(&Outcome) -> bool| of_kind.iter().filter(|o| is(o)).count();
            record.note(format!(
                "streams begun {name} the crash, about one thing: {is_wanted}: {}, of which {} began, {} were \
                 taken up by their clients, {} of these went on, {} are complete",
                of_kind.len(),
                count(&|outcome| outcome.has_begun),
                count(&|outcome| !outcome.take_ups.is_empty()),
                count(&|outcome| outcome.take_ups.iter().any(|take_up| take_up.went_on)),
                count(&|outcome| outcome.is_complete),
            ));
        }
    }
    let taken_up = before
        .iter()
        .chain(after)
        .filter(|outcome| outcome.take_ups.iter().any(|take_up| take_up.is_in_touch));
    let taken_up: Vec<&Outcome> = taken_up.collect();
    let went_on = taken_up
        .iter()
        .filter(|outcome| outcome.take_ups.iter().any(|take_up| take_up.went_on));
    let went_on = went_on.count();
    let begun = after.iter().filter(|outcome| outcome.has_begun).count();
    record.note(format!(
        "streams taken up at machines in touch: {}, of which {went_on} went on; new streams: {}, of which \
         {begun} began",
        taken_up.len(),
        after.len()
    ));
    if begun == 0 {
        return Verdict::CouldNotRun;
    }
    let share_on = went_on as f64 / taken_up.len().max(1) as f64;
    let share_new = begun as f64 / after.len().max(1) as f64;
    if taken_up.len() >= 12 && share_on < share_new / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
