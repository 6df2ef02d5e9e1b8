//! Sends the controller's orders to backend servers and reads their reports.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::eyre;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use jaysaddle_adapter::backend::GroupField;
use jaysaddle_adapter::headers;
use jaysaddle_adapter::orders::ORDER_PATH;
use jaysaddle_adapter::orders::REPORT_PATH;
use jaysaddle_adapter::orders::order_body;
use jaysaddle_adapter::orders::order_result;
use jaysaddle_adapter::orders::parse_report;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::controller::ProbeResult;
use jaysaddle_fleet::controller::VmState;
use jaysaddle_fleet::leaving::LeavingServer;
use jaysaddle_gateway::silence::DataWait;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_gateway::target::ServerProcess;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::verdict::Verdict;
use tokio::time::timeout;

use crate::bounded_body::BodyBounds;
use crate::bounded_body::read_bounded;
use crate::control::handle_fleet_event;
use crate::exchange::ExchangeError;
use crate::exchange::send;
use crate::node::EntryNode;
use crate::pool::PooledConnection;
use crate::server_notices::read_notices;
use crate::server_reach::confirms_failure;
use crate::stated_limit::StatedLimit;

/// Timeout of an order. Backend servers respond within milliseconds; after the timeout the outcome counts as unknown.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a report, and of opening a connection for it. A member that takes longer delays its whole group.
const REPORT_TIMEOUT: TimeSpan = TimeSpan(160);
/// Time in which a connection that was already open must bring a report before a new one is opened beside it. Only a new
/// connection tells a process that is silent from a machine that is gone.
const KEPT_CONNECTION_TIME: TimeSpan = TimeSpan(40);
/// Status with which another process answers at the address of a VM.
const MISDIRECTED: u16 = 421;
/// Limit of a report and of an answer to an order.
const MAX_RESPONSE: ByteCount = ByteCount(64 << 10);
/// Maximum number of characters of an order's answer that are logged.
const MAX_LOGGED_CHARS: usize = 200;
/// Time in which the reports of all engines are collected. An order in flight is carried out within milliseconds
/// and shows up in reports 200 ms later.
const REPORT_COLLECTION_TIME: TimeSpan = TimeSpan(500);

/// Requests the reports of all engines. The controller gives no orders until [`REPORT_COLLECTION_TIME`] has passed,
/// because the table may predate the last orders of the previous lease holder.
pub fn request_all_reports(node: &Rc<EntryNode>) {
    let collection_end = clock::now() + REPORT_COLLECTION_TIME;
    node.outage_grace_until
        .set(node.outage_grace_until.get().max(collection_end));
    let config = node.config.borrow();
    let engines: Vec<(VmId, SocketAddr)> = node
        .table
        .borrow()
        .rows()
        .filter(|row| {
            let evacuations = node.evacuations.borrow();
            !evacuations.is_evacuated(&row.entry.failure_domain)
        })
        .filter(|row| {
            let service = &row.entry.service;
            config
                .as_ref()
                .is_some_and(|config| config.engine(service).is_some())
        })
        .map(|row| (row.entry.id.clone(), row.entry.address))
        .collect();
    for (id, address) in engines {
        tokio::task::spawn_local(probe(node.clone(), id, address, false));
    }
}

fn backend_key(node: &EntryNode, id: &VmId, address: SocketAddr) -> ServerProcess {
    let table = node.table.borrow();
    let registered = table.get(id).map(|row| &row.entry);
    let entry = registered.or_else(|| table.removed(id).map(|row| &row.entry));
    ServerProcess {
        id: id.clone(),
        started: entry.map_or(0, |entry| entry.started),
        address,
    }
}

