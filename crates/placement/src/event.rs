//! Inputs and outputs of the shard controller.

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

/// Input to [`crate::ShardController::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum ShardEvent {
    /// Periodic timer, with the current state of the fleet and of this node's leases.
    Tick {
        /// Current state of the fleet; the controller fills in the fields that it tracks itself.
        input: Arc<PlannerInput>,
        /// Shards whose lease this node holds, each with the lease epoch and the earliest time at
        /// which it may send orders to engines that ignore fencing tokens.
        held: Vec<(FabricDomainId, LeaseEpoch, Timestamp)>,
    },
    /// A placement document was read or received from a watch. Versions that are not newer than the
    /// latest one received are ignored.
    PlacementChanged {
        /// Version of the stored object.
        version: ObjectVersion,
        /// Placement of one fabric domain, as stored in that version.
        document: PlacementDocument,
    },
    /// An engine reported its role, group and generation.
    Reported(EngineReport),
    /// A store call that the controller requested has completed.
    CallCompleted {
        /// Id from the [`ShardEffect::Call`] that requested it.
        call: CallId,
        /// Result of the call.
        outcome: StoreOutcome,
    },
    /// An engine responded to an order, or its response did not arrive.
    OrderCompleted {
        /// VM whose engine received the order.
        vm: VmId,
        /// The order as it was sent; responses to earlier orders are ignored.
        order: EngineOrder,
        /// Outcome that the engine reported; absent when no response arrived.
        outcome: Option<OrderOutcome>,
    },
}

/// Action that the caller of [`crate::ShardController::step`] carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardEffect {
    /// Make a call to the store.
    Call {
        /// Identifies the call in [`ShardEvent::CallCompleted`].
        call: CallId,
        /// Read or conditional write of one placement document.
        request: StoreRequest,
    },
    /// Send an order to an engine. The daemon checks the lease of `shard` again
    /// immediately before sending.
    Order {
        /// Shard under whose lease the order is sent.
        shard: FabricDomainId,
        /// VM whose engine is to receive the order.
        vm: VmId,
        /// Join or release, with the group and its generation as fencing token.
        order: EngineOrder,
    },
    /// Write a decision record to the log.
    Decision(DecisionRecord),
}
