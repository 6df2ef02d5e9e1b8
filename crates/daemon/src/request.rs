//! Thread of a caller's request, which executes the data plane's decisions about it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use jaysaddle_engine::ReportFailure;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_reducer::TrafficEffect;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::traffic_event::AttemptOutcome;
use jaysaddle_routing::RouteTarget;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestSpec;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;

use crate::clock;
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

/// End, or silence, of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Number of the attempt: the latest one, or an earlier one that brought something first.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
}

/// Parts of request handling that differ between completions and calls of plain services.
pub trait RequestRunner {
    /// Makes an attempt and returns its outcome. A streamed response is forwarded to the caller
    /// during the attempt.
    fn run(&mut self, spec: &AttemptSpec) -> AttemptEnd;

    /// Goes on with an attempt that was silent.
    fn await_attempt(&mut self, attempt: u32) -> AttemptEnd;

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

/// Fetches the report of a group's leader, again after a pause of this process: the pause may have caused the timeout.
fn fetch_report(shared: &SharedState, address: SocketAddr) -> Result<EngineReport, ReportFailure> {
    let started = clock::now();
    let outcome = shared.engine.fetch_report(address, CHECK_TIMEOUT);
    if outcome.is_err() && clock::was_paused(started, CHECK_TIMEOUT) {
        return shared.engine.fetch_report(address, CHECK_TIMEOUT);
    }
    outcome
}

/// Reports the end of an attempt to the data plane and returns the response, if there is one.
///
/// The ledger stores the response before the caller receives its end, so that an immediate caller
/// retry finds it.
fn report_end(
    shared: &SharedState,
    request: &RequestId,
    end: AttemptEnd,
) -> Option<StoredResponse> {
    let response = match &end.outcome {
        AttemptOutcome::Completed { response, .. } => Some(response.clone()),
        _ => None,
    };
    shared.send_data_event(TrafficEvent::AttemptEnded {
        request: request.clone(),
        attempt: end.attempt,
        outcome: end.outcome,
    });
    response
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
                shared.send_data_event(TrafficEvent::GroupReported {
                    request: request.clone(),
                    outcome: fetch_report(shared, address).map_err(probe_failure),
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
                let end = runner.run(&AttemptSpec {
                    attempt,
                    target,
                    address,
                    resume_at,
                });
                if let Some(response) = report_end(shared, &request, end) {
                    count_result("answered");
                    runner.complete(&response);
                    return;
                }
            }
            Ok(TrafficEffect::AwaitAttempt { attempt, .. }) => {
                let end = runner.await_attempt(attempt);
                if let Some(response) = report_end(shared, &request, end) {
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
