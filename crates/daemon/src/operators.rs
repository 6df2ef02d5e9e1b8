//! HTTP routes for operators. All routes except health, readiness and metrics require
//! the operator key.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::OperatorOutcome;
use jaysaddle_reducer::operator::OperatorTicket;
use jaysaddle_settings::documents::DocumentKind;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use serde::Serialize;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::listener::RequestHandler;
use crate::reply;
use crate::reply::header_value;
use crate::shared_state::ControlPlaneInput;
use crate::shared_state::SharedState;

/// Maximum number of decisions in one response.
const MAX_DECISIONS_PER_RESPONSE: usize = 500;

/// Maximum document size; the store accepts values up to 1 MB.
const MAX_DOCUMENT_BYTES: u64 = 1_000_000;

/// Request handler of the operator listener.
pub struct OperatorRoutes {
    shared: Arc<SharedState>,
}

#[derive(Serialize)]
struct NodeBody<'a> {
    #[serde(flatten)]
    record: &'a NodeRecord,
    state: NodeState,
}

/// Compares keys in time independent of the position of the first difference.
fn keys_equal(given: &str, expected: &str) -> bool {
    let given = given.as_bytes();
    let expected = expected.as_bytes();
    let differences = given
        .iter()
        .zip(expected)
        .fold(0, |sum, (left, right)| sum | (left ^ right));
    given.len() == expected.len() && differences == 0
}

fn error_body(message: &str) -> serde_json::Value {
    json!({ "error": { "message": message } })
}

impl OperatorRoutes {
    /// Creates the routes over the daemon's shared state.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn is_authorized(&self, request: &Request) -> bool {
        header_value(request, "Authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .is_some_and(|key| keys_equal(key, &self.shared.settings.operator_key))
    }

    fn ready(&self, request: Request) {
        let stopping = self.shared.stopping.load(Ordering::Relaxed);
        let configured = self.shared.view().configured;
        let store = self
            .shared
            .query_control_plane(|state, _| state.is_store_reachable());
        let ready = configured && !stopping;
        let body = json!({
            "ready": ready,
            "configured": configured,
            "stopping": stopping,
            "store_reachable": store,
        });
        reply::respond_json(request, if ready { 200 } else { 503 }, &body);
    }

    fn nodes(&self, request: Request) {
        let view = self.shared.view();
        let nodes: Vec<_> = view
            .nodes
            .iter()
            .map(|(record, state)| NodeBody {
                record,
                state: *state,
            })
            .collect();
        reply::respond_json(request, 200, &json!({ "nodes": nodes }));
    }

    fn document(&self, request: Request, name: &str) {
        let kind: DocumentKind = match name.parse() {
            Ok(kind) => kind,
            Err(message) => {
                let message: CompactString = message;
                return reply::respond_json(request, 404, &error_body(&message));
            }
        };
        let entry = self
            .shared
            .query_control_plane(move |state, _| state.document(&kind));
        match entry.flatten() {
            Some((version, value)) => {
                reply::respond_json(
                    request,
                    200,
                    &json!({ "version": version, "document": value }),
                );
            }
            None => reply::respond_json(request, 404, &error_body("no version is in force")),
        }
    }

    fn documents(&self, request: Request) {
        let versions = self
            .shared
            .query_control_plane(|state, _| state.document_versions());
        let documents: Vec<_> = versions
            .unwrap_or_default()
            .into_iter()
            .map(|(name, version)| json!({ "name": name, "version": version }))
            .collect();
        reply::respond_json(request, 200, &json!({ "documents": documents }));
    }

    fn run_operation(
        &self,
        request: Request,
        event: impl FnOnce(OperatorTicket) -> ControlEvent + Send + 'static,
    ) {
        let (sender, receiver) = flume::bounded(1);
        let input = ControlPlaneInput::Operator(Box::new(event), sender);
        let outcome = match self.shared.control_plane.send(input) {
            Ok(()) => receiver.recv().ok(),
            Err(_) => None,
        };
        match outcome {
            Some(OperatorOutcome::Applied(version)) => {
                reply::respond_json(request, 200, &json!({ "version": version }));
            }
            Some(OperatorOutcome::Conflict(version)) => reply::respond_json(
                request,
                409,
                &json!({
                    "error": { "message": "another version is in force; read it and try again" },
                    "version": version,
                }),
            ),
            Some(OperatorOutcome::Invalid(problems)) => reply::respond_json(
                request,
                422,
                &json!({
                    "error": { "message": "the document is not valid" },
                    "problems": problems,
                }),
            ),
            Some(OperatorOutcome::Unavailable) => reply::respond_json(
                request,
                503,
                &error_body("the store does not answer; nothing was changed"),
            ),
            Some(OperatorOutcome::Unknown) => reply::respond_json(
                request,
                504,
                &error_body(
                    "the store's answer was lost; the change may come into force: read the version",
                ),
            ),
            None => reply::respond_json(request, 503, &error_body("this node has stopped")),
        }
    }

