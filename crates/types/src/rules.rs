//! The rules document: models, client accounts and how much capacity each account keeps.

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

/// A model and the groups wanted for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// Name that callers use.
    pub name: ModelId,
    /// Version that groups are to run.
    pub version: ModelVersion,
    /// VMs of one group.
    ///
    /// # Invariants
    ///
    /// At least 1.
    pub vms_per_group: u32,
    /// Groups wanted in the whole fleet.
    pub groups: u32,
    /// Concurrent requests that one group takes.
    pub slots_per_group: SlotCount,
    /// Accounts that may use the model; empty means every account.
    #[serde(default)]
    pub accounts: Vec<AccountId>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRule {
    /// Name of the account.
    pub name: AccountId,
    /// SHA-256 of the account's key in lower-case hexadecimal; the key itself is never stored.
    pub key_sha256: CompactString,
    /// Concurrent requests that the account can always hold, over the whole fleet.
    #[serde(default)]
    pub reserved_slots: SlotCount,
    /// Upper bound of concurrent requests, over the whole fleet; absent means no bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_slots: Option<SlotCount>,
    /// Priority of its requests when the caller names none: 0 to 9, 9 first.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

fn default_priority() -> u8 {
    5
}

/// Rate limit of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreRule {
    /// Model loads that may run at once.
    pub concurrent_loads: u32,
    /// Highest rate of starting loads.
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

/// The rules of the deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesDocument {
    /// Weights of the objectives.
    #[serde(default)]
    pub objective: ObjectiveWeights,
    /// Limits of the weight store.
    #[serde(default)]
    pub weight_store: WeightStoreRule,
    /// Models.
    #[serde(default)]
    pub models: Vec<ModelRule>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Vec<AccountRule>,
}

impl RulesDocument {
    /// The rule of `model`.
    pub fn model(&self, model: &ModelId) -> Option<&ModelRule> {
        self.models.iter().find(|rule| rule.name == *model)
    }

    /// The rule of `account`.
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
