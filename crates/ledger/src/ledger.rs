//! The ledger: claims of this node's own requests.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::claims::ClaimEntry;
use crate::claims::ClaimKey;
use crate::claims::ClaimState;
use crate::claims::ClaimWaiter;
use crate::claims::GrantOrigin;
use crate::coverage::LedgerCoverage;
use crate::query::ClaimOutcome;
use crate::query::ClaimQuery;
use crate::query::LedgerEffect;
use crate::query::StoredResponse;
use crate::refusal;
use crate::settings::LedgerSettings;
use crate::table::ClaimTable;
use crate::waiters::resolve_all;
use crate::waiters::resolved;

/// Open calls below which looking for forgotten ones is not worth a pass.
const MIN_CALLS_LIMIT: usize = 1024;

/// Where the home of a key lives, as the reducer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeLocation {
    /// On this node: this run is the home, or took its ledger over.
    Local,
    /// At another node run: the home itself or the successor of its ledger.
    Remote(NodeKey),
    /// Nowhere: the home failed or restarted without a handover.
    Lost,
}

/// Remembers which keys were claimed, so that no non-idempotent request runs twice.
///
/// # Invariants
///
/// For each key and home, at most one node run is granted the claim while the outcome of the
/// granted run is anything else than [`Verdict::NotRun`]. What the ledger has forgotten counts as
/// may have run.
#[derive(Clone, Debug)]
pub struct RequestLedger {
    pub(crate) settings: LedgerSettings,
    pub(crate) table: ClaimTable,
    /// Claims of granted requests that have not ended.
    pub(crate) running: HashMap<RequestId, Arc<ClaimKey>>,
    /// Claims of waiting requests.
    pub(crate) waiting: HashMap<RequestId, Arc<ClaimKey>>,
    /// Claims with a waiting request, in a fixed order, so that runs can be replayed.
    pub(crate) busy: BTreeSet<Arc<ClaimKey>>,
    /// Claims by open call.
    pub(crate) calls: HashMap<CallId, Arc<ClaimKey>>,
    /// Number of calls at which those of forgotten claims are dropped.
    calls_limit: usize,
    pub(crate) next_call: u64,
    /// Effects of a call that returns none; the next tick hands them out.
    pub(crate) deferred: Vec<LedgerEffect>,
}

impl RequestLedger {
    /// An empty ledger of the node run `own`.
    pub fn new(settings: LedgerSettings, own: NodeKey, started: Timestamp) -> Self {
        // An answer to an earlier run may still arrive; its call must not match one of this run.
        const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
        let run = own.incarnation.0.wrapping_add(1).wrapping_mul(SPREAD);
        Self {
            settings,
            table: ClaimTable::new(LedgerCoverage::new(own, started)),
            running: HashMap::new(),
            waiting: HashMap::new(),
            busy: BTreeSet::new(),
            calls: HashMap::new(),
            calls_limit: MIN_CALLS_LIMIT,
            next_call: run << 32,
            deferred: Vec::new(),
        }
    }

    /// The token that discovery gives out now.
    pub fn token(&self, now: Timestamp) -> HomeToken {
        HomeToken {
            node: self.table.coverage.own.clone(),
            issued: now,
        }
    }

    /// Claims the key of a request; `home` tells where the key's home lives.
    pub fn claim(
        &mut self,
        query: ClaimQuery,
        home: HomeLocation,
        now: Timestamp,
    ) -> (ClaimOutcome, Vec<LedgerEffect>) {
        let token = match &query.home {
            Some(token) => token.clone(),
            // An idempotent request without a home is only deduplicated on this node.
            None if query.idempotent => self.token(now),
            None => return (refusal::home_token_required(), Vec::new()),
        };
        let key = Arc::new(ClaimKey {
            home: token.node.clone(),
            account: query.account.clone(),
            key: query.key.clone(),
        });
        let place = self.place(&token.node, home);
        let mut effects = Vec::new();
        let outcome = match self.table.get(&key) {
            Some(_) => self.claim_known(&query, &key, &token, place, now, &mut effects),
            None => self.claim_unknown(&query, key, &token, place, now, &mut effects),
        };
        (outcome, effects)
    }

    /// Records the whole answer of a granted request.
    pub fn record_response(
        &mut self,
        request: &RequestId,
        answer: StoredResponse,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        let Some(key) = self.running.remove(request) else {
            return Vec::new();
        };
        let waiters = self.take_waiters(&key);
        if let Some(entry) = self.table.get_mut(&key) {
            entry.verdict = Verdict::Ran;
        }
        self.table
            .end(&key, ClaimState::Stored(answer.clone()), now);
        self.table.bound_answers(&self.settings);
        resolve_all(waiters, &ClaimOutcome::Stored(answer))
    }

