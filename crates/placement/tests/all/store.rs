//! Fake store with versions and conditional updates.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;

/// Store that keeps a history of all stored groups, which orders and generations
/// are checked against.
#[derive(Default)]
pub struct FakeStore {
    pub down: bool,
    objects: BTreeMap<String, (ObjectVersion, String)>,
    history: BTreeMap<(GroupId, Generation), Vec<VmId>>,
    errors: Vec<String>,
    pub writes: u64,
}

impl FakeStore {
    pub fn parse(value: &str) -> PlacementDocument {
        serde_json::from_str(value).expect("controllers write valid documents")
    }

    pub fn version(&self, name: &str) -> ObjectVersion {
        self.objects
            .get(name)
            .map(|object| object.0)
            .unwrap_or_default()
    }

    pub fn document(&self, name: &str) -> Option<(ObjectVersion, PlacementDocument)> {
        let (version, value) = self.objects.get(name)?;
        Some((*version, Self::parse(value)))
    }

    pub fn documents(&self) -> Vec<PlacementDocument> {
        self.objects
            .values()
            .map(|(_, value)| Self::parse(value))
            .collect()
    }

    pub fn was_stored(&self, group: &GroupId, generation: Generation, members: &[VmId]) -> bool {
        let key = (group.clone(), generation);
        self.history
            .get(&key)
            .is_some_and(|stored| stored == members)
    }

    pub fn apply(&mut self, request: &StoreRequest) -> StoreOutcome {
        if self.down {
            return StoreOutcome::Unavailable;
        }
        match request {
            StoreRequest::Get { name, .. } => match self.objects.get(name.as_str()) {
                Some((version, value)) => StoreOutcome::Found(StoredObject {
                    name: name.clone(),
                    version: *version,
                    revision: StoreRevision(self.writes),
                    value: value.clone(),
                }),
                None => StoreOutcome::Missing,
            },
            StoreRequest::Put {
                name,
                expected,
                value,
                ..
            } => {
                let present = self.version(name);
                if present != *expected {
                    return StoreOutcome::Conflict(present);
                }
                self.record(name, value);
                let next = present.next();
                self.objects.insert(name.to_string(), (next, value.clone()));
                StoreOutcome::Written(next)
            }
        }
    }

    fn record(&mut self, name: &str, value: &str) {
        self.writes += 1;
        let document = Self::parse(value);
        if let Some((_, before)) = self.document(name) {
            if document.last_generation < before.last_generation {
                self.errors
                    .push(format!("last generation of {name} decreases"));
            }
            if document.epoch < before.epoch {
                self.errors.push(format!("epoch of {name} decreases"));
            }
        }
        for group in &document.groups {
            let key = (group.id.clone(), group.generation);
            let members = self
                .history
                .entry(key)
                .or_insert_with(|| group.members.clone());
            if *members != group.members {
                self.errors.push(format!(
                    "generation {} of {} is used twice",
                    group.generation, group.id
                ));
            }
        }
    }

    /// Returns the errors since the last call, and VMs that are in two groups now.
    pub fn check(&mut self) -> Vec<String> {
        let mut errors = std::mem::take(&mut self.errors);
        let mut placed = BTreeSet::new();
        for document in self.documents() {
            for vm in document.groups.iter().flat_map(|group| &group.members) {
                if !placed.insert(vm.clone()) {
                    errors.push(format!("VM {vm} is in two groups in the store"));
                }
            }
        }
        errors
    }
}
