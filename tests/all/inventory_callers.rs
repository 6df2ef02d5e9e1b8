//! Callers on plain sockets that use a node with an inventory until its process is gone.
//!
//! They keep the node's address and their connections until a connection is refused.

use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_standins::expected_text;
use jaysaddle_types::ids::ModelId;
use serde_json::Value;
use serde_json::json;

use crate::load::CallerOutcome;
use crate::load::classify_response;
use crate::process::TestResponse;

/// Time until which a caller waits for a connection or for the next bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause of a slow reader before each read.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(25);
/// Number of bytes that a slow reader reads at a time.
const SLOW_READ_BYTES: usize = 16 * 1024;
/// Size of the body that a slow reader sends to the service, which returns it.
const LARGE_BODY_BYTES: usize = 900_000;
/// Delay of a caller after a refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);
/// Pause of an idle caller before each request.
const IDLE_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of bytes of one read.
const READ_BYTES: usize = 64 * 1024;

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStyle {
    /// One request after the other on a connection.
    Busy,
    /// The same, with a pause before each request.
    Idle,
    /// A new connection for each request.
    Fresh,
    /// Two requests at once on a connection.
    Pipelined,
    /// Reads large responses slowly and sends the next request meanwhile.
    SlowReader,
}

/// What a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A completion of this number of tokens.
    Completion { tokens: u32, stream: bool },
    /// A call of the plain service.
    Call,
    /// A call of the plain service that must not run twice, with the home token of its key.
    KeyedCall { home: String },
}

/// What a caller got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete and correct response.
    Served,
    /// A refusal with its verdict and reason.
    Refused(String, String),
    /// The connection ended before the first byte of a response.
    NoAnswer,
    /// Sent before a response arrived that closes the connection, so the caller no longer expects a response.
    Dropped,
    /// The connection ended inside the response.
    Cut(usize),
    /// A response that violates the API contract.
    Wrong(String),
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Prompt or service body, which no other request has.
    pub text: String,
    pub style: ConnectionStyle,
    pub kind: RequestKind,
    /// When its first byte was written.
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: CallOutcome,
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// A caller of one node.
#[derive(Clone, Debug)]
pub struct InventoryCaller {
    pub address: SocketAddr,
    pub style: ConnectionStyle,
    pub kind: RequestKind,
}

impl InventoryCaller {
    /// Sends requests until a connection is refused, and returns them in order.
    pub fn call_until_gone(&self) -> Vec<SentRequest> {
        let mut requests = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, READ_TIMEOUT) {
            // A connection that was reset when the listener closed may fail here already.
            if stream.set_read_timeout(Some(READ_TIMEOUT)).is_err()
                || stream.set_nodelay(true).is_err()
            {
                continue;
            }
            let mut connection = CallerConnection {
                stream,
                received: Vec::new(),
                is_slow: self.style == ConnectionStyle::SlowReader,
                is_closing: false,
            };
            let mut pending = VecDeque::new();
            while self.use_connection(&mut connection, &mut pending, &mut requests) {}
            let outcome = if connection.is_closing {
                CallOutcome::Dropped
            } else {
                CallOutcome::NoAnswer
            };
            for (text, sent) in pending {
                self.record(text, sent, outcome.clone(), &mut requests);
            }
        }
        requests
    }

    /// Sends the next requests on a connection and reads one response. Returns whether to use the connection again.
    fn use_connection(
        &self,
        connection: &mut CallerConnection,
        pending: &mut VecDeque<(String, Instant)>,
        requests: &mut Vec<SentRequest>,
    ) -> bool {
        if self.style == ConnectionStyle::Idle {
            thread::sleep(IDLE_PAUSE);
        }
        let missing = match self.style {
            ConnectionStyle::Pipelined if pending.is_empty() => 2,
            ConnectionStyle::Pipelined => 0,
            // Always sends one request while the previous response is on its way.
            ConnectionStyle::SlowReader => 2 - pending.len(),
            _ => 1,
        };
        for _ in 0..missing {
            let text = self.new_text();
            let message = self.request_message(&text);
            let sent = Instant::now();
            // A failed write is no outcome: the response may have arrived before.
            let _ = connection.stream.write_all(&message);
            pending.push_back((text, sent));
        }
        let Some((text, sent)) = pending.pop_front() else {
            return false;
        };
        let (outcome, may_continue) = match connection.read_response() {
            Ok(response) => (self.classify(&text, response), !connection.is_closing),
            Err(0) => (CallOutcome::NoAnswer, false),
            Err(received) => (CallOutcome::Cut(received), false),
        };
        if outcome != CallOutcome::Served {
            thread::sleep(REFUSAL_PAUSE);
        }
        self.record(text, sent, outcome, requests);
        may_continue && self.style != ConnectionStyle::Fresh
    }

    fn record(
        &self,
        text: String,
        sent: Instant,
        outcome: CallOutcome,
        requests: &mut Vec<SentRequest>,
    ) {
        requests.push(SentRequest {
            text,
            style: self.style,
            kind: self.kind.clone(),
            sent,
            ended: Instant::now(),
            outcome,
        });
    }

    fn new_text(&self) -> String {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let mut text = format!("stop {number} ");
        if self.style == ConnectionStyle::SlowReader {
            text.push_str(&"x".repeat(LARGE_BODY_BYTES));
        }
        text
    }

    fn request_message(&self, text: &str) -> Vec<u8> {
        let (path, body, headers) = match &self.kind {
            RequestKind::Completion { tokens, stream } => {
                let body = json!({
                    "model": "reminder",
                    "prompt": text,
                    "max_tokens": tokens,
                    "stream": stream,
                });
                ("/v1/completions", body.to_string(), String::new())
            }
            RequestKind::Call => ("/v1/services/promises/record", text.into(), String::new()),
            RequestKind::KeyedCall { home } => {
                let key = text.trim().replace(' ', "-");
                let headers = format!(
                    "Idempotency-Key: {key}\r\nJaysaddle-Home: {home}\r\nJaysaddle-Idempotent: false\r\n"
                );
                ("/v1/services/promises/record", text.into(), headers)
            }
        };
        format!(
            "POST {path} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer lender-a-key\r\n{headers}\
             Content-Length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        )
        .into_bytes()
    }

    fn classify(&self, text: &str, response: TestResponse) -> CallOutcome {
        if response.status != 200 {
            return match (response.verdict(), response.reason()) {
                ("", _) | (_, "") => CallOutcome::Wrong(response.text),
                (verdict, reason) => CallOutcome::Refused(verdict.into(), reason.into()),
            };
        }
        let RequestKind::Completion { tokens, stream } = self.kind else {
            return if response.json["request"] == text {
                CallOutcome::Served
            } else {
                CallOutcome::Wrong(response.text)
            };
        };
        match classify_response(&Ok(response), text, tokens, stream) {
            CallerOutcome::Complete => CallOutcome::Served,
            CallerOutcome::Refused(verdict, reason) => CallOutcome::Refused(verdict, reason),
            CallerOutcome::Broken => {
                let expected = expected_text(&ModelId::new("reminder"), text, tokens);
                CallOutcome::Wrong(format!("a stream without an end, expected {expected}"))
            }
            CallerOutcome::Wrong(text) => CallOutcome::Wrong(text),
        }
    }
}

