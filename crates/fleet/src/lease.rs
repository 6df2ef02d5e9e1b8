//! The controller's lease.
//!
//! The node that holds the lease runs the controller, which forms and repairs groups. The lease is an object in the
//! platform's store, which the holder renews by conditional writes. The holder's heartbeats state the remaining
//! validity, so that another node can acquire the lease as soon as it expires, without polling the store meanwhile.
//!
//! If the holder shuts down while the store is unreachable for most nodes, it hands the lease over to one run of a peer.
//! The successor continues with what is left of the validity and under a term of its own: while the store is unreachable
//! for most nodes, it extends the lease locally, and its next access to the store shows whether another node has acquired
//! it.
//!
//! The store may come back from an older copy, whose lease object names an earlier term or holder. A holder then keeps its
//! lease and writes it again over an object of a term that is no later; other nodes wait until any holder has done so.
//! Terms are not derived from the object alone: a new term is above all that this node has seen in the object, in its
//! peers' heartbeats and in the generations of groups.
//!
//! # Invariants
//!
//! A holder stops holding the lease before it announces a handover, and names exactly one run of one node.
//!
//! No two holders have the same term, whether they acquire the lease or accept it. A handover is accepted only by a node
//! that knows no term above that of the handing holder. Its own term is above it, so no handover is accepted twice, and
//! below that of any node that acquires the lease through the store afterwards.
//!
//! A holder's validity counts from before its write was sent, on a clock that advances during suspension. A follower
//! counts from the receipt of a heartbeat or read. The follower's deadline is therefore never earlier than the
//! holder's.

mod messages;
mod term;

use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

pub use crate::lease::messages::LeaseClaim;
pub use crate::lease::messages::LeaseEffect;
pub use crate::lease::messages::LeaseEvent;
pub use crate::lease::messages::LeaseHandover;
pub use crate::lease::messages::LeaseRecord;
pub use crate::lease::messages::LeaseWrite;
pub use crate::lease::term::TermNode;
pub(crate) use crate::lease::term::is_credible;

/// Durations and intervals of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Validity after a write; the upper bound on the time until a crashed holder's lease expires.
    pub duration: TimeSpan,
    /// Interval between renewals. Three fit into `duration`, so that one may fail.
    pub renewal_interval: TimeSpan,
    /// Timeout of a store call, after which the next one may be sent.
    pub call_timeout: TimeSpan,
    /// Delay of a candidate for each live candidate of better rank, so that candidates do not compete for the lease.
    pub rank_delay: TimeSpan,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            duration: TimeSpan(1600),
            renewal_interval: TimeSpan(500),
            call_timeout: TimeSpan(700),
            rank_delay: TimeSpan(150),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingCall {
    None,
    Read { since: Timestamp },
    Write { since: Timestamp, term: LeaseEpoch },
}

/// State machine of the controller's lease at one node, as holder or follower.
#[derive(Debug)]
pub struct LeaseState {
    own: NodeKey,
    term_node: TermNode,
    timing: LeaseTiming,
    /// Term and expiry time while this node holds the lease.
    held: Option<(LeaseEpoch, Timestamp)>,
    /// Last known version and content of the object.
    known_object: Option<(ObjectVersion, LeaseRecord)>,
    /// Time until which another node may hold the lease; `None` before the first claim or read.
    other_holder_until: Option<Timestamp>,
    /// Version named by the last claim or read.
    observed_version: Option<ObjectVersion>,
    pending: PendingCall,
    last_write: Timestamp,
    write_number: u64,
    is_resigning: bool,
    /// Highest term that is known to have been in use.
    latest_term: LeaseEpoch,
    /// Term that this node has begun last.
    acquired_term: Option<LeaseEpoch>,
    /// Whether the object has to be read before it is renewed, because the store was restored.
    must_read: bool,
    /// Time before which this node does not acquire the lease, because a holder may be missing from the store.
    acquire_after: Timestamp,
    /// Whether the object has not been read since this node started later than others.
    is_late_start: bool,
}

