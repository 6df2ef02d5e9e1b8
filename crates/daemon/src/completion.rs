//! Completions: the caller's request body, the engine's stream and the response.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compact_str::CompactString;
use jaysaddle_engine::EngineClient;
use jaysaddle_engine::StreamItem;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_reducer::traffic_event::AttemptOutcome;
use jaysaddle_routing::RouteTarget;
use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::units::TokenCount;
use jaysaddle_types::verdict::RequestRefusal;
use serde::Deserialize;
use tiny_http::Request;

use crate::attempt_streams::AttemptStreams;
use crate::attempt_streams::OpenAttempt;
use crate::attempt_streams::StreamProgress;
use crate::clock;
use crate::reply;
use crate::reply::EVENT_STREAM;
use crate::reply::JSON;
use crate::reply::StreamReply;
use crate::request::AttemptEnd;
use crate::request::AttemptSpec;
use crate::request::RequestRunner;
use crate::shared_state::SharedState;

/// Maximum completion length in tokens when a request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Largest `max_tokens` that a request may set.
pub const MAX_TOKENS: u32 = 32_768;

/// Estimated bytes of text per token; the exact count is available only at the engine.
const BYTES_PER_TOKEN: usize = 4;

/// Event that marks the end of a streamed response.
const DONE_MARKER: &str = "[DONE]";

/// Body of `POST /v1/completions`. Fields that jaysaddle does not use are accepted and ignored,
/// since client libraries send many.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// Name of the model to run.
    pub model: ModelId,
    /// Text to complete; must not be empty.
    pub prompt: String,
    /// Maximum completion length in tokens; `None` selects the default length.
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionBody {
    /// Maximum completion length in tokens, with the default applied.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Estimated number of prompt tokens.
    pub fn prompt_tokens(&self) -> TokenCount {
        let tokens = self.prompt.len().div_ceil(BYTES_PER_TOKEN);
        TokenCount(u32::try_from(tokens).unwrap_or(u32::MAX))
    }
}

/// Runs one completion request over all its attempts.
pub struct CompletionRunner<'a> {
    /// The daemon's shared state.
    pub shared: &'a SharedState,
    /// Id assigned by this node.
    pub id: RequestId,
    /// Parsed request body of the caller.
    pub body: CompletionBody,
    /// Priority sent to the engine.
    pub priority: RequestPriority,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Timestamp,
    /// Arrival time, the start of the first-token latency.
    pub arrived: Timestamp,
    /// HTTP request of the caller; `None` once the response has been started.
    pub request: Option<Request>,
    /// Streamed response to the caller; `None` until the first text is forwarded.
    pub stream: Option<StreamReply>,
    /// Streams of the attempts that are open.
    pub streams: AttemptStreams,
    /// Whether the latency to the first token has been recorded.
    pub has_first_token: bool,
}

fn finish_text(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
        FinishReason::Cancelled => "cancelled",
    }
}

fn unix_secs() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

