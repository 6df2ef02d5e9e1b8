//! Handover of a ledger to a successor.

use std::sync::Arc;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::claims::ClaimEntry;
use crate::claims::ClaimKey;
use crate::claims::ClaimState;
use crate::claims::GrantOrigin;
use crate::ledger::RequestLedger;
use crate::query::ClaimOutcome;
use crate::refusal;
use crate::snapshot::LedgerSnapshot;
use crate::snapshot::SnapshotEntry;
use crate::snapshot::SnapshotState;
use crate::waiters::resolve_all;

impl RequestLedger {
    /// Seals this ledger and returns the claims of its own home for the successor.
    ///
    /// A sealed ledger grants no unknown key; otherwise both nodes could grant the same key. For
    /// the same reason a snapshot must be sent to one successor only: if that node does not
    /// acknowledge it, the claims are treated as [`Verdict::MayHaveRun`].
    pub fn export(&mut self, now: Timestamp) -> LedgerSnapshot {
        self.table.coverage.sealed = true;
        let home = self.table.coverage.own.clone();
        let covered_from = self.table.coverage.own_covered_from();
        self.snapshot(home, covered_from, now)
    }

    /// Seals this ledger and returns the claims of the homes that it imported.
    pub fn export_imported(&mut self) -> Vec<LedgerSnapshot> {
        self.table.coverage.sealed = true;
        let homes: Vec<_> = self
            .table
            .coverage
            .imported()
            .map(|(home, (from, home_now))| (home.clone(), *from, *home_now))
            .collect();
        homes
            .into_iter()
            .map(|(home, from, home_now)| self.snapshot(home, from, home_now))
            .collect()
    }

    /// Imports the claims of another home. Later snapshots of the same home are ignored.
    ///
    /// Requests that wait for an answer from that home are resolved by the next tick.
    pub fn import(&mut self, snapshot: LedgerSnapshot, now: Timestamp) {
        let (from, home_now) = (snapshot.covered_from, snapshot.home_now);
        if !self.table.coverage.import(&snapshot.home, from, home_now) {
            return;
        }
        for entry in snapshot.entries {
            self.import_entry(&snapshot.home, entry, now);
        }
        self.table.evict_responses(&self.settings);
        self.close_queries_to(&snapshot.home, now);
    }

    fn snapshot(
        &self,
        home: NodeKey,
        covered_from: Timestamp,
        home_now: Timestamp,
    ) -> LedgerSnapshot {
        let mut entries: Vec<SnapshotEntry> = self
            .table
            .iter()
            .filter(|(key, _)| key.home == home)
            .filter_map(|(key, entry)| {
                Some(SnapshotEntry {
                    account: key.account.clone(),
                    key: key.key.clone(),
                    fingerprint: entry.fingerprint,
                    state: exported_state(entry)?,
                })
            })
            .collect();
        entries.sort_by(|one, other| (&one.account, &one.key).cmp(&(&other.account, &other.key)));
        LedgerSnapshot {
            home,
            covered_from,
            home_now,
            entries,
        }
    }

    fn import_entry(&mut self, home: &NodeKey, imported: SnapshotEntry, now: Timestamp) {
        let key = Arc::new(ClaimKey {
            home: home.clone(),
            account: imported.account,
            key: imported.key,
        });
        let (state, verdict) = match imported.state {
            SnapshotState::Stored(response) => (ClaimState::Stored(response), Verdict::Ran),
            SnapshotState::MayHaveRun => (ClaimState::Closed, Verdict::MayHaveRun),
            // A snapshot does not contain the grantee's call id, so the call cannot
            // be granted again.
            SnapshotState::Granted { .. } => (ClaimState::Closed, Verdict::MayHaveRun),
        };
        let Some(existing) = self.table.get_mut(&key) else {
            if !self.table.ensure_room(&self.settings) {
                // The claim is dropped, so its home is no longer covered.
                self.table.coverage.advance_past(&key, now);
                return;
            }
            let mut entry = ClaimEntry::new(imported.fingerprint, ClaimState::Closed);
            entry.verdict = verdict;
            entry.is_confirmed = true;
            self.table.insert(key.clone(), entry);
            self.table.set_ended(&key, state, now);
            return;
        };
        // The local state is authoritative for a grant that this node received itself. For any other
        // claim, the home's verdict is combined in, because a request that may have been executed
        // must not be granted again.
        let granted_here = matches!(
            existing.state,
            ClaimState::Held { .. }
                | ClaimState::Running {
                    origin: GrantOrigin::Call(_),
                    ..
                }
        );
        if granted_here {
            return;
        }
        existing.verdict = existing.verdict.combine(verdict);
        if matches!(existing.state, ClaimState::Open { .. }) {
            let same_body = existing.fingerprint == imported.fingerprint;
            existing.fingerprint = imported.fingerprint;
            existing.is_confirmed = true;
            let waiters = self.take_waiters(&key);
            let refused = match &state {
                _ if !same_body => refusal::conflict(false),
                ClaimState::Stored(response) => ClaimOutcome::Stored(response.clone()),
                _ => refusal::already_ended(verdict),
            };
            self.deferred_effects.extend(resolve_all(waiters, &refused));
            self.table.set_ended(&key, state, now);
        }
    }

    /// Ends the queries to a home that this ledger now serves. The home granted none of them,
    /// so a caller retry may claim the key on this node.
    fn close_queries_to(&mut self, home: &NodeKey, now: Timestamp) {
        let queried: Vec<_> = self
            .table
            .iter()
            .filter(|(key, _)| key.home == *home)
            .filter_map(|(key, entry)| match entry.state {
                ClaimState::Open { call, .. } => Some((key.clone(), call)),
                _ => None,
            })
            .collect();
        for (key, call) in queried {
            let refused = refusal::home_unreachable();
            let effects = self.fail_query(&key, call, &refused, now);
            self.deferred_effects.extend(effects);
            let idle = self
                .table
                .get(&key)
                .is_some_and(|entry| matches!(entry.state, ClaimState::Open { query: None, .. }));
            if idle {
                self.table.remove(&key);
            }
            self.calls.remove(&call);
        }
    }
}

/// Returns the state of a claim for the successor; `None` when the home has recorded no claim.
fn exported_state(entry: &ClaimEntry) -> Option<SnapshotState> {
    match &entry.state {
        ClaimState::Stored(response) => Some(SnapshotState::Stored(response.clone())),
        // This node may still use a held grant, so the successor must not grant the key as well.
        ClaimState::Running { .. } | ClaimState::Held { .. } | ClaimState::Closed => {
            Some(SnapshotState::MayHaveRun)
        }
        ClaimState::Granted { to, .. } => Some(SnapshotState::Granted { to: to.clone() }),
        ClaimState::Open { .. } => None,
    }
}
