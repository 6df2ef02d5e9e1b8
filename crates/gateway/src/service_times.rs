//! Recent service times of requests by route, from which the time that a new request needs is estimated.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use compact_str::CompactString;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Number of completed requests that are remembered for each route.
const REMEMBERED_REQUESTS: usize = 64;
/// Percentile of the recent service times within which a request usually ends.
const USUAL_PERCENT: usize = 90;

/// Time that a request of a route needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Time within which most of the recent requests ended.
    pub usual: TimeSpan,
    /// Longest time of the recent requests.
    pub longest: TimeSpan,
}

/// Identifies an open request in [`ServiceTimes`].
#[derive(Debug, PartialEq, Eq)]
pub struct OpenRecord(u64);

/// Service times of completed requests, and the requests that are still open.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    completed: HashMap<CompactString, VecDeque<TimeSpan>>,
    /// Route and arrival of each open request.
    open: BTreeMap<u64, (CompactString, Timestamp)>,
    next_number: u64,
}

impl ServiceTimes {
    /// Records the arrival of a request.
    pub fn begin(&mut self, route: &CompactString, arrived: Timestamp) -> OpenRecord {
        let number = self.next_number;
        self.next_number += 1;
        self.open.insert(number, (route.clone(), arrived));
        OpenRecord(number)
    }

    /// Records the end of a request. Only the time of a served one tells how long the next will take.
    pub fn end(&mut self, record: &OpenRecord, is_served: bool, now: Timestamp) {
        let Some((route, arrived)) = self.open.remove(&record.0) else {
            return;
        };
        if !is_served {
            return;
        }
        let times = self.completed.entry(route).or_default();
        if times.len() >= REMEMBERED_REQUESTS {
            times.pop_front();
        }
        times.push_back(now.since(arrived));
    }

    /// Time that a request of `route` is expected to need; `None` if nothing is known.
    ///
    /// An open request that already takes longer than half of the completed ones counts with its present age, because
    /// it takes at least as long.
    pub fn expected(&self, route: &str, now: Timestamp) -> Option<ExpectedTime> {
        let mut times: Vec<TimeSpan> = self
            .completed
            .get(route)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        let open = self
            .open
            .values()
            .filter(|(open_route, _)| open_route == route)
            .map(|(_, arrived)| now.since(*arrived))
            .filter(|age| *age > median);
        times.extend(open);
        times.sort_unstable();
        let longest = *times.last()?;
        let usual = times[(times.len() * USUAL_PERCENT / 100).min(times.len() - 1)];
        Some(ExpectedTime { usual, longest })
    }
}
