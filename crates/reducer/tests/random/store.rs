//! Fake of the platform's store with versions and conditional updates.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;

/// In-memory store.
#[derive(Debug, Default)]
pub struct FakeStore {
    objects: BTreeMap<(ObjectKind, CompactString), StoredObject>,
    revision: u64,
}

impl FakeStore {
    /// Performs a read or a conditional write.
    pub fn call(&mut self, request: &StoreRequest) -> StoreOutcome {
        match request {
            StoreRequest::Get { kind, name } => match self.objects.get(&(*kind, name.clone())) {
                Some(object) => StoreOutcome::Found(object.clone()),
                None => StoreOutcome::Missing,
            },
            StoreRequest::Put {
                kind,
                name,
                expected,
                value,
                ..
            } => self.put(*kind, name, *expected, value),
        }
    }

    fn put(
        &mut self,
        kind: ObjectKind,
        name: &CompactString,
        expected: ObjectVersion,
        value: &str,
    ) -> StoreOutcome {
        let key = (kind, name.clone());
        let version = self
            .objects
            .get(&key)
            .map_or(ObjectVersion(0), |object| object.version);
        if version != expected {
            return StoreOutcome::Conflict(version);
        }
        self.revision += 1;
        let object = StoredObject {
            name: name.clone(),
            version: version.next(),
            revision: StoreRevision(self.revision),
            value: value.to_owned(),
        };
        self.objects.insert(key, object);
        StoreOutcome::Written(version.next())
    }

    /// Returns the current revision and the objects of `kind` written after revision `after`.
    pub fn changes(&self, kind: ObjectKind, after: u64) -> (u64, Vec<StoredObject>) {
        let objects = self
            .objects
            .iter()
            .filter(|((of, _), object)| *of == kind && object.revision.0 > after)
            .map(|(_, object)| object.clone())
            .collect();
        (self.revision, objects)
    }

    /// Returns the stored placement documents.
    pub fn placements(&self) -> Vec<PlacementDocument> {
        self.objects
            .iter()
            .filter(|((kind, _), _)| *kind == ObjectKind::Placement)
            .map(|(_, object)| {
                serde_json::from_str(&object.value).expect("a stored placement can be parsed")
            })
            .collect()
    }

    /// Returns the version of a configuration document, or 0 when it does not exist.
    pub fn config_version(&self, name: &str) -> ObjectVersion {
        self.objects
            .get(&(ObjectKind::Config, name.into()))
            .map_or(ObjectVersion(0), |object| object.version)
    }
}
