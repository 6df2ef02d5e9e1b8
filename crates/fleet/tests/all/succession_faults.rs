//! The disturbances of the simulated successions, and how they are drawn.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_test_support::TestRandom;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::TimeSpan;

use crate::fake::LARGE;
use crate::fake::SMALL;
use crate::fake::config;
use crate::fake::entry;
use crate::fake::model;
use crate::fake::vm as vm_id;
use crate::succession_holder::Holder;
use crate::succession_messages::MAX_DELAY_MS;
use crate::succession_messages::MessageFaults;
use crate::succession_vm::STAGED_JOIN_MS;
use crate::succession_vm::SimVm;
use crate::succession_vm::VmLife;
use crate::succession_world::EXPIRY_MS;
use crate::succession_world::MAX_LAG_MS;
use crate::succession_world::World;
use crate::succession_world::WorldEvent;

/// Time at which the first node holds the lease, in milliseconds.
const START_MS: u64 = 10_000;
/// Time that the first holder has at least, in milliseconds.
const FIRST_TERM_MS: u64 = 800;
/// Time of a load from the weight store once there is traffic, in milliseconds.
pub const LOAD_MS: u64 = 3000;
/// Greatest number of VMs that a run has.
const MAX_VMS: usize = 12;
/// Maximum time for which a leader that no longer listens finishes its requests, in milliseconds.
const FINISH_MS: u64 = 10_000;
/// Length of an outage of the store from which nodes notice it, in milliseconds.
const NOTICED_OUTAGE_MS: u64 = 1700;
/// Time for which nodes give no orders after an outage, in milliseconds.
const GRACE_MS: u64 = 2300;

/// How the next node obtains the lease.
#[derive(Clone, Copy, Debug)]
pub enum Succession {
    /// The holder gives the lease up.
    Resigned,
    /// The holder does not renew the lease.
    Lapsed,
    /// The holder's process is killed.
    Killed,
    /// The holder hands the lease to the next one.
    HandedOver,
}

/// Something that disturbs the fleet.
#[derive(Clone, Debug)]
pub enum Disturbance {
    Succeed(Succession),
    /// Succeeds right after the next order to join or open has been accepted.
    Arm(Succession),
    Acquire {
        index: usize,
    },
    Accept {
        index: usize,
    },
    Leave {
        is_announced: bool,
    },
    Crash {
        is_host_up: bool,
    },
    Start {
        address: SocketAddr,
        id: Option<VmId>,
    },
    Pause {
        millis: u64,
    },
    LoseEntry {
        millis: u64,
    },
    CutOff {
        millis: u64,
        reaches_store: bool,
    },
    StoreOutage {
        millis: u64,
    },
    Evacuate {
        domain: &'static str,
        millis: u64,
    },
    EndEvacuation {
        domain: &'static str,
    },
    NoticeOutage {
        index: usize,
    },
    ShiftDemand,
}

/// Draws the world of a seed, with all its disturbances.
pub fn draw_world(seed: u64) -> World {
    let mut random = TestRandom::new(seed);
    // The first numbers of similar seeds are similar.
    for _ in 0..8 {
        random.below(2);
    }
    let models: &[&str] = [&[LARGE, SMALL][..], &[LARGE, SMALL], &[SMALL], &[LARGE]]
        [usize::try_from(random.below(4)).expect("small")];
    let holders = (0..2 + random.below(2)).map(|_| {
        let lag = match random.below(4) {
            0 => 0,
            1 => random.below(400),
            _ => random.below(MAX_LAG_MS + 1),
        };
        Holder::new(lag)
    });
    let holders = holders.collect();
    let mut world = World::new(random, run_config(models), holders);
    world.load_ms = LOAD_MS;
    world.close_ms = world.between(0, 3000);
    world.notices_stalls = world.chance(70);
    world.traffic_from = START_MS + world.random.below(4000);
    for name in models {
        let rate = world.between(10, 300);
        world.load.insert(model(name), (rate, 0));
    }
    if world.chance(70) {
        world.message_faults = MessageFaults {
            late: world.random.below(15),
            lost: world.random.below(10),
            doubled: world.random.below(10),
        };
    }
    let domains = 1 + world.random.below(2);
    let is_split = world.chance(50);
    for number in 0..world.between(4, MAX_VMS as u64) {
        let domain = number % domains;
        let failure_domain = if is_split && domain > 0 { "b" } else { "a" };
        add_vm(&mut world, domain, failure_domain);
    }
    world.holders[0].relist_at(0);
    let first = Disturbance::Acquire { index: 0 };
    world.schedule(START_MS, WorldEvent::Disturb(first));
    draw_disturbances(&mut world);
    world
}

