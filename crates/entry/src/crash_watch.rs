//! Finds out whether the process of a backend server has ended that had requests of this node lately.
//!
//! A broken connection alone is no evidence: the network or the backend server may have reset it. A process that has ended
//! leaves an address that refuses connections, or another process takes its place. One that is unreachable does not answer, and is
//! not taken for ended. The first sign may come with a request or without one: an idle connection that the process closes, or any
//! connection attempt that it refuses. `jaysaddle_gateway::end_watch` decides when connections are tried.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use jaysaddle_daemon::clock;
use jaysaddle_gateway::end_watch::EndSign;
use jaysaddle_gateway::end_watch::WatchStep;
use jaysaddle_gateway::server_runs::EndEvidence;
use jaysaddle_gateway::server_runs::RunAtEnd;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_gateway::target::ServerProcess;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::content_control::decide;
use crate::node::EntryNode;
use crate::pool::ProcessSign;
use crate::request_report::OptionalMillis;
use crate::server_reach::confirms_failure;

/// Time for which a request waits for a check, and the interval at which it looks.
const MAX_CHECK_WAIT: TimeSpan = TimeSpan(300);
const CHECK_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 64;

/// What an attempt to open a connection has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckOutcome {
    /// A process accepts connections at the address.
    Connected,
    /// The address refuses connections: the process has ended.
    Refused,
    /// Nothing answers at the address.
    Unreachable,
    /// This node reaches no backend server.
    CutOff,
}

impl fmt::Display for CheckOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            CheckOutcome::Connected => "connected",
            CheckOutcome::Refused => "refused",
            CheckOutcome::Unreachable => "unreachable",
            CheckOutcome::CutOff => "cut_off",
        })
    }
}

/// Checks whether the process of a backend server has ended, after a connection to it has broken.
pub fn check_server(node: &Rc<EntryNode>, process: &Rc<ServerProcess>) {
    handle_sign(node, process, EndSign::Closed);
}

/// Keeps a connection open to a process whose request is over, because the process may end after that.
pub fn watch_process(node: &Rc<EntryNode>, process: &Rc<ServerProcess>) {
    let is_awaited = node.crashes.borrow().is_awaited(process.number());
    if is_awaited && node.shutdown.plan().is_none() && !node.pool.has_idle(process) {
        handle_sign(node, process, EndSign::Unwatched);
    }
}

/// Handles the signs that connections of the pool give. Never returns.
pub async fn handle_signs(node: Rc<EntryNode>) {
    while let Some(ProcessSign { process, sign }) = node.pool.next_sign().await {
        handle_sign(&node, &process, sign);
    }
}

fn handle_sign(node: &Rc<EntryNode>, process: &Rc<ServerProcess>, sign: EndSign) {
    let number = process.number();
    let is_new = node
        .crashes
        .borrow_mut()
        .record_sign(number, sign, clock::now());
    if is_new {
        spawn_local(run_attempts(node.clone(), process.clone()));
    }
}

/// Waits for the check of a backend server. Returns whether its process has ended.
pub async fn has_ended(node: &Rc<EntryNode>, target: &Rc<RequestTarget>) -> bool {
    let deadline = clock::now() + MAX_CHECK_WAIT;
    while node.crashes.borrow().is_end_awaited(target.server) && clock::now() < deadline {
        sleep(CHECK_POLL_INTERVAL).await;
    }
    node.crashes.borrow().has_ended(target.server)
}

/// Makes the attempts that follow a sign, until the end is known or the process has been reached each time.
async fn run_attempts(node: Rc<EntryNode>, process: Rc<ServerProcess>) {
    let number = process.number();
    loop {
        let is_connected = node.pool.has_idle(&process);
        let step = node
            .crashes
            .borrow_mut()
            .next_attempt(number, is_connected, clock::now());
        match step {
            WatchStep::Over => return,
            WatchStep::Wait(time) => sleep(time.as_duration()).await,
            WatchStep::Connect => match attempt(&node, &process).await {
                CheckOutcome::Refused => {
                    let now = clock::now();
                    let has_ended = node.crashes.borrow_mut().confirms_refusal(number, now);
                    if has_ended {
                        record_server_end(&node, number, &process.id, EndEvidence::Refused);
                    }
                }
                CheckOutcome::Connected | CheckOutcome::Unreachable => {}
                CheckOutcome::CutOff => node.crashes.borrow_mut().end_attempts(number),
            },
        }
    }
}

async fn attempt(node: &Rc<EntryNode>, process: &ServerProcess) -> CheckOutcome {
    let outcome = match node.pool.open_new(process).await {
        Ok(pooled) => {
            // A request may use it. If the process closes it instead, that is another sign.
            node.pool.put(pooled, None);
            CheckOutcome::Connected
        }
        Err(_) if !confirms_failure(node).await => CheckOutcome::CutOff,
        Err(error) if error.is_refusal() => CheckOutcome::Refused,
        Err(_) => CheckOutcome::Unreachable,
    };
    log::info!("event=server_check vm={} outcome={outcome}", process.id);
    metrics::counter!("jaysaddle_server_checks_total", "outcome" => outcome.to_string())
        .increment(1);
    outcome
}

/// Looks for processes in whose place others run, as the table of backend servers shows.
pub fn observe_table(node: &EntryNode) {
    let replaced = node
        .crashes
        .borrow_mut()
        .observe_table(&node.table.borrow());
    for (number, id) in replaced {
        record_server_end(node, number, &id, EndEvidence::Replaced);
    }
}

fn record_server_end(node: &EntryNode, number: ServerNumber, id: &VmId, evidence: EndEvidence) {
    let now = clock::now();
    if evidence == EndEvidence::Refused {
        // The entry may have announced the end meanwhile.
        node.crashes
            .borrow_mut()
            .observe_table(&node.table.borrow());
    }
    let end = node
        .crashes
        .borrow_mut()
        .record_server_end(number, evidence, now);
    if end.runs.is_empty() {
        // The same end was found before.
        return;
    }
    let suspects = end.runs.iter().filter(|run| run.is_suspect).count();
    let is_planned = end.is_planned;
    log::info!(
        "event=server_ended vm={id} evidence={evidence} planned={is_planned} age_ms={} runs={} suspects={suspects}",
        end.age.as_millis(),
        end.runs.len()
    );
    metrics::counter!("jaysaddle_server_ends_total", "planned" => is_planned.to_string())
        .increment(1);
    for run in &end.runs {
        log::info!(
            "event=run_at_server_end request={} vm={id} wrote_ms={} over={} suspect={} content={}",
            run.content.request,
            OptionalMillis(run.wrote_for),
            run.was_over,
            run.is_suspect,
            RunContent(run)
        );
    }
    decide(node);
}

/// Formats the content of a request, without spaces.
struct RunContent<'a>(&'a RunAtEnd);

impl fmt::Display for RunContent<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let items = &self.0.content.items;
        // The whole request and its path are the last items.
        let (parts, whole) = items.split_at(items.len().saturating_sub(2));
        let logged = parts.iter().take(MAX_LOGGED_PARTS).chain(whole);
        for (position, item) in logged.enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(f, "{separator}{item}={}", item.key)?;
        }
        match parts.len().saturating_sub(MAX_LOGGED_PARTS) {
            0 => Ok(()),
            omitted => write!(f, ",omitted={omitted}"),
        }
    }
}
