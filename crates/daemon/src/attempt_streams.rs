//! Open streams of a completion's attempts.
//!
//! A silent stream stays open beside the one that resumes it, and a silent attempt beside one at another engine. The first stream to
//! bring tokens goes on, and all others are closed.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Selector;
use jaysaddle_engine::StreamItem;
use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::engine::TokenChunk;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::Timestamp;

use crate::assembler::ChunkAssembler;
use crate::assembler::ChunkOutcome;

/// One connection to an engine.
struct OpenStream {
    items: flume::Receiver<StreamItem>,
    /// Whether the stream resumes an earlier one of the attempt, and has brought nothing yet.
    is_resume: bool,
}

/// One attempt with its open streams and the tokens that it has brought.
pub struct OpenAttempt {
    /// Number of the attempt.
    pub attempt: u32,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Reassembly of the chunks.
    pub assembler: ChunkAssembler,
    /// Time at which the attempt was sent.
    pub sent: Timestamp,
    /// Arrival time of the first token.
    pub first_token: Option<Timestamp>,
    streams: Vec<OpenStream>,
}

/// What the streams brought.
pub enum StreamProgress {
    /// Text that is now available in order, from the only attempt left.
    Text(String),
    /// A chunk or the end of a stream that changes nothing.
    Nothing,
    /// The attempt has ended, with the item that ended it.
    Ended(u32, StreamItem),
    /// The chunks of the attempt contradict each other, or the engine has cancelled it.
    Spoiled {
        /// Number of the attempt.
        attempt: u32,
        /// Whether the attempt can be resumed.
        resumable: bool,
    },
    /// Nothing arrived in time.
    Silence,
}

/// Attempts of a completion that are open.
///
/// # Invariants
///
/// An attempt without open streams is kept only while it is `current`: it may be resumed.
#[derive(Default)]
pub struct AttemptStreams {
    attempts: Vec<OpenAttempt>,
    current: u32,
}

impl AttemptStreams {
    /// The latest attempt, or the one that has brought something; `None` before the first.
    pub fn current(&self) -> Option<&OpenAttempt> {
        self.attempts
            .iter()
            .find(|open| open.attempt == self.current)
    }

    /// Number of the current attempt.
    pub fn current_number(&self) -> u32 {
        self.current
    }

    /// Addresses of all engines that may be running the request.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.attempts.iter().map(|open| open.address).collect()
    }

    /// Adds a new attempt, which becomes the current one.
    pub fn start(
        &mut self,
        request: RequestId,
        attempt: u32,
        address: SocketAddr,
        items: flume::Receiver<StreamItem>,
        now: Timestamp,
    ) {
        self.attempts.retain(|open| !open.streams.is_empty());
        self.attempts.push(OpenAttempt {
            attempt,
            address,
            assembler: ChunkAssembler::new(request, attempt),
            sent: now,
            first_token: None,
            streams: vec![OpenStream {
                items,
                is_resume: false,
            }],
        });
        self.current = attempt;
    }

    /// Whether an item that has not been read yet has arrived.
    pub fn has_items(&self) -> bool {
        let mut streams = self.attempts.iter().flat_map(|open| &open.streams);
        streams.any(|stream| !stream.items.is_empty())
    }

    /// Adds a stream that resumes an attempt, which becomes the current one.
    pub fn resume(&mut self, attempt: u32, items: flume::Receiver<StreamItem>) {
        self.select(attempt);
        let open = self
            .attempts
            .iter_mut()
            .find(|open| open.attempt == attempt);
        if let Some(open) = open {
            open.streams.push(OpenStream {
                items,
                is_resume: true,
            });
        }
    }

    /// Makes an attempt the current one. Returns whether it has open streams.
    pub fn select(&mut self, attempt: u32) -> bool {
        self.current = attempt;
        self.attempts
            .retain(|open| open.attempt == attempt || !open.streams.is_empty());
        self.current().is_some_and(|open| !open.streams.is_empty())
    }

    /// Waits for the next item of any stream.
    pub fn next(&mut self, timeout: Duration, now: impl Fn() -> Timestamp) -> StreamProgress {
        let mut selector = Selector::new();
        for (index, open) in self.attempts.iter().enumerate() {
            for (number, stream) in open.streams.iter().enumerate() {
                selector = selector.recv(&stream.items, move |item| {
                    // A reader that ends without a last item has lost its connection.
                    (index, number, item.unwrap_or(StreamItem::Ended))
                });
            }
        }
        match selector.wait_timeout(timeout) {
            Ok((index, number, StreamItem::Chunk(chunk))) => {
                self.push_chunk(index, number, chunk, now())
            }
            Ok((index, number, item)) => self.end_stream(index, number, item),
            Err(_) => StreamProgress::Silence,
        }
    }

    fn push_chunk(
        &mut self,
        index: usize,
        number: usize,
        chunk: TokenChunk,
        now: Timestamp,
    ) -> StreamProgress {
        let is_cancelled = chunk.finish == Some(FinishReason::Cancelled);
        let is_empty = chunk.tokens == 0 && chunk.offset == 0 && chunk.finish.is_some();
        let open = &mut self.attempts[index];
        if std::mem::take(&mut open.streams[number].is_resume) {
            open.assembler.resume();
        }
        // An empty or cancelled completion must not be delivered as a response.
        if is_cancelled || is_empty {
            return self.spoil(index, false);
        }
        match open.assembler.push(chunk) {
            ChunkOutcome::Text(text) => {
                if open.assembler.tokens() > 0 {
                    open.first_token.get_or_insert(now);
                }
                self.keep_only(index, number);
                StreamProgress::Text(text)
            }
            ChunkOutcome::Unrelated => {
                log::warn!("dropped a chunk of another request or attempt");
                StreamProgress::Nothing
            }
            ChunkOutcome::Inconsistent => {
                log::warn!(
                    "attempt {} received inconsistent completion chunks",
                    open.attempt
                );
                self.spoil(index, true)
            }
        }
    }

    /// Closes all streams but one, which has brought something.
    fn keep_only(&mut self, index: usize, number: usize) {
        if index > 0 || self.attempts.len() > 1 {
            self.attempts.swap(0, index);
            self.attempts.truncate(1);
        }
        let open = &mut self.attempts[0];
        if open.streams.len() > 1 {
            open.streams.swap(0, number);
            open.streams.truncate(1);
        }
        self.current = open.attempt;
    }

    /// Closes the streams of an attempt whose chunks cannot be used.
    fn spoil(&mut self, index: usize, resumable: bool) -> StreamProgress {
        let attempt = self.attempts[index].attempt;
        self.attempts[index].streams.clear();
        if attempt == self.current {
            return StreamProgress::Spoiled { attempt, resumable };
        }
        self.attempts.remove(index);
        StreamProgress::Nothing
    }

    /// Closes a stream that has ended. Its attempt goes on with another stream, unless the engine refused it.
    fn end_stream(&mut self, index: usize, number: usize, item: StreamItem) -> StreamProgress {
        let open = &mut self.attempts[index];
        open.streams.swap_remove(number);
        if matches!(item, StreamItem::Refused(_)) {
            open.streams.clear();
        }
        let attempt = open.attempt;
        if !open.streams.is_empty() {
            return StreamProgress::Nothing;
        }
        if attempt == self.current {
            return StreamProgress::Ended(attempt, item);
        }
        self.attempts.remove(index);
        StreamProgress::Nothing
    }
}
