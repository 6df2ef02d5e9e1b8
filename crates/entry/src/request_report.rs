//! Per-request reporting: one log line at the end of the request, and the latency metrics.

use std::fmt;
use std::rc::Rc;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::RequestWork;
use jaysaddle_gateway::service_times::OpenRecord;
use jaysaddle_gateway::unserved::RequestFingerprint;
use jaysaddle_types::serving::RequestKind;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::caller_request::CallerRequest;
use crate::node::EntryNode;
use crate::response::RequestFailure;
use crate::response::STOPPING_REASON;
use crate::send_history::ChoiceFields;
use crate::send_history::SendHistory;
use crate::shutdown::ShutdownStage;

/// Final result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestEnd {
    /// A backend server's complete response was forwarded.
    Answered { status: u16 },
    /// This node responded with an error of its own.
    Failed(RequestFailure),
    /// The stream was truncated.
    Cut,
    /// The caller closed the connection.
    CallerLeft,
    /// This node closed the connection because its process ended.
    CutByShutdown,
}

impl RequestEnd {
    /// Whether the request ended before its response because the node stops.
    fn is_cut_by_shutdown(&self) -> bool {
        match self {
            RequestEnd::CutByShutdown => true,
            RequestEnd::Failed(failure) => {
                failure.reason == STOPPING_REASON && failure.verdict != Verdict::NotRun
            }
            _ => false,
        }
    }
}

impl fmt::Display for RequestEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestEnd::Answered { status } => write!(f, "answered status={status}"),
            RequestEnd::Failed(failure) => write!(
                f,
                "failed status={} verdict={} reason={}",
                failure.status.as_u16(),
                failure.verdict,
                failure.reason
            ),
            RequestEnd::Cut => f.write_str("cut"),
            RequestEnd::CallerLeft => f.write_str("caller_left"),
            RequestEnd::CutByShutdown => f.write_str("cut_by_shutdown"),
        }
    }
}

/// Logged fields of the route.
#[derive(Debug)]
struct RouteFields {
    route: CompactString,
    kind: &'static str,
    priority: u32,
    account: CompactString,
    is_caller_retry: bool,
    stated_time: Option<TimeSpan>,
    model: CompactString,
    config_version: u64,
}

/// What is remembered of the request if it is not served, to recognize the caller's retry.
struct CallerAttempt {
    fingerprint: RequestFingerprint,
    deadline: Timestamp,
}

/// Collects the route, target selections, attempts and timing of a request, and logs them at its end.
///
/// # Invariants
///
/// - Exactly one line is logged per request. A report that is dropped without a result means that the connection was
///   closed: by the caller, or by this node at the end of its process.
pub struct RequestReport {
    node: Rc<EntryNode>,
    id: CompactString,
    received: Timestamp,
    /// Time from the start of a planned stop to the arrival; `None` for a request that arrived before.
    after_stop: Option<TimeSpan>,
    route: Option<RouteFields>,
    /// The request in the service times of its route; `None` before the route is known.
    times: Option<OpenRecord>,
    attempt: Option<CallerAttempt>,
    /// Counted work; `None` for caller retries and for requests that state no size.
    work: Option<RequestWork>,
    /// Sends of the request, also recorded by attempts that are under way.
    pub sends: Rc<SendHistory>,
    /// Number of times that the stream was resumed at another target.
    pub resumes: u32,
    /// Whether the caller has received the beginning of the stream with an earlier request.
    is_resumed: bool,
    first_data: Option<TimeSpan>,
    last_data: Timestamp,
    longest_pause: TimeSpan,
    is_finished: bool,
}

fn kind_name(kind: &RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::AtMostOnce => "at_most_once",
        RequestKind::Stream { .. } => "stream",
    }
}

impl RequestReport {
    /// Creates a report for a request that arrived at `received`.
    pub fn new(node: Rc<EntryNode>, id: CompactString, received: Timestamp) -> Self {
        let after_stop = node.shutdown.elapsed();
        Self {
            node,
            id,
            received,
            after_stop,
            route: None,
            times: None,
            attempt: None,
            work: None,
            sends: Rc::default(),
            resumes: 0,
            is_resumed: false,
            first_data: None,
            last_data: received,
            longest_pause: TimeSpan(0),
            is_finished: false,
        }
    }

    /// Time of the request's arrival.
    pub fn received(&self) -> Timestamp {
        self.received
    }

