//! The reducer: all decisions of a node as a function from events to effects.
//!
//! [`step`] is deterministic and performs no I/O. It reads no clock, opens no socket, starts no
//! thread and generates no random numbers; time and seeds are passed in. The state consists of two
//! planes. [`ControlState`], the control plane, holds configuration, membership, health, leases and
//! placement. [`TrafficState`], the data plane, holds routing, admission and the request ledger.
//! The daemon runs each plane on its own thread, so that planning does not delay tokens and a burst
//! of requests does not delay heartbeats; tests run both through [`step`].
//!
//! The planes are connected by these effects: [`ControlEffect::PublishView`] becomes
//! [`TrafficEvent::ViewChanged`], and [`TrafficEffect::Attempted`],
//! [`TrafficEffect::UsageMeasured`] and [`TrafficEffect::LedgerMoved`] become the control events of
//! the same names.

pub(crate) mod attempt;
pub mod config;
pub mod control;
pub(crate) mod control_dispatch;
pub mod control_event;
pub(crate) mod control_inputs;
pub mod control_view;
pub mod document_exchange;
pub mod explain;
pub mod fleet;
pub mod handover;
pub mod invariant;
pub mod ledger_wire;
pub mod operator;
pub(crate) mod silence;
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
pub use operator::OperatorOutcome;
pub use traffic::TrafficSettings;
pub use traffic::TrafficState;
pub use traffic_event::TrafficEffect;
pub use traffic_event::TrafficEvent;

use jaysaddle_types::units::Timestamp;

/// The state of both planes of a node.
pub struct NodeReducer {
    /// State of the control plane.
    pub control: ControlState,
    /// State of the data plane.
    pub traffic: TrafficState,
}

/// An event of either plane.
#[derive(Clone, Debug)]
pub enum Event {
    /// Event of the control plane.
    Control(ControlEvent),
    /// Event of the data plane.
    Traffic(TrafficEvent),
}

/// An effect of either plane.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Effect of the control plane.
    Control(ControlEffect),
    /// Effect of the data plane.
    Traffic(TrafficEffect),
}

/// Applies one event and returns the resulting effects.
///
/// Effects that connect the planes are applied here and do not appear in the result.
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
