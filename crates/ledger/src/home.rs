//! Queries from other nodes about keys whose home this ledger serves.

use std::sync::Arc;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;

use crate::claims::ClaimEntry;
use crate::claims::ClaimKey;
use crate::claims::ClaimState;
use crate::ledger::RequestLedger;
use crate::query::LedgerAnswer;
use crate::query::LedgerQuery;

impl RequestLedger {
    /// Answers a query of the node incarnation `from` about a key whose home is
    /// served by this ledger.
    ///
    /// A grant is recorded with the grantee and the call id. The same call is granted again,
    /// because a node resends a call only while it has dispatched no request for it. Every other
    /// query about a granted key is answered with [`LedgerAnswer::MayHaveRun`].
    pub fn answer_query(
        &mut self,
        from: &NodeKey,
        query: LedgerQuery,
        now: Timestamp,
    ) -> LedgerAnswer {
        if !self.table.coverage.serves_home(&query.home.node) {
            return LedgerAnswer::MayHaveRun;
        }
        let key = ClaimKey {
            home: query.home.node.clone(),
            account: query.account.clone(),
            key: query.key.clone(),
        };
        match self.table.get(&key) {
            Some(_) => self.answer_existing(from, &query, key, now),
            None => self.answer_new(from, &query, key, now),
        }
    }

    fn answer_existing(
        &mut self,
        from: &NodeKey,
        query: &LedgerQuery,
        key: ClaimKey,
        now: Timestamp,
    ) -> LedgerAnswer {
        let Some(entry) = self.table.get(&key) else {
            return LedgerAnswer::MayHaveRun;
        };
        if matches!(entry.state, ClaimState::Open { .. }) {
            return LedgerAnswer::MayHaveRun;
        }
        if entry.fingerprint != query.fingerprint {
            return LedgerAnswer::Conflict;
        }
        match &entry.state {
            ClaimState::Stored(response) => LedgerAnswer::Stored(response.clone()),
            ClaimState::Running { .. } => LedgerAnswer::Running,
            ClaimState::Granted { to, call } if to == from && *call == query.call => {
                LedgerAnswer::Granted
            }
            ClaimState::Held { .. } if !self.table.coverage.sealed => {
                self.grant_remote(from, query, &Arc::new(key), now);
                LedgerAnswer::Granted
            }
            _ => LedgerAnswer::MayHaveRun,
        }
    }

    fn answer_new(
        &mut self,
        from: &NodeKey,
        query: &LedgerQuery,
        key: ClaimKey,
        now: Timestamp,
    ) -> LedgerAnswer {
        if !self.table.coverage.covers(&query.home, now) {
            return match self.table.coverage.sealed {
                true => LedgerAnswer::MayHaveRun,
                false => LedgerAnswer::Expired,
            };
        }
        if !self.table.ensure_room(&self.settings) {
            return LedgerAnswer::MayHaveRun;
        }
        // An eviction may have moved the coverage past this token.
        if !self.table.coverage.covers(&query.home, now) {
            return LedgerAnswer::Expired;
        }
        let key = Arc::new(key);
        let entry = ClaimEntry::new(query.fingerprint, ClaimState::Closed);
        self.table.insert(key.clone(), entry);
        self.grant_remote(from, query, &key, now);
        LedgerAnswer::Granted
    }

    fn grant_remote(
        &mut self,
        from: &NodeKey,
        query: &LedgerQuery,
        key: &Arc<ClaimKey>,
        now: Timestamp,
    ) {
        let state = ClaimState::Granted {
            to: from.clone(),
            call: query.call,
        };
        if let Some(entry) = self.table.get_mut(key) {
            entry.is_confirmed = true;
        }
        self.table.set_ended(key, state, now);
    }
}
