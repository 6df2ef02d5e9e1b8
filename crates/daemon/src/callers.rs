//! HTTP routes for callers: discovery, completions and plain services.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::request::RequestSpec;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::request::prefix_hashes;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::units::TokenCount;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use tiny_http::Method;
use tiny_http::Request;

use crate::attempt_streams::AttemptStreams;
use crate::clock;
use crate::completion;
use crate::completion::CompletionBody;
use crate::completion::CompletionRunner;
use crate::listener::RequestHandler;
use crate::reply;
use crate::reply::header_value;
use crate::request;
use crate::service::ServiceRunner;
use crate::shared_state::SharedState;

const SERVICE_PREFIX: &str = "/v1/services/";

/// Retry-after time of a refusal when all request threads are in use or no
/// configuration is present.
const OVERLOAD_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Request handler of the caller listener.
pub struct CallerRoutes {
    shared: Arc<SharedState>,
}

/// Entry node in a discovery response.
#[derive(Serialize)]
struct DiscoveryAddress {
    node: NodeId,
    address: std::net::SocketAddr,
    failure_domain: FailureDomainId,
}

/// Body of a discovery response.
#[derive(Serialize)]
struct DiscoveryBody {
    ttl_ms: u64,
    /// Home token to send with idempotency keys that are used for the first time from now on.
    home: Option<String>,
    addresses: Vec<DiscoveryAddress>,
}

/// Parsed request headers.
struct RequestHeaders {
    account: AccountId,
    idempotent: Option<bool>,
    key: Option<(IdempotencyKey, Option<HomeToken>)>,
    deadline: Timestamp,
    priority: RequestPriority,
}

