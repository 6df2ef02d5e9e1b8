//! The request ledger, and the claims of requests that this node received.

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
use crate::waiters::resolve;
use crate::waiters::resolve_all;

/// Number of call ids below which [`RequestLedger::tick`] does not scan for those
/// of evicted claims.
const MIN_CALL_PRUNE_THRESHOLD: usize = 1024;

/// Location of the ledger that serves a key's home, as determined by the caller
/// of [`RequestLedger`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeLocation {
    /// On this node, which is the home or has imported the home's claims.
    Local,
    /// On another node: the home itself or the successor of its ledger.
    Remote(NodeKey),
    /// On no live node: the home failed or restarted without a handover.
    Lost,
}

/// Records which idempotency keys were claimed, so that no non-idempotent request
/// is executed twice.
///
/// # Invariants
///
/// For each key and home, the claim is granted to at most one node incarnation, unless the granted
/// execution ended with [`Verdict::NotRun`]. A key whose claim was evicted is treated as
/// [`Verdict::MayHaveRun`].
#[derive(Clone, Debug)]
pub struct RequestLedger {
    pub(crate) settings: LedgerSettings,
    pub(crate) table: ClaimTable,
    /// Keys of granted requests whose execution has not ended.
    pub(crate) running: HashMap<RequestId, Arc<ClaimKey>>,
    /// Keys of requests that wait for a claim.
    pub(crate) waiting: HashMap<RequestId, Arc<ClaimKey>>,
    /// Keys of claims with a waiting request, ordered so that simulations are reproducible.
    pub(crate) keys_with_waiters: BTreeSet<Arc<ClaimKey>>,
    /// Keys of claims by the id of the query to their home.
    pub(crate) calls: HashMap<CallId, Arc<ClaimKey>>,
    /// Size of `calls` at which the ids of evicted claims are removed.
    call_prune_threshold: usize,
    pub(crate) next_call: u64,
    /// Effects of methods that return none, such as `import`; returned by the next tick.
    pub(crate) deferred_effects: Vec<LedgerEffect>,
}

impl RequestLedger {
    /// Creates an empty ledger for the node incarnation `own`, which started at `started`.
    pub fn new(settings: LedgerSettings, own: NodeKey, started: Timestamp) -> Self {
        // Call ids differ between incarnations of a node, because a late answer to a query of an
        // earlier incarnation must not match a query of this one.
        const INCARNATION_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let call_prefix = own
            .incarnation
            .0
            .wrapping_add(1)
            .wrapping_mul(INCARNATION_MULTIPLIER);
        Self {
            settings,
            table: ClaimTable::new(LedgerCoverage::new(own, started)),
            running: HashMap::new(),
            waiting: HashMap::new(),
            keys_with_waiters: BTreeSet::new(),
            calls: HashMap::new(),
            call_prune_threshold: MIN_CALL_PRUNE_THRESHOLD,
            next_call: call_prefix << 32,
            deferred_effects: Vec::new(),
        }
    }

    /// Returns the home token that discovery issues at `now`.
    pub fn token(&self, now: Timestamp) -> HomeToken {
        HomeToken {
            node: self.table.coverage.own.clone(),
            issued: now,
        }
    }

    /// Claims the key of a request. `location` is that of the ledger that serves the key's home.
    pub fn claim(
        &mut self,
        query: ClaimQuery,
        location: HomeLocation,
        now: Timestamp,
    ) -> (ClaimOutcome, Vec<LedgerEffect>) {
        let token = match &query.home {
            Some(token) => token.clone(),
            // An idempotent request without a home token is deduplicated on this node only.
            None if query.idempotent => self.token(now),
            None => return (refusal::home_token_required(), Vec::new()),
        };
        let key = Arc::new(ClaimKey {
            home: token.node.clone(),
            account: query.account.clone(),
            key: query.key.clone(),
        });
        let location = self.resolve_location(&token.node, location);
        let mut effects = Vec::new();
        let outcome = match self.table.get(&key) {
            Some(_) => self.claim_existing(&query, &key, &token, location, now, &mut effects),
            None => self.claim_new(&query, key, &token, location, now, &mut effects),
        };
        (outcome, effects)
    }

    /// Records the complete response to a granted request and resolves the requests that
    /// wait for it.
    pub fn record_response(
        &mut self,
        request: &RequestId,
        response: StoredResponse,
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
            .set_ended(&key, ClaimState::Stored(response.clone()), now);
        self.table.evict_responses(&self.settings);
        resolve_all(waiters, &ClaimOutcome::Stored(response))
    }

