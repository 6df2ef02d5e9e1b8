//! The active configuration documents.
//!
//! Versions are assigned by the store and order the revisions of a document. An active document is
//! replaced only by one with a higher version, whether that comes from a watch or from a peer.

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

/// An active document together with its stored form.
#[derive(Clone, Debug)]
pub struct DocumentEntry {
    /// Version in the store.
    ///
    /// # Invariants
    ///
    /// Never decreases while the node runs.
    pub version: ObjectVersion,
    /// Stored JSON text, which is forwarded to peers unchanged.
    pub value: String,
    /// Document parsed from `value`.
    pub document: Arc<ConfigDocument>,
}

/// Result of [`ConfigTable::offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is now active.
    Applied,
    /// A version at least as high is already active.
    Older,
    /// The document is invalid, with the reason; the previous version stays active.
    Invalid(CompactString),
}

/// The active configuration documents of a node.
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
/// Returns a description of the problem when `value` is not a valid document of this kind.
pub fn parse_document(kind: &DocumentKind, value: &str) -> Result<ConfigDocument, CompactString> {
    Ok(match kind {
        DocumentKind::Rules => ConfigDocument::Rules(parse_stored(value)?),
        DocumentKind::Drains => ConfigDocument::Drains(parse_stored(value)?),
        DocumentKind::Inventory(_) => ConfigDocument::Inventory(parse_stored(value)?),
    })
}

impl ConfigTable {
    /// Activates a version of a document if it is valid and higher than the active version.
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

    /// Returns the active document of a kind, or `None` when no version is active.
    pub fn entry(&self, kind: &DocumentKind) -> Option<&DocumentEntry> {
        self.entries.get(kind)
    }

    /// Returns the active version of a document, or 0 when there is none.
    pub fn version(&self, kind: &DocumentKind) -> ObjectVersion {
        self.entry(kind)
            .map_or(ObjectVersion(0), |entry| entry.version)
    }

    /// Returns the names and versions of all active documents.
    pub fn versions(&self) -> Vec<(DocumentName, ObjectVersion)> {
        self.entries
            .iter()
            .map(|(kind, entry)| (kind.name(), entry.version))
            .collect()
    }

    /// Returns whether callers can be served: rules and at least one inventory are active.
    pub fn is_complete(&self) -> bool {
        self.entries.contains_key(&DocumentKind::Rules) && self.inventories().next().is_some()
    }

    /// Returns the active rules, or default rules when there are none.
    pub fn rules(&self) -> Arc<RulesDocument> {
        match self
            .entry(&DocumentKind::Rules)
            .map(|entry| &*entry.document)
        {
            Some(ConfigDocument::Rules(rules)) => Arc::new(rules.clone()),
            _ => Arc::default(),
        }
    }

    /// Returns the VMs that operators have marked as draining.
    pub fn drains(&self) -> Vec<VmId> {
        match self
            .entry(&DocumentKind::Drains)
            .map(|entry| &*entry.document)
        {
            Some(ConfigDocument::Drains(DrainsDocument { vms })) => vms.clone(),
            _ => Vec::new(),
        }
    }

    /// Returns the active inventories, ordered by failure domain.
    pub fn inventories(&self) -> impl Iterator<Item = &InventoryDocument> {
        self.entries
            .values()
            .filter_map(|entry| match &*entry.document {
                ConfigDocument::Inventory(inventory) => Some(inventory),
                _ => None,
            })
    }
}
