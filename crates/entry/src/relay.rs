//! Relays an event stream to its caller, and resumes it at another group when its backend server fails.
//!
//! A stream whose backend server is silent is also begun at another group, after the last event that its caller has received. The
//! first attempt to send the next event goes on, and the others end. Only a fact ends the last attempt: its connection fails, or the time
//! of the request is up.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::Response;
use http_body_util::StreamBody;
use hyper::body::Frame;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::silence::DataWait;
use jaysaddle_types::serving::RequestKind;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::attempt::ActiveAttempt;
use crate::caller_request::CallerRequest;
use crate::caller_request::strip_connection_headers;
use crate::content_control::is_blocked;
use crate::forward::OpenRequest;
use crate::node::EntryNode;
use crate::request_report::RequestReport;
use crate::response::CallerResponse;
use crate::response::ResponseBody;
use crate::send_race::MIN_RETRY_TIME;
use crate::send_race::send_with_retries;
use crate::silence::REPLACEMENT_RETRY_DELAY;
use crate::silence::STALL_CHECK_INTERVAL;
use crate::silence::SilenceEnd;
use crate::stream_attempt::StreamAttempt;
use crate::stream_attempt::StreamRead;

/// Minimum remaining time for a stream to resume at another group, which has to process the prompt again.
const MIN_RESUME_TIME: TimeSpan = TimeSpan(400);

/// Time after the end of a request's time in which data that is ready is still delivered.
const MAX_LATE_TIME: TimeSpan = TimeSpan(100);

/// Attempt whose response headers are awaited; fails with the reason.
type StartingAttempt = Pin<Box<dyn Future<Output = Result<Box<ActiveAttempt>, String>>>>;

/// Event stream that is being relayed to a caller.
pub struct StreamRelay {
    node: Rc<EntryNode>,
    request: Rc<CallerRequest>,
    report: RequestReport,
    /// Attempts that go on after the last event that the caller has received. All but one are silent, or have just begun.
    attempts: Vec<StreamAttempt>,
    /// Attempt that begins beside the others, or in place of those that have failed.
    starting: Option<StartingAttempt>,
    /// Id of the last event that the caller has received; `None` before the first event with an id.
    last_event: Option<u64>,
    /// Time until which no replacement of a silent attempt is tried.
    next_replacement: Timestamp,
    /// Why the last attempt has failed, or been replaced.
    cause: String,
    /// Why the last start of an attempt has failed; `None` if none has.
    refusal: Option<String>,
    /// When the time of the request was up; `None` before.
    expired: Option<Timestamp>,
    /// Whether no other group accepts the stream and no attempt is left.
    is_given_up: bool,
    /// Counts the request as open until the stream has ended.
    _open: OpenRequest,
}

