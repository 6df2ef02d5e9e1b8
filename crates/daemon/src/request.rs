//! Thread of a caller's request, which executes the data plane's decisions about it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

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
use crate::shared_state::DataPlaneInput;
use crate::shared_state::SharedState;

/// Timeout of the leader's report that is read before an attempt. Healthy leaders
/// respond in milliseconds.
const CHECK_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Attempt to send a request to a backend server.
#[derive(Clone, Debug)]
pub struct AttemptSpec {
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Group or service that the attempt is sent to.
    pub target: RouteTarget,
    /// Address of the group's leader or of the service.
    pub address: SocketAddr,
    /// Number of tokens already received when a stream is resumed; otherwise `None`.
    pub resume_at: Option<u32>,
}

/// Parts of request handling that differ between completions and calls of plain services.
pub trait RequestRunner {
    /// Makes an attempt and returns its outcome. A streamed response is forwarded to the caller
    /// during the attempt.
    fn run(&mut self, spec: &AttemptSpec) -> AttemptOutcome;

    /// Sends the complete response, or the rest of it when it was streamed.
    fn complete(self: Box<Self>, response: &StoredResponse);

    /// Sends the stored response of an earlier request with the same key.
    fn replay(self: Box<Self>, response: &StoredResponse);

    /// Sends a refusal, as an error event when the response was already started.
    fn refuse(self: Box<Self>, refusal: &RequestRefusal);
}

fn count_result(result: &'static str) {
    metrics::counter!("jaysaddle_requests_total", "result" => result).increment(1);
}

/// Submits a request to the data plane and executes its effects until a response or a refusal
/// has been sent.
pub fn run_request(
    shared: &SharedState,
    spec: RequestSpec,
    mut runner: Box<dyn RequestRunner + '_>,
) {
    let request = spec.id.clone();
    let (sender, effects) = flume::unbounded();
    let input = DataPlaneInput::Request(Box::new(spec), sender);
    if shared.data_plane.send(input).is_err() {
        let refusal = RequestRefusal::not_run(ReasonCode::Stopping, "this node has stopped");
        runner.refuse(&refusal);
        return;
    }
    let mut sent = false;
    loop {
        match effects.recv() {
            Ok(TrafficEffect::CheckGroup { address, .. }) => {
                let outcome = shared.engine.fetch_report(address, CHECK_TIMEOUT);
                shared.send_data_event(TrafficEvent::GroupReported {
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
                let attempt_spec = AttemptSpec {
                    attempt,
                    target,
                    address,
                    resume_at,
                };
                let outcome = runner.run(&attempt_spec);
                let response = match &outcome {
                    AttemptOutcome::Completed { response, .. } => Some(response.clone()),
                    _ => None,
                };
                // The ledger stores the response before the caller receives its end, so that an
                // immediate caller retry finds it.
                shared.send_data_event(TrafficEvent::AttemptEnded {
                    request: request.clone(),
                    attempt,
                    outcome,
                });
                if let Some(response) = response {
                    count_result("answered");
                    runner.complete(&response);
                    return;
                }
            }
            Ok(TrafficEffect::ReturnStored { response, .. }) => {
                count_result("stored_answer");
                runner.replay(&response);
                return;
            }
            Ok(TrafficEffect::Refuse { refusal, .. }) => {
                count_result("refused");
                if refusal.reason == ReasonCode::Stopping {
                    shared.refused_in_stop.fetch_add(1, Ordering::Relaxed);
                }
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
