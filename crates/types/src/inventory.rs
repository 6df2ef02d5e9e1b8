//! Inventory documents: the VMs and services of a failure domain, their location and what they may
//! host.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::FabricDomainId;
use crate::ids::FailureDomainId;
use crate::ids::ModelId;
use crate::ids::RegionId;
use crate::ids::ServiceId;
use crate::ids::VmId;

/// Whether an engine rejects orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// Orders with outdated tokens are rejected.
    Enforced,
    /// Tokens are not checked. This is the default because it is the safe assumption.
    #[default]
    Ignored,
}

/// One VM of the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM; unique across all inventory documents.
    pub name: VmId,
    /// Address of the VM's engine.
    pub address: SocketAddr,
    /// Fabric domain of the VM; every VM belongs to exactly one.
    pub fabric_domain: FabricDomainId,
    /// Number of accelerators in the VM; default 1.
    #[serde(default = "default_accelerators")]
    pub accelerators: u32,
    /// Models that the VM may host.
    pub can_host: Vec<ModelId>,
    /// Whether the VM's engine checks fencing tokens.
    #[serde(default)]
    pub fencing: FencingSupport,
}

fn default_accelerators() -> u32 {
    1
}

/// One backend server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service; several backend servers may provide the same service.
    pub name: ServiceId,
    /// VM that the backend server runs on.
    pub vm: VmId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Accounts that may call the service; empty means every account.
    #[serde(default)]
    pub accounts: Vec<AccountId>,
    /// Whether calls may be retried when the caller does not state it.
    #[serde(default)]
    pub idempotent: bool,
}

/// The inventory of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventoryDocument {
    /// The failure domain that the document describes.
    pub failure_domain: FailureDomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// VMs of the failure domain.
    #[serde(default)]
    pub vms: Vec<VmEntry>,
    /// Backend servers of plain services.
    #[serde(default)]
    pub services: Vec<ServiceEntry>,
}
