//! One attempt of an event stream: its response, the incomplete event, and how long it has been silent.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body::Body;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::events::EventBuffer;
use jaysaddle_gateway::events::EventError;
use jaysaddle_gateway::silence::DataWait;
use jaysaddle_gateway::silence::SilenceMeter;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_gateway::withheld::WithheldEvents;
use jaysaddle_types::units::Timestamp;

use crate::attempt::ActiveAttempt;
use crate::byte_budget::HeldBytes;
use crate::exchange::ReceivedResponse;
use crate::node::EntryNode;
use crate::response_bounds::BoundKind;
use crate::response_bounds::report_bound;
use crate::silence::AwaitedPart;
use crate::silence::SilenceEnd;
use crate::silence::is_stalled;
use crate::silence::report_silence;
use crate::silence::report_silence_end;

/// What was read from a backend server.
pub enum StreamRead {
    Data(Bytes),
    /// Something that is no data, such as trailers.
    Other,
    End,
    Broken(String),
}

/// Attempt of a stream whose response headers have arrived.
pub struct StreamAttempt {
    attempt: ActiveAttempt,
    events: EventBuffer,
    /// Memory of the incomplete event.
    held: HeldBytes,
    /// Time without a complete event. Parts of events are no progress: a backend server that has stalled may send them
    /// without end.
    silence: SilenceMeter,
    /// Whether the silence is long enough that another attempt is made beside this one.
    is_silent: bool,
    /// Whether a complete event has arrived.
    has_events: bool,
    /// Whether another attempt of the stream came before.
    is_resumed: bool,
    /// Complete events that are not forwarded yet, because the silence may not be over.
    withheld: WithheldEvents,
    /// Whether the response has ended while events were withheld.
    has_ended: bool,
    /// Whether the connection has ended before the response.
    is_broken: bool,
    /// Whether an incomplete event exceeds the memory that all responses may take.
    has_used_up_memory: bool,
}

impl StreamAttempt {
    /// Creates an attempt that goes on after `last_event`.
    pub fn new(
        node: &Rc<EntryNode>,
        attempt: ActiveAttempt,
        last_event: Option<u64>,
        is_resumed: bool,
    ) -> Self {
        Self {
            attempt,
            events: EventBuffer::resume_after(last_event),
            held: node.budgets.requests.holder(),
            silence: SilenceMeter::default(),
            is_silent: false,
            has_events: false,
            is_resumed,
            withheld: WithheldEvents::default(),
            has_ended: false,
            is_broken: false,
            has_used_up_memory: false,
        }
    }

    /// Response of the backend server.
    pub fn response(&self) -> &ReceivedResponse {
        &self.attempt.response
    }

    /// Target of the attempt.
    pub fn target(&self) -> &RequestTarget {
        &self.attempt.guard.target
    }

    /// Whether another attempt is wanted beside this one.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Whether no event had arrived, and the stream had been begun at another target.
    pub fn is_first_of_resumed(&self) -> bool {
        self.is_resumed && !self.has_events
    }

    /// Whether an event has arrived, complete or not.
    pub fn has_begun(&self) -> bool {
        self.has_events || self.events.has_partial() || !self.withheld.is_empty()
    }

    /// Ends the attempt before it has begun, which is no failure of the backend server.
    pub fn withdraw(self, request: &str) {
        self.report_end(request, SilenceEnd::RequestEnded);
        self.attempt.guard.finish(TargetOutcome::Abandoned);
    }

    /// Whether the data ends inside an event.
    pub fn has_partial(&self) -> bool {
        self.events.has_partial()
    }

    /// Id of the last complete event, of this attempt or those before.
    pub fn last_event(&self) -> Option<u64> {
        self.events.last_id()
    }

    /// Reads from the connection.
    pub fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<StreamRead> {
        if self.has_ended {
            return Poll::Ready(StreamRead::End);
        }
        let body = Pin::new(self.attempt.response.body_mut());
        Poll::Ready(match ready!(body.poll_frame(context)) {
            Some(Ok(frame)) => frame
                .into_data()
                .map_or(StreamRead::Other, StreamRead::Data),
            Some(Err(error)) => {
                self.is_broken = true;
                StreamRead::Broken(error.to_string())
            }
            None => {
                self.is_broken = self.events.has_partial();
                StreamRead::End
            }
        })
    }

