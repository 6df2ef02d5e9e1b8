//! The fleet as derived from the inventories in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_health::HealthTarget;
use jaysaddle_lease::ShardLocation;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::inventory::InventoryDocument;
use jaysaddle_types::inventory::ServiceEntry;
use jaysaddle_types::inventory::VmEntry;

/// A VM with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetVm {
    /// The entry of the inventory.
    pub entry: VmEntry,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Region.
    pub region: RegionId,
}

/// A plain service's backend server with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetService {
    /// The entry of the inventory.
    pub entry: ServiceEntry,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
}

/// All VMs and services of the inventories in force.
#[derive(Clone, Debug, Default)]
pub struct FleetIndex {
    /// VMs by id.
    ///
    /// # Invariants
    ///
    /// A VM that several documents list is in none of the maps; it is in `conflicts`.
    pub vms: BTreeMap<VmId, FleetVm>,
    /// Backend servers of plain services.
    pub services: Vec<FleetService>,
    /// VMs left out, with the reason.
    pub conflicts: BTreeMap<VmId, CompactString>,
}

impl FleetIndex {
    /// Derives the fleet from inventories.
    pub fn from_inventories<'a>(
        inventories: impl Iterator<Item = &'a InventoryDocument>,
    ) -> FleetIndex {
        let mut fleet = FleetIndex::default();
        let mut seen: BTreeMap<VmId, FailureDomainId> = BTreeMap::new();
        for inventory in inventories {
            for entry in &inventory.vms {
                fleet.add_vm(entry, inventory, &mut seen);
            }
            for entry in &inventory.services {
                fleet.services.push(FleetService {
                    entry: entry.clone(),
                    failure_domain: inventory.failure_domain.clone(),
                });
            }
        }
        fleet
    }

    fn add_vm(
        &mut self,
        entry: &VmEntry,
        inventory: &InventoryDocument,
        seen: &mut BTreeMap<VmId, FailureDomainId>,
    ) {
        if let Some(other) = seen.get(&entry.name) {
            let reason = format_compact!(
                "{} is listed in inventory-{other} and in inventory-{}; it is left out until one \
                 entry is removed",
                entry.name,
                inventory.failure_domain
            );
            self.vms.remove(&entry.name);
            self.conflicts.insert(entry.name.clone(), reason);
            return;
        }
        seen.insert(entry.name.clone(), inventory.failure_domain.clone());
        self.vms.insert(
            entry.name.clone(),
            FleetVm {
                entry: entry.clone(),
                failure_domain: inventory.failure_domain.clone(),
                region: inventory.region.clone(),
            },
        );
    }

    /// Address of a VM's engine or, for a VM that only runs a plain service, of that service.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        let engine = self.vms.get(vm).map(|vm| vm.entry.address);
        engine.or_else(|| {
            self.services
                .iter()
                .find(|service| service.entry.vm == *vm)
                .map(|service| service.entry.address)
        })
    }

    /// What health is to watch: engines, and backend servers of services on other VMs.
    pub fn health_targets(&self) -> Vec<HealthTarget> {
        let engines = self.vms.values().map(|vm| HealthTarget {
            vm: vm.entry.name.clone(),
            address: vm.entry.address,
            failure_domain: vm.failure_domain.clone(),
        });
        let mut service_vms = BTreeSet::new();
        let services = self
            .services
            .iter()
            .filter(|service| !self.vms.contains_key(&service.entry.vm))
            .filter(|service| service_vms.insert(service.entry.vm.clone()))
            .map(|service| HealthTarget {
                vm: service.entry.vm.clone(),
                address: service.entry.address,
                failure_domain: service.failure_domain.clone(),
            });
        engines.chain(services).collect()
    }

    /// The shards: one per fabric domain.
    pub fn shards(&self) -> Vec<ShardLocation> {
        let places: BTreeMap<_, _> = self
            .vms
            .values()
            .map(|vm| (vm.entry.fabric_domain.clone(), vm.region.clone()))
            .collect();
        places
            .into_iter()
            .map(|(shard, region)| ShardLocation { shard, region })
            .collect()
    }
}
