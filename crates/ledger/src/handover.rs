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
    /// A sealed ledger grants no unknown key; otherwise both nodes could grant one key. For the
    /// same reason a snapshot goes to one successor only: when that one does not confirm, the
    /// claims count as may have run.
    pub fn export(&mut self, now: Timestamp) -> LedgerSnapshot {
        self.table.coverage.sealed = true;
        let home = self.table.coverage.own.clone();
        let covered_from = self.table.coverage.own_from();
        self.snapshot(home, covered_from, now)
    }

    /// Seals this ledger and returns the claims of the homes that it took over.
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

    /// Takes over the claims of another home. Only the first snapshot of a home counts.
    ///
    /// Requests that wait for an answer of that home are resolved by the next tick.
    pub fn import(&mut self, snapshot: LedgerSnapshot, now: Timestamp) {
        let (from, home_now) = (snapshot.covered_from, snapshot.home_now);
        if !self.table.coverage.import(&snapshot.home, from, home_now) {
            return;
        }
        for entry in snapshot.entries {
            self.import_entry(&snapshot.home, entry, now);
        }
        self.table.bound_answers(&self.settings);
        self.close_questions(&snapshot.home, now);
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
                    state: exported(entry)?,
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
            SnapshotState::Stored(answer) => (ClaimState::Stored(answer), Verdict::Ran),
            SnapshotState::MayHaveRun => (ClaimState::Closed, Verdict::MayHaveRun),
            // The grantee's call is not part of a snapshot, so it cannot be granted again.
            SnapshotState::Granted { .. } => (ClaimState::Closed, Verdict::MayHaveRun),
        };
        let Some(known) = self.table.get_mut(&key) else {
            if !self.table.make_room(&self.settings) {
                // The claim is forgotten at once, so its home is no longer covered.
                self.table.coverage.forget(&key, now);
                return;
            }
            let mut entry = ClaimEntry::new(imported.fingerprint, ClaimState::Closed);
            entry.verdict = verdict;
            entry.confirmed = true;
            self.table.insert(key.clone(), entry);
            self.table.end(&key, state, now);
            return;
        };
        // What this node did itself is known better here, but a free key must not stay free when
        // the home says that it may have run.
        let own_grant = matches!(
            known.state,
            ClaimState::Held { .. }
                | ClaimState::Running {
                    origin: GrantOrigin::Call(_),
                    ..
                }
        );
        if own_grant {
            return;
        }
        known.verdict = known.verdict.combine(verdict);
        if matches!(known.state, ClaimState::Asked { .. }) {
            let same_body = known.fingerprint == imported.fingerprint;
            known.fingerprint = imported.fingerprint;
            known.confirmed = true;
            let waiters = self.take_waiters(&key);
            let refused = match &state {
                _ if !same_body => refusal::conflict(false),
                ClaimState::Stored(answer) => ClaimOutcome::Stored(answer.clone()),
                _ => refusal::ended(verdict),
            };
            self.deferred.extend(resolve_all(waiters, &refused));
            self.table.end(&key, state, now);
        }
    }

    /// Ends open questions to a home that this ledger now answers for itself. The home never
    /// granted them, so a retry may claim the key here.
    fn close_questions(&mut self, home: &NodeKey, now: Timestamp) {
        let asked: Vec<_> = self
            .table
            .iter()
            .filter(|(key, _)| key.home == *home)
            .filter_map(|(key, entry)| match entry.state {
                ClaimState::Asked { call, .. } => Some((key.clone(), call)),
                _ => None,
            })
            .collect();
        for (key, call) in asked {
            let refused = refusal::home_unreachable();
            let effects = self.without_grant(&key, call, &refused, now);
            self.deferred.extend(effects);
            let idle = self
                .table
                .get(&key)
                .is_some_and(|entry| matches!(entry.state, ClaimState::Asked { ask: None, .. }));
            if idle {
                self.table.remove(&key);
            }
            self.calls.remove(&call);
        }
    }
}

/// What the successor may know of a claim; `None` when the home holds no claim.
fn exported(entry: &ClaimEntry) -> Option<SnapshotState> {
    match &entry.state {
        ClaimState::Stored(answer) => Some(SnapshotState::Stored(answer.clone())),
        // A held grant may still be used here, so the successor must not grant it as well.
        ClaimState::Running { .. } | ClaimState::Held { .. } | ClaimState::Closed => {
            Some(SnapshotState::MayHaveRun)
        }
        ClaimState::Granted { to, .. } => Some(SnapshotState::Granted { to: to.clone() }),
        ClaimState::Asked { .. } => None,
    }
}
