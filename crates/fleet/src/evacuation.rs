//! Failure domains that operators have evacuated: their backend servers get nothing until the request is taken back.
//!
//! Nodes that read the store pass the whole set on in their heartbeats. Each node keeps the set that was read from the
//! latest revision of the store, so the order in which sets arrive does not matter, and a node that is cut off from the
//! store learns of a change from any peer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Maximum number of evacuated failure domains. Further ones are left out, which bounds the size of a heartbeat.
pub const MAX_EVACUATED: usize = 64;

/// Time for which the end of an evacuation is remembered. Backend servers are cold for seconds after it.
const LIFT_RETENTION: TimeSpan = TimeSpan::from_secs(60);

/// The evacuated failure domains as of a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationSet {
    /// Era of the store in which the set was read.
    pub era: StoreEra,
    /// Revision of the store as of which the set is complete.
    pub revision: StoreRevision,
    /// The evacuated failure domains.
    pub domains: BTreeSet<FailureDomainId>,
}

impl EvacuationSet {
    /// Whether this set was read after `other`.
    fn is_newer_than(&self, other: &EvacuationSet) -> bool {
        (self.era, self.revision) > (other.era, other.revision)
    }
}

/// Failure domains that a new set adds and leaves out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Failure domains that are evacuated from now on.
    pub begun: Vec<FailureDomainId>,
    /// Failure domains whose evacuation has ended.
    pub lifted: Vec<FailureDomainId>,
}

struct DomainList<'a>(&'a [FailureDomainId]);

impl fmt::Display for DomainList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (position, domain) in self.0.iter().enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(f, "{separator}{domain}")?;
        }
        Ok(())
    }
}

impl fmt::Display for EvacuationChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "begun={} lifted={}",
            DomainList(&self.begun),
            DomainList(&self.lifted)
        )
    }
}

/// The evacuations that a node knows.
#[derive(Clone, Debug, Default)]
pub struct EvacuationState {
    /// Latest known set; `None` before the first.
    set: Option<EvacuationSet>,
    /// When this node learned of the end of evacuations.
    lifted: BTreeMap<FailureDomainId, Timestamp>,
}

impl EvacuationState {
    /// Takes over a set if it is newer than the one in force. Returns the change, if the set of failure domains differs.
    pub fn merge(&mut self, set: &EvacuationSet, now: Timestamp) -> Option<EvacuationChange> {
        let is_newer = self
            .set
            .as_ref()
            .is_none_or(|current| set.is_newer_than(current));
        if !is_newer {
            return None;
        }
        let before = self.set.take().map(|set| set.domains).unwrap_or_default();
        let change = EvacuationChange {
            begun: set.domains.difference(&before).cloned().collect(),
            lifted: before.difference(&set.domains).cloned().collect(),
        };
        self.lifted
            .retain(|_, lifted| now.since(*lifted) < LIFT_RETENTION);
        for domain in &change.lifted {
            self.lifted.insert(domain.clone(), now);
        }
        for domain in &change.begun {
            self.lifted.remove(domain);
        }
        self.set = Some(set.clone());
        (change != EvacuationChange::default()).then_some(change)
    }

    /// The set in force, for heartbeats; `None` before the first was read or received.
    pub fn current(&self) -> Option<&EvacuationSet> {
        self.set.as_ref()
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomainId> {
        self.set.iter().flat_map(|set| &set.domains)
    }

    /// Whether the backend servers of a failure domain must get nothing.
    pub fn is_evacuated(&self, domain: &FailureDomainId) -> bool {
        self.set
            .as_ref()
            .is_some_and(|set| set.domains.contains(domain))
    }

    /// When this node learned of the end of the last evacuation of a failure domain; `None` if there was none lately.
    pub fn lifted_at(&self, domain: &FailureDomainId) -> Option<Timestamp> {
        self.lifted.get(domain).copied()
    }
}
