//! Requests that wait for a claim to be granted or for the response of another request.

use std::sync::Arc;

use jaysaddle_types::units::Timestamp;

use crate::claims::ClaimKey;
use crate::claims::ClaimState;
use crate::claims::ClaimWaiter;
use crate::claims::GrantOrigin;
use crate::ledger::RequestLedger;
use crate::query::ClaimOutcome;
use crate::query::ClaimQuery;
use crate::query::LedgerEffect;
use crate::refusal;

impl RequestLedger {
    pub(crate) fn add_waiter(&mut self, query: &ClaimQuery, key: &Arc<ClaimKey>) -> ClaimOutcome {
        self.table.mark_in_use(key);
        if let Some(entry) = self.table.get_mut(key) {
            entry.waiters.push(ClaimWaiter {
                request: query.request.clone(),
                idempotent: query.idempotent,
                deadline: query.deadline,
            });
        }
        self.waiting.insert(query.request.clone(), key.clone());
        self.keys_with_waiters.insert(key.clone());
        ClaimOutcome::Waiting
    }

    /// Removes all waiting requests from a claim. Each must be resolved or restored.
    pub(crate) fn take_waiters(&mut self, key: &Arc<ClaimKey>) -> Vec<ClaimWaiter> {
        self.keys_with_waiters.remove(key);
        let Some(entry) = self.table.get_mut(key) else {
            return Vec::new();
        };
        let waiters = std::mem::take(&mut entry.waiters);
        for waiter in &waiters {
            self.waiting.remove(&waiter.request);
        }
        waiters
    }

    pub(crate) fn restore_waiters(&mut self, key: &Arc<ClaimKey>, waiters: Vec<ClaimWaiter>) {
        if waiters.is_empty() {
            return;
        }
        for waiter in &waiters {
            self.waiting.insert(waiter.request.clone(), key.clone());
        }
        if let Some(entry) = self.table.get_mut(key) {
            entry.waiters.extend(waiters);
        }
        self.keys_with_waiters.insert(key.clone());
    }

    /// Grants the claim to the first idempotent waiting request, for which the other idempotent
    /// ones wait. The rest get `refused`.
    pub(crate) fn grant_idempotent(
        &mut self,
        key: &Arc<ClaimKey>,
        origin: GrantOrigin,
        waiters: Vec<ClaimWaiter>,
        refused: &ClaimOutcome,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        let (mut rerunnable, others): (Vec<_>, Vec<_>) = waiters
            .into_iter()
            .partition(|waiter| waiter.may_rerun(now));
        let mut effects = resolve_all(others, refused);
        if !rerunnable.is_empty() {
            let first = rerunnable.remove(0);
            self.restore_waiters(key, rerunnable);
            let outcome = self.grant_local(&first.request, key, origin);
            effects.push(resolve(first, outcome));
        }
        effects
    }

    /// Stops the query of a claim without waiting requests, so that the claim can be evicted. The
    /// claim keeps its call id, so that this node can still use a grant that arrives later.
    pub(crate) fn close_idle_query(&mut self, key: &Arc<ClaimKey>) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        if let ClaimState::Open {
            call,
            query: Some(pending),
        } = &entry.state
        {
            let (call, sent) = (*call, pending.sent);
            self.table
                .set_ended(key, ClaimState::Open { call, query: None }, sent);
        }
    }

    pub(crate) fn refuse_expired_waiters(
        &mut self,
        key: &Arc<ClaimKey>,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let refused = match entry.state {
            ClaimState::Running { .. } => refusal::still_running(),
            _ => refusal::deadline_exceeded(),
        };
        let waiters = self.take_waiters(key);
        let (in_time, late): (Vec<_>, Vec<_>) = waiters
            .into_iter()
            .partition(|waiter| now < waiter.deadline);
        if in_time.is_empty() {
            self.close_idle_query(key);
        }
        self.restore_waiters(key, in_time);
        effects.extend(resolve_all(late, &refused));
    }
}

pub(crate) fn resolve(waiter: ClaimWaiter, outcome: ClaimOutcome) -> LedgerEffect {
    LedgerEffect::Resolved {
        request: waiter.request,
        outcome,
    }
}

pub(crate) fn resolve_all(waiters: Vec<ClaimWaiter>, outcome: &ClaimOutcome) -> Vec<LedgerEffect> {
    waiters
        .into_iter()
        .map(|waiter| resolve(waiter, outcome.clone()))
        .collect()
}
