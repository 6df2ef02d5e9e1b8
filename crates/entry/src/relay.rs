//! Relays an event stream to its caller, and resumes it at another group when its backend server fails.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::events::EventBuffer;
use jaysaddle_gateway::events::EventError;
use jaysaddle_types::serving::RequestKind;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::time::timeout;

use crate::attempt::ActiveAttempt;
use crate::attempt::MIN_RETRY_TIME;
use crate::attempt::STALL_CHECK_INTERVAL;
use crate::attempt::is_stalled;
use crate::attempt::send_with_retries;
use crate::byte_budget::HeldBytes;
use crate::caller_request::CallerRequest;
use crate::caller_request::strip_connection_headers;
use crate::forward::OpenRequest;
use crate::node::EntryNode;
use crate::request_report::RequestReport;
use crate::response::CallerResponse;
use crate::response::ResponseBody;
use crate::response_bounds::BoundKind;
use crate::response_bounds::report_bound;
use crate::silence::SilenceFacts;
use crate::silence::report_given_up;

/// Minimum remaining time for a stream to resume at another group, which has to process the prompt again.
const MIN_RESUME_TIME: TimeSpan = TimeSpan(400);

/// Event stream that is being relayed to a caller.
pub struct StreamRelay {
    node: Rc<EntryNode>,
    request: CallerRequest,
    report: RequestReport,
    attempt: Option<ActiveAttempt>,
    events: EventBuffer,
    /// Memory of the incomplete event.
    held: HeldBytes,
    /// When the last complete event arrived, or the present attempt began.
    last_event: Timestamp,
    /// Whether the present attempt has sent a complete event.
    has_events: bool,
    /// Counts the request as open until the stream has ended.
    _open: OpenRequest,
}

/// Result of waiting for data from the backend server.
enum StreamRead {
    Data(Bytes),
    End,
    Broken(String),
}

impl StreamRelay {
    /// Creates a relay for a response whose headers have arrived.
    pub fn new(
        node: Rc<EntryNode>,
        request: CallerRequest,
        report: RequestReport,
        attempt: ActiveAttempt,
        open: OpenRequest,
    ) -> Self {
        let events = EventBuffer::resume_after(request.last_event);
        let held = node.budgets.requests.holder();
        Self {
            node,
            request,
            report,
            attempt: Some(attempt),
            events,
            held,
            last_event: clock::now(),
            has_events: false,
            _open: open,
        }
    }

