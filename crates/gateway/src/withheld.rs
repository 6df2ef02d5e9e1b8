//! Events that end a silence, withheld until it is known whether the silence is over.
//!
//! A slow backend server sends an event now and then. If its first one ended the attempt that has been made beside it, the stream would stay
//! with the slow server, and a run would be spent for nothing. The events of two runs cannot be joined, so the first one is
//! withheld until a second one shows that the server has recovered, or until the other attempt has had time to begin.

use bytes::Bytes;
use bytes::BytesMut;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::events::event_count;

/// Time for which an event waits for those of another attempt.
const MAX_WITHHELD_TIME: TimeSpan = TimeSpan(500);

/// Events of an attempt that was silent.
#[derive(Debug, Default)]
pub struct WithheldEvents {
    events: BytesMut,
    /// When the last of them arrived; `None` without events.
    latest: Option<Timestamp>,
}

impl WithheldEvents {
    /// Adds complete events. Returns whether the silence is over: two events have arrived together, or one after the other in less
    /// than `limit`, the time after which an attempt counts as silent.
    pub fn add(&mut self, events: &[u8], limit: TimeSpan, now: Timestamp) -> bool {
        let previous = self.latest.replace(now);
        self.events.extend_from_slice(events);
        event_count(events) > 1 || previous.is_some_and(|previous| now.since(previous) < limit)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Whether the events have waited long enough for those of another attempt.
    pub fn is_due(&self, now: Timestamp) -> bool {
        let latest = self.latest;
        latest.is_some_and(|latest| now.since(latest) >= MAX_WITHHELD_TIME)
    }

    /// Takes all events.
    pub fn take(&mut self) -> Bytes {
        std::mem::take(self).events.freeze()
    }
}
