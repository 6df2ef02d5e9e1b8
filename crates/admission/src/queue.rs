//! Queue of requests waiting for a slot.

use std::collections::HashMap;

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::units::Timestamp;

#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: RequestId,
    pub(crate) account: AccountId,
    pub(crate) model: ModelId,
    pub(crate) priority: RequestPriority,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
}

/// Priority queue of the requests waiting on this node.
///
/// # Invariants
///
/// `waiting` is sorted by descending priority, then by arrival time.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionQueue {
    waiting: Vec<WaitingRequest>,
}

impl AdmissionQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn get(&self, position: usize) -> &WaitingRequest {
        &self.waiting[position]
    }

    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &WaitingRequest> {
        self.waiting.iter()
    }

    pub(crate) fn contains(&self, request: &RequestId) -> bool {
        self.waiting
            .iter()
            .any(|waiting| waiting.request == *request)
    }

    pub(crate) fn count_for_account(&self, account: &AccountId) -> u32 {
        let count = self
            .waiting
            .iter()
            .filter(|waiting| waiting.account == *account);
        count.count() as u32
    }

    /// Inserts `request` behind all requests of the same or a higher priority and
    /// returns its position.
    pub(crate) fn insert(&mut self, request: WaitingRequest) -> usize {
        let position = self
            .waiting
            .partition_point(|waiting| waiting.priority >= request.priority);
        self.waiting.insert(position, request);
        position
    }

    pub(crate) fn remove(&mut self, position: usize) -> WaitingRequest {
        self.waiting.remove(position)
    }

    pub(crate) fn remove_request(&mut self, request: &RequestId) -> Option<WaitingRequest> {
        let position = self
            .waiting
            .iter()
            .position(|waiting| waiting.request == *request)?;
        Some(self.waiting.remove(position))
    }

    /// Returns for each request, in queue order, whether its account's floor covers
    /// it. `unused_floor` returns the part of an account's floor that is not in use
    /// by running requests.
    ///
    /// Coverage is counted separately for each model: otherwise a request waiting for a busy model
    /// would use up the floor of a request whose model has a free slot.
    pub(crate) fn covered_by_floor(&self, unused_floor: impl Fn(&AccountId) -> u32) -> Vec<bool> {
        let mut remaining: HashMap<(&AccountId, &ModelId), u32> = HashMap::new();
        self.waiting
            .iter()
            .map(|waiting| {
                let remaining = remaining
                    .entry((&waiting.account, &waiting.model))
                    .or_insert_with(|| unused_floor(&waiting.account));
                let covered = *remaining > 0;
                *remaining = remaining.saturating_sub(1);
                covered
            })
            .collect()
    }
}