impl CallerRoutes {
    /// Creates the routes over the daemon's shared state.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn refuse(&self, request: Request, refusal: &RequestRefusal) {
        reply::respond_refusal(request, refusal, self.shared.after_refusal());
    }

    fn refuse_invalid(&self, request: Request, message: impl Into<CompactString>) {
        reply::respond_invalid(request, message, self.shared.after_refusal());
    }

    fn discovery(&self, request: Request, query: &str) {
        let view = self.shared.view();
        if !view.configured {
            let refusal = RequestRefusal::retry_after(
                ReasonCode::NotConfigured,
                "this node has no configuration yet; ask another address",
                OVERLOAD_RETRY_AFTER,
            );
            self.refuse(request, &refusal);
            return;
        }
        let domain = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("failure_domain="));
        let mut nodes: Vec<_> = view
            .nodes
            .iter()
            .filter(|(_, state)| *state == NodeState::Alive)
            .map(|(record, _)| record)
            .collect();
        // Each response starts with another node, so that callers are spread over the nodes.
        if !nodes.is_empty() {
            let number = self.shared.new_request_id();
            let digest = Sha256::digest(number.as_str().as_bytes());
            let start = usize::from(digest[0]) % nodes.len();
            nodes.rotate_left(start);
        }
        nodes.sort_by_key(|record| domain != Some(record.failure_domain.as_str()));
        let addresses = nodes
            .into_iter()
            .map(|record| DiscoveryAddress {
                node: record.key.id.clone(),
                address: record.callers,
                failure_domain: record.failure_domain.clone(),
            })
            .collect();
        let home = self
            .shared
            .query_data_plane(|state, now| state.home_token(now))
            .flatten();
        let body = DiscoveryBody {
            ttl_ms: self.shared.settings.timing.discovery_ttl.as_millis(),
            home: home.map(|token| token.to_string()),
            addresses,
        };
        reply::respond_json(request, 200, &body);
    }

    /// Client account whose key the request carries.
    fn authenticate(&self, request: &Request) -> Result<AccountId, RequestRefusal> {
        let unauthorized =
            |message: &str| RequestRefusal::not_run(ReasonCode::Unauthorized, message);
        let key = header_value(request, "Authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| {
                unauthorized("the header Authorization: Bearer <account key> is missing")
            })?;
        let digest = Sha256::digest(key.as_bytes());
        let digest = hex(&digest);
        self.shared
            .view()
            .rules
            .accounts
            .iter()
            .find(|rule| rule.key_sha256 == digest)
            .map(|rule| rule.name.clone())
            .ok_or_else(|| unauthorized("the account key is unknown"))
    }

    fn read_headers(&self, request: &Request) -> Result<RequestHeaders, RequestRefusal> {
        let invalid =
            |message: CompactString| RequestRefusal::not_run(ReasonCode::InvalidRequest, message);
        let view = self.shared.view();
        if !view.configured {
            return Err(RequestRefusal::retry_after(
                ReasonCode::NotConfigured,
                "this node has no configuration yet; ask another address",
                OVERLOAD_RETRY_AFTER,
            ));
        }
        let account = self.authenticate(request)?;
        let limits = &self.shared.settings.limits;
        let idempotent = match header_value(request, "Jaysaddle-Idempotent") {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(_) => return Err(invalid("Jaysaddle-Idempotent must be true or false".into())),
        };
        let home = header_value(request, "Jaysaddle-Home")
            .map(str::parse::<HomeToken>)
            .transpose()
            .map_err(|message| invalid(format_compact!("Jaysaddle-Home: {message}")))?;
        let key = header_value(request, "Idempotency-Key")
            .map(str::parse::<IdempotencyKey>)
            .transpose()
            .map_err(|error| invalid(format_compact!("Idempotency-Key: {error}")))?;
        let span = match header_value(request, "Jaysaddle-Deadline-Ms") {
            None => limits.deadline,
            Some(text) => text
                .parse()
                .map(TimeSpan::from_millis)
                .map_err(|_| invalid("Jaysaddle-Deadline-Ms must be a whole number".into()))?,
        };
        let priority = match header_value(request, "Jaysaddle-Priority") {
            None => view
                .rules
                .account(&account)
                .map_or_else(RequestPriority::default, |rule| {
                    RequestPriority::new(rule.priority)
                }),
            Some(text) => text
                .parse()
                .map_err(|message| invalid(format_compact!("Jaysaddle-Priority: {message}")))?,
        };
        Ok(RequestHeaders {
            account,
            idempotent,
            key: key.map(|key| (key, home)),
            deadline: (clock::now() + span.min(limits.max_deadline))
                .min(self.shared.stop_deadline()),
            priority,
        })
    }

    fn completion(&self, mut request: Request) {
        let arrived = clock::now();
        let headers = match self.read_headers(&request) {
            Ok(headers) => headers,
            Err(refusal) => return self.refuse(request, &refusal),
        };
        let raw = match reply::read_body(&mut request, self.shared.settings.limits.body.0) {
            Ok(raw) => raw,
            Err(refusal) => return self.refuse(request, &refusal),
        };
        let body: CompletionBody = match serde_json::from_slice(&raw) {
            Ok(body) => body,
            Err(error) => {
                return self.refuse_invalid(request, format_compact!("the body: {error}"));
            }
        };
        if let Err(message) = completion::check_body(&body) {
            return self.refuse_invalid(request, message);
        }
        let id = self.shared.new_request_id();
        let spec = RequestSpec {
            id: id.clone(),
            account: headers.account,
            target: RequestTarget::Model(body.model.clone()),
            idempotent: headers.idempotent.unwrap_or(true),
            key: headers.key,
            fingerprint: BodyFingerprint::from_body("/v1/completions", &raw),
            priority: headers.priority,
            deadline: headers.deadline,
            prefix: prefix_hashes(&body.prompt),
            prompt_tokens: body.prompt_tokens(),
            max_tokens: TokenCount(body.max_tokens()),
        };
        let runner = CompletionRunner {
            shared: &self.shared,
            id,
            body,
            priority: headers.priority,
            deadline: headers.deadline,
            arrived,
            request: Some(request),
            stream: None,
            streams: AttemptStreams::default(),
            has_first_token: false,
        };
        request::run_request(&self.shared, spec, Box::new(runner));
    }

    fn service(&self, mut request: Request, path: &str) {
        let headers = match self.read_headers(&request) {
            Ok(headers) => headers,
            Err(refusal) => return self.refuse(request, &refusal),
        };
        let (name, rest) = path.split_once('/').unwrap_or((path, ""));
        let Ok(service) = name.parse::<ServiceId>() else {
            return self.refuse_invalid(request, "the service's name is not valid");
        };
        let body = match reply::read_body(&mut request, self.shared.settings.limits.body.0) {
            Ok(body) => body,
            Err(refusal) => return self.refuse(request, &refusal),
        };
        let view = self.shared.view();
        let declared = view
            .services
            .iter()
            .find(|view| view.name == service)
            .is_some_and(|view| view.idempotent);
        let id = self.shared.new_request_id();
        let spec = RequestSpec {
            id: id.clone(),
            account: headers.account,
            target: RequestTarget::Service(service),
            idempotent: headers.idempotent.unwrap_or(declared),
            key: headers.key,
            fingerprint: BodyFingerprint::from_body(path, &body),
            priority: headers.priority,
            deadline: headers.deadline,
            prefix: Arc::default(),
            prompt_tokens: TokenCount(0),
            max_tokens: TokenCount(0),
        };
        let content_type = header_value(&request, "Content-Type").unwrap_or(reply::JSON);
        let runner = ServiceRunner {
            shared: &self.shared,
            id,
            path: rest.into(),
            content_type: content_type.into(),
            body,
            deadline: headers.deadline,
            request: Some(request),
        };
        request::run_request(&self.shared, spec, Box::new(runner));
    }

    fn headers_size(request: &Request) -> usize {
        request
            .headers()
            .iter()
            .map(|header| header.field.as_str().as_str().len() + header.value.as_str().len() + 4)
            .sum::<usize>()
            + request.url().len()
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl RequestHandler for CallerRoutes {
    fn serve(&self, request: Request) {
        let limit = self.shared.settings.limits.headers.0;
        if u64::try_from(Self::headers_size(&request)).unwrap_or(u64::MAX) > limit {
            let message = format_compact!("the headers exceed {limit} bytes");
            let refusal = RequestRefusal::not_run(ReasonCode::TooLarge, message);
            return self.refuse(request, &refusal);
        }
        if self.shared.stopping.load(Ordering::Relaxed) {
            self.shared.received_in_stop.fetch_add(1, Ordering::Relaxed);
        }
        metrics::gauge!("jaysaddle_open_requests").increment(1.0);
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        match (request.method(), path) {
            (Method::Get, "/v1/discovery") => self.discovery(request, query),
            (Method::Get, "/healthz") => reply::respond(request, 200, reply::JSON, b"{}"),
            (Method::Post, "/v1/completions") => self.completion(request),
            (Method::Post, path) if path.starts_with(SERVICE_PREFIX) => {
                self.service(request, &path[SERVICE_PREFIX.len()..]);
            }
            _ => reply::respond(
                request,
                404,
                reply::JSON,
                b"{\"error\":{\"verdict\":\"not_run\",\"reason\":\"invalid_request\",\"message\":\"there is no such route\"}}",
            ),
        }
        metrics::gauge!("jaysaddle_open_requests").decrement(1.0);
    }

    fn refuse_overload(&self, request: Request) {
        let refusal = RequestRefusal::retry_after(
            ReasonCode::Overloaded,
            "this node serves as many requests as it may; ask another address",
            OVERLOAD_RETRY_AFTER,
        );
        self.refuse(request, &refusal);
    }
}
