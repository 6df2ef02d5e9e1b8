//! The home's side: answers to other nodes.

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
    /// Answers another node's question about a key whose home is here.
    ///
    /// A grant is remembered with the node run and its call. The same call is granted again,
    /// because a node run repeats a call only while it has dispatched nothing for it. Every other
    /// question about a granted key is answered with may have run.
    pub fn answer_query(
        &mut self,
        from: &NodeKey,
        query: LedgerQuery,
        now: Timestamp,
    ) -> LedgerAnswer {
        if !self.table.coverage.answers_for(&query.home.node) {
            return LedgerAnswer::MayHaveRun;
        }
        let key = ClaimKey {
            home: query.home.node.clone(),
            account: query.account.clone(),
            key: query.key.clone(),
        };
        match self.table.get(&key) {
            Some(_) => self.answer_known(from, &query, key, now),
            None => self.answer_unknown(from, &query, key, now),
        }
    }

    fn answer_known(
        &mut self,
        from: &NodeKey,
        query: &LedgerQuery,
        key: ClaimKey,
        now: Timestamp,
    ) -> LedgerAnswer {
        let Some(entry) = self.table.get(&key) else {
            return LedgerAnswer::MayHaveRun;
        };
        if matches!(entry.state, ClaimState::Asked { .. }) {
            return LedgerAnswer::MayHaveRun;
        }
        if entry.fingerprint != query.fingerprint {
            return LedgerAnswer::Conflict;
        }
        match &entry.state {
            ClaimState::Stored(answer) => LedgerAnswer::Stored(answer.clone()),
            ClaimState::Running { .. } => LedgerAnswer::Running,
            ClaimState::Granted { to, call } if to == from && *call == query.call => {
                LedgerAnswer::Granted
            }
            ClaimState::Held { .. } if !self.table.coverage.sealed => {
                self.grant(from, query, &Arc::new(key), now);
                LedgerAnswer::Granted
            }
            _ => LedgerAnswer::MayHaveRun,
        }
    }

    fn answer_unknown(
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
        if !self.table.make_room(&self.settings) {
            return LedgerAnswer::MayHaveRun;
        }
        // Making room may have moved the coverage past this token.
        if !self.table.coverage.covers(&query.home, now) {
            return LedgerAnswer::Expired;
        }
        let key = Arc::new(key);
        let entry = ClaimEntry::new(query.fingerprint, ClaimState::Closed);
        self.table.insert(key.clone(), entry);
        self.grant(from, query, &key, now);
        LedgerAnswer::Granted
    }

    fn grant(&mut self, from: &NodeKey, query: &LedgerQuery, key: &Arc<ClaimKey>, now: Timestamp) {
        let state = ClaimState::Granted {
            to: from.clone(),
            call: query.call,
        };
        if let Some(entry) = self.table.get_mut(key) {
            entry.confirmed = true;
        }
        self.table.end(key, state, now);
    }
}
