//! Simulation: two models that compete for VMs while VMs are lost all the time.
//!
//! Pattern: fabric domains of 19 VMs, groups of eight and of four, both at somewhat over half of their capacity. Every three
//! seconds members of some groups are lost for good, and as many VMs come to other fabric domains, without any weights;
//! once, a fabric domain is lost. Loads take 16 s, so that what is lost has to be replaced from what is staged already.

use std::collections::BTreeMap;

use jaysaddle_test_support::TestRandom;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::TimeSpan;

use crate::fake::FakeFleet;
use crate::fake::LARGE;
use crate::fake::SMALL;
use crate::fake::config;
use crate::fake::entry;
use crate::fake::model;
use crate::fake::vm;

const DOMAINS: usize = 10;
const DOMAIN_VMS: usize = 19;
/// Work that arrives, in fully utilized groups.
const LARGE_DEMAND: f64 = 6.2;
const SMALL_DEMAND: f64 = 11.5;
/// Part of a group's capacity up to which requests start in time.
const USABLE_PART: f64 = 0.8;
/// VMs that are lost, and come, every [`LOSS_INTERVAL_MS`].
const LOST_VMS: usize = 3;
const LOSS_INTERVAL_MS: u64 = 3000;
/// Time after which the platform removes the entry of a lost VM.
const EXPIRY_MS: u64 = 3600;
const TICK_MS: u64 = 100;
/// Duration of a day after the start of traffic.
const DAY_MS: u64 = 34_000;

fn large_config() -> ServingConfig {
    let mut config = config();
    let engine = config.services[0].engine.as_mut().expect("an engine");
    engine.models[0].group_size = 8;
    engine.models[0].load_time = TimeSpan::from_secs(16);
    engine.models[1].group_size = 4;
    engine.loads_per_second = 16.0;
    engine.concurrent_loads = 24;
    config
}

/// A day with losses.
struct LossDay {
    fleet: FakeFleet,
    random: TestRandom,
    /// Registered VMs by id, with their fabric domains.
    vms: BTreeMap<VmId, usize>,
    /// Lost VMs and the times at which their entries are removed.
    lost: Vec<(VmId, u64)>,
    added: usize,
}

/// Mean part of its demand that each model could serve.
#[derive(Clone, Copy, Debug)]
struct ServedParts {
    large: f64,
    small: f64,
}

impl LossDay {
    fn new(seed: u64) -> Self {
        let mut day = Self {
            fleet: FakeFleet::without_vms(large_config()),
            random: TestRandom::new(seed),
            vms: BTreeMap::new(),
            lost: Vec::new(),
            added: 0,
        };
        for number in 0..DOMAINS * DOMAIN_VMS {
            day.add_vm(number / DOMAIN_VMS);
        }
        day.fleet.acquire(1);
        // Loads are fast before the first request.
        day.fleet.staging_ms = 1600;
        day.fleet.advance(14_000);
        day.fleet.staging_ms = 16_000;
        day
    }

    fn add_vm(&mut self, domain: usize) {
        let id = format!("vm{:04}", self.added);
        self.added += 1;
        self.fleet.add_vm(&id, &format!("d{domain}"));
        self.vms.insert(vm(&id), domain);
    }

    fn lose(&mut self, id: &VmId) {
        self.vms.remove(id);
        self.fleet.kill(id);
        self.lost.push((id.clone(), self.fleet.now.0 + EXPIRY_MS));
    }

    /// Loses members of different groups. As many VMs come to a fabric domain of their own.
    fn lose_and_add(&mut self) {
        let mut groups = self.fleet.serving_groups(LARGE);
        groups.extend(self.fleet.serving_groups(SMALL));
        for _ in 0..LOST_VMS {
            self.add_vm(DOMAINS + self.added / DOMAIN_VMS);
            let members: usize = groups.iter().map(Vec::len).sum();
            let Some(mut position) = members
                .checked_sub(1)
                .map(|last| self.random.below(last as u64 + 1) as usize)
            else {
                continue;
            };
            // Each VM is equally likely to be lost, and each group loses one at most.
            let hit = groups.iter().position(|group| {
                let is_hit = position < group.len();
                position = position.saturating_sub(if is_hit { 0 } else { group.len() });
                is_hit
            });
            let group = groups.swap_remove(hit.expect("a group"));
            let id = &group[position];
            if self.vms.contains_key(id) {
                self.lose(id);
            }
        }
    }

