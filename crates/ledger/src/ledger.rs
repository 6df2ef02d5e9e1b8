//! The ledger.

use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::query::ClaimOutcome;
use crate::query::ClaimQuery;
use crate::query::LedgerAnswer;
use crate::query::LedgerEffect;
use crate::query::LedgerQuery;
use crate::query::StoredAnswer;
use crate::settings::LedgerSettings;
use crate::snapshot::LedgerSnapshot;

/// Where the home of a key lives, as the reducer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomePlace {
    /// On this node: this run is the home, or took its ledger over.
    Own,
    /// At another node run: the home itself or the successor of its ledger.
    Reachable(NodeKey),
    /// Nowhere: the home failed or restarted without a handover.
    Gone,
}

/// Remembers which keys were claimed, so that no non-idempotent request runs twice.
#[derive(Clone, Debug)]
pub struct RequestLedger {
    /// Settings.
    pub settings: LedgerSettings,
    own: NodeKey,
    /// Start of this run.
    pub started: Timestamp,
}

impl RequestLedger {
    /// An empty ledger of the node run `own`.
    pub fn new(settings: LedgerSettings, own: NodeKey, started: Timestamp) -> Self {
        Self {
            settings,
            own,
            started,
        }
    }

    /// The token that discovery gives out now.
    pub fn token(&self, now: Timestamp) -> HomeToken {
        HomeToken {
            node: self.own.clone(),
            issued: now,
        }
    }

    /// Claims the key of a request.
    pub fn claim(
        &mut self,
        _query: ClaimQuery,
        _home: HomePlace,
        _now: Timestamp,
    ) -> (ClaimOutcome, Vec<LedgerEffect>) {
        todo!("claims")
    }

    /// Records the whole answer of a granted request.
    pub fn finished(
        &mut self,
        _request: &RequestId,
        _answer: StoredAnswer,
        _now: Timestamp,
    ) -> Vec<LedgerEffect> {
        Vec::new()
    }

    /// Records that a granted request ended without a whole answer.
    pub fn failed(
        &mut self,
        _request: &RequestId,
        _verdict: Verdict,
        _now: Timestamp,
    ) -> Vec<LedgerEffect> {
        Vec::new()
    }

    /// Forgets a waiting request whose caller hung up.
    pub fn abandoned(&mut self, _request: &RequestId) {}

    /// Answers another node's question about a key whose home is here.
    pub fn query(&mut self, _from: &NodeKey, _query: LedgerQuery, _now: Timestamp) -> LedgerAnswer {
        LedgerAnswer::MayHaveRun
    }

    /// Takes the home's answer; `None` when the home cannot be reached.
    pub fn answered(
        &mut self,
        _call: CallId,
        _answer: Option<LedgerAnswer>,
        _now: Timestamp,
    ) -> Vec<LedgerEffect> {
        Vec::new()
    }

    /// Handles timeouts and retention.
    pub fn tick(&mut self, _now: Timestamp) -> Vec<LedgerEffect> {
        Vec::new()
    }

    /// Seals this run's home and returns its claims for the successor.
    pub fn export(&mut self, now: Timestamp) -> LedgerSnapshot {
        LedgerSnapshot {
            home: self.own.clone(),
            covered_from: Timestamp(u64::MAX),
            home_now: now,
            entries: Vec::new(),
        }
    }

    /// Takes over the claims of another home.
    pub fn import(&mut self, _snapshot: LedgerSnapshot, _now: Timestamp) {}

    /// Estimated memory in use.
    pub fn bytes(&self) -> ByteCount {
        ByteCount(0)
    }
}
