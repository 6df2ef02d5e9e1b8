//! Coverage of home tokens: the homes that a ledger serves, and the issue times it covers.

use std::collections::BTreeMap;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::Timestamp;

use crate::claims::ClaimKey;

/// Maximum number of imported homes. Further handovers are ignored, so that their keys are treated
/// as [`Verdict::MayHaveRun`](jaysaddle_types::verdict::Verdict::MayHaveRun).
const MAX_IMPORTED_HOMES: usize = 1024;

/// Start of coverage for an imported home after one of its claims was evicted: covers no token.
const NOTHING_COVERED: Timestamp = Timestamp(u64::MAX);

/// Earliest issue time of covered tokens, per home.
///
/// # Invariants
///
/// The token of an evicted claim is not covered: a key that is not in the table but has a covered
/// token was never granted.
#[derive(Clone, Debug)]
pub(crate) struct LedgerCoverage {
    pub(crate) own: NodeKey,
    /// Tokens issued by this incarnation before this time are not covered.
    own_covered_from: Timestamp,
    /// For each imported home, the start of its coverage and the time of its export, both on
    /// its own clock.
    imported: BTreeMap<NodeKey, (Timestamp, Timestamp)>,
    /// Set by a handover, after which only the successor grants unknown keys.
    pub(crate) sealed: bool,
}

impl LedgerCoverage {
    pub(crate) fn new(own: NodeKey, started: Timestamp) -> Self {
        Self {
            own,
            own_covered_from: started,
            imported: BTreeMap::new(),
            sealed: false,
        }
    }

    /// Whether `home` is this incarnation or an imported home.
    pub(crate) fn serves_home(&self, home: &NodeKey) -> bool {
        *home == self.own || self.imported.contains_key(home)
    }

    /// Whether a key that is not in the table, claimed with `token`, was never granted and may
    /// be granted now.
    pub(crate) fn covers(&self, token: &HomeToken, now: Timestamp) -> bool {
        if self.sealed {
            return false;
        }
        if token.node == self.own {
            // A token from the future is forged; it would stay covered after the eviction
            // of its claim.
            return token.issued >= self.own_covered_from && token.issued <= now;
        }
        let imported = self.imported.get(&token.node);
        imported.is_some_and(|(from, _)| token.issued >= *from)
    }

    /// Moves the coverage past the claim of `key`, which ended at `ended` and is being evicted.
    pub(crate) fn advance_past(&mut self, key: &ClaimKey, ended: Timestamp) {
        if key.home == self.own {
            // Every token of the claim was issued before it ended, also one that a
            // caller retry names.
            self.own_covered_from = self
                .own_covered_from
                .max(Timestamp(ended.0.saturating_add(1)));
        } else if let Some((from, _)) = self.imported.get_mut(&key.home) {
            // The current time on that home's clock is unknown, so no later start can be computed.
            *from = NOTHING_COVERED;
        }
    }

    /// Adds an imported home. Returns false when this ledger already serves it, or when there
    /// are too many.
    pub(crate) fn import(&mut self, home: &NodeKey, from: Timestamp, home_now: Timestamp) -> bool {
        if self.serves_home(home) || self.imported.len() >= MAX_IMPORTED_HOMES {
            return false;
        }
        self.imported.insert(home.clone(), (from, home_now));
        true
    }

    pub(crate) fn own_covered_from(&self) -> Timestamp {
        self.own_covered_from
    }

    /// Returns the imported homes, each with the start of its coverage and the time of its export.
    pub(crate) fn imported(&self) -> impl Iterator<Item = (&NodeKey, &(Timestamp, Timestamp))> {
        self.imported.iter()
    }
}
