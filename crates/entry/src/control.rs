//! Runs the controller and its lease: carries out their effects and reports the results.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use eyre::eyre;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use jaysaddle_adapter::headers;
use jaysaddle_adapter::orders::ORDER_PATH;
use jaysaddle_adapter::orders::REPORT_PATH;
use jaysaddle_adapter::orders::order_body;
use jaysaddle_adapter::orders::order_result;
use jaysaddle_adapter::orders::parse_report;
use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_adapter::store::StoreAnswer;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::controller::FleetEffect;
use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::controller::FleetView;
use jaysaddle_fleet::controller::NodeTraffic;
use jaysaddle_fleet::controller::ProbeResult;
use jaysaddle_fleet::lease::LeaseEffect;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::lease::LeaseRecord;
use jaysaddle_fleet::lease::LeaseWrite;
use jaysaddle_fleet::peers::PeerBeat;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_gateway::target::TargetNumber;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::verdict::Verdict;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::exchange::ExchangeError;
use crate::exchange::send;
use crate::gauges;
use crate::node::EntryNode;
use crate::pool::BackendKey;
use crate::store_sync::CALL_LIMIT;

/// Interval of the controller's and the lease's work.
const TICK: Duration = Duration::from_millis(100);
/// Time for an order. Answers come in milliseconds; a later one counts as unknown.
const ORDER_LIMIT: Duration = Duration::from_millis(800);
/// Time for a report. A member that needs longer delays its whole group.
const REPORT_LIMIT: Duration = Duration::from_millis(160);
/// Time in which the reports of all engines are read: an order that is under way is carried out in milliseconds, and
/// a report shows it after a fifth of a second.
const REPORTS_TIME: TimeSpan = TimeSpan(500);
/// Name of the lease object.
const LEASE_NAME: &str = "controller";

/// Content of the lease object.
#[derive(Debug, Serialize, Deserialize)]
struct LeaseBody {
    holder: Option<NodeId>,
    term: LeaseEpoch,
    write_number: u64,
}

/// Runs the controller and its lease until the process ends.
pub async fn run(node: Rc<EntryNode>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        node.pool.sweep();
        if node.phase.get() == PeerPhase::Stopping {
            continue;
        }
        let rank = lease_rank(&node);
        let now = clock::now();
        let is_store_lost = node.store.is_lost(now);
        let tick = LeaseEvent::Tick {
            rank,
            is_store_lost: is_store_lost_to_most(&node),
        };
        lease_event(&node, tick);
        fleet_event(&node, FleetEvent::StoreLost(is_store_lost));
        // All nodes follow the demand, so that the next holder of the lease knows it.
        fleet_event(&node, FleetEvent::Demand(traffic(&node)));
        if node.lease.borrow().holds(clock::now()).is_none() {
            continue;
        }
        for id in silent_leaders(&node) {
            fleet_event(&node, FleetEvent::Silent { id });
        }
        fleet_event(&node, FleetEvent::Tick);
        publish_closed(&node);
    }
}

/// Whether the store answers neither this node nor most of its peers.
fn is_store_lost_to_most(node: &EntryNode) -> bool {
    let now = clock::now();
    node.store.is_lost(now) && node.peers.borrow().is_store_lost(now)
}

/// Gives up the lease at a planned stop. While the store is lost, no other node could take it: one is told to go on.
pub fn resign(node: &Rc<EntryNode>) {
    let now = clock::now();
    let successor = is_store_lost_to_most(node)
        .then(|| choose_successor(node))
        .flatten();
    let groups_formed = node.controller.borrow().groups_formed();
    let handover =
        successor.and_then(|successor| node.lease.borrow().handover(successor, groups_formed, now));
    let Some(handover) = handover else {
        lease_event(node, LeaseEvent::Resign);
        return;
    };
    log::info!(
        "event=lease_handed_over successor={} term={} groups_formed={groups_formed}",
        handover.successor,
        handover.term
    );
    lease_event(node, LeaseEvent::HandOver);
    *node.handover.borrow_mut() = Some(handover);
}

/// The live node with the newest table.
fn choose_successor(node: &EntryNode) -> Option<NodeId> {
    node.peers
        .borrow()
        .live(clock::now())
        .filter(|record| record.beat.phase == PeerPhase::Serving)
        .min_by_key(|record| (record.beat.table_age, record.beat.node.clone()))
        .map(|record| record.beat.node.clone())
}

