//! Cuts a stream into whole events.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event; a longer one is not from a model engine.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes until events are complete.
///
/// # Invariants
///
/// `last_id` is the number of the last event that was handed out, so a resumed stream goes on after it.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    last_id: Option<u64>,
}

/// Why a stream cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than any event of a model engine.
    TooLong,
    /// An event is missing before this one.
    Gap {
        /// Number of the last event that was handed out.
        last: u64,
        /// Number of the event that came.
        found: u64,
    },
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::TooLong => f.write_str("event_too_long"),
            EventError::Gap { last, found } => write!(f, "event_gap_{last}_to_{found}"),
        }
    }
}

impl EventBuffer {
    /// A buffer for a stream whose receiver has the event `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Number of the last event that was handed out.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether part of an event is waiting for its end.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops part of an event whose end will not come.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Adds bytes and returns the events that are complete, without those that were handed out before.
    ///
    /// # Errors
    ///
    /// Fails when an event is missing or too long.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        self.pending.extend_from_slice(data);
        let mut ready = BytesMut::new();
        while let Some(end) = event_end(&self.pending) {
            let event = self.pending.split_to(end);
            let id = event[..]
                .split(|byte| *byte == b'\n')
                .find_map(parse_event_id);
            if let (Some(id), Some(last)) = (id, self.last_id) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    return Err(EventError::Gap { last, found: id });
                }
            }
            if id.is_some() {
                self.last_id = id;
            }
            if ready.is_empty() {
                ready = event;
            } else {
                ready.extend_from_slice(&event);
            }
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(ready.freeze())
    }
}

/// The number of a line `id: N`.
fn parse_event_id(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(b"id:")?;
    std::str::from_utf8(rest).ok()?.trim().parse().ok()
}

/// Position after the empty line that ends the first event.
fn event_end(data: &[u8]) -> Option<usize> {
    let lf = data.windows(2).position(|pair| pair == b"\n\n");
    let crlf = data.windows(4).position(|four| four == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
        (Some(lf), _) => Some(lf + 2),
        (None, Some(crlf)) => Some(crlf + 4),
        (None, None) => None,
    }
}
