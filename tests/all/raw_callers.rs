//! Callers on plain sockets that use a node until its process is gone.
//!
//! They never ask the directory, and keep their connections and the node's address until a connection is refused.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::request_headers_with_time;

use crate::platform_nodes::KEY;

/// Port on which the nodes of [`crate::platform_nodes`] accept callers.
pub const CALLERS_PORT: u16 = 7700;
/// Time until which a caller waits for a connection or for the next bytes of a response.
pub const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between the parts of a request or response that a slow caller sends or reads.
pub const PART_PAUSE: Duration = Duration::from_millis(20);
/// Number of bytes that a slow reader reads at a time.
const SLOW_READ_BYTES: usize = 256 * 1024;
/// Delay of a caller before it uses another connection after a refusal.
pub const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Shortest pause of an idle caller between two requests on one connection.
pub const IDLE_PAUSE: Duration = Duration::from_millis(200);
/// Step and number of the different pauses, which keep callers from sending at the same moments.
const IDLE_STEP: Duration = Duration::from_millis(47);
const IDLE_STEPS: u64 = 9;

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerStyle {
    /// One request after the other on a connection.
    Busy,
    /// The same, with a pause before each request.
    Idle,
    /// A new connection for each request.
    Fresh,
    /// Two requests at once on a connection.
    Pipelined,
    /// Requests whose body arrives in parts.
    SlowBody,
    /// Reads responses slowly.
    SlowReader,
    /// Three requests shortly after each other on a connection, whose responses are read slowly.
    PipelinedSlowReader,
}

impl CallerStyle {
    /// Number of requests that are sent before the first response.
    pub fn requests_at_once(self) -> usize {
        match self {
            CallerStyle::Pipelined => 2,
            CallerStyle::PipelinedSlowReader => 3,
            _ => 1,
        }
    }

    pub fn reads_slowly(self) -> bool {
        matches!(
            self,
            CallerStyle::SlowReader | CallerStyle::PipelinedSlowReader
        )
    }
}

/// What a caller got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RawOutcome {
    /// A complete response.
    Complete { status: u16, body: Vec<u8> },
    /// The connection ended inside the response.
    Cut { received: usize },
    /// The connection ended before the first byte of a response.
    NoAnswer,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct RawRequest {
    pub id: String,
    pub style: CallerStyle,
    /// When its last byte was written.
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: RawOutcome,
}

impl RawRequest {
    /// Whether the request got the complete response of a backend server.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, RawOutcome::Complete { status: 200, .. })
    }

    /// Whether the response states that the request was not run.
    pub fn is_refused(&self) -> bool {
        match &self.outcome {
            RawOutcome::Complete { status, body } => {
                *status == 503 && String::from_utf8_lossy(body).contains("\"not_run\"")
            }
            _ => false,
        }
    }
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);
static PAUSES: AtomicU64 = AtomicU64::new(0);

/// A caller of one node.
#[derive(Clone, Debug)]
pub struct RawCaller {
    pub address: IpAddr,
    pub style: CallerStyle,
    /// Path of the requests, which selects the route.
    pub path: &'static str,
    /// Time that the caller states to wait for a response.
    pub stated_ms: u64,
}

impl RawCaller {
    /// Sends requests until a connection is refused, and returns them in order.
    pub fn call_until_gone(&self) -> Vec<RawRequest> {
        self.call_until(&AtomicBool::new(false))
    }

    /// The same, also until `is_over`.
    pub fn call_until(&self, is_over: &AtomicBool) -> Vec<RawRequest> {
        let mut requests = Vec::new();
        let address = SocketAddr::new(self.address, CALLERS_PORT);
        while !is_over.load(Ordering::Relaxed)
            && let Ok(stream) = TcpStream::connect_timeout(&address, READ_TIMEOUT)
        {
            let mut connection = RawConnection::new(stream);
            while self.use_connection(&mut connection, &mut requests)
                && !is_over.load(Ordering::Relaxed)
            {}
        }
        requests
    }

    /// Sends requests on one new connection; none if the connection is refused.
    pub fn call_once(&self) -> Vec<RawRequest> {
        let mut requests = Vec::new();
        let address = SocketAddr::new(self.address, CALLERS_PORT);
        if let Ok(stream) = TcpStream::connect_timeout(&address, READ_TIMEOUT) {
            self.use_connection(&mut RawConnection::new(stream), &mut requests);
        }
        requests
    }

    /// Sends the next requests on a connection. Returns whether the connection can be used again.
    fn use_connection(
        &self,
        connection: &mut RawConnection,
        requests: &mut Vec<RawRequest>,
    ) -> bool {
        if self.style == CallerStyle::Idle {
            let step = PAUSES.fetch_add(1, Ordering::Relaxed) % IDLE_STEPS;
            thread::sleep(IDLE_PAUSE + IDLE_STEP * u32::try_from(step).expect("below 9"));
        }
        let mut pending = Vec::new();
        let mut is_usable = self.style != CallerStyle::Fresh;
        for position in 0..self.style.requests_at_once() {
            if position > 0 && self.style.reads_slowly() {
                thread::sleep(PART_PAUSE);
            }
            let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
            let id = format!("raw-{}-{number}", std::process::id());
            let text = request_text(self.address, self.path, &id, self.stated_ms);
            let is_sent = connection.send(&text, self.style == CallerStyle::SlowBody);
            is_usable &= is_sent.is_ok();
            pending.push((id, Instant::now()));
        }
        let mut is_served = true;
        for (id, sent) in pending {
            let (outcome, may_continue) = connection.read_response(self.style.reads_slowly());
            is_usable &= may_continue;
            let request = RawRequest {
                id,
                style: self.style,
                sent,
                ended: connection.end_read.unwrap_or_else(Instant::now),
                outcome,
            };
            is_served &= request.is_served();
            requests.push(request);
        }
        // After the last response, since a pause before it would count as time until the connection ended.
        if !is_served {
            thread::sleep(REFUSAL_PAUSE);
        }
        is_usable
    }
}

