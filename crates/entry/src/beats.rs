//! Heartbeats between nodes: sends this node's state to its peers in UDP datagrams and receives theirs.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::ToCompactString;
use eyre::WrapErr;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::heartbeat_round::RoundPlanner;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::content_control;
use crate::evacuation_sync;
use crate::heartbeat_codec::decode_heartbeat;
use crate::heartbeat_codec::encode_heartbeat;
use crate::heartbeat_codec::encode_with_digest;
use crate::lease;
use crate::loop_lag::MIN_PAUSE;
use crate::node::EntryNode;
use crate::server_reach::announced_phase;
use crate::store_restore::handle_restores;

/// Interval of heartbeats. Peers consider a node down after four missed ones.
const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan(200);
/// Maximum size of a received datagram. Heartbeats stay below the usual MTU; those with a digest grow with the nodes.
const MAX_HEARTBEAT_BYTES: usize = 64 << 10;
/// Delay before the next receive after an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Addresses of all peers, from heartbeats and the store. Addresses are never removed.
pub type PeerAddresses = Rc<RefCell<BTreeSet<SocketAddr>>>;

/// Binds the UDP socket for heartbeats.
pub async fn bind_socket(address: SocketAddr) -> eyre::Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .wrap_err_with(|| format!("cannot bind UDP socket to {address}"))
}

/// This node's state for its peers.
fn own_heartbeat(node: &EntryNode, is_relay: bool) -> PeerHeartbeat {
    let now = clock::now();
    let gateway = node.gateway.borrow();
    let stalled = gateway.stalled_groups(now).into_iter();
    PeerHeartbeat {
        node: node.settings.node.clone(),
        incarnation: node.incarnation,
        failure_domain: node.settings.failure_domain.clone(),
        caller_address: node.settings.listen.callers,
        peer_address: node.settings.peer_address(),
        phase: announced_phase(node),
        config_version: node.config_version(),
        table_age: node.table_age(now),
        is_store_unreachable: node.store.is_unreachable(now),
        claim: node.lease.borrow().claim(now),
        handover: lease::announced_handover(node),
        loads: gateway.loads(),
        stalled_targets: stalled.map(|(number, _)| number.0).collect(),
        work: gateway.work(),
        target_changes: gateway.target_changes(),
        closed_targets: gateway.closed_targets(),
        unserved: node.unserved.borrow().announced(now),
        limits: gateway.announced_limits(now),
        store_era: node.store.era().unwrap_or_default(),
        latest_term: node.lease.borrow().latest_term(),
        leaving: node.table.borrow().announced_leaving(now),
        crash_facts: node
            .crashes
            .borrow()
            .announced_facts(content_control::peer_role(node), now),
        content_blocks: node.crashes.borrow().announced_blocks(now),
        usage: gateway.retry_usage(),
        processor: node.settings.processor,
        table_version: node.table_log.borrow().version(),
        is_relay,
        digest: None,
        evacuations: node.evacuations.borrow().current().cloned(),
    }
}

async fn send_round(
    node: &EntryNode,
    socket: &UdpSocket,
    addresses: &PeerAddresses,
    planner: &mut RoundPlanner,
    is_urgent: bool,
) {
    let now = clock::now();
    let is_holder = node.lease.borrow().held_term(now).is_some();
    let candidate = node.relay_candidate(now);
    let has_changed = planner.begin(&node.peers.borrow(), candidate, is_holder, is_urgent, now);
    if has_changed {
        let is_relay = planner.is_relay();
        log::info!("event=relay_role is_relay={is_relay} is_holder={is_holder}");
    }
    node.is_relay.set(planner.is_relay());
    let own = own_heartbeat(node, planner.is_relay());
    let beats = planner.beats(&node.peers.borrow(), &addresses.borrow(), &own, now);
    let plain = encode_heartbeat(&own);
    for beat in beats {
        let datagram = beat.digest.map(|digest| encode_with_digest(&plain, digest));
        let datagram = datagram.as_ref().unwrap_or(&plain);
        if let Err(error) = socket.send_to(datagram, beat.recipient).await {
            log::debug!(
                "event=beat_not_sent peer={} error=\"{error}\"",
                beat.recipient
            );
        }
    }
}