/// The configuration with some of the models. Loads are short, which keeps the runs short.
fn run_config(models: &[&str]) -> ServingConfig {
    let mut config = config();
    for service in &mut config.services {
        if let Some(profile) = &mut service.engine {
            profile
                .models
                .retain(|profile| models.contains(&profile.id.as_str()));
            for profile in &mut profile.models {
                profile.load_time = TimeSpan(LOAD_MS);
                profile.staged_join_time = TimeSpan(STAGED_JOIN_MS);
            }
        }
    }
    config
}

fn add_vm(world: &mut World, domain: u64, failure_domain: &str) {
    let number = world.vms.len();
    let address = SocketAddr::from(([10, 0, 0, 1], 1000 + u16::try_from(number).expect("small")));
    let entry = BackendEntry {
        address,
        started: world.now,
        failure_domain: FailureDomainId::new(failure_domain),
        ..entry(&format!("vm{number}"), &format!("d{domain}"))
    };
    start_vm(world, entry);
}

fn start_vm(world: &mut World, entry: BackendEntry) {
    let id = entry.id.clone();
    world.occupants.insert(entry.address, id.clone());
    let mut vm = SimVm::start(entry, world.now);
    vm.next_heartbeat = world.now + world.random.below(1200);
    world.vms.insert(id.clone(), vm);
    world.write_entry(&id);
}

fn draw_disturbances(world: &mut World) {
    let end = START_MS + world.between(4000, 14_000);
    let mut successions = Vec::new();
    for _ in 0..world.between(1, 3) {
        let time = world.between(START_MS + FIRST_TERM_MS, end);
        let kind = match world.random.below(5) {
            0 | 1 => Succession::Resigned,
            2 => Succession::Lapsed,
            3 => Succession::Killed,
            _ => Succession::HandedOver,
        };
        successions.push(time);
        let disturbance = if world.chance(60) {
            Disturbance::Arm(kind)
        } else {
            Disturbance::Succeed(kind)
        };
        world.schedule(time, WorldEvent::Disturb(disturbance));
    }
    for _ in 0..world.between(1, 8) {
        let index = world.random.below(successions.len() as u64);
        let near = successions[usize::try_from(index).expect("small")];
        let time = if world.chance(75) {
            world
                .between(near - 800.min(near), near + 2000)
                .max(START_MS)
        } else {
            world.between(START_MS, end)
        };
        let time = if world.chance(30) {
            time.saturating_sub(2500).max(START_MS)
        } else {
            time
        };
        let disturbance = draw_disturbance(world);
        world.schedule(time, WorldEvent::Disturb(disturbance));
    }
    world.aftermath = world.random.below(3);
    world.faults_until = end + 2000;
    world.disturb_until(end + 2000 + MAX_DELAY_MS);
}

fn draw_disturbance(world: &mut World) -> Disturbance {
    match world.random.below(16) {
        0..=3 => Disturbance::Leave {
            is_announced: world.chance(60),
        },
        4 | 5 => Disturbance::Crash {
            is_host_up: world.chance(50),
        },
        6 | 7 => Disturbance::Start {
            address: SocketAddr::from(([10, 0, 0, 2], world.random.below(1000) as u16)),
            id: None,
        },
        8 => Disturbance::Pause {
            millis: world.between(300, 9000),
        },
        9 | 10 => Disturbance::LoseEntry {
            millis: world.between(EXPIRY_MS, EXPIRY_MS + 1800),
        },
        11 => Disturbance::CutOff {
            millis: world.between(300, 9000),
            reaches_store: world.chance(50),
        },
        12 | 13 => Disturbance::StoreOutage {
            millis: world.between(500, 8000),
        },
        14 => Disturbance::Evacuate {
            domain: if world.chance(50) { "a" } else { "b" },
            millis: world.between(500, 8000),
        },
        _ => Disturbance::ShiftDemand,
    }
}

impl World {
    /// A VM that serves: most often a member of a group, and often of the latest one.
    fn draw_vm(&mut self) -> Option<VmId> {
        let running = self.vms.iter().filter(|(_, vm)| vm.life == VmLife::Running);
        let running: Vec<(VmId, u64)> = running
            .map(|(id, vm)| (id.clone(), vm.key().map_or(0, |key| key.generation.0)))
            .collect();
        let latest = running.iter().map(|(_, generation)| *generation).max()?;
        let least = match self.random.below(10) {
            0..=3 => latest,
            4..=7 => latest.min(1),
            _ => 0,
        };
        let drawn: Vec<VmId> = running
            .into_iter()
            .filter(|(_, generation)| *generation >= least)
            .map(|(id, _)| id)
            .collect();
        let index = self.random.below(drawn.len() as u64);
        drawn
            .into_iter()
            .nth(usize::try_from(index).expect("small"))
    }

