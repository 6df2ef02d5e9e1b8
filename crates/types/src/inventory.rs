//! Inventory documents: which VMs and services exist, where they sit and what they may host.

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

/// Whether an engine refuses orders with an old fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// Old tokens are refused.
    Enforced,
    /// Tokens are ignored. The default, because it is the safe assumption.
    #[default]
    Ignored,
}

/// One VM of the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM; unique over all inventory documents.
    pub name: VmId,
    /// Address of its engine.
    pub address: SocketAddr,
    /// Fabric domain that the VM sits in; exactly one.
    pub fabric_domain: FabricDomainId,
    /// Accelerators of the VM.
    #[serde(default = "one")]
    pub accelerators: u32,
    /// Models that the VM may host.
    pub can_host: Vec<ModelId>,
    /// Whether its engine checks fencing tokens.
    #[serde(default)]
    pub fencing: FencingSupport,
}

fn one() -> u32 {
    1
}

/// One backend server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service; several backend servers may serve one name.
    pub name: ServiceId,
    /// VM that runs it.
    pub vm: VmId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Accounts that may call it; empty means every account.
    #[serde(default)]
    pub accounts: Vec<AccountId>,
    /// Whether calls may be repeated when the caller does not say.
    #[serde(default)]
    pub idempotent: bool,
}

/// The inventory of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventoryDocument {
    /// The failure domain that the document describes.
    pub failure_domain: FailureDomainId,
    /// Its region.
    pub region: RegionId,
    /// Its VMs.
    #[serde(default)]
    pub vms: Vec<VmEntry>,
    /// Backend servers of plain services.
    #[serde(default)]
    pub services: Vec<ServiceEntry>,
}
