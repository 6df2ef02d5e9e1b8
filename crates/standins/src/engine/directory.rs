//! Directory of the VMs that may be members of groups, in this process and in others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;

use jaysaddle_types::ids::VmId;

use crate::engine::vm::EngineVm;

/// How a leader reaches a member.
#[derive(Clone)]
pub(crate) enum MemberLink {
    /// The VM is hosted by this process.
    Local(Weak<EngineVm>),
    /// The VM is hosted by another process and reached over HTTP.
    Remote(SocketAddr),
}

/// All VMs that a leader can reach.
#[derive(Default)]
pub(crate) struct VmDirectory {
    links: Mutex<BTreeMap<VmId, MemberLink>>,
}

impl VmDirectory {
    pub(crate) fn add_local(&self, vm: &Arc<EngineVm>) {
        self.add(vm.id.clone(), MemberLink::Local(Arc::downgrade(vm)));
    }

    pub(crate) fn add_remote(&self, vm: VmId, address: SocketAddr) {
        self.add(vm, MemberLink::Remote(address));
    }

    fn add(&self, vm: VmId, link: MemberLink) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.insert(vm, link);
    }

    pub(crate) fn find(&self, vm: &VmId) -> Option<MemberLink> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(vm).cloned()
    }
}
