//! Clients pause while they read a long answer, around a planned stop.

use std::io::Read;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Attempt;
use crate::deployment::{Addresses, Host, HostSettings, Route, configuration, start_all};
use crate::http::Reader;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::{Stage, Verdict};

const ZONES: [&str; 1] = ["cz-central-a"];
const ANSWER_BYTES: usize = 8_000_000;
const CLIENTS: usize = 2;
/// What a client reads before its pause, and the pause.
const READ_BYTES: usize = 65_536;
const PAUSE: Duration = Duration::from_millis(4_500);

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let addresses = Addresses::new();
    let store = Store::start(addresses.store());
    let route = Route {
        name: "order",
        kind: "non_idempotent",
        service: "objednavky",
        timeout_ms: 12_000,
        slo_ms: 300,
        attempts: 1,
        is_resumable: false,
    };
    store.write(
        "op",
        "config",
        Some(&configuration(7, &[route], &[("huka270", &["k-1"])])),
    );
    let servers: Vec<Arc<Server>> = (0..3)
        .map(|number| {
            let name = format!("app-{number}");
            let address = addresses.server();
            Server::create(
                &name,
                "objednavky",
                ZONES[0],
                "2.0",
                address,
                &store,
                record,
                |_| Work::Answer {
                    after: Duration::from_millis(60),
                    bytes: ANSWER_BYTES,
                },
            )
        })
        .collect();
    let settings = HostSettings {
        name: "frontend-cz-central-a-1",
        zone: ZONES[0],
        zones: &ZONES,
        memory_mb: 256,
        store: store.address,
    };
    let host = Host::create(&settings, &addresses, &stage.folder);
    if !start_all(std::slice::from_ref(&host), record) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (host, has_trouble) = (host.clone(), stage.has_trouble);
            let record = stage.record.clone();
            std::thread::spawn(move || {
                let attempt =
                    Attempt::new("POST", "/order/2f", "k-1", Duration::from_secs(12));
                let stream = host.connect_directly().ok()?;
                let outcome = read_answer(stream, &attempt, has_trouble);
                record.note(format!("attempt {}: {outcome:?}", attempt.id));
                Some((attempt.id, outcome.is_ok()))
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(800));
    record.note("SIGTERM");
    let start = Instant::now();
    host.terminate(Duration::from_secs(8));
    record.note(format!(
        "the process has ended after {} ms",
        start.elapsed().as_millis()
    ));
    let mut lost = 0;
    for client in clients {
        let Some((id, is_whole)) = client.join().unwrap() else {
            return Verdict::CouldNotRun;
        };
        let has_run = servers.iter().any(|server| server.has_run(&id));
        lost += u32::from(has_run && !is_whole);
    }
    record.note(format!(
        "requests that have run and have no complete answer: {lost}"
    ));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Reads an answer, and returns its length and how long that took.
fn read_answer(
    mut stream: TcpStream,
    attempt: &Attempt,
    has_pause: bool,
) -> std::io::Result<(usize, Duration)> {
    let start = Instant::now();
    attempt.send(&mut stream)?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    let length = head
        .text("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut read = reader.exact(READ_BYTES)?.len();
    if has_pause {
        std::thread::sleep(PAUSE);
    }
    let mut bytes = vec![0; READ_BYTES];
    let mut rest = reader.take_buffered();
    while read + rest < length {
        match reader.stream.read(&mut bytes)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            more => read += more,
        }
    }
    rest += read;
    Ok((rest, start.elapsed()))
}
