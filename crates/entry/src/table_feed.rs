//! Keeps the configuration and the backend table up to date from peers.
//!
//! In a large deployment, only the relays read the store; the others follow a relay, whose heartbeats name the version
//! and the age of its table. A node that hears no relay with a recent table reads the store itself, as all nodes of a
//! small deployment do. Whenever a node cannot read the store, it copies from the peer with the most recent table.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jaysaddle_daemon::clock;
use jaysaddle_fleet::peers::PeerRecord;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::time::sleep;

use crate::copies::COPY_TIMEOUT;
use crate::copies::CopyConnection;
use crate::node::EntryNode;
use crate::own_pause::timeout_awake;
use crate::progress::ProgressCount;

/// Interval at which the peers' versions are compared with this node's.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two copies from one peer.
const COPY_INTERVAL: TimeSpan = TimeSpan(250);
/// Age of the backend table from which it is copied from any peer; without a relay, the store is read every 1.2 s.
const STALE_TABLE_AGE: TimeSpan = TimeSpan(1700);
/// Time after which a copy ends although it makes progress. A relay that is so slow is no use, and others may have newer data.
const MAX_COPY_TIME: TimeSpan = TimeSpan::from_secs(10);
/// Time for which a peer is not asked again after it did not respond.
const FAILED_PEER_TIME: TimeSpan = TimeSpan(2000);
/// Part of the time in which a change must be known, in percent, up to which the age of a relay's table may be to follow it.
const FOLLOW_AGE_PERCENT: u64 = 60;

impl EntryNode {
    /// Age up to which a relay's table is followed.
    fn follow_age(&self) -> TimeSpan {
        TimeSpan(self.bounds.get().drain.0 * FOLLOW_AGE_PERCENT / 100)
    }

    /// Whether a peer is a relay with a recent table.
    fn is_followable(&self, record: &PeerRecord, now: Timestamp) -> bool {
        let heartbeat = &record.heartbeat;
        let age = TimeSpan(
            heartbeat
                .table_age
                .0
                .saturating_add(now.since(record.received).0),
        );
        heartbeat.is_relay && !heartbeat.is_store_unreachable && age <= self.follow_age()
    }

    /// Whether this node follows a relay instead of reading the store.
    pub fn follows_relays(&self) -> bool {
        let now = clock::now();
        let peers = self.peers.borrow();
        !self.is_relay.get()
            && self.table_age(now) <= self.follow_age()
            && peers
                .heard(now)
                .any(|record| self.is_followable(record, now))
    }
}

/// A copy to be made.
#[derive(Clone, Copy, Debug)]
struct CopyPlan {
    peer: SocketAddr,
    wants_table: bool,
}

/// What is remembered of earlier copies.
#[derive(Default)]
struct FeedState {
    connection: Option<CopyConnection>,
    /// Bytes of the connections.
    progress: ProgressCount,
    last_copy: Timestamp,
    /// The peer that did not respond last, and until when it is not asked again.
    failed: Option<(SocketAddr, Timestamp)>,
}

/// Copies newer data from peers whenever they have some. Never returns.
pub async fn run(node: Rc<EntryNode>) {
    let mut state = FeedState::default();
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = node.feed_check.notified() => {}
        }
        let now = clock::now();
        let Some(plan) = next_copy(&node, &state, now) else {
            continue;
        };
        if now.since(state.last_copy) < COPY_INTERVAL {
            sleep(COPY_INTERVAL.as_duration()).await;
        }
        state.last_copy = clock::now();
        let progress = state.progress.clone();
        let copy = progress.timeout(COPY_TIMEOUT, copy(&node, &mut state, plan));
        let cause = match timeout_awake(MAX_COPY_TIME, copy).await.flatten() {
            Some(Ok(())) => continue,
            Some(Err(error)) => format!("{error:#}"),
            None => "timeout".to_owned(),
        };
        log::info!("event=copy_failed peer={} error=\"{cause}\"", plan.peer);
        state.connection = None;
        state.failed = Some((plan.peer, clock::now() + FAILED_PEER_TIME));
    }
}

