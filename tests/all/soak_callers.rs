//! Callers of a soak: some stay with one node, others follow the answers of the directory.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::StandinWork;
use jaysaddle_platform_standin::target_with_work;
use jaysaddle_test_support::TestRandom;
use serde_json::Value;

use crate::raw_callers::CALLERS_PORT;
use crate::raw_callers::CallerStyle;
use crate::raw_callers::IDLE_PAUSE;
use crate::raw_callers::PART_PAUSE;
use crate::raw_callers::READ_TIMEOUT;
use crate::raw_callers::REFUSAL_PAUSE;
use crate::raw_callers::RawConnection;
use crate::raw_callers::RawOutcome;
use crate::raw_callers::RawRequest;
use crate::raw_callers::request_text;
use crate::soak_events::between;

/// Time within which a caller that uses the directory reaches a node that serves it: twice the time for which it may
/// use an answer of the directory.
pub const CALL_TIME: Duration = Duration::from_secs(6);
/// Multiple of the lifetime of a directory answer for which some callers use it.
const MAX_LIFETIME_FACTOR: u64 = 3;
/// Pause of a caller that has found no node.
const NO_NODE_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a call to the directory, in seconds.
const RESOLVE_TIMEOUT_SECS: u64 = 2;
/// Time that a caller states in addition to twice that of the work.
const STATED_MARGIN_MS: u64 = 2500;
/// Additional stated time of callers that send slow streams.
const PATIENCE_MS: u64 = 7000;
/// Timeouts of the routes.
const STREAM_TIMEOUT_MS: u64 = 15_000;
const PLAIN_TIMEOUT_MS: u64 = 5000;

/// Route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    Stream,
    AtMostOnce,
    Idempotent,
}

/// Route, work and stated time of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPlan {
    pub kind: RouteKind,
    pub work: StandinWork,
    pub stated_ms: u64,
}

impl RequestPlan {
    /// Draws a request; a brief one takes up to 300 ms.
    fn draw(random: &mut TestRandom, is_brief: bool, has_slow: bool) -> Self {
        let lengths = if is_brief { 1 } else { 3 };
        let mut work = StandinWork::default();
        let (kind, work_ms) = match random.below(4) {
            0 | 1 => {
                let total = match random.below(lengths) {
                    0 => between(random, 60, 300),
                    1 => between(random, 300, 2500),
                    _ => between(random, 2500, 6000),
                };
                let mut interval = between(random, 20, 200).min(total);
                if has_slow && !is_brief && random.below(3) == 0 {
                    interval = between(random, 1000, 3000);
                }
                work.events = (total / interval).max(1);
                let total = total.max(interval);
                work.event_interval = Duration::from_millis(interval);
                (RouteKind::Stream, total)
            }
            number => {
                let total = between(random, 20, if is_brief { 300 } else { 1500 });
                work.answer_time = Duration::from_millis(total);
                if random.below(6) == 0 {
                    let bytes = between(random, 100_000, 4_000_000);
                    work.answer_bytes = usize::try_from(bytes).ok();
                }
                let kind = if number == 2 {
                    RouteKind::AtMostOnce
                } else {
                    RouteKind::Idempotent
                };
                (kind, total)
            }
        };
        Self {
            kind,
            work,
            stated_ms: work_ms * 2 + STATED_MARGIN_MS + if has_slow { PATIENCE_MS } else { 0 },
        }
    }

    /// Time after which the request may end without a response.
    pub fn time(&self) -> Duration {
        let timeout_ms = match self.kind {
            RouteKind::Stream => STREAM_TIMEOUT_MS,
            _ => PLAIN_TIMEOUT_MS,
        };
        Duration::from_millis(self.stated_ms.min(timeout_ms))
    }

    fn target(&self) -> String {
        let path = match self.kind {
            RouteKind::Stream => "/drafts/x",
            RouteKind::AtMostOnce => "/sends/x",
            RouteKind::Idempotent => "/lookups/x",
        };
        target_with_work(path, &self.work)
    }

    /// Whether a response body is the whole one of a backend server.
    pub fn is_whole(&self, body: &[u8]) -> bool {
        match (self.kind, self.work.answer_bytes) {
            (RouteKind::Stream, _) => {
                let events = (1..=self.work.events)
                    .map(|number| format!("id: {number}\ndata: token {number}\n\n"));
                body == events.collect::<String>().as_bytes()
            }
            (_, Some(count)) => body.len() == count,
            (_, None) => body == b"done",
        }
    }
}

