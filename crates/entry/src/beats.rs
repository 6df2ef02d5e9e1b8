//! Heartbeats between nodes: sends this node's state to its peers in UDP datagrams and receives theirs.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::ToCompactString;
use eyre::WrapErr;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::lease::LeaseClaim;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::lease::LeaseHandover;
use jaysaddle_fleet::leaving::LeavingServer;
use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerLimit;
use jaysaddle_fleet::peers::PeerLoad;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_fleet::peers::PeerUnserved;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::heartbeat::LeaseHandoverMessage;
use jaysaddle_wire::heartbeat::LeaseMessage;
use jaysaddle_wire::heartbeat::LeavingMessage;
use jaysaddle_wire::heartbeat::LimitMessage;
use jaysaddle_wire::heartbeat::NodeHeartbeat;
use jaysaddle_wire::heartbeat::WorkMessage;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::lease;
use crate::node::EntryNode;
use crate::store_restore::handle_restores;

/// Interval of heartbeats. Peers consider a node down after four missed ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum size of a received datagram. Heartbeats stay far below the usual MTU.
const MAX_HEARTBEAT_BYTES: usize = 16 << 10;
/// Maximum number of peers per round of heartbeats; with more peers, rounds alternate between them.
const MAX_RECIPIENTS: usize = 24;
/// Delay before the next receive after an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Addresses of all peers, from heartbeats and the store. Addresses are never removed.
pub type PeerAddresses = Rc<RefCell<BTreeSet<SocketAddr>>>;

fn build_heartbeat(node: &EntryNode) -> NodeHeartbeat {
    let now = clock::now();
    let gateway = node.gateway.borrow();
    let loads = gateway.loads();
    let unserved = node.unserved.borrow().announced(now);
    let claim = node.lease.borrow().claim(now);
    NodeHeartbeat {
        node: node.settings.node.to_string(),
        incarnation: node.incarnation.0,
        failure_domain: node.settings.failure_domain.to_string(),
        caller_address: node.settings.listen.callers.to_string(),
        peer_address: node.settings.peer_address().to_string(),
        phase: match node.phase.get() {
            PeerPhase::Starting => 0,
            PeerPhase::Serving => 1,
            PeerPhase::Stopping => 2,
        },
        config_version: node.config_version(),
        table_age_ms: node.table_age(now).as_millis(),
        is_store_unreachable: node.store.is_unreachable(now),
        lease: claim.map(|claim| LeaseMessage {
            term: claim.term.0,
            version: claim.version.0,
            remaining_ms: claim.remaining.as_millis(),
        }),
        handover: node
            .handover
            .borrow()
            .as_ref()
            .map(|handover| LeaseHandoverMessage {
                successor: handover.successor.to_string(),
                term: handover.term.0,
                version: handover.version.0,
                groups_formed: handover.groups_formed,
            }),
        load_targets: loads.iter().map(|load| load.target).collect(),
        load_counts: loads.iter().map(|load| load.requests).collect(),
        late_counts: loads.iter().map(|load| load.late).collect(),
        stalled_targets: gateway
            .stalled_groups(now)
            .into_iter()
            .map(|(number, _)| number.0)
            .collect(),
        work: gateway
            .work()
            .into_iter()
            .map(|(model, work_ms)| WorkMessage {
                model: model.to_string(),
                work_ms,
            })
            .collect(),
        target_changes: gateway.target_changes(),
        closed_targets: gateway.closed_targets(),
        unserved_fingerprints: unserved.iter().map(|attempt| attempt.fingerprint).collect(),
        unserved_times_left_ms: unserved
            .iter()
            .map(|attempt| attempt.time_left.as_millis())
            .collect(),
        limits: gateway
            .announced_limits(now)
            .into_iter()
            .map(|limit| LimitMessage {
                server: limit.server,
                version: limit.version,
                per_kilosecond: limit.limit.map(RequestLimit::per_kilosecond),
                age_ms: limit.age.as_millis(),
                sent: limit.sent,
            })
            .collect(),
        store_era: node.store.era().unwrap_or_default().0,
        latest_term: node.lease.borrow().latest_term().0,
        leaving: node
            .table
            .borrow()
            .announced_leaving(now)
            .into_iter()
            .map(|server| LeavingMessage {
                server: server.id.to_string(),
                started: server.started,
            })
            .collect(),
    }
}

