//! Finds out whether this node reaches backend servers at all, and what follows if it does not.
//!
//! A node that is cut off from all of them while peers are not leaves the directory, gives the controller's lease up, draws no
//! conclusions about backend servers, and passes requests on to its peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_gateway::server_reach::ReachChange;
use jaysaddle_gateway::server_reach::RoundResult;
use jaysaddle_gateway::server_reach::ServerReach;
use jaysaddle_gateway::server_reach::round_servers;
use jaysaddle_gateway::silence::DataWait;
use jaysaddle_types::units::TimeSpan;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::lease::handle_lease_event;
use crate::node::EntryNode;

/// Time for which a connection attempt of a round may take.
const ATTEMPT_TIMEOUT: TimeSpan = TimeSpan(250);
/// Number of servers that a round tries first, and the time without an answer after which it tries the others.
const FIRST_SERVERS: usize = 2;
const SILENCE_TIME: Duration = Duration::from_millis(60);
/// Number of rounds that show whether a failure concerns a single server: the one under way may have begun before it.
const MAX_ROUNDS: usize = 2;
/// Time for which a new connection must stay open, because some cuts reset connections only after they were opened.
const RESET_TIME: Duration = Duration::from_millis(30);

/// What this node knows of its way to the backend servers, and the round under way.
#[derive(Debug, Default)]
pub struct ReachMonitor {
    state: RefCell<ServerReach>,
    round_end: Notify,
    turn: Cell<usize>,
}

impl ReachMonitor {
    /// Records that data of a backend server has arrived.
    pub fn record_data(&self) {
        self.state.borrow_mut().record_data(clock::now());
    }

    /// Whether it is not known at the moment whether failures concern single servers.
    pub fn is_in_doubt(&self) -> bool {
        let state = self.state.borrow();
        state.is_cut_off() || state.is_round_under_way()
    }

    /// Whether the node reaches no server.
    pub fn is_cut_off(&self) -> bool {
        self.state.borrow().is_cut_off()
    }
}

/// Whether this node reaches no backend server, while other nodes do.
pub fn is_isolated(node: &EntryNode) -> bool {
    node.reach.is_cut_off() && {
        let peers = node.peers.borrow();
        let mut live = peers.live(clock::now());
        live.any(|record| record.heartbeat.phase == PeerPhase::Serving)
    }
}

/// Phase that this node announces to its peers and in the directory.
pub fn announced_phase(node: &EntryNode) -> PeerPhase {
    match node.phase.get() {
        PeerPhase::Serving if node.reach.is_cut_off() => PeerPhase::CutOff,
        phase => phase,
    }
}

/// Whether a failure of a backend server that was noticed just now concerns that server, rather than this node. Waits until that is
/// known.
pub async fn confirms_failure(node: &Rc<EntryNode>) -> bool {
    let failed = clock::now();
    for _ in 0..MAX_ROUNDS {
        record_opened(node);
        if node.reach.state.borrow().has_reached_since(failed) {
            return true;
        }
        let is_first = node.reach.state.borrow_mut().begin_round(clock::now());
        if is_first {
            run_round(node).await;
        } else {
            // That round may have begun before the failure.
            node.reach.round_end.notified().await;
        }
        if node.reach.is_cut_off() {
            break;
        }
    }
    !is_isolated(node)
}

/// Looks into the failure of a backend server at the next tick, unless a connection is opened until then.
pub fn suspect(node: &EntryNode) {
    let mut state = node.reach.state.borrow_mut();
    state.record_failure(clock::now());
}

fn record_opened(node: &EntryNode) {
    if let Some(opened) = node.pool.last_opened() {
        node.reach.state.borrow_mut().record_opened(opened);
    }
}

/// Begins a round if one is due. Called at a regular interval.
pub fn tick(node: &Rc<EntryNode>) {
    let now = clock::now();
    record_opened(node);
    let is_due = {
        let mut state = node.reach.state.borrow_mut();
        if node.open_requests.get() == 0 {
            state.record_data(now);
        }
        state.needs_round(now) && state.begin_round(now)
    };
    if is_due {
        let node = node.clone();
        spawn_local(async move { run_round(&node).await });
    }
}