/// One request, with the node to which it was sent.
#[derive(Clone, Debug)]
pub struct SoakRequest {
    pub raw: RawRequest,
    pub node: usize,
    pub plan: RequestPlan,
    /// The request that was sent before it on the connection and not answered yet.
    pub previous: Option<Box<SoakRequest>>,
}

/// What a caller that uses the directory wants done, with all requests that it sends for it.
#[derive(Clone, Debug)]
pub struct SoakCall {
    pub started: Instant,
    pub requests: Vec<SoakRequest>,
    /// Whether the caller has given up. Otherwise, it was served, or the last request must not be repeated.
    pub is_given_up: bool,
}

/// Requests of a caller.
#[derive(Clone, Debug, Default)]
pub struct CallerRecord {
    pub requests: Vec<SoakRequest>,
    /// Calls of a caller that uses the directory; their requests are not in `requests`.
    pub calls: Vec<SoakCall>,
}

/// Addresses that a caller has from the directory.
#[derive(Clone, Debug, Default)]
struct DirectoryAnswer {
    nodes: Vec<usize>,
    expires: Option<Instant>,
}

/// A caller of a soak.
pub struct SoakCaller<'a> {
    /// Prefix of the ids of its requests.
    pub name: String,
    pub style: CallerStyle,
    pub addresses: &'a [IpAddr],
    pub random: TestRandom,
    /// Set when the callers have to end.
    pub is_over: &'a AtomicBool,
    /// Whether all of its requests are brief.
    is_brief: bool,
    /// Whether some of its streams have seconds between their events.
    has_slow: bool,
    sent: u64,
    answer: DirectoryAnswer,
    connection: Option<(usize, RawConnection)>,
}

