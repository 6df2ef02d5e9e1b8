//! A caller's request with its whole body in memory, so that it can be sent any number of times.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::ToCompactString;
use eyre::WrapErr;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body::Body;
use http_body_util::Full;
use jaysaddle_adapter::headers;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::QueryWork;
use jaysaddle_gateway::choice::RequestSize;
use jaysaddle_gateway::choice::TargetQuery;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::content::RequestContent;
use jaysaddle_gateway::content::normalized_path;
use jaysaddle_gateway::content::request_name;
use jaysaddle_gateway::routes::RouteMatch;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_gateway::target::TargetNumber;
use jaysaddle_gateway::unserved::RequestFingerprint;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::serving::ClientLimits;
use jaysaddle_types::serving::RequestKind;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::bounded_body::BodyError;
use crate::bounded_body::read_reserved;
use crate::caller_body::CallerBody;
use crate::exchange::RequestBody;
use crate::node::EntryNode;
use crate::own_pause::timeout_awake;
use crate::pass_on::PASSED_ON;
use crate::response::RequestFailure;

/// Interval at which a wait checks whether a planned stop has brought the deadline forward.
const DEADLINE_CHECK_INTERVAL: TimeSpan = TimeSpan(150);
/// Subtracted from the caller's deadline, so that the response arrives before the caller times out.
const RESPONSE_MARGIN: TimeSpan = TimeSpan(25);
/// Added to the priority value of requests that will be late, so that others go first in the engine's queue.
const LATE_PRIORITY_OFFSET: u32 = 4;
/// Largest priority value that engines accept, which is the lowest priority.
const MAX_PRIORITY_VALUE: u32 = 9;

/// Request of a caller with its resolved route.
pub struct CallerRequest {
    node: Rc<EntryNode>,
    pub id: CompactString,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub route: RouteMatch,
    pub model: Option<ModelId>,
    /// Number of the last event that the caller has received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// When the request's headers arrived.
    pub received: Timestamp,
    /// Time that the caller has stated to wait for the response.
    pub stated_time: Option<TimeSpan>,
    /// Time by which the response must be complete, unless a planned stop ends earlier.
    deadline: Timestamp,
    /// Hash of the content, which is the same for all attempts of the caller.
    pub fingerprint: RequestFingerprint,
    /// Pieces of the content that may end a backend server.
    pub content: Rc<RequestContent>,
    /// Whether the caller has made an earlier attempt that was not served.
    pub is_caller_retry: bool,
}

/// Headers that are not forwarded: they concern a single connection, or this node sets them itself.
const UNFORWARDED_HEADERS: [HeaderName; 15] = [
    PASSED_ON,
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
    headers::ACCOUNT_KEY,
    headers::ACCOUNT,
    headers::EXPECTED_BACKEND,
];

/// Headers that belong to the content of a request. The estimate of the output is not among them: a caller may state another
/// one for the same request.
const CONTENT_HEADERS: [HeaderName; 3] =
    [headers::MODEL, headers::TOKEN_COUNTS, headers::PROMPT_PARTS];

/// Names by which repetitions of a request are recognized.
struct RequestNames {
    /// Name of the whole content. Requests that differ in it may be independent of each other.
    whole: CompactString,
    /// Name of the path, client account and body.
    path: CompactString,
}

impl RequestNames {
    fn of(parts: &http::request::Parts, account: Option<&str>, body: &[u8]) -> Self {
        let account = account.map(str::as_bytes);
        // Bodies may be long, so each is digested once.
        let body = request_name(&[Some(body)]);
        let body = Some(body.as_bytes());
        let target = parts.uri.path_and_query();
        let mut fields = vec![
            Some(parts.method.as_str().as_bytes()),
            target.map(|target| target.as_str().as_bytes()),
            account,
            body,
        ];
        for name in &CONTENT_HEADERS {
            fields.push(parts.headers.get(name).map(HeaderValue::as_bytes));
        }
        let path = normalized_path(parts.uri.path());
        Self {
            whole: request_name(&fields),
            path: request_name(&[Some(path.as_bytes()), account, body]),
        }
    }
}

/// Removes the headers in [`UNFORWARDED_HEADERS`] and those named by the `Connection` header.
pub fn strip_connection_headers(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        map.remove(name);
    }
    for name in &UNFORWARDED_HEADERS {
        map.remove(name);
    }
}

/// Returns the value of a header, or `None` when it is absent or not visible ASCII.
pub fn header_text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