    /// Whether the end of the request has been reported.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Moves the report out, to the task that continues with the request. Leaves an empty one that logs nothing.
    pub fn take(&mut self) -> Self {
        let mut empty = Self::new(self.node.clone(), CompactString::default(), self.received);
        empty.is_finished = true;
        std::mem::replace(self, empty)
    }

    /// Records the route of the request.
    pub fn record_route(&mut self, request: &CallerRequest) {
        self.is_resumed = request.last_event.is_some();
        self.times = Some(
            self.node
                .service_times
                .borrow_mut()
                .begin(&request.route.rule.name, self.received),
        );
        self.attempt = request.caller_deadline().map(|deadline| CallerAttempt {
            fingerprint: request.fingerprint,
            deadline,
        });
        let or_dash = |value: Option<&str>| CompactString::from(value.unwrap_or("-"));
        self.route = Some(RouteFields {
            route: request.route.rule.name.clone(),
            kind: kind_name(&request.route.rule.kind),
            priority: request.route.priority,
            is_caller_retry: request.is_caller_retry,
            stated_time: request.stated_time,
            account: or_dash(request.route.account.as_ref().map(|id| id.as_str())),
            model: or_dash(request.model.as_ref().map(|id| id.as_str())),
            config_version: self.node.config_version(),
        });
    }

    /// Records the work that was counted for the demand of the request's model.
    pub fn record_work(&mut self, work: Option<RequestWork>) {
        self.work = work;
    }

    /// Records the arrival of data for the caller.
    pub fn record_data(&mut self, now: Timestamp) {
        let pause = now.since(self.last_data);
        self.last_data = now;
        if self.first_data.is_none() {
            self.first_data = Some(pause);
        } else {
            self.longest_pause = self.longest_pause.max(pause);
        }
    }

    /// Ends the report with a backend server's response.
    pub fn finish_answered(&mut self, status: u16) {
        self.finish(&RequestEnd::Answered { status });
    }

    /// Ends the report with an error response of this node.
    pub fn finish_failed(&mut self, failure: &RequestFailure) {
        self.finish(&RequestEnd::Failed(failure.clone()));
    }

    /// Ends the report of a stream that was truncated.
    pub fn finish_cut(&mut self) {
        if self.node.shutdown.cuts_requests(clock::now()) {
            self.node.shutdown.record_cut();
            self.finish(&RequestEnd::CutByShutdown);
        } else {
            self.finish(&RequestEnd::Cut);
        }
    }

    fn finish(&mut self, end: &RequestEnd) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = clock::now();
        let is_served = matches!(end, RequestEnd::Answered { .. });
        if let Some(attempt) = self.attempt.take().filter(|_| !is_served) {
            let mut unserved = self.node.unserved.borrow_mut();
            unserved.record(attempt.fingerprint, attempt.deadline, now);
        }
        if let Some(record) = self.times.take() {
            let mut times = self.node.service_times.borrow_mut();
            times.end(&record, self.is_whole_run(end), now);
        }
        let took = now.since(self.received);
        self.record_metrics(end, took);
        let choice = self.sends.logged_choice();
        let line = format_args!(
            "event=request_ended request={} result={end}{}{}{} sends={} runs={} resumes={} first_ms={} longest_pause_ms={} took_ms={}{}",
            self.id,
            OptionalFields(self.route.as_ref()),
            OptionalFields(self.work.as_ref()),
            OptionalFields(choice.as_ref()),
            self.sends.sends(),
            self.sends.runs(),
            self.resumes,
            OptionalMillis(self.first_data),
            self.longest_pause.as_millis(),
            took.as_millis(),
            AfterStop(self.after_stop)
        );
        // A place of its own in the code, and with it in the limit on log lines.
        if end.is_cut_by_shutdown() {
            log::warn!("{line}");
        } else {
            log::info!("{line}");
        }
    }

    /// Whether a backend server has served the request from its beginning to its end.
    fn is_whole_run(&self, end: &RequestEnd) -> bool {
        let is_success =
            matches!(end, RequestEnd::Answered { status } if (200..300).contains(status));
        is_success && !self.is_resumed
    }

    fn record_metrics(&self, end: &RequestEnd, took: TimeSpan) {
        let kind = self.route.as_ref().map_or("unknown", |route| route.kind);
        let result = match end {
            RequestEnd::Answered { .. } => "answered",
            RequestEnd::Failed(_) => "failed",
            RequestEnd::Cut => "cut",
            RequestEnd::CallerLeft => "caller_left",
            RequestEnd::CutByShutdown => "cut_by_shutdown",
        };
        metrics::counter!("jaysaddle_requests_total", "kind" => kind, "result" => result)
            .increment(1);
        if let RequestEnd::Failed(failure) = end {
            let priority = self
                .route
                .as_ref()
                .map_or(CompactString::const_new("-"), |route| {
                    format_compact!("{}", route.priority)
                });
            metrics::counter!(
                "jaysaddle_failures_total",
                "reason" => failure.reason.to_string(),
                "verdict" => failure.verdict.to_string(),
                "priority" => priority.to_string()
            )
            .increment(1);
        }
        metrics::histogram!("jaysaddle_request_seconds", "kind" => kind).record(seconds(took));
        if kind == "stream" {
            if let Some(first) = self.first_data {
                metrics::histogram!("jaysaddle_first_token_seconds").record(seconds(first));
            }
            metrics::histogram!("jaysaddle_longest_pause_seconds")
                .record(seconds(self.longest_pause));
        }
    }
}

