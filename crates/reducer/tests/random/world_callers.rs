//! Tries of the fake callers.

use compact_str::format_compact;
use jaysaddle_reducer::Event;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::Timestamp;

use crate::caller::CallEnd;
use crate::caller::MAX_TRIES;
use crate::caller::TRY_MS;
use crate::world::NODES;
use crate::world::World;
use crate::world::WorldEvent;

impl World {
    pub(crate) fn try_call(&mut self, number: u64) {
        let node = usize::try_from(self.draw(NODES as u64)).expect("small");
        let call = self.calls.get_mut(&number).expect("calls are kept");
        call.tries += 1;
        self.next_request += 1;
        let request = RequestId::new(format_compact!("r{}", self.next_request));
        call.request = Some(request.clone());
        self.requests.insert(request.clone(), number);
        self.after(
            TRY_MS + 500,
            WorldEvent::TryTimeout {
                call: number,
                request: request.clone(),
            },
        );
        let state = &self.nodes[node];
        let up = state.paused_until <= self.now;
        let Some(reducer) = state.reducer.as_ref().filter(|_| up) else {
            return;
        };
        let incarnation = state.incarnation;
        let now = Timestamp(self.now);
        let call = self.calls.get_mut(&number).expect("calls are kept");
        if call.home.is_none() {
            call.home = reducer.traffic.home_token(now);
        }
        // A node that stops gives no home token; the caller asks another node before it sends.
        if call.home.is_none() && !call.idempotent {
            self.end_try(number, CallEnd::NotRun);
            return;
        }
        let spec = call.spec(request, now);
        self.deliver(
            node,
            incarnation,
            Event::Traffic(TrafficEvent::RequestArrived(spec)),
        );
    }

    pub(crate) fn answer(&mut self, request: &RequestId, end: CallEnd) {
        let Some(number) = self.requests.get(request).copied() else {
            return;
        };
        // Some answers are lost on the way to the caller, which repeats the call then.
        if self.calls[&number].request.as_ref() == Some(request) && self.draw(10) > 0 {
            self.end_try(number, end);
        }
    }

    pub(crate) fn end_try(&mut self, number: u64, end: CallEnd) {
        let call = self.calls.get_mut(&number).expect("calls are kept");
        call.request = None;
        let again = matches!(end, CallEnd::NotRun | CallEnd::Silent) && call.tries < MAX_TRIES;
        if again {
            let wait = 300 + self.draw(1_500);
            self.after(wait, WorldEvent::Try(number));
        } else {
            call.end = Some(end);
        }
    }

    pub(crate) fn note_not_run(&mut self, request: &RequestId) {
        let Some(call) = self.requests.get(request) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(call) {
            call.refused_as_not_run.push(request.clone());
        }
    }
}
