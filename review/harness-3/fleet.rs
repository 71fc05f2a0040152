//! Servers, entry hosts and callers.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::store::Store;
use crate::util::{Message, Record, free_address, read_chunk, read_head, read_message};

/// Interval between two heartbeats of a server (`heartbeat_ms` of the settings).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request at a server that runs it, with the connection on which it is answered.
pub struct Run<'a> {
    pub server: &'a Server,
    pub request: &'a Message,
    pub writer: TcpStream,
}

impl Run<'_> {
    pub fn id(&self) -> &str {
        self.request.header("x-attempt-id").unwrap_or_default()
    }

    /// Sends a complete answer.
    pub fn answer(&mut self, body: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: {}.{}\r\n\
             Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
            self.id(),
            self.server.id,
            self.id(),
            body.len()
        );
        self.writer.write_all(head.as_bytes())?;
        self.writer.write_all(body.as_bytes())
    }

    /// Sends the head of a stream of events.
    pub fn begin_stream(&mut self) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: {}.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id(),
            self.server.id,
            self.id(),
        );
        self.writer.write_all(head.as_bytes())
    }

    pub fn send_chunk(&mut self, text: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.writer.write_all(chunk.as_bytes())
    }

    pub fn end_stream(&mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")
    }
}

type Handler = Arc<dyn Fn(Run<'_>) -> io::Result<()> + Send + Sync>;

/// One start of a server.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub born_ms: u128,
    is_running: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    record: Record,
    handler: Handler,
}

/// What a server is started with.
#[derive(Clone)]
pub struct ServerConfig {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub address: SocketAddr,
    /// Time from the start to the first heartbeat.
    pub first_heartbeat: Duration,
}

impl Server {
    pub fn start(
        config: &ServerConfig,
        store: &Arc<Store>,
        record: &Record,
        handler: Handler,
    ) -> Arc<Server> {
        let listener = TcpListener::bind(config.address).expect("server's address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let server = Arc::new(Server {
            id: config.id.clone(),
            service: config.service.clone(),
            zone: config.zone.clone(),
            version: config.version.clone(),
            slots: config.slots,
            address: config.address,
            born_ms: born.as_millis(),
            is_running: AtomicBool::new(true),
            streams: Mutex::default(),
            record: record.clone(),
            handler,
        });
        record.line(&format!(
            "server {} of {} {} started at {}",
            server.id, server.service, server.version, server.address
        ));
        server.accept_all(listener);
        server.beat(store.clone(), config.first_heartbeat);
        server
    }

    fn accept_all(self: &Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let server = self.clone();
        thread::spawn(move || {
            while server.is_running() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let server = server.clone();
                        thread::spawn(move || {
                            let _ = server.serve(stream);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn beat(self: &Arc<Self>, store: Arc<Store>, first: Duration) {
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(first);
            let mut seq = 1;
            while server.is_running() {
                store.put("servers", "", &server.id, Some(&server.entry("ready", seq)));
                if seq == 1 {
                    server.record.line(&format!(
                        "server {} {} wrote its first entry",
                        server.id, server.version
                    ));
                }
                seq += 1;
                let end = Instant::now() + HEARTBEAT;
                while Instant::now() < end && server.is_running() {
                    thread::sleep(Duration::from_millis(10));
                }
            }
        });
    }

    fn entry(&self, state: &str, seq: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{state}","cold_left_ms":0,"born":{},"seq":{seq}}}"#,
            self.service, self.address, self.zone, self.version, self.slots, self.born_ms
        )
    }

    /// Records what the server has done.
    pub fn note(&self, text: &str) {
        self.record.line(&format!("server {} {text}", self.id));
    }

    pub fn is_running(&self) -> bool {
        self.is_running.load(Ordering::SeqCst)
    }

    /// Ends the server as a crash does: all its connections close at once.
    pub fn crash(&self) {
        self.end();
        // The accepting thread closes the listener meanwhile.
        thread::sleep(Duration::from_millis(20));
    }

    /// Does the same, and doesn't wait until its address is free.
    pub fn end(&self) {
        self.is_running.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record
            .line(&format!("server {} {} crashed", self.id, self.version));
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.streams.lock().unwrap().push(stream.try_clone()?);
        if !self.is_running() {
            return stream.shutdown(Shutdown::Both);
        }
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let id = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                self.record.line(&format!(
                    "server {} answers 421 to {id}, which expects {}",
                    self.id,
                    expected.unwrap_or_default()
                ));
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n\
                     X-Not-Executed: 1\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            if request.path() == "/v1/report" {
                let body = r#"{"state":"ready","runs":[]}"#;
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            self.record.line(&format!(
                "server {} of {} {} runs {id} {} {} last event {}",
                self.id,
                self.service,
                self.version,
                request.method(),
                request.path(),
                request.header("last-event-id").unwrap_or("-"),
            ));
            let run = Run {
                server: self,
                request: &request,
                writer: writer.try_clone()?,
            };
            (self.handler)(run)?;
        }
        Ok(())
    }
}

/// An entry host: the project's own program, started as the deploy file says.
pub struct Host {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
}

/// What a host is started with.
#[derive(Clone)]
pub struct HostConfig {
    pub name: String,
    pub zone: String,
    pub zones: Vec<String>,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub store: SocketAddr,
    pub memory_mb: u32,
    pub is_first_start: bool,
}

impl HostConfig {
    /// Returns the configurations of hosts, one in each zone in turn.
    pub fn fleet(count: usize, zones: &[&str], store: &Store) -> Vec<HostConfig> {
        let mut hosts: Vec<HostConfig> = (0..count)
            .map(|i| {
                let zone = zones[i % zones.len()];
                HostConfig {
                    name: format!("frontend-{zone}-{}", i / zones.len() + 1),
                    zone: zone.to_owned(),
                    zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
                    callers: free_address(),
                    readiness: free_address(),
                    peers: free_address(),
                    metrics: free_address(),
                    seeds: Vec::new(),
                    store: store.address,
                    memory_mb: 110,
                    is_first_start: true,
                }
            })
            .collect();
        let seeds: Vec<SocketAddr> =
            hosts.iter().take(3).map(|host| host.peers).collect();
        for host in &mut hosts {
            host.seeds = seeds.clone();
        }
        hosts
    }

    /// The settings template of the deploy file, filled in with the bounds of the site.
    fn settings(&self) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let regions: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"svealand\""))
            .collect();
        format!(
            r#"{{"host":"{}","availability_zone":"{}","callers_address":"{}",
"readiness_address":"{}","peers_address":"{}","seed_addresses":[{}],"store_address":"{}",
"revocation_bound_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_allowance":56,
"stop_grace_s":8,"memory_max_mb":{},"link_max_mbps":1000.0,"is_first_start":{},
"rules":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"regions":{{{}}}}}"#,
            self.name,
            self.zone,
            self.callers,
            self.readiness,
            self.peers,
            seeds.join(","),
            self.store,
            self.memory_mb,
            self.is_first_start,
            regions.join(",")
        )
    }

    pub fn start(&self, directory: &Path, record: &Record) -> io::Result<Host> {
        let settings = directory.join(format!("{}.json", self.name));
        std::fs::write(&settings, self.settings())?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(directory.join(format!("{}.log", self.name)))?;
        let child = Command::new("target/release/toucancleat-gateway")
            .arg("--metrics-port")
            .arg(self.metrics.port().to_string())
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("TOUCANCLEAT_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        record.line(&format!("host {} started", self.name));
        Ok(Host {
            callers: self.callers,
            readiness: self.readiness,
            child,
        })
    }
}

