//! The processes of the system, stand-ins for its servers, and the platform around them.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::store::Store;

/// What was sent, answered and run, with the time in milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        Arc::new(Record {
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
            started: Instant::now(),
        })
    }

    pub fn write(&self, text: &str) {
        let at_ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_ms:>7} {text}");
    }
}

/// A deployment on loopback addresses of its own.
pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    /// The second and third number of all addresses.
    network: (u8, u8),
    directory: PathBuf,
    pub hosts: Vec<Arc<Host>>,
    pub memory_mb: u32,
}

/// A machine of the system with its process.
pub struct Host {
    pub name: String,
    pub address: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    is_in_rotation: AtomicBool,
    is_watched: AtomicBool,
}

pub const CALLERS_PORT: u16 = 8740;
const READINESS_PORT: u16 = 8749;
const PEERS_PORT: u16 = 8748;

impl Deployment {
    /// Creates a deployment with a store, and no process yet.
    pub fn new(record: Arc<Record>) -> Deployment {
        let seed = std::process::id();
        for attempt in 0..200_u32 {
            let network = (64 + (seed.wrapping_add(attempt * 7) % 150) as u8, (seed / 150 % 250) as u8);
            let store_address = SocketAddr::from((Ipv4Addr::new(127, network.0, network.1, 2), 8742));
            let Ok(probe) = TcpListener::bind(store_address) else {
                continue;
            };
            drop(probe);
            let directory = std::env::temp_dir().join(format!("review-{seed}-{}", network.0));
            std::fs::create_dir_all(&directory).expect("a temporary folder");
            return Deployment {
                store: Store::start(store_address),
                record,
                network,
                directory,
                hosts: Vec::new(),
                memory_mb: 110,
            };
        }
        crate::give_up("no free loopback addresses");
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, last)
    }

    /// Adds machines to the deployment, one a zone in turn, and writes their settings as the
    /// template of the deploy file has them.
    pub fn add_hosts(&mut self, count: u8, zones: &[&str]) {
        let network = self.network;
        let address = |index: u8| Ipv4Addr::new(127, network.0, network.1, 11 + index);
        let seeds: Vec<String> = (0..count.min(3))
            .map(|index| format!("\"{}:{PEERS_PORT}\"", address(index)))
            .collect();
        let regions: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\":\"svealand\"")).collect();
        for index in 0..count {
            let zone = zones[usize::from(index) % zones.len()];
            let name = format!("frontend-{zone}-{}", 1 + usize::from(index) / zones.len());
            let ip = address(index);
            let settings = format!(
                "{{\"host\":\"{name}\",\"availability_zone\":\"{zone}\",\
                 \"callers_address\":\"{ip}:{CALLERS_PORT}\",\
                 \"readiness_address\":\"{ip}:{READINESS_PORT}\",\
                 \"peers_address\":\"{ip}:{PEERS_PORT}\",\"seed_addresses\":[{}],\
                 \"store_address\":\"{}\",\"revocation_bound_ms\":5000,\"retry_ratio\":0.2,\
                 \"retry_window_s\":10,\"retry_allowance\":56,\"stop_grace_s\":8,\
                 \"memory_max_mb\":{},\"link_max_mbps\":1000.0,\
                 \"rules\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
                 \"engine\",\"stream\",\"tenants\",\"platform\"],\"regions\":{{{}}}}}",
                seeds.join(","),
                self.store.address,
                self.memory_mb,
                regions.join(","),
            );
            let path = self.directory.join(format!("{name}.json"));
            std::fs::write(&path, settings).expect("settings can be written");
            self.hosts.push(Arc::new(Host {
                log: self.directory.join(format!("{name}.log")),
                name,
                address: ip,
                settings: path,
                child: Mutex::new(None),
                is_in_rotation: AtomicBool::new(false),
                is_watched: AtomicBool::new(false),
            }));
        }
    }

    /// Starts all processes and waits until they are ready.
    pub fn start_all(&self) {
        for host in &self.hosts {
            host.start(&self.record);
        }
        for host in &self.hosts {
            host.watch();
            if !host.wait_ready(Duration::from_secs(15)) {
                crate::give_up(&format!("{} does not become ready", host.name));
            }
        }
        self.record.write("all machines are ready");
    }

    /// Returns the machines that the platform sends new connections to.
    pub fn in_rotation(&self) -> Vec<Arc<Host>> {
        let ready = self.hosts.iter().filter(|host| host.is_in_rotation.load(Ordering::Relaxed));
        let ready: Vec<_> = ready.cloned().collect();
        if ready.is_empty() { self.hosts.clone() } else { ready }
    }

    /// Returns the machines of the only zone that new connections go to: those in rotation, or all
    /// if they are fewer than half.
    pub fn destinations(&self) -> Vec<Arc<Host>> {
        let ready = self.in_rotation();
        if 2 * ready.len() < self.hosts.len() { self.hosts.clone() } else { ready }
    }

    /// Ends all processes, and removes the temporary folder unless `REVIEW_KEEP` is set.
    pub fn end(&self) {
        for host in &self.hosts {
            host.kill(&self.record);
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            println!("logs: {}", self.directory.display());
        }
    }
}

