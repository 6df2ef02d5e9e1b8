//! Nodes whose callers share everything with requests that crash engines, except for one part of the prompt.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::CrashingPart;
use jaysaddle_platform_standin::StandinWork;
use jaysaddle_platform_standin::prompt_parts_line;
use jaysaddle_platform_standin::target_with_work;

use crate::platform_nodes::PlatformNodes;
use crate::raw_callers::CALLERS_PORT;
use crate::raw_callers::RawConnection;
use crate::raw_callers::RawOutcome;
use crate::raw_callers::request_text;

/// Time in which a node learns what others know, unless it is disrupted.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of ends after which the part must be known.
const KNOWN_AFTER_ENDS: usize = 5;
/// Requests with the part that may reach engines after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Fewest sound requests from which a share is computed.
const MIN_SOUND: usize = 20;
/// Name of the part that crashes engines.
const CRASHING_PART: &str = "bad0c0de";
/// Number of callers with sound requests.
const SOUND_CALLERS: usize = 8;
/// Time that callers state to wait.
const STATED_MS: u64 = 6000;
/// Pause of a caller after a request that was not served.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// How often requests with the crashing part come, and when.
#[derive(Clone, Copy, Debug)]
pub struct CrashTraffic {
    /// Time between two requests with the part.
    pub interval: Duration,
    /// Time before the first one.
    pub calm: Duration,
    /// Time for which they come.
    pub duration: Duration,
}

/// A sound request.
#[derive(Clone, Debug)]
struct SoundRequest {
    node: usize,
    sent: Instant,
    is_whole: bool,
}

/// What happened in a run.
pub struct CrashRun {
    /// When the first request with the part was sent, and the last.
    crashing_from: Instant,
    crashing_until: Instant,
    sound: Vec<SoundRequest>,
    /// Node and time of sending of each request with the part.
    sent: HashMap<String, (usize, Instant)>,
}

/// A request of a caller, with the parts of its prompt.
fn prompt_request(address: IpAddr, id: &str, parts: &str) -> Vec<u8> {
    let work = StandinWork {
        events: 12,
        event_interval: Duration::from_millis(30),
        ..StandinWork::default()
    };
    let text = request_text(
        address,
        &target_with_work("/drafts/x", &work),
        id,
        STATED_MS,
    );
    let text = String::from_utf8(text).expect("text");
    let head_end = "\r\n\r\n";
    let with_parts = format!("\r\n{}\r\n", prompt_parts_line(parts));
    let with_parts = text.replacen(head_end, &with_parts, 1);
    with_parts.into_bytes()
}

fn next_id(name: &str) -> String {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    format!("{name}-{}-{number}", std::process::id())
}

fn connect(address: IpAddr) -> Option<RawConnection> {
    let address = SocketAddr::new(address, CALLERS_PORT);
    TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
        .ok()
        .map(RawConnection::new)
}

/// Sends sound requests on kept connections until `is_over`.
fn call_soundly(nodes: &[IpAddr], caller: usize, is_over: &AtomicBool) -> Vec<SoundRequest> {
    let mut requests = Vec::new();
    let mut node = caller;
    while !is_over.load(Ordering::Relaxed) {
        node = (node + 1) % nodes.len();
        let address = nodes[node];
        let Some(mut connection) = connect(address) else {
            thread::sleep(FAILURE_PAUSE);
            continue;
        };
        let mut is_usable = true;
        while is_usable && !is_over.load(Ordering::Relaxed) {
            let id = next_id("sound");
            let parts = format!("5a5a:40,{caller:x}{caller:x}:200,{id}:30");
            let sent = Instant::now();
            let is_sent = connection.send(&prompt_request(address, &id, &parts), false);
            let (outcome, may_continue) = connection.read_response(false);
            let is_whole = matches!(&outcome, RawOutcome::Complete { status: 200, .. });
            requests.push(SoundRequest {
                node,
                sent,
                is_whole,
            });
            is_usable = is_sent.is_ok() && may_continue;
            if !is_whole {
                thread::sleep(FAILURE_PAUSE);
            }
        }
    }
    requests
}

/// Makes the part crash each engine that begins to answer a request with it.
pub fn arm_crashing_part(nodes: &PlatformNodes) {
    nodes.standin.set_crashing_part(Some(CrashingPart {
        name: CRASHING_PART.to_owned(),
        delay: Duration::from_millis(100),
        absence: Duration::from_secs(3),
    }));
}

