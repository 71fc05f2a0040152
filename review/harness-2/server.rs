//! A stand-in for a server: it registers itself, renews its entry, and runs requests.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, Reader};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a server does with a request that it runs.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Answers with a number of bytes after a time.
    Answer { after: Duration, bytes: usize },
    /// Crashes when it begins to write an answer, and starts again after a time.
    Crash { after: Duration, down: Duration },
    /// Answers with a stream of events, one at each interval.
    Stream { events: u64, interval: Duration },
}

pub struct Server {
    pub name: String,
    pub service: &'static str,
    pub zone: String,
    pub version: &'static str,
    pub address: SocketAddr,
    work: Box<dyn Fn(&Head) -> Work + Send + Sync>,
    /// Whether it starts again under the id that it had.
    keeps_id: AtomicBool,
    crashes: Mutex<Vec<Instant>>,
    store: Arc<Store>,
    record: Arc<Record>,
    starts: AtomicU64,
    is_up: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// The attempts that it has run.
    runs: Mutex<Vec<String>>,
}

impl Server {
    pub fn create(
        name: &str,
        service: &'static str,
        zone: &str,
        version: &'static str,
        address: SocketAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
        work: impl Fn(&Head) -> Work + Send + Sync + 'static,
    ) -> Arc<Server> {
        let server = Arc::new(Server {
            name: name.to_owned(),
            service,
            zone: zone.to_owned(),
            version,
            address,
            work: Box::new(work),
            keeps_id: AtomicBool::new(false),
            crashes: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
            starts: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            open: Mutex::default(),
            runs: Mutex::default(),
        });
        server.start();
        server
    }

    fn id(&self, start: u64) -> String {
        let start = if self.keeps_id.load(Ordering::SeqCst) {
            1
        } else {
            start
        };
        format!("i-{}-{start}", self.name)
    }

    /// Lets the server start again under its id, as the news page says that it may.
    pub fn keep_id(&self) {
        self.keeps_id.store(true, Ordering::SeqCst);
    }

    /// Returns when the server crashed under a request.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().clone()
    }

    /// Starts the server, as a new incarnation.
    pub fn start(self: &Arc<Self>) {
        let start = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let listener =
            TcpListener::bind(self.address).expect("the server's address is free");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        self.is_up.store(true, Ordering::SeqCst);
        let accepting = self.clone();
        std::thread::spawn(move || {
            while accepting.is_running(start) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let server = accepting.clone();
                        std::thread::spawn(move || server.serve(start, stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        let beating = self.clone();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        std::thread::spawn(move || {
            let id = beating.id(start);
            let mut seq = 0;
            while beating.is_running(start) {
                seq += 1;
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
                     \"slots\":24,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\
                     \"born\":{born}}}",
                    beating.service, beating.address, beating.zone, beating.version
                );
                beating.store.try_write("servers", &id, Some(&entry));
                std::thread::sleep(HEARTBEAT);
            }
            // The entry of a server that crashed goes after three intervals of silence.
            std::thread::sleep(2 * HEARTBEAT);
            let is_back = beating.keeps_id.load(Ordering::SeqCst)
                && beating.is_up.load(Ordering::SeqCst);
            if !is_back {
                beating.store.try_write("servers", &id, None);
            }
        });
    }

    /// Crashes the server: its connections are reset or closed, and its address refuses new ones.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns true if the server has run an attempt.
    pub fn has_run(&self, attempt: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run == attempt)
    }

    fn is_running(&self, start: u64) -> bool {
        self.is_up.load(Ordering::SeqCst) && self.starts.load(Ordering::SeqCst) == start
    }

    fn serve(self: &Arc<Self>, start: u64, stream: TcpStream) {
        if let Ok(stream) = stream.try_clone() {
            self.open.lock().unwrap().push(stream);
        }
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            if reader.body(&head).is_err()
                || !self.answer(start, &head, &mut reader.stream)
            {
                return;
            }
        }
    }

    /// Answers a request, and returns true if the connection stays open.
    fn answer(self: &Arc<Self>, start: u64, head: &Head, stream: &mut TcpStream) -> bool {
        let mut words = head.first_line.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let attempt = head.text("x-attempt-id").unwrap_or_default();
        if method == "GET" && path == "/v1/report" {
            let body = "{\"state\":\"ready\",\"waiting\":0,\"running\":0}";
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let expected = head.text("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id(start)) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
                 X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id(start)
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        self.runs.lock().unwrap().push(attempt.clone());
        let signature = format!(
            "X-Attempt-Id: {attempt}\r\nX-Server-Stamp: {}.{}\r\n",
            self.name, attempt
        );
        match (self.work)(head) {
            Work::Answer { after, bytes } => {
                std::thread::sleep(after);
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{signature}Content-Length: {bytes}\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).is_ok()
                    && stream.write_all(&vec![b'a'; bytes]).is_ok()
            }
            Work::Crash { after, down } => {
                std::thread::sleep(after);
                if !self.is_running(start) {
                    return false;
                }
                self.record.note(format!(
                    "server {} crashes under attempt {attempt}",
                    self.name
                ));
                self.crashes.lock().unwrap().push(Instant::now());
                self.crash();
                std::thread::sleep(down);
                self.start();
                false
            }
            Work::Stream { events, interval } => {
                let last = head
                    .text("last-event-id")
                    .and_then(|text| text.parse().ok());
                let last: u64 = last.unwrap_or(0);
                self.record.note(format!(
                    "server {} version {} runs the stream of attempt {attempt}, events from {}",
                    self.name,
                    self.version,
                    last + 1
                ));
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{signature}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
                if stream.write_all(head.as_bytes()).is_err() {
                    return false;
                }
                for id in last + 1..=events {
                    let event = format!("id: {id}\ndata: {} {id}\n\n", self.version);
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    if !self.is_running(start)
                        || stream.write_all(chunk.as_bytes()).is_err()
                    {
                        return false;
                    }
                    std::thread::sleep(interval);
                }
                stream.write_all(b"0\r\n\r\n").is_ok()
            }
        }
    }
}