/// Text of a request to a node.
pub fn request_text(address: IpAddr, target: &str, id: &str, stated_ms: u64) -> Vec<u8> {
    let body = "prompt ".repeat(20);
    let mut text = format!(
        "POST {target} HTTP/1.1\r\nHost: {address}:{CALLERS_PORT}\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in request_headers_with_time(id, KEY, stated_ms) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(&body);
    text.into_bytes()
}

/// A connection with the bytes that were received and not yet used.
pub struct RawConnection {
    stream: TcpStream,
    received: Vec<u8>,
    /// Number of bytes received for the present response.
    response_bytes: usize,
    /// When the end of the connection was read; `None` before.
    end_read: Option<Instant>,
}

/// Head of a response.
struct ResponseHead {
    status: u16,
    length: Option<usize>,
    is_chunked: bool,
    closes: bool,
}

impl RawConnection {
    pub fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a valid timeout");
        stream.set_nodelay(true).expect("the option can be set");
        Self {
            stream,
            received: Vec::new(),
            response_bytes: 0,
            end_read: None,
        }
    }

    pub fn send(&mut self, text: &[u8], is_slow: bool) -> io::Result<()> {
        let part_bytes = if is_slow { 100 } else { text.len() };
        for part in text.chunks(part_bytes) {
            self.stream.write_all(part)?;
            if is_slow {
                thread::sleep(PART_PAUSE);
            }
        }
        Ok(())
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn read_more(&mut self, is_slow: bool) -> bool {
        if self.end_read.is_some() {
            return false;
        }
        let mut buffer = vec![0; if is_slow { SLOW_READ_BYTES } else { 64 * 1024 }];
        if is_slow {
            thread::sleep(PART_PAUSE);
        }
        match self.stream.read(&mut buffer) {
            Ok(0) | Err(_) => {
                self.end_read = Some(Instant::now());
                false
            }
            Ok(count) => {
                self.received.extend_from_slice(&buffer[..count]);
                self.response_bytes += count;
                true
            }
        }
    }

    /// Reads a response. Also returns whether the connection may be used for another request.
    pub fn read_response(&mut self, is_slow: bool) -> (RawOutcome, bool) {
        self.response_bytes = self.received.len();
        let head_end = loop {
            let end = self
                .received
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            if !self.read_more(is_slow) {
                return (self.cut_outcome(), false);
            }
        };
        let head: Vec<u8> = self.received.drain(..head_end).collect();
        let head = parse_head(&String::from_utf8_lossy(&head));
        let body = if head.is_chunked {
            self.read_chunks(is_slow)
        } else {
            self.read_exactly(head.length.unwrap_or(0), is_slow)
        };
        match body {
            Some(body) => {
                let outcome = RawOutcome::Complete {
                    status: head.status,
                    body,
                };
                (outcome, !head.closes)
            }
            None => (self.cut_outcome(), false),
        }
    }

    /// Outcome of a response after the connection has ended inside it.
    fn cut_outcome(&self) -> RawOutcome {
        match self.response_bytes {
            0 => RawOutcome::NoAnswer,
            received => RawOutcome::Cut { received },
        }
    }

    fn read_exactly(&mut self, count: usize, is_slow: bool) -> Option<Vec<u8>> {
        while self.received.len() < count {
            if !self.read_more(is_slow) {
                return None;
            }
        }
        Some(self.received.drain(..count).collect())
    }

    fn read_chunks(&mut self, is_slow: bool) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                let end = self.received.windows(2).position(|bytes| bytes == b"\r\n");
                if let Some(end) = end {
                    break end;
                }
                if !self.read_more(is_slow) {
                    return None;
                }
            };
            let line = self.read_exactly(line_end + 2, is_slow)?;
            let text = String::from_utf8_lossy(&line).into_owned();
            let count = usize::from_str_radix(text.trim(), 16).ok()?;
            let data = self.read_exactly(count + 2, is_slow)?;
            if count == 0 {
                return Some(body);
            }
            body.extend_from_slice(&data[..count]);
        }
    }
}

fn parse_head(text: &str) -> ResponseHead {
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    let mut head = ResponseHead {
        status: status.unwrap_or(0),
        length: None,
        is_chunked: false,
        closes: false,
    };
    for line in text.lines().skip(1) {
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => head.length = value.parse().ok(),
            "transfer-encoding" => head.is_chunked = value.eq_ignore_ascii_case("chunked"),
            "connection" => head.closes = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    head
}
