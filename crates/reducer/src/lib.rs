//! The reducer: all decisions of a node as a function from events to effects.
//!
//! [`step`] is pure. It reads no clock, opens no socket, starts no thread and draws no random
//! number; time and seeds arrive as data. The state has two lanes. [`ControlState`] holds
//! configuration, membership, health, leases and placement. [`TrafficState`] holds routing,
//! admission and the request ledger. The daemon drives each lane on a thread of its own, so that a
//! planner run delays no token and a flood of callers delays no heartbeat; tests drive both through
//! [`step`].
//!
//! The lanes are joined by three effects: [`ControlEffect::PublishView`] becomes
//! [`TrafficEvent::ViewChanged`], [`TrafficEffect::Attempted`] becomes
//! [`ControlEvent::Attempted`], and [`TrafficEffect::UsageMeasured`] becomes
//! [`ControlEvent::UsageMeasured`].

pub(crate) mod attempt;
pub mod config;
pub mod control;
pub mod control_event;
pub(crate) mod control_facts;
pub(crate) mod control_parts;
pub mod control_view;
pub mod documents;
pub mod explain;
pub mod fleet;
pub mod handover;
pub mod invariant;
pub mod ledger_wire;
pub mod operator;
pub mod traffic;
pub mod traffic_event;
pub(crate) mod traffic_ledger;

pub use control::ControlSettings;
pub use control::ControlState;
pub use control_event::ControlEffect;
pub use control_event::ControlEvent;
pub use control_event::StoreCaller;
pub use invariant::InvariantKind;
pub use invariant::InvariantViolation;
pub use operator::OperatorAnswer;
pub use traffic::TrafficSettings;
pub use traffic::TrafficState;
pub use traffic_event::TrafficEffect;
pub use traffic_event::TrafficEvent;

use jaysaddle_types::units::Timestamp;

/// The whole state of a node.
pub struct NodeReducer {
    /// The control lane.
    pub control: ControlState,
    /// The traffic lane.
    pub traffic: TrafficState,
}

/// An event of either lane.
#[derive(Clone, Debug)]
pub enum Event {
    /// For the control lane.
    Control(ControlEvent),
    /// For the traffic lane.
    Traffic(TrafficEvent),
}

/// An effect of either lane.
#[derive(Clone, Debug)]
pub enum Effect {
    /// From the control lane.
    Control(ControlEffect),
    /// From the traffic lane.
    Traffic(TrafficEffect),
}

/// Applies one event and returns what is to be done.
///
/// Effects that join the lanes are applied here and do not appear in the result.
pub fn step(reducer: &mut NodeReducer, event: Event, now: Timestamp) -> Vec<Effect> {
    let mut pending = vec![event];
    let mut effects = Vec::new();
    while let Some(next) = pending.pop() {
        match next {
            Event::Control(event) => {
                for effect in reducer.control.step(event, now) {
                    match effect {
                        ControlEffect::PublishView(view) => {
                            pending.push(Event::Traffic(TrafficEvent::ViewChanged(view)));
                        }
                        other => effects.push(Effect::Control(other)),
                    }
                }
            }
            Event::Traffic(event) => {
                for effect in reducer.traffic.step(event, now) {
                    match effect {
                        TrafficEffect::Attempted { vm, finding } => {
                            let event = ControlEvent::Attempted { vm, finding };
                            pending.push(Event::Control(event));
                        }
                        TrafficEffect::UsageMeasured(usage) => {
                            pending.push(Event::Control(ControlEvent::UsageMeasured(usage)));
                        }
                        TrafficEffect::LedgerMoved { successor } => {
                            let event = ControlEvent::LedgerMoved { successor };
                            pending.push(Event::Control(event));
                        }
                        other => effects.push(Effect::Traffic(other)),
                    }
                }
            }
        }
    }
    effects
}