/// The processes that are running, which are ended when the harness ends for any reason.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// Ends every process that was started here.
pub fn end_processes() {
    for pid in RUNNING.lock().map(|pids| pids.clone()).unwrap_or_default() {
        // SAFETY: the call takes two numbers, and the process was started here.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

impl Host {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self, record: &Record) {
        let command = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
        let command = command.lines().find_map(|line| line.strip_prefix("run = \""));
        let command = command.and_then(|text| text.strip_suffix('"')).unwrap_or_default();
        let mut words = command.split(' ');
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let mut program = Command::new(words.next().unwrap_or_default());
        program.args(words).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                program.env(name, value);
            }
        }
        program.env("TOUCANCLEAT_CONFIG", &self.settings).stdin(Stdio::null());
        let error_log = log.try_clone().expect("a log file");
        match program.stdout(log).stderr(error_log).spawn() {
            Ok(child) => {
                RUNNING.lock().unwrap().push(child.id());
                record.write(&format!("platform: started {}", self.name));
                *self.child.lock().unwrap() = Some(child);
            }
            Err(error) => crate::give_up(&format!("cannot start the program: {error}")),
        }
    }

    /// Asks for the readiness once a second; two misses take the machine out of rotation.
    fn watch(self: &Arc<Self>) {
        if self.is_watched.swap(true, Ordering::Relaxed) {
            return;
        }
        let host = self.clone();
        std::thread::spawn(move || {
            let mut misses = 2;
            loop {
                misses = if host.is_ready() { 0 } else { misses + 1 };
                host.is_in_rotation.store(misses < 2, Ordering::Relaxed);
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }

    fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(900);
        let address = SocketAddr::from((self.address, READINESS_PORT));
        let Ok(mut connection) = Connection::open(address, timeout) else {
            return false;
        };
        let request = format!("GET /v1/readyz HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        connection.send(request.as_bytes());
        let head = connection.read_head(Some(Instant::now() + timeout));
        head.is_some_and(|head| head.status() == 200)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if self.is_ready() {
                self.is_in_rotation.store(true, Ordering::Relaxed);
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::from((self.address, CALLERS_PORT))
    }

    /// Sends SIGTERM, and SIGKILL after the grace. Returns when the process has ended.
    pub fn stop(&self, record: &Record, grace: Duration) {
        let pid = self.child.lock().unwrap().as_ref().map(Child::id);
        let Some(pid) = pid else {
            return;
        };
        record.write(&format!("platform: SIGTERM to {}", self.name));
        // SAFETY: the call takes two numbers, and the process was started here.
        unsafe { kill(pid as i32, SIGTERM) };
        let end = Instant::now() + grace;
        while Instant::now() < end {
            let mut child = self.child.lock().unwrap();
            if child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                *child = None;
                RUNNING.lock().unwrap().retain(|running| *running != pid);
                record.write(&format!("platform: {} has ended", self.name));
                return;
            }
            drop(child);
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill(record);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self, record: &Record) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
            record.write(&format!("platform: killed {}", self.name));
        }
    }

    /// Returns the memory of the process, in megabytes.
    pub fn memory_mb(&self) -> f64 {
        let pid = self.child.lock().unwrap().as_ref().map(Child::id);
        let status = pid.and_then(|pid| std::fs::read_to_string(format!("/proc/{pid}/status")).ok());
        let status = status.unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.trim().strip_suffix(" kB"));
        resident.and_then(|text| text.trim().parse::<f64>().ok()).map_or(0.0, |kb| kb * 1_024.0 / 1e6)
    }
}

