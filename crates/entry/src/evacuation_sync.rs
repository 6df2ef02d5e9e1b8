//! Reads evacuations from the store, takes them over from peers, and applies them.

use std::collections::BTreeSet;
use std::rc::Rc;

use compact_str::CompactString;
use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::evacuation::EvacuationSet;
use jaysaddle_fleet::evacuation::MAX_EVACUATED;
use jaysaddle_gateway::gateway::ColdNotice;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::StoreRevision;
use tokio::time::sleep;

use crate::node::EntryNode;
use crate::store_sync::CONFIG_WATCH_TIME;
use crate::store_sync::FOLLOW_CHECK_INTERVAL;
use crate::store_sync::WatchPosition;
use crate::store_sync::list_all;
use crate::store_sync::retry_delay;
use crate::store_sync::watch_changes;

/// Logs backend servers that were found to be cold.
pub fn report_cold(notices: &[ColdNotice], source: &str) {
    let now = clock::now();
    for notice in notices {
        log::info!(
            "event=server_cold vm={} for_ms={} source={source}",
            notice.backend,
            notice.until.since(now).as_millis()
        );
    }
}

/// Takes over evacuations that were read from the store or received from a peer, and tells the peers at once what is new.
pub fn merge(node: &EntryNode, set: &EvacuationSet, origin: &str) {
    let now = clock::now();
    let mut evacuations = node.evacuations.borrow_mut();
    let Some(change) = evacuations.merge(set, now) else {
        return;
    };
    log::info!(
        "event=evacuation {change} revision={} origin={origin}",
        set.revision
    );
    metrics::counter!("jaysaddle_evacuation_changes_total").increment(1);
    let notices = node.gateway.borrow_mut().set_evacuations(&evacuations, now);
    report_cold(&notices, "evacuation_lifted");
    node.heartbeat_now.notify_one();
}

/// Names of the objects in the store, and the position from which a watch continues.
struct ReadNames {
    names: BTreeSet<CompactString>,
    position: WatchPosition,
}

/// Lists the evacuations and applies them; `None` if the store does not answer.
async fn list(node: &EntryNode) -> Option<ReadNames> {
    let (objects, position) = list_all(node, ObjectKind::Evacuations, false).await?;
    let names = objects.into_iter().map(|object| object.name).collect();
    let mut read = ReadNames { names, position };
    if position.revision == StoreRevision(0) {
        // The store knows no such kind, and states no revision. What it held before is older than this.
        let known = node.evacuations.borrow();
        let known = known.current().map_or(0, |set| set.revision.0);
        read.position.revision = StoreRevision(known + 1);
    }
    apply(node, &read);
    Some(ReadNames { position, ..read })
}

fn apply(node: &EntryNode, read: &ReadNames) {
    let mut domains = BTreeSet::new();
    for name in read.names.iter().take(MAX_EVACUATED) {
        match name.parse::<FailureDomainId>() {
            Ok(domain) => {
                domains.insert(domain);
            }
            Err(error) => {
                log::warn!("event=evacuation_undecodable object={name:?} error=\"{error}\"");
                metrics::counter!("jaysaddle_evacuations_undecodable_total").increment(1);
            }
        }
    }
    let set = EvacuationSet {
        era: node.store.era().unwrap_or_default(),
        revision: read.position.revision,
        domains,
    };
    merge(node, &set, "store");
}

/// Reads the evacuations, if the settings ask for them. Returns whether they are known.
pub async fn read_evacuations(node: &EntryNode) -> bool {
    node.bounds.get().evacuation.is_none() || list(node).await.is_some()
}

/// Watches the evacuations and applies changes, while the settings ask for them and this node reads the store itself.
/// Never returns.
pub async fn watch(node: Rc<EntryNode>) {
    let mut read: Option<ReadNames> = None;
    loop {
        let is_wanted = node.bounds.get().evacuation.is_some() && node.config_version() > 0;
        if !is_wanted || node.follows_relays() {
            read = None;
            sleep(FOLLOW_CHECK_INTERVAL).await;
            continue;
        }
        let Some(mut known) = read.take() else {
            read = list(&node).await;
            if read.is_none() {
                sleep(retry_delay(&node)).await;
            }
            continue;
        };
        let kind = ObjectKind::Evacuations;
        match watch_changes(&node, kind, known.position, CONFIG_WATCH_TIME).await {
            Some(Ok(StoreResponse::Changes {
                changes, revision, ..
            })) => {
                let has_changes = !changes.is_empty();
                for change in changes {
                    if change.is_removed {
                        known.names.remove(&change.object.name);
                    } else {
                        known.names.insert(change.object.name);
                    }
                }
                known.position.revision = revision;
                if has_changes {
                    apply(&node, &known);
                }
                read = Some(known);
            }
            Some(Ok(StoreResponse::RevisionExpired)) | None => {}
            _ => sleep(retry_delay(&node)).await,
        }
    }
}
