//! The lease of the controller.
//!
//! One node at a time forms and repairs groups. It holds a lease object in the platform's store, which it
//! renews by conditional writes. Its messages to peers say how long the lease still lasts, so that another
//! node can take over as soon as that time has passed, without asking the store in between.
//!
//! While the store answers nobody, a holder that stops hands the lease to a peer, which then holds it on the same
//! terms: as long as the store is lost to most nodes, until its first write shows that no other node has taken it.
//!
//! # Invariants
//!
//! A holder gives up the lease before it hands it over, names one successor, and never names another one.
//!
//! A holder's lease counts from before its write was sent, on a clock that counts suspension. A follower
//! counts from when it received the evidence. So the follower's time never ends before the holder's.

use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Times of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Validity after a write. A killed holder is replaced after at most this time.
    pub duration: TimeSpan,
    /// Time between two renewals; three fit into the duration, so that one may fail.
    pub renewal: TimeSpan,
    /// Time after which a call without an answer is repeated.
    pub call_timeout: TimeSpan,
    /// Delay of a candidate for each candidate that goes before it.
    pub rank_delay: TimeSpan,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            duration: TimeSpan(1600),
            renewal: TimeSpan(500),
            call_timeout: TimeSpan(700),
            rank_delay: TimeSpan(150),
        }
    }
}

/// Content of the lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Holder; `None` after a resignation.
    pub holder: Option<NodeId>,
    /// Raised with every change of holder.
    pub term: LeaseEpoch,
    /// Distinguishes the writes of one node, to recognise a write whose answer was lost.
    pub write_number: u64,
}

/// What a peer says about the lease it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// Term.
    pub term: LeaseEpoch,
    /// Version of the lease object after the last renewal.
    pub version: ObjectVersion,
    /// How long the lease lasts without a renewal.
    pub remaining: TimeSpan,
}

/// A lease that its holder passes on while the store is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHandover {
    /// The node that may hold it from now on.
    pub successor: NodeId,
    /// Term; the successor goes on under it.
    pub term: LeaseEpoch,
    /// Version of the lease object after the last renewal.
    pub version: ObjectVersion,
    /// Groups that were formed in the term; the successor's numbers follow.
    pub groups_formed: u64,
}

/// Result of a write to the lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseWrite {
    /// Written.
    Done {
        /// Version of the object.
        version: ObjectVersion,
    },
    /// The object has another version.
    Conflict,
    /// Refused, or no connection; nothing was written.
    NotWritten,
    /// No answer; it may have been written, or may be later.
    Unknown,
}

/// An event of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed. `rank` is the number of live candidates that go before this node.
    Tick {
        /// Candidates before this node.
        rank: u32,
        /// Whether the store answers neither this node nor most of its peers, so that no other node can take the
        /// lease.
        is_store_lost: bool,
    },
    /// A peer holds the lease.
    Claimed(LeaseClaim),
    /// The object was read; `None` when it does not exist.
    Read(Option<(ObjectVersion, LeaseRecord)>),
    /// A read failed.
    ReadFailed,
    /// A write ended.
    Written(LeaseWrite),
    /// The node stops.
    Resign,
    /// The node stops while the store is lost; [`LeaseState::handover`] has told what it passes on.
    HandOver,
    /// A holder that stops has named this node as its successor.
    HandoverReceived {
        /// The node that stops, and its start.
        from: NodeKey,
        /// What it passed on.
        handover: LeaseHandover,
        /// Whether the store is lost to this node and most of its peers.
        is_store_lost: bool,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Read the object.
    Read,
    /// Write the object; `None` creates it.
    Write {
        /// Version that must be in the store.
        version: Option<ObjectVersion>,
        /// Content.
        record: LeaseRecord,
    },
    /// This node now holds the lease.
    Acquired(LeaseEpoch),
    /// This node now holds the lease that another one has handed over.
    TakenOver {
        /// Term.
        term: LeaseEpoch,
        /// Groups that were formed in the term.
        groups_formed: u64,
    },
    /// This node does not hold the lease any more.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingCall {
    None,
    Read { since: Timestamp },
    Write { since: Timestamp, term: LeaseEpoch },
}

