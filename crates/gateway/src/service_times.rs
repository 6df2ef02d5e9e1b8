//! Recent service times of requests by route, from which the time that a new request usually needs is estimated.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use compact_str::CompactString;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Maximum number of completed requests that are remembered for each route.
const REMEMBERED_REQUESTS: usize = 64;
/// Time for which a completed request is remembered.
const RETENTION: TimeSpan = TimeSpan::from_secs(60);
/// Percentile of the recent service times within which a request usually ends.
const USUAL_PERCENT: usize = 90;

/// Identifies an open request in [`ServiceTimes`].
#[derive(Debug, PartialEq, Eq)]
pub struct OpenRecord(u64);

/// Service time of a completed request.
#[derive(Clone, Copy, Debug)]
struct CompletedRequest {
    ended: Timestamp,
    took: TimeSpan,
}

/// Service times of completed requests, and the requests that are still open.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    /// In order of their ends.
    completed: HashMap<CompactString, VecDeque<CompletedRequest>>,
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

    /// Records the end of a request. `is_whole` says whether it was served from its beginning to its end, so that its time
    /// tells how long others take.
    pub fn end(&mut self, record: &OpenRecord, is_whole: bool, now: Timestamp) {
        let Some((route, arrived)) = self.open.remove(&record.0) else {
            return;
        };
        if !is_whole {
            return;
        }
        if !self.completed.contains_key(&route) {
            // Routes that a configuration has removed are forgotten.
            self.completed
                .retain(|_, requests| requests.back().is_some_and(|last| is_recent(last, now)));
        }
        let requests = self.completed.entry(route).or_default();
        if requests.len() >= REMEMBERED_REQUESTS {
            requests.pop_front();
        }
        requests.push_back(CompletedRequest {
            ended: now,
            took: now.since(arrived),
        });
    }

    /// Time within which requests of `route` usually end; `None` if nothing is known.
    ///
    /// An open request that already takes longer than half of the completed ones counts with its present age, because
    /// it takes at least as long.
    pub fn usual(&self, route: &str, now: Timestamp) -> Option<TimeSpan> {
        let completed = self.completed.get(route).into_iter().flatten();
        let mut times: Vec<TimeSpan> = completed
            .filter(|request| is_recent(request, now))
            .map(|request| request.took)
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
        let last = times.len().checked_sub(1)?;
        Some(times[last * USUAL_PERCENT / 100])
    }
}

fn is_recent(request: &CompletedRequest, now: Timestamp) -> bool {
    now.since(request.ended) < RETENTION
}
