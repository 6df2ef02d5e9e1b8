//! Spreads requests over targets whose loads are known with a delay.
//!
//! A node learns the requests of its peers from heartbeats. If all nodes selected the target with the lowest load,
//! those that have the same heartbeats would select the same one until the next heartbeat. Each node therefore
//! estimates how many requests its peers have sent since, assumes that these fill the targets with the lowest loads up
//! to a common level (water-filling), and selects a target with the probability with which one of these requests goes
//! there. Without delay, only the target with the lowest load is selected; the longer the delay, the more targets take
//! part.

use crate::random::XorshiftRng;

/// Requests at a target, as far as a node knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Number of requests in flight.
    pub requests: f64,
    /// Number of requests that the target runs concurrently, reduced if it is slow. Must be above zero.
    pub capacity: f64,
}

impl TargetLoad {
    fn utilization(&self) -> f64 {
        self.requests / self.capacity
    }
}

/// Utilization up to which `arrivals` requests fill the targets, lowest loads first.
fn fill_level(loads: &[TargetLoad], arrivals: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
    let (mut requests, mut capacity, mut level) = (arrivals, 0.0, f64::INFINITY);
    for load in sorted {
        if load.utilization() >= level {
            break;
        }
        requests += load.requests;
        capacity += load.capacity;
        level = requests / capacity;
    }
    level
}

/// Selects a target for one request and returns its position; `None` if there are no targets.
///
/// `unseen` is the estimated number of requests that peers have sent since the loads were reported.
pub fn select_target(loads: &[TargetLoad], unseen: f64, random: &mut XorshiftRng) -> Option<usize> {
    let level = fill_level(loads, 1.0 + unseen);
    let room = |load: &TargetLoad| (level * load.capacity - load.requests).max(0.0);
    let total: f64 = loads.iter().map(room).sum();
    let mut remaining = total * random.fraction();
    let mut selected = None;
    for (position, load) in loads.iter().enumerate() {
        let room = room(load);
        if room > 0.0 || selected.is_none() {
            selected = Some(position);
        }
        if remaining < room {
            break;
        }
        remaining -= room;
    }
    selected
}
