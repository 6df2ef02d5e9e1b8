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

/// Load of a target that accepts a bounded number of further requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundedLoad {
    /// Requests at the target.
    pub load: TargetLoad,
    /// Number of further requests that it accepts, by all nodes.
    pub room: f64,
}

impl BoundedLoad {
    /// Number of further requests up to a utilization.
    fn room_to(&self, level: f64) -> f64 {
        let room = level * self.load.capacity - self.load.requests;
        room.clamp(0.0, self.room)
    }
}

/// Number of halvings in the search for a level, which leaves an error far below one request.
const LEVEL_STEPS: usize = 24;

/// Utilization up to which `arrivals` requests fill the targets, lowest loads first; `None` if they accept fewer.
pub fn bounded_level(loads: &[BoundedLoad], arrivals: f64) -> Option<f64> {
    let total = |level: f64| loads.iter().map(|load| load.room_to(level)).sum::<f64>();
    let highest = loads
        .iter()
        .map(|load| (load.load.requests + load.room) / load.load.capacity)
        .fold(0.0, f64::max);
    if total(highest) < arrivals {
        return None;
    }
    let (mut low, mut high) = (0.0, highest);
    for _ in 0..LEVEL_STEPS {
        let middle = (low + high) / 2.0;
        if total(middle) < arrivals {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(high)
}

/// Selects a target for one of `arrivals` requests in proportion to what each target takes of them, and returns its
/// position; `None` if none accepts a request.
pub fn select_bounded(
    loads: &[BoundedLoad],
    arrivals: f64,
    random: &mut XorshiftRng,
) -> Option<usize> {
    let level = bounded_level(loads, arrivals).unwrap_or(f64::INFINITY);
    let rooms: Vec<f64> = loads.iter().map(|load| load.room_to(level)).collect();
    let total: f64 = rooms.iter().sum();
    if total <= 0.0 {
        return None;
    }
    let mut remaining = total * random.fraction();
    let mut selected = None;
    for (position, room) in rooms.iter().enumerate() {
        if *room > 0.0 {
            selected = Some(position);
            if remaining < *room {
                break;
            }
        }
        remaining -= room;
    }
    selected
}
