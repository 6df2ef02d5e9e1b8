//! Admission of model loads under the weight store's limits.

use std::collections::BTreeMap;

use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::rules::WeightStoreRule;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Loads that this node has started, and when the next may start.
#[derive(Debug, Default)]
pub(crate) struct LoadAdmission {
    started: BTreeMap<GroupId, (Generation, Timestamp)>,
    /// When each group of the load order was first in it.
    listed_since: BTreeMap<GroupId, Timestamp>,
    admissible: Vec<GroupId>,
    next_start: Timestamp,
    start_interval: TimeSpan,
}

impl LoadAdmission {
    /// Takes over the load order of the latest plan.
    ///
    /// All nodes compute the same order for the whole fleet, and each starts only loads of its own
    /// shards out of the first `concurrent_loads` groups. So the limit holds for the fleet without
    /// messages between holders, as far as their inputs agree. The rate is shared in the same way.
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

    /// Notes a load that runs, whoever started it.
    pub fn record_running(&mut self, group: &GroupId, generation: Generation, now: Timestamp) {
        let entry = self
            .started
            .entry(group.clone())
            .or_insert((generation, now));
        if entry.0 != generation {
            *entry = (generation, now);
        }
    }

    /// Forgets loads that have ended: those for which `running` is false and those that timed out.
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

    /// Whether orders that make `group` load may be sent; starts the load if the limits allow it.
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