    /// Records that a granted request ended without a whole answer.
    ///
    /// [`Verdict::NotRun`] frees the key, any other verdict keeps it closed.
    pub fn record_failure(
        &mut self,
        request: &RequestId,
        verdict: Verdict,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        let Some(key) = self.running.remove(request) else {
            return Vec::new();
        };
        let Some(entry) = self.table.get_mut(&key) else {
            return Vec::new();
        };
        entry.verdict = entry.verdict.combine(verdict);
        let verdict = entry.verdict;
        let ClaimState::Running { origin, .. } = entry.state.clone() else {
            return Vec::new();
        };
        let waiters = self.take_waiters(&key);
        if verdict == Verdict::NotRun {
            return self.free(&key, origin, waiters, now);
        }
        self.table.end(&key, ClaimState::Closed, now);
        self.run_idempotent(&key, origin, waiters, &refusal::ended(verdict), now)
    }

    /// Forgets a waiting request whose caller hung up. A granted request ends with
    /// [`RequestLedger::record_failure`] instead.
    pub fn cancel_waiter(&mut self, request: &RequestId) {
        let Some(key) = self.waiting.remove(request) else {
            return;
        };
        let Some(entry) = self.table.get_mut(&key) else {
            return;
        };
        entry.waiters.retain(|waiter| waiter.request != *request);
        if entry.waiters.is_empty() {
            self.busy.remove(&key);
            self.end_idle_ask(&key);
        }
    }

    /// Handles timeouts and retention.
    pub fn tick(&mut self, now: Timestamp) -> Vec<LedgerEffect> {
        let mut effects = std::mem::take(&mut self.deferred);
        let busy: Vec<Arc<ClaimKey>> = self.busy.iter().cloned().collect();
        for key in busy {
            self.refuse_late_waiters(&key, now, &mut effects);
            self.advance_ask(&key, now, &mut effects);
        }
        self.table.forget_before(now - self.settings.retention);
        self.forget_calls();
        effects
    }

    /// Estimated memory in use.
    pub fn bytes(&self) -> ByteCount {
        ByteCount(self.table.bytes() as u64)
    }

    fn claim_known(
        &mut self,
        query: &ClaimQuery,
        key: &Arc<ClaimKey>,
        token: &HomeToken,
        place: HomeLocation,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) -> ClaimOutcome {
        let Some(entry) = self.table.get(key) else {
            return refusal::home_unreachable();
        };
        if entry.fingerprint != query.fingerprint {
            // An idempotent request may have run on another node without a grant.
            let proven = entry.confirmed && !query.idempotent;
            return refusal::conflict(proven);
        }
        match &entry.state {
            ClaimState::Stored(answer) => ClaimOutcome::Stored(answer.clone()),
            ClaimState::Running { .. } => self.wait(query, key),
            ClaimState::Held { call } => {
                let origin = GrantOrigin::Call(*call);
                self.run(&query.request, key, origin)
            }
            ClaimState::Closed => {
                let verdict = entry.verdict;
                self.run_if_idempotent(query, key, refusal::ended(verdict))
            }
            ClaimState::Granted { .. } => {
                if let Some(entry) = self.table.get_mut(key) {
                    entry.verdict = entry.verdict.combine(Verdict::MayHaveRun);
                }
                let refused = refusal::ended(Verdict::MayHaveRun);
                self.run_if_idempotent(query, key, refused)
            }
            ClaimState::Asked { call, ask } => {
                let (call, asked) = (*call, ask.is_some());
                match place {
                    HomeLocation::Remote(node) => {
                        if !asked {
                            self.ask(key, call, node, token.issued, now, effects);
                        }
                        self.wait(query, key)
                    }
                    _ if query.idempotent => {
                        let origin = GrantOrigin::Ungranted(Some(call));
                        self.run(&query.request, key, origin)
                    }
                    _ => refusal::home_unreachable(),
                }
            }
        }
    }

