//! A small deployment on loopback addresses: the store, an operator, hosts, and the platform's links to
//! them.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{
    IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket,
};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Ports of each machine; every machine has an address of its own.
const CALLERS_PORT: u16 = 8740;
const PEERS_PORT: u16 = 8748;
const READINESS_PORT: u16 = 8749;
/// As the deploy file names it.
const METRICS_PORT: u16 = 7210;
const STORE_PORT: u16 = 8742;
const SERVER_PORT: u16 = 9100;

/// Hands out loopback addresses of which all ports that are needed are free.
pub struct Addresses {
    network: [u8; 2],
    next: AtomicU32,
}

impl Addresses {
    pub fn new() -> Addresses {
        let seed = std::process::id() ^ now_seed();
        Addresses {
            network: [10 + (seed % 200) as u8, (seed / 200 % 250) as u8],
            next: AtomicU32::new(1),
        }
    }

    fn next_ip(&self) -> IpAddr {
        loop {
            let number = self.next.fetch_add(1, Ordering::SeqCst) as u8;
            let ip = Ipv4Addr::new(127, self.network[0], self.network[1], number);
            let ports = [
                CALLERS_PORT,
                PEERS_PORT,
                READINESS_PORT,
                METRICS_PORT,
                STORE_PORT,
            ];
            let is_free = ports
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
                && UdpSocket::bind((ip, PEERS_PORT)).is_ok();
            if is_free {
                return IpAddr::V4(ip);
            }
        }
    }

    pub fn store(&self) -> SocketAddr {
        SocketAddr::new(self.next_ip(), STORE_PORT)
    }

    pub fn server(&self) -> SocketAddr {
        SocketAddr::new(self.next_ip(), SERVER_PORT)
    }
}

fn now_seed() -> u32 {
    let now = std::time::SystemTime::now();
    let now = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    now.subsec_nanos() / 1_000
}

/// The processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_process(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|id| *id != child.id());
}

/// Ends the run, and all processes that it started, if it takes too long.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        std::process::exit(2);
    });
}

/// An entry host: a process of the gateway and the platform's link to it.
pub struct Host {
    pub name: String,
    ip: IpAddr,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    /// When the present process was started.
    pub started: Mutex<Instant>,
    link: SocketAddr,
}

pub struct HostSettings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub zones: &'a [&'a str],
    pub memory_mb: u32,
    pub store: SocketAddr,
}