async fn copy(node: &EntryNode, state: &mut FeedState, plan: CopyPlan) -> eyre::Result<()> {
    let reused = state.connection.take();
    let mut connection = match reused.filter(|connection| connection.peer == plan.peer) {
        Some(connection) => connection,
        None => CopyConnection::open(plan.peer, state.progress.clone()).await?,
    };
    connection.copy(node, plan.wants_table).await?;
    state.connection = Some(connection);
    Ok(())
}

/// Weight of a relay for this node, by which the nodes spread over the relays.
fn relay_weight(node: &EntryNode, record: &PeerRecord) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&node.settings.node, &record.heartbeat.node).hash(&mut hasher);
    hasher.finish()
}

/// The copy to make now; `None` if no peer has newer data.
fn next_copy(node: &EntryNode, state: &FeedState, now: Timestamp) -> Option<CopyPlan> {
    let peers = node.peers.borrow();
    let may_ask = |record: &&PeerRecord| {
        let address = record.heartbeat.peer_address;
        !state
            .failed
            .is_some_and(|(failed, until)| failed == address && now < until)
    };
    let heard: Vec<&PeerRecord> = peers.heard(now).filter(may_ask).collect();
    holder_copy(node, &heard, now)
        .or_else(|| relay_copy(node, state, &heard, now))
        .or_else(|| newest_copy(node, &heard, now))
}

/// A copy from the lease holder, which keeps its table up to date from reports while the store is unreachable.
fn holder_copy(node: &EntryNode, heard: &[&PeerRecord], now: Timestamp) -> Option<CopyPlan> {
    let mut heartbeats = heard.iter().map(|record| &record.heartbeat);
    let holder = heartbeats.find(|heartbeat| heartbeat.claim.is_some())?;
    let changes = holder.target_changes;
    let is_new = node.store.is_unreachable(now) && node.copied_target_changes.get() != changes;
    is_new.then(|| {
        node.copied_target_changes.set(changes);
        CopyPlan {
            peer: holder.peer_address,
            wants_table: true,
        }
    })
}

/// A copy from the relay that this node follows. If this node has all that the relay has, it takes over the age of the
/// relay's table instead.
fn relay_copy(
    node: &EntryNode,
    state: &FeedState,
    heard: &[&PeerRecord],
    now: Timestamp,
) -> Option<CopyPlan> {
    if node.is_relay.get() {
        return None;
    }
    let record = heard
        .iter()
        .filter(|record| node.is_followable(record, now))
        .max_by_key(|record| relay_weight(node, record))?;
    let heartbeat = &record.heartbeat;
    let connection = state.connection.as_ref();
    let copied = connection
        .filter(|connection| connection.peer == heartbeat.peer_address)
        .and_then(|connection| connection.copied);
    let has_all = copied.is_some_and(|copied| {
        copied.is_intact(node)
            && copied.incarnation == heartbeat.incarnation
            && copied.version >= heartbeat.table_version
    });
    if has_all {
        node.confirm_table(record.received - heartbeat.table_age);
        return None;
    }
    Some(CopyPlan {
        peer: heartbeat.peer_address,
        wants_table: true,
    })
}

/// A copy from the peer with the most recent table, if this node's is stale, or with the newest configuration.
fn newest_copy(node: &EntryNode, heard: &[&PeerRecord], now: Timestamp) -> Option<CopyPlan> {
    let heartbeats = || heard.iter().map(|record| &record.heartbeat);
    let newest_table = heartbeats().min_by_key(|heartbeat| heartbeat.table_age)?;
    let own_age = node.table_age(now);
    let margin = STALE_TABLE_AGE.0 / 2;
    if own_age > STALE_TABLE_AGE && newest_table.table_age.0.saturating_add(margin) < own_age.0 {
        return Some(CopyPlan {
            peer: newest_table.peer_address,
            wants_table: true,
        });
    }
    let newest_config = heartbeats().max_by_key(|heartbeat| heartbeat.config_version)?;
    (newest_config.config_version > node.config_version()).then_some(CopyPlan {
        peer: newest_config.peer_address,
        wants_table: false,
    })
}