    fn claim_unknown(
        &mut self,
        query: &ClaimQuery,
        key: Arc<ClaimKey>,
        token: &HomeToken,
        place: HomeLocation,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) -> ClaimOutcome {
        let covered = place == HomeLocation::Local && self.table.coverage.covers(token, now);
        if !covered && !query.idempotent {
            match place {
                HomeLocation::Local => return refusal::expired(),
                HomeLocation::Lost => return refusal::home_unreachable(),
                HomeLocation::Remote(_) => {}
            }
        }
        if !self.table.make_room(&self.settings) {
            let proven = covered && !query.idempotent;
            return refusal::full(proven, self.settings.query_timeout);
        }
        // Making room may have moved the coverage past this token.
        if covered && !self.table.coverage.covers(token, now) && !query.idempotent {
            return refusal::expired();
        }
        if let HomeLocation::Remote(node) = place {
            let call = self.new_call(&key);
            let state = ClaimState::Asked { call, ask: None };
            let entry = ClaimEntry::new(query.fingerprint, state);
            self.table.insert(key.clone(), entry);
            self.ask(&key, call, node, token.issued, now, effects);
            return self.wait(query, &key);
        }
        let origin = match covered {
            true => GrantOrigin::Home,
            false => GrantOrigin::Ungranted(None),
        };
        let entry = ClaimEntry::new(query.fingerprint, ClaimState::Closed);
        self.table.insert(key.clone(), entry);
        self.run(&query.request, &key, origin)
    }

    /// Corrects what the reducer knows by what this ledger knows for certain.
    fn place(&self, home: &NodeKey, place: HomeLocation) -> HomeLocation {
        let coverage = &self.table.coverage;
        if coverage.answers_for(home) && !coverage.sealed {
            return HomeLocation::Local;
        }
        match place {
            HomeLocation::Remote(node) if node != coverage.own => HomeLocation::Remote(node),
            _ if coverage.answers_for(home) => HomeLocation::Local,
            _ => HomeLocation::Lost,
        }
    }

    fn run_if_idempotent(
        &mut self,
        query: &ClaimQuery,
        key: &Arc<ClaimKey>,
        refused: ClaimOutcome,
    ) -> ClaimOutcome {
        match query.idempotent {
            true => self.run(&query.request, key, GrantOrigin::Ungranted(None)),
            false => refused,
        }
    }

    /// Grants the claim to a request of this node.
    pub(crate) fn run(
        &mut self,
        request: &RequestId,
        key: &Arc<ClaimKey>,
        origin: GrantOrigin,
    ) -> ClaimOutcome {
        self.table.reopen(key);
        if let Some(entry) = self.table.get_mut(key) {
            entry.confirmed |= !matches!(origin, GrantOrigin::Ungranted(_));
            entry.state = ClaimState::Running {
                request: request.clone(),
                origin,
            };
        }
        self.running.insert(request.clone(), key.clone());
        ClaimOutcome::Granted
    }

    /// Frees a claim whose request is known not to have run; the next waiting request runs.
    fn free(
        &mut self,
        key: &Arc<ClaimKey>,
        origin: GrantOrigin,
        mut waiters: Vec<ClaimWaiter>,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        if let GrantOrigin::Ungranted(call) = origin {
            // A call to a home that was taken over meanwhile is closed.
            let taken_over = self.table.coverage.answers_for(&key.home);
            let call = call.filter(|_| !taken_over);
            return self.free_ungranted(key, call, waiters, now);
        }
        let next = waiters.iter().position(|waiter| now < waiter.deadline);
        if let Some(next) = next {
            let waiter = waiters.remove(next);
            self.put_back(key, waiters);
            let outcome = self.run(&waiter.request, key, origin);
            return vec![resolved(waiter, outcome)];
        }
        match origin {
            GrantOrigin::Call(call) => self.table.end(key, ClaimState::Held { call }, now),
            _ => {
                self.table.remove(key);
            }
        }
        resolve_all(waiters, &refusal::deadline())
    }

    fn free_ungranted(
        &mut self,
        key: &Arc<ClaimKey>,
        call: Option<CallId>,
        waiters: Vec<ClaimWaiter>,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        match call {
            Some(call) => self
                .table
                .end(key, ClaimState::Asked { call, ask: None }, now),
            None if waiters.iter().any(|waiter| waiter.may_repeat(now)) => {}
            None => {
                self.table.remove(key);
            }
        }
        let origin = GrantOrigin::Ungranted(call);
        self.run_idempotent(key, origin, waiters, &refusal::home_unreachable(), now)
    }

    /// Drops the calls of forgotten claims, seldom enough to cost little per call.
    fn forget_calls(&mut self) {
        if self.calls.len() < self.calls_limit {
            return;
        }
        let table = &self.table;
        self.calls.retain(|_, key| table.get(key).is_some());
        self.calls_limit = MIN_CALLS_LIMIT.max(2 * self.calls.len());
    }
}