    fn lose_domain(&mut self) {
        let domain = self.random.below(DOMAINS as u64) as usize;
        let members = self.vms.iter().filter(|(_, other)| **other == domain);
        let members: Vec<VmId> = members.map(|(id, _)| id.clone()).collect();
        for id in members {
            self.lose(&id);
        }
    }

    /// Reports the stalled groups and removes the entries that expire, as the other parts of the system do.
    fn report_losses(&mut self) {
        let now = self.fleet.now.0;
        for name in [LARGE, SMALL] {
            for group in self.fleet.serving_groups(name) {
                if group.iter().any(|id| !self.vms.contains_key(id)) {
                    self.fleet.report_stall(&group[0]);
                }
            }
        }
        for (id, expires) in std::mem::take(&mut self.lost) {
            if now >= expires {
                self.fleet.remove_entry(&id);
            } else {
                self.lost.push((id, expires));
            }
        }
    }

    /// Part of a model's demand that its groups without lost members can serve.
    fn served_part(&self, name: &str, demand: f64) -> f64 {
        let groups = self.fleet.serving_groups(name);
        let whole = groups
            .iter()
            .filter(|group| group.iter().all(|id| self.vms.contains_key(id)));
        (whole.count() as f64 * USABLE_PART / demand).min(1.0)
    }

    fn run(&mut self) -> ServedParts {
        let mut sum = ServedParts {
            large: 0.0,
            small: 0.0,
        };
        let mut work = [0.0, 0.0];
        for tick in 0..DAY_MS / TICK_MS {
            let now = tick * TICK_MS;
            if now % LOSS_INTERVAL_MS == LOSS_INTERVAL_MS / 2 {
                self.lose_and_add();
            }
            if now == DAY_MS / 3 {
                self.lose_domain();
            }
            for (work, (name, demand)) in work
                .iter_mut()
                .zip([(LARGE, LARGE_DEMAND), (SMALL, SMALL_DEMAND)])
            {
                *work += demand * TICK_MS as f64;
                self.fleet.work.insert(model(name), *work as u64);
            }
            self.report_losses();
            self.fleet.advance(TICK_MS);
            sum.large += self.served_part(LARGE, LARGE_DEMAND);
            sum.small += self.served_part(SMALL, SMALL_DEMAND);
        }
        let ticks = (DAY_MS / TICK_MS) as f64;
        ServedParts {
            large: sum.large / ticks,
            small: sum.small / ticks,
        }
    }
}

/// Part of the demand of each model that the users' target lets fail.
const MAX_UNSERVED: f64 = 0.05;

/// Guards against a model of large groups that runs out of them while the other model has groups to spare: in a day of a
/// deployment with 760 VMs, 20 groups stood for a demand of 24, and 86 for a demand of 47.
#[test]
fn both_models_are_served_while_vms_are_lost() {
    for seed in 1..=4 {
        let mut day = LossDay::new(seed);
        let served = day.run();
        println!("seed {seed}: {served:?}");
        assert!(
            served.large >= 1.0 - MAX_UNSERVED,
            "seed {seed}: {served:?}"
        );
        assert!(
            served.small >= 1.0 - MAX_UNSERVED,
            "seed {seed}: {served:?}"
        );
        assert!(day.fleet.overlapping_joins.is_empty());
    }
}

/// Number of VMs of one fabric domain that serve 25 s after the start. On the host of each are the weights of one model.
fn serving_vms(staged: &[&str], large_demand: u64) -> usize {
    let mut fleet = FakeFleet::without_vms(config());
    fleet.staging_ms = 12_000;
    for (number, name) in staged.iter().enumerate() {
        fleet.register(BackendEntry {
            staged: vec![model(name)],
            ..entry(&format!("vm{number}"), "d0")
        });
    }
    fleet.acquire(1);
    for _ in 0..250 {
        for (name, demand) in [(LARGE, large_demand), (SMALL, 1)] {
            *fleet.work.entry(model(name)).or_default() += demand * TICK_MS;
        }
        fleet.advance(TICK_MS);
    }
    fleet.open_groups().concat().len()
}

/// Guards against VMs that stay idle because each has the only copy of a model's weights, and too few have the same.
#[test]
fn weights_of_idle_vms_are_replaced_if_they_complete_no_group() {
    assert_eq!(serving_vms(&[LARGE, LARGE, LARGE, SMALL], 1), 4);
}

/// Guards against VMs that stay idle because they are kept for a model of which they are too few for a group.
#[test]
fn vms_are_not_kept_for_a_group_for_which_they_are_too_few() {
    assert_eq!(serving_vms(&[SMALL; 5], 50), 4);
}
