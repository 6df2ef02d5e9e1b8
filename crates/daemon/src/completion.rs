//! Completions: the caller's request body, the engine's stream and the response.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compact_str::CompactString;
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

use crate::assembler::ChunkAssembler;
use crate::assembler::ChunkOutcome;
use crate::clock;
use crate::reply;
use crate::reply::EVENT_STREAM;
use crate::reply::JSON;
use crate::reply::StreamReply;
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
    /// Reassembly of the current attempt; `None` before the first attempt.
    pub assembler: Option<ChunkAssembler>,
    /// Time at which the current attempt was sent.
    pub sent: Timestamp,
    /// Arrival time of the first token of the current attempt.
    pub first_token: Option<Timestamp>,
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

    fn record_first_token(&mut self, now: Timestamp) {
        if self.first_token.is_none() {
            self.first_token = Some(now);
            let span = now.since(self.arrived).as_duration();
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

    fn broken(&self, resumable: bool) -> AttemptOutcome {
        AttemptOutcome::Broken {
            received: self.assembler.as_ref().map_or(0, ChunkAssembler::tokens),
            delivered: self.stream.is_some(),
            resumable,
        }
    }

    /// Handles a chunk; returns `None` while the completion continues.
    fn handle_chunk(
        &mut self,
        chunk: jaysaddle_types::engine::TokenChunk,
    ) -> Option<AttemptOutcome> {
        let assembler = self.assembler.as_mut()?;
        let before = assembler.tokens();
        let text = match assembler.push(chunk) {
            ChunkOutcome::Text(text) => text,
            ChunkOutcome::Unrelated => {
                log::warn!(
                    "request={} dropped a chunk of another request or attempt",
                    self.id
                );
                return None;
            }
            ChunkOutcome::Inconsistent => {
                log::warn!(
                    "request={} received inconsistent completion chunks",
                    self.id
                );
                return Some(self.broken(true));
            }
        };
        let tokens = assembler.tokens();
        let finish = assembler.finish();
        metrics::counter!("jaysaddle_tokens_total").increment(u64::from(tokens - before));
        if tokens > 0 {
            self.record_first_token(clock::now());
        }
        if !self.forward_text(&text) {
            return Some(AttemptOutcome::CallerDisconnected);
        }
        match finish {
            None => None,
            // An empty or cancelled completion must not be delivered as a response.
            Some(FinishReason::Cancelled) => Some(self.broken(false)),
            Some(_) if tokens == 0 => Some(self.broken(false)),
            Some(finish) => Some(self.completed(finish)),
        }
    }

    fn completed(&self, finish: FinishReason) -> AttemptOutcome {
        let Some(assembler) = &self.assembler else {
            return self.broken(false);
        };
        let first_token = self.first_token.unwrap_or(self.sent);
        AttemptOutcome::Completed {
            response: self.stored_response(assembler.text(), finish, assembler.tokens()),
            first_token: first_token.since(self.sent),
            cached_tokens: TokenCount(assembler.cached_tokens()),
        }
    }

    /// The deadline of the request, or the end of the node's stop if that is earlier.
    fn current_deadline(&self) -> Timestamp {
        self.deadline.min(self.shared.stop_deadline())
    }

    /// Timeout for the next chunk: the token timeout, limited by the deadline.
    fn next_chunk_timeout(&self, now: Timestamp) -> TimeSpan {
        let timing = &self.shared.settings.timing;
        let timeout = if self.first_token.is_some() {
            timing.token_timeout
        } else {
            timing.first_token_timeout
        };
        timeout.min(self.current_deadline().since(now))
    }

    fn read_stream(&mut self, items: &flume::Receiver<StreamItem>) -> AttemptOutcome {
        loop {
            let timeout = self.next_chunk_timeout(clock::now());
            match items.recv_timeout(timeout.as_duration()) {
                Ok(StreamItem::Chunk(chunk)) => {
                    if let Some(outcome) = self.handle_chunk(chunk) {
                        return outcome;
                    }
                }
                Ok(StreamItem::NotSent) => return AttemptOutcome::NotSent,
                Ok(StreamItem::Refused(refusal)) => return AttemptOutcome::Refused(refusal),
                Ok(StreamItem::Ended) | Err(flume::RecvTimeoutError::Disconnected) => {
                    return self.broken(true);
                }
                Err(flume::RecvTimeoutError::Timeout) => {
                    return if clock::now() >= self.current_deadline() {
                        AttemptOutcome::DeadlineExceeded
                    } else {
                        self.broken(true)
                    };
                }
            }
        }
    }
}

impl RequestRunner for CompletionRunner<'_> {
    fn run(&mut self, spec: &AttemptSpec) -> AttemptOutcome {
        let now = clock::now();
        let Some(completion) = self.engine_completion(spec, now) else {
            return AttemptOutcome::NotSent;
        };
        if spec.resume_at.is_some() {
            if let Some(assembler) = &mut self.assembler {
                assembler.resume();
            }
        } else {
            self.sent = now;
            self.first_token = None;
            self.assembler = Some(ChunkAssembler::new(self.id.clone(), spec.attempt));
        }
        let items = self
            .shared
            .engine
            .start_completion(spec.address, completion);
        let outcome = self.read_stream(&items);
        if matches!(
            outcome,
            AttemptOutcome::DeadlineExceeded | AttemptOutcome::CallerDisconnected
        ) {
            self.shared.engine.cancel(spec.address, &self.id);
        }
        outcome
    }

    fn complete(mut self: Box<Self>, response: &StoredResponse) {
        let finish = self.assembler.as_ref().and_then(ChunkAssembler::finish);
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
