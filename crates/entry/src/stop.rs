//! Graceful shutdown of a node.

use std::rc::Rc;

use jaysaddle_daemon::clock;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_gateway::shutdown::ShutdownPlan;
use jaysaddle_gateway::shutdown::ShutdownSettings;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use log::Level;
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::beats;
use crate::beats::PeerAddresses;
use crate::lease;
use crate::node::EntryNode;
use crate::shutdown::ShutdownStage;

/// Interval at which a stop checks its progress.
const CHECK_INTERVAL: TimeSpan = TimeSpan(20);
/// Time for writing the responses that have arrived during a pause of this process.
const LATE_RESPONSE_TIME: TimeSpan = TimeSpan(50);

/// Withdraws from the directory, releases or hands over the lease, and ends all connections after the open requests
/// have finished, before the platform kills the process.
pub async fn stop(node: Rc<EntryNode>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    let noticed = clock::now();
    // The platform counts from the signal, which may have arrived in a pause of this process.
    let signalled = node.loop_lag.earliest_event_time(noticed);
    log::info!(
        "event=stopping open_requests={} late_ms={}",
        node.open_requests.get(),
        noticed.since(signalled).as_millis()
    );
    node.phase.set(PeerPhase::Stopping);
    let settings = ShutdownSettings::default();
    let plan = ShutdownPlan::new(settings, signalled, noticed, node.bounds.get().stop_grace);
    node.shutdown.begin(plan, signalled);
    node.gateway.borrow_mut().release_limits();
    lease::resign(&node);
    beats::send_to_all(&node, &socket, &addresses).await;
    wait_until(&node, plan.withdrawn_until, || false).await;
    node.shutdown.enter(ShutdownStage::Draining);
    wait_until(&node, plan.closing_from, || node.open_requests.get() == 0).await;
    node.shutdown.enter(ShutdownStage::Closing);
    wait_until(&node, plan.exit_by, || has_closed(&node)).await;
    // Once, so that a process that is slow all the time exits nevertheless.
    let catch_up_until = node.loop_lag.catch_up_until(clock::now());
    wait_until(&node, catch_up_until + LATE_RESPONSE_TIME, || {
        has_closed(&node)
    })
    .await;
    let open_requests = node.open_requests.get();
    let open_connections = node.caller_connections.get();
    node.shutdown.enter(ShutdownStage::Ended);
    // The tasks of the connections end with their next poll, and log the requests that are cut.
    while node.caller_connections.get() > 0 {
        yield_now().await;
    }
    let shutdown = &node.shutdown;
    let level = if shutdown.cut_requests() > 0 {
        Level::Warn
    } else {
        Level::Info
    };
    log::log!(
        level,
        "event=stopped open_requests={open_requests} open_connections={open_connections} \
         connections_while_stopping={} requests_while_stopping={} cut_requests={} after_ms={}",
        shutdown.connections(),
        shutdown.requests(),
        shutdown.cut_requests(),
        clock::now().since(signalled).as_millis()
    );
}

/// Whether all listeners and connections have ended.
fn has_closed(node: &EntryNode) -> bool {
    node.shutdown.listeners() == 0
        && node.caller_connections.get() == 0
        && node.info_connections.get() == 0
}

/// Waits until `limit`, or until `is_done` holds.
async fn wait_until(node: &EntryNode, limit: Timestamp, is_done: impl Fn() -> bool) {
    while clock::now() < limit && !is_done() {
        sleep(CHECK_INTERVAL.as_duration()).await;
        node.loop_lag.record_run(CHECK_INTERVAL);
    }
}