    /// Carries out a disturbance.
    pub fn apply(&mut self, disturbance: Disturbance) {
        self.note(|| format!("* {disturbance:?}"));
        let now = self.now;
        match disturbance {
            Disturbance::Succeed(kind) => self.succeed(kind),
            Disturbance::Arm(kind) => self.armed.push(kind),
            Disturbance::Acquire { index } => {
                if !self.store.is_up(now) {
                    // The lease is in the store.
                    let time = self.store.down_until + 200;
                    self.disturb_until(time + 2 * GRACE_MS);
                    let event = WorldEvent::Disturb(Disturbance::Acquire { index });
                    self.schedule(time, event);
                    return;
                }
                self.term += 1;
                self.active = Some(index);
                self.step_holder(index, FleetEvent::Acquired(LeaseEpoch(self.term)));
                self.draw_aftermath();
            }
            Disturbance::Accept { index } => {
                self.accept_handover(index);
                self.draw_aftermath();
            }
            Disturbance::Evacuate { domain, millis } => {
                self.evacuated.insert(FailureDomainId::new(domain));
                let event = WorldEvent::Disturb(Disturbance::EndEvacuation { domain });
                self.disturb_until(now + millis);
                self.schedule(now + millis, event);
            }
            Disturbance::EndEvacuation { domain } => {
                self.evacuated.remove(&FailureDomainId::new(domain));
            }
            Disturbance::NoticeOutage { index } => {
                if !self.store.is_up(now) {
                    self.holders[index].sees_outage = true;
                }
            }
            Disturbance::StoreOutage { millis } => self.begin_outage(millis),
            Disturbance::ShiftDemand => {
                let models: Vec<_> = self.load.keys().cloned().collect();
                for model in models {
                    let rate = self.between(5, 400);
                    if let Some((load, _)) = self.load.get_mut(&model) {
                        *load = rate;
                    }
                }
            }
            Disturbance::Start { address, id } => self.start(address, id),
            Disturbance::Leave { .. }
            | Disturbance::Crash { .. }
            | Disturbance::Pause { .. }
            | Disturbance::LoseEntry { .. }
            | Disturbance::CutOff { .. } => {
                if let Some(id) = self.draw_vm() {
                    self.note(|| format!("  of {id}"));
                    self.disturb_vm(&id, &disturbance);
                }
            }
        }
    }

    /// Succeeds shortly after an order to join or open has been accepted, if a succession waits for that.
    pub fn succeed_if_armed(&mut self) {
        if self.now < self.faults_until
            && let Some(kind) = self.armed.pop()
        {
            let time = self.now + self.between(10, 800);
            let event = WorldEvent::Disturb(Disturbance::Succeed(kind));
            self.disturb_until(time);
            self.schedule(time, event);
        }
    }

    /// Draws the disturbances right after a succession.
    fn draw_aftermath(&mut self) {
        if self.now >= self.faults_until || self.now < START_MS + FIRST_TERM_MS {
            return;
        }
        for _ in 0..self.aftermath {
            let time = self.now + self.between(10, 1500);
            let disturbance = draw_disturbance(self);
            self.disturb_until(time);
            self.schedule(time, WorldEvent::Disturb(disturbance));
        }
    }

    fn succeed(&mut self, kind: Succession) {
        let Some(index) = self.active.take() else {
            return;
        };
        let count = self.holders.len() as u64;
        let others = 1 + self.random.below(count - 1);
        let next = (index + usize::try_from(others).expect("small")) % self.holders.len();
        self.idle_reasons.clear();
        self.step_holder(index, FleetEvent::Lost);
        let (delay, next) = match kind {
            Succession::Resigned => (self.between(10, 500), Disturbance::Acquire { index: next }),
            Succession::Lapsed => (self.between(10, 1500), Disturbance::Acquire { index: next }),
            Succession::Killed => {
                self.holders[index].restart(&self.store, self.now);
                (
                    self.between(1000, 2500),
                    Disturbance::Acquire { index: next },
                )
            }
            Succession::HandedOver => (self.between(10, 50), Disturbance::Accept { index: next }),
        };
        self.disturb_until(self.now + delay);
        self.schedule(self.now + delay, WorldEvent::Disturb(next));
    }

