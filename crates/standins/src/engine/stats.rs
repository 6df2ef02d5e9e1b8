//! Evidence for tests: counts and the record of started runs.

use std::collections::BTreeMap;

use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Runs that are recorded; further ones are only counted, which bounds memory in load tests.
const MAX_RECORDED_RUNS: usize = 200_000;

/// Longest recorded prompt, in bytes.
const MAX_RECORDED_PROMPT_BYTES: usize = 256;

/// Counts of one engine, as answered by `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Runs started.
    pub started: u64,
    /// Runs that generated their whole answer.
    pub finished: u64,
    /// Runs cancelled by order, by deadline or for lack of a connection.
    pub cancelled: u64,
    /// Runs that ended because a member was missing.
    pub aborted: u64,
    /// Runs that ended because an order changed or released the group.
    pub interrupted: u64,
    /// Completions refused before running.
    pub refused: u64,
    /// Completions that resumed or attached to a known run.
    pub attached: u64,
    /// Orders accepted.
    pub orders: u64,
    /// Orders refused because of an outdated token.
    pub stale_orders: u64,
}

/// A recorded run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// VM that ran it.
    pub vm: VmId,
    /// Request id.
    pub request_id: RequestId,
    /// Start of the prompt.
    pub prompt: String,
    /// Number of starts.
    pub starts: u32,
}

/// Answer of `GET /control/runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunList {
    /// Runs, by VM and request id.
    pub runs: Vec<RunRecord>,
    /// Starts that were not recorded. A test of at-most-once must find 0 here.
    pub dropped: u64,
}

/// Record of one engine's runs.
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
