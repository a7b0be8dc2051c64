//! Shared by the scripts: starts the project's programs on loopback addresses, and stands in for operators, workers and
//! callers. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub const PROGRAM: &str = "target/release/mastic-platform";
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

// ---- the record ----

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

pub fn open_record(path: &str) {
    STARTED.get_or_init(Instant::now);
    let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
    RECORD.get_or_init(|| Mutex::new(file));
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        stop_all();
        std::process::exit(2);
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        cannot_run("it took too long");
    });
}

/// Adds a line to record.txt, with the seconds since the start.
pub fn record(text: &str) {
    let at = STARTED.get_or_init(Instant::now).elapsed().as_secs_f64();
    if let Some(file) = RECORD.get() {
        writeln!(file.lock().unwrap(), "{at:9.3} {text}").ok();
    }
}

pub fn say(text: &str) {
    println!("{text}");
    record(text);
}

/// The case could not run.
pub fn cannot_run(why: &str) -> ! {
    say(&format!("could not run: {why}"));
    stop_all();
    std::process::exit(2);
}

pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- processes ----

static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Ends the processes that were started here and removes their folder.
pub fn stop_all() {
    for child in CHILDREN.lock().unwrap().iter() {
        let mut child = child.lock().unwrap();
        child.kill().ok();
        child.wait().ok();
    }
    if let Some(folder) = FOLDER.get() {
        fs::remove_dir_all(folder).ok();
    }
}

/// Ends with that status, and with all processes.
pub fn end(status: i32) -> ! {
    stop_all();
    std::process::exit(status);
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}
/// Asks for a signal when the parent ends, so that nothing goes on if a script is ended from outside.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

#[derive(Clone)]
pub struct Process {
    pub name: String,
    child: Arc<Mutex<Child>>,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    pub fn signal(&self, signal: i32) {
        record(&format!("signal {signal} to {} (pid {})", self.name, self.pid()));
        // SAFETY: a signal to a child that this process started and has not waited for.
        unsafe { kill(self.pid() as i32, signal) };
    }

