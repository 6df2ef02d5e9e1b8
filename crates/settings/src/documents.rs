//! Configuration documents as kept in the store.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::inventory::InventoryDocument;
use jaysaddle_types::rules::RulesDocument;
use serde::Deserialize;
use serde::Serialize;

/// VMs that operators drain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainsDocument {
    /// Names of the drained VMs.
    #[serde(default)]
    pub vms: Vec<VmId>,
}

/// Kind of a configuration document, as expressed by its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentKind {
    /// The rules of the deployment.
    Rules,
    /// The VMs that operators drain.
    Drains,
    /// The inventory of one failure domain.
    Inventory(FailureDomainId),
}

const INVENTORY_PREFIX: &str = "inventory-";

impl DocumentKind {
    /// Returns the document's name in the store.
    pub fn name(&self) -> DocumentName {
        DocumentName::new(compact_str::format_compact!("{self}"))
    }
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentKind::Rules => f.write_str("rules"),
            DocumentKind::Drains => f.write_str("drains"),
            DocumentKind::Inventory(domain) => write!(f, "{INVENTORY_PREFIX}{domain}"),
        }
    }
}

impl FromStr for DocumentKind {
    type Err = CompactString;

    fn from_str(text: &str) -> Result<Self, CompactString> {
        match text {
            "rules" => Ok(DocumentKind::Rules),
            "drains" => Ok(DocumentKind::Drains),
            other => other
                .strip_prefix(INVENTORY_PREFIX)
                .and_then(|domain| domain.parse().ok())
                .map(DocumentKind::Inventory)
                .ok_or_else(|| {
                    compact_str::format_compact!(
                        "{other:?} is no document: expected rules, drains or \
                         inventory-<failure domain>"
                    )
                }),
        }
    }
}

/// A configuration document with its content.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigDocument {
    /// The rules of the deployment.
    Rules(RulesDocument),
    /// The VMs that operators drain.
    Drains(DrainsDocument),
    /// The inventory of one failure domain.
    Inventory(InventoryDocument),
}

/// Value of a configuration object in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredDocument<T> {
    /// Identifies the write. If the store's response is lost, the writer reads the object back and
    /// compares the id to determine whether the write took effect.
    pub write_id: WriteId,
    /// Content of the document.
    pub document: T,
}
