//! Statistics and recorded runs, which tests use to check what engines have executed.

use std::collections::BTreeMap;

use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of recorded runs. Further ones are only counted, which bounds memory
/// in load tests.
const MAX_RECORDED_RUNS: usize = 200_000;

/// Longer prompts are truncated to this length in the record.
const MAX_RECORDED_PROMPT_BYTES: usize = 256;

/// Counters of one engine, as returned by `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Number of started runs.
    pub started: u64,
    /// Runs that generated their complete output.
    pub finished: u64,
    /// Runs cancelled by request, by deadline or because no connection was attached.
    pub cancelled: u64,
    /// Runs aborted because a member was missing or the VM was killed.
    pub aborted: u64,
    /// Runs aborted because an order changed or released the group.
    pub interrupted: u64,
    /// Completions refused without starting a run.
    pub refused: u64,
    /// Completions that resumed or attached to an existing run.
    pub attached: u64,
    /// Number of accepted orders.
    pub orders: u64,
    /// Orders refused because of an outdated fencing token.
    pub stale_orders: u64,
}

/// Record of the runs of one request on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// VM that executed the request.
    pub vm: VmId,
    /// Id of the executed request.
    pub request_id: RequestId,
    /// Start of the prompt, at most 256 bytes.
    pub prompt: String,
    /// Number of runs started for the request.
    pub starts: u32,
}

/// Body of a response of `GET /control/runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunList {
    /// Recorded runs, sorted by VM and request id.
    pub runs: Vec<RunRecord>,
    /// Number of starts that were not recorded. Tests of at-most-once execution must check that
    /// it is 0.
    pub dropped: u64,
}

/// Recorder of one engine's runs.
#[derive(Debug, Default)]
pub(crate) struct RunRecorder {
    runs: BTreeMap<RequestId, (String, u32)>,
    dropped: u64,
}

impl RunRecorder {
    pub(crate) fn record(&mut self, request: &RequestId, prompt: &str) {
        if let Some((_, starts)) = self.runs.get_mut(request) {
            *starts += 1;
        } else if self.runs.len() < MAX_RECORDED_RUNS {
            let end = prompt.floor_char_boundary(MAX_RECORDED_PROMPT_BYTES);
            let start = prompt[..end].to_owned();
            self.runs.insert(request.clone(), (start, 1));
        } else {
            self.dropped += 1;
        }
    }

    pub(crate) fn append_to(&self, vm: &VmId, list: &mut RunList) {
        list.dropped += self.dropped;
        list.runs.extend(
            self.runs
                .iter()
                .map(|(request, (prompt, starts))| RunRecord {
                    vm: vm.clone(),
                    request_id: request.clone(),
                    prompt: prompt.clone(),
                    starts: *starts,
                }),
        );
    }
}