    fn accept_handover(&mut self, index: usize) {
        self.term += 1;
        self.active = Some(index);
        self.step_holder(index, FleetEvent::Acquired(LeaseEpoch(self.term)));
        let holder = &mut self.holders[index];
        holder.collect_reports(self.now);
        let origin = (index, holder.process);
        let probes: Vec<(VmId, SocketAddr)> = holder
            .table
            .rows()
            .filter(|row| !self.evacuated.contains(&row.entry.failure_domain))
            .map(|row| (row.entry.id.clone(), row.entry.address))
            .collect();
        for (id, address) in probes {
            self.send_probe(id, address, origin);
        }
    }

    fn begin_outage(&mut self, millis: u64) {
        if !self.store.is_up(self.now) {
            return;
        }
        let until = self.now + millis;
        self.store.down_until = until;
        self.store.expires_in_outage = self.chance(50);
        self.disturb_until(until + 2 * GRACE_MS);
        if millis < NOTICED_OUTAGE_MS {
            return;
        }
        for index in 0..self.holders.len() {
            let noticed = self.now + self.between(100, 1000);
            let event = WorldEvent::Disturb(Disturbance::NoticeOutage { index });
            self.schedule(noticed, event);
            let listed = until + self.random.below(600);
            self.holders[index].relist_at(listed);
        }
    }

    fn start(&mut self, address: SocketAddr, id: Option<VmId>) {
        let former = self.occupants.get(&address);
        let Some(former) = former.map(|id| self.vms[id].entry.clone()) else {
            if self.vms.len() < MAX_VMS + 4 {
                let domain = self.random.below(2);
                let failure_domain = self.vms.values().find(|vm| {
                    let shown = vm.entry.fabric_domain.as_ref();
                    shown.is_some_and(|shown| shown.as_str() == format!("d{domain}"))
                });
                let failure_domain = failure_domain.map(|vm| vm.entry.failure_domain.clone());
                if let Some(failure_domain) = failure_domain {
                    add_vm(self, domain, failure_domain.as_str());
                }
            }
            return;
        };
        let number = self.vms.len();
        let entry = BackendEntry {
            id: id.unwrap_or_else(|| vm_id(&format!("vm{number}"))),
            started: self.now,
            is_draining: false,
            model: None,
            membership: None,
            ..former
        };
        self.note(|| format!("{} starts", entry.id));
        start_vm(self, entry);
    }

    /// Starts another process at the address of a VM after its end, under the same id or another one.
    fn restart_after(&mut self, id: &VmId, end: u64) {
        if !self.chance(60) {
            return;
        }
        let time = end + self.between(100, 3000);
        let same = self.chance(40).then(|| id.clone());
        let address = self.vms[id].entry.address;
        self.disturb_until(time);
        let start = Disturbance::Start { address, id: same };
        self.schedule(time, WorldEvent::Disturb(start));
    }

    fn disturb_vm(&mut self, id: &VmId, disturbance: &Disturbance) {
        let now = self.now;
        let (deaf, finish) = (self.between(500, 4000), self.random.below(FINISH_MS + 1));
        let vm = self.vms.get_mut(id).expect("VM");
        match *disturbance {
            Disturbance::Leave { is_announced } => {
                let (deaf_at, end_at) = (now + deaf, now + deaf + finish);
                vm.life = VmLife::Leaving { deaf_at, end_at };
                if is_announced {
                    vm.entry.is_draining = true;
                    self.write_entry(id);
                } else {
                    vm.has_deregistered = true;
                    self.remove_entry(id);
                }
                self.disturb_until(end_at);
                self.restart_after(id, end_at);
            }
            Disturbance::Crash { is_host_up } => {
                vm.life = VmLife::Ended { is_host_up };
                self.restart_after(id, now);
            }
            Disturbance::Pause { millis } => {
                vm.paused_until = now + millis;
                self.disturb_until(now + millis);
            }
            Disturbance::LoseEntry { millis } => {
                vm.mute_until = now + millis;
                self.disturb_until(now + millis);
            }
            Disturbance::CutOff {
                millis,
                reaches_store,
            } => {
                vm.cut_until = now + millis;
                if !reaches_store {
                    vm.mute_until = now + millis;
                }
                self.disturb_until(now + millis);
            }
            _ => {}
        }
    }
}

/// Number of VMs in use by domain, for the trace.
pub fn describe_vms(world: &World) -> BTreeMap<VmId, String> {
    let vms = world.vms.iter();
    vms.map(|(id, vm)| {
        let group = vm.entry.membership.as_ref();
        let group = group.map(|group| format!("{} {} {:?}", group.key, group.rank, group.phase));
        let reason = world.idle_reasons.get(id);
        let text = format!(
            "{:?} group={group:?} staged={:?} unused_since={} reason={reason:?}",
            vm.life, vm.entry.staged, vm.unused_since
        );
        (id.clone(), text)
    })
    .collect()
}