impl Host {
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = connect(self.readiness)?;
            stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Requests a planned stop, as the platform does.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        // SAFETY: the process is a child of this one that has not been waited for.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(45)))?;
    Ok(stream)
}

/// A request of a caller. Each attempt has an id of its own.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub key: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of an attempt.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_d07b_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst)
    )
}

pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// A second key of the same tenant, where a configuration has one.
pub const SECOND_KEY: &str = "wsjnbanfqasnmgkcuyj8";
pub const HOSTNAME: &str = "ficu95.example";

impl Request<'_> {
    fn text(&self) -> String {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Attempt-Id: {}\r\n\
             X-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n",
            self.method, self.path, self.id, self.deadline_ms, self.key
        );
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        text.push_str(self.body);
        text
    }

    /// Sends the request on a new connection and returns that.
    pub fn send(&self, host: SocketAddr) -> io::Result<TcpStream> {
        self.send_on(connect(host)?)
    }

    /// Sends the request on a connection and returns that.
    pub fn send_on(&self, mut stream: TcpStream) -> io::Result<TcpStream> {
        stream.write_all(self.text().as_bytes())?;
        Ok(stream)
    }

    /// Sends the request and reads its complete answer.
    pub fn fetch(&self, host: SocketAddr) -> io::Result<Message> {
        let stream = self.send(host)?;
        read_message(&mut BufReader::new(stream))?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// The events of a stream as its caller has received them.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub status: u16,
    pub events: Vec<String>,
    pub is_complete: bool,
    /// Why it isn't complete.
    pub error: Option<String>,
}

/// Reads a stream to its end.
pub fn read_stream(stream: TcpStream) -> Received {
    read_stream_with(stream, |_| {})
}

/// Reads a stream to its end. `on_event` is called for each event.
pub fn read_stream_with(stream: TcpStream, mut on_event: impl FnMut(&str)) -> Received {
    let mut received = Received::default();
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut reader) else {
        return received;
    };
    received.status = head.status();
    if !head.is_chunked() {
        return received;
    }
    let mut text = String::new();
    loop {
        let chunk = match read_chunk(&mut reader) {
            Ok(chunk) => chunk,
            Err(error) => {
                received.error = Some(error.to_string());
                return received;
            }
        };
        if chunk.is_empty() {
            received.is_complete = true;
            return received;
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            on_event(&event);
            received.events.push(event);
        }
    }
}