impl LeaseState {
    /// Creates the state of a node that does not hold the lease and has no information about it.
    pub fn new(own: NodeKey, term_node: TermNode, timing: LeaseTiming) -> Self {
        Self {
            own,
            term_node,
            timing,
            held: None,
            known_object: None,
            other_holder_until: None,
            observed_version: None,
            pending: PendingCall::None,
            last_write: Timestamp(0),
            write_number: 0,
            is_resigning: false,
            latest_term: LeaseEpoch(0),
            acquired_term: None,
            must_read: false,
            acquire_after: Timestamp(0),
            is_late_start: false,
        }
    }

    /// Makes the node wait after its first read of the object before it acquires a lease that the store shows as free. A
    /// node that does not start with all others cannot tell whether the store has just lost a holder.
    pub fn delay_acquisition(&mut self) {
        self.is_late_start = true;
    }

    /// Delays the acquisition until any holder has written its lease again. A holder may extend its lease for one
    /// validity period before it notices that the store is back.
    fn wait_for_holder(&mut self, now: Timestamp) {
        self.acquire_after = now + TimeSpan(2 * self.timing.duration.0);
    }

    /// Highest term that is known to have been in use.
    pub fn latest_term(&self) -> LeaseEpoch {
        self.latest_term
    }

    /// The term under which this node holds the lease; `None` once the lease has expired.
    pub fn held_term(&self, now: Timestamp) -> Option<LeaseEpoch> {
        self.held
            .filter(|(_, until)| now < *until)
            .map(|(term, _)| term)
    }

    /// The claim to announce in heartbeats; `None` if this node does not hold the lease.
    pub fn claim(&self, now: Timestamp) -> Option<LeaseClaim> {
        let (term, until) = self.held.filter(|(_, until)| now < *until)?;
        let (version, _) = self.known_object.as_ref()?;
        Some(LeaseClaim {
            term,
            version: *version,
            remaining: until.since(now),
        })
    }

    /// The handover to announce when this node shuts down; `None` if it does not hold the lease.
    pub fn handover(&self, successor: NodeKey, now: Timestamp) -> Option<LeaseHandover> {
        let claim = self.claim(now)?;
        Some(LeaseHandover { successor, claim })
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn step(&mut self, event: LeaseEvent, now: Timestamp) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        if self.held.is_some_and(|(_, until)| now >= until) {
            self.held = None;
            self.other_holder_until = None;
            effects.push(LeaseEffect::Lost);
        }
        match event {
            LeaseEvent::Tick {
                rank,
                is_store_unreachable,
            } => {
                if is_store_unreachable {
                    self.extend(now);
                }
                self.handle_tick(rank, now, &mut effects);
            }
            LeaseEvent::Claimed(claim) => self.handle_claim(claim, now, &mut effects),
            LeaseEvent::Read(object) => self.handle_read(object, now, &mut effects),
            LeaseEvent::ReadFailed => self.pending = PendingCall::None,
            LeaseEvent::Written(result) => self.handle_write_result(result, now, &mut effects),
            LeaseEvent::TermSeen(term) => {
                self.observe_term(term);
                let is_later = |held: LeaseEpoch| is_credible(term) && held < term;
                if self.held.take_if(|(held, _)| is_later(*held)).is_some() {
                    // Another node has held the lease since, and may hold it now.
                    self.other_holder_until = Some(now + self.timing.duration);
                    effects.push(LeaseEffect::Lost);
                }
            }
            LeaseEvent::StoreRestored => {
                self.known_object = None;
                self.observed_version = None;
                self.pending = PendingCall::None;
                self.must_read = self.held.is_some();
                self.wait_for_holder(now);
            }
            LeaseEvent::HandOver => {
                // No resignation is written: it could reach the store after the outage and release the lease that the
                // successor holds by then.
                self.is_resigning = true;
                self.pending = PendingCall::None;
                if self.held.take().is_some() {
                    effects.push(LeaseEffect::Lost);
                }
            }
            LeaseEvent::HandoverReceived {
                handover,
                is_store_unreachable,
            } => {
                if is_store_unreachable {
                    self.accept_handover(handover, now, &mut effects);
                }
            }
            LeaseEvent::Resign => {
                self.is_resigning = true;
                self.release(&mut effects);
            }
            LeaseEvent::Release => {
                self.release(&mut effects);
                // Until another node has had the time to acquire the lease.
                self.other_holder_until = Some(now + self.timing.duration);
            }
        }
        effects
    }

