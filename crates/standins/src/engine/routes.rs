//! HTTP routes at a VM's address: those of its engine and the control routes of its process.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Instant;

use compact_str::CompactString;
use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::ids::RequestId;
use serde::Deserialize;
use tiny_http::Method;
use tiny_http::Request;

use crate::engine::control::ControlRoutes;
use crate::engine::members::PingResponse;
use crate::engine::vm::EngineVm;
use crate::http::RouteHandler;
use crate::http::close_without_response;
use crate::http::query_number;
use crate::http::read_json;
use crate::http::respond_json;
use crate::http::respond_text;
use crate::http::spawn_thread;
use crate::http::split_url;

#[derive(Deserialize)]
struct CancelBody {
    request_id: RequestId,
}

/// Request handler of one VM's listener.
pub(crate) struct EngineRoutes {
    pub(crate) vm: Arc<EngineVm>,
    pub(crate) control: Weak<ControlRoutes>,
}

impl RouteHandler for EngineRoutes {
    fn handle(&self, request: Request) {
        let url = CompactString::from(request.url());
        if url.starts_with("/control/") {
            match self.control.upgrade() {
                Some(control) => control.handle(request),
                None => respond_text(request, 503, "the process is stopping"),
            }
            return;
        }
        if self.vm.faults.is_killed() {
            return close_without_response(request);
        }
        if self.vm.faults.is_frozen() {
            self.vm.lock().held_requests.push(request);
            return;
        }
        self.vm.handle_request(request);
    }
}

impl EngineVm {
    /// Handles a request to the engine.
    pub(crate) fn handle_request(self: &Arc<Self>, request: Request) {
        let url = CompactString::from(request.url());
        let (path, query) = split_url(&url);
        match (request.method(), path) {
            (Method::Get, "/engine/status") => respond_json(request, 200, &self.report()),
            (Method::Get, "/engine/ping") => {
                let response = PingResponse::from_report(&self.lock().report);
                respond_json(request, 200, &response);
            }
            (Method::Get, "/engine/cache-events") => self.cache_events(request, query),
            (Method::Post, "/engine/orders") => {
                if let Some((request, order)) = read_json::<EngineOrder>(request) {
                    let outcome = self.handle_order(&order);
                    respond_json(request, 200, &outcome);
                }
            }
            (Method::Post, "/engine/cancel") => {
                if let Some((request, body)) = read_json::<CancelBody>(request) {
                    self.cancel(&body.request_id);
                    respond_text(request, 200, "");
                }
            }
            (Method::Post, "/engine/completions") => self.start_completion(request),
            _ => respond_text(request, 404, "no such route"),
        }
    }

    fn start_completion(self: &Arc<Self>, request: Request) {
        let Some((request, completion)) = read_json::<EngineCompletion>(request) else {
            return;
        };
        let vm = Arc::clone(self);
        // If the thread cannot be started, the request is dropped, which responds with status 500.
        let spawned = spawn_thread("engine-stream", move || vm.serve(request, &completion));
        if let Err(error) = spawned {
            log::error!("VM {} cannot serve a completion: {error:#}", self.id);
        }
    }

    fn cancel(&self, request: &RequestId) {
        let mut state = self.lock();
        let cancelled = state.scheduler.cancel(request, Instant::now());
        state.stats.cancelled += u64::from(cancelled);
    }

    fn cache_events(&self, request: Request, query: &str) {
        let after = query_number(query, "after").unwrap_or(0);
        let lag = self.settings.cache_event_lag.as_duration();
        let loss_interval = self.settings.cache_event_loss_interval;
        let now = Instant::now();
        let batch = self
            .lock()
            .scheduler
            .cache
            .events_after(after, now, lag, loss_interval);
        respond_json(request, 200, &batch);
    }
}