/// What a relay has waited for.
enum RelayEvent {
    /// The attempt with this position was read.
    Read(usize, StreamRead),
    /// The headers of the starting attempt have arrived, or it has failed.
    Started(Result<Box<ActiveAttempt>, String>),
    /// No data arrived until the next check.
    Quiet,
    /// The time of the request is up.
    TimeUp,
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
        let last_event = request.last_event;
        let attempt = StreamAttempt::new(&node, attempt, last_event, false);
        Self {
            node,
            request: Rc::new(request),
            report,
            attempts: vec![attempt],
            starting: None,
            last_event,
            next_replacement: Timestamp(0),
            cause: String::new(),
            refusal: None,
            expired: None,
            is_given_up: false,
            _open: open,
        }
    }

    /// Builds the response: the headers of the first backend server, and a body of the events as they arrive.
    pub fn into_response(self) -> CallerResponse {
        let mut response = Response::new(());
        if let Some(attempt) = self.attempts.first() {
            *response.status_mut() = attempt.response().status();
            *response.headers_mut() = attempt.response().headers().clone();
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

    /// Next complete events for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            if let Some(events) = self.release_withheld() {
                return Some(Ok(events));
            }
            if is_blocked(&self.node, &self.request) {
                self.withdraw_unbegun();
            }
            self.start_if_needed();
            if self.attempts.is_empty() && self.starting.is_none() {
                return Some(Err(self.break_off()));
            }
            match self.wait().await {
                RelayEvent::Read(position, read) => match self.handle_read(position, read) {
                    Some(ready) => return Some(Ok(ready)),
                    None if self.is_complete() => return None,
                    None => {}
                },
                RelayEvent::Started(result) => self.handle_start(result),
                RelayEvent::Quiet => {}
                RelayEvent::TimeUp => self.end_for_time(),
            }
            // Bytes that complete no event do not end a silence.
            self.check_silence();
        }
    }

    /// Whether the stream has ended as it should.
    fn is_complete(&self) -> bool {
        self.report.is_finished()
    }

    /// Starts an attempt at another group if all attempts are silent or have failed, and the request allows another one.
    fn start_if_needed(&mut self) {
        let is_needed = self.attempts.iter().all(StreamAttempt::is_silent);
        let is_delayed = !self.attempts.is_empty() && clock::now() < self.next_replacement;
        let is_possible = !self.is_given_up && self.may_resume();
        if !is_needed || is_delayed || self.starting.is_some() || !is_possible {
            return;
        }
        let (node, request) = (self.node.clone(), self.request.clone());
        let (sends, last_event) = (self.report.sends.clone(), self.last_event);
        self.starting = Some(Box::pin(async move {
            let attempt = send_with_retries(&node, &request, &sends, last_event)
                .await
                .map_err(|failure| failure.reason.to_string())?;
            let status = attempt.response.status();
            if !status.is_success() {
                attempt.guard.finish(TargetOutcome::Failed);
                return Err(format!("status {}", status.as_u16()));
            }
            Ok(Box::new(attempt))
        }));
    }

    /// Ends the attempts that have not begun to be answered, because they would end their backend servers.
    fn withdraw_unbegun(&mut self) {
        self.starting = None;
        self.is_given_up = true;
        let attempts = std::mem::take(&mut self.attempts);
        for attempt in attempts {
            if attempt.has_begun() {
                self.attempts.push(attempt);
            } else {
                attempt.withdraw(&self.request.id);
                self.cause = "content_blocked".to_owned();
            }
        }
    }

    /// Whether the stream may go on at another group.
    fn may_resume(&self) -> bool {
        let rule = &self.request.route.rule;
        let is_resumable = matches!(
            rule.kind,
            RequestKind::Stream {
                is_resumable: true,
                ..
            }
        );
        let min_time = MIN_RESUME_TIME.max(MIN_RETRY_TIME);
        is_resumable
            && self.report.sends.runs() < rule.max_attempts
            && self.request.time_left() >= min_time
    }

    /// Waits for data, for the start of an attempt, or for the next check.
    async fn wait(&mut self) -> RelayEvent {
        let remaining = self.request.time_left();
        let planned = STALL_CHECK_INTERVAL.min(remaining);
        if remaining.0 == 0 {
            let expired = *self.expired.get_or_insert_with(clock::now);
            if clock::now().since(expired) >= MAX_LATE_TIME {
                return RelayEvent::TimeUp;
            }
            // Data that is ready is delivered, because this process may have been paused. The task that reads it runs first.
            yield_now().await;
        }
        let began = clock::now();
        let event = timeout(planned.as_duration(), poll_fn(|cx| self.poll_event(cx))).await;
        let wait = DataWait {
            planned,
            actual: clock::now().since(began),
        };
        for attempt in &mut self.attempts {
            attempt.record_wait(wait);
        }
        event.unwrap_or(if remaining.0 == 0 {
            RelayEvent::TimeUp
        } else {
            RelayEvent::Quiet
        })
    }

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<RelayEvent> {
        for (position, attempt) in self.attempts.iter_mut().enumerate() {
            if let Poll::Ready(read) = attempt.poll_read(context) {
                return Poll::Ready(RelayEvent::Read(position, read));
            }
        }
        if let Some(starting) = &mut self.starting {
            return starting.as_mut().poll(context).map(RelayEvent::Started);
        }
        Poll::Pending
    }

    /// Handles what was read from an attempt. Returns complete events.
    fn handle_read(&mut self, position: usize, read: StreamRead) -> Option<Bytes> {
        let failure = match read {
            StreamRead::Data(data) => match self.attempts[position].push(&data) {
                Ok(ready) if ready.is_empty() => return None,
                Ok(ready) => return self.accept_events(position, ready),
                Err(failure) => failure,
            },
            StreamRead::End if !self.attempts[position].has_partial() => {
                if !self.attempts[position].record_end() {
                    self.complete(position);
                }
                return None;
            }
            StreamRead::End => "ended inside an event".to_owned(),
            StreamRead::Other => return None,
            StreamRead::Broken(failure) => failure,
        };
        self.fail(position, failure);
        None
    }

    /// Forwards events of an attempt, unless it was silent and another attempt is under way that may be faster.
    fn accept_events(&mut self, position: usize, events: Bytes) -> Option<Bytes> {
        let has_rival = self.starting.is_some() || self.attempts.len() > 1;
        let attempt = &mut self.attempts[position];
        let events = if has_rival && attempt.is_silent() {
            attempt.withhold(&events, &self.node)?
        } else {
            events
        };
        self.go_on_with(position);
        Some(events)
    }

    /// Withheld events that are forwarded now, because no other attempt has brought them sooner, or the time is up.
    fn release_withheld(&mut self) -> Option<Bytes> {
        let has_rival = self.starting.is_some() || self.attempts.len() > 1;
        let is_alone = !has_rival || self.request.time_left().0 == 0;
        let mut attempts = self.attempts.iter_mut().enumerate();
        let (position, events) = attempts.find_map(|(position, attempt)| {
            let events = attempt.release(is_alone);
            Some((position, events?))
        })?;
        self.go_on_with(position);
        Some(events)
    }

    /// Lets the attempt that has sent events go on alone.
    fn go_on_with(&mut self, position: usize) {
        let mut attempt = self.attempts.swap_remove(position);
        self.starting = None;
        for other in self.attempts.drain(..) {
            self.cause = other.replace(&self.request.id);
        }
        let now = clock::now();
        self.report.record_data(now);
        if attempt.is_first_of_resumed() {
            self.report.resumes += 1;
            metrics::counter!("jaysaddle_streams_resumed_total").increment(1);
            log::info!(
                "event=stream_resumed request={} last_event={:?} backend={} cause=\"{}\"",
                self.request.id,
                self.last_event,
                attempt.target().backend,
                self.cause
            );
        }
        attempt.record_progress(&self.request.id, now);
        self.report.sends.record_forwarded(attempt.target().number);
        self.last_event = attempt.last_event();
        self.attempts.push(attempt);
    }

    /// Ends the stream with the end of an attempt.
    fn complete(&mut self, position: usize) {
        let attempt = self.attempts.swap_remove(position);
        for other in self.attempts.drain(..) {
            other.replace(&self.request.id);
        }
        self.report.sends.record_forwarded(attempt.target().number);
        self.report
            .finish_answered(attempt.response().status().as_u16());
        attempt.complete(&self.node);
    }

    /// Removes an attempt that has failed.
    fn fail(&mut self, position: usize, failure: String) {
        let attempt = self.attempts.swap_remove(position);
        attempt.fail(&self.node, &self.request.id);
        self.cause = failure;
    }

    /// Handles the response headers, or the failure, of the starting attempt.
    fn handle_start(&mut self, result: Result<Box<ActiveAttempt>, String>) {
        self.starting = None;
        match result {
            Ok(attempt) => {
                let attempt = StreamAttempt::new(&self.node, *attempt, self.last_event, true);
                self.attempts.push(attempt);
            }
            Err(reason) => {
                log::info!(
                    "event=no_replacement request={} reason=\"{reason}\" others={}",
                    self.request.id,
                    self.attempts.len()
                );
                self.next_replacement = clock::now() + REPLACEMENT_RETRY_DELAY;
                self.is_given_up = self.attempts.is_empty();
                self.refusal = Some(reason);
            }
        }
    }

    /// Looks for attempts that are silent, if they could be replaced.
    fn check_silence(&mut self) {
        if !self.may_resume() {
            return;
        }
        for attempt in &mut self.attempts {
            attempt.check_silence(&self.node, &self.request.id);
        }
    }

    /// Ends all attempts because the time of the request is up.
    fn end_for_time(&mut self) {
        self.starting = None;
        for attempt in self.attempts.drain(..) {
            attempt.end_for_time(&self.request.id);
        }
        self.cause = "time is up".to_owned();
    }

    /// Reports that the stream ends before its end.
    fn break_off(&mut self) -> io::Error {
        if let Some(refusal) = &self.refusal {
            self.cause = format!("{}; resume: {refusal}", self.cause);
        }
        metrics::counter!("jaysaddle_streams_broken_total").increment(1);
        log::info!(
            "event=stream_broken request={} last_event={:?} cause=\"{}\"",
            self.request.id,
            self.last_event,
            self.cause
        );
        self.report.finish_cut();
        io::Error::other(self.cause.clone())
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        for attempt in &self.attempts {
            attempt.report_end(&self.request.id, SilenceEnd::RequestEnded);
        }
    }
}