impl Drop for RequestReport {
    fn drop(&mut self) {
        if self.node.shutdown.stage() < ShutdownStage::Ended {
            self.finish(&RequestEnd::CallerLeft);
        } else if !self.is_finished {
            self.node.shutdown.record_cut();
            self.finish(&RequestEnd::CutByShutdown);
        }
    }
}

fn seconds(time: TimeSpan) -> f64 {
    time.as_duration().as_secs_f64()
}

/// Formats a group of log fields, or nothing when they are absent.
struct OptionalFields<'a, T>(Option<&'a T>);

impl fmt::Display for OptionalFields<'_, RouteFields> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(fields) = self.0 else {
            return Ok(());
        };
        write!(
            f,
            " route={} kind={} priority={} account={} model={} config={} stated_ms={} caller_retry={}",
            fields.route,
            fields.kind,
            fields.priority,
            fields.account,
            fields.model,
            fields.config_version,
            OptionalMillis(fields.stated_time),
            fields.is_caller_retry
        )
    }
}

impl fmt::Display for OptionalFields<'_, RequestWork> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(work) = self.0 else {
            return Ok(());
        };
        write!(
            f,
            " prompt_tokens={} output_tokens={} work_ms={:.1}",
            work.prompt_tokens, work.output_tokens, work.work_ms
        )
    }
}

impl fmt::Display for OptionalFields<'_, ChoiceFields> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(fields) = self.0 else {
            return Ok(());
        };
        write!(f, " backend={}", fields.backend)?;
        if let Some(group) = &fields.group {
            write!(f, " group={group}")?;
        }
        write!(
            f,
            " candidates={} load={} own_load={} peer_age_ms={} slots={} late={} table_age_ms={}",
            fields.inputs.candidates,
            fields.inputs.load,
            fields.inputs.own_load,
            fields.inputs.peer_age.as_millis(),
            fields.inputs.slots,
            fields.is_late,
            fields.table_age.as_millis()
        )?;
        if fields.inputs.held > 0 {
            write!(f, " held={}", fields.inputs.held)?;
        }
        if let Some(paced) = &fields.inputs.paced {
            write!(
                f,
                " predicted_ms={} share_permille={} room={} near={}",
                paced.predicted_ms, paced.share_permille, paced.room, paced.is_near
            )?;
        }
        if let Some(inputs) = &fields.inputs.limit {
            write!(
                f,
                " limit={} limit_source={} limit_age_ms={} limit_own_sent={} limit_peer_sent={}",
                inputs.limit,
                inputs.source,
                inputs.age.as_millis(),
                inputs.own_sent,
                inputs.peer_sent
            )?;
        }
        Ok(())
    }
}

/// Formats the time from the start of a planned stop to the arrival of a request, or nothing.
struct AfterStop(Option<TimeSpan>);

impl fmt::Display for AfterStop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(time) => write!(f, " after_stop_ms={}", time.as_millis()),
            None => Ok(()),
        }
    }
}

/// Formats a time in milliseconds, or a dash if it is not known.
pub struct OptionalMillis(pub Option<TimeSpan>);

impl fmt::Display for OptionalMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(time) => write!(f, "{}", time.as_millis()),
            None => f.write_str("-"),
        }
    }
}
