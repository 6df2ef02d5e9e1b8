//! Splits a server-sent event stream into complete events.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event. Events of model engines are always shorter.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Maximum size of the events of a stream that were already returned. A server that ignores where a stream is to
/// continue sends all of them again.
const MAX_REPEATED_BYTES: usize = 4 << 20;

/// Buffers stream data until events are complete.
///
/// # Invariants
///
/// `last_id` is the id of the last event that was returned, so that a resumed stream continues after it.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    /// Number of bytes of `pending` that are known to be before the end of its first event.
    searched: usize,
    /// Size of the events that were already returned and arrived again.
    repeated: usize,
    last_id: Option<u64>,
}

/// Reason why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the maximum event size.
    TooLong {
        /// Size of the incomplete event in bytes.
        bytes: usize,
    },
    /// Events that were already returned exceed the maximum size.
    Repeated {
        /// Size of these events in bytes.
        bytes: usize,
    },
    /// Data without an event id follows events that have one, such as the text of a failure.
    Foreign,
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
            EventError::TooLong { .. } => f.write_str("event_too_long"),
            EventError::Foreign => f.write_str("data_without_event_id"),
            EventError::Repeated { .. } => f.write_str("events_repeated"),
            EventError::Gap { last, received } => write!(f, "event_gap_{last}_to_{received}"),
        }
    }
}

impl EventBuffer {
    /// Creates a buffer for a stream whose receiver already has all events up to `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
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

    /// Memory that the incomplete event takes, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Discards an incomplete event after its stream has ended.
    pub fn discard_partial(&mut self) {
        self.pending = BytesMut::new();
        self.searched = 0;
        self.repeated = 0;
    }

    /// Appends data and returns all complete events, except those that were already returned.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::Foreign`] for data without an id after events with one, [`EventError::Gap`] if an event id was skipped, [`EventError::TooLong`] if an incomplete event exceeds
    /// the size limit, and [`EventError::Repeated`] if events that were already returned do.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        let returned = self.last_id;
        let result = self.split(data);
        if result.is_err() {
            // The events that precede the error are not returned either.
            self.last_id = returned;
        }
        result
    }

    /// Puts a complete event back in front of the pending data.
    fn put_back(&mut self, mut event: BytesMut) {
        event.extend_from_slice(&self.pending);
        self.pending = event;
        self.searched = 0;
    }

    fn split(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        self.pending.extend_from_slice(data);
        let mut ready = BytesMut::new();
        while let Some(end) = event_end(&self.pending, self.searched) {
            let event = self.pending.split_to(end);
            self.searched = 0;
            let id = event[..]
                .split(|byte| *byte == b'\n')
                .find_map(parse_event_id);
            if id.is_none() && self.last_id.is_some() && !is_comment(&event) {
                if ready.is_empty() {
                    return Err(EventError::Foreign);
                }
                // The events before it are sound; the next call returns the error.
                self.put_back(event);
                return Ok(ready.freeze());
            }
            if let (Some(id), Some(last)) = (id, self.last_id) {
                if id <= last {
                    self.repeated += event.len();
                    if self.repeated > MAX_REPEATED_BYTES {
                        let bytes = self.repeated;
                        return Err(EventError::Repeated { bytes });
                    }
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
        // The last two bytes may belong to an end that is not complete yet.
        self.searched = self.pending.len().saturating_sub(2);
        if self.pending.len() > MAX_EVENT_BYTES {
            let bytes = self.pending.len();
            return Err(EventError::TooLong { bytes });
        }
        Ok(ready.freeze())
    }
}

/// Whether an event consists of comment lines, which some servers send to keep connections open.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Number of events in data that consists of complete events.
pub fn event_count(events: &[u8]) -> usize {
    let mut rest = events;
    let mut count = 0;
    while let Some(end) = event_end(rest, 0) {
        rest = &rest[end..];
        count += 1;
    }
    count
}

/// Parses the number from a line of the form `id: N`.
fn parse_event_id(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(b"id:")?;
    std::str::from_utf8(rest).ok()?.trim().parse().ok()
}

/// Returns the position after the blank line that terminates the first event. No line before `from` ends the event.
fn event_end(data: &[u8], from: usize) -> Option<usize> {
    let mut searched = from;
    loop {
        let line_end = searched + data[searched..].iter().position(|byte| *byte == b'\n')?;
        let rest = &data[line_end + 1..];
        if rest.starts_with(b"\n") {
            return Some(line_end + 2);
        }
        if rest.starts_with(b"\r\n") && data[..line_end].ends_with(b"\r") {
            return Some(line_end + 3);
        }
        searched = line_end + 1;
    }
}
