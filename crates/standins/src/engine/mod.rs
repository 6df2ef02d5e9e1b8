//! Engine stand-in: continuous batching, prefix cache, orders, resume, fault injection.

pub mod cache;
mod completions;
mod control;
mod directory;
pub mod fault;
pub mod members;
mod orders;
mod routes;
mod run;
mod scheduler;
pub mod settings;
pub mod stats;
mod vm;

pub use fault::FaultKind;
pub use fault::VmFault;
pub use settings::EngineSettings;
pub use settings::EngineSpeed;
pub use settings::FencingMode;
pub use settings::VmBinding;
pub use settings::WeightSource;
pub use stats::RunList;

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::eyre;
use jaysaddle_types::ids::VmId;

use crate::engine::control::ControlRoutes;
use crate::engine::directory::VmDirectory;
use crate::engine::vm::EngineVm;
use crate::http::RouteHandler;
use crate::http::StandinListener;
use crate::http::spawn_thread;

/// A running engine process; dropping it stops all of its VMs.
pub struct EngineStandin {
    control: Arc<ControlRoutes>,
    listener: Option<StandinListener>,
}

impl EngineStandin {
    /// Starts all VMs of `settings`.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use, a VM is configured twice or a thread cannot be started.
    pub fn start(settings: EngineSettings) -> eyre::Result<Self> {
        let settings = Arc::new(settings);
        let directory = Arc::new(VmDirectory::default());
        for peer in &settings.peers {
            directory.add_remote(peer.vm.clone(), peer.address);
        }
        let mut vms = Vec::new();
        for binding in &settings.vms {
            let vm = Arc::new(EngineVm::new(
                binding.vm.clone(),
                Arc::clone(&settings),
                Arc::clone(&directory),
            ));
            directory.add_local(&vm);
            let decoder = Arc::clone(&vm);
            spawn_thread("engine-decode", move || decoder.run_decode_loop())?;
            vms.push((binding.address, vm));
        }
        let control = ControlRoutes::start(vms)?;
        let listener = settings.control.map(StandinListener::bind).transpose()?;
        if let Some(listener) = &listener {
            let handler: Arc<dyn RouteHandler> = control.clone();
            listener.serve(1, &handler)?;
        }
        Ok(Self { control, listener })
    }

    /// Address of the control routes; `None` if not configured.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().map(StandinListener::address)
    }

    /// VMs of this process and the addresses they listen on.
    pub fn addresses(&self) -> Vec<(VmId, SocketAddr)> {
        self.control
            .vms()
            .map(|(id, address, _)| (id.clone(), address))
            .collect()
    }

    /// Adds a VM of another process whose address is determined only after the start, so that it
    /// cannot be listed in `EngineSettings::peers`.
    pub fn add_peer(&self, peer: &VmBinding) {
        if let Some((_, _, vm)) = self.control.vms().next() {
            vm.directory.add_remote(peer.vm.clone(), peer.address);
        }
    }

    /// Injects a fault.
    ///
    /// # Errors
    ///
    /// Fails if the process has no such VM or a recovered VM cannot listen again.
    pub fn inject(&self, fault: &VmFault) -> eyre::Result<()> {
        if self.control.inject(fault)? {
            Ok(())
        } else {
            Err(eyre!("the process has no such VM"))
        }
    }

    /// Returns the recorded runs of all VMs.
    pub fn runs(&self) -> RunList {
        self.control.runs()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        for (_, _, vm) in self.control.vms() {
            vm.stop();
        }
        if let Some(listener) = &self.listener {
            listener.close();
        }
    }
}
