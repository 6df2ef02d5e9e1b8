//! Queries to homes on other nodes.

use std::sync::Arc;

use jaysaddle_types::ids::CallId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::claims::ClaimKey;
use crate::claims::ClaimState;
use crate::claims::ClaimWaiter;
use crate::claims::GrantOrigin;
use crate::claims::PendingQuery;
use crate::ledger::RequestLedger;
use crate::query::ClaimOutcome;
use crate::query::LedgerAnswer;
use crate::query::LedgerEffect;
use crate::query::LedgerQuery;
use crate::refusal;
use crate::waiters::resolve;
use crate::waiters::resolve_all;

/// Number of times a query is sent within the query timeout.
const SENDS_PER_TIMEOUT: u64 = 4;

impl RequestLedger {
    /// Records the answer to a query; `None` when the home cannot be reached.
    pub fn record_answer(
        &mut self,
        call: CallId,
        answer: Option<LedgerAnswer>,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        let Some(key) = self.calls.get(&call).cloned() else {
            return Vec::new();
        };
        let open = self.table.get(&key).is_some_and(
            |entry| matches!(entry.state, ClaimState::Open { call: id, .. } if id == call),
        );
        if !open {
            return Vec::new();
        }
        match answer {
            Some(LedgerAnswer::Granted) => self.apply_grant(&key, call, now),
            Some(LedgerAnswer::Stored(response)) => {
                let waiters = self.take_waiters(&key);
                self.calls.remove(&call);
                if let Some(entry) = self.table.get_mut(&key) {
                    entry.verdict = Verdict::Ran;
                    entry.is_confirmed = true;
                }
                self.table
                    .set_ended(&key, ClaimState::Stored(response.clone()), now);
                self.table.evict_responses(&self.settings);
                resolve_all(waiters, &ClaimOutcome::Stored(response))
            }
            Some(LedgerAnswer::Running) => {
                self.postpone_query(&key, now);
                Vec::new()
            }
            Some(LedgerAnswer::Conflict) => {
                let waiters = self.close_query(&key, call, now);
                // The home may have released the key since, and another node may have
                // executed this body.
                resolve_all(waiters, &refusal::conflict(false))
            }
            Some(LedgerAnswer::MayHaveRun) => {
                let refused = refusal::already_ended(Verdict::MayHaveRun);
                self.fail_query(&key, call, &refused, now)
            }
            Some(LedgerAnswer::Expired) => self.fail_query(&key, call, &refusal::expired(), now),
            None => self.fail_query(&key, call, &refusal::home_unreachable(), now),
        }
    }

    /// Sends the query of a claim to `node`, which serves its home.
    pub(crate) fn send_query(
        &mut self,
        key: &Arc<ClaimKey>,
        call: CallId,
        node: NodeKey,
        issued: Timestamp,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let pending = PendingQuery {
            node: node.clone(),
            issued,
            sent: now,
            resend_at: now + self.resend_interval(),
            timeout_at: now + self.settings.query_timeout,
        };
        let Some(entry) = self.table.get_mut(key) else {
            return;
        };
        entry.state = ClaimState::Open {
            call,
            query: Some(pending),
        };
        let fingerprint = entry.fingerprint;
        effects.push(LedgerEffect::SendQuery {
            node,
            query: LedgerQuery {
                call,
                account: key.account.clone(),
                key: key.key.clone(),
                fingerprint,
                home: HomeToken {
                    node: key.home.clone(),
                    issued,
                },
            },
        });
    }

    /// Allocates a call id that is unique within this incarnation and, with high probability,
    /// among all incarnations.
    pub(crate) fn new_call(&mut self, key: &Arc<ClaimKey>) -> CallId {
        self.next_call = self.next_call.wrapping_add(1);
        let call = CallId(self.next_call);
        self.calls.insert(call, key.clone());
        call
    }

    /// Resends the query of a claim, or ends it when the query timeout has passed.
    pub(crate) fn advance_query(
        &mut self,
        key: &Arc<ClaimKey>,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let ClaimState::Open {
            call,
            query: Some(pending),
        } = entry.state.clone()
        else {
            return;
        };
        if now >= pending.timeout_at {
            let refused = refusal::home_unreachable();
            effects.extend(self.fail_query(key, call, &refused, now));
        } else if now >= pending.resend_at {
            let timeout_at = pending.timeout_at;
            self.send_query(key, call, pending.node, pending.issued, now, effects);
            self.cap_query_timeout(key, timeout_at);
        }
    }

    fn resend_interval(&self) -> TimeSpan {
        TimeSpan::from_millis(self.settings.query_timeout.as_millis() / SENDS_PER_TIMEOUT)
    }

    /// Ensures that resending a query does not extend its timeout.
    fn cap_query_timeout(&mut self, key: &Arc<ClaimKey>, latest: Timestamp) {
        if let Some(entry) = self.table.get_mut(key)
            && let ClaimState::Open {
                query: Some(pending),
                ..
            } = &mut entry.state
        {
            pending.timeout_at = pending.timeout_at.min(latest);
        }
    }

    /// Schedules the next query of a claim whose home answered that the request is being executed,
    /// and restarts the query timeout.
    fn postpone_query(&mut self, key: &Arc<ClaimKey>, now: Timestamp) {
        let resend_at = now + self.resend_interval();
        let timeout_at = resend_at + self.settings.query_timeout;
        if let Some(entry) = self.table.get_mut(key)
            && let ClaimState::Open {
                query: Some(pending),
                ..
            } = &mut entry.state
        {
            pending.resend_at = resend_at;
            pending.timeout_at = timeout_at;
        }
    }

    fn apply_grant(
        &mut self,
        key: &Arc<ClaimKey>,
        call: CallId,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        self.calls.remove(&call);
        let mut waiters = self.take_waiters(key);
        let next = waiters.iter().position(|waiter| now < waiter.deadline);
        let Some(next) = next else {
            self.table.set_ended(key, ClaimState::Held { call }, now);
            return resolve_all(waiters, &refusal::deadline_exceeded());
        };
        let waiter = waiters.remove(next);
        self.restore_waiters(key, waiters);
        let outcome = self.grant_local(&waiter.request, key, GrantOrigin::Call(call));
        vec![resolve(waiter, outcome)]
    }

    /// Ends a query without a grant: idempotent requests are executed anyway, others get `refused`.
    ///
    /// The claim keeps its call id, so that this node can still use a grant that arrives later.
    pub(crate) fn fail_query(
        &mut self,
        key: &Arc<ClaimKey>,
        call: CallId,
        refused: &ClaimOutcome,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        let waiters = self.close_query(key, call, now);
        let origin = GrantOrigin::Ungranted(Some(call));
        self.grant_idempotent(key, origin, waiters, refused, now)
    }

    fn close_query(
        &mut self,
        key: &Arc<ClaimKey>,
        call: CallId,
        now: Timestamp,
    ) -> Vec<ClaimWaiter> {
        let waiters = self.take_waiters(key);
        let state = ClaimState::Open { call, query: None };
        self.table.set_ended(key, state, now);
        waiters
    }
}
