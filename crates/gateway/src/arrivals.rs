//! Rates at which requests arrive at this node, by rank and client account.

use std::collections::BTreeMap;

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::request_rank::RequestRank;

/// Time constant of the averages of ranks with many requests. It follows a burst of a few seconds.
const RANK_TIME: TimeSpan = TimeSpan(1500);
/// The same for ranks and accounts of which this node sees few requests, as each node of a large deployment does.
const SLOW_TIME: TimeSpan = TimeSpan(5000);
/// Rate below which there are few requests, in requests a second: less than five in the shorter time.
const FEW_REQUESTS: f64 = 3.0;
/// Rate below which an average is forgotten, in requests a second.
const MIN_RATE: f64 = 0.005;
/// Maximum number of accounts with an average of their own, which bounds the memory.
const MAX_ACCOUNTS: usize = 4096;

/// Exponentially decaying average of a rate of events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingRate {
    /// Requests a second as of `updated`.
    rate: f64,
    updated: Timestamp,
}

/// Part of an average that remains after a time.
fn decay(elapsed: TimeSpan, constant: TimeSpan) -> f64 {
    (-(elapsed.as_millis() as f64) / constant.as_millis() as f64).exp()
}

/// Rate that one event adds to an average.
fn event_rate(constant: TimeSpan) -> f64 {
    1000.0 / constant.as_millis() as f64
}

impl DecayingRate {
    fn at(&self, constant: TimeSpan, now: Timestamp) -> f64 {
        self.rate * decay(now.since(self.updated), constant)
    }

    fn record(&mut self, constant: TimeSpan, now: Timestamp) {
        self.rate = self.at(constant, now) + event_rate(constant);
        self.updated = now;
    }
}

/// Rate of a rank, averaged over two times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RankRate {
    fast: DecayingRate,
    slow: DecayingRate,
}

impl RankRate {
    fn record(&mut self, now: Timestamp) {
        self.fast.record(RANK_TIME, now);
        self.slow.record(SLOW_TIME, now);
    }

    /// The rate, corrected for the time before the first request of all ranks, `age` ago. Without that, a node that has just
    /// started would take the rate for low and admit too much. `latest` requests are left out.
    fn at(&self, latest: f64, age: TimeSpan, now: Timestamp) -> f64 {
        let corrected = |rate: &DecayingRate, constant: TimeSpan| {
            let left_out = latest * event_rate(constant) * decay(now.since(rate.updated), constant);
            let full = (1.0 - decay(age, constant)).max(MIN_FILLED);
            (rate.at(constant, now) - left_out).max(0.0) / full
        };
        let slow = corrected(&self.slow, SLOW_TIME);
        if slow < FEW_REQUESTS {
            slow
        } else {
            corrected(&self.fast, RANK_TIME)
        }
    }
}

/// Rates at which the requests of one service and model arrive at this node.
#[derive(Clone, Debug, Default)]
pub struct ArrivalRates {
    ranks: BTreeMap<RequestRank, RankRate>,
    accounts: BTreeMap<(RequestRank, AccountId), DecayingRate>,
    /// Time of the first request; `None` before.
    first: Option<Timestamp>,
}

/// Smallest part of a full average by which a young one is divided.
const MIN_FILLED: f64 = 0.2;

impl ArrivalRates {
    /// Records a request.
    pub fn record(&mut self, rank: RequestRank, account: Option<&AccountId>, now: Timestamp) {
        self.first.get_or_insert(now);
        self.ranks.entry(rank).or_default().record(now);
        let Some(account) = account else {
            return;
        };
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts
                .retain(|_, rate| rate.at(SLOW_TIME, now) >= MIN_RATE);
        }
        if self.accounts.len() < MAX_ACCOUNTS {
            let key = (rank, account.clone());
            let rate = self.accounts.entry(key).or_default();
            rate.record(SLOW_TIME, now);
        }
    }

    fn age(&self, now: Timestamp) -> TimeSpan {
        self.first.map_or(TimeSpan(0), |first| now.since(first))
    }

    /// Requests a second of the ranks that go before `rank`.
    pub fn before(&self, rank: RequestRank, now: Timestamp) -> f64 {
        let (before, age) = (self.ranks.range(..rank), self.age(now));
        before.map(|(_, rate)| rate.at(0.0, age, now)).sum()
    }

    /// Requests a second of a rank before its latest request, which would weigh too much at a node that sees few of them.
    pub fn of(&self, rank: RequestRank, now: Timestamp) -> f64 {
        let rate = self.ranks.get(&rank);
        rate.map_or(0.0, |rate| rate.at(1.0, self.age(now), now))
    }

    /// Requests a second of all ranks.
    pub fn total(&self, now: Timestamp) -> f64 {
        let age = self.age(now);
        self.ranks.values().map(|rate| rate.at(0.0, age, now)).sum()
    }

    /// Requests a second of the client accounts in a rank: of all but `account`, and of `account` before its latest request.
    pub fn accounts(
        &self,
        rank: RequestRank,
        account: &AccountId,
        now: Timestamp,
    ) -> (Vec<f64>, f64) {
        let in_rank = self
            .accounts
            .iter()
            .filter(|((other, _), _)| *other == rank);
        let (mut others, mut own) = (Vec::new(), 0.0);
        for ((_, id), rate) in in_rank {
            let rate = rate.at(SLOW_TIME, now);
            if id == account {
                own = (rate - event_rate(SLOW_TIME)).max(0.0);
            } else {
                others.push(rate);
            }
        }
        (others, own)
    }
}
