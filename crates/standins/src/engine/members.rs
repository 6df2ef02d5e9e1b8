//! Member checks of a group leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::engine::directory::MemberLink;
use crate::engine::run::RunEnd;
use crate::engine::vm::EngineVm;
use crate::http::THREAD_STACK_BYTES;
use crate::http::spawn_thread;

/// Timeout of a ping; `minreq` accepts whole seconds only.
const PING_TIMEOUT_SECS: u64 = 1;

/// Body of a response of `GET /engine/ping`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingResponse {
    /// VM that responds.
    pub vm: VmId,
    /// Role of the VM in its group.
    pub role: EngineRole,
    /// Group of the VM; absent when idle.
    pub group: Option<GroupId>,
    /// Fencing token of the order that the VM currently follows.
    pub generation: Generation,
}

impl PingResponse {
    pub(crate) fn from_report(report: &EngineReport) -> Self {
        Self {
            vm: report.vm.clone(),
            role: report.role,
            group: report.group.clone(),
            generation: report.generation,
        }
    }

    /// Whether the VM is a member of `leader`'s group in the same generation.
    fn is_member_of(&self, leader: &EngineReport) -> bool {
        self.role == EngineRole::Member
            && self.group == leader.group
            && self.generation == leader.generation
    }
}

fn ping(address: SocketAddr) -> Option<PingResponse> {
    let response = minreq::get(format!("http://{address}/engine/ping"))
        .with_timeout(PING_TIMEOUT_SECS)
        .send()
        .ok()?;
    serde_json::from_slice(response.as_bytes()).ok()
}

impl EngineVm {
    /// Response to a ping within the process; `None` if the VM is killed or frozen.
    fn local_ping(&self) -> Option<PingResponse> {
        let reachable = !self.faults.is_killed() && !self.faults.is_frozen();
        reachable.then(|| PingResponse::from_report(&self.lock().report))
    }

    /// Returns the members of `leader`'s group that do not respond as members. Other processes are
    /// pinged in parallel, so several frozen ones cost a single timeout.
    fn find_missing_members(&self, leader: &EngineReport) -> Vec<VmId> {
        thread::scope(|scope| {
            let checks: Vec<_> = leader
                .members
                .iter()
                .filter(|member| **member != self.id)
                .map(|member| {
                    let link = self.directory.find(member);
                    let remote = match &link {
                        Some(MemberLink::Remote(address)) => Some(*address),
                        _ => None,
                    };
                    let check = remote.and_then(|address| {
                        thread::Builder::new()
                            .stack_size(THREAD_STACK_BYTES)
                            .spawn_scoped(scope, move || ping(address))
                            .ok()
                    });
                    (member, link, check)
                })
                .collect();
            checks
                .into_iter()
                .filter_map(|(member, link, check)| {
                    let response = match link {
                        Some(MemberLink::Local(vm)) => vm.upgrade().and_then(|vm| vm.local_ping()),
                        _ => check.and_then(|check| check.join().ok().flatten()),
                    };
                    let present = response.is_some_and(|response| response.is_member_of(leader));
                    (!present).then(|| member.clone())
                })
                .collect()
        })
    }

    /// Checks the members unless the last check is more recent than `max_age`.
    pub(crate) fn check_members(&self, max_age: Duration) {
        let _guard = self
            .member_check_mutex
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (leader, assignment) = {
            let state = self.lock();
            let fresh = state
                .last_member_check
                .is_some_and(|at| at.elapsed() < max_age);
            if state.report.role != EngineRole::Leader || fresh {
                return;
            }
            (state.report.clone(), state.assignment)
        };
        let started = Instant::now();
        let missing = self.find_missing_members(&leader);
        let mut state = self.lock();
        if state.assignment != assignment {
            return;
        }
        state.last_member_check = Some(started);
        if missing.is_empty() {
            state.missing_since = None;
        } else {
            state.missing_since.get_or_insert(started);
        }
        state.report.missing = missing;
    }

    /// Starts periodic member checks, which run while `assignment` is current.
    pub(crate) fn start_member_checks(self: &Arc<Self>, assignment: u64) {
        let vm = Arc::clone(self);
        let spawned = spawn_thread("engine-members", move || {
            while !vm.is_stopped() && vm.lock().assignment == assignment {
                if !vm.faults.is_frozen() {
                    vm.check_members(Duration::ZERO);
                    vm.abort_if_stalled();
                }
                thread::sleep(vm.settings.member_check_interval.as_duration());
            }
        });
        if let Err(error) = spawned {
            log::error!("VM {} cannot check its members: {error:#}", self.id);
        }
    }

    /// Aborts all requests when members have been missing for the stall timeout.
    fn abort_if_stalled(&self) {
        let now = Instant::now();
        let limit = self.settings.stall_timeout.as_duration();
        let mut state = self.lock();
        let state = &mut *state;
        if state
            .missing_since
            .is_some_and(|since| now.duration_since(since) >= limit)
        {
            state.stats.aborted += state.scheduler.end_all(RunEnd::Aborted, now);
        }
    }
}
