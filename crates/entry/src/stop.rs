//! The planned stop of a node.

use std::rc::Rc;
use std::time::Duration;

use jaysaddle_daemon::clock;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_types::units::TimeSpan;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::beats;
use crate::beats::PeerAddresses;
use crate::lease;
use crate::node::EntryNode;

/// Time for which the node still takes new connections of callers that have its address. Some callers keep an
/// answer of the directory for three times its lifetime.
const LINGER: TimeSpan = TimeSpan(3300);
/// Time kept back before the platform ends the process.
const EXIT_MARGIN: TimeSpan = TimeSpan(400);
/// Step at which the end of the open requests is looked for.
const STEP: Duration = Duration::from_millis(50);
/// Time for the last answers to leave the process.
const FLUSH: Duration = Duration::from_millis(100);

/// Leaves the directory, hands over the lease, finishes the open requests and returns.
pub async fn stop(node: Rc<EntryNode>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    let started = clock::now();
    log::info!("event=stopping open_requests={}", node.open_requests.get());
    node.phase.set(PeerPhase::Stopping);
    lease::resign(&node);
    beats::send_now(&node, &socket, &addresses).await;
    let limit = TimeSpan(node.bounds.get().stop_grace.0.saturating_sub(EXIT_MARGIN.0));
    loop {
        let elapsed = clock::now().since(started);
        if elapsed >= LINGER {
            node.stopping.notify_waiters();
            if node.open_requests.get() == 0 || elapsed >= limit {
                break;
            }
        }
        sleep(STEP).await;
    }
    sleep(FLUSH).await;
    log::info!(
        "event=stopped open_requests={} after_ms={}",
        node.open_requests.get(),
        clock::now().since(started).as_millis()
    );
}