/// Sends heartbeats at a fixed interval, and immediately when `heartbeat_now` is notified. Never returns.
pub async fn send_heartbeats(node: Rc<EntryNode>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    let mut ticks = interval(HEARTBEAT_INTERVAL.as_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut planner = RoundPlanner::new(clock::now());
    let mut next_tick = clock::now();
    loop {
        let is_urgent = tokio::select! {
            _ = ticks.tick() => false,
            () = node.heartbeat_now.notified() => true,
        };
        let now = clock::now();
        let lag = now.since(next_tick);
        // After a pause of this process, an urgent heartbeat may come before the regular one.
        if !is_urgent || lag >= MIN_PAUSE {
            if node.loop_lag.record(lag) {
                node.gateway.borrow_mut().excuse_own_pause(lag, now);
            }
            node.loop_lag.record_run(HEARTBEAT_INTERVAL);
            next_tick = now + HEARTBEAT_INTERVAL;
        }
        node.peers
            .borrow_mut()
            .tick(node.is_relay.get(), clock::now());
        content_control::tick(&node);
        {
            let now = clock::now();
            let peers = node.peers.borrow();
            let mut gateway = node.gateway.borrow_mut();
            gateway.set_node_count(u32::try_from(peers.sharing_nodes()).unwrap_or(u32::MAX));
            gateway.update_retry_pool(&peers, now);
            gateway.expire_limits(now);
            gateway.update_cold_shares(&peers, now);
        }
        send_round(&node, &socket, &addresses, &mut planner, is_urgent).await;
    }
}

/// Sends a heartbeat to all nodes outside the regular interval, before the node stops.
pub async fn send_to_all(node: &EntryNode, socket: &UdpSocket, addresses: &PeerAddresses) {
    let own = own_heartbeat(node, false);
    let bytes = encode_heartbeat(&own);
    let recipients: Vec<SocketAddr> = addresses.borrow().iter().copied().collect();
    for recipient in recipients {
        if recipient == own.peer_address {
            continue;
        }
        if let Err(error) = socket.send_to(&bytes, recipient).await {
            log::debug!("event=beat_not_sent peer={recipient} error=\"{error}\"");
        }
    }
}

fn merge_limits(node: &EntryNode, heartbeat: &PeerHeartbeat) {
    let mut gateway = node.gateway.borrow_mut();
    for (server, change) in gateway.merge_limits(&heartbeat.limits, clock::now()) {
        let backend = gateway.backend_of_server(server);
        log::info!(
            "event=request_limit vm={} {change} source=peer peer={}",
            backend.map_or("-", VmId::as_str),
            heartbeat.node
        );
    }
}

/// Receives and processes heartbeats. Never returns.
pub async fn receive_heartbeats(
    node: Rc<EntryNode>,
    socket: Rc<UdpSocket>,
    addresses: PeerAddresses,
) {
    let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
    loop {
        let size = match socket.recv_from(&mut buffer).await {
            Ok((size, _)) => size,
            Err(error) => {
                log::debug!("event=beat_not_received error=\"{error}\"");
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match decode_heartbeat(&buffer[..size]) {
            Ok(heartbeat) if heartbeat.node != node.settings.node => {
                addresses.borrow_mut().insert(heartbeat.peer_address);
                node.store.record_announced_era(heartbeat.store_era);
                handle_restores(&node);
                lease::handle_lease_event(&node, LeaseEvent::TermSeen(heartbeat.latest_term));
                if let Some(claim) = heartbeat.claim {
                    lease::handle_lease_event(&node, LeaseEvent::Claimed(claim));
                    let has_target_changes =
                        node.holder_target_changes.replace(heartbeat.target_changes)
                            != heartbeat.target_changes;
                    // When the lease holder reports an outage of the store, check the store immediately: the holder
                    // keeps the lease only if the store is unreachable for a majority of nodes.
                    let should_check_store =
                        heartbeat.is_store_unreachable && !node.store.is_unreachable(clock::now());
                    if has_target_changes || should_check_store {
                        node.table_refresh.notify_one();
                    }
                }
                if heartbeat.is_relay || heartbeat.config_version > node.config_version() {
                    node.feed_check.notify_one();
                }
                lease::accept_handover(&node, &heartbeat);
                merge_limits(&node, &heartbeat);
                content_control::merge(&node, &heartbeat);
                if let Some(set) = &heartbeat.evacuations {
                    evacuation_sync::merge(&node, set, heartbeat.node.as_str());
                }
                for server in &heartbeat.leaving {
                    node.record_leaving(server, heartbeat.node.as_str());
                }
                node.peers
                    .borrow_mut()
                    .record_heartbeat(heartbeat, clock::now());
            }
            Ok(_) => {}
            Err(error) => log::debug!(
                "event=beat_undecodable bytes={} error=\"{error:#}\"",
                size.to_compact_string()
            ),
        }
    }
}

/// Adds the peer addresses that `receiver` delivers from the store.
pub async fn collect_addresses(receiver: flume::Receiver<SocketAddr>, addresses: PeerAddresses) {
    while let Ok(address) = receiver.recv_async().await {
        addresses.borrow_mut().insert(address);
    }
}
