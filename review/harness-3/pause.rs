//! Callers that pause while they read a stream, around the planned stop of their host.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{
    HostConfig, KEY, Request, Run, Server, ServerConfig, new_id, read_stream_with,
};
use crate::store::Store;
use crate::util::free_address;
use crate::{Context, Verdict};

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-draft","hostname":"ficu95.example","path_prefix":"/draft/","route_kind":"streaming",
"timeout_ms":39000,"slo_ms":4000,"priority":1,"service":"pekar-lm","max_attempts":1,"public":false,
"sticky":true,"resumable":false,"gap_slo_ms":180}],
"services":[{"name":"pekar-lm","health_path":"/healthz","max_conns":732,"protocol":"h1","tls":false,
"engine":{"slots":24,"kv_capacity":26872,"kv_token_bytes":262144,"link_mbps":38000.0,"moves":true,
"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,
"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// A stream of the site's `order-draft`: 187 events of 310 bytes.
const EVENTS: u64 = 187;
const EVENT_BYTES: usize = 310;
const EVENT_PAUSE: Duration = Duration::from_millis(32);

const STREAMS: usize = 12;

/// The host is stopped this long after the streams began. They last some 6 s, and `grace_s` is 8.
const STOP_AFTER: Duration = Duration::from_millis(700);

/// When the callers stop reading after the streams began, and for how long.
const PAUSE_AFTER: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(4_500);

/// The receive buffer of a caller's machine.
const RECEIVE_BUFFER_BYTES: i32 = 4_096;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(
        socket: i32,
        level: i32,
        name: i32,
        value: *const i32,
        length: u32,
    ) -> i32;
    fn connect(socket: i32, address: *const [u8; 16], length: u32) -> i32;
}

/// Connects with a small receive buffer, which has to be set before.
fn connect_with_small_buffer(address: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let mut name = [0; 16];
    name[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the descriptor is owned by the stream that is returned, the pointers are valid for the
    // lengths that are passed with them.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let is_set =
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, 4) == 0;
        if !is_set || connect(descriptor, &name, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn run_stream(mut run: Run<'_>) -> io::Result<()> {
    thread::sleep(Duration::from_millis(60));
    run.begin_stream()?;
    for id in 1..=EVENTS {
        let mut event = format!("id: {id}\ndata: ");
        while event.len() < EVENT_BYTES - 2 {
            event.push('x');
        }
        event.push_str("\n\n");
        run.send_chunk(&event)?;
        thread::sleep(EVENT_PAUSE);
    }
    run.end_stream()?;
    run.server
        .note(&format!("completed the stream of {}", run.id()));
    Ok(())
}

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "", "config", Some(CONFIGURATION));
    let zones = ["cz-central-a", "cz-central-b", "cz-central-c"];
    let _servers: Vec<Arc<Server>> = (0..6)
        .map(|i| {
            let config = ServerConfig {
                id: format!("i-{:08x}", 0x4000_0001 + i),
                service: "pekar-lm".to_owned(),
                zone: zones[i % 3].to_owned(),
                version: "v1".to_owned(),
                slots: 24,
                address: free_address(),
                first_heartbeat: Duration::ZERO,
            };
            Server::start(&config, &store, record, Arc::new(run_stream))
        })
        .collect();
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
    let lost = Arc::new(AtomicUsize::new(0));
    let complete = Arc::new(AtomicUsize::new(0));
    let address = hosts[0].callers;
    let begin = Instant::now();
    let mut readers = Vec::new();
    for number in 0..STREAMS {
        let (lost, complete) = (lost.clone(), complete.clone());
        let (record, has_trouble) = (record.clone(), context.has_trouble);
        readers.push(thread::spawn(move || {
            let id = new_id();
            let path = format!("/draft/{number}");
            let prefix = format!("5c1e07a2:48,91bd3f06:31,{number:08x}:1900");
            let request = Request {
                method: "POST",
                path: &path,
                id: &id,
                deadline_ms: 39_000,
                key: KEY,
                headers: &[
                    ("X-Model", "m"),
                    ("X-Token-Usage", "1979,748"),
                    ("X-Prompt-Prefix", &prefix),
                ],
                body: "flour and yeast for next week",
            };
            let stream = match connect_with_small_buffer(address)
                .and_then(|stream| request.send_on(stream))
            {
                Ok(stream) => stream,
                Err(error) => {
                    return record.line(&format!("could not send {id}: {error}"));
                }
            };
            record.line(&format!("client sends {id} {path}"));
            let mut has_paused = !has_trouble;
            let received = read_stream_with(stream, |_| {
                if !has_paused && begin.elapsed() >= PAUSE_AFTER {
                    has_paused = true;
                    record.line(&format!("client of {id} pauses"));
                    thread::sleep(PAUSE);
                    record.line(&format!("client of {id} reads on"));
                }
            });
            record.line(&format!(
                "client got {} for {id}: {} of {EVENTS} events, complete: {}, {}",
                received.status,
                received.events.len(),
                received.is_complete,
                received.error.unwrap_or_default()
            ));
            if received.is_complete {
                complete.fetch_add(1, Ordering::SeqCst);
            } else if received.status == 200 {
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    thread::sleep(STOP_AFTER.saturating_sub(begin.elapsed()));
    record.line("the host gets SIGTERM");
    hosts[0].terminate();
    for reader in readers {
        let _ = reader.join();
    }
    let (lost, complete) = (lost.load(Ordering::SeqCst), complete.load(Ordering::SeqCst));
    record.line(&format!(
        "{complete} streams complete; {lost} ended without a complete answer, {:.1} s after they began at the latest",
        begin.elapsed().as_secs_f64()
    ));
    if complete + lost < STREAMS {
        Verdict::NotRun("not all streams began".to_owned())
    } else if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
