//! Configuration documents in force.
//!
//! The store's version of each document is the order. A document in force is replaced only by one
//! with a higher version, whether it came from a watch or from a peer.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_settings::check;
use jaysaddle_settings::documents::ConfigDocument;
use jaysaddle_settings::documents::DocumentKind;
use jaysaddle_settings::documents::DrainsDocument;
use jaysaddle_settings::documents::StoredDocument;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::inventory::InventoryDocument;
use jaysaddle_types::rules::RulesDocument;
use serde::de::DeserializeOwned;

/// A document in force.
#[derive(Clone, Debug)]
pub struct DocumentEntry {
    /// Version in the store.
    ///
    /// # Invariants
    ///
    /// Only rises while the node runs.
    pub version: ObjectVersion,
    /// Value as stored, JSON text; peers are given this text.
    pub value: String,
    /// The parsed document.
    pub document: Arc<ConfigDocument>,
}

/// What came of offering a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is in force now.
    Applied,
    /// A version at least as high is in force.
    Older,
    /// The document is not valid; the earlier one stays in force.
    Invalid(CompactString),
}

/// All documents in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    entries: BTreeMap<DocumentKind, DocumentEntry>,
}

fn parse_stored<T: DeserializeOwned>(value: &str) -> Result<T, CompactString> {
    serde_json::from_str::<StoredDocument<T>>(value)
        .map(|stored| stored.document)
        .map_err(|error| format_compact!("{error}"))
}

/// Parses the stored value of a document.
///
/// # Errors
///
/// Fails with a sentence when the value does not have the form of the document.
pub fn parse_document(kind: &DocumentKind, value: &str) -> Result<ConfigDocument, CompactString> {
    Ok(match kind {
        DocumentKind::Rules => ConfigDocument::Rules(parse_stored(value)?),
        DocumentKind::Drains => ConfigDocument::Drains(parse_stored(value)?),
        DocumentKind::Inventory(_) => ConfigDocument::Inventory(parse_stored(value)?),
    })
}

impl ConfigTable {
    /// Offers a version of a document; it comes into force if it is valid and the highest so far.
    pub fn offer(&mut self, name: &str, version: ObjectVersion, value: &str) -> OfferOutcome {
        let kind: DocumentKind = match name.parse() {
            Ok(kind) => kind,
            Err(message) => return OfferOutcome::Invalid(message),
        };
        if self
            .entries
            .get(&kind)
            .is_some_and(|entry| entry.version >= version)
        {
            return OfferOutcome::Older;
        }
        let document = match parse_document(&kind, value) {
            Ok(document) => document,
            Err(message) => return OfferOutcome::Invalid(message),
        };
        if let Some(problem) = check::check_document(&kind, &document).first() {
            return OfferOutcome::Invalid(format_compact!("{problem}"));
        }
        let entry = DocumentEntry {
            version,
            value: value.to_owned(),
            document: Arc::new(document),
        };
        self.entries.insert(kind, entry);
        OfferOutcome::Applied
    }

    /// The entry of a document.
    pub fn entry(&self, kind: &DocumentKind) -> Option<&DocumentEntry> {
        self.entries.get(kind)
    }

    /// Version in force; 0 when there is none.
    pub fn version(&self, kind: &DocumentKind) -> ObjectVersion {
        self.entry(kind)
            .map_or(ObjectVersion(0), |entry| entry.version)
    }

    /// Versions of all documents in force.
    pub fn versions(&self) -> Vec<(DocumentName, ObjectVersion)> {
        self.entries
            .iter()
            .map(|(kind, entry)| (kind.name(), entry.version))
            .collect()
    }

    /// Whether callers can be served: rules and at least one inventory are in force.
    pub fn is_complete(&self) -> bool {
        self.entries.contains_key(&DocumentKind::Rules) && self.inventories().next().is_some()
    }

    /// The rules in force.
    pub fn rules(&self) -> Arc<RulesDocument> {
        match self
            .entry(&DocumentKind::Rules)
            .map(|entry| &*entry.document)
        {
            Some(ConfigDocument::Rules(rules)) => Arc::new(rules.clone()),
            _ => Arc::default(),
        }
    }

    /// The VMs that operators drain.
    pub fn drains(&self) -> Vec<VmId> {
        match self
            .entry(&DocumentKind::Drains)
            .map(|entry| &*entry.document)
        {
            Some(ConfigDocument::Drains(DrainsDocument { vms })) => vms.clone(),
            _ => Vec::new(),
        }
    }

    /// The inventories in force, in the order of their failure domains.
    pub fn inventories(&self) -> impl Iterator<Item = &InventoryDocument> {
        self.entries
            .values()
            .filter_map(|entry| match &*entry.document {
                ConfigDocument::Inventory(inventory) => Some(inventory),
                _ => None,
            })
    }
}