impl<'a> SoakCaller<'a> {
    pub fn new(
        name: String,
        style: CallerStyle,
        addresses: &'a [IpAddr],
        seed: u64,
        has_slow: bool,
        is_over: &'a AtomicBool,
    ) -> Self {
        let mut random = TestRandom::new(seed);
        let is_brief = random.below(3) == 0;
        Self {
            name,
            style,
            addresses,
            random,
            is_over,
            is_brief,
            has_slow,
            sent: 0,
            answer: DirectoryAnswer::default(),
            connection: None,
        }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Uses one node as long as its process accepts connections, and again when it is back.
    pub fn stay_with(mut self, node: usize) -> CallerRecord {
        let mut record = CallerRecord::default();
        while !self.is_over() {
            if self.style == CallerStyle::Idle {
                thread::sleep(IDLE_PAUSE);
            }
            let plans: Vec<_> = (0..self.style.requests_at_once())
                .map(|_| RequestPlan::draw(&mut self.random, self.is_brief, self.has_slow))
                .collect();
            let requests = self.exchange(node, &plans);
            let is_served = requests.iter().all(|request| request.raw.is_served());
            match (requests.is_empty(), is_served) {
                (true, _) => thread::sleep(NO_NODE_PAUSE),
                (false, false) => thread::sleep(REFUSAL_PAUSE),
                (false, true) => {}
            }
            record.requests.extend(requests);
        }
        record
    }

    /// Uses the nodes that the directory names.
    pub fn follow_directory(mut self) -> CallerRecord {
        let mut record = CallerRecord::default();
        while !self.is_over() {
            if self.style == CallerStyle::Idle {
                thread::sleep(IDLE_PAUSE);
            }
            record.calls.push(self.call());
        }
        record
    }

    /// Sends a request to one node after another until one serves it.
    fn call(&mut self) -> SoakCall {
        let started = Instant::now();
        let plan = RequestPlan::draw(&mut self.random, self.is_brief, self.has_slow);
        let mut call = SoakCall {
            started,
            requests: Vec::new(),
            is_given_up: false,
        };
        let mut tried = Vec::new();
        while started.elapsed() < CALL_TIME && !self.is_over() {
            self.refresh_answer();
            let current = self.connection.as_ref().map(|(node, _)| *node);
            let candidates = self.answer.nodes.iter().copied();
            let left: Vec<usize> = candidates.filter(|node| !tried.contains(node)).collect();
            let Some(first) = left.first() else {
                tried.clear();
                thread::sleep(NO_NODE_PAUSE);
                continue;
            };
            let node = current.filter(|node| left.contains(node)).unwrap_or(*first);
            let requests = self.exchange(node, &[plan]);
            call.requests.extend(requests.iter().cloned());
            let Some(request) = requests.first() else {
                tried.push(node);
                continue;
            };
            let is_unread = request.raw.outcome == RawOutcome::NoAnswer;
            if !request.raw.is_refused() && !is_unread {
                return call;
            }
            tried.push(node);
            thread::sleep(REFUSAL_PAUSE);
        }
        call.is_given_up = !self.is_over();
        call
    }

    /// Asks the directory of a random node after the lifetime of the last answer, or a multiple of it.
    fn refresh_answer(&mut self) {
        let now = Instant::now();
        if self.answer.expires.is_some_and(|expires| expires > now) {
            return;
        }
        self.answer = DirectoryAnswer::default();
        let count = self.addresses.len();
        let first = usize::try_from(self.random.below(count as u64)).expect("a node");
        for offset in 0..count {
            let address = self.addresses[(first + offset) % count];
            let Some((mut nodes, lifetime)) = resolve(address, self.addresses) else {
                continue;
            };
            let shift = usize::try_from(self.random.below(nodes.len() as u64)).expect("a node");
            nodes.rotate_left(shift);
            let factor = 1 + self.random.below(MAX_LIFETIME_FACTOR);
            let kept = Duration::from_secs(lifetime * factor);
            self.answer = DirectoryAnswer {
                nodes,
                expires: Some(now + kept),
            };
            return;
        }
    }

    /// Sends requests to a node and reads the responses. Returns none if the node accepts no connection.
    fn exchange(&mut self, node: usize, plans: &[RequestPlan]) -> Vec<SoakRequest> {
        let kept = self.connection.take().filter(|(kept, _)| *kept == node);
        let address = SocketAddr::new(self.addresses[node], CALLERS_PORT);
        let connection = kept.map(|(_, connection)| connection).or_else(|| {
            let stream = TcpStream::connect_timeout(&address, READ_TIMEOUT).ok()?;
            Some(RawConnection::new(stream))
        });
        let Some(mut connection) = connection else {
            return Vec::new();
        };
        let mut pending = Vec::new();
        let mut is_usable = self.style != CallerStyle::Fresh;
        for (position, plan) in plans.iter().enumerate() {
            if position > 0 && self.style.reads_slowly() {
                thread::sleep(PART_PAUSE);
            }
            self.sent += 1;
            let id = format!("{}-{}", self.name, self.sent);
            let target = plan.target();
            let text = request_text(address.ip(), &target, &id, plan.stated_ms);
            let is_sent = connection.send(&text, self.style == CallerStyle::SlowBody);
            is_usable &= is_sent.is_ok();
            pending.push((id, Instant::now(), *plan));
        }
        let mut requests: Vec<SoakRequest> = Vec::new();
        for (id, sent, plan) in pending {
            let (outcome, may_continue) = connection.read_response(self.style.reads_slowly());
            is_usable &= may_continue;
            let raw = RawRequest {
                id,
                style: self.style,
                sent,
                ended: Instant::now(),
                outcome,
            };
            let previous = requests.last().cloned().map(Box::new);
            requests.push(SoakRequest {
                raw,
                node,
                plan,
                previous,
            });
        }
        if is_usable {
            self.connection = Some((node, connection));
        }
        requests
    }
}

/// Nodes that the directory of a node names, and the lifetime of the answer in seconds.
fn resolve(address: IpAddr, addresses: &[IpAddr]) -> Option<(Vec<usize>, u64)> {
    let url = format!("http://{address}:7702/resolve?name=calls.example&zone=a");
    let request = minreq::get(url).with_timeout(RESOLVE_TIMEOUT_SECS);
    let response = request.send().ok()?;
    let body: Value = serde_json::from_slice(response.as_bytes()).ok()?;
    let nodes: Vec<usize> = body["addresses"]
        .as_array()?
        .iter()
        .filter_map(|text| {
            let socket: SocketAddr = text.as_str()?.parse().ok()?;
            addresses.iter().position(|known| *known == socket.ip())
        })
        .collect();
    let lifetime = body["ttlS"].as_u64()?;
    (!nodes.is_empty()).then_some((nodes, lifetime))
}
