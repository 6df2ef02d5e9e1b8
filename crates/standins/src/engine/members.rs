//! How a leader checks its members.

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

/// Time for a ping; `minreq` takes whole seconds.
const PING_TIMEOUT_SECS: u64 = 1;

/// Answer of `GET /engine/ping`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingResponse {
    /// The VM.
    pub vm: VmId,
    /// Its role.
    pub role: EngineRole,
    /// Its group.
    pub group: Option<GroupId>,
    /// Token of the order that it follows.
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

    /// Whether the VM works for the leader of `leader`'s group.
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
    /// Answer to a ping within the process; `None` when the VM would not answer.
    fn local_ping(&self) -> Option<PingResponse> {
        let reachable = !self.faults.killed() && !self.faults.frozen();
        reachable.then(|| PingResponse::from_report(&self.lock().report))
    }

    /// Members of `leader`'s group that do not answer as members. Other processes are asked in
    /// parallel, so that several frozen ones cost one timeout.
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

    /// Checks the members if the last check is older than `max_age`.
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

    /// Checks the members regularly while the engine leads the group of `assignment`.
    pub(crate) fn start_member_checks(self: &Arc<Self>, assignment: u64) {
        let vm = Arc::clone(self);
        let spawned = spawn_thread("engine-members", move || {
            while !vm.stopped() && vm.lock().assignment == assignment {
                if !vm.faults.frozen() {
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

    /// Ends the running requests when a member has been missing for too long.
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
