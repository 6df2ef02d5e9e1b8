//! Refuses requests with content that ends backend servers, and shares the decisions on it with the peers and the store.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use compact_str::ToCompactString;
use http::StatusCode;
use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_adapter::store::StoreObject;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::crash_report::PeerBlock;
use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_fleet::relays::MAX_DIRECT_PEERS;
use jaysaddle_gateway::content_blocks::BlockRecord;
use jaysaddle_gateway::content_blocks::MAX_VERSION;
use jaysaddle_gateway::crash_evidence::PeerRole;
use jaysaddle_gateway::crash_guard::BlockDecision;
use jaysaddle_gateway::crash_guard::ContentState;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_types::content::ContentKey;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;
use tokio::time::sleep;

use crate::caller_request::CallerRequest;
use crate::crash_watch::has_ended;
use crate::crash_watch::observe_table;
use crate::node::EntryNode;
use crate::response::RequestFailure;
use crate::store_sync::CALL_TIMEOUT;
use crate::store_sync::list_all;
use crate::stored_block::StoredBlock;

/// `Retry-After` of a request with a piece that is held: by then the piece is blocked or cleared.
const HELD_RETRY_AFTER: TimeSpan = TimeSpan(1000);
/// The same for a piece that is blocked.
const BLOCKED_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(60);
/// Interval at which decisions that the store does not hold are written.
const STORE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the node that has decided tries to write its decision.
const OWN_WRITE_TIME: TimeSpan = TimeSpan::from_secs(60);
/// Number of these intervals after which the holder of the lease reads the decisions, which operators change.
const READ_ROUNDS: u32 = 20;

/// Refuses a request whose content ends backend servers.
///
/// # Errors
///
/// Fails if the content is blocked or held. `may_have_run` says whether the request was sent before.
pub fn check_content(
    node: &EntryNode,
    request: &CallerRequest,
    may_have_run: bool,
) -> Result<(), RequestFailure> {
    let crashes = node.crashes.borrow();
    let Some((state, item)) = crashes.refusal(&request.content) else {
        return Ok(());
    };
    log::info!(
        "event=content_refused request={} state={state} content={item} key={} sent_before={may_have_run}",
        request.id,
        item.key
    );
    let label = state.to_string();
    metrics::counter!("jaysaddle_content_refusals_total", "state" => label).increment(1);
    let reason = state.to_compact_string();
    if may_have_run {
        return Err(RequestFailure::may_have_run(
            StatusCode::BAD_GATEWAY,
            reason,
        ));
    }
    let retry_after = match state {
        ContentState::Held => HELD_RETRY_AFTER,
        ContentState::Blocked => BLOCKED_RETRY_AFTER,
    };
    Err(RequestFailure::unavailable(reason, retry_after))
}

/// Whether a request is not sent on after its answer has broken off: the process of its backend server has ended, and the request
/// may be the reason. Waits for the check of the process.
pub async fn is_retry_withheld(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    target: &Rc<RequestTarget>,
) -> bool {
    let is_withheld =
        has_ended(node, target).await && node.crashes.borrow().withholds_retry(&request.content);
    if is_withheld {
        log::info!(
            "event=retry_withheld request={} vm={}",
            request.id,
            target.backend
        );
        metrics::counter!("jaysaddle_retries_withheld_total").increment(1);
    }
    is_withheld
}

/// Tells the guard which processes of backend servers still keep connections open.
fn record_alive(node: &EntryNode) {
    let mut crashes = node.crashes.borrow_mut();
    let awaited: HashSet<ServerNumber> = crashes.awaited_servers().collect();
    if awaited.is_empty() {
        return;
    }
    let now = clock::now();
    for (server, opened) in node.pool.connected_servers() {
        if awaited.contains(&server) {
            crashes.record_alive(server, opened, now);
        }
    }
}

/// Whether a request must not reach a further backend server, nor begin at one.
pub fn is_blocked(node: &EntryNode, request: &CallerRequest) -> bool {
    let crashes = node.crashes.borrow();
    let refusal = crashes.refusal(&request.content);
    refusal.is_some_and(|(state, _)| state == ContentState::Blocked)
}

fn report(decision: &BlockDecision, origin: &str) {
    log::warn!("event=content_decision {decision} origin={origin}");
    let state = decision
        .state
        .map_or("released".to_owned(), |state| state.to_string());
    metrics::counter!("jaysaddle_content_decisions_total", "state" => state).increment(1);
}

/// How this node learns from its peers what has ended backend servers.
pub fn peer_role(node: &EntryNode) -> PeerRole {
    if node.is_relay.get() {
        PeerRole::Relay
    } else if node.peers.borrow().known() > MAX_DIRECT_PEERS {
        PeerRole::Follower
    } else {
        PeerRole::Direct
    }
}

