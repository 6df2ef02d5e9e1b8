//! HTTP client of model engines and plain services.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::thread;

use jaysaddle_types::answer_status::AnswerStatus;
use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;

use crate::EngineClient;
use crate::ReportFailure;
use crate::ServiceCall;
use crate::ServiceOutcome;
use crate::StreamItem;

/// Stack size of a stream reader thread. One thread runs per stream, and the line buffer and the
/// parser need far less than the default of 2 MiB.
const READER_STACK_BYTES: usize = 128 * 1024;

/// Chunks buffered for a slow caller. When the buffer is full, the reader stops reading from the
/// engine's connection.
const STREAM_BUFFER: usize = 256;

/// Timeout of a cancel call.
const CANCEL_TIMEOUT_SECS: u64 = 1;

/// Header of every call, since `minreq` uses a connection only once. Without it a server would
/// keep the connection open for further requests, and an aborted stream would look stalled
/// instead of ended.
const CLOSE_CONNECTION: (&str, &str) = ("Connection", "close");

/// Reason phrase that `minreq` generates, with status 503, when the connection closes before a
/// response. Treating it as a response would hide that the request may have run.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// HTTP implementation of [`EngineClient`]. It keeps no state and opens a connection per call.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpEngine;

#[derive(Deserialize)]
struct RefusalBody {
    refused: EngineRefusal,
}

/// Converts to the whole seconds that `minreq` expects, rounded up and at least 1.
fn timeout_secs(span: TimeSpan) -> u64 {
    span.as_millis().div_ceil(1000).max(1)
}

fn is_timeout(error: &minreq::Error) -> bool {
    matches!(
        error,
        minreq::Error::IoError(io)
            if matches!(io.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
    )
}

/// The status of an answer; `None` if what was received is none. `minreq` accepts any number, and does not report a missing response
/// as an error.
fn status_of(response: &minreq::Response) -> Option<AnswerStatus> {
    if response.reason_phrase == NO_STATUS_LINE {
        return None;
    }
    let status = AnswerStatus::new(response.status_code);
    status
        .inspect_err(|error| log::warn!("event=odd_status error=\"{error}\""))
        .ok()
}

/// Whether the body of a response is complete. `minreq` does not report a truncated one as an error.
fn is_complete(response: &minreq::Response) -> bool {
    let content_length = response
        .headers("content-length")
        .next()
        .and_then(|text| text.parse::<usize>().ok());
    content_length.is_none_or(|length| length == response.as_bytes().len())
}

/// Whether the error proves that no connection was opened.
fn proves_not_sent(error: &minreq::Error) -> bool {
    matches!(error, minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused)
}

fn read_stream(
    address: SocketAddr,
    completion: &EngineCompletion,
    sender: &flume::Sender<StreamItem>,
) -> Result<(), flume::SendError<StreamItem>> {
    let Ok(body) = serde_json::to_string(completion) else {
        return sender.send(StreamItem::NotSent);
    };
    let result = minreq::post(format!("http://{address}/engine/completions"))
        .with_header("Content-Type", "application/json")
        .with_body(body)
        .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
        .with_timeout(timeout_secs(TimeSpan::from_millis(completion.deadline_ms)))
        .send_lazy();
    let response = match result {
        Ok(response) => response,
        Err(error) if proves_not_sent(&error) => return sender.send(StreamItem::NotSent),
        Err(_) => return sender.send(StreamItem::Ended),
    };
    let status = response.status_code;
    let mut reader = BufReader::with_capacity(4096, response);
    if status == 409 {
        return match serde_json::from_reader::<_, RefusalBody>(reader) {
            Ok(body) => sender.send(StreamItem::Refused(body.refused)),
            Err(_) => sender.send(StreamItem::Ended),
        };
    }
    if status != 200 {
        return sender.send(StreamItem::Ended);
    }
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return sender.send(StreamItem::Ended),
            Ok(_) => {}
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        // A chunk that cannot be parsed ends the stream; the completion is resumed at its offset.
        match serde_json::from_str(data.trim_end()) {
            Ok(chunk) => sender.send(StreamItem::Chunk(chunk))?,
            Err(_) => return sender.send(StreamItem::Ended),
        }
    }
}