/// A request at a server, with its connection.
pub struct Exchange {
    pub head: Head,
    pub connection: Connection,
    pub server: Arc<Server>,
    pub record: Arc<Record>,
    /// When the request had been read.
    pub arrived: Instant,
}

impl Exchange {
    pub fn attempt_id(&self) -> &str {
        self.head.get("x-attempt-id").unwrap_or_default()
    }

    /// Sends a complete signed answer.
    pub fn answer(&mut self, status: &str, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: {}\r\n\
             Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
            self.attempt_id(),
            self.server.stamp(),
            body.len()
        );
        self.connection.send(text.as_bytes())
    }

    /// Sends the signed head of a stream.
    pub fn begin_stream(&mut self) -> bool {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: {}\r\n\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.attempt_id(),
            self.server.stamp(),
        );
        self.connection.send(text.as_bytes())
    }

    /// Sends one event of a stream.
    pub fn send_event(&mut self, id: u64, data: &str) -> bool {
        let event = format!("id: {id}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.connection.send(chunk.as_bytes())
    }

    pub fn end_stream(&mut self) -> bool {
        self.connection.send(b"0\r\n\r\n")
    }

    /// Runs a stream of `last_id` events, one every `pause`, from the one after `Last-Event-Id`.
    /// Ends at once when its connection is closed, as most servers do. Returns true if it was
    /// completed.
    pub fn run_stream(&mut self, last_id: u64, pause: Duration) -> bool {
        let received = self.head.number("last-event-id").unwrap_or(0.0) as u64;
        let id = self.attempt_id().to_owned();
        let name = self.server.id.clone();
        let version = self.server.version.clone();
        if !self.begin_stream() {
            return false;
        }
        for event in received + 1..=last_id {
            std::thread::sleep(pause);
            if self.connection.is_closed() || !self.send_event(event, &format!("{name} {version} {event}")) {
                self.record.write(&format!("server {name}: run of {id} dropped before event {event}"));
                return false;
            }
        }
        let is_complete = self.end_stream();
        self.record.write(&format!("server {name}: run of {id} complete"));
        is_complete
    }
}

pub type Handler = Arc<dyn Fn(Exchange) + Send + Sync>;

/// A server of a service.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    born_ms: AtomicU64,
    beats: AtomicU64,
    /// While true, the server has crashed: it refuses connections, and has lost those it had.
    pub is_down: AtomicBool,
    /// While true, the server writes no heartbeats, and serves on.
    pub has_left: AtomicBool,
    connections: Mutex<BTreeMap<u64, std::net::TcpStream>>,
    next_connection: AtomicU64,
}

impl Server {
    fn stamp(&self) -> String {
        format!("3e1b.{}.c9f2a4d1", self.id)
    }

    fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"colocated\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.version,
            self.slots,
            self.beats.fetch_add(1, Ordering::Relaxed),
            self.born_ms.load(Ordering::Relaxed),
        )
    }

    /// Crashes: all connections are reset, and no new ones are taken for a time.
    pub fn crash(self: &Arc<Self>, for_time: Duration) {
        self.is_down.store(true, Ordering::Relaxed);
        for (_, stream) in std::mem::take(&mut *self.connections.lock().unwrap()) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(for_time);
            // It starts again under its id, and knows nothing of before.
            server.born_ms.store(unix_ms(), Ordering::Relaxed);
            server.beats.store(1, Ordering::Relaxed);
            server.is_down.store(false, Ordering::Relaxed);
        });
    }

    /// Takes connections while the server is up.
    fn accept(self: &Arc<Self>, record: &Arc<Record>, handler: &Handler, mut listener: TcpListener) {
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.is_down.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let (server, record, handler) = (self.clone(), record.clone(), handler.clone());
                        std::thread::spawn(move || serve(server, record, handler, stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            while self.is_down.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(5));
            }
            listener = TcpListener::bind(self.address).expect("a server's address is free");
        }
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}

/// Interval of the heartbeats of servers.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Deployment {
    /// Starts a server, and its heartbeats.
    pub fn add_server(
        &self,
        number: u8,
        (service, zone, version): (&str, &str, &str),
        slots: u32,
        handler: Handler,
    ) -> Arc<Server> {
        let address = SocketAddr::from((self.ip(100 + number), 8080));
        let server = Arc::new(Server {
            id: format!("i-{service}-{number}"),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            slots,
            born_ms: AtomicU64::new(unix_ms()),
            beats: AtomicU64::new(1),
            is_down: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(address).expect("a server's address is free");
        let (accepting, record) = (server.clone(), self.record.clone());
        std::thread::spawn(move || accepting.accept(&record, &handler, listener));
        let (beating, store) = (server.clone(), self.store.clone());
        let entry = server.entry();
        store.write("servers", &server.id, Some(&entry));
        std::thread::spawn(move || {
            let mut was_down = false;
            let mut last_beat = Instant::now();
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let is_down = beating.is_down.load(Ordering::Relaxed);
                let has_restarted = was_down && !is_down;
                was_down = is_down;
                let has_left = beating.has_left.load(Ordering::Relaxed);
                if !is_down && !has_left && (has_restarted || last_beat.elapsed() >= HEARTBEAT) {
                    last_beat = Instant::now();
                    let entry = beating.entry();
                    store.write("servers", &beating.id, Some(&entry));
                }
            }
        });
        server
    }
}

fn serve(server: Arc<Server>, record: Arc<Record>, handler: Handler, stream: std::net::TcpStream) {
    let number = server.next_connection.fetch_add(1, Ordering::Relaxed);
    if let Ok(copy) = stream.try_clone() {
        server.connections.lock().unwrap().insert(number, copy);
    }
    serve_one(&server, record, handler, stream);
    server.connections.lock().unwrap().remove(&number);
}

fn serve_one(server: &Arc<Server>, record: Arc<Record>, handler: Handler, stream: std::net::TcpStream) {
    let mut connection = Connection::new(stream);
    let Some(head) = connection.read_head(None) else {
        return;
    };
    if connection.read_request_body(&head).is_none() {
        return;
    }
    let mut exchange = Exchange {
        head,
        connection,
        server: server.clone(),
        record: record.clone(),
        arrived: Instant::now(),
    };
    let target = exchange.head.target().to_owned();
    if target == "/v1/report" || target == "/healthz" {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Type: application/json\r\nContent-Length: 91\r\n\r\n\
             {{\"stage\":\"colocated\",\"models\":[],\"busy\":false,\"seq\":2,\"waiting\":0,\"running\":1,\"handles\":0}}",
            server.id
        );
        exchange.connection.send(text.as_bytes());
        return;
    }
    if target.starts_with("/v1/") {
        exchange.connection.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let expected = exchange.head.get("x-expect-instance");
    if expected.is_some_and(|id| id != server.id) {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            server.id
        );
        exchange.connection.send(text.as_bytes());
        return;
    }
    let last = exchange.head.get("last-event-id").unwrap_or("-");
    record.write(&format!(
        "server {}: got {} {} attempt {} last-event-id {last} deadline {}",
        server.id,
        exchange.head.method(),
        target,
        exchange.attempt_id(),
        exchange.head.get("x-deadline-ms").unwrap_or("-"),
    ));
    handler(exchange);
}
