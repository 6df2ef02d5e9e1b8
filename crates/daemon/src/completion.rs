//! Completions: the body of a caller, the stream of an engine, the answer.

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

use crate::answer::AnswerAssembler;
use crate::answer::ChunkOutcome;
use crate::clock;
use crate::hub::Hub;
use crate::reply;
use crate::reply::EVENT_STREAM;
use crate::reply::JSON;
use crate::reply::StreamReply;
use crate::request::AttemptOrder;
use crate::request::RequestRunner;

/// Longest answer of a request that names none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Longest answer that a request may ask for, in tokens.
pub const MAX_TOKENS: u32 = 32_768;

/// Bytes of text that make up about one token; the engine counts exactly.
const BYTES_PER_TOKEN: usize = 4;

/// The end of a stream.
const DONE: &str = "[DONE]";

/// Body of `POST /v1/completions`. Fields that jaysaddle does not use are accepted and ignored,
/// since client libraries send many.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// Model.
    pub model: ModelId,
    /// Prompt.
    pub prompt: String,
    /// Longest answer, in tokens.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionBody {
    /// Longest answer, in tokens.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Estimated size of the prompt.
    pub fn prompt_tokens(&self) -> TokenCount {
        let tokens = self.prompt.len().div_ceil(BYTES_PER_TOKEN);
        TokenCount(u32::try_from(tokens).unwrap_or(u32::MAX))
    }
}

