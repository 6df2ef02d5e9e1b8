//! A fake VM that executes orders immediately.

use jaysaddle_fleet::controller::VmState;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::GroupMembership;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::units::Timestamp;

/// Time of a join with the weights in accelerator memory, in milliseconds.
const MEMORY_JOIN_MS: u64 = 200;
/// Time of a join with the weights on the host, in milliseconds.
const HOST_JOIN_MS: u64 = 1100;
/// Time of a join that loads the weights, in milliseconds.
const LOAD_JOIN_MS: u64 = 12_000;

/// A VM as it knows itself.
#[derive(Clone, Debug)]
pub struct FakeVm {
    pub entry: BackendEntry,
    pub order_count: u64,
    /// Model of the last group. Unlike the model in the entry, it stays known after the VM has left the group.
    last_model: Option<ModelId>,
    /// Time in milliseconds at which the join in progress completes.
    pub ready_at: Option<u64>,
    /// Model that is being staged, and the time in milliseconds at which that completes.
    staging: Option<(ModelId, u64)>,
    pub is_reachable: bool,
}

impl FakeVm {
    pub fn new(entry: BackendEntry) -> Self {
        Self {
            entry,
            order_count: 0,
            last_model: None,
            ready_at: None,
            staging: None,
            is_reachable: true,
        }
    }

    pub fn finish_staging(&mut self, now: u64) {
        if let Some((model, _)) = self.staging.take_if(|(_, time)| now >= *time) {
            self.entry.staged = vec![model];
        }
    }

    /// The state that the VM reports.
    pub fn state(&self) -> VmState {
        let membership = self.entry.membership.as_ref();
        VmState {
            order_count: self.order_count,
            group: membership.map(|membership| membership.key.clone()),
            is_serving: membership.is_some_and(|membership| {
                membership.rank == 0 && membership.phase == MemberPhase::Open
            }),
        }
    }

    /// Carries out an order.
    pub fn execute(
        &mut self,
        order: &BackendOrder,
        order_count: Option<u64>,
        now: Timestamp,
        staging_ms: u64,
    ) -> OrderResult {
        const CONFLICT: OrderResult = OrderResult::Refused { status: 409 };
        if order_count.is_some_and(|count| count != self.order_count) {
            return CONFLICT;
        }
        match order {
            BackendOrder::Join {
                key,
                model,
                members,
            } => {
                let rank = members
                    .iter()
                    .position(|member| *member == self.entry.id)
                    .expect("rank");
                let time = if self.last_model.as_ref() == Some(model) {
                    MEMORY_JOIN_MS
                } else if self.entry.staged.contains(model) {
                    HOST_JOIN_MS
                } else {
                    LOAD_JOIN_MS
                };
                self.ready_at = Some(now.0 + time);
                self.entry.model = Some(model.clone());
                self.last_model = Some(model.clone());
                self.entry.membership = Some(GroupMembership {
                    key: key.clone(),
                    rank: u32::try_from(rank).expect("rank"),
                    phase: MemberPhase::Joining,
                });
            }
            BackendOrder::Open { key } => match &mut self.entry.membership {
                Some(membership)
                    if membership.key == *key && membership.phase == MemberPhase::Ready =>
                {
                    membership.phase = MemberPhase::Open;
                }
                _ => return CONFLICT,
            },
            BackendOrder::Close { key } => {
                if let Some(membership) = &mut self.entry.membership
                    && membership.key == *key
                {
                    membership.phase = MemberPhase::Ready;
                }
            }
            BackendOrder::Leave { key } => {
                let membership = self.entry.membership.as_ref();
                if membership.is_none_or(|membership| membership.key != *key) {
                    return CONFLICT;
                }
                self.entry.membership = None;
                self.entry.model = None;
            }
            BackendOrder::Stage { model } => {
                self.staging = Some((model.clone(), now.0 + staging_ms));
                self.finish_staging(now.0);
            }
        }
        self.order_count = self.order_count.wrapping_add(1);
        OrderResult::Begun
    }
}
