//! Events and effects of the shard controller.

use std::sync::Arc;

use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::units::Timestamp;

use crate::plan::PlannerInput;

/// What happens to the shard controller.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardEvent {
    /// Time has passed. `input` is the present state of the fleet; `held` are the shards that this
    /// node holds now, with the time from which it may order engines that ignore fencing tokens.
    Tick {
        /// The planner's input.
        input: Arc<PlannerInput>,
        /// Shards held: epoch, and earliest time of unfenced orders.
        held: Vec<(FabricDomainId, LeaseEpoch, Timestamp)>,
    },
    /// A placement was read or watched. Older versions than known are ignored.
    PlacementChanged {
        /// Version of the object.
        version: ObjectVersion,
        /// The document.
        document: PlacementDocument,
    },
    /// An engine's report arrived.
    Reported(EngineReport),
    /// A call of this part was answered.
    CallAnswered {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// An order was answered, or not.
    OrderAnswered {
        /// The VM.
        vm: VmId,
        /// The order.
        order: EngineOrder,
        /// The answer; absent when none came.
        outcome: Option<OrderOutcome>,
    },
}

/// What the shard controller wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardEffect {
    /// Make a call to the store.
    Call {
        /// Matches the answer.
        call: CallId,
        /// The call.
        request: StoreRequest,
    },
    /// Send an order to an engine. The daemon checks the lease of `shard` again right before it
    /// sends.
    Order {
        /// Shard that the order belongs to.
        shard: FabricDomainId,
        /// The VM.
        vm: VmId,
        /// The order.
        order: EngineOrder,
    },
    /// Log line.
    Decision(DecisionRecord),
}
