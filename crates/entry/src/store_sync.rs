//! Watches the platform's store for the configuration, backend servers and nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;
use jaysaddle_adapter::store::CONFIG_NAME;
use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_adapter::store::StoreObject;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::relays::MAX_DIRECT_PEERS;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::time::sleep;

use crate::content_control::read_blocks;
use crate::evacuation_sync::read_evacuations;
use crate::exchange::ExchangeError;
use crate::node::EntryNode;

/// Timeout of a call that is not a watch. The store responds within milliseconds, and within a few hundred
/// when it is slow.
pub const CALL_TIMEOUT: TimeSpan = TimeSpan(900);
/// Maximum duration of a configuration watch. A connection that has stopped responding is replaced after this time.
pub const CONFIG_WATCH_TIME: TimeSpan = TimeSpan(2500);
/// Maximum duration of a watch of the backend entries, which change continuously.
const BACKEND_WATCH_TIME: TimeSpan = TimeSpan(1000);
/// The same at a relay. Nodes that follow it take over the age of its table, which includes the duration of the watch.
const RELAY_WATCH_TIME: TimeSpan = TimeSpan(500);
/// Time beyond a watch's duration after which its connection counts as unresponsive.
const WATCH_TIMEOUT_MARGIN: TimeSpan = TimeSpan(400);
/// Delay after a failed call, so that a recovering store is not overloaded.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay between two reads of changed backend entries at the lease holder, which has to detect failures quickly.
const HOLDER_READ_DELAY: Duration = Duration::from_millis(200);
/// Delay between two reads of changed entries at other nodes, while the lease holder notifies them of changes.
/// Short enough that a backend server that leaves gets no new work in time even if a notification is lost.
const FOLLOWER_READ_DELAY: Duration = Duration::from_millis(1000);
/// The same at a relay, which reads for other nodes as well.
const RELAY_READ_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a node that follows a relay checks whether it has to read the store itself.
pub const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two checks of the store by a node that follows a relay.
const STORE_CHECK_INTERVAL: TimeSpan = TimeSpan(1000);
/// Delay between two reads of changed entries at other nodes while no lease holder is known.
const NO_HOLDER_READ_DELAY: Duration = Duration::from_millis(400);
/// Minimum delay between two reads, regardless of how many changes are announced.
const MIN_READ_DELAY: Duration = Duration::from_millis(100);
/// Delays between the first reads of the node list, while all nodes start.
const INITIAL_NODE_LIST_DELAYS: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1500),
];
/// Delay between later reads of the node list; heartbeats announce new nodes earlier.
const NODE_LIST_DELAY: Duration = Duration::from_secs(5);
/// The same at a node that follows a relay.
const FOLLOWER_NODE_LIST_DELAY: Duration = Duration::from_secs(30);

/// Position from which a watch continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPosition {
    /// Revision of the store up to which all changes are known.
    pub revision: StoreRevision,
    /// Number of restores of the store at the time of the listing. After another one, the revision is void.
    pub restores: u64,
}

/// Lists all objects of a kind, page by page. Returns `None` when a call fails, or when the store is restored meanwhile.
pub async fn list_all(
    node: &EntryNode,
    kind: ObjectKind,
    may_be_stale: bool,
) -> Option<(Vec<StoreObject>, WatchPosition)> {
    let restores = node.store.restores();
    let mut all = Vec::new();
    let mut after: Option<CompactString> = None;
    let mut first_revision = None;
    loop {
        let call = StoreCall::List {
            kind,
            after: after.clone(),
            may_be_stale,
        };
        let result = node.store.call(&call, CALL_TIMEOUT).await;
        if node.store.restores() != restores {
            return None;
        }
        match result {
            Ok(StoreResponse::Page {
                objects,
                last_name,
                has_more,
                revision,
                ..
            }) => {
                // Watching from the revision of the first page covers changes made while later pages are read.
                let revision = *first_revision.get_or_insert(revision);
                all.extend(objects);
                if !has_more {
                    return Some((all, WatchPosition { revision, restores }));
                }
                // Objects on pages that cannot be read are unknown, so they must not count as gone.
                if last_name.is_none() || last_name == after {
                    log::warn!("event=list_position_unknown kind={}", kind.as_str());
                    return None;
                }
                after = last_name;
            }
            Ok(StoreResponse::NotFound) => {
                let revision = StoreRevision(0);
                return Some((all, WatchPosition { revision, restores }));
            }
            _ => return None,
        }
    }
}

