//! The groups that the controller manages, with an index of their members.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::btree_map::Iter;

use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::GroupKey;

use crate::controller::ControlledGroup;

/// Managed groups by key.
///
/// # Invariants
///
/// `memberships` holds the keys of the groups of each member, in order, and nothing else. A VM is in two groups while the
/// earlier one ends.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupTable {
    groups: BTreeMap<GroupKey, ControlledGroup>,
    memberships: HashMap<VmId, Vec<GroupKey>>,
}

impl GroupTable {
    pub fn insert(&mut self, key: GroupKey, group: ControlledGroup) {
        self.remove(&key);
        for id in &group.members {
            let keys = self.memberships.entry(id.clone()).or_default();
            let position = keys.partition_point(|other| *other < key);
            keys.insert(position, key.clone());
        }
        self.groups.insert(key, group);
    }

    pub fn remove(&mut self, key: &GroupKey) {
        let Some(group) = self.groups.remove(key) else {
            return;
        };
        for id in &group.members {
            if let Some(keys) = self.memberships.get_mut(id) {
                keys.retain(|other| other != key);
                if keys.is_empty() {
                    self.memberships.remove(id);
                }
            }
        }
    }

    pub fn clear(&mut self) {
        self.groups.clear();
        self.memberships.clear();
    }

    /// The first group that a VM is a member of.
    pub fn group_of(&self, id: &VmId) -> Option<&GroupKey> {
        self.memberships.get(id)?.first()
    }

    pub fn get(&self, key: &GroupKey) -> Option<&ControlledGroup> {
        self.groups.get(key)
    }

    /// The group for changes of its stage and orders. Its members must not be changed.
    pub fn get_mut(&mut self, key: &GroupKey) -> Option<&mut ControlledGroup> {
        self.groups.get_mut(key)
    }

    pub fn contains_key(&self, key: &GroupKey) -> bool {
        self.groups.contains_key(key)
    }

    pub fn iter(&self) -> Iter<'_, GroupKey, ControlledGroup> {
        self.groups.iter()
    }

    pub fn keys(&self) -> impl Iterator<Item = &GroupKey> {
        self.groups.keys()
    }

    pub fn values(&self) -> impl Iterator<Item = &ControlledGroup> {
        self.groups.values()
    }
}