/// Takes over the lease when a peer that stops has named this node as its successor.
pub fn follow_handover(node: &Rc<EntryNode>, beat: &PeerBeat) {
    let Some(handover) = &beat.handover else {
        return;
    };
    if node.phase.get() != PeerPhase::Serving {
        return;
    }
    let event = LeaseEvent::HandedOver {
        from: NodeKey {
            id: beat.node.clone(),
            incarnation: beat.incarnation,
        },
        handover: handover.clone(),
        is_store_lost: is_store_lost_to_most(node),
    };
    lease_event(node, event);
}

/// Reads the reports of all engines. Nothing is decided until then: the entries may be from before the last orders of
/// the earlier holder.
fn read_all_reports(node: &Rc<EntryNode>) {
    let settled = clock::now() + REPORTS_TIME;
    node.return_grace.set(node.return_grace.get().max(settled));
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

/// Number of live nodes that go before this one as the lease's next holder.
fn lease_rank(node: &EntryNode) -> u32 {
    let now = clock::now();
    let own_age = node.table_age(now);
    let before = node
        .peers
        .borrow()
        .live(now)
        .filter(|record| record.beat.phase == PeerPhase::Serving)
        .filter(|record| record.beat.table_age.0 <= own_age.0.saturating_add(2000))
        .filter(|record| record.beat.node < node.settings.node)
        .count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

fn silent_leaders(node: &EntryNode) -> Vec<VmId> {
    let now = clock::now();
    let gateway = node.gateway.borrow();
    let mut leaders: Vec<VmId> = gateway
        .silent_groups(now)
        .into_iter()
        .map(|(_, id)| id)
        .collect();
    for record in node.peers.borrow().live(now) {
        for number in &record.beat.silent {
            if let Some(id) = gateway.backend_of(TargetNumber(*number)) {
                leaders.push(id.clone());
            }
        }
    }
    leaders.sort();
    leaders.dedup();
    leaders
}

/// Tells the gateway, and with the next beat the peers, which groups get no new request.
fn publish_closed(node: &EntryNode) {
    let leaders = node.controller.borrow().closed_leaders();
    let mut gateway = node.gateway.borrow_mut();
    let before = gateway.closed().len();
    gateway.set_closed(&leaders);
    if gateway.closed().len() > before {
        node.news.notify_one();
    }
}

/// Work of callers' requests at this node and its live peers.
fn traffic(node: &EntryNode) -> Vec<NodeTraffic> {
    let own = NodeTraffic {
        node: NodeKey {
            id: node.settings.node.clone(),
            incarnation: node.incarnation,
        },
        work: node.gateway.borrow().work(),
    };
    let peers = node.peers.borrow();
    let others = peers.live(clock::now()).map(|record| NodeTraffic {
        node: NodeKey {
            id: record.beat.node.clone(),
            incarnation: record.beat.incarnation,
        },
        work: record.beat.work.clone(),
    });
    others.chain([own]).collect()
}

/// Handles an event of the lease and carries out its effects.
pub fn lease_event(node: &Rc<EntryNode>, event: LeaseEvent) {
    let effects = node.lease.borrow_mut().step(event, clock::now());
    for effect in effects {
        match effect {
            LeaseEffect::Read => {
                tokio::task::spawn_local(read_lease(node.clone()));
            }
            LeaseEffect::Write { version, record } => {
                tokio::task::spawn_local(write_lease(node.clone(), version, record));
            }
            LeaseEffect::Acquired(term) => {
                log::info!("event=lease_acquired term={term}");
                fleet_event(node, FleetEvent::Acquired(term));
            }
            LeaseEffect::TakenOver {
                term,
                groups_formed,
            } => {
                log::info!("event=lease_taken_over term={term} groups_formed={groups_formed}");
                fleet_event(
                    node,
                    FleetEvent::TakenOver {
                        term,
                        groups_formed,
                    },
                );
                read_all_reports(node);
            }
            LeaseEffect::Lost => {
                log::info!("event=lease_lost");
                node.gateway.borrow_mut().set_closed(&[]);
                fleet_event(node, FleetEvent::Lost);
            }
        }
    }
}

async fn read_lease(node: Rc<EntryNode>) {
    let call = StoreCall::Read {
        kind: ObjectKind::Control,
        name: CompactString::const_new(LEASE_NAME),
    };
    let event = match node.store.call(&call, CALL_LIMIT).await {
        Ok(StoreAnswer::Object(object)) => match LeaseBody::deserialize(&object.spec) {
            Ok(body) => {
                let record = LeaseRecord {
                    holder: body.holder,
                    term: body.term,
                    write_number: body.write_number,
                };
                LeaseEvent::Read(Some((object.version, record)))
            }
            Err(error) => {
                log::error!("event=lease_undecodable error=\"{error}\"");
                LeaseEvent::ReadFailed
            }
        },
        Ok(StoreAnswer::Missing) => LeaseEvent::Read(None),
        _ => LeaseEvent::ReadFailed,
    };
    lease_event(&node, event);
}

/// Writes the lease object.
pub async fn write_lease(node: Rc<EntryNode>, version: Option<ObjectVersion>, record: LeaseRecord) {
    let body = LeaseBody {
        holder: record.holder,
        term: record.term,
        write_number: record.write_number,
    };
    let spec = match serde_json::to_value(&body) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!("event=lease_unencodable error=\"{error}\"");
            return;
        }
    };
    let kind = ObjectKind::Control;
    let name = CompactString::const_new(LEASE_NAME);
    let call = match version {
        Some(version) => StoreCall::Replace {
            kind,
            name,
            version,
            spec,
        },
        None => StoreCall::Create { kind, name, spec },
    };
    let result = match node.store.call(&call, CALL_LIMIT).await {
        Ok(StoreAnswer::Object(object)) => LeaseWrite::Done {
            version: object.version,
        },
        Ok(StoreAnswer::Conflict | StoreAnswer::Missing) => LeaseWrite::Conflict,
        Ok(_) => LeaseWrite::NotDone,
        Err(error) if error.verdict == Verdict::NotRun => LeaseWrite::NotDone,
        Err(_) => LeaseWrite::Unknown,
    };
    lease_event(&node, LeaseEvent::Written(result));
}

