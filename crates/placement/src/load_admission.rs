//! Admission of model loads within the limits of the weight store.

use std::collections::BTreeMap;

use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::rules::WeightStoreRule;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Limits how many model loads of this node's shards run concurrently and how fast they start.
#[derive(Debug, Default)]
pub(crate) struct LoadAdmission {
    /// Running loads, with generation and start time.
    started: BTreeMap<GroupId, (Generation, Timestamp)>,
    /// Time at which each group in the load order was first listed.
    listed_since: BTreeMap<GroupId, Timestamp>,
    /// Groups whose loads may start or run now, of all shards.
    admissible: Vec<GroupId>,
    next_start: Timestamp,
    start_interval: TimeSpan,
}

impl LoadAdmission {
    /// Applies the load order of the latest plan.
    ///
    /// All nodes compute the same order for the whole fleet, and each starts loads only for those
    /// of the first `concurrent_loads` groups that are in its own shards. The limit therefore holds
    /// fleet-wide without messages between shard holders, as long as their inputs agree. The start
    /// rate is divided in the same way.
    pub fn update(
        &mut self,
        order: &[GroupId],
        own: impl Fn(&GroupId) -> bool,
        rule: &WeightStoreRule,
        timeout: TimeSpan,
        now: Timestamp,
    ) {
        let listed_since = order.iter().map(|group| {
            let since = self.listed_since.get(group).copied().unwrap_or(now);
            (group.clone(), since)
        });
        self.listed_since = listed_since.collect();
        let concurrent = rule.concurrent_loads as usize;
        self.admissible = order
            .iter()
            .filter(|group| now.since(self.listed_since[*group]) < timeout)
            .take(concurrent)
            .cloned()
            .collect();
        let own_count = self
            .admissible
            .iter()
            .filter(|group| own(group))
            .count()
            .max(1) as u64;
        let share = (self.admissible.len() as u64).div_ceil(own_count).max(1);
        self.start_interval = TimeSpan::from_millis(1000 * share / rule.load_rate.0.max(1));
    }

    /// Records a running load, including one that another node has started.
    pub fn record_running(&mut self, group: &GroupId, generation: Generation, now: Timestamp) {
        let entry = self
            .started
            .entry(group.clone())
            .or_insert((generation, now));
        if entry.0 != generation {
            *entry = (generation, now);
        }
    }

    /// Removes loads that have ended: those for which `running` returns false and those that
    /// have timed out.
    pub fn remove_ended(
        &mut self,
        running: impl Fn(&GroupId, Generation) -> bool,
        timeout: TimeSpan,
        now: Timestamp,
    ) {
        self.started.retain(|group, (generation, at)| {
            running(group, *generation) && now.since(*at) < timeout
        });
    }

    /// Returns whether orders that make `group` load may be sent. If the load has not started yet
    /// and the limits allow it, it is recorded as started.
    pub fn admit(
        &mut self,
        group: &GroupId,
        generation: Generation,
        rule: &WeightStoreRule,
        now: Timestamp,
    ) -> bool {
        if self
            .started
            .get(group)
            .is_some_and(|started| started.0 == generation)
        {
            return true;
        }
        let free = self.started.len() < rule.concurrent_loads as usize;
        if !free || now < self.next_start || !self.admissible.contains(group) {
            return false;
        }
        self.started.insert(group.clone(), (generation, now));
        self.next_start = now + self.start_interval;
        true
    }
}
