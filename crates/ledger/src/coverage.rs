//! Which home tokens a ledger still answers for.

use std::collections::BTreeMap;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::Timestamp;

use crate::claims::ClaimKey;

/// Homes that may be taken over; beyond, further handovers are ignored and their keys count as may
/// have run.
const MAX_IMPORTED_HOMES: usize = 1024;

/// Marks a home of which claims have been forgotten, so that no token is covered any more.
const NOTHING_COVERED: Timestamp = Timestamp(u64::MAX);

/// Coverage by home.
///
/// # Invariants
///
/// A token of a forgotten claim is not covered: an unknown key with a covered token was never
/// granted.
#[derive(Clone, Debug)]
pub(crate) struct LedgerCoverage {
    pub(crate) own: NodeKey,
    /// Tokens issued by this run before this time are not covered.
    own_from: Timestamp,
    /// The same for homes taken over, on their clocks, with the time of their export.
    imported: BTreeMap<NodeKey, (Timestamp, Timestamp)>,
    /// Set by a handover. Unknown keys are granted by the successor only.
    pub(crate) sealed: bool,
}

impl LedgerCoverage {
    pub(crate) fn new(own: NodeKey, started: Timestamp) -> Self {
        Self {
            own,
            own_from: started,
            imported: BTreeMap::new(),
            sealed: false,
        }
    }

    /// Whether this ledger answers for `home`.
    pub(crate) fn answers_for(&self, home: &NodeKey) -> bool {
        *home == self.own || self.imported.contains_key(home)
    }

    /// Whether an unknown key with `token` was never granted and may be granted now.
    pub(crate) fn covers(&self, token: &HomeToken, now: Timestamp) -> bool {
        if self.sealed {
            return false;
        }
        if token.node == self.own {
            // A token from the future is forged; it would outlive every eviction.
            return token.issued >= self.own_from && token.issued <= now;
        }
        let imported = self.imported.get(&token.node);
        imported.is_some_and(|(from, _)| token.issued >= *from)
    }

    /// Moves the coverage forward because the claim of `key`, which ended at `ended`, is forgotten.
    pub(crate) fn forget(&mut self, key: &ClaimKey, ended: Timestamp) {
        if key.home == self.own {
            // Its token was issued before it ended, whichever token a retry names.
            self.own_from = self.own_from.max(Timestamp(ended.0.saturating_add(1)));
        } else if let Some((from, _)) = self.imported.get_mut(&key.home) {
            // The clock of that home cannot be read any more.
            *from = NOTHING_COVERED;
        }
    }

    /// Takes over a home; false when it cannot be.
    pub(crate) fn import(&mut self, home: &NodeKey, from: Timestamp, home_now: Timestamp) -> bool {
        if self.answers_for(home) || self.imported.len() >= MAX_IMPORTED_HOMES {
            return false;
        }
        self.imported.insert(home.clone(), (from, home_now));
        true
    }

    pub(crate) fn own_from(&self) -> Timestamp {
        self.own_from
    }

    /// Homes taken over with their coverage and the time of their export.
    pub(crate) fn imported(&self) -> impl Iterator<Item = (&NodeKey, &(Timestamp, Timestamp))> {
        self.imported.iter()
    }
}