/// Handles an event of the controller and carries out its effects.
pub fn fleet_event(node: &Rc<EntryNode>, event: FleetEvent) {
    let Some(config) = node.config.borrow().clone() else {
        // Without a configuration no model is known; the lease alone is kept.
        if let FleetEvent::Acquired(_) | FleetEvent::TakenOver { .. } | FleetEvent::Lost = event {
            let table = node.table.borrow();
            let empty = jaysaddle_types::serving::ServingConfig::default();
            let view = FleetView {
                table: &table,
                config: &empty,
                is_settled: false,
            };
            node.controller.borrow_mut().step(event, view, clock::now());
        }
        return;
    };
    let effects = {
        let table = node.table.borrow();
        let view = FleetView {
            table: &table,
            config: &config,
            is_settled: clock::now() >= node.return_grace.get(),
        };
        node.controller.borrow_mut().step(event, view, clock::now())
    };
    for effect in effects {
        match effect {
            FleetEffect::Decided(text) => log::info!("event=placement {text}"),
            FleetEffect::Measured(figures) => {
                log::info!("event=placement decision=summary {figures}");
                gauges::publish_fleet(&figures);
            }
            FleetEffect::Order {
                id,
                address,
                order,
                order_count,
            } => {
                tokio::task::spawn_local(send_order(node.clone(), id, address, order, order_count));
            }
            FleetEffect::Probe { id, address } => {
                tokio::task::spawn_local(probe(node.clone(), id, address));
            }
        }
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
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(ExchangeError::may_have_run)?
        .to_bytes();
    node.pool.put(pooled, None);
    Ok((status, body))
}

async fn send_order(
    node: Rc<EntryNode>,
    id: VmId,
    address: SocketAddr,
    order: BackendOrder,
    order_count: Option<u64>,
) {
    // The lease is checked again right before the send: the loop may have been held up since the decision.
    if node.lease.borrow().holds(clock::now()).is_none() {
        return;
    }
    let body = order_body(&order, order_count);
    let exchange = call_backend(&node, &id, address, Method::POST, ORDER_PATH, body);
    let outcome = match timeout(ORDER_LIMIT, exchange).await {
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
            format!(
                " status={status} answer={:?}",
                String::from_utf8_lossy(body)
            )
        }
        Ok((status, _)) => format!(" status={status}"),
        Err(error) => format!(" error=\"{:#}\"", error.cause),
    };
    log::info!(
        "event=order vm={id} order=\"{order}\" expected={order_count:?} result={result:?}{detail}"
    );
    fleet_event(&node, FleetEvent::Ordered { id, order, result });
}

async fn probe(node: Rc<EntryNode>, id: VmId, address: SocketAddr) {
    let exchange = call_backend(&node, &id, address, Method::GET, REPORT_PATH, Vec::new());
    let result = match timeout(REPORT_LIMIT, exchange).await {
        Ok(Ok((200, body))) => match parse_report(&body) {
            Ok(report) => {
                if node.store.is_lost(clock::now()) {
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
                ProbeResult::Silent
            } else {
                ProbeResult::Refused
            }
        }
        Err(_) => {
            log::info!("event=report_failed vm={id} error=timeout");
            ProbeResult::Silent
        }
    };
    fleet_event(&node, FleetEvent::Probed { id, result });
}
