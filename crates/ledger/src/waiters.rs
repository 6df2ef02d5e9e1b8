//! Requests that wait for a claim.

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
    pub(crate) fn wait(&mut self, query: &ClaimQuery, key: &Arc<ClaimKey>) -> ClaimOutcome {
        self.table.reopen(key);
        if let Some(entry) = self.table.get_mut(key) {
            entry.waiters.push(ClaimWaiter {
                request: query.request.clone(),
                idempotent: query.idempotent,
                deadline: query.deadline,
            });
        }
        self.waiting.insert(query.request.clone(), key.clone());
        self.busy.insert(key.clone());
        ClaimOutcome::Waiting
    }

    /// Takes all waiting requests off a claim; each must be resolved or put back.
    pub(crate) fn take_waiters(&mut self, key: &Arc<ClaimKey>) -> Vec<ClaimWaiter> {
        self.busy.remove(key);
        let Some(entry) = self.table.get_mut(key) else {
            return Vec::new();
        };
        let waiters = std::mem::take(&mut entry.waiters);
        for waiter in &waiters {
            self.waiting.remove(&waiter.request);
        }
        waiters
    }

    pub(crate) fn put_back(&mut self, key: &Arc<ClaimKey>, waiters: Vec<ClaimWaiter>) {
        if waiters.is_empty() {
            return;
        }
        for waiter in &waiters {
            self.waiting.insert(waiter.request.clone(), key.clone());
        }
        if let Some(entry) = self.table.get_mut(key) {
            entry.waiters.extend(waiters);
        }
        self.busy.insert(key.clone());
    }

    /// Runs the first idempotent waiting request and lets the other idempotent ones wait for it;
    /// the rest get `refused`.
    pub(crate) fn run_idempotent(
        &mut self,
        key: &Arc<ClaimKey>,
        origin: GrantOrigin,
        waiters: Vec<ClaimWaiter>,
        refused: &ClaimOutcome,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        let (mut repeatable, others): (Vec<_>, Vec<_>) = waiters
            .into_iter()
            .partition(|waiter| waiter.may_repeat(now));
        let mut effects = resolve_all(others, refused);
        if !repeatable.is_empty() {
            let first = repeatable.remove(0);
            self.put_back(key, repeatable);
            let outcome = self.run(&first.request, key, origin);
            effects.push(resolved(first, outcome));
        }
        effects
    }

    /// Lets a claim be evicted when nobody waits for its home's answer any more. The call stays
    /// open, so that a grant that arrives later can still be used here.
    pub(crate) fn end_idle_ask(&mut self, key: &Arc<ClaimKey>) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        if let ClaimState::Asked {
            call,
            ask: Some(ask),
        } = &entry.state
        {
            let (call, sent) = (*call, ask.sent);
            self.table
                .end(key, ClaimState::Asked { call, ask: None }, sent);
        }
    }

    pub(crate) fn refuse_late_waiters(
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
            _ => refusal::deadline(),
        };
        let waiters = self.take_waiters(key);
        let (in_time, late): (Vec<_>, Vec<_>) = waiters
            .into_iter()
            .partition(|waiter| now < waiter.deadline);
        if in_time.is_empty() {
            self.end_idle_ask(key);
        }
        self.put_back(key, in_time);
        effects.extend(resolve_all(late, &refused));
    }
}

pub(crate) fn resolved(waiter: ClaimWaiter, outcome: ClaimOutcome) -> LedgerEffect {
    LedgerEffect::Resolved {
        request: waiter.request,
        outcome,
    }
}

pub(crate) fn resolve_all(waiters: Vec<ClaimWaiter>, outcome: &ClaimOutcome) -> Vec<LedgerEffect> {
    waiters
        .into_iter()
        .map(|waiter| resolved(waiter, outcome.clone()))
        .collect()
}
