//! The VMs and services of the active inventories.

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

/// A VM with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetVm {
    /// Inventory entry of the VM.
    pub entry: VmEntry,
    /// Failure domain of the inventory that lists the VM.
    pub failure_domain: FailureDomainId,
    /// Region of that failure domain.
    pub region: RegionId,
}

/// A plain service's backend server with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetService {
    /// Inventory entry of the service.
    pub entry: ServiceEntry,
    /// Failure domain of the inventory that lists the service.
    pub failure_domain: FailureDomainId,
}

/// Index of the VMs and services of all active inventories.
#[derive(Clone, Debug, Default)]
pub struct FleetIndex {
    /// VMs by id.
    ///
    /// # Invariants
    ///
    /// A VM that several inventories list is not in this map but in `conflicts`.
    pub vms: BTreeMap<VmId, FleetVm>,
    /// Backend servers of plain services, in the order of the inventories.
    pub services: Vec<FleetService>,
    /// Excluded VMs with the reason for the exclusion.
    pub conflicts: BTreeMap<VmId, CompactString>,
}

impl FleetIndex {
    /// Builds the index, excluding VMs that more than one inventory lists.
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
                "{} is listed in inventory-{other} and in inventory-{}; it is excluded until one \
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

    /// Returns the address of a VM's engine or, for a VM without an engine, of its plain service.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        let engine = self.vms.get(vm).map(|vm| vm.entry.address);
        engine.or_else(|| {
            self.services
                .iter()
                .find(|service| service.entry.vm == *vm)
                .map(|service| service.entry.address)
        })
    }

    /// Returns the targets of health probes: all engines, and the backend servers of services on
    /// VMs without an engine.
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

    /// Returns the shards, one per fabric domain.
    pub fn shards(&self) -> Vec<ShardLocation> {
        let regions: BTreeMap<_, _> = self
            .vms
            .values()
            .map(|vm| (vm.entry.fabric_domain.clone(), vm.region.clone()))
            .collect();
        regions
            .into_iter()
            .map(|(shard, region)| ShardLocation { shard, region })
            .collect()
    }
}