    /// Releases the lease in the store if this node holds it.
    fn release(&mut self, effects: &mut Vec<LeaseEffect>) {
        self.pending = PendingCall::None;
        if let Some((term, _)) = self.held.take() {
            effects.push(LeaseEffect::Lost);
            let record = self.next_record(None, term);
            let version = self.known_object.as_ref().map(|(version, _)| *version);
            effects.push(LeaseEffect::Write { version, record });
        }
    }

    /// Extends a held lease without a renewal while the store is unreachable for most nodes, so that repairs continue.
    /// The first write after the outage shows whether another node has acquired the lease anyway.
    fn extend(&mut self, now: Timestamp) {
        if let Some((_, until)) = &mut self.held {
            *until = (*until).max(now + self.timing.duration);
        }
    }

    fn accept_handover(
        &mut self,
        handover: LeaseHandover,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let LeaseHandover { successor, claim } = handover;
        let is_for_others = successor != self.own || self.is_resigning;
        // Heartbeats repeat the handover. Once this node has accepted it or another one has acquired the lease, a later
        // term is known.
        let is_outdated = self.latest_term > claim.term || !is_credible(claim.term);
        let remaining = claim.remaining.min(self.timing.duration);
        if is_for_others || is_outdated || self.held.is_some() || remaining.0 == 0 {
            return;
        }
        self.observe_term(claim.term);
        let term = self.term_node.term_after_handover(claim.term);
        let record = LeaseRecord {
            holder: None,
            term: claim.term,
            write_number: 0,
        };
        self.known_object = Some((claim.version, record));
        self.observed_version = Some(claim.version);
        self.pending = PendingCall::None;
        self.latest_term = self.latest_term.max(term);
        self.acquired_term = Some(term);
        self.held = Some((term, now + remaining));
        effects.push(LeaseEffect::HandoverAccepted(term));
    }

    /// Records that a term has been in use, unless no node can have acquired it.
    fn observe_term(&mut self, term: LeaseEpoch) {
        if is_credible(term) {
            self.latest_term = self.latest_term.max(term);
        }
    }

    fn next_term(&self) -> LeaseEpoch {
        self.term_node.term_after(self.latest_term)
    }

    fn next_record(&mut self, holder: Option<NodeId>, term: LeaseEpoch) -> LeaseRecord {
        self.write_number += 1;
        LeaseRecord {
            holder,
            term,
            write_number: self.write_number,
        }
    }

    fn handle_tick(&mut self, rank: u32, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        let since = match self.pending {
            PendingCall::None => None,
            PendingCall::Read { since } | PendingCall::Write { since, .. } => Some(since),
        };
        if let Some(since) = since {
            if now.since(since) < self.timing.call_timeout {
                return;
            }
            self.pending = PendingCall::None;
        }
        if self.is_resigning {
            return;
        }
        if let Some((term, _)) = self.held {
            if self.must_read {
                self.pending = PendingCall::Read { since: now };
                effects.push(LeaseEffect::Read);
            } else if now.since(self.last_write) >= self.timing.renewal_interval {
                self.send_write(term, now, effects);
            }
            return;
        }
        let delay = TimeSpan(self.timing.rank_delay.0 * u64::from(rank));
        let may_read = match self.other_holder_until {
            None => true,
            Some(until) => now >= until + delay,
        };
        if may_read {
            self.pending = PendingCall::Read { since: now };
            effects.push(LeaseEffect::Read);
        }
    }

    fn send_write(&mut self, term: LeaseEpoch, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        let record = self.next_record(Some(self.own.id.clone()), term);
        let version = self.known_object.as_ref().map(|(version, _)| *version);
        self.pending = PendingCall::Write { since: now, term };
        self.last_write = now;
        effects.push(LeaseEffect::Write { version, record });
    }