/// Tries to open connections to servers in different failure domains. The caller has begun the round.
async fn run_round(node: &Rc<EntryNode>) {
    let servers: Vec<(SocketAddr, String)> = {
        let table = node.table.borrow();
        let rows = table.rows();
        rows.map(|row| {
            let domain = row.entry.failure_domain.to_string();
            (row.entry.address, domain)
        })
        .collect()
    };
    let count = servers.len();
    let turn = node.reach.turn.get();
    node.reach.turn.set(turn.wrapping_add(1));
    let chosen = round_servers(servers, turn);
    let was_cut_off = node.reach.is_cut_off();
    let mut result = RoundResult {
        tried: chosen.len(),
        ..RoundResult::default()
    };
    let mut waiting = chosen;
    let mut attempts = FuturesUnordered::new();
    let mut next = waiting.split_off(waiting.len().saturating_sub(FIRST_SERVERS));
    loop {
        attempts.extend(next.drain(..).map(|address| try_server(node, address)));
        let attempt = match timeout(SILENCE_TIME, attempts.next()).await {
            Ok(Some(attempt)) => attempt,
            Ok(None) if waiting.is_empty() => break,
            Ok(None) | Err(_) => {
                next.append(&mut waiting);
                continue;
            }
        };
        match attempt {
            ReachAttempt::Reached => result.reached += 1,
            ReachAttempt::Failed => {}
            ReachAttempt::Interrupted => result.was_interrupted = true,
        }
        // One server suffices to show that the node is not cut off; for its return, most have to answer.
        if result.reached > 0 && !was_cut_off {
            break;
        }
    }
    let now = clock::now();
    let change = node.reach.state.borrow_mut().end_round(result, count, now);
    node.reach.round_end.notify_waiters();
    if let Some(change) = change {
        handle_change(node, change, result);
    }
    release_lease_if_isolated(node);
}

enum ReachAttempt {
    Reached,
    Failed,
    Interrupted,
}

async fn try_server(node: &Rc<EntryNode>, address: SocketAddr) -> ReachAttempt {
    let began = clock::now();
    let connecting = node.pool.connector().connect(address);
    match timeout(ATTEMPT_TIMEOUT.as_duration(), connecting).await {
        Ok(Ok(mut stream)) => match timeout(RESET_TIME, stream.read_u8()).await {
            Ok(_) => ReachAttempt::Failed,
            Err(_) => ReachAttempt::Reached,
        },
        Ok(Err(_)) => ReachAttempt::Failed,
        Err(_) => {
            let wait = DataWait {
                planned: ATTEMPT_TIMEOUT,
                actual: clock::now().since(began),
            };
            if wait.was_interrupted() {
                ReachAttempt::Interrupted
            } else {
                ReachAttempt::Failed
            }
        }
    }
}

fn handle_change(node: &Rc<EntryNode>, change: ReachChange, result: RoundResult) {
    let RoundResult { tried, reached, .. } = result;
    let state = match change {
        ReachChange::CutOff => "cut_off",
        ReachChange::Returned => "returned",
    };
    log::warn!(
        "event=server_reach state={state} tried={tried} reached={reached} isolated={}",
        is_isolated(node)
    );
    metrics::counter!("jaysaddle_server_reach_changes_total", "state" => state).increment(1);
    node.heartbeat_now.notify_one();
}

/// Gives the lease up if peers reach servers and this node does not, since its controller can neither see nor order them.
pub fn release_lease_if_isolated(node: &Rc<EntryNode>) {
    let is_held = node.lease.borrow().held_term(clock::now()).is_some();
    if is_held && is_isolated(node) {
        log::warn!("event=lease_released reason=cut_off");
        handle_lease_event(node, LeaseEvent::Release);
    }
}