/// State of the lease at one node.
#[derive(Debug)]
pub struct LeaseState {
    own: NodeId,
    timing: LeaseTiming,
    /// Term and end of validity while this node holds the lease.
    held: Option<(LeaseEpoch, Timestamp)>,
    /// Last known version and content of the object.
    known: Option<(ObjectVersion, LeaseRecord)>,
    /// Until when another node may hold the lease; `None` before anything is known.
    others_until: Option<Timestamp>,
    /// Version that the last claim or reading named.
    claimed_version: Option<ObjectVersion>,
    pending: PendingCall,
    last_write: Timestamp,
    write_number: u64,
    is_resigning: bool,
    /// Highest term that a claim or reading named.
    latest_term: LeaseEpoch,
    /// The node whose handover this node has followed; a node hands over once.
    taken_over: Option<NodeKey>,
}

impl LeaseState {
    /// A keeper that knows nothing.
    pub fn new(own: NodeId, timing: LeaseTiming) -> Self {
        Self {
            own,
            timing,
            held: None,
            known: None,
            others_until: None,
            claimed_version: None,
            pending: PendingCall::None,
            last_write: Timestamp(0),
            write_number: 0,
            is_resigning: false,
            latest_term: LeaseEpoch(0),
            taken_over: None,
        }
    }

    /// The term, while the lease is valid.
    pub fn held_term(&self, now: Timestamp) -> Option<LeaseEpoch> {
        self.held
            .filter(|(_, until)| now < *until)
            .map(|(term, _)| term)
    }

    /// What this node tells its peers.
    pub fn claim(&self, now: Timestamp) -> Option<LeaseClaim> {
        let (term, until) = self.held.filter(|(_, until)| now < *until)?;
        let (version, _) = self.known.as_ref()?;
        Some(LeaseClaim {
            term,
            version: *version,
            remaining: until.since(now),
        })
    }

    /// What a holder that stops passes on to `successor`.
    pub fn handover(
        &self,
        successor: NodeId,
        groups_formed: u64,
        now: Timestamp,
    ) -> Option<LeaseHandover> {
        let term = self.held_term(now)?;
        let (version, _) = self.known.as_ref()?;
        Some(LeaseHandover {
            successor,
            term,
            version: *version,
            groups_formed,
        })
    }

