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
/// Time without an event after which nothing is withheld any more; callers leave after two seconds.
const MAX_CALLER_WAIT: TimeSpan = TimeSpan(1500);

/// Events of an attempt that was silent.
#[derive(Debug, Default)]
pub struct WithheldEvents {
    events: BytesMut,
    /// When they have waited long enough; `None` without events.
    due: Option<Timestamp>,
}

impl WithheldEvents {
    /// Adds complete events that arrived after a silence of `silent`. Returns whether the silence is over: two events have arrived
    /// together, or one shortly after the other.
    pub fn add(&mut self, events: &[u8], silent: TimeSpan, now: Timestamp) -> bool {
        self.events.extend_from_slice(events);
        let remaining = TimeSpan(MAX_CALLER_WAIT.0.saturating_sub(silent.0));
        let due = now + MAX_WITHHELD_TIME.min(remaining);
        let is_second = self.due.replace(due).is_some();
        is_second || event_count(events) > 1
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Whether the events have waited long enough for those of another attempt.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.due.is_some_and(|due| now >= due)
    }

    /// Takes all events.
    pub fn take(&mut self) -> Bytes {
        std::mem::take(self).events.freeze()
    }
}