/// Waits for changes after a position. Returns `None` when the store is restored meanwhile.
pub async fn watch_changes(
    node: &EntryNode,
    kind: ObjectKind,
    position: WatchPosition,
    wait: TimeSpan,
) -> Option<Result<StoreResponse, ExchangeError>> {
    let call = StoreCall::Watch {
        kind,
        since: position.revision,
        wait,
    };
    let limit = TimeSpan(wait.0 + WATCH_TIMEOUT_MARGIN.0);
    let restored = node.store.restored();
    if node.store.restores() != position.restores {
        return None;
    }
    let result = tokio::select! {
        result = node.store.call(&call, limit) => result,
        () = restored => return None,
    };
    (node.store.restores() == position.restores).then_some(result)
}

/// Watches the configuration and applies new versions. Never returns.
pub async fn watch_config(node: Rc<EntryNode>) {
    let mut since: Option<WatchPosition> = None;
    loop {
        if node.config_version() > 0 && node.follows_relays() {
            since = None;
            sleep(FOLLOW_CHECK_INTERVAL).await;
            continue;
        }
        let Some(position) = since else {
            match list_all(&node, ObjectKind::Config, false).await {
                Some((objects, position)) => {
                    // Decisions on content and evacuations are known before the first request is accepted.
                    let is_first = node.config_version() == 0;
                    let is_prepared =
                        !is_first || read_blocks(&node).await && read_evacuations(&node).await;
                    if !is_prepared {
                        sleep(retry_delay(&node)).await;
                        continue;
                    }
                    apply_config_objects(&node, objects);
                    since = Some(position);
                }
                None => sleep(retry_delay(&node)).await,
            }
            continue;
        };
        match watch_changes(&node, ObjectKind::Config, position, CONFIG_WATCH_TIME).await {
            Some(Ok(StoreResponse::Changes {
                changes, revision, ..
            })) => {
                let objects = changes
                    .into_iter()
                    .filter(|change| !change.is_removed)
                    .map(|change| change.object)
                    .collect();
                apply_config_objects(&node, objects);
                since = Some(WatchPosition {
                    revision,
                    ..position
                });
            }
            Some(Ok(StoreResponse::RevisionExpired)) | None => since = None,
            _ => {
                since = None;
                sleep(retry_delay(&node)).await;
            }
        }
    }
}

fn apply_config_objects(node: &EntryNode, objects: Vec<StoreObject>) {
    for object in objects {
        if object.name == CONFIG_NAME {
            node.apply_config(object.spec, "store");
        }
    }
}

/// Watches the backend entries and keeps the table up to date. Never returns.
pub async fn watch_backends(node: Rc<EntryNode>) {
    let mut since: Option<WatchPosition> = None;
    loop {
        if node.follows_relays() {
            follow_relays(&node).await;
            since = node.table_position.get();
            node.table.borrow_mut().begin_watch(clock::now());
        }
        let started = clock::now();
        // After the grace period of an outage, a full listing shows which entries have not been written again.
        let grace = node.outage_grace_until.get();
        if grace != Timestamp(0) && started >= grace {
            node.outage_grace_until.set(Timestamp(0));
            since = None;
        }
        let Some(position) = since else {
            match list_all(&node, ObjectKind::Backends, false).await {
                Some((objects, position)) => {
                    let entries = objects
                        .into_iter()
                        .map(|object| (object.name, object.spec))
                        .collect::<BTreeMap<_, _>>();
                    node.store_reads.set(node.store_reads.get() + 1);
                    node.replace_table(entries, started);
                    since = Some(position);
                    node.table_position.set(since);
                }
                None => sleep(retry_delay(&node)).await,
            }
            continue;
        };
        let wait = if node.is_relay.get() {
            RELAY_WATCH_TIME
        } else {
            BACKEND_WATCH_TIME
        };
        match watch_changes(&node, ObjectKind::Backends, position, wait).await {
            Some(Ok(StoreResponse::Changes {
                changes, revision, ..
            })) => {
                node.table.borrow_mut().begin_changes(clock::now());
                node.store_reads.set(node.store_reads.get() + 1);
                for change in changes {
                    node.apply_change(change);
                }
                node.table_read_at.set(Some(started));
                node.store_read_at.set(Some(started));
                since = Some(WatchPosition {
                    revision,
                    ..position
                });
                node.table_position.set(since);
                node.publish_table();
            }
            Some(Ok(StoreResponse::RevisionExpired)) | None => since = None,
            _ => {
                since = None;
                sleep(retry_delay(&node)).await;
            }
        }
        sleep(MIN_READ_DELAY).await;
        let delay = backend_read_delay(&node).saturating_sub(MIN_READ_DELAY);
        tokio::select! {
            () = sleep(delay) => {}
            () = node.table_refresh.notified() => {}
        }
    }
}