    /// Appends data and returns the complete events.
    ///
    /// # Errors
    ///
    /// Fails if the data cannot belong to the stream, or exceeds a bound.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, String> {
        let result = self.events.push(data);
        let pending = self.events.pending_bytes();
        let (kind, received, cause) = match (result, self.held.resize(pending)) {
            (Ok(ready), Ok(())) => return Ok(ready),
            // Events that were returned by the buffer would be missing in a resumed stream.
            (Ok(ready), Err(_)) if !ready.is_empty() => return Ok(ready),
            (Ok(_), Err(error)) => (BoundKind::Memory, pending, error.to_string()),
            (Err(error), _) => match error {
                EventError::Gap { .. } | EventError::Foreign => return Err(error.to_string()),
                EventError::TooLong { bytes } | EventError::Repeated { bytes } => {
                    (BoundKind::Event, bytes, error.to_string())
                }
            },
        };
        self.has_used_up_memory = kind == BoundKind::Memory;
        report_bound(self.target().backend.as_str(), kind, received);
        Err(cause)
    }

    /// Withholds events that arrive after a silence while another attempt may bring them sooner.
    ///
    /// Returns the events if the silence has ended.
    pub fn withhold(&mut self, events: &[u8], node: &EntryNode) -> Option<Bytes> {
        let now = clock::now();
        node.gateway
            .borrow_mut()
            .record_data(self.target().number, now);
        let is_over = self.withheld.add(events, self.silence.silent(), now);
        is_over.then(|| self.withheld.take())
    }

    /// Withheld events that need not wait any longer. `is_alone` says that no other attempt may bring them sooner.
    pub fn release(&mut self, is_alone: bool) -> Option<Bytes> {
        let is_due = is_alone || self.has_ended || self.withheld.is_due(clock::now());
        (is_due && !self.withheld.is_empty()).then(|| self.withheld.take())
    }

    /// Records that the response has ended. Returns whether events are still withheld.
    pub fn record_end(&mut self) -> bool {
        self.has_ended = true;
        !self.withheld.is_empty()
    }

    /// Records a wait for data, whether it ended with data or without.
    pub fn record_wait(&mut self, wait: DataWait) {
        self.silence.record(wait);
    }

    /// Records that a complete event has arrived.
    pub fn record_progress(&mut self, request: &str, now: Timestamp) {
        let pause = self.has_events.then(|| self.silence.silent());
        self.attempt.guard.record_progress(pause, now);
        self.has_events = true;
        self.silence.reset();
        if std::mem::take(&mut self.is_silent) {
            report_silence_end(request, self.target(), SilenceEnd::WentOn);
        }
    }

    /// Checks whether the silence is long enough that another attempt is made beside this one.
    pub fn check_silence(&mut self, node: &EntryNode, request: &str) {
        let now = clock::now();
        let silent = self.silence.silent();
        let target = &self.attempt.guard.target;
        if self.is_silent || !is_stalled(node, target, silent, self.has_events, now) {
            return;
        }
        let part = if self.has_events {
            AwaitedPart::NextEvent
        } else {
            AwaitedPart::FirstEvent
        };
        report_silence(node, request, target, part, silent, now);
        self.is_silent = true;
    }

    /// Ends the attempt because another one takes its place. Returns the cause.
    pub fn replace(self, request: &str) -> String {
        self.report_end(request, SilenceEnd::Replaced);
        format!("no event for {}", self.silence.silent())
    }

    /// Ends the attempt because its connection has failed, or its data exceeds a bound.
    pub fn fail(mut self, node: &EntryNode, request: &str) {
        self.report_end(request, SilenceEnd::Failed);
        if self.is_broken {
            self.attempt.guard.record_break();
        }
        let guard = self.attempt.guard;
        if self.has_used_up_memory {
            // The node's lack of memory is no fault of the backend server.
            guard.finish(TargetOutcome::Abandoned);
            return;
        }
        let number = guard.target.number;
        node.gateway.borrow_mut().avoid(number, clock::now());
        // A silence has been counted as a failure already.
        guard.finish(if self.is_silent {
            TargetOutcome::Abandoned
        } else {
            TargetOutcome::Failed
        });
    }

    /// Ends the attempt because the time of the request is up, which is no failure of the backend server.
    pub fn end_for_time(self, request: &str) {
        self.report_end(request, SilenceEnd::TimeUp);
        self.attempt.guard.finish(TargetOutcome::Abandoned);
    }

    /// Reports what came of the attempt, if it is silent.
    pub fn report_end(&self, request: &str, end: SilenceEnd) {
        if self.is_silent {
            report_silence_end(request, self.target(), end);
        }
    }

    /// Ends the attempt after the whole response was read.
    pub fn complete(self, node: &EntryNode) {
        let keep_alive_timeout = self.attempt.keep_alive_timeout();
        let headers = self.attempt.response.headers();
        self.attempt.guard.record_response_end(headers);
        self.attempt.guard.finish(TargetOutcome::Answered);
        node.pool.put(self.attempt.connection, keep_alive_timeout);
    }
}
