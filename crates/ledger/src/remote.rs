//! The asking side: questions to homes on other nodes.

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
use crate::claims::OpenAsk;
use crate::ledger::RequestLedger;
use crate::query::ClaimOutcome;
use crate::query::LedgerAnswer;
use crate::query::LedgerEffect;
use crate::query::LedgerQuery;
use crate::refusal;
use crate::waiters::resolve_all;
use crate::waiters::resolved;

/// Times that a question is sent before its home counts as unreachable.
const SENDS_PER_TIMEOUT: u64 = 4;

impl RequestLedger {
    /// Takes the home's answer; `None` when the home cannot be reached.
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
            |entry| matches!(entry.state, ClaimState::Asked { call: asked, .. } if asked == call),
        );
        if !open {
            return Vec::new();
        }
        match answer {
            Some(LedgerAnswer::Granted) => self.granted(&key, call, now),
            Some(LedgerAnswer::Stored(answer)) => {
                let waiters = self.take_waiters(&key);
                self.calls.remove(&call);
                if let Some(entry) = self.table.get_mut(&key) {
                    entry.verdict = Verdict::Ran;
                    entry.confirmed = true;
                }
                self.table
                    .end(&key, ClaimState::Stored(answer.clone()), now);
                self.table.bound_answers(&self.settings);
                resolve_all(waiters, &ClaimOutcome::Stored(answer))
            }
            Some(LedgerAnswer::Running) => {
                self.ask_later(&key, now);
                Vec::new()
            }
            Some(LedgerAnswer::Conflict) => {
                let waiters = self.close_ask(&key, call, now);
                // The home may have freed the key since, and another node may have run this body.
                resolve_all(waiters, &refusal::conflict(false))
            }
            Some(LedgerAnswer::MayHaveRun) => {
                let refused = refusal::ended(Verdict::MayHaveRun);
                self.without_grant(&key, call, &refused, now)
            }
            Some(LedgerAnswer::Expired) => self.without_grant(&key, call, &refusal::expired(), now),
            None => self.without_grant(&key, call, &refusal::home_unreachable(), now),
        }
    }

    /// Sends the question of a claim.
    pub(crate) fn ask(
        &mut self,
        key: &Arc<ClaimKey>,
        call: CallId,
        node: NodeKey,
        issued: Timestamp,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let ask = OpenAsk {
            node: node.clone(),
            issued,
            sent: now,
            resend: now + self.resend_interval(),
            give_up: now + self.settings.query_timeout,
        };
        let Some(entry) = self.table.get_mut(key) else {
            return;
        };
        entry.state = ClaimState::Asked {
            call,
            ask: Some(ask),
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

    /// A call id that no other call of this run, and with high probability of no other run, has.
    pub(crate) fn new_call(&mut self, key: &Arc<ClaimKey>) -> CallId {
        self.next_call = self.next_call.wrapping_add(1);
        let call = CallId(self.next_call);
        self.calls.insert(call, key.clone());
        call
    }

    /// Sends the question of a claim again, or gives up on its home.
    pub(crate) fn advance_ask(
        &mut self,
        key: &Arc<ClaimKey>,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let ClaimState::Asked {
            call,
            ask: Some(ask),
        } = entry.state.clone()
        else {
            return;
        };
        if now >= ask.give_up {
            let refused = refusal::home_unreachable();
            effects.extend(self.without_grant(key, call, &refused, now));
        } else if now >= ask.resend {
            let give_up = ask.give_up;
            self.ask(key, call, ask.node, ask.issued, now, effects);
            self.limit_ask(key, give_up);
        }
    }

    fn resend_interval(&self) -> TimeSpan {
        TimeSpan::from_millis(self.settings.query_timeout.as_millis() / SENDS_PER_TIMEOUT)
    }

    /// Keeps the time at which the home was first to count as unreachable.
    fn limit_ask(&mut self, key: &Arc<ClaimKey>, latest: Timestamp) {
        if let Some(entry) = self.table.get_mut(key)
            && let ClaimState::Asked { ask: Some(ask), .. } = &mut entry.state
        {
            ask.give_up = ask.give_up.min(latest);
        }
    }

    /// The home is alive and the request runs there; the question is repeated later.
    fn ask_later(&mut self, key: &Arc<ClaimKey>, now: Timestamp) {
        let resend = now + self.resend_interval();
        let give_up = resend + self.settings.query_timeout;
        if let Some(entry) = self.table.get_mut(key)
            && let ClaimState::Asked { ask: Some(ask), .. } = &mut entry.state
        {
            ask.resend = resend;
            ask.give_up = give_up;
        }
    }

    fn granted(&mut self, key: &Arc<ClaimKey>, call: CallId, now: Timestamp) -> Vec<LedgerEffect> {
        self.calls.remove(&call);
        let mut waiters = self.take_waiters(key);
        let next = waiters.iter().position(|waiter| now < waiter.deadline);
        let Some(next) = next else {
            self.table.end(key, ClaimState::Held { call }, now);
            return resolve_all(waiters, &refusal::deadline());
        };
        let waiter = waiters.remove(next);
        self.put_back(key, waiters);
        let outcome = self.run(&waiter.request, key, GrantOrigin::Call(call));
        vec![resolved(waiter, outcome)]
    }

    /// Ends the question without a grant: idempotent requests run anyway, others get `refused`.
    ///
    /// The claim keeps its call, so that a grant that arrives later can still be used here.
    pub(crate) fn without_grant(
        &mut self,
        key: &Arc<ClaimKey>,
        call: CallId,
        refused: &ClaimOutcome,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        let waiters = self.close_ask(key, call, now);
        let origin = GrantOrigin::Ungranted(Some(call));
        self.run_idempotent(key, origin, waiters, refused, now)
    }

    fn close_ask(&mut self, key: &Arc<ClaimKey>, call: CallId, now: Timestamp) -> Vec<ClaimWaiter> {
        let waiters = self.take_waiters(key);
        let state = ClaimState::Asked { call, ask: None };
        self.table.end(key, state, now);
        waiters
    }
}
