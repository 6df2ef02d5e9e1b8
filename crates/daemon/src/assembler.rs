//! Assembly of a whole answer from its pieces.
//!
//! A piece counts only with the id and attempt of the request it was asked for. Pieces are put in
//! order by offset; pieces that arrive twice are dropped. The answer is whole only when the end
//! marker and every token before it have arrived.

use std::collections::BTreeMap;

use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::engine::TokenChunk;
use jaysaddle_types::ids::RequestId;

/// Pieces that may wait for an earlier one. An engine that sends further ahead than this has lost
/// the earlier piece, and the stream is resumed.
const MAX_PENDING_CHUNKS: usize = 256;

/// What became of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// Text that is in order now; empty when the piece has to wait or was a repeat.
    Text(String),
    /// The piece belongs to another request or attempt.
    Unrelated,
    /// The pieces do not fit together.
    Inconsistent,
}

/// Collects the pieces of one attempt.
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
    /// An assembler without any piece.
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

    /// Takes a piece.
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
            // A piece that overlaps what is known cannot be cut, since tokens have no fixed length.
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

    /// Drops pieces that wait; a resumed stream sends them again.
    pub fn resume(&mut self) {
        self.pending.clear();
        self.end = None;
    }

    /// Tokens received in order.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Prompt tokens that the engine's prefix cache held.
    pub fn cached_tokens(&self) -> u32 {
        self.cached_tokens
    }

    /// The text received in order.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Why the answer ended, once every token has arrived.
    pub fn finish(&self) -> Option<FinishReason> {
        self.end
            .filter(|(end, _)| *end == self.tokens)
            .map(|(_, finish)| finish)
    }
}