    /// Records that a granted request ended without a complete response.
    ///
    /// [`Verdict::NotRun`] makes the key available again; after any other verdict it stays closed.
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
            return self.release_claim(&key, origin, waiters, now);
        }
        self.table.set_ended(&key, ClaimState::Closed, now);
        self.grant_idempotent(&key, origin, waiters, &refusal::already_ended(verdict), now)
    }

    /// Removes a waiting request whose caller disconnected. A granted request ends with
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
            self.keys_with_waiters.remove(&key);
            self.close_idle_query(&key);
        }
    }

    /// Refuses waiting requests past their deadline, resends queries to homes or times them out,
    /// and evicts claims past their retention.
    pub fn tick(&mut self, now: Timestamp) -> Vec<LedgerEffect> {
        let mut effects = std::mem::take(&mut self.deferred_effects);
        let keys: Vec<Arc<ClaimKey>> = self.keys_with_waiters.iter().cloned().collect();
        for key in keys {
            self.refuse_expired_waiters(&key, now, &mut effects);
            self.advance_query(&key, now, &mut effects);
        }
        self.table.evict_ended_before(now - self.settings.retention);
        self.prune_calls();
        effects
    }

    /// Returns an estimate of the memory in use.
    pub fn estimated_bytes(&self) -> ByteCount {
        ByteCount(self.table.estimated_bytes() as u64)
    }

    fn claim_existing(
        &mut self,
        query: &ClaimQuery,
        key: &Arc<ClaimKey>,
        token: &HomeToken,
        location: HomeLocation,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) -> ClaimOutcome {
        let Some(entry) = self.table.get(key) else {
            return refusal::home_unreachable();
        };
        if entry.fingerprint != query.fingerprint {
            // An idempotent request may have been executed on another node without a grant.
            let known_not_run = entry.is_confirmed && !query.idempotent;
            return refusal::conflict(known_not_run);
        }
        match &entry.state {
            ClaimState::Stored(response) => ClaimOutcome::Stored(response.clone()),
            ClaimState::Running { .. } => self.add_waiter(query, key),
            ClaimState::Held { call } => {
                let origin = GrantOrigin::Call(*call);
                self.grant_local(&query.request, key, origin)
            }
            ClaimState::Closed => {
                let verdict = entry.verdict;
                self.grant_if_idempotent(query, key, refusal::already_ended(verdict))
            }
            ClaimState::Granted { .. } => {
                if let Some(entry) = self.table.get_mut(key) {
                    entry.verdict = entry.verdict.combine(Verdict::MayHaveRun);
                }
                let refused = refusal::already_ended(Verdict::MayHaveRun);
                self.grant_if_idempotent(query, key, refused)
            }
            ClaimState::Open {
                call,
                query: pending,
            } => {
                let (call, in_flight) = (*call, pending.is_some());
                match location {
                    HomeLocation::Remote(node) => {
                        if !in_flight {
                            self.send_query(key, call, node, token.issued, now, effects);
                        }
                        self.add_waiter(query, key)
                    }
                    _ if query.idempotent => {
                        let origin = GrantOrigin::Ungranted(Some(call));
                        self.grant_local(&query.request, key, origin)
                    }
                    _ => refusal::home_unreachable(),
                }
            }
        }
    }

    fn claim_new(
        &mut self,
        query: &ClaimQuery,
        key: Arc<ClaimKey>,
        token: &HomeToken,
        location: HomeLocation,
        now: Timestamp,
        effects: &mut Vec<LedgerEffect>,
    ) -> ClaimOutcome {
        let covered = location == HomeLocation::Local && self.table.coverage.covers(token, now);
        if !covered && !query.idempotent {
            match location {
                HomeLocation::Local => return refusal::expired(),
                HomeLocation::Lost => return refusal::home_unreachable(),
                HomeLocation::Remote(_) => {}
            }
        }
        if !self.table.ensure_room(&self.settings) {
            let known_not_run = covered && !query.idempotent;
            return refusal::ledger_full(known_not_run, self.settings.query_timeout);
        }
        // An eviction may have moved the coverage past this token.
        if covered && !self.table.coverage.covers(token, now) && !query.idempotent {
            return refusal::expired();
        }
        if let HomeLocation::Remote(node) = location {
            let call = self.new_call(&key);
            let state = ClaimState::Open { call, query: None };
            let entry = ClaimEntry::new(query.fingerprint, state);
            self.table.insert(key.clone(), entry);
            self.send_query(&key, call, node, token.issued, now, effects);
            return self.add_waiter(query, &key);
        }
        let origin = match covered {
            true => GrantOrigin::Home,
            false => GrantOrigin::Ungranted(None),
        };
        let entry = ClaimEntry::new(query.fingerprint, ClaimState::Closed);
        self.table.insert(key.clone(), entry);
        self.grant_local(&query.request, &key, origin)
    }

    /// Overrides the given location for this node's own home and imported homes, which this ledger
    /// serves until it is sealed.
    fn resolve_location(&self, home: &NodeKey, location: HomeLocation) -> HomeLocation {
        let coverage = &self.table.coverage;
        if coverage.serves_home(home) && !coverage.sealed {
            return HomeLocation::Local;
        }
        match location {
            HomeLocation::Remote(node) if node != coverage.own => HomeLocation::Remote(node),
            _ if coverage.serves_home(home) => HomeLocation::Local,
            _ => HomeLocation::Lost,
        }
    }

    fn grant_if_idempotent(
        &mut self,
        query: &ClaimQuery,
        key: &Arc<ClaimKey>,
        refused: ClaimOutcome,
    ) -> ClaimOutcome {
        match query.idempotent {
            true => self.grant_local(&query.request, key, GrantOrigin::Ungranted(None)),
            false => refused,
        }
    }

    /// Grants the claim to a request that this node received.
    pub(crate) fn grant_local(
        &mut self,
        request: &RequestId,
        key: &Arc<ClaimKey>,
        origin: GrantOrigin,
    ) -> ClaimOutcome {
        self.table.mark_in_use(key);
        if let Some(entry) = self.table.get_mut(key) {
            entry.is_confirmed |= !matches!(origin, GrantOrigin::Ungranted(_));
            entry.state = ClaimState::Running {
                request: request.clone(),
                origin,
            };
        }
        self.running.insert(request.clone(), key.clone());
        ClaimOutcome::Granted
    }

    /// Releases a claim whose request was not executed, and grants it to the next waiting request.
    fn release_claim(
        &mut self,
        key: &Arc<ClaimKey>,
        origin: GrantOrigin,
        mut waiters: Vec<ClaimWaiter>,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        if let GrantOrigin::Ungranted(call) = origin {
            // The query to a home whose claims were imported meanwhile has been closed.
            let is_imported = self.table.coverage.serves_home(&key.home);
            let call = call.filter(|_| !is_imported);
            return self.release_ungranted(key, call, waiters, now);
        }
        let next = waiters.iter().position(|waiter| now < waiter.deadline);
        if let Some(next) = next {
            let waiter = waiters.remove(next);
            self.restore_waiters(key, waiters);
            let outcome = self.grant_local(&waiter.request, key, origin);
            return vec![resolve(waiter, outcome)];
        }
        match origin {
            GrantOrigin::Call(call) => self.table.set_ended(key, ClaimState::Held { call }, now),
            _ => {
                self.table.remove(key);
            }
        }
        resolve_all(waiters, &refusal::deadline_exceeded())
    }

    fn release_ungranted(
        &mut self,
        key: &Arc<ClaimKey>,
        call: Option<CallId>,
        waiters: Vec<ClaimWaiter>,
        now: Timestamp,
    ) -> Vec<LedgerEffect> {
        match call {
            Some(call) => self
                .table
                .set_ended(key, ClaimState::Open { call, query: None }, now),
            None if waiters.iter().any(|waiter| waiter.may_rerun(now)) => {}
            None => {
                self.table.remove(key);
            }
        }
        let origin = GrantOrigin::Ungranted(call);
        self.grant_idempotent(key, origin, waiters, &refusal::home_unreachable(), now)
    }

    /// Removes the call ids of evicted claims. The threshold doubles with the number of live ids,
    /// so that the amortized cost per call is constant.
    fn prune_calls(&mut self) {
        if self.calls.len() < self.call_prune_threshold {
            return;
        }
        let table = &self.table;
        self.calls.retain(|_, key| table.get(key).is_some());
        self.call_prune_threshold = MIN_CALL_PRUNE_THRESHOLD.max(2 * self.calls.len());
    }
}
