//! Splits a server-sent event stream into complete events.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event. Events of model engines are always shorter.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers stream data until events are complete.
///
/// # Invariants
///
/// `last_id` is the id of the last event that was returned, so that a resumed stream continues after it.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    last_id: Option<u64>,
}

/// Reason why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the maximum event size.
    TooLong,
    /// One or more event ids were skipped.
    Gap {
        /// Id of the last event that was returned.
        last: u64,
        /// Id of the event that was received instead of `last + 1`.
        received: u64,
    },
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::TooLong => f.write_str("event_too_long"),
            EventError::Gap { last, received } => write!(f, "event_gap_{last}_to_{received}"),
        }
    }
}

impl EventBuffer {
    /// Creates a buffer for a stream whose receiver already has all events up to `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last event that was returned; `None` before the first event with an id.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards an incomplete event after its stream has ended.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Appends data and returns all complete events, except those that were already returned.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::Gap`] if an event id was skipped and [`EventError::TooLong`] if an incomplete event
    /// exceeds the size limit.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        let returned = self.last_id;
        let result = self.split(data);
        if result.is_err() {
            // The events that precede the error are not returned either.
            self.last_id = returned;
        }
        result
    }

    fn split(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
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
                    return Err(EventError::Gap { last, received: id });
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

/// Parses the number from a line of the form `id: N`.
fn parse_event_id(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(b"id:")?;
    std::str::from_utf8(rest).ok()?.trim().parse().ok()
}

/// Returns the position after the blank line that terminates the first event.
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
