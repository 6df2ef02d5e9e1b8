//! The platform around the nodes: the store, the runners, the nodes' processes and the record of what happened.

use std::fs;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::header;
use crate::http::read_body;
use crate::http::read_chunk;
use crate::http::read_head;
use crate::http::read_request;
use crate::json::Json;
use crate::runner::HEARTBEAT;
use crate::runner::Runner;
use crate::runner::listen;
use crate::store::Store;

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "ficu95.example";

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    /// Fields of the platform's settings of the machine.
    fields: Vec<(String, String)>,
    pub process: Child,
}

pub struct World {
    pub store: Store,
    pub store_address: SocketAddr,
    pub born: u64,
    base: Ipv4Addr,
    folder: PathBuf,
    start: Instant,
    runners: Mutex<Vec<Runner>>,
    has_traffic: AtomicBool,
    record: Mutex<fs::File>,
    violations: Mutex<Vec<String>>,
    nodes: Mutex<Vec<Node>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Outcome of a request as its client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Complete(u16),
    Truncated(u16),
    Closed,
}

impl World {
    /// Starts the store. `folder` receives the record and the settings of the nodes.
    pub fn start(folder: PathBuf, settings_folder: PathBuf) -> Arc<World> {
        // An address range of its own, so that runs do not share ports.
        let pid = std::process::id();
        let base = Ipv4Addr::new(127, (1 + pid / 250 % 250) as u8, (1 + pid % 250) as u8, 0);
        let store_ip = IpAddr::V4(Ipv4Addr::from(u32::from(base) + 10));
        let listener = TcpListener::bind(SocketAddr::new(store_ip, 0)).expect("a loopback address");
        let record =
            fs::File::create(folder.join("record.txt")).expect("the record can be written");
        let world = Arc::new(World {
            store: Store::default(),
            store_address: listener.local_addr().expect("an address"),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.as_millis() as u64),
            base,
            folder: settings_folder,
            start: Instant::now(),
            runners: Mutex::default(),
            has_traffic: AtomicBool::new(false),
            record: Mutex::new(record),
            violations: Mutex::default(),
            nodes: Mutex::default(),
        });
        let serving = world.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = serving.clone();
                thread::spawn(move || world.serve_store(stream));
            }
        });
        let ticking = world.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(20));
            }
        });
        world
    }

    fn serve_store(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let answer = self.store.answer(&request);
            if output.write_all(&answer).is_err() {
                return;
            }
        }
    }

    pub fn runners(&self) -> MutexGuard<'_, Vec<Runner>> {
        lock(&self.runners)
    }

    /// Number of open groups.
    pub fn open_groups(&self) -> usize {
        let runners = self.runners();
        let groups = runners.iter().filter_map(|runner| runner.group.as_ref());
        groups
            .filter(|group| group.rank == 0 && group.state == "open")
            .count()
    }

    pub fn nodes(&self) -> MutexGuard<'_, Vec<Node>> {
        lock(&self.nodes)
    }

    pub fn has_traffic(&self) -> bool {
        self.has_traffic.load(Ordering::Relaxed)
    }

    pub fn begin_traffic(&self) {
        self.has_traffic.store(true, Ordering::Relaxed);
    }

    pub fn record(&self, line: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.record), "{seconds:8.3} {line}");
    }

    pub fn violation(&self, line: &str) {
        self.record(&format!("BROKEN {line}"));
        lock(&self.violations).push(line.to_owned());
    }

    pub fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    fn ip(&self, number: u32) -> IpAddr {
        IpAddr::V4(Ipv4Addr::from(u32::from(self.base) + number))
    }

    fn free_address(ip: IpAddr) -> SocketAddr {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).expect("a free port");
        listener.local_addr().expect("an address")
    }

    pub fn add_runner(self: &Arc<Self>, service: &str, is_engine: bool) -> usize {
        let number = self.runners().len();
        let address = Self::free_address(self.ip(20 + number as u32));
        let id = format!("i-{:010x}", 0x0d8f_4879 + number as u64);
        self.runners()
            .push(Runner::new(&id, service, address, is_engine));
        listen(self.clone(), number);
        number
    }

    /// Advances the states of runners and writes their entries.
    fn tick(&self) {
        let now = Instant::now();
        let mut runners = self.runners();
        for runner in runners.iter_mut() {
            if let Some((model, until)) = runner.staging.clone()
                && now >= until
            {
                runner.staging = None;
                runner.staged = Some(model);
                runner.is_changed = true;
            }
            let active = runner.active;
            if let Some(group) = &mut runner.group {
                let next = match group.state {
                    "joining" if group.until.is_some_and(|until| now >= until) => Some("ready"),
                    "ready" if group.until.is_some_and(|until| now >= until) => Some("open"),
                    "closing" if active == 0 => Some("ready"),
                    _ => None,
                };
                if let Some(state) = next {
                    group.state = state;
                    group.until = None;
                    runner.is_changed = true;
                }
            }
            let is_due = runner.last_write.is_none_or(|last| now - last >= HEARTBEAT);
            if runner.is_alive && !runner.is_cut && (is_due || runner.is_changed) {
                runner.writes += 1;
                runner.last_write = Some(now);
                runner.is_changed = false;
                runner.is_listed = true;
                self.store
                    .put("servers", &runner.id, runner.entry(self.born));
            } else if runner.is_listed
                && runner
                    .last_write
                    .is_some_and(|last| now - last >= HEARTBEAT * 3)
            {
                runner.is_listed = false;
                self.store.remove("servers", &runner.id);
                self.record(&format!("entry of {} removed", runner.id));
            }
        }
    }

    /// Writes the settings of a node: the template of the deploy file with the platform's fields.
    pub fn write_settings(&self, name: &str, fields: &[(String, String)]) {
        let template = fs::read_to_string("deploy/entry.yaml").expect("the template");
        let path = self.folder.join(format!("{name}.yaml"));
        // Written beside and moved, so that no process reads half of it.
        let new = self.folder.join(format!("{name}.new"));
        fs::write(&new, fill_in(&template, fields)).expect("the settings can be written");
        fs::rename(new, path).expect("the settings can be replaced");
    }

    /// Starts the process of a node with the command of the deploy file.
    fn spawn(&self, name: &str) -> Child {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log file");
        let process = Command::new("target/release/jaysaddled")
            .arg("--entry-settings")
            .arg(self.folder.join(format!("{name}.yaml")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        process.expect("the daemon starts")
    }

    /// Adds a machine with the settings of a small deployment, and starts its process.
    pub fn start_node(&self, memory_mb: u64) {
        let number = self.nodes().len() as u32 + 1;
        let ip = self.ip(number);
        let name = format!("front-hall-a-{number}");
        let [callers, readiness, directory, peers] = [(); 4].map(|()| Self::free_address(ip));
        let fields = [
            ("nodeName", name.clone()),
            ("zone", "hall-a".to_owned()),
            ("ip", ip.to_string()),
            ("listen.front", callers.to_string()),
            ("listen.ready", readiness.to_string()),
            ("listen.directory", directory.to_string()),
            ("portRange.0", peers.port().to_string()),
            ("portRange.1", peers.port().to_string()),
            ("platform.address", self.store_address.to_string()),
            ("limits.memoryMb", memory_mb.to_string()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("bootstrap", "true".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "103".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
        ];
        let fields: Vec<_> = fields
            .into_iter()
            .map(|(field, value)| (field.to_owned(), value))
            .collect();
        self.write_settings(&name, &fields);
        let process = self.spawn(&name);
        self.record(&format!("node {name} started, callers at {callers}"));
        self.nodes().push(Node {
            name,
            callers,
            readiness,
            directory,
            fields,
            process,
        });
    }

    /// Changes a field of the platform's settings of a machine, and writes its settings file.
    pub fn change_setting(&self, number: usize, field: &str, value: &str) {
        let mut nodes = self.nodes();
        let node = &mut nodes[number];
        for (known, present) in &mut node.fields {
            if known == field {
                *present = value.to_owned();
            }
        }
        self.write_settings(&node.name, &node.fields);
    }

    /// Sends a signal to the process of a node.
    pub fn signal(&self, number: usize, signal: &str) {
        let pid = self.nodes()[number].process.id();
        let _ = Command::new("bash")
            .arg("-c")
            .arg(format!("kill -{signal} {pid}"))
            .status();
    }

    /// Kills the process of a node.
    pub fn kill_node(&self, number: usize) {
        let node = &mut self.nodes()[number];
        let _ = node.process.kill();
        let _ = node.process.wait();
    }

    /// Starts the process of a node again.
    pub fn restart_node(&self, number: usize) {
        self.change_setting(number, "bootstrap", "false");
        let mut nodes = self.nodes();
        let node = &mut nodes[number];
        node.process = self.spawn(&node.name);
    }

    /// Whether all nodes say that they are ready.
    pub fn is_ready(&self) -> bool {
        let addresses: Vec<SocketAddr> = self.nodes().iter().map(|node| node.readiness).collect();
        addresses.into_iter().all(|address| {
            let request = "GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
            let status = TcpStream::connect(address).and_then(|mut stream| {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                stream.write_all(request.as_bytes())?;
                Ok(read_head(&mut BufReader::new(stream))?.map(|(first, _)| first))
            });
            status.is_ok_and(|first| first.is_some_and(|first| first.contains(" 200 ")))
        })
    }

    /// Waits until `condition` holds. Returns false if it does not within `limit`.
    pub fn wait_for(&self, limit: Duration, condition: impl Fn() -> bool) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if condition() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all processes that this program has started.
    pub fn end_nodes(&self) {
        for node in self.nodes().iter_mut() {
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
    }
}

/// Fills in a template: sections of fields that are not there are left out.
fn fill_in(template: &str, fields: &[(String, String)]) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("the end of a placeholder");
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = name_end + text[name_end..].find(&close).expect("the end of a section");
        let is_there = fields.iter().any(|(field, _)| *field == name);
        let inner = if is_there {
            text[name_end + 2..end].to_owned()
        } else {
            String::new()
        };
        text.replace_range(start..end + close.len(), &inner);
    }
    for (field, value) in fields {
        text = text.replace(&format!("{{{{{field}}}}}"), value);
        text = text.replace(&format!("{{{{{field}|json}}}}"), value);
    }
    text
}

/// Addresses for callers that a directory states; `None` if it does not answer.
pub fn resolve(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let request = format!(
        "GET /resolve?name={HOST}&region=tn-north&zone=hall-a HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
    );
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&directory, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let body = read_body(&mut reader, &headers).ok()?;
    let answer = Json::parse(&String::from_utf8_lossy(&body))?;
    let addresses = answer.get("addresses").list().iter();
    let addresses = addresses.filter_map(|address| address.text().parse().ok());
    first.contains(" 200 ").then(|| addresses.collect())
}

/// Reads a response to its end.
pub fn read_response(stream: TcpStream) -> Outcome {
    let mut reader = BufReader::new(stream);
    let Ok(Some((first, headers))) = read_head(&mut reader) else {
        return Outcome::Closed;
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let is_complete = if header(&headers, "transfer-encoding").is_some() {
        loop {
            match read_chunk(&mut reader) {
                Ok(Some(_)) => {}
                Ok(None) => break true,
                Err(_) => break false,
            }
        }
    } else {
        read_body(&mut reader, &headers).is_ok()
    };
    if is_complete {
        Outcome::Complete(status)
    } else {
        Outcome::Truncated(status)
    }
}

/// Manifest with a resumable stream route, an unsafe and a safe route.
pub fn manifest(max_body: u64) -> Json {
    let text = format!(
        r#"{{"version":7,"routes":[
{{"name":"r-chat","host":"{HOST}","pathPrefix":"/chat/","kind":"stream","timeoutMs":8000,"sloMs":400,"priority":1,"service":"lm","maxAttempts":2,"public":false,"affinity":true,"resumable":true,"gapTargetMs":300}},
{{"name":"r-hold","host":"{HOST}","pathPrefix":"/hold/","kind":"unsafe","timeoutMs":8000,"sloMs":300,"priority":2,"service":"erp","maxAttempts":1,"public":false}},
{{"name":"r-look","host":"{HOST}","pathPrefix":"/look/","kind":"safe","timeoutMs":8000,"sloMs":300,"priority":2,"service":"erp","maxAttempts":2,"public":false}}],
"services":[{{"name":"lm","healthPath":"/healthz","maxConns":338,"protocol":"h1","tls":false,"engine":{{"slots":17,"kvCapacity":1860000,"kvTokenBytes":96256,"linkMbps":400000.0,"stride":5,"models":[{{"name":"m0","size":4,"share":1.0,"pace":1.0,"loadS":16.0,"warmupS":1.6}}],"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":5.0,"loads_at_once":7,"usual":{{"prompt":979,"answer":100}},"historyLimit":1,"far_x":4.0,"formMs":300.0}}}},
{{"name":"erp","healthPath":"/healthz","maxConns":338,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{max_body},"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    );
    Json::parse(&text).expect("a valid manifest")
}
