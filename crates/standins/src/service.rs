//! Plain services: deterministic answers, a record of runs, the faults of engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use compact_str::CompactString;
use eyre::bail;
use eyre::eyre;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use tiny_http::Method;
use tiny_http::Request;

use crate::engine::VmBinding;
use crate::engine::fault::FaultKind;
use crate::engine::fault::FaultSwitches;
use crate::engine::fault::StreamFault;
use crate::engine::fault::VmFault;
use crate::engine::stats::RunList;
use crate::engine::stats::RunRecorder;
use crate::http::RouteHandler;
use crate::http::StandinListener;
use crate::http::bind_again;
use crate::http::drop_unanswered;
use crate::http::header;
use crate::http::read_body;
use crate::http::read_json;
use crate::http::respond_json;
use crate::http::respond_text;
use crate::http::spawn_small;
use crate::http::split_url;

/// Settings of a service process.
#[derive(Clone, Debug, Default)]
pub struct ServiceSettings {
    /// Address of the control routes, which answers while VMs are killed. Default: none.
    pub control: Option<SocketAddr>,
    /// VMs of this process. Default: none.
    pub vms: Vec<VmBinding>,
    /// Time between the run and its answer. Default: zero.
    pub delay: TimeSpan,
}

/// The answer of a service to `body` at `path`.
pub fn expected_answer(path: &str, body: &str) -> String {
    serde_json::json!({ "path": path, "echo": body }).to_string()
}

#[derive(Default)]
struct ServiceState {
    leaving: bool,
    recorder: RunRecorder,
    listener: Option<StandinListener>,
    held: Vec<Request>,
}

struct ServiceVm {
    id: VmId,
    delay: TimeSpan,
    faults: FaultSwitches,
    state: Mutex<ServiceState>,
}

impl ServiceVm {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, mut request: Request) {
        let since = self.faults.epoch();
        let url = CompactString::from(request.url());
        let (path, _) = split_url(&url);
        if *request.method() == Method::Get && path == "/engine/status" {
            let report = EngineReport {
                vm: self.id.clone(),
                leaving: self.lock().leaving,
                ..EngineReport::default()
            };
            return respond_json(request, 200, &report);
        }
        if *request.method() != Method::Post {
            return respond_text(request, 405, "method not allowed");
        }
        let Ok(body) = read_body(&mut request) else {
            return drop_unanswered(request);
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        let id = header(&request, "X-Request-Id").unwrap_or("none");
        self.lock().recorder.record(&RequestId::new(id), &body);
        thread::sleep(self.delay.as_duration().mul_f64(self.faults.slowness()));
        match self.faults.hits(since) {
            StreamFault::Cut => drop_unanswered(request),
            StreamFault::Silent | StreamFault::Frozen => self.lock().held.push(request),
            StreamFault::None if self.faults.empty() => respond_text(request, 200, ""),
            StreamFault::None => {
                let answer = expected_answer(path.trim_start_matches('/'), &body);
                respond_text(request, 200, &answer);
            }
        }
    }
}

/// The VMs of a process with their addresses.
struct ServiceFleet {
    vms: BTreeMap<VmId, (SocketAddr, Arc<ServiceVm>)>,
}

impl ServiceFleet {
    fn inject(self: &Arc<Self>, fault: &VmFault) -> eyre::Result<()> {
        let mut found = false;
        for (id, (address, vm)) in &self.vms {
            if fault.vm.as_ref().is_some_and(|named| named != id) {
                continue;
            }
            found = true;
            vm.faults.apply(fault);
            match fault.fault {
                FaultKind::Kill => kill(vm),
                FaultKind::Leave => vm.lock().leaving = true,
                FaultKind::Recover => self.recover(*address, vm)?,
                _ => {}
            }
        }
        if found {
            Ok(())
        } else {
            Err(eyre!("the process has no such VM"))
        }
    }

    fn recover(self: &Arc<Self>, address: SocketAddr, vm: &Arc<ServiceVm>) -> eyre::Result<()> {
        let (held, listening) = {
            let mut state = vm.lock();
            state.leaving = false;
            (std::mem::take(&mut state.held), state.listener.is_some())
        };
        // Their bodies may have been read already, so they cannot be answered late.
        held.into_iter().for_each(drop_unanswered);
        if listening {
            return Ok(());
        }
        let listener = bind_again(address)?;
        self.serve(&listener, Some(vm))?;
        vm.lock().listener = Some(listener);
        Ok(())
    }

