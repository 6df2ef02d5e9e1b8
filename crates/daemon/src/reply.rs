//! HTTP responses to callers and operators.

use std::io::Read;
use std::io::Write;

use compact_str::CompactString;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::verdict::Verdict;
use serde::Serialize;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::StatusCode;

/// Content type of JSON responses.
pub const JSON: &str = "application/json";

/// Content type of streamed responses.
pub const EVENT_STREAM: &str = "text/event-stream";

/// What becomes of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// The caller may send further requests.
    Keep,
    /// The caller is told to close the connection.
    Close,
}

fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}

/// Value of a request header; the name is compared case-insensitively.
pub fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str())
}

/// Sends a response with a body. A disconnected caller is not an error.
pub fn respond(request: Request, status: u16, content_type: &str, body: &[u8]) {
    respond_with(request, status, content_type, body, &[]);
}

/// Sends a response with a body and additional headers.
pub fn respond_with(
    request: Request,
    status: u16,
    content_type: &str,
    body: &[u8],
    headers: &[(&str, &str)],
) {
    let mut response = Response::from_data(body).with_status_code(status);
    let all = [("Content-Type", content_type)];
    for (name, value) in all.iter().chain(headers) {
        if let Some(header) = header(name, value) {
            response.add_header(header);
        }
    }
    if let Err(error) = request.respond(response) {
        log::debug!("caller disconnected before its response: {error}");
    }
}

/// Sends a response that tells the caller to close the connection. `tiny_http` does not send the header for that, so the
/// response is written to the raw connection.
fn respond_and_close(
    request: Request,
    status: u16,
    content_type: &str,
    body: &[u8],
    headers: &[(&str, &str)],
) {
    let phrase = StatusCode(status).default_reason_phrase();
    let mut response = format!(
        "HTTP/1.1 {status} {phrase}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nConnection: close\r\n",
        body.len()
    )
    .into_bytes();
    for (name, value) in headers {
        response.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    response.extend_from_slice(b"\r\n");
    response.extend_from_slice(body);
    let mut writer = request.into_writer();
    let written = writer.write_all(&response).and_then(|()| writer.flush());
    if let Err(error) = written {
        log::debug!("caller disconnected before its response: {error}");
    }
}

/// Sends a JSON response; status 500 when `value` cannot be serialized.
pub fn respond_json<T: Serialize>(request: Request, status: u16, value: &T) {
    match serde_json::to_vec(value) {
        Ok(body) => respond(request, status, JSON, &body),
        Err(error) => respond(
            request,
            500,
            JSON,
            format!("{{\"error\":\"{error}\"}}").as_bytes(),
        ),
    }
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: &'a RequestRefusal,
}

/// Serializes a refusal as the JSON body of an error response.
pub fn refusal_json(refusal: &RequestRefusal) -> String {
    serde_json::to_string(&RefusalBody { error: refusal }).unwrap_or_else(|_| "{}".to_owned())
}

/// Increments the refusal counter by reason and verdict.
pub fn count_refusal(refusal: &RequestRefusal) {
    metrics::counter!(
        "jaysaddle_refusals_total",
        "reason" => refusal.reason.as_str(),
        "verdict" => verdict_label(refusal.verdict)
    )
    .increment(1);
}

fn verdict_label(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NotRun => "not_run",
        Verdict::MayHaveRun => "may_have_run",
        Verdict::Ran => "ran",
    }
}

/// Sends a refusal and counts it.
pub fn respond_refusal(request: Request, refusal: &RequestRefusal, after: AfterResponse) {
    count_refusal(refusal);
    let body = refusal_json(refusal);
    let status = refusal.reason.http_status();
    // The header has a resolution of seconds; the body carries the exact time.
    let seconds = refusal
        .retry_after_ms
        .map(|span| span.0.div_ceil(1000).to_string());
    let headers: Vec<_> = seconds
        .iter()
        .map(|seconds| ("Retry-After", seconds.as_str()))
        .collect();
    match after {
        AfterResponse::Keep => respond_with(request, status, JSON, body.as_bytes(), &headers),
        AfterResponse::Close => respond_and_close(request, status, JSON, body.as_bytes(), &headers),
    }
}

/// Refuses a malformed request with the reason `invalid_request`.
pub fn respond_invalid(request: Request, message: impl Into<CompactString>, after: AfterResponse) {
    let refusal = RequestRefusal::not_run(ReasonCode::InvalidRequest, message);
    respond_refusal(request, &refusal, after);
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Fails with a refusal when the body is too large, truncated or not received in time.
pub fn read_body(request: &mut Request, limit: u64) -> Result<Vec<u8>, RequestRefusal> {
    let too_large = || {
        let message = compact_str::format_compact!("the body exceeds {limit} bytes");
        RequestRefusal::not_run(ReasonCode::TooLarge, message)
    };
    let expected = request.body_length();
    if expected.is_some_and(|length| u64::try_from(length).unwrap_or(u64::MAX) > limit) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let read = request.as_reader().take(limit + 1).read_to_end(&mut body);
    if u64::try_from(body.len()).unwrap_or(u64::MAX) > limit {
        return Err(too_large());
    }
    let complete = read.is_ok() && expected.is_none_or(|length| length == body.len());
    if complete {
        Ok(body)
    } else {
        Err(RequestRefusal::not_run(
            ReasonCode::InvalidRequest,
            "the body ended before its stated length",
        ))
    }
}

/// Streamed response with chunked transfer encoding; each event is flushed immediately.
///
/// `tiny_http` buffers a response of unknown length until its end, so the response head and the
/// chunks are written to the raw connection here.
pub struct StreamReply {
    writer: Box<dyn Write + Send>,
}

impl StreamReply {
    /// Sends the response head with status 200.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub fn start(request: Request) -> std::io::Result<Self> {
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: {EVENT_STREAM}\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        )?;
        Ok(Self { writer })
    }

    /// Sends one server-sent event.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub fn send_event(&mut self, data: &str) -> std::io::Result<()> {
        const FRAME: usize = "data: \n\n".len();
        let length = data.len() + FRAME;
        write!(self.writer, "{length:x}\r\ndata: {data}\n\n\r\n")?;
        self.writer.flush()
    }

    /// Sends the final chunk, which ends the response.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub fn finish(mut self) -> std::io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
