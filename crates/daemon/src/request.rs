//! The thread of a caller's request: carries out what the traffic lane decides about it.

use std::net::SocketAddr;

use jaysaddle_ledger::StoredResponse;
use jaysaddle_reducer::TrafficEffect;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::traffic_event::AttemptOutcome;
use jaysaddle_routing::RouteTarget;
use jaysaddle_types::request::RequestSpec;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;

use crate::control_lane::probe_failure;
use crate::hub::Hub;
use crate::hub::TrafficInput;

/// Time allowed for a leader's report before a send. Healthy leaders answer in milliseconds.
const CHECK_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// An attempt to make.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Where it goes.
    pub target: RouteTarget,
    /// Address to send to.
    pub address: SocketAddr,
    /// Tokens already received, when a stream is resumed.
    pub resume_at: Option<u32>,
}

/// What differs between completions and calls of plain services.
pub trait RequestRunner {
    /// Makes an attempt and returns how it ended. A streamed answer goes to the caller meanwhile.
    fn run(&mut self, order: &AttemptOrder) -> AttemptOutcome;

    /// Sends what is left of a whole answer.
    fn complete(self: Box<Self>, answer: &StoredResponse);

    /// Sends the answer of an earlier run.
    fn replay(self: Box<Self>, answer: &StoredResponse);

    /// Sends a refusal.
    fn refuse(self: Box<Self>, refusal: &RequestRefusal);
}

fn count_result(result: &'static str) {
    metrics::counter!("jaysaddle_requests_total", "result" => result).increment(1);
}

/// Runs a request to its end.
pub fn drive(hub: &Hub, spec: RequestSpec, mut runner: Box<dyn RequestRunner + '_>) {
    let request = spec.id.clone();
    let (sender, effects) = flume::unbounded();
    let input = TrafficInput::Request(Box::new(spec), sender);
    if hub.traffic.send(input).is_err() {
        let refusal = RequestRefusal::not_run(ReasonCode::Stopping, "this node has stopped");
        runner.refuse(&refusal);
        return;
    }
    let mut sent = false;
    loop {
        match effects.recv() {
            Ok(TrafficEffect::CheckGroup { address, .. }) => {
                let outcome = hub.engine.report(address, CHECK_TIMEOUT);
                hub.traffic_event(TrafficEvent::GroupReported {
                    request: request.clone(),
                    outcome: outcome.map_err(probe_failure),
                });
            }
            Ok(TrafficEffect::Dispatch {
                attempt,
                target,
                address,
                resume_at,
                ..
            }) => {
                sent = true;
                if resume_at.is_some() {
                    metrics::counter!("jaysaddle_stream_resumes_total").increment(1);
                }
                let order = AttemptOrder {
                    attempt,
                    target,
                    address,
                    resume_at,
                };
                let outcome = runner.run(&order);
                let answer = match &outcome {
                    AttemptOutcome::Completed { answer, .. } => Some(answer.clone()),
                    _ => None,
                };
                // The ledger keeps the answer before the caller sees its end, so that a caller that
                // repeats the request right away finds it.
                hub.traffic_event(TrafficEvent::AttemptEnded {
                    request: request.clone(),
                    attempt,
                    outcome,
                });
                if let Some(answer) = answer {
                    count_result("answered");
                    runner.complete(&answer);
                    return;
                }
            }
            Ok(TrafficEffect::ReturnStored { answer, .. }) => {
                count_result("stored_answer");
                runner.replay(&answer);
                return;
            }
            Ok(TrafficEffect::Refuse { refusal, .. }) => {
                count_result("refused");
                runner.refuse(&refusal);
                return;
            }
            Ok(_) => {}
            Err(_) => {
                let message = "this node has stopped";
                let refusal = if sent {
                    RequestRefusal::may_have_run(ReasonCode::Stopping, message)
                } else {
                    RequestRefusal::not_run(ReasonCode::Stopping, message)
                };
                runner.refuse(&refusal);
                return;
            }
        }
    }
}