impl Host {
    pub fn create(
        settings: &HostSettings<'_>,
        addresses: &Addresses,
        folder: &std::path::Path,
    ) -> Arc<Host> {
        let ip = addresses.next_ip();
        let folder = folder.join(settings.name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let listener = TcpListener::bind((addresses.next_ip(), 0)).expect("a free port");
        let link = listener.local_addr().expect("an address");
        let host = Arc::new(Host {
            name: settings.name.to_owned(),
            ip,
            folder,
            child: Mutex::new(None),
            started: Mutex::new(Instant::now()),
            link,
        });
        host.write_settings(settings, true);
        let target = SocketAddr::new(ip, CALLERS_PORT);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                std::thread::spawn(move || forward(client, target));
            }
        });
        host
    }

    /// Writes the settings file as the platform fills in `platform/settings.template.json`.
    fn write_settings(&self, settings: &HostSettings<'_>, is_first_start: bool) {
        let zones: Vec<String> = settings
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\": \"svealand\""))
            .collect();
        let ip = self.ip;
        let text = format!(
            "{{\n  \"host\": \"{}\",\n  \"availability_zone\": \"{}\",\n  \
             \"callers_address\": \"{ip}:{CALLERS_PORT}\",\n  \
             \"readiness_address\": \"{ip}:{READINESS_PORT}\",\n  \
             \"peers_address\": \"{ip}:{PEERS_PORT}\",\n  \"seed_addresses\": [],\n  \
             \"store_address\": \"{}\",\n  \"revocation_bound_ms\": 5000,\n  \
             \"retry_ratio\": 0.2,\n  \"retry_window_s\": 10,\n  \"retry_allowance\": 56,\n  \
             \"stop_grace_s\": 8,\n  \"memory_max_mb\": {},\n  \"link_max_mbps\": 1000.0,\n  \
             \"is_first_start\": {is_first_start},\n  \
             \"rules\": [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \
             \"engine\", \"stream\", \"tenants\", \"platform\"],\n  \"regions\": {{{}}}\n}}\n",
            settings.name,
            settings.zone,
            settings.store,
            settings.memory_mb,
            zones.join(", ")
        );
        std::fs::write(self.folder.join("settings.json"), text).expect("the settings");
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("a log file");
        let child = Command::new("target/release/toucancleat-gateway")
            .args(["--metrics-port", "7210"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("TOUCANCLEAT_CONFIG", self.folder.join("settings.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log file")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the gateway starts");
        STARTED.lock().unwrap().push(child.id());
        *self.started.lock().unwrap() = Instant::now();
        *self.child.lock().unwrap() = Some(child);
    }

    /// Changes the settings for later starts: the whole system starts for the first time only once.
    fn end_first_start(&self) {
        let path = self.folder.join("settings.json");
        let text = std::fs::read_to_string(&path).expect("the settings");
        let text = text.replace("\"is_first_start\": true", "\"is_first_start\": false");
        std::fs::write(path, text).expect("the settings");
    }

    /// Kills the process with SIGKILL; its connections are reset or closed.
    pub fn kill(&self) {
        if let Some(child) = self.child.lock().unwrap().take() {
            end_process(child);
        }
    }

    /// Asks the process to stop, and kills it after the grace.
    pub fn terminate(&self, grace: Duration) {
        let Some(mut child) = self.child.lock().unwrap().take() else {
            return;
        };
        let id = child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let end = Instant::now() + grace;
        while Instant::now() < end && matches!(child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
        end_process(child);
    }

    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns true if the host answers the platform's readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        let Ok(mut stream) =
            TcpStream::connect_timeout(&address, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = b"GET /v1/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    /// Returns the memory in use by the process, in megabytes.
    pub fn memory_mb(&self) -> f64 {
        let child = self.child.lock().unwrap();
        let Some(child) = child.as_ref() else {
            return 0.0;
        };
        let path = format!("/proc/{}/status", child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let used = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let used_kb =
            used.and_then(|text| text.trim().trim_end_matches(" kB").trim().parse().ok());
        used_kb.unwrap_or(0.0) * 1_024.0 / 1e6
    }

    /// Opens a connection to the address at which the process listens for clients.
    pub fn connect_directly(&self) -> std::io::Result<TcpStream> {
        let address = SocketAddr::new(self.ip, CALLERS_PORT);
        TcpStream::connect_timeout(&address, Duration::from_secs(1))
    }

    /// Opens a connection as a client does, by way of the platform.
    pub fn connect(&self) -> std::io::Result<TcpStream> {
        TcpStream::connect_timeout(&self.link, Duration::from_secs(1))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Forwards a client's connection to its host.
fn forward(client: TcpStream, target: SocketAddr) {
    let Ok(host) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
        // Closing it without having read anything resets it, as a port without a listener does.
        return;
    };
    let (Ok(client_too), Ok(host_too)) = (client.try_clone(), host.try_clone()) else {
        return;
    };
    std::thread::spawn(move || pass(client_too, host_too));
    pass(host, client);
}

/// Passes bytes on in one direction, a window at a time.
fn pass(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16_384];
    loop {
        let length = from.read(&mut bytes).unwrap_or(0);
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Starts hosts and waits until all are ready. Returns false if they aren't within 20 s.
pub fn start_all(hosts: &[Arc<Host>], record: &Record) -> bool {
    for host in hosts {
        host.start();
    }
    let end = Instant::now() + Duration::from_secs(20);
    while !hosts.iter().all(|host| host.is_ready()) {
        if Instant::now() > end {
            record.note("the hosts did not become ready");
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    for host in hosts {
        host.end_first_start();
    }
    record.note("all hosts are ready");
    true
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub slo_ms: u32,
    pub attempts: u32,
    pub is_resumable: bool,
}

/// The host name of all routes.
pub const HOSTNAME: &str = "ficu95.example";

/// Returns a configuration with routes and the keys of each tenant.
pub fn configuration(
    version: u64,
    routes: &[Route],
    tenants: &[(&str, &[&str])],
) -> String {
    let list = |items: Vec<String>| items.join(",");
    let routes_text = list(routes.iter().map(|route| {
        format!(
            "{{\"name\":\"{0}\",\"hostname\":\"{HOSTNAME}\",\"path_prefix\":\"/{0}/\",\
             \"route_kind\":\"{1}\",\"service\":\"{2}\",\"timeout_ms\":{3},\"slo_ms\":{4},\
             \"gap_slo_ms\":180,\"priority\":1,\"max_attempts\":{5},\"public\":false,\
             \"resumable\":{6}}}",
            route.name, route.kind, route.service, route.timeout_ms, route.slo_ms, route.attempts,
            route.is_resumable
        )
    }).collect());
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    let services = list(services.iter().map(|name| {
        let engine = if name.contains("llm") {
            ",\"engine\":{\"slots\":24,\"kv_capacity\":34331,\"stride\":4,\"moves\":true}"
        } else {
            ""
        };
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\"{engine}}}")
    }).collect());
    let tenants = list(
        tenants
            .iter()
            .map(|(name, keys)| {
                let keys = list(keys.iter().map(|key| format!("\"{key}\"")).collect());
                format!("{{\"name\":\"{name}\",\"api_keys\":[{keys}]}}")
            })
            .collect(),
    );
    format!(
        "{{\"version\":{version},\"routes\":[{routes_text}],\"services\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}