/// Waits until this node has to read the store itself. If the lease holder reports that the store is unreachable, this
/// node checks it, since the holder needs to know whether it is for most nodes.
async fn follow_relays(node: &EntryNode) {
    let mut checked = clock::now();
    while node.follows_relays() {
        let is_requested = tokio::select! {
            () = sleep(FOLLOW_CHECK_INTERVAL) => false,
            () = node.table_refresh.notified() => node.is_store_in_doubt(),
        };
        let now = clock::now();
        let is_due = now.since(checked) >= STORE_CHECK_INTERVAL;
        if is_due && (is_requested || node.store.is_unreachable(now)) {
            checked = now;
            let call = StoreCall::Read {
                kind: ObjectKind::Config,
                name: CompactString::const_new(CONFIG_NAME),
            };
            // The outcome is recorded by the client.
            let _ = node.store.call(&call, CALL_TIMEOUT).await;
        }
    }
}

/// Delay after a failed read of the store. The many nodes of a large deployment that are no relays do not have to be the
/// first to notice that the store is back.
pub fn retry_delay(node: &EntryNode) -> Duration {
    let is_large = node.peers.borrow().known() > MAX_DIRECT_PEERS;
    if is_large && !node.is_relay.get() {
        STORE_CHECK_INTERVAL.as_duration()
    } else {
        RETRY_DELAY
    }
}

fn backend_read_delay(node: &EntryNode) -> Duration {
    let now = clock::now();
    if node.lease.borrow().held_term(now).is_some() {
        return HOLDER_READ_DELAY;
    }
    if node.is_relay.get() {
        return RELAY_READ_DELAY;
    }
    let has_live_holder = node
        .peers
        .borrow()
        .heard(now)
        .any(|record| record.heartbeat.claim.is_some());
    if has_live_holder {
        FOLLOWER_READ_DELAY
    } else {
        NO_HOLDER_READ_DELAY
    }
}

/// Stored content of a node object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct NodeBody {
    peer_address: SocketAddr,
}

/// Registers this node's address in the store and reads the addresses of the others. Never returns.
pub async fn sync_nodes(node: Rc<EntryNode>, addresses: flume::Sender<SocketAddr>) {
    // Number of restores of the store at the time of the registration, which a later one undoes.
    let mut registered_at: Option<u64> = None;
    let mut delays = INITIAL_NODE_LIST_DELAYS.into_iter();
    loop {
        let restores = node.store.restores();
        if registered_at != Some(restores)
            && register(&node).await
            && registered_at.replace(restores).is_some()
        {
            node.restore.record_rewrite("node");
        }
        let delay = delays.next();
        let may_be_stale = delay.is_none();
        if let Some((objects, _)) = list_all(&node, ObjectKind::Nodes, may_be_stale).await {
            for object in objects {
                match NodeBody::deserialize(&object.spec) {
                    Ok(body) => {
                        // The receiving task lives as long as the process, so the send cannot fail.
                        let _ = addresses.send(body.peer_address);
                    }
                    Err(error) => log::warn!(
                        "event=node_object_undecodable object={:?} error=\"{error}\"",
                        object.name
                    ),
                }
            }
        }
        let restored = node.store.restored();
        if node.store.restores() != restores {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let later_delay = if node.follows_relays() {
            FOLLOWER_NODE_LIST_DELAY
        } else {
            NODE_LIST_DELAY
        };
        tokio::select! {
            () = sleep(delay.unwrap_or(later_delay)) => {}
            () = restored => {}
        }
    }
}

async fn register(node: &EntryNode) -> bool {
    let name: CompactString = node.settings.node.to_compact_string();
    let body = NodeBody {
        peer_address: node.settings.peer_address(),
    };
    let spec = match serde_json::to_value(&body) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!("event=node_object_unencodable error=\"{error}\"");
            return false;
        }
    };
    let create = StoreCall::Create {
        kind: ObjectKind::Nodes,
        name: name.clone(),
        spec: spec.clone(),
    };
    match node.store.call(&create, CALL_TIMEOUT).await {
        Ok(StoreResponse::Object(_)) => true,
        Ok(StoreResponse::Conflict) => replace_registration(node, name, spec).await,
        _ => false,
    }
}

async fn replace_registration(node: &EntryNode, name: CompactString, spec: Value) -> bool {
    let read = StoreCall::Read {
        kind: ObjectKind::Nodes,
        name: name.clone(),
    };
    match node.store.call(&read, CALL_TIMEOUT).await {
        Ok(StoreResponse::Object(object)) if object.spec == spec => true,
        Ok(StoreResponse::Object(object)) => {
            let replace = StoreCall::Replace {
                kind: ObjectKind::Nodes,
                name,
                version: object.version,
                spec,
            };
            matches!(
                node.store.call(&replace, CALL_TIMEOUT).await,
                Ok(StoreResponse::Object(_))
            )
        }
        _ => false,
    }
}
