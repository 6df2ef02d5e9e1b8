//! Control routes of an engine process: fault injection, statistics and recorded runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Instant;

use compact_str::CompactString;
use eyre::bail;
use jaysaddle_types::ids::VmId;
use tiny_http::Method;
use tiny_http::Request;

use crate::engine::fault::FaultKind;
use crate::engine::fault::VmFault;
use crate::engine::routes::EngineRoutes;
use crate::engine::run::RunEnd;
use crate::engine::stats::EngineStats;
use crate::engine::stats::RunList;
use crate::engine::vm::EngineVm;
use crate::http::RouteHandler;
use crate::http::StandinListener;
use crate::http::close_without_response;
use crate::http::read_json;
use crate::http::respond_json;
use crate::http::respond_text;
use crate::http::spawn_thread;
use crate::http::split_url;

/// Number of threads that accept requests to one VM. Completions are served on threads
/// of their own.
const VM_WORKERS: usize = 2;

/// Control routes of a process, with its VMs and their addresses.
pub(crate) struct ControlRoutes {
    vms: BTreeMap<VmId, (SocketAddr, Arc<EngineVm>)>,
    weak_self: Weak<ControlRoutes>,
}

impl ControlRoutes {
    /// Binds a listener at each VM's address and starts to serve requests.
    pub(crate) fn start(vms: Vec<(SocketAddr, Arc<EngineVm>)>) -> eyre::Result<Arc<Self>> {
        let mut bound = BTreeMap::new();
        for (address, vm) in vms {
            let listener = StandinListener::bind(address)?;
            let entry = (listener.address(), Arc::clone(&vm));
            vm.lock().listener = Some(listener);
            if bound.insert(vm.id.clone(), entry).is_some() {
                bail!("VM {} is configured twice", vm.id);
            }
        }
        let control = Arc::new_cyclic(|weak_self| Self {
            vms: bound,
            weak_self: Weak::clone(weak_self),
        });
        for (_, vm) in control.vms.values() {
            let state = vm.lock();
            if let Some(listener) = &state.listener {
                control.serve(listener, vm)?;
            }
        }
        Ok(control)
    }

    fn serve(&self, listener: &StandinListener, vm: &Arc<EngineVm>) -> eyre::Result<()> {
        let handler: Arc<dyn RouteHandler> = Arc::new(EngineRoutes {
            vm: Arc::clone(vm),
            control: Weak::clone(&self.weak_self),
        });
        listener.serve(VM_WORKERS, &handler)
    }

    pub(crate) fn vms(&self) -> impl Iterator<Item = (&VmId, SocketAddr, &Arc<EngineVm>)> {
        self.vms
            .iter()
            .map(|(id, (address, vm))| (id, *address, vm))
    }

    /// Injects a fault; returns `false` if the process has no such VM.
    pub(crate) fn inject(&self, fault: &VmFault) -> eyre::Result<bool> {
        let mut has_match = false;
        for (id, (address, vm)) in &self.vms {
            if fault.vm.as_ref().is_none_or(|named| named == id) {
                has_match = true;
                self.inject_into(*address, vm, fault)?;
            }
        }
        Ok(has_match)
    }

    fn inject_into(
        &self,
        address: SocketAddr,
        vm: &Arc<EngineVm>,
        fault: &VmFault,
    ) -> eyre::Result<()> {
        vm.faults.apply(fault);
        match fault.fault {
            FaultKind::Kill => kill(vm),
            FaultKind::Leave => vm.lock().report.leaving = true,
            FaultKind::Recover => self.recover(address, vm)?,
            _ => {}
        }
        vm.wake();
        Ok(())
    }

    fn recover(&self, address: SocketAddr, vm: &Arc<EngineVm>) -> eyre::Result<()> {
        let (held_requests, stalled_streams, listening) = {
            let mut state = vm.lock();
            state.report.leaving = false;
            let held_requests = std::mem::take(&mut state.held_requests);
            let stalled_streams = std::mem::take(&mut state.stalled_streams);
            (held_requests, stalled_streams, state.listener.is_some())
        };
        drop(stalled_streams);
        // A process that resumes still answers the requests that arrived while it was frozen.
        for request in held_requests {
            let vm = Arc::clone(vm);
            spawn_thread("engine-held", move || vm.handle_request(request))?;
        }
        if listening {
            return Ok(());
        }
        let listener = StandinListener::rebind(address)?;
        self.serve(&listener, vm)?;
        vm.lock().listener = Some(listener);
        Ok(())
    }

    fn stats(&self) -> BTreeMap<VmId, EngineStats> {
        self.vms()
            .map(|(id, _, vm)| (id.clone(), vm.lock().stats))
            .collect()
    }

    /// Returns the recorded runs of all VMs.
    pub(crate) fn runs(&self) -> RunList {
        let mut list = RunList::default();
        for (id, _, vm) in self.vms() {
            vm.lock().recorder.append_to(id, &mut list);
        }
        list
    }
}

impl RouteHandler for ControlRoutes {
    fn handle(&self, request: Request) {
        let url = CompactString::from(request.url());
        let (path, _) = split_url(&url);
        match (request.method(), path) {
            (Method::Post, "/control/fault") => {
                let Some((request, fault)) = read_json::<VmFault>(request) else {
                    return;
                };
                match self.inject(&fault) {
                    Ok(true) => respond_json(request, 200, &fault),
                    Ok(false) => respond_text(request, 404, "no such VM in this process"),
                    Err(error) => respond_text(request, 500, &format!("{error:#}")),
                }
            }
            (Method::Get, "/control/runs") => respond_json(request, 200, &self.runs()),
            (Method::Get, "/control/stats") => respond_json(request, 200, &self.stats()),
            _ => respond_text(request, 404, "no such control route"),
        }
    }
}

fn kill(vm: &EngineVm) {
    let mut state = vm.lock();
    if let Some(listener) = state.listener.take() {
        listener.close();
    }
    let now = Instant::now();
    state.stats.aborted += state.scheduler.end_all(RunEnd::Aborted, now);
    let held_requests = std::mem::take(&mut state.held_requests);
    vm.reset(&mut state);
    drop(state);
    held_requests.into_iter().for_each(close_without_response);
}
