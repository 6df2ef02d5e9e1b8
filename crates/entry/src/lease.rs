//! Maintains the controller's lease: reads and writes its object in the store, hands the lease over on a planned
//! shutdown and accepts it from a peer that shuts down.

use std::cmp::Reverse;
use std::rc::Rc;

use compact_str::CompactString;
use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::groups::latest_reported_term;
use jaysaddle_fleet::lease::LeaseEffect;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::lease::LeaseHandover;
use jaysaddle_fleet::lease::LeaseRecord;
use jaysaddle_fleet::lease::LeaseWrite;
use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::verdict::Verdict;
use serde::Deserialize;
use serde::Serialize;

use crate::backend_calls::request_all_reports;
use crate::control::handle_fleet_event;
use crate::node::EntryNode;
use crate::store_restore::handle_restores;
use crate::store_sync::CALL_TIMEOUT;

/// Name of the lease object in the store.
const LEASE_NAME: &str = "controller";

/// Holder of a lease whose object is unreadable. Not a valid node id, so no node takes it for its own.
const UNKNOWN_HOLDER: &str = "?";

/// Stored content of the lease object.
#[derive(Debug, Serialize, Deserialize)]
struct LeaseBody {
    holder: Option<NodeId>,
    term: LeaseEpoch,
    write_number: u64,
}

/// Whether the store is unreachable for this node and a majority of its peers.
pub fn is_store_unreachable_for_majority(node: &EntryNode) -> bool {
    let now = clock::now();
    node.store.is_unreachable(now) && node.peers.borrow().is_store_unreachable(now)
}

/// Releases the lease on a planned shutdown. While the store is unreachable, no other node could acquire the lease, so
/// it is handed over to a chosen successor.
pub fn resign(node: &Rc<EntryNode>) {
    let now = clock::now();
    let successor = is_store_unreachable_for_majority(node)
        .then(|| choose_successor(node))
        .flatten();
    let handover = successor.and_then(|successor| node.lease.borrow().handover(successor, now));
    let Some(handover) = handover else {
        handle_lease_event(node, LeaseEvent::Resign);
        return;
    };
    log::info!(
        "event=lease_handed_over successor={} incarnation={} term={} remaining_ms={}",
        handover.successor.id,
        handover.successor.incarnation,
        handover.claim.term,
        handover.claim.remaining.as_millis()
    );
    handle_lease_event(node, LeaseEvent::HandOver);
    *node.handover.borrow_mut() = Some((handover, now));
}

/// The handover to announce now; `None` once the lease that it hands over would have expired.
pub fn announced_handover(node: &EntryNode) -> Option<LeaseHandover> {
    let handover = node.handover.borrow();
    let (handover, since) = handover.as_ref()?;
    handover.after(clock::now().since(*since))
}

/// Chooses the serving node with the most recent backend table, a relay if there are any, since only relays hear whether
/// the store is unreachable for the others.
fn choose_successor(node: &EntryNode) -> Option<NodeKey> {
    node.peers
        .borrow()
        .heard(clock::now())
        .map(|record| &record.heartbeat)
        .filter(|heartbeat| heartbeat.phase == PeerPhase::Serving)
        .min_by_key(|heartbeat| (!heartbeat.is_relay, heartbeat.table_age, &heartbeat.node))
        .map(|heartbeat| NodeKey {
            id: heartbeat.node.clone(),
            incarnation: heartbeat.incarnation,
        })
}

/// Accepts the lease when a peer that shuts down has named this node as its successor.
pub fn accept_handover(node: &Rc<EntryNode>, heartbeat: &PeerHeartbeat) {
    let Some(handover) = &heartbeat.handover else {
        return;
    };
    if node.phase.get() != PeerPhase::Serving {
        return;
    }
    let event = LeaseEvent::HandoverReceived {
        handover: handover.clone(),
        is_store_unreachable: is_store_unreachable_for_majority(node),
    };
    handle_lease_event(node, event);
}