    /// Handles an event.
    pub fn step(&mut self, event: LeaseEvent, now: Timestamp) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        if self.held.is_some_and(|(_, until)| now >= until) {
            self.held = None;
            self.others_until = None;
            effects.push(LeaseEffect::Lost);
        }
        match event {
            LeaseEvent::Tick {
                rank,
                is_store_lost,
            } => {
                if is_store_lost {
                    self.extend(now);
                }
                self.tick(rank, now, &mut effects);
            }
            LeaseEvent::Claimed(claim) => self.claimed(claim, now, &mut effects),
            LeaseEvent::Read(found) => self.read(found, now, &mut effects),
            LeaseEvent::ReadFailed => self.pending = PendingCall::None,
            LeaseEvent::Written(result) => self.written(result, now, &mut effects),
            LeaseEvent::HandOver => {
                // No resignation is written: it could arrive after the outage and free a lease that the successor
                // holds.
                self.is_resigning = true;
                self.pending = PendingCall::None;
                if self.held.take().is_some() {
                    effects.push(LeaseEffect::Lost);
                }
            }
            LeaseEvent::HandoverReceived {
                from,
                handover,
                is_store_lost,
            } => {
                if is_store_lost {
                    self.take_over(from, handover, now, &mut effects);
                }
            }
            LeaseEvent::Resign => {
                self.is_resigning = true;
                self.pending = PendingCall::None;
                if let Some((term, _)) = self.held.take() {
                    effects.push(LeaseEffect::Lost);
                    let record = self.record(None, term);
                    let version = self.known.as_ref().map(|(version, _)| *version);
                    effects.push(LeaseEffect::Write { version, record });
                }
            }
        }
        effects
    }

    /// Keeps the lease while nobody can take it, so that repairs go on. The next write after the outage shows whether
    /// another node has taken it after all.
    fn extend(&mut self, now: Timestamp) {
        if let Some((_, until)) = &mut self.held {
            *until = (*until).max(now + self.timing.duration);
        }
    }

    fn take_over(
        &mut self,
        from: NodeKey,
        handover: LeaseHandover,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let LeaseHandover {
            successor,
            term,
            version,
            groups_formed,
        } = handover;
        let is_for_others = successor != self.own || self.is_resigning;
        let is_outdated = self.latest_term > term;
        if is_for_others || is_outdated || self.held.is_some() {
            return;
        }
        // Beats repeat the handover, and a lease that was lost since must not come back.
        if self.taken_over.as_ref() == Some(&from) {
            return;
        }
        self.taken_over = Some(from);
        let record = LeaseRecord {
            holder: None,
            term,
            write_number: 0,
        };
        self.known = Some((version, record));
        self.claimed_version = Some(version);
        self.pending = PendingCall::None;
        self.held = Some((term, now + self.timing.duration));
        effects.push(LeaseEffect::TakenOver {
            term,
            groups_formed,
        });
    }

    fn record(&mut self, holder: Option<NodeId>, term: LeaseEpoch) -> LeaseRecord {
        self.write_number += 1;
        LeaseRecord {
            holder,
            term,
            write_number: self.write_number,
        }
    }

    fn tick(&mut self, rank: u32, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
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
            if now.since(self.last_write) >= self.timing.renewal {
                self.write(term, now, effects);
            }
            return;
        }
        let delay = TimeSpan(self.timing.rank_delay.0 * u64::from(rank));
        let may_ask = match self.others_until {
            None => true,
            Some(until) => now >= until + delay,
        };
        if may_ask {
            self.pending = PendingCall::Read { since: now };
            effects.push(LeaseEffect::Read);
        }
    }

    fn write(&mut self, term: LeaseEpoch, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        let record = self.record(Some(self.own.clone()), term);
        let version = self.known.as_ref().map(|(version, _)| *version);
        self.pending = PendingCall::Write { since: now, term };
        self.last_write = now;
        effects.push(LeaseEffect::Write { version, record });
    }

    fn claimed(&mut self, claim: LeaseClaim, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        if let Some((term, _)) = self.held {
            if claim.term > term {
                self.held = None;
                effects.push(LeaseEffect::Lost);
            } else {
                return;
            }
        }
        self.latest_term = self.latest_term.max(claim.term);
        self.claimed_version = Some(claim.version);
        self.others_until = Some(now + claim.remaining);
    }

    fn read(
        &mut self,
        found: Option<(ObjectVersion, LeaseRecord)>,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.pending = PendingCall::None;
        let Some((version, record)) = found else {
            self.known = None;
            if !self.is_resigning {
                self.write(LeaseEpoch(1), now, effects);
            }
            return;
        };
        let is_free = record.holder.is_none();
        let is_own = record.holder.as_ref() == Some(&self.own);
        let was_known = self.claimed_version == Some(version);
        let is_unchanged = self
            .known
            .as_ref()
            .is_some_and(|(known, _)| *known == version);
        let term = record.term;
        self.latest_term = self.latest_term.max(term);
        self.known = Some((version, record));
        self.claimed_version = Some(version);
        if self.held.is_some() {
            // A renewal whose answer was lost: the object decides, and the next renewal goes out at once. A lease that
            // was handed over bears the earlier holder's name until the first renewal.
            if !is_own && !is_unchanged {
                self.held = None;
                effects.push(LeaseEffect::Lost);
            } else {
                self.last_write = Timestamp(0);
            }
            return;
        }
        let has_expired = was_known && self.others_until.is_some_and(|until| now >= until);
        if (is_free || has_expired) && !self.is_resigning {
            self.write(term.next(), now, effects);
        } else if !has_expired {
            self.others_until = Some(now + self.timing.duration);
        }
    }

    fn written(&mut self, result: LeaseWrite, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        let PendingCall::Write { since, term } = self.pending else {
            // An answer after the time for the call; the next reading shows what happened.
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
                    holder: Some(self.own.clone()),
                    term,
                    write_number: self.write_number,
                };
                self.known = Some((version, record));
                self.claimed_version = Some(version);
                self.held = Some((term, until));
                if is_new {
                    effects.push(LeaseEffect::Acquired(term));
                }
            }
            LeaseWrite::Conflict | LeaseWrite::Unknown => {
                // Another write may be in force: the object has to be read before the next write.
                if self.held.is_none() {
                    self.others_until = Some(now + self.timing.duration);
                }
                self.pending = PendingCall::Read { since: now };
                effects.push(LeaseEffect::Read);
            }
            LeaseWrite::NotWritten => {}
        }
    }
}
