//! Sends the controller's orders to backend servers and reads their reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::eyre;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use jaysaddle_adapter::headers;
use jaysaddle_adapter::orders::ORDER_PATH;
use jaysaddle_adapter::orders::REPORT_PATH;
use jaysaddle_adapter::orders::order_body;
use jaysaddle_adapter::orders::order_result;
use jaysaddle_adapter::orders::parse_report;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::controller::ProbeResult;
use jaysaddle_fleet::leaving::LeavingServer;
use jaysaddle_gateway::target::ServerNumber;
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
use crate::pool::BackendKey;
use crate::server_notices::read_notices;
use crate::stated_limit::StatedLimit;

/// Timeout of an order. Backend servers respond within milliseconds; after the timeout the outcome counts as unknown.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a report. A member that takes longer delays its whole group.
const REPORT_TIMEOUT: Duration = Duration::from_millis(160);
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
            let service = &row.entry.service;
            config
                .as_ref()
                .is_some_and(|config| config.engine(service).is_some())
        })
        .map(|row| (row.entry.id.clone(), row.entry.address))
        .collect();
    for (id, address) in engines {
        tokio::task::spawn_local(probe(node.clone(), id, address));
    }
}

async fn call_backend(
    node: &EntryNode,
    id: &VmId,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(u16, Bytes), ExchangeError> {
    let started = {
        let table = node.table.borrow();
        table.get(id).map_or(0, |row| row.entry.started)
    };
    let key = BackendKey {
        id: id.clone(),
        started,
        address,
    };
    let server = ServerNumber::of(id, started);
    let sent = clock::now();
    // Request limits count everything that a backend server receives.
    node.gateway.borrow_mut().record_send(server, sent);
    let mut pooled = node.pool.take(&key, true, u32::MAX).await?;
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
    let status = response.status().as_u16();
    // Calls have no request id.
    let notices = read_notices(&response, "", id);
    if let StatedLimit::Limited(limit) = notices.limit {
        node.record_limit(id, server, Some(limit), sent);
    }
    if notices.is_leaving {
        let server = LeavingServer {
            id: id.clone(),
            started,
        };
        node.record_leaving(&server, "response");
    }
    if let Some(pause) = notices.pause {
        node.record_pause(id, server, pause);
    }
    let bounds = BodyBounds {
        limit: MAX_RESPONSE,
        budget: &node.budgets.calls,
        sender: id.as_str(),
    };
    let body = read_bounded(response.into_body(), bounds)
        .await
        .map_err(ExchangeError::may_have_run)?;
    node.pool.put(pooled, None);
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
    let exchange = call_backend(&node, &id, address, Method::POST, ORDER_PATH, body);
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
    handle_fleet_event(&node, FleetEvent::OrderDone { id, order, result });
}

pub async fn probe(node: Rc<EntryNode>, id: VmId, address: SocketAddr) {
    let exchange = call_backend(&node, &id, address, Method::GET, REPORT_PATH, Vec::new());
    let result = match timeout(REPORT_TIMEOUT, exchange).await {
        Ok(Ok((200, body))) => match parse_report(&body) {
            Ok(report) => {
                if node.store.is_unreachable(clock::now()) {
                    node.apply_report(&id, &body);
                }
                ProbeResult::Reported {
                    order_count: report.order_count,
                }
            }
            Err(error) => {
                log::warn!("event=report_undecodable vm={id} error=\"{error:#}\"");
                ProbeResult::Refused
            }
        },
        Ok(Ok((status, _))) => {
            log::info!("event=report_refused vm={id} status={status}");
            ProbeResult::Refused
        }
        Ok(Err(error)) => {
            log::info!("event=report_failed vm={id} error=\"{:#}\"", error.cause);
            if error.is_timeout() {
                ProbeResult::TimedOut
            } else {
                ProbeResult::Refused
            }
        }
        Err(_) => {
            log::info!("event=report_failed vm={id} error=timeout");
            ProbeResult::TimedOut
        }
    };
    handle_fleet_event(&node, FleetEvent::ProbeDone { id, result });
}