    fn apply(&self, mut request: Request, name: &str, query: &str) {
        let expected = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("expect="))
            .and_then(|text| text.parse::<ObjectVersion>().ok());
        let Some(expected) = expected else {
            let message = "the query expect=<version> is missing; 0 creates the document";
            return reply::respond_json(request, 400, &error_body(message));
        };
        let body = match reply::read_body(&mut request, MAX_DOCUMENT_BYTES) {
            Ok(body) => body,
            Err(refusal) => {
                return reply::respond_json(request, 413, &error_body(&refusal.message));
            }
        };
        let Ok(value) = String::from_utf8(body) else {
            return reply::respond_json(request, 400, &error_body("the body is not UTF-8"));
        };
        let name = name.to_owned();
        self.run_operation(request, move |ticket| ControlEvent::ApplyRequested {
            ticket,
            name,
            expected,
            value,
        });
    }

    fn drain(&self, request: Request, vm: &str, drained: bool) {
        let Ok(vm) = vm.parse::<VmId>() else {
            return reply::respond_json(request, 400, &error_body("the VM's name is not valid"));
        };
        self.run_operation(request, move |ticket| ControlEvent::DrainRequested {
            ticket,
            vm,
            drained,
        });
    }

    fn explain(&self, request: Request, subject: &str) {
        let (kind, id) = subject.split_once('/').unwrap_or((subject, ""));
        let lines = match kind {
            "vm" => match id.parse::<VmId>() {
                Ok(vm) => self
                    .shared
                    .query_control_plane(move |state, _| state.explain_vm(&vm)),
                Err(_) => None,
            },
            "group" => match id.parse::<GroupId>() {
                Ok(group) => self
                    .shared
                    .query_control_plane(move |state, now| state.explain_group(&group, now)),
                Err(_) => None,
            },
            "request" => Some(Vec::new()),
            _ => None,
        };
        let Some(lines) = lines else {
            let message = "expected explain/vm/<id>, explain/group/<id> or explain/request/<id>";
            return reply::respond_json(request, 400, &error_body(message));
        };
        let decisions = self.shared.journal.about_subject(id);
        let body = json!({ "subject": id, "lines": lines, "decisions": decisions });
        reply::respond_json(request, 200, &body);
    }

    fn decisions(&self, request: Request, query: &str) {
        let after = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("after="))
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let decisions = self.shared.journal.after(after, MAX_DECISIONS_PER_RESPONSE);
        reply::respond_json(request, 200, &json!({ "decisions": decisions }));
    }
}

impl RequestHandler for OperatorRoutes {
    fn serve(&self, request: Request) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        match (request.method(), path) {
            (Method::Get, "/healthz") => return reply::respond(request, 200, reply::JSON, b"{}"),
            (Method::Get, "/readyz") => return self.ready(request),
            (Method::Get, "/metrics") => {
                let text = self.shared.metrics.render();
                let kind = "text/plain; version=0.0.4";
                return reply::respond(request, 200, kind, text.as_bytes());
            }
            _ => {}
        }
        if !self.is_authorized(&request) {
            let message = "the header Authorization: Bearer <operator key> is missing or wrong";
            return reply::respond_json(request, 401, &error_body(message));
        }
        let method = request.method().clone();
        match (method, path) {
            (Method::Get, "/v1/nodes") => self.nodes(request),
            (Method::Get, "/v1/groups") => {
                let view = self.shared.view();
                reply::respond_json(request, 200, &json!({ "groups": view.groups }));
            }
            (Method::Get, "/v1/vms") => {
                let vms = self.shared.query_control_plane(|state, _| state.list_vms());
                reply::respond_json(request, 200, &json!({ "vms": vms }));
            }
            (Method::Get, "/v1/config") => self.documents(request),
            (Method::Get, "/v1/decisions") => self.decisions(request, query),
            (method, path) => self.serve_named_route(request, &method, path, query),
        }
    }

    fn refuse_overload(&self, request: Request) {
        reply::respond_json(request, 503, &error_body("too many requests are served"));
    }
}

impl OperatorRoutes {
    /// Serves routes whose path contains a document, VM or subject name.
    fn serve_named_route(&self, request: Request, method: &Method, path: &str, query: &str) {
        let after = |prefix: &str| path.strip_prefix(prefix);
        if let Some(name) = after("/v1/config/") {
            return match method {
                Method::Get => self.document(request, name),
                Method::Put => self.apply(request, name, query),
                _ => reply::respond_json(request, 405, &error_body("expected GET or PUT")),
            };
        }
        if *method == Method::Post {
            if let Some(vm) = after("/v1/drain/") {
                return self.drain(request, vm, true);
            }
            if let Some(vm) = after("/v1/undrain/") {
                return self.drain(request, vm, false);
            }
        }
        if let (Method::Get, Some(subject)) = (method, after("/v1/explain/")) {
            return self.explain(request, subject);
        }
        reply::respond_json(request, 404, &error_body("there is no such route"));
    }
}