/// Serves one completion.
pub struct CompletionRunner<'a> {
    /// Shared state.
    pub hub: &'a Hub,
    /// Id of the request.
    pub id: RequestId,
    /// The caller's body.
    pub body: CompletionBody,
    /// Priority.
    pub priority: RequestPriority,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The caller, until the head of the answer is sent.
    pub request: Option<Request>,
    /// The caller, once the head of a streamed answer is sent.
    pub stream: Option<StreamReply>,
    /// Pieces of the present attempt.
    pub assembler: Option<AnswerAssembler>,
    /// When the present attempt was sent.
    pub sent: Timestamp,
    /// When the first token of the present attempt arrived.
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

    fn whole_json(&self, text: &str, finish: FinishReason, tokens: u32) -> String {
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

    /// The answer as kept for repeats: in the form that the caller asked for.
    fn stored_answer(&self, text: &str, finish: FinishReason, tokens: u32) -> StoredResponse {
        let (content_type, body) = if self.body.stream {
            let chunk = self.chunk_json(text, Some(finish));
            (EVENT_STREAM, format!("data: {chunk}\n\ndata: {DONE}\n\n"))
        } else {
            (JSON, self.whole_json(text, finish, tokens))
        };
        StoredResponse {
            status: 200,
            content_type: content_type.into(),
            body: body.into_bytes().into(),
        }
    }

    /// Passes text to a caller that asked for a stream; false when the caller has gone.
    fn pass_on(&mut self, text: &str) -> bool {
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

    fn note_first_token(&mut self, now: Timestamp) {
        if self.first_token.is_none() {
            self.first_token = Some(now);
            let span = now.since(self.arrived).as_duration();
            metrics::histogram!("jaysaddle_first_token_seconds").record(span.as_secs_f64());
        }
    }

    fn engine_completion(&self, order: &AttemptOrder, now: Timestamp) -> Option<EngineCompletion> {
        let RouteTarget::Group {
            group, generation, ..
        } = &order.target
        else {
            return None;
        };
        Some(EngineCompletion {
            request_id: self.id.clone(),
            attempt: order.attempt,
            group: group.clone(),
            generation: *generation,
            model: self.body.model.clone(),
            prompt: self.body.prompt.clone(),
            max_tokens: self.body.max_tokens(),
            priority: self.priority.level(),
            offset: order.resume_at.unwrap_or(0),
            resume: order.resume_at.is_some(),
            deadline_ms: self.deadline.since(now).as_millis(),
        })
    }

    fn broken(&self, resumable: bool) -> AttemptOutcome {
        AttemptOutcome::Broken {
            received: self.assembler.as_ref().map_or(0, AnswerAssembler::tokens),
            delivered: self.stream.is_some(),
            resumable,
        }
    }

    /// Takes a piece; `None` while the answer goes on.
    fn take_chunk(&mut self, chunk: jaysaddle_types::engine::TokenChunk) -> Option<AttemptOutcome> {
        let assembler = self.assembler.as_mut()?;
        let before = assembler.tokens();
        let text = match assembler.take(chunk) {
            ChunkOutcome::Text(text) => text,
            ChunkOutcome::Foreign => {
                log::warn!(
                    "request={} dropped a piece of another request or attempt",
                    self.id
                );
                return None;
            }
            ChunkOutcome::Inconsistent => {
                log::warn!(
                    "request={} the pieces of its answer do not fit together",
                    self.id
                );
                return Some(self.broken(true));
            }
        };
        let tokens = assembler.tokens();
        let finish = assembler.finish();
        metrics::counter!("jaysaddle_tokens_total").increment(u64::from(tokens - before));
        if tokens > 0 {
            self.note_first_token(clock::now());
        }
        if !self.pass_on(&text) {
            return Some(AttemptOutcome::CallerGone);
        }
        match finish {
            None => None,
            // An empty or cancelled answer is no answer.
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
            answer: self.stored_answer(assembler.text(), finish, assembler.tokens()),
            first_token: first_token.since(self.sent),
            cached_tokens: TokenCount(assembler.cached_tokens()),
        }
    }

    /// Time for which the next piece may take: the token timeout, cut by the deadline.
    fn next_wait(&self, now: Timestamp) -> TimeSpan {
        let timing = &self.hub.settings.timing;
        let silence = if self.first_token.is_some() {
            timing.token_timeout
        } else {
            timing.first_token_timeout
        };
        silence.min(self.deadline.since(now))
    }

    fn read_stream(&mut self, items: &flume::Receiver<StreamItem>) -> AttemptOutcome {
        loop {
            let wait = self.next_wait(clock::now());
            match items.recv_timeout(wait.as_duration()) {
                Ok(StreamItem::Chunk(chunk)) => {
                    if let Some(outcome) = self.take_chunk(chunk) {
                        return outcome;
                    }
                }
                Ok(StreamItem::NotSent) => return AttemptOutcome::NotSent,
                Ok(StreamItem::Refused(refusal)) => return AttemptOutcome::Refused(refusal),
                Ok(StreamItem::Ended) | Err(flume::RecvTimeoutError::Disconnected) => {
                    return self.broken(true);
                }
                Err(flume::RecvTimeoutError::Timeout) => {
                    return if clock::now() >= self.deadline {
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
    fn run(&mut self, order: &AttemptOrder) -> AttemptOutcome {
        let now = clock::now();
        let Some(completion) = self.engine_completion(order, now) else {
            return AttemptOutcome::NotSent;
        };
        if order.resume_at.is_some() {
            if let Some(assembler) = &mut self.assembler {
                assembler.resume();
            }
        } else {
            self.sent = now;
            self.first_token = None;
            self.assembler = Some(AnswerAssembler::new(self.id.clone(), order.attempt));
        }
        let items = self.hub.engine.complete(order.address, completion);
        let outcome = self.read_stream(&items);
        if matches!(
            outcome,
            AttemptOutcome::DeadlineExceeded | AttemptOutcome::CallerGone
        ) {
            self.hub.engine.cancel(order.address, &self.id);
        }
        outcome
    }

    fn complete(mut self: Box<Self>, answer: &StoredResponse) {
        let finish = self.assembler.as_ref().and_then(AnswerAssembler::finish);
        let end = self.chunk_json("", finish);
        match (self.stream.take(), self.request.take()) {
            (Some(mut stream), _) => {
                let ended = stream
                    .send_event(&end)
                    .and_then(|()| stream.send_event(DONE))
                    .and_then(|()| stream.finish());
                if let Err(error) = ended {
                    log::debug!("request={} caller went away at the end: {error}", self.id);
                }
            }
            (None, Some(request)) => {
                reply::respond(request, answer.status, &answer.content_type, &answer.body);
            }
            (None, None) => {}
        }
    }

    fn replay(mut self: Box<Self>, answer: &StoredResponse) {
        if let Some(request) = self.request.take() {
            reply::respond(request, answer.status, &answer.content_type, &answer.body);
        }
    }

    fn refuse(mut self: Box<Self>, refusal: &RequestRefusal) {
        match (self.stream.take(), self.request.take()) {
            // The head is sent: the stream ends with an error event and without an end marker.
            (Some(mut stream), _) => {
                reply::count_refusal(refusal);
                let sent = stream
                    .send_event(&reply::refusal_json(refusal))
                    .and_then(|()| stream.finish());
                if let Err(error) = sent {
                    log::debug!("request={} caller went away: {error}", self.id);
                }
            }
            (None, Some(request)) => reply::respond_refusal(request, refusal),
            (None, None) => {}
        }
    }
}

/// Checks a body beyond its form.
///
/// # Errors
///
/// Fails with a sentence that names the field.
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
