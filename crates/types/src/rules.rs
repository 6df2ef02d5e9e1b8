//! The rules document: models, client accounts and the capacity reserved for each account.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::ModelId;
use crate::ids::ModelVersion;
use crate::units::RequestRate;
use crate::units::SlotCount;

/// Weights of the two objectives of placement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveWeights {
    /// Weight of group downtime.
    pub downtime: f64,
    /// Weight of stranded accelerators.
    pub stranded: f64,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self {
            downtime: 1.0,
            stranded: 1.0,
        }
    }
}

/// A model and the number of groups to run for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// Name that callers use.
    pub name: ModelId,
    /// Version that groups are to run.
    pub version: ModelVersion,
    /// Number of VMs in one group.
    ///
    /// # Invariants
    ///
    /// At least 1.
    pub vms_per_group: u32,
    /// Target number of groups in the fleet.
    pub groups: u32,
    /// Concurrent requests that one group accepts.
    pub slots_per_group: SlotCount,
    /// Accounts that may use the model; empty means every account.
    #[serde(default)]
    pub accounts: Vec<AccountId>,
}

/// A client account with its key and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRule {
    /// Name of the account.
    pub name: AccountId,
    /// SHA-256 of the account's key in lower-case hexadecimal; the key itself is never stored.
    pub key_sha256: CompactString,
    /// Concurrent requests guaranteed to the account, over the fleet.
    #[serde(default)]
    pub reserved_slots: SlotCount,
    /// Upper limit of concurrent requests, over the fleet; absent means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_slots: Option<SlotCount>,
    /// Priority of requests for which the caller states none, from 0 to 9; 9 is the highest.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

fn default_priority() -> u8 {
    5
}

/// Load limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreRule {
    /// Maximum number of concurrent model loads.
    pub concurrent_loads: u32,
    /// Maximum rate at which loads are started.
    pub load_rate: RequestRate,
}

impl Default for WeightStoreRule {
    fn default() -> Self {
        Self {
            concurrent_loads: 8,
            load_rate: RequestRate(4),
        }
    }
}

/// The rules of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesDocument {
    /// Weights of the placement objectives.
    #[serde(default)]
    pub objective: ObjectiveWeights,
    /// Limits on loads from the weight store.
    #[serde(default)]
    pub weight_store: WeightStoreRule,
    /// Models to be served, unique by name.
    #[serde(default)]
    pub models: Vec<ModelRule>,
    /// Client accounts, unique by name.
    #[serde(default)]
    pub accounts: Vec<AccountRule>,
}

impl RulesDocument {
    /// Returns the rule of `model`.
    pub fn model(&self, model: &ModelId) -> Option<&ModelRule> {
        self.models.iter().find(|rule| rule.name == *model)
    }

    /// Returns the rule of `account`.
    pub fn account(&self, account: &AccountId) -> Option<&AccountRule> {
        self.accounts.iter().find(|rule| rule.name == *account)
    }
}

impl ModelRule {
    /// Whether `account` may use the model.
    pub fn allows_account(&self, account: &AccountId) -> bool {
        self.accounts.is_empty() || self.accounts.contains(account)
    }
}