impl EngineClient for HttpEngine {
    fn fetch_report(
        &self,
        address: SocketAddr,
        timeout: TimeSpan,
    ) -> Result<EngineReport, ReportFailure> {
        let result = minreq::get(format!("http://{address}/engine/status"))
            .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
            .with_timeout(timeout_secs(timeout))
            .send();
        let response = match result {
            Ok(response) => response,
            Err(error) if is_timeout(&error) => return Err(ReportFailure::Timeout),
            Err(_) => return Err(ReportFailure::Refused),
        };
        if response.reason_phrase == NO_STATUS_LINE {
            return Err(ReportFailure::Refused);
        }
        if status_of(&response).is_none_or(|status| status.code() != 200) {
            return Err(ReportFailure::Invalid);
        }
        serde_json::from_slice(response.as_bytes()).map_err(|_| ReportFailure::Invalid)
    }

    fn send_order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: TimeSpan,
    ) -> Option<OrderOutcome> {
        let body = serde_json::to_string(order).ok()?;
        let response = minreq::post(format!("http://{address}/engine/orders"))
            .with_header("Content-Type", "application/json")
            .with_body(body)
            .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
            .with_timeout(timeout_secs(timeout))
            .send()
            .ok()?;
        // The outcome of an order is unknown without an answer to it.
        status_of(&response)?;
        serde_json::from_slice(response.as_bytes()).ok()
    }

    fn start_completion(
        &self,
        address: SocketAddr,
        completion: EngineCompletion,
    ) -> flume::Receiver<StreamItem> {
        let (sender, receiver) = flume::bounded(STREAM_BUFFER);
        let spawn_failure = sender.clone();
        let spawned = thread::Builder::new()
            .name("engine-stream".into())
            .stack_size(READER_STACK_BYTES)
            .spawn(move || {
                // A send error means that the receiver was dropped; returning
                // closes the connection.
                let _ = read_stream(address, &completion, &sender);
            });
        if spawned.is_err() {
            // Without a reader thread no connection was opened, so nothing was sent.
            let _ = spawn_failure.send(StreamItem::NotSent);
        }
        receiver
    }

    fn cancel(&self, address: SocketAddr, request: &RequestId) {
        let body = serde_json::json!({ "request_id": request }).to_string();
        let outcome = minreq::post(format!("http://{address}/engine/cancel"))
            .with_header("Content-Type", "application/json")
            .with_body(body)
            .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
            .with_timeout(CANCEL_TIMEOUT_SECS)
            .send();
        // If the cancel call is lost, the engine ends the request at its deadline.
        drop(outcome);
    }

    fn call_service(&self, address: SocketAddr, call: &ServiceCall) -> ServiceOutcome {
        let result = minreq::post(format!("http://{address}/{}", call.path))
            .with_header("Content-Type", call.content_type.as_str())
            .with_header("X-Request-Id", call.request_id.as_str())
            .with_body(call.body.as_slice())
            .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
            .with_timeout(timeout_secs(call.timeout))
            .send();
        let response = match result {
            Ok(response) => response,
            Err(error) if proves_not_sent(&error) => return ServiceOutcome::NotSent,
            Err(_) => return ServiceOutcome::Failed,
        };
        match status_of(&response) {
            Some(status) if is_complete(&response) => ServiceOutcome::Responded {
                status,
                content_type: response
                    .headers
                    .iter()
                    .find(|(name, _)| name.eq_ignore_ascii_case("content-type"))
                    .map_or("application/octet-stream", |(_, value)| value.as_str())
                    .into(),
                body: response.into_bytes(),
            },
            Some(_) | None => ServiceOutcome::Failed,
        }
    }
}
