//! Runs the fleet controller and carries out its effects.

use std::rc::Rc;
use std::time::Duration;

use jaysaddle_daemon::clock;
use jaysaddle_fleet::controller::FleetEffect;
use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::controller::FleetView;
use jaysaddle_fleet::controller::NodeTraffic;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_gateway::target::TargetNumber;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::backend_calls;
use crate::gauges;
use crate::lease::handle_lease_event;
use crate::lease::is_store_unreachable_for_majority;
use crate::lease::lease_rank;
use crate::lease::observe_reported_terms;
use crate::node::EntryNode;
use crate::server_reach;

/// Interval at which the lease and the controller are driven.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Drives the lease and the controller at a fixed interval. Never returns.
pub async fn run(node: Rc<EntryNode>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        node.pool.close_expired();
        if node.phase.get() == PeerPhase::Stopping {
            continue;
        }
        // Rounds that begin now do not keep the controller from its work, or frequent failures would.
        let is_in_doubt = node.reach.is_in_doubt();
        server_reach::tick(&node);
        server_reach::release_lease_if_isolated(&node);
        observe_reported_terms(&node);
        let rank = lease_rank(&node);
        let now = clock::now();
        let is_store_unreachable = node.store.is_unreachable(now);
        let tick = LeaseEvent::Tick {
            rank,
            is_store_unreachable: is_store_unreachable_for_majority(&node),
        };
        if !server_reach::is_isolated(&node) {
            handle_lease_event(&node, tick);
        }
        handle_fleet_event(&node, FleetEvent::StoreUnreachable(is_store_unreachable));
        // Every node tracks demand, so that the next lease holder has the averages when it acquires the lease.
        handle_fleet_event(&node, FleetEvent::Traffic(collect_traffic(&node)));
        let evacuated = node.evacuations.borrow().domains().cloned().collect();
        handle_fleet_event(&node, FleetEvent::Evacuated(evacuated));
        let limited = node.gateway.borrow().limited_leaders();
        handle_fleet_event(&node, FleetEvent::Limited(limited));
        if node.lease.borrow().held_term(clock::now()).is_none() {
            continue;
        }
        // What the node sees of backend servers meanwhile may be its own failure.
        if is_in_doubt {
            continue;
        }
        let paused = node.gateway.borrow().paused_servers(clock::now());
        handle_fleet_event(&node, FleetEvent::Paused(paused));
        for id in stalled_leaders(&node) {
            handle_fleet_event(&node, FleetEvent::LeaderStalled { id });
        }
        handle_fleet_event(&node, FleetEvent::Tick);
        publish_closed_groups(&node);
    }
}

fn stalled_leaders(node: &EntryNode) -> Vec<VmId> {
    let now = clock::now();
    let gateway = node.gateway.borrow();
    let mut leaders: Vec<VmId> = gateway
        .stalled_groups(now)
        .into_iter()
        .map(|(_, id)| id)
        .collect();
    for record in node.peers.borrow().heard(now) {
        for number in &record.heartbeat.stalled_targets {
            if let Some(id) = gateway.backend_of(TargetNumber(*number)) {
                leaders.push(id.clone());
            }
        }
    }
    leaders.sort();
    leaders.dedup();
    leaders
}

/// Updates the gateway with the groups that accept no new requests, and sends a heartbeat to notify the peers.
fn publish_closed_groups(node: &EntryNode) {
    let leaders = node.controller.borrow().closed_leaders();
    let mut gateway = node.gateway.borrow_mut();
    let before = gateway.closed_targets().len();
    gateway.set_closed_leaders(&leaders);
    if gateway.closed_targets().len() > before {
        node.heartbeat_now.notify_one();
    }
}

/// Cumulative work of callers' requests at this node and its live peers.
fn collect_traffic(node: &EntryNode) -> Vec<NodeTraffic> {
    let own = NodeTraffic {
        node: NodeKey {
            id: node.settings.node.clone(),
            incarnation: node.incarnation,
        },
        work: node.gateway.borrow().work(),
    };
    let peers = node.peers.borrow();
    let others = peers.heard(clock::now()).map(|record| NodeTraffic {
        node: NodeKey {
            id: record.heartbeat.node.clone(),
            incarnation: record.heartbeat.incarnation,
        },
        work: record.heartbeat.work.clone(),
    });
    others.chain([own]).collect()
}

/// Feeds an event to the controller and carries out the resulting effects.
pub fn handle_fleet_event(node: &Rc<EntryNode>, event: FleetEvent) {
    let Some(config) = node.config.borrow().clone() else {
        // Without a configuration no model is known, so only the lease events are processed.
        if let FleetEvent::Acquired(_) | FleetEvent::Lost = event {
            let table = node.table.borrow();
            let empty = jaysaddle_types::serving::ServingConfig::default();
            let view = FleetView {
                table: &table,
                config: &empty,
                is_table_current: false,
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
            is_table_current: clock::now() >= node.outage_grace_until.get(),
        };
        node.controller.borrow_mut().step(event, view, clock::now())
    };
    for effect in effects {
        match effect {
            FleetEffect::LogDecision(text) => log::info!("event=placement {text}"),
            FleetEffect::ReportStats(stats) => {
                log::info!("event=placement decision=summary {stats}");
                gauges::publish_fleet(&stats);
            }
            FleetEffect::Order {
                id,
                address,
                order,
                order_count,
            } => {
                tokio::task::spawn_local(backend_calls::send_order(
                    node.clone(),
                    id,
                    address,
                    order,
                    order_count,
                ));
            }
            FleetEffect::Probe {
                id,
                address,
                is_repeated,
            } => {
                let probe = backend_calls::probe(node.clone(), id, address, is_repeated);
                tokio::task::spawn_local(probe);
            }
        }
    }
}
