//! Reassembly of a streamed completion from its chunks.
//!
//! Only chunks with the expected request id and attempt are accepted. Chunks are ordered by offset
//! and duplicates are dropped. The completion is complete when the end marker and all tokens before
//! it have been received.

use std::collections::BTreeMap;

use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::engine::TokenChunk;
use jaysaddle_types::ids::RequestId;

/// Maximum number of chunks received ahead of a missing one. Beyond it, the missing chunk is
/// considered lost and the stream is resumed.
const MAX_PENDING_CHUNKS: usize = 256;

/// Outcome of adding a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// Text that is now available in order; empty when the chunk is a duplicate or follows a gap.
    Text(String),
    /// The chunk belongs to another request or attempt and was dropped.
    Unrelated,
    /// The chunk contradicts earlier ones, or too many chunks are pending.
    Inconsistent,
}

/// Reassembles the chunks of one attempt, across resumed streams.
#[derive(Clone, Debug)]
pub struct ChunkAssembler {
    request: RequestId,
    attempt: u32,
    text: String,
    tokens: u32,
    cached_tokens: u32,
    end: Option<(u32, FinishReason)>,
    pending: BTreeMap<u32, TokenChunk>,
}

impl ChunkAssembler {
    /// Creates an assembler that accepts chunks of `attempt` of `request`.
    pub fn new(request: RequestId, attempt: u32) -> Self {
        Self {
            request,
            attempt,
            text: String::new(),
            tokens: 0,
            cached_tokens: 0,
            end: None,
            pending: BTreeMap::new(),
        }
    }

    /// Adds a chunk and returns the text that it makes available in order.
    pub fn push(&mut self, chunk: TokenChunk) -> ChunkOutcome {
        if chunk.request_id != self.request || chunk.attempt != self.attempt {
            return ChunkOutcome::Unrelated;
        }
        self.cached_tokens = self.cached_tokens.max(chunk.cached_tokens);
        let Some(chunk_end) = chunk.offset.checked_add(chunk.tokens) else {
            return ChunkOutcome::Inconsistent;
        };
        if let Some(finish) = chunk.finish {
            if self.end.is_some_and(|(end, _)| end != chunk_end) {
                return ChunkOutcome::Inconsistent;
            }
            self.end = Some((chunk_end, finish));
        }
        if chunk.tokens > 0 && chunk_end > self.tokens {
            // A chunk that overlaps received tokens cannot be split, since tokens have no
            // fixed text length.
            if chunk.offset < self.tokens {
                return ChunkOutcome::Inconsistent;
            }
            self.pending.entry(chunk.offset).or_insert(chunk);
        }
        if self.pending.len() > MAX_PENDING_CHUNKS {
            return ChunkOutcome::Inconsistent;
        }
        let mut text = String::new();
        while let Some(next) = self.pending.remove(&self.tokens) {
            self.tokens += next.tokens;
            text.push_str(&next.text);
        }
        self.text.push_str(&text);
        ChunkOutcome::Text(text)
    }

    /// Drops pending chunks before a stream is resumed; the resumed stream sends them again.
    pub fn resume(&mut self) {
        self.pending.clear();
        self.end = None;
    }

    /// Number of tokens received in order, which is the offset at which to resume.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Number of prompt tokens found in the engine's prefix cache.
    pub fn cached_tokens(&self) -> u32 {
        self.cached_tokens
    }

    /// The text received in order.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Finish reason of the completion; `None` until all tokens have been received.
    pub fn finish(&self) -> Option<FinishReason> {
        self.end
            .filter(|(end, _)| *end == self.tokens)
            .map(|(_, finish)| finish)
    }
}