impl CompletionRunner<'_> {
    fn chunk_json(&self, text: &str, finish: Option<FinishReason>) -> String {
        serde_json::json!({
            "id": self.id,
            "object": "text_completion",
            "model": self.body.model,
            "choices": [{
                "index": 0,
                "text": text,
                "finish_reason": finish.map(finish_text),
            }],
        })
        .to_string()
    }

    fn completion_json(&self, text: &str, finish: FinishReason, tokens: u32) -> String {
        let prompt_tokens = self.body.prompt_tokens().0;
        serde_json::json!({
            "id": self.id,
            "object": "text_completion",
            "created": unix_secs(),
            "model": self.body.model,
            "choices": [{
                "index": 0,
                "text": text,
                "finish_reason": finish_text(finish),
            }],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens.saturating_add(tokens),
            },
        })
        .to_string()
    }

    /// Response to store for caller retries, in the format that the caller requested.
    fn stored_response(&self, text: &str, finish: FinishReason, tokens: u32) -> StoredResponse {
        let (content_type, body) = if self.body.stream {
            let chunk = self.chunk_json(text, Some(finish));
            (
                EVENT_STREAM,
                format!("data: {chunk}\n\ndata: {DONE_MARKER}\n\n"),
            )
        } else {
            (JSON, self.completion_json(text, finish, tokens))
        };
        StoredResponse {
            status: 200,
            content_type: content_type.into(),
            body: body.into_bytes().into(),
        }
    }

    /// Forwards text if the caller requested a stream; returns false if the
    /// caller has disconnected.
    fn forward_text(&mut self, text: &str) -> bool {
        if !self.body.stream || text.is_empty() {
            return true;
        }
        if self.stream.is_none() {
            let Some(request) = self.request.take() else {
                return false;
            };
            match StreamReply::start(request) {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => return false,
            }
        }
        let event = self.chunk_json(text, None);
        match &mut self.stream {
            Some(stream) => stream.send_event(&event).is_ok(),
            None => false,
        }
    }

    /// Records the latency to the first token of the first attempt that brings one.
    fn record_first_token(&mut self) {
        let first_token = self.streams.current().and_then(|open| open.first_token);
        if let Some(first_token) = first_token
            && !self.has_first_token
        {
            self.has_first_token = true;
            let span = first_token.since(self.arrived).as_duration();
            metrics::histogram!("jaysaddle_first_token_seconds").record(span.as_secs_f64());
        }
    }

    fn engine_completion(&self, spec: &AttemptSpec, now: Timestamp) -> Option<EngineCompletion> {
        let RouteTarget::Group {
            group, generation, ..
        } = &spec.target
        else {
            return None;
        };
        Some(EngineCompletion {
            request_id: self.id.clone(),
            attempt: spec.attempt,
            group: group.clone(),
            generation: *generation,
            model: self.body.model.clone(),
            prompt: self.body.prompt.clone(),
            max_tokens: self.body.max_tokens(),
            priority: self.priority.level(),
            offset: spec.resume_at.unwrap_or(0),
            resume: spec.resume_at.is_some(),
            deadline_ms: self.deadline.since(now).as_millis(),
        })
    }

    fn received(&self) -> u32 {
        let open = self.streams.current();
        open.map_or(0, |open| open.assembler.tokens())
    }

    fn broken(&self, resumable: bool) -> AttemptOutcome {
        AttemptOutcome::Broken {
            received: self.received(),
            delivered: self.stream.is_some(),
            resumable,
        }
    }

    /// Handles text of the current attempt; returns `None` while the completion continues.
    fn handle_text(&mut self, text: &str, previous: u32) -> Option<AttemptOutcome> {
        let tokens = self.received();
        metrics::counter!("jaysaddle_tokens_total")
            .increment(u64::from(tokens.saturating_sub(previous)));
        self.record_first_token();
        if !self.forward_text(text) {
            return Some(AttemptOutcome::CallerDisconnected);
        }
        let open = self.streams.current()?;
        let finish = open.assembler.finish()?;
        Some(self.completed(open, finish))
    }

    fn completed(&self, open: &OpenAttempt, finish: FinishReason) -> AttemptOutcome {
        let assembler = &open.assembler;
        let first_token = open.first_token.unwrap_or(open.sent);
        AttemptOutcome::Completed {
            response: self.stored_response(assembler.text(), finish, assembler.tokens()),
            first_token: first_token.since(open.sent),
            cached_tokens: TokenCount(assembler.cached_tokens()),
        }
    }

    /// The deadline of the request, or the end of the node's stop if that is earlier.
    fn current_deadline(&self) -> Timestamp {
        self.deadline.min(self.shared.stop_deadline())
    }

    /// Time without a chunk after which the attempt counts as silent, limited by the deadline.
    fn next_chunk_timeout(&self, now: Timestamp) -> TimeSpan {
        let timing = &self.shared.settings.timing;
        let has_token = self
            .streams
            .current()
            .is_some_and(|open| open.first_token.is_some());
        let timeout = if has_token {
            timing.token_timeout
        } else {
            timing.first_token_timeout
        };
        timeout.min(self.current_deadline().since(now))
    }

    fn read_streams(&mut self) -> AttemptOutcome {
        loop {
            let started = clock::now();
            let timeout = self.next_chunk_timeout(started);
            let previous = self.received();
            match self.streams.next(timeout.as_duration(), clock::now) {
                StreamProgress::Text(text) => {
                    if let Some(outcome) = self.handle_text(&text, previous) {
                        return outcome;
                    }
                }
                StreamProgress::Nothing => {}
                StreamProgress::Ended(_, StreamItem::NotSent) => return AttemptOutcome::NotSent,
                StreamProgress::Ended(_, StreamItem::Refused(refusal)) => {
                    return AttemptOutcome::Refused(refusal);
                }
                StreamProgress::Ended(..) => return self.broken(true),
                StreamProgress::Spoiled { resumable, .. } => return self.broken(resumable),
                StreamProgress::Silence if clock::now() >= self.current_deadline() => {
                    return AttemptOutcome::DeadlineExceeded;
                }
                // What arrived during a pause of this process has not been read yet.
                StreamProgress::Silence if clock::was_paused(started, timeout) => {}
                StreamProgress::Silence => {
                    log::info!(
                        "request={} attempt={} brought nothing for {timeout} after {previous} tokens; its streams stay open",
                        self.id,
                        self.streams.current_number()
                    );
                    return AttemptOutcome::Silent {
                        received: self.received(),
                        delivered: self.stream.is_some(),
                    };
                }
            }
        }
    }

    /// Reads the open streams until the current attempt ends or is silent, and returns its number with the outcome.
    fn finish_attempt(&mut self) -> AttemptEnd {
        let outcome = self.read_streams();
        if matches!(
            outcome,
            AttemptOutcome::DeadlineExceeded | AttemptOutcome::CallerDisconnected
        ) {
            for address in self.streams.addresses() {
                self.shared.engine.cancel(address, &self.id);
            }
        }
        AttemptEnd {
            attempt: self.streams.current_number(),
            outcome,
        }
    }
}