async fn call_backend(
    node: &EntryNode,
    key: &ServerProcess,
    mut pooled: PooledConnection,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(u16, Bytes), ExchangeError> {
    let ServerProcess {
        id,
        started,
        address,
    } = key;
    let server = ServerNumber::of(id, *started);
    let sent = clock::now();
    // Request limits count everything that a backend server receives.
    node.gateway.borrow_mut().record_send(server, sent);
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string());
    if !body.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, "application/json");
    }
    let expected = HeaderValue::from_str(id.as_str()).map_err(ExchangeError::not_run)?;
    let request = builder
        .header(headers::EXPECTED_BACKEND, expected)
        .body(Full::new(Bytes::from(body)))
        .map_err(ExchangeError::not_run)?;
    let response = send(&mut pooled.connection, request).await?;
    // Calls have no request id. A late copy of another answer has one, and the answer to the call may follow.
    if response.headers().contains_key(headers::REQUEST_ID) {
        let cause = eyre!("the answer belongs to another request");
        return Err(ExchangeError::may_have_run(cause));
    }
    let has_succeeded = response.status().is_success();
    let status = response.status().as_u16();
    let notices = read_notices(&response, "", id);
    if let StatedLimit::Limited(limit) = notices.limit {
        node.record_limit(id, server, Some(limit), sent);
    }
    if notices.is_leaving {
        let server = LeavingServer {
            id: id.clone(),
            started: *started,
        };
        node.record_leaving(&server, "response");
    }
    if let Some(pause) = notices.pause {
        node.record_pause(id, server, pause);
    }
    if let Some(cold) = notices.cold {
        node.record_cold(id, server, cold);
    }
    let bounds = BodyBounds {
        limit: MAX_RESPONSE,
        budget: &node.budgets.calls,
        sender: id.as_str(),
    };
    let body = read_bounded(response.into_body(), bounds)
        .await
        .map_err(ExchangeError::may_have_run)?;
    // A faulty server may send a refusal once more, as the answer to the next request.
    if has_succeeded {
        node.pool.put(pooled, None);
    }
    Ok((status, body))
}

pub async fn send_order(
    node: Rc<EntryNode>,
    id: VmId,
    address: SocketAddr,
    order: BackendOrder,
    order_count: Option<u64>,
) {
    // Check the lease again right before the send, because the event loop may have been delayed since the decision.
    if node.lease.borrow().held_term(clock::now()).is_none() {
        return;
    }
    let body = order_body(&order, order_count);
    let key = backend_key(&node, &id, address);
    let exchange = async {
        let pooled = node.pool.take(&key, true, u32::MAX).await?;
        // The connection may have taken longer to open than the lease lasts.
        if node.lease.borrow().held_term(clock::now()).is_none() {
            node.pool.put(pooled, None);
            return Err(ExchangeError::not_run(eyre!("the lease has ended")));
        }
        call_backend(&node, &key, pooled, Method::POST, ORDER_PATH, body).await
    };
    let outcome = match timeout(ORDER_TIMEOUT, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Err(ExchangeError::may_have_run(eyre!("no answer"))),
    };
    let result = match &outcome {
        Ok((status, _)) => order_result(*status),
        Err(error) if error.verdict == Verdict::NotRun => OrderResult::Unreachable,
        Err(_) => OrderResult::Unknown,
    };
    let detail = match &outcome {
        Ok((status, body)) if *status >= 300 => {
            let text = String::from_utf8_lossy(body);
            let text: String = text.chars().take(MAX_LOGGED_CHARS).collect();
            format!(" status={status} answer={text:?}")
        }
        Ok((status, _)) => format!(" status={status}"),
        Err(error) => format!(" error=\"{:#}\"", error.cause),
    };
    log::info!(
        "event=order vm={id} order=\"{order}\" expected={order_count:?} result={result:?}{detail}"
    );
    if outcome.is_err() && !confirms_failure(&node).await {
        // The lease is given up with all that the controller waits for.
        return;
    }
    handle_fleet_event(&node, FleetEvent::OrderDone { id, order, result });
}

/// Waits for `future` for at most `limit`.
///
/// # Errors
///
/// Fails with the wait when the time is up.
async fn within<T>(limit: TimeSpan, future: impl Future<Output = T>) -> Result<T, DataWait> {
    let started = clock::now();
    let outcome = timeout(limit.as_duration(), future).await;
    outcome.map_err(|_| DataWait {
        planned: limit,
        actual: clock::now().since(started),
    })
}

/// What a probe shows whose connection could not be opened.
fn connect_failure(error: &ExchangeError) -> ProbeResult {
    let kind = error.cause.downcast_ref::<io::Error>().map(io::Error::kind);
    match kind {
        Some(io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset) => {
            ProbeResult::Refused
        }
        Some(
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable,
        ) => ProbeResult::Unreachable,
        _ if error.is_timeout() => ProbeResult::Unreachable,
        _ => ProbeResult::Void,
    }
}

async fn call_report(
    node: &EntryNode,
    key: &ServerProcess,
    pooled: PooledConnection,
) -> Result<(u16, Bytes), ExchangeError> {
    call_backend(node, key, pooled, Method::GET, REPORT_PATH, Vec::new()).await
}