/// A connection with the bytes that were received and not yet used.
struct CallerConnection {
    stream: TcpStream,
    received: Vec<u8>,
    is_slow: bool,
    /// Whether a response told the caller to close the connection.
    is_closing: bool,
}

impl CallerConnection {
    /// Reads more bytes; fails at the end of the connection.
    fn read_more(&mut self) -> io::Result<()> {
        let mut buffer = vec![
            0;
            if self.is_slow {
                SLOW_READ_BYTES
            } else {
                READ_BYTES
            }
        ];
        if self.is_slow {
            thread::sleep(SLOW_READ_PAUSE);
        }
        match self.stream.read(&mut buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.received.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }

    /// Reads a response. Fails with the number of bytes that were received.
    fn read_response(&mut self) -> Result<TestResponse, usize> {
        let head = match self.read_until(b"\r\n\r\n") {
            Ok(head) => String::from_utf8_lossy(&head).into_owned(),
            Err(_) => return Err(self.received.len()),
        };
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (field, value) = line.split_once(':')?;
                field.eq_ignore_ascii_case(name).then(|| value.trim())
            })
        };
        let is_chunked = header("Transfer-Encoding").is_some_and(|value| value == "chunked");
        let length = header("Content-Length").and_then(|value| value.parse().ok());
        let body = if is_chunked {
            self.read_chunks()
        } else {
            self.read_exactly(length.unwrap_or(0))
        };
        let body = body.map_err(|_| head.len() + self.received.len())?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
        let response = TestResponse {
            status: status.unwrap_or(0),
            json: serde_json::from_str(&text).unwrap_or(Value::Null),
            retry_after: header("Retry-After").map(str::to_owned),
            text,
        };
        self.is_closing =
            header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Ok(response)
    }

    fn read_until(&mut self, mark: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self
                .received
                .windows(mark.len())
                .position(|bytes| bytes == mark);
            if let Some(start) = found {
                return Ok(self.received.drain(..start + mark.len()).collect());
            }
            self.read_more()?;
        }
    }

    fn read_exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.received.len() < count {
            self.read_more()?;
        }
        Ok(self.received.drain(..count).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_until(b"\r\n")?;
            let line = String::from_utf8_lossy(&line).into_owned();
            let count = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let data = self.read_exactly(count + 2)?;
            if count == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&data[..count]);
        }
    }
}