/// Runs sound callers, and requests with the crashing part. `meanwhile` runs beside them.
pub fn run_traffic(
    addresses: &[IpAddr],
    traffic: CrashTraffic,
    meanwhile: impl FnOnce(),
) -> CrashRun {
    let is_over = AtomicBool::new(false);
    let sent = Mutex::new(HashMap::new());
    let (mut crashing_from, mut crashing_until) = (Instant::now(), Instant::now());
    let sound = thread::scope(|scope| {
        let is_over = &is_over;
        let callers: Vec<_> = (0..SOUND_CALLERS)
            .map(|caller| scope.spawn(move || call_soundly(addresses, caller, is_over)))
            .collect();
        let sent = &sent;
        let crashing = scope.spawn(move || {
            thread::sleep(traffic.calm);
            let from = Instant::now();
            let mut number = 0;
            while from.elapsed() < traffic.duration {
                number += 1;
                let node = number % addresses.len();
                let id = next_id("crashing");
                let caller = number % SOUND_CALLERS;
                let parts = format!("5a5a:40,{caller:x}{caller:x}:200,{CRASHING_PART}:70,{id}:9");
                let mut known = sent.lock().unwrap_or_else(PoisonError::into_inner);
                known.insert(id.clone(), (node, Instant::now()));
                drop(known);
                scope.spawn(move || {
                    if let Some(mut connection) = connect(addresses[node]) {
                        let text = prompt_request(addresses[node], &id, &parts);
                        // Whatever the answer is, it is not needed.
                        let _ = connection.send(&text, false);
                        let _ = connection.read_response(false);
                    }
                });
                thread::sleep(traffic.interval);
            }
            (from, Instant::now())
        });
        meanwhile();
        (crashing_from, crashing_until) = crashing.join().expect("no caller panics");
        is_over.store(true, Ordering::Relaxed);
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("no caller panics"))
            .collect()
    });
    CrashRun {
        crashing_from,
        crashing_until,
        sound,
        sent: sent.into_inner().unwrap_or_else(PoisonError::into_inner),
    }
}

/// Whether a node refuses a request with the crashing part.
pub fn refuses_part(nodes: &PlatformNodes, node: usize) -> bool {
    let address = nodes.addresses[node];
    let Some(mut connection) = connect(address) else {
        return false;
    };
    let id = next_id("refused");
    let parts = format!("5a5a:40,{CRASHING_PART}:70,{id}:9");
    let is_sent = connection.send(&prompt_request(address, &id, &parts), false);
    let (outcome, _) = connection.read_response(false);
    is_sent.is_ok() && matches!(outcome, RawOutcome::Complete { status: 503, .. })
}

/// Times in which a node was disrupted.
pub type Disruptions = Vec<(usize, Instant, Instant)>;

/// Whether a node had been without disruption for [`CONTACT_TIME`] at a moment.
fn is_in_touch(disruptions: &Disruptions, node: usize, at: Instant) -> bool {
    disruptions
        .iter()
        .all(|(other, from, until)| *other != node || at < *from || at > *until + CONTACT_TIME)
}

fn whole_percent(requests: &[&SoundRequest]) -> Option<usize> {
    let whole = requests.iter().filter(|request| request.is_whole).count();
    (requests.len() >= MIN_SOUND).then(|| whole * 100 / requests.len())
}

impl CrashRun {
    /// Returns what breaks a rule: requests with the part that reach engines although it is known, and sound ones that are
    /// served less than half as often as before.
    pub fn faults(&self, nodes: &PlatformNodes, disruptions: &Disruptions) -> Vec<String> {
        let counts = nodes.standin.crash_counts();
        let known_at = counts.ends.get(KNOWN_AFTER_ENDS - 1).copied();
        let last = known_at.or(counts.ends.last().copied());
        let mut faults = Vec::new();
        let late = counts.arrivals.iter().filter(|(at, id)| {
            let sent = self.sent.get(id);
            known_at.is_some_and(|known| *at > known + CONTACT_TIME)
                && sent.is_some_and(|(node, sent)| is_in_touch(disruptions, *node, *sent))
        });
        let late = late.count();
        if late > MAX_LATE_ARRIVALS {
            faults.push(format!(
                "{late} requests with the part reached engines late"
            ));
        }
        let share = |from: Instant, until: Instant| {
            let requests = self.sound.iter();
            let within = requests.filter(|request| {
                from <= request.sent
                    && request.sent < until
                    && is_in_touch(disruptions, request.node, request.sent)
            });
            whole_percent(&within.collect::<Vec<_>>())
        };
        let before = share(self.sound[0].sent, self.crashing_from);
        let after = last.and_then(|last| share(last + 2 * CONTACT_TIME, self.crashing_until));
        if let (Some(before), Some(after)) = (before, after)
            && after * 2 < before
        {
            faults.push(format!(
                "of the sound requests {after} % are whole, before {before} %"
            ));
        }
        println!(
            "{} engines ended, {} requests with the part reached engines, {late} of them late; sound: {before:?} % whole before, {after:?} % after",
            counts.ends.len(),
            counts.arrivals.len()
        );
        faults
    }
}