fn decode_heartbeat(data: &[u8]) -> eyre::Result<PeerHeartbeat> {
    let message = NodeHeartbeat::decode(data)?;
    let work = message
        .work
        .into_iter()
        .map(|work| Ok((work.model.parse::<ModelId>()?, work.work_ms)))
        .collect::<eyre::Result<_>>()?;
    Ok(PeerHeartbeat {
        node: message.node.parse()?,
        incarnation: Incarnation(message.incarnation),
        failure_domain: message.failure_domain.parse()?,
        caller_address: message.caller_address.parse()?,
        peer_address: message.peer_address.parse()?,
        phase: match message.phase {
            1 => PeerPhase::Serving,
            2 => PeerPhase::Stopping,
            _ => PeerPhase::Starting,
        },
        config_version: message.config_version,
        table_age: TimeSpan(message.table_age_ms),
        is_store_unreachable: message.is_store_unreachable,
        claim: message.lease.map(|claim| LeaseClaim {
            term: LeaseEpoch(claim.term),
            version: ObjectVersion(claim.version),
            remaining: TimeSpan(claim.remaining_ms),
        }),
        handover: message
            .handover
            .map(|handover| {
                Ok::<_, eyre::Report>(LeaseHandover {
                    successor: handover.successor.parse()?,
                    term: LeaseEpoch(handover.term),
                    version: ObjectVersion(handover.version),
                    groups_formed: handover.groups_formed,
                })
            })
            .transpose()?,
        loads: message
            .load_targets
            .into_iter()
            .zip(message.load_counts)
            .zip(message.late_counts)
            .map(|((target, requests), late)| PeerLoad {
                target,
                requests,
                late,
            })
            .collect(),
        stalled_targets: message.stalled_targets,
        work,
        target_changes: message.target_changes,
        closed_targets: message.closed_targets,
        unserved: message
            .unserved_fingerprints
            .into_iter()
            .zip(message.unserved_times_left_ms)
            .map(|(fingerprint, time_left_ms)| PeerUnserved {
                fingerprint,
                time_left: TimeSpan(time_left_ms),
            })
            .collect(),
        limits: message
            .limits
            .into_iter()
            .map(|limit| PeerLimit {
                server: limit.server,
                version: limit.version,
                limit: limit.per_kilosecond.map(RequestLimit::from_per_kilosecond),
                age: TimeSpan(limit.age_ms),
                sent: limit.sent,
            })
            .collect(),
        store_era: StoreEra(message.store_era),
        latest_term: LeaseEpoch(message.latest_term),
        leaving: message
            .leaving
            .into_iter()
            .map(|leaving| {
                Ok(LeavingServer {
                    id: leaving.server.parse()?,
                    started: leaving.started,
                })
            })
            .collect::<eyre::Result<_>>()?,
    })
}

/// Binds the UDP socket for heartbeats.
pub async fn bind_socket(address: SocketAddr) -> eyre::Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .wrap_err_with(|| format!("cannot bind UDP socket to {address}"))
}

async fn send_round(node: &EntryNode, socket: &UdpSocket, addresses: &PeerAddresses, round: usize) {
    let own_address = node.settings.peer_address();
    let recipients: Vec<SocketAddr> = addresses
        .borrow()
        .iter()
        .copied()
        .filter(|address| *address != own_address)
        .collect();
    let heartbeat = build_heartbeat(node).encode_to_vec();
    let count = recipients.len().min(MAX_RECIPIENTS);
    for offset in 0..count {
        let recipient = recipients[(round * MAX_RECIPIENTS + offset) % recipients.len()];
        if let Err(error) = socket.send_to(&heartbeat, recipient).await {
            log::debug!("event=beat_not_sent peer={recipient} error=\"{error}\"");
        }
    }
}

/// Sends heartbeats at a fixed interval, and immediately when `heartbeat_now` is notified. Never returns.
pub async fn send_heartbeats(node: Rc<EntryNode>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    for round in 0usize.. {
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.heartbeat_now.notified() => {}
        }
        node.peers.borrow_mut().tick(clock::now());
        let count = node.peers.borrow().sharing_nodes();
        {
            let mut gateway = node.gateway.borrow_mut();
            gateway.set_node_count(u32::try_from(count).unwrap_or(u32::MAX));
            gateway.expire_limits(clock::now());
        }
        send_round(&node, &socket, &addresses, round).await;
    }
}

/// Sends a heartbeat outside the regular interval, such as before the node stops.
pub async fn send_heartbeat_now(node: &EntryNode, socket: &UdpSocket, addresses: &PeerAddresses) {
    send_round(node, socket, addresses, 0).await;
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
                lease::accept_handover(&node, &heartbeat);
                merge_limits(&node, &heartbeat);
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