/// Number of bytes of a request head: the request line, the header lines and the empty line.
pub fn head_bytes(parts: &http::request::Parts) -> usize {
    const REQUEST_LINE_EXTRA: usize = "  HTTP/1.1\r\n".len();
    const HEADER_LINE_EXTRA: usize = ": \r\n".len();
    const EMPTY_LINE: usize = "\r\n".len();
    let target = parts
        .uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let request_line = parts.method.as_str().len() + target + REQUEST_LINE_EXTRA;
    let header_lines = parts.headers.iter();
    let header_lines: usize = header_lines
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_EXTRA)
        .sum();
    request_line + header_lines + EMPTY_LINE
}

/// Reads the whole body of a request within the configured size and time limits, and the memory for all bodies.
pub async fn read_body(
    node: &EntryNode,
    body: CallerBody,
    limits: &ClientLimits,
) -> Result<Bytes, RequestFailure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = ByteCount(limits.body_bytes as u64);
    let reading = read_reserved(body, limit, &node.budgets.bodies);
    match timeout_awake(limits.idle_time, reading).await {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(BodyError::TooLong(_))) => Err(RequestFailure::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
        )),
        Some(Err(BodyError::NoMemory(_))) => {
            let retry_after = node.gateway.borrow_mut().retry_after(TargetRefusal::Full);
            Err(RequestFailure::unavailable("no_memory", retry_after))
        }
        Some(Err(BodyError::Broken(_))) => Err(RequestFailure::not_run(
            StatusCode::BAD_REQUEST,
            "body_incomplete",
        )),
        None => Err(RequestFailure::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
        )),
    }
}

/// Time that the caller states to wait for the response; `None` if it states none.
pub fn stated_time(map: &HeaderMap) -> Option<TimeSpan> {
    let millis = header_text(map, &headers::DEADLINE_MS)?.parse().ok()?;
    Some(TimeSpan(millis))
}

/// Time from the arrival of a request after which it ends in any case.
pub fn time_limit(map: &HeaderMap, route: &RouteMatch) -> TimeSpan {
    let limit = route.rule.timeout;
    let limit = stated_time(map).map_or(limit, |stated| stated.min(limit));
    TimeSpan(limit.0.saturating_sub(RESPONSE_MARGIN.0))
}

impl CallerRequest {
    /// Builds a request from its parsed headers, body and route.
    pub fn new(
        node: Rc<EntryNode>,
        parts: http::request::Parts,
        body: Bytes,
        route: RouteMatch,
        received: Timestamp,
    ) -> Self {
        let stated_time = stated_time(&parts.headers);
        let limit = time_limit(&parts.headers, &route);
        let model =
            header_text(&parts.headers, &headers::MODEL).and_then(|value| value.parse().ok());
        let last_event = header_text(&parts.headers, &headers::LAST_EVENT_ID)
            .and_then(|value| value.parse().ok());
        let id = header_text(&parts.headers, &headers::REQUEST_ID)
            .unwrap_or("-")
            .to_compact_string();
        let shared_parts = header_text(&parts.headers, &headers::PROMPT_PARTS)
            .map(headers::shared_prompt_parts)
            .unwrap_or_default();
        let class = model
            .as_ref()
            .map_or(route.service.as_str(), ModelId::as_str);
        let account = route.account.as_ref().map(AccountId::as_str);
        let names = RequestNames::of(&parts, account, &body);
        let fingerprint = RequestFingerprint::of(&names.whole);
        let content = RequestContent::new(&shared_parts, &names.whole, class, &id);
        let content = content.with_path(&names.path);
        Self {
            node,
            id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            route,
            model,
            last_event,
            received,
            stated_time,
            fingerprint,
            content: Rc::new(content),
            is_caller_retry: last_event.is_some(),
            deadline: received + limit,
        }
    }

