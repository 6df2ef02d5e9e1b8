//! Request attempts of the fake callers.

use compact_str::format_compact;
use jaysaddle_reducer::Event;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::Timestamp;

use crate::caller::ATTEMPT_TIMEOUT_MS;
use crate::caller::CallEnd;
use crate::caller::MAX_ATTEMPTS;
use crate::simulation::NODES;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    pub(crate) fn start_attempt(&mut self, number: u64) {
        let node = usize::try_from(self.random_below(NODES as u64)).expect("small");
        let call = self
            .calls
            .get_mut(&number)
            .expect("calls are never removed");
        call.attempts += 1;
        self.next_request += 1;
        let request = RequestId::new(format_compact!("r{}", self.next_request));
        call.request = Some(request.clone());
        self.requests.insert(request.clone(), number);
        self.schedule(
            ATTEMPT_TIMEOUT_MS + 500,
            SimEvent::AttemptTimeout {
                call: number,
                request: request.clone(),
            },
        );
        let state = &self.nodes[node];
        let active = state.paused_until <= self.now;
        let Some(reducer) = state.reducer.as_ref().filter(|_| active) else {
            return;
        };
        let incarnation = state.incarnation;
        let now = Timestamp(self.now);
        let call = self
            .calls
            .get_mut(&number)
            .expect("calls are never removed");
        if call.home.is_none() {
            call.home = reducer.traffic.home_token(now);
        }
        // A stopping node provides no home token; the caller retries with another node instead of
        // sending the request to this one.
        if call.home.is_none() && !call.idempotent {
            self.end_attempt(number, CallEnd::NotRun);
            return;
        }
        let spec = call.spec(request, now);
        self.deliver(
            node,
            incarnation,
            Event::Traffic(TrafficEvent::RequestArrived(spec)),
        );
    }

    pub(crate) fn respond(&mut self, request: &RequestId, end: CallEnd) {
        let Some(number) = self.requests.get(request).copied() else {
            return;
        };
        // Some responses are lost, after which the caller retries.
        if self.calls[&number].request.as_ref() == Some(request) && self.random_below(10) > 0 {
            self.end_attempt(number, end);
        }
    }

    pub(crate) fn end_attempt(&mut self, number: u64, end: CallEnd) {
        let call = self
            .calls
            .get_mut(&number)
            .expect("calls are never removed");
        call.request = None;
        let retry =
            matches!(end, CallEnd::NotRun | CallEnd::NoResponse) && call.attempts < MAX_ATTEMPTS;
        if retry {
            let wait = 300 + self.random_below(1_500);
            self.schedule(wait, SimEvent::StartAttempt(number));
        } else {
            call.end = Some(end);
        }
    }

    pub(crate) fn record_not_run(&mut self, request: &RequestId) {
        let Some(call) = self.requests.get(request) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(call) {
            call.refused_as_not_run.push(request.clone());
        }
    }
}