    fn serve(
        self: &Arc<Self>,
        listener: &StandinListener,
        vm: Option<&Arc<ServiceVm>>,
    ) -> eyre::Result<()> {
        let handler: Arc<dyn RouteHandler> = Arc::new(ServiceRoutes {
            vm: vm.cloned(),
            fleet: Arc::clone(self),
        });
        listener.serve(1, &handler)
    }

    fn runs(&self) -> RunList {
        let mut list = RunList::default();
        for (id, (_, vm)) in &self.vms {
            vm.lock().recorder.append_to(id, &mut list);
        }
        list
    }
}

/// Routes at one VM's address, or at the control address when there is no VM.
struct ServiceRoutes {
    vm: Option<Arc<ServiceVm>>,
    fleet: Arc<ServiceFleet>,
}

impl RouteHandler for ServiceRoutes {
    fn handle(&self, request: Request) {
        let url = CompactString::from(request.url());
        let (path, _) = split_url(&url);
        match (request.method(), path, &self.vm) {
            (Method::Post, "/control/fault", _) => {
                let Some((request, fault)) = read_json::<VmFault>(request) else {
                    return;
                };
                match self.fleet.inject(&fault) {
                    Ok(()) => respond_json(request, 200, &fault),
                    Err(error) => respond_text(request, 404, &format!("{error:#}")),
                }
            }
            (Method::Get, "/control/runs", _) => respond_json(request, 200, &self.fleet.runs()),
            (_, _, None) => respond_text(request, 404, "no such control route"),
            (_, _, Some(vm)) if vm.faults.killed() => drop_unanswered(request),
            (_, _, Some(vm)) if vm.faults.frozen() => vm.lock().held.push(request),
            (_, _, Some(vm)) => {
                let vm = Arc::clone(vm);
                let spawned = spawn_small("service-call", move || vm.answer(request));
                if let Err(error) = spawned {
                    log::error!("a service dropped a call: {error:#}");
                }
            }
        }
    }
}

fn kill(vm: &ServiceVm) {
    let (listener, held) = {
        let mut state = vm.lock();
        (state.listener.take(), std::mem::take(&mut state.held))
    };
    if let Some(listener) = listener {
        listener.close();
    }
    held.into_iter().for_each(drop_unanswered);
}

/// A running service process; dropping it stops all of its VMs.
pub struct ServiceStandin {
    fleet: Arc<ServiceFleet>,
    listener: Option<StandinListener>,
}

impl ServiceStandin {
    /// Starts all VMs of `settings`.
    ///
    /// # Errors
    ///
    /// Fails when an address is not free, a VM is named twice or no thread can be started.
    pub fn start(settings: &ServiceSettings) -> eyre::Result<Self> {
        let mut vms = BTreeMap::new();
        for binding in &settings.vms {
            let listener = StandinListener::bind(binding.address)?;
            let address = listener.address();
            let vm = Arc::new(ServiceVm {
                id: binding.vm.clone(),
                delay: settings.delay,
                faults: FaultSwitches::default(),
                state: Mutex::default(),
            });
            vm.lock().listener = Some(listener);
            if vms.insert(binding.vm.clone(), (address, vm)).is_some() {
                bail!("VM {} is named twice", binding.vm);
            }
        }
        let fleet = Arc::new(ServiceFleet { vms });
        for (_, vm) in fleet.vms.values() {
            if let Some(listener) = &vm.lock().listener {
                fleet.serve(listener, Some(vm))?;
            }
        }
        let listener = settings.control.map(StandinListener::bind).transpose()?;
        if let Some(listener) = &listener {
            fleet.serve(listener, None)?;
        }
        Ok(Self { fleet, listener })
    }

    /// Address of the control routes, if configured.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().map(StandinListener::address)
    }

    /// The VMs and their addresses.
    pub fn addresses(&self) -> Vec<(VmId, SocketAddr)> {
        let vms = self.fleet.vms.iter();
        vms.map(|(id, (address, _))| (id.clone(), *address))
            .collect()
    }

    /// Injects a fault.
    ///
    /// # Errors
    ///
    /// Fails when the process has no such VM or a recovered VM cannot listen again.
    pub fn inject(&self, fault: &VmFault) -> eyre::Result<()> {
        self.fleet.inject(fault)
    }

    /// The record of runs.
    pub fn runs(&self) -> RunList {
        self.fleet.runs()
    }
}

impl Drop for ServiceStandin {
    fn drop(&mut self) {
        for (_, vm) in self.fleet.vms.values() {
            kill(vm);
        }
        if let Some(listener) = &self.listener {
            listener.close();
        }
    }
}