    /// Builds the response: the headers of the first backend server, and a body of the events as they arrive.
    pub fn into_response(self) -> CallerResponse {
        let mut response = Response::new(());
        if let Some(attempt) = &self.attempt {
            *response.status_mut() = attempt.response.status();
            *response.headers_mut() = attempt.response.headers().clone();
        }
        strip_connection_headers(response.headers_mut());
        let stream = unfold(Some(self), |state| async move {
            let mut relay = state?;
            match relay.next().await {
                Some(Ok(data)) => Some((Ok(Frame::data(data)), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        response.map(|()| Box::pin(StreamBody::new(stream)) as ResponseBody)
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            let cause = match self.read_data().await {
                StreamRead::Data(data) => match self.push(&data) {
                    Ok(ready) if ready.is_empty() => continue,
                    Ok(ready) => {
                        self.record_progress();
                        return Some(Ok(ready));
                    }
                    Err(cause) => cause,
                },
                StreamRead::End if !self.events.has_partial() => {
                    self.complete();
                    return None;
                }
                StreamRead::End => "ended inside an event".to_owned(),
                StreamRead::Broken(cause) => cause,
            };
            if let Err(cause) = self.resume(&cause).await {
                metrics::counter!("jaysaddle_streams_broken_total").increment(1);
                log::info!(
                    "event=stream_broken request={} last_event={:?} cause=\"{cause}\"",
                    self.request.id,
                    self.events.last_id()
                );
                self.report.finish_cut();
                return Some(Err(io::Error::other(cause)));
            }
        }
    }

    /// Appends data and returns the complete events.
    fn push(&mut self, data: &[u8]) -> Result<Bytes, String> {
        let result = self.events.push(data);
        let pending = self.events.pending_bytes();
        let (kind, received, cause) = match (result, self.held.resize(pending)) {
            (Ok(ready), Ok(())) => return Ok(ready),
            // Events that were returned by the buffer would be missing in a resumed stream.
            (Ok(ready), Err(_)) if !ready.is_empty() => return Ok(ready),
            (Ok(_), Err(error)) => (BoundKind::Memory, pending, error.to_string()),
            (Err(error), _) => match error {
                EventError::Gap { .. } => return Err(error.to_string()),
                EventError::TooLong { bytes } | EventError::Repeated { bytes } => {
                    (BoundKind::Event, bytes, error.to_string())
                }
            },
        };
        if let Some(attempt) = &self.attempt {
            let sender = attempt.guard.target.backend.as_str();
            report_bound(sender, kind, received);
        }
        Err(cause)
    }

    /// Waits until data arrives, the stream ends, or the backend server is considered failed.
    async fn read_data(&mut self) -> StreamRead {
        loop {
            let remaining = self.request.time_left();
            if remaining.0 == 0 {
                return StreamRead::Broken("time is up".to_owned());
            }
            if let Some(stall_time) = self.stall_time() {
                self.report_silence(stall_time);
                return StreamRead::Broken(format!("no event for {stall_time}"));
            }
            let Some(attempt) = &mut self.attempt else {
                return StreamRead::Broken("no backend server".to_owned());
            };
            let wait = STALL_CHECK_INTERVAL.min(remaining).as_duration();
            match timeout(wait, attempt.response.body_mut().frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return StreamRead::Data(data);
                    }
                }
                Ok(Some(Err(error))) => return StreamRead::Broken(error.to_string()),
                Ok(None) => return StreamRead::End,
                Err(_) => {}
            }
        }
    }

    /// Time without a complete event, if the stream has stalled and can go on elsewhere.
    fn stall_time(&self) -> Option<TimeSpan> {
        let target = &self.attempt.as_ref()?.guard.target;
        let now = clock::now();
        let stall_time = now.since(self.last_event);
        let has_stalled = is_stalled(&self.node, target, stall_time, self.has_events, now);
        (has_stalled && self.may_resume()).then_some(stall_time)
    }

    fn report_silence(&self, stall_time: TimeSpan) {
        if let Some(attempt) = &self.attempt {
            let target = &attempt.guard.target;
            let facts = SilenceFacts::collect(&self.node, target, stall_time, clock::now());
            let part = if self.has_events {
                "next_event"
            } else {
                "first_event"
            };
            report_given_up(&self.request.id, target.backend.as_str(), part, facts);
        }
    }

    /// Records that a complete event has arrived. Parts of events are no progress: a backend server that has stalled may
    /// send them without end.
    fn record_progress(&mut self) {
        let now = clock::now();
        let pause = self.has_events.then(|| now.since(self.last_event));
        self.report.record_data(now);
        self.last_event = now;
        self.has_events = true;
        if let Some(attempt) = &mut self.attempt {
            attempt.guard.record_progress(pause, now);
        }
    }

    fn may_resume(&self) -> bool {
        let rule = &self.request.route.rule;
        let is_resumable = matches!(
            rule.kind,
            RequestKind::Stream {
                is_resumable: true,
                ..
            }
        );
        is_resumable
            && self.report.runs < rule.max_attempts
            && self.request.time_left() >= MIN_RESUME_TIME
    }

    fn complete(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let keep_alive_timeout = attempt.keep_alive_timeout();
            self.report
                .finish_answered(attempt.response.status().as_u16());
            attempt.guard.finish(TargetOutcome::Answered);
            self.node.pool.put(attempt.connection, keep_alive_timeout);
        }
    }

    /// Resumes at another group, after the last event that the caller has received.
    async fn resume(&mut self, cause: &str) -> Result<(), String> {
        if let Some(attempt) = self.attempt.take() {
            let number = attempt.guard.target.number;
            self.node.gateway.borrow_mut().avoid(number, clock::now());
            attempt.guard.finish(TargetOutcome::Failed);
        }
        if !self.may_resume() || self.request.time_left() < MIN_RETRY_TIME {
            return Err(cause.to_owned());
        }
        self.events.discard_partial();
        self.held.release();
        let last = self.events.last_id();
        let attempt = send_with_retries(&self.node, &self.request, &mut self.report, last)
            .await
            .map_err(|failure| format!("{cause}; resume: {}", failure.reason))?;
        if !attempt.response.status().is_success() {
            let status = attempt.response.status().as_u16();
            attempt.guard.finish(TargetOutcome::Failed);
            return Err(format!("{cause}; resume: status {status}"));
        }
        metrics::counter!("jaysaddle_streams_resumed_total").increment(1);
        log::info!(
            "event=stream_resumed request={} last_event={last:?} backend={} cause=\"{cause}\"",
            self.request.id,
            attempt.guard.target.backend
        );
        self.report.resumes += 1;
        self.last_event = clock::now();
        self.has_events = false;
        self.attempt = Some(attempt);
        Ok(())
    }
}