    /// Token counts of the request; `None` when it names no model or states no counts.
    pub fn size(&self) -> Option<RequestSize<'_>> {
        let model = self.model.as_ref()?;
        let counts = header_text(&self.headers, &headers::TOKEN_COUNTS)?;
        let (prompt_tokens, max_output_tokens) = headers::parse_token_counts(counts)?;
        let estimate = header_text(&self.headers, &headers::OUTPUT_ESTIMATE)
            .and_then(|value| value.parse::<u32>().ok());
        Some(RequestSize {
            model,
            prompt_tokens,
            output_tokens: estimate.map(|estimate| estimate.min(max_output_tokens)),
        })
    }

    /// Query for a target that has not received the request yet.
    pub fn target_query<'a>(
        &'a self,
        tried: &'a [TargetNumber],
        has_started: bool,
    ) -> TargetQuery<'a> {
        TargetQuery {
            service: &self.route.service,
            model: self.model.as_ref(),
            latency_target: self.route.rule.latency_target,
            tried,
            has_started,
            is_caller_retry: self.is_caller_retry,
            work: self.size().map(|size| QueryWork {
                rank: self.route.rank,
                account: self.route.account.as_ref(),
                prompt_tokens: size.prompt_tokens,
            }),
        }
    }

    /// Time until which the caller waits, as it has stated; `None` if it has stated none.
    pub fn caller_deadline(&self) -> Option<Timestamp> {
        Some(self.received + self.stated_time?)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.route.rule.kind, RequestKind::Stream { .. })
    }

    /// Time until the deadline, or until the end of a planned stop if that is earlier; zero when it has passed. After a pause of this
    /// process, there is time for what has arrived meanwhile.
    pub fn time_left(&self) -> TimeSpan {
        let now = clock::now();
        let deadline = self.deadline.min(self.node.shutdown.request_deadline());
        let catch_up_until = self.node.loop_lag.catch_up_until(now);
        deadline.max(catch_up_until).since(now)
    }

    /// Time until the deadline of the request itself; zero when it has passed.
    pub fn own_time_left(&self) -> TimeSpan {
        self.deadline.since(clock::now())
    }

    /// Whether a planned stop has ended the request before its own time.
    pub fn is_cut_by_shutdown(&self) -> bool {
        self.time_left().0 == 0 && self.own_time_left().0 > 0
    }

    /// Whether the request may run at most once and would not be accepted any more by this node, which stops.
    pub fn may_outlast_stop(&self) -> bool {
        let rule = &self.route.rule;
        let now = clock::now();
        !rule.kind.may_retry()
            && self.node.shutdown.plan().is_some_and(|plan| {
                let usual = self.node.service_times.borrow().usual(&rule.name, now);
                !plan.admits(rule.kind, self.deadline.since(now), usual, now)
            })
    }

    /// Builds the request to send to `target`. With `last_event`, the stream resumes after that event.
    pub fn for_target(
        &self,
        target: &RequestTarget,
        last_event: Option<u64>,
        is_late: bool,
    ) -> eyre::Result<Request<RequestBody>> {
        let mut map = self.headers.clone();
        strip_connection_headers(&mut map);
        map.insert(
            headers::DEADLINE_MS,
            number_value(self.time_left().as_millis())?,
        );
        map.insert(
            headers::EXPECTED_BACKEND,
            HeaderValue::from_str(target.backend.as_str())?,
        );
        if let Some(account) = &self.route.account {
            map.insert(headers::ACCOUNT, HeaderValue::from_str(account.as_str())?);
        }
        if target.model.is_some() {
            let offset = if is_late { LATE_PRIORITY_OFFSET } else { 0 };
            let priority = if self.node.settings.admission.is_paced {
                self.route.rank.engine_priority()
            } else {
                self.route.priority
            };
            let priority = (priority + offset).min(MAX_PRIORITY_VALUE);
            map.insert(headers::ENGINE_PRIORITY, number_value(u64::from(priority))?);
        }
        if let Some(last_event) = last_event {
            map.insert(headers::LAST_EVENT_ID, number_value(last_event)?);
        }
        let uri = self
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(Full::new(self.body.clone()))
            .wrap_err("the request cannot be passed on")?;
        *request.headers_mut() = map;
        Ok(request)
    }
}

/// Completes with the output of `future`, or with `None` when the time of the request is up, which a planned stop may
/// bring forward. An output that is ready by then counts: this process may have been paused.
pub async fn within_time<F: Future>(request: &CallerRequest, future: F) -> Option<F::Output> {
    tokio::pin!(future);
    loop {
        let remaining = request.time_left();
        if remaining.0 == 0 {
            // The task that reads the connection runs first.
            yield_now().await;
            return timeout(Duration::ZERO, future).await.ok();
        }
        let wait = DEADLINE_CHECK_INTERVAL.min(remaining).as_duration();
        if let Ok(output) = timeout(wait, &mut future).await {
            return Some(output);
        }
    }
}

/// A number as the value of a header.
pub fn number_value(number: u64) -> eyre::Result<HeaderValue> {
    HeaderValue::from_str(&number.to_compact_string()).wrap_err("number as header value")
}