/// Decides on the content that is accused, and tells the peers at once what is new.
pub fn decide(node: &EntryNode) {
    let now = clock::now();
    let role = peer_role(node);
    let mut crashes = node.crashes.borrow_mut();
    let decisions = crashes.decide(role, now);
    for weighing in crashes.take_weighings() {
        log::info!("event=content_weighed {weighing}");
        let result = weighing.result.to_string();
        metrics::counter!("jaysaddle_content_weighings_total", "result" => result).increment(1);
    }
    for decision in decisions {
        report(&decision, node.settings.node.as_str());
    }
    if crashes.take_urgent(role, now) {
        node.heartbeat_now.notify_one();
    }
}

/// Does what is due at a regular interval.
pub fn tick(node: &EntryNode) {
    record_alive(node);
    observe_table(node);
    let decisions = node.crashes.borrow_mut().tick(clock::now());
    for decision in decisions {
        report(&decision, node.settings.node.as_str());
    }
    decide(node);
}

/// Takes over what a peer announces.
pub fn merge(node: &EntryNode, heartbeat: &PeerHeartbeat) {
    if heartbeat.crash_facts.is_empty() && heartbeat.content_blocks.is_empty() {
        return;
    }
    let decisions = node.crashes.borrow_mut().merge(
        &heartbeat.crash_facts,
        &heartbeat.content_blocks,
        peer_role(node),
        clock::now(),
    );
    for decision in decisions {
        report(&decision, heartbeat.node.as_str());
    }
    decide(node);
}

/// Reads the decisions in the store. Returns whether that was possible.
pub async fn read_blocks(node: &EntryNode) -> bool {
    let Some((objects, _)) = list_all(node, ObjectKind::ContentBlocks, false).await else {
        return false;
    };
    for object in objects {
        merge_object(node, &object);
    }
    true
}

fn merge_object(node: &EntryNode, object: &StoreObject) {
    let key = object.name.parse::<ContentKey>();
    let body = StoredBlock::deserialize(&object.spec).ok();
    let body = body.filter(|body| body.version <= MAX_VERSION);
    let (Ok(key), Some(body)) = (key, body) else {
        log::warn!("event=content_block_undecodable object={:?}", object.name);
        return;
    };
    let block = PeerBlock {
        key,
        version: body.version,
        is_blocked: body.is_blocked,
        ends: body.ends,
        age: TimeSpan(0),
    };
    let mut crashes = node.crashes.borrow_mut();
    if let Some(decision) = crashes.merge_stored(&block, clock::now()) {
        report(&decision, "store");
    }
}

/// Writes decisions that the store does not hold, and reads those of operators. Never returns.
pub async fn sync_blocks(node: Rc<EntryNode>) {
    let mut round = 0;
    loop {
        sleep(STORE_INTERVAL).await;
        if node.phase.get() == PeerPhase::Starting {
            continue;
        }
        round = (round + 1) % READ_ROUNDS;
        let now = clock::now();
        let is_holder = node.lease.borrow().held_term(now).is_some();
        if is_holder && round == 0 && !node.store.is_unreachable(now) {
            read_blocks(&node).await;
        }
        // The holder writes for nodes that have decided and are gone.
        let unstored: Vec<(ContentKey, BlockRecord)> = {
            let crashes = node.crashes.borrow();
            let unstored = crashes.blocks().iter().filter(|(_, record)| {
                let is_own = record.is_own && now.since(record.decided) < OWN_WRITE_TIME;
                !record.is_stored && (is_holder || is_own)
            });
            unstored.map(|(key, record)| (*key, *record)).collect()
        };
        for (key, record) in unstored {
            write_block(&node, key, record).await;
        }
    }
}

async fn write_block(node: &EntryNode, key: ContentKey, record: BlockRecord) {
    let body = StoredBlock {
        version: record.version,
        is_blocked: record.is_blocked,
        ends: record.ends,
    };
    let spec = match serde_json::to_value(body) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!("event=content_block_unencodable error=\"{error}\"");
            return;
        }
    };
    let kind = ObjectKind::ContentBlocks;
    let name = key.to_compact_string();
    let create = StoreCall::Create {
        kind,
        name: name.clone(),
        spec: spec.clone(),
    };
    let created = node.store.call(&create, CALL_TIMEOUT).await;
    let is_stored = match created {
        Ok(StoreResponse::Object(_)) => true,
        Ok(StoreResponse::Conflict) => {
            let read = StoreCall::Read {
                kind,
                name: name.clone(),
            };
            let Ok(StoreResponse::Object(object)) = node.store.call(&read, CALL_TIMEOUT).await
            else {
                return;
            };
            merge_object(node, &object);
            let is_current = node
                .crashes
                .borrow()
                .blocks()
                .get(key)
                .is_none_or(|current| current.is_stored || current.version != record.version);
            if is_current {
                return;
            }
            let replace = StoreCall::Replace {
                kind,
                name,
                version: object.version,
                spec,
            };
            let replaced = node.store.call(&replace, CALL_TIMEOUT).await;
            matches!(replaced, Ok(StoreResponse::Object(_)))
        }
        _ => false,
    };
    if is_stored {
        let mut crashes = node.crashes.borrow_mut();
        crashes.record_stored(key, record.version);
        log::info!(
            "event=content_block_stored key={key} version={}",
            record.version
        );
    }
}
