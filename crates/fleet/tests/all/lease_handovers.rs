//! The lease while holders stop one after another during outages of the store, and their handovers are repeated in heartbeats
//! that reach nodes which have started again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_test_support::seeds;
use jaysaddle_types::units::Timestamp;

use crate::lease_restores::HEARTBEAT_MS;
use crate::lease_restores::LeaseCluster;
use crate::lease_restores::NODES;
use crate::lease_restores::QUIET_MS;
use crate::lease_restores::TICK_MS;
use crate::lease_restores::UNTIL_MS;
use crate::lease_restores::new_node;
use crate::lease_restores::node_key;

/// Longest time for which a stopping node finishes its requests, in milliseconds. It repeats its handover meanwhile.
const MAX_STOP_MS: u64 = 8000;
/// Greatest extra delay of the second copy of a heartbeat, in milliseconds.
const MAX_COPY_DELAY_MS: u64 = 400;

/// Stops and outages of a run, by time in milliseconds.
#[derive(Default)]
struct StopSchedule {
    /// Outages, with their ends.
    outages: BTreeMap<u64, u64>,
    /// Stops: a node, or [`NODES`] for the holder, with the time that the process still runs and the time until it starts
    /// again. A time of 0 stands for a kill.
    stops: BTreeMap<u64, (usize, u64, u64)>,
}

fn draw_schedule(cluster: &mut LeaseCluster) -> StopSchedule {
    let random = &mut cluster.random;
    let mut schedule = StopSchedule::default();
    let mut time = 3000 + random.below(1000);
    while time < QUIET_MS - 12_000 {
        let end = time + 1000 + random.below(9000);
        schedule.outages.insert(time, end);
        let mut stop = time.saturating_sub(500) + random.below(2500);
        for _ in 0..2 + random.below(6) {
            let node = match random.below(2) {
                0 => NODES,
                _ => usize::try_from(random.below(NODES as u64)).expect("small"),
            };
            let finish = match random.below(4) {
                0 => 0,
                1 => random.below(300),
                _ => random.below(MAX_STOP_MS),
            };
            schedule
                .stops
                .insert(stop, (node, finish, 50 + random.below(600)));
            stop += 50 + random.below(2500);
        }
        time = end + 500 + random.below(6000);
    }
    schedule
}

impl LeaseCluster {
    /// Stops the process of a node. As the entry daemon, it hands the lease over if it notices that the store is away.
    fn stop(&mut self, node: usize) {
        let sees_outage = self.store.is_down;
        let others = (0..NODES).filter(|other| {
            let other_node = &self.nodes[*other];
            *other != node && other_node.is_up && other_node.handover.is_none()
        });
        let others: Vec<usize> = others.collect();
        let now = Timestamp(self.now);
        if sees_outage && !others.is_empty() {
            let index = usize::try_from(self.random.below(others.len() as u64)).expect("small");
            let successor = others[index];
            let successor = node_key(successor, self.nodes[successor].life);
            let handover = self.nodes[node].lease.handover(successor, now);
            if handover.is_some() {
                self.step(node, LeaseEvent::HandOver);
                self.nodes[node].handover = handover.map(|handover| (handover, now));
                return;
            }
        }
        self.step(node, LeaseEvent::Resign);
    }

    fn run_stops(&mut self, schedule: &StopSchedule) {
        let mut ends: BTreeMap<u64, (usize, u64, u64)> = BTreeMap::new();
        let mut starts: BTreeMap<u64, usize> = BTreeMap::new();
        let mut down_until = 0;
        for now in 0..UNTIL_MS {
            self.now = now;
            if let Some(until) = schedule.outages.get(&now) {
                down_until = *until;
            }
            self.store.is_down = now < down_until;
            if let Some((node, finish, pause)) = schedule.stops.get(&now).copied() {
                let node = match node {
                    NODES => self.holders().first().copied(),
                    node => Some(node),
                };
                let is_ending = |node: usize| ends.values().any(|(other, ..)| *other == node);
                if let Some(node) = node.filter(|node| self.nodes[*node].is_up && !is_ending(*node))
                {
                    if finish > 0 {
                        self.stop(node);
                    }
                    ends.insert(now + finish, (node, self.nodes[node].life, pause));
                }
            }
            if let Some((node, life, pause)) = ends.remove(&now)
                && self.nodes[node].life == life
            {
                self.nodes[node].is_up = false;
                starts.insert(now + pause, node);
            }
            if let Some(node) = starts.remove(&now) {
                self.nodes[node] = new_node(node, self.nodes[node].life + 1);
            }
            self.deliver_messages();
            for node in 0..NODES {
                if !self.nodes[node].is_up {
                    continue;
                }
                if (now + node as u64 * 17).is_multiple_of(TICK_MS) {
                    let rank = (0..node).filter(|other| self.nodes[*other].is_up).count();
                    let event = LeaseEvent::Tick {
                        rank: u32::try_from(rank).unwrap_or(0),
                        is_store_unreachable: self.store.is_down,
                    };
                    self.step(node, event);
                }
                if (now + node as u64 * 41).is_multiple_of(HEARTBEAT_MS) {
                    self.send_heartbeats(node);
                }
            }
            let holders = self.holders();
            assert!(holders.len() <= 1, "holders {holders:?} at {now} ms");
            self.held_ms += u64::from(!holders.is_empty() && now >= UNTIL_MS - 5000);
        }
    }
}

/// Guards against two holders at a time and against terms that do not rise from one holder to the next, while holders stop
/// during outages and nodes that have started again receive old handovers. `JAYSADDLE_SEED` and `JAYSADDLE_RUNS` override
/// the first seed and the number of runs.
#[test]
fn one_holder_and_rising_terms_across_handovers() {
    for seed in seeds(20_261_206, 40) {
        println!("JAYSADDLE_SEED={seed}");
        let mut cluster = LeaseCluster::new(seed);
        cluster.doubled = (20, MAX_COPY_DELAY_MS);
        let schedule = draw_schedule(&mut cluster);
        cluster.run_stops(&schedule);
        let terms: BTreeSet<_> = cluster.acquired.iter().collect();
        assert!(
            terms.iter().copied().eq(cluster.acquired.iter()),
            "{:?}",
            cluster.acquired
        );
        assert!(cluster.held_ms > 0, "no node holds the lease in the end");
    }
}