impl RequestRunner for CompletionRunner<'_> {
    fn run(&mut self, spec: &AttemptSpec) -> AttemptEnd {
        let now = clock::now();
        let Some(completion) = self.engine_completion(spec, now) else {
            return AttemptEnd {
                attempt: spec.attempt,
                outcome: AttemptOutcome::NotSent,
            };
        };
        let start = |engine: &dyn EngineClient| engine.start_completion(spec.address, completion);
        match spec.resume_at {
            // The silence has ended meanwhile.
            Some(_) if self.streams.select(spec.attempt) && self.streams.has_items() => {}
            Some(_) => {
                metrics::counter!("jaysaddle_stream_resumes_total").increment(1);
                let items = start(self.shared.engine.as_ref());
                self.streams.resume(spec.attempt, items);
            }
            None => {
                let items = start(self.shared.engine.as_ref());
                let id = self.id.clone();
                self.streams
                    .start(id, spec.attempt, spec.address, items, now);
            }
        }
        self.finish_attempt()
    }

    fn await_attempt(&mut self, attempt: u32) -> AttemptEnd {
        if self.streams.select(attempt) {
            return self.finish_attempt();
        }
        AttemptEnd {
            attempt,
            outcome: self.broken(false),
        }
    }

    fn complete(mut self: Box<Self>, response: &StoredResponse) {
        let open = self.streams.current();
        let finish = open.and_then(|open| open.assembler.finish());
        let end = self.chunk_json("", finish);
        match (self.stream.take(), self.request.take()) {
            (Some(mut stream), _) => {
                let ended = stream
                    .send_event(&end)
                    .and_then(|()| stream.send_event(DONE_MARKER))
                    .and_then(|()| stream.finish());
                if let Err(error) = ended {
                    log::debug!(
                        "request={} caller disconnected at the end of the response: {error}",
                        self.id
                    );
                }
            }
            (None, Some(request)) => {
                reply::respond(
                    request,
                    response.status,
                    &response.content_type,
                    &response.body,
                );
            }
            (None, None) => {}
        }
    }

    fn replay(mut self: Box<Self>, response: &StoredResponse) {
        if let Some(request) = self.request.take() {
            reply::respond(
                request,
                response.status,
                &response.content_type,
                &response.body,
            );
        }
    }

    fn refuse(mut self: Box<Self>, refusal: &RequestRefusal) {
        match (self.stream.take(), self.request.take()) {
            // The response head was sent already: end the stream with an error event and without
            // the end marker.
            (Some(mut stream), _) => {
                reply::count_refusal(refusal);
                let sent = stream
                    .send_event(&reply::refusal_json(refusal))
                    .and_then(|()| stream.finish());
                if let Err(error) = sent {
                    log::debug!("request={} caller disconnected: {error}", self.id);
                }
            }
            (None, Some(request)) => {
                reply::respond_refusal(request, refusal, self.shared.after_refusal())
            }
            (None, None) => {}
        }
    }
}

/// Validates the field values of a parsed body.
///
/// # Errors
///
/// Fails with a message that names the invalid field.
pub fn check_body(body: &CompletionBody) -> Result<(), CompactString> {
    if body.prompt.is_empty() {
        return Err("prompt must not be empty".into());
    }
    if !(1..=MAX_TOKENS).contains(&body.max_tokens()) {
        return Err(compact_str::format_compact!(
            "max_tokens must be from 1 to {MAX_TOKENS}"
        ));
    }
    Ok(())
}