/// Reads a report on a new connection.
///
/// # Errors
///
/// Fails with what the probe shows when no response arrives.
async fn read_on_new_connection(
    node: &EntryNode,
    key: &ServerProcess,
) -> Result<(u16, Bytes), ProbeResult> {
    let id = &key.id;
    let pooled = match within(REPORT_TIMEOUT, node.pool.open_new(key)).await {
        Ok(Ok(pooled)) => pooled,
        Ok(Err(error)) => {
            log::info!(
                "event=report_failed vm={id} connected=false error=\"{:#}\"",
                error.cause
            );
            return Err(connect_failure(&error));
        }
        Err(wait) => {
            log::info!(
                "event=report_failed vm={id} connected=false error=timeout waited_ms={}",
                wait.actual.as_millis()
            );
            return Err(if wait.was_interrupted() {
                ProbeResult::Void
            } else {
                ProbeResult::Unreachable
            });
        }
    };
    match within(REPORT_TIMEOUT, call_report(node, key, pooled)).await {
        Ok(Ok(response)) => Ok(response),
        // A backend server that has too many connections resets new ones.
        Ok(Err(error)) => {
            log::info!(
                "event=report_failed vm={id} connected=true error=\"{:#}\"",
                error.cause
            );
            Err(ProbeResult::Silent)
        }
        Err(wait) => {
            log::info!(
                "event=report_failed vm={id} connected=true error=timeout waited_ms={}",
                wait.actual.as_millis()
            );
            Err(if wait.was_interrupted() {
                ProbeResult::Void
            } else {
                ProbeResult::Silent
            })
        }
    }
}

/// The response of a probe on a kept connection; `None`, logged, if the connection has failed.
fn log_failure(
    key: &ServerProcess,
    outcome: Result<(u16, Bytes), ExchangeError>,
) -> Option<(u16, Bytes)> {
    outcome
        .inspect_err(|error| {
            log::info!(
                "event=report_failed vm={} kept=true error=\"{:#}\"",
                key.id,
                error.cause
            );
        })
        .ok()
}

/// Reads a report on an idle connection if there is one, and beside it on a new one if it takes long.
async fn read_report(
    node: &EntryNode,
    key: &ServerProcess,
    is_repeated: bool,
) -> Result<(u16, Bytes), ProbeResult> {
    let kept = (!is_repeated).then(|| node.pool.take_idle(key, true));
    let Some(pooled) = kept.flatten() else {
        return read_on_new_connection(node, key).await;
    };
    let mut kept_read = pin!(call_report(node, key, pooled));
    match within(KEPT_CONNECTION_TIME, &mut kept_read).await {
        Ok(outcome) => match log_failure(key, outcome) {
            Some(response) => Ok(response),
            None => read_on_new_connection(node, key).await,
        },
        Err(_) => tokio::select! {
            Some(response) = async { log_failure(key, kept_read.await) } => Ok(response),
            outcome = read_on_new_connection(node, key) => outcome,
        },
    }
}

/// What a report shows of the process that was asked for it.
///
/// # Errors
///
/// Fails if the report is malformed.
fn read_state(key: &ServerProcess, body: &[u8]) -> eyre::Result<ProbeResult> {
    let report = parse_report(body)?;
    if !report.is_of_process(key.started) {
        log::info!(
            "event=report_of_another_process vm={} started={} reporting={:?}",
            key.id,
            key.started,
            report.started
        );
        return Ok(ProbeResult::Refused);
    }
    let is_serving = report.group.as_ref().is_some_and(GroupField::is_serving);
    let group = report.group.map(|group| group.key()).transpose()?;
    Ok(ProbeResult::Reported(VmState {
        order_count: report.order_count,
        group,
        is_serving,
    }))
}

/// Reads the report of a VM and passes on what that shows. With `is_repeated`, only a new connection is used.
pub async fn probe(node: Rc<EntryNode>, id: VmId, address: SocketAddr, is_repeated: bool) {
    let key = backend_key(&node, &id, address);
    let result = match read_report(&node, &key, is_repeated).await {
        Ok((200, body)) => match read_state(&key, &body) {
            Ok(shown) => {
                if node.store.is_unreachable(clock::now()) {
                    node.apply_report(&id, &body);
                }
                shown
            }
            Err(error) => {
                log::warn!("event=report_undecodable vm={id} error=\"{error:#}\"");
                ProbeResult::Silent
            }
        },
        Ok((status, _)) => {
            log::info!("event=report_refused vm={id} status={status}");
            if status == MISDIRECTED {
                ProbeResult::Refused
            } else {
                ProbeResult::Silent
            }
        }
        Err(result) => result,
    };
    let result = match result {
        ProbeResult::Reported(_) | ProbeResult::Void => result,
        _ if confirms_failure(&node).await => result,
        _ => ProbeResult::Void,
    };
    handle_fleet_event(&node, FleetEvent::ProbeDone { id, result });
}