    pub fn has_ended(&self) -> Option<String> {
        self.child.lock().unwrap().try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// A figure of /proc/PID/status in kilobytes.
    pub fn status_kb(&self, field: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(field));
        let number = line.and_then(|line| line.trim_start_matches(':').split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Processor time used so far.
    pub fn cpu(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |nth: usize| fields.get(nth).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }
}

// ---- the site ----

#[derive(Clone, Copy)]
pub struct Ports {
    pub link: u16,
    pub forward: u16,
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub directory: u16,
}

/// Machines on addresses 127.A.B.N, with the same ports on all.
pub struct Site {
    pub net: (u8, u8),
    pub ports: Ports,
    pub controls: u8,
    pub folder: PathBuf,
    /// `zone=region` of the whole site.
    pub zones: Vec<(&'static str, &'static str)>,
}

pub const FIRST_ENTRY: u8 = 20;

fn free_port(ip: Ipv4Addr) -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + ((std::process::id() as u64 * 613 + nth) % 20_000) as u16;
        if TcpListener::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

impl Site {
    pub fn new(controls: u8, zones: Vec<(&'static str, &'static str)>) -> Self {
        let pid = std::process::id();
        let net = (64 + (pid % 60) as u8, 1 + (pid / 60 % 250) as u8);
        let any = Ipv4Addr::UNSPECIFIED;
        let ports = Ports {
            link: free_port(any),
            forward: free_port(any),
            front: free_port(any),
            ready: free_port(any),
            control: free_port(any),
            directory: free_port(any),
        };
        let folder = std::env::temp_dir().join(format!("mastic-review-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        if !std::path::Path::new(PROGRAM).exists() {
            cannot_run("target/release/mastic-platform is missing: build it first");
        }
        FOLDER.get_or_init(|| folder.clone());
        Self { net, ports, controls, folder, zones }
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(number), port))
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        self.at(number, self.ports.control)
    }

    pub fn front(&self, number: u8) -> SocketAddr {
        self.at(number, self.ports.front)
    }

    pub fn ready(&self, number: u8) -> SocketAddr {
        self.at(number, self.ports.ready)
    }

    pub fn all_controls(&self) -> Vec<SocketAddr> {
        (1..=self.controls).map(|number| self.control(number)).collect()
    }

    /// The settings as deploy/entry.yaml and deploy/control.yaml give them.
    fn settings(&self, number: u8, zone: &str, found: bool) -> String {
        let region = self.zones.iter().find(|(name, _)| *name == zone).unwrap().1;
        let zones: Vec<String> =
            self.zones.iter().map(|(zone, region)| format!("\"{zone}={region}\"")).collect();
        let seeds: Vec<String> =
            (1..=self.controls.min(3)).map(|seed| format!("\"{}\"", self.control(seed))).collect();
        let common = format!(
            "ip: \"{}\"\nregion: \"{region}\"\ndata_centre: \"{zone}\"\ndata_centres: [{}]\n\
             seeds: [{}]\nlink_port: {}\nnetwork: closed\ncheck_in: 1200ms\nbounds:\n  \
             repeat_ratio: 0.2\n  repeat_least: 56\n  repeat_window: 10s\nlogs:\n  format: json\n  \
             level: info\n",
            self.ip(number),
            zones.join(", "),
            seeds.join(", "),
            self.ports.link,
        );
        if number < FIRST_ENTRY {
            format!(
                "{common}control:\n  operators: \"{}\"\n  directory: \"{}\"\n  folder: \"{}\"\n  \
                 found: {found}\n  directory_time: 2500ms\n",
                self.control(number),
                self.at(number, self.ports.directory),
                self.folder.join(format!("data-{number}")).display(),
            )
        } else {
            format!(
                "{common}entry:\n  callers: \"{}\"\n  operators: \"{}\"\n  forwards: \"{}\"\n  \
                 directory: \"{}\"\n  directory_time: 2500ms\n  grace: 8s\n",
                self.front(number),
                self.ready(number),
                self.at(number, self.ports.forward),
                self.at(number, self.ports.directory),
            )
        }
    }

    /// Starts a control machine (below FIRST_ENTRY) or an entry machine.
    pub fn start(&self, number: u8, zone: &str, found: bool) -> Process {
        let role = if number < FIRST_ENTRY { "control" } else { "entry" };
        let settings = self.folder.join(format!("{number}.yaml"));
        fs::write(&settings, self.settings(number, zone, found)).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{role}-{number}.log")))
            .unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new(PROGRAM);
        // SAFETY: one system call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg(role)
            .env("MASTICSTREAM_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Arc::new(Mutex::new(child));
        CHILDREN.lock().unwrap().push(child.clone());
        let process = Process { name: format!("{role}-{number}"), child };
        record(&format!("started {} at {} (pid {})", process.name, self.ip(number), process.pid()));
        process
    }

    pub fn log_of(&self, number: u8) -> String {
        let role = if number < FIRST_ENTRY { "control" } else { "entry" };
        fs::read_to_string(self.folder.join(format!("{role}-{number}.log"))).unwrap_or_default()
    }

    /// Sends an order to the control machines by turns until one acknowledges it.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) {
        let until = Instant::now() + limit;
        let mut nth = 0u8;
        loop {
            let to = self.control(1 + nth % self.controls);
            let reply = call(to, method, path, &[], body.as_bytes(), Duration::from_secs(2));
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            record(&format!("operator: {method} {path} to {to}: {status}"));
            if status == 200 {
                return;
            }
            if Instant::now() > until {
                cannot_run(&format!("{method} {path} was not acknowledged"));
            }
            nth = nth.wrapping_add(1);
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until an entry machine says that it is ready and knows so many upstreams.
    pub fn wait_ready(&self, number: u8, upstreams: usize) {
        let until = Instant::now() + Duration::from_secs(20);
        let wanted = format!("mastic_upstreams {upstreams}\n");
        let get = |path| call(self.ready(number), "GET", path, &[], b"", Duration::from_secs(1));
        loop {
            let ready = get("/v1/readyz").is_ok_and(|reply| reply.status == 200);
            let knows = get("/metrics").is_ok_and(|reply| reply.text().contains(&wanted));
            if ready && knows {
                record(&format!("entry-{number} is ready and knows {upstreams} workers"));
                return;
            }
            if Instant::now() > until {
                cannot_run(&format!("entry-{number} is not ready with {upstreams} workers"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

// ---- HTTP ----

#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// A connection with what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, ahead: Vec::new() }
    }

    /// Reads more; false at the end of the connection.
    fn more(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.ahead.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a head; none if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..at]).into_owned();
                self.ahead.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { line, headers }));
            }
            if !self.more()? {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if !self.more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..at]).into_owned();
                self.ahead.drain(..at + 2);
                return Ok(line);
            }
            if !self.more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// One chunk; empty at the end of the body.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(Vec::new());
        }
        let data = self.exactly(size)?;
        self.exactly(2)?;
        Ok(data)
    }

    /// The whole body of a message.
    pub fn body(&mut self, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        match head.get("content-length").and_then(|value| value.parse().ok()) {
            Some(length) => self.exactly(length),
            None if is_answer => {
                while self.more()? {}
                Ok(std::mem::take(&mut self.ahead))
            }
            None => Ok(Vec::new()),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn status_of(head: &Head) -> u16 {
    head.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

pub fn request_bytes(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Reply> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut wire = Wire::new(stream);
    wire.stream.write_all(&request_bytes(method, path, &to.to_string(), headers, body))?;
    exchange(&mut wire)
}

/// Reads one answer.
pub fn exchange(wire: &mut Wire) -> io::Result<Reply> {
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = status_of(&head);
    let body = wire.body(&head, true)?;
    Ok(Reply { status, head, body })
}

// ---- workers ----

/// A request as a worker read it.
pub struct Asked {
    pub head: Head,
    pub id: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// What a worker does with a request; returns whether it keeps the channel.
pub type Serve = Arc<dyn Fn(&Worker, &Asked, &mut Wire) -> bool + Send + Sync>;

pub struct Worker {
    pub id: Mutex<String>,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
    pub up: AtomicBool,
    pub born: AtomicU64,
    pub sequence: AtomicU64,
    channels: Mutex<Vec<TcpStream>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Worker {
    /// Starts a worker that checks in at the control machines.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        address: SocketAddr,
        slots: u32,
        controls: Vec<SocketAddr>,
        serve: Serve,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: Mutex::new(id.to_owned()),
            service,
            zone,
            address,
            slots,
            up: AtomicBool::new(true),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            channels: Mutex::new(Vec::new()),
        });
        record(&format!("worker {id} of {service} at {address}"));
        let listening = worker.clone();
        thread::spawn(move || listening.listen(&serve));
        let checking = worker.clone();
        thread::spawn(move || {
            let mut nth = 0;
            loop {
                if checking.up.load(Ordering::SeqCst) {
                    let mut tries = 0;
                    while !checking.check_in(controls[nth % controls.len()]) && tries < 3 {
                        nth += 1;
                        tries += 1;
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    pub fn check_in(&self, to: SocketAddr) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let id = self.id.lock().unwrap().clone();
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.born.load(Ordering::SeqCst),
        );
        let path = format!("/v1/instances/{id}/heartbeat");
        let limit = Duration::from_secs(1);
        call(to, "POST", &path, &[], body.as_bytes(), limit).is_ok_and(|reply| reply.status == 200)
    }

    fn listen(self: Arc<Self>, serve: &Serve) {
        loop {
            if !self.up.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.address) else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            while self.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                self.channels.lock().unwrap().push(stream.try_clone().unwrap());
                let (worker, serve) = (self.clone(), serve.clone());
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(Some(head)) = wire.head() {
                        let Ok(body) = wire.body(&head, false) else { break };
                        let id = head.get("x-request-id").unwrap_or("").to_owned();
                        let path = head.line.split(' ').nth(1).unwrap_or("").to_owned();
                        let asked = Asked { head, id, path, body };
                        if !serve(&worker, &asked, &mut wire) {
                            break;
                        }
                    }
                    wire.stream.shutdown(std::net::Shutdown::Both).ok();
                });
            }
        }
    }

    /// Ends as a killed process does: the listener and all channels are closed.
    pub fn crash(&self) {
        record(&format!("worker {} crashes", self.id.lock().unwrap()));
        self.up.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for channel in self.channels.lock().unwrap().drain(..) {
            channel.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    /// Starts again as a new lifetime with a new id.
    pub fn restart(&self, id: &str) {
        record(&format!("worker {id} starts at {}", self.address));
        *self.id.lock().unwrap() = id.to_owned();
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.up.store(true, Ordering::SeqCst);
    }

    pub fn seal(&self) -> String {
        format!("seal.{}", self.id.lock().unwrap())
    }
}

/// A whole answer with a length.
pub fn answer(worker: &Worker, asked: &Asked, wire: &mut Wire, status: u16, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\nX-Request-Id: {}\r\nX-Server-Seal: {}\r\nX-Server-Load: 1,0,{}\r\n\
         Content-Length: {}\r\n\r\n",
        asked.id,
        worker.seal(),
        worker.slots,
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    wire.stream.write_all(&bytes).is_ok()
}

pub fn health(worker: &Worker, wire: &mut Wire) -> bool {
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Server-Load: 1,0,{}\r\nContent-Length: 0\r\n\r\n",
        worker.id.lock().unwrap(),
        worker.slots
    );
    wire.stream.write_all(text.as_bytes()).is_ok()
}

// ---- the configuration ----

/// Routes are (name, prefix, type, timeout, slo, service, attempts, resumable, engine or not).
pub struct RouteSpec {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub slo_ms: u32,
    pub service: &'static str,
    pub attempts: u32,
    pub resumable: bool,
}

/// What the configuration says of a service of engines.
const ENGINE: &str = "{\"slots\":48,\"kv_capacity\":408775,\"kv_token_bytes\":163840,\"link_mbps\":260000.0,\
    \"moves\":true,\"backups\":true,\"stride\":7,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\
    \"models\":[{\"name\":\"m\"}]}";

/// A configuration; the service `drafter` has engines.
pub fn config(version: u64, host: &str, routes: &[RouteSpec], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{host}\",\"path_prefix\":\"{}\",\"route_type\":\"{}\",\
                 \"timeout_ms\":{},\"slo_ms\":{},\"priority\":1,\"service\":\"{}\",\"attempts\":{},\
                 \"sticky\":{},\"resumable\":{},\"gap_target_ms\":600,\"home_regions\":[]}}",
                route.name,
                route.prefix,
                route.kind,
                route.timeout_ms,
                route.slo_ms,
                route.service,
                route.attempts,
                route.service == "drafter",
                route.resumable
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            let engine = match *name {
                "drafter" => format!(",\"engine\":{ENGINE}"),
                _ => String::new(),
            };
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":300,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0{engine}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Numbers for ids, work times and pauses.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}
