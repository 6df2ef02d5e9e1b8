//! Graceful shutdown of a node.

use std::rc::Rc;
use std::time::Duration;

use jaysaddle_daemon::clock;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_gateway::shutdown::ShutdownPlan;
use jaysaddle_gateway::shutdown::ShutdownSettings;
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::beats;
use crate::beats::PeerAddresses;
use crate::lease;
use crate::node::EntryNode;
use crate::shutdown::ShutdownStage;

/// Interval at which the number of open requests is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last responses to be written to their sockets.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Withdraws from the directory, releases or hands over the lease, and waits for the open requests to finish.
pub async fn stop(node: Rc<EntryNode>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    let started = clock::now();
    log::info!("event=stopping open_requests={}", node.open_requests.get());
    node.phase.set(PeerPhase::Stopping);
    let settings = ShutdownSettings::default();
    let plan = ShutdownPlan::new(settings, started, node.bounds.get().stop_grace);
    node.shutdown.begin(plan, started);
    node.gateway.borrow_mut().release_limits();
    lease::resign(&node);
    beats::send_heartbeat_now(&node, &socket, &addresses).await;
    loop {
        let now = clock::now();
        if now >= plan.withdrawn_until {
            node.stopping.notify_waiters();
            if node.open_requests.get() == 0 || now >= plan.exit_by {
                break;
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
    sleep(RESPONSE_FLUSH_TIME).await;
    let open_requests = node.open_requests.get();
    let open_connections = node.caller_connections.get();
    node.shutdown.enter(ShutdownStage::Ended);
    // The tasks of the connections end with their next poll, and log the requests that are cut.
    while node.caller_connections.get() > 0 {
        yield_now().await;
    }
    let shutdown = &node.shutdown;
    log::info!(
        "event=stopped open_requests={open_requests} open_connections={open_connections} \
         connections_while_stopping={} requests_while_stopping={} cut_requests={} after_ms={}",
        shutdown.connections(),
        shutdown.requests(),
        shutdown.cut_requests(),
        clock::now().since(started).as_millis()
    );
}