/// Number of live nodes that take precedence over this one as the next lease holder. Nodes with more processor time come
/// first.
pub fn lease_rank(node: &EntryNode) -> u32 {
    let now = clock::now();
    let own_age = node.table_age(now);
    let before = node
        .peers
        .borrow()
        .live(now)
        .filter(|record| record.heartbeat.phase == PeerPhase::Serving)
        .filter(|record| record.heartbeat.table_age.0 <= own_age.0.saturating_add(2000))
        .filter(|record| {
            let heartbeat = &record.heartbeat;
            (Reverse(heartbeat.processor), &heartbeat.node)
                < (Reverse(node.settings.processor), &node.settings.node)
        })
        .count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Feeds an event to the lease and carries out the resulting effects.
pub fn handle_lease_event(node: &Rc<EntryNode>, event: LeaseEvent) {
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
                handle_fleet_event(node, FleetEvent::Acquired(term));
            }
            LeaseEffect::HandoverAccepted(term) => {
                log::info!("event=lease_taken_over term={term}");
                handle_fleet_event(node, FleetEvent::Acquired(term));
                request_all_reports(node);
            }
            LeaseEffect::Lost => {
                log::info!("event=lease_lost");
                node.gateway.borrow_mut().set_closed_leaders(&[]);
                handle_fleet_event(node, FleetEvent::Lost);
            }
        }
    }
}

/// Passes on the terms of the lease that the reported groups show.
pub fn observe_reported_terms(node: &Rc<EntryNode>) {
    let term = latest_reported_term(&node.table.borrow());
    handle_lease_event(node, LeaseEvent::TermSeen(term));
}

async fn read_lease(node: Rc<EntryNode>) {
    let restores = node.store.restores();
    let call = StoreCall::Read {
        kind: ObjectKind::Control,
        name: CompactString::const_new(LEASE_NAME),
    };
    let event = match node.store.call(&call, CALL_TIMEOUT).await {
        Ok(StoreResponse::Object(object)) => match LeaseBody::deserialize(&object.spec) {
            Ok(body) => {
                let record = LeaseRecord {
                    holder: body.holder,
                    term: body.term,
                    write_number: body.write_number,
                };
                LeaseEvent::Read(Some((object.version, record)))
            }
            Err(error) if object.version > ObjectVersion(0) => {
                log::error!("event=lease_undecodable error={:?}", error.to_string());
                // Another node may hold it, so it is taken over only if nobody renews it for its validity.
                let record = LeaseRecord {
                    holder: Some(NodeId::new(UNKNOWN_HOLDER)),
                    term: LeaseEpoch(0),
                    write_number: 0,
                };
                LeaseEvent::Read(Some((object.version, record)))
            }
            // Without a version, no conditional write can replace it.
            Err(error) => {
                log::error!("event=lease_undecodable error={:?}", error.to_string());
                LeaseEvent::ReadFailed
            }
        },
        Ok(StoreResponse::NotFound) => LeaseEvent::Read(None),
        _ => LeaseEvent::ReadFailed,
    };
    if node.store.restores() == restores {
        handle_lease_event(&node, event);
    } else {
        handle_restores(&node);
    }
}

async fn write_lease(node: Rc<EntryNode>, version: Option<ObjectVersion>, record: LeaseRecord) {
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
    let restores = node.store.restores();
    let result = match node.store.call(&call, CALL_TIMEOUT).await {
        Ok(StoreResponse::Object(object)) => LeaseWrite::Done {
            version: object.version,
        },
        Ok(StoreResponse::Conflict | StoreResponse::NotFound) => LeaseWrite::Conflict,
        Ok(_) => LeaseWrite::NotWritten,
        Err(error) if error.verdict == Verdict::NotRun => LeaseWrite::NotWritten,
        Err(_) => LeaseWrite::Unknown,
    };
    if node.store.restores() != restores {
        // The version belongs to the lost history, so the result says nothing about the present object.
        handle_restores(&node);
        return;
    }
    let is_rewritten =
        node.restore.lease_pending.take() && matches!(result, LeaseWrite::Done { .. });
    handle_lease_event(&node, LeaseEvent::Written(result));
    if is_rewritten {
        node.restore.record_rewrite("lease");
    }
}