    fn handle_claim(&mut self, claim: LeaseClaim, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        if !is_credible(claim.term) {
            return;
        }
        if let Some((term, _)) = self.held {
            if claim.term > term {
                self.held = None;
                effects.push(LeaseEffect::Lost);
            } else {
                return;
            }
        }
        self.observe_term(claim.term);
        self.observed_version = Some(claim.version);
        // No lease lasts longer than its validity.
        self.other_holder_until = Some(now + claim.remaining.min(self.timing.duration));
    }

    fn handle_read(
        &mut self,
        object: Option<(ObjectVersion, LeaseRecord)>,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.pending = PendingCall::None;
        if std::mem::take(&mut self.is_late_start) {
            self.wait_for_holder(now);
        }
        let must_read = std::mem::take(&mut self.must_read);
        let held_term = self.held.map(|(term, _)| term);
        let Some((version, mut record)) = object else {
            self.known_object = None;
            if let Some(term) = held_term {
                self.send_write(term, now, effects);
            } else if now < self.acquire_after {
                self.other_holder_until = Some(self.acquire_after);
            } else if !self.is_resigning {
                self.send_write(self.next_term(), now, effects);
            }
            return;
        };
        // Another writer has replaced the object, and nothing is known of the term.
        if !is_credible(record.term) {
            record.term = LeaseEpoch(0);
        }
        if let Some(term) = held_term
            && must_read
            && record.term <= term
        {
            self.known_object = Some((version, record));
            self.observed_version = Some(version);
            self.send_write(term, now, effects);
            return;
        }
        let is_free = record.holder.is_none();
        // An earlier process of this node has written under a term of its own.
        let is_own = record.holder.as_ref() == Some(&self.own.id) && Some(record.term) == held_term;
        let is_last_observed = self.observed_version == Some(version);
        let is_unchanged = self
            .known_object
            .as_ref()
            .is_some_and(|(known, _)| *known == version);
        self.observe_term(record.term);
        self.known_object = Some((version, record));
        self.observed_version = Some(version);
        if self.held.is_some() {
            // The response to a renewal was lost: the object decides who holds the lease, and the next renewal is sent
            // at the next tick. After a handover, the object names the previous holder until the first renewal, so an
            // unchanged version also counts as held.
            if !is_own && !is_unchanged {
                self.held = None;
                effects.push(LeaseEffect::Lost);
            } else {
                self.last_write = Timestamp(0);
            }
            return;
        }
        let has_expired =
            is_last_observed && self.other_holder_until.is_some_and(|until| now >= until);
        if (is_free || has_expired) && now < self.acquire_after {
            self.other_holder_until = Some(self.acquire_after);
        } else if (is_free || has_expired) && !self.is_resigning {
            self.send_write(self.next_term(), now, effects);
        } else if !has_expired {
            self.other_holder_until = Some(now + self.timing.duration);
        }
    }

    fn handle_write_result(
        &mut self,
        result: LeaseWrite,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let PendingCall::Write { since, term } = self.pending else {
            // Late response to a call that has timed out; the next read shows its outcome.
            return;
        };
        self.pending = PendingCall::None;
        match result {
            LeaseWrite::Done { version } => {
                let until = since + self.timing.duration;
                let is_new = self.held.is_none();
                if now >= until {
                    return;
                }
                let record = LeaseRecord {
                    holder: Some(self.own.id.clone()),
                    term,
                    write_number: self.write_number,
                };
                self.known_object = Some((version, record));
                self.observed_version = Some(version);
                self.latest_term = self.latest_term.max(term);
                if is_new && self.acquired_term == Some(term) {
                    // The lease had expired before this response to its renewal arrived. What was done under the term
                    // has ended, so the lease continues under a new one.
                    self.send_write(self.next_term(), now, effects);
                    return;
                }
                self.acquired_term = Some(term);
                self.held = Some((term, until));
                if is_new {
                    effects.push(LeaseEffect::Acquired(term));
                }
            }
            LeaseWrite::Conflict | LeaseWrite::Unknown => {
                // A different write may have been applied, so the object is read before the next write.
                if self.held.is_none() {
                    self.other_holder_until = Some(now + self.timing.duration);
                }
                self.pending = PendingCall::Read { since: now };
                effects.push(LeaseEffect::Read);
            }
            LeaseWrite::NotWritten => {}
        }
    }
}
