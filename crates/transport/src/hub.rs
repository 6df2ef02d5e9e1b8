//! Owns all connections and executes commands.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jaysaddle_wire::messages::PeerMessage;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::command::TransportCommand;
use crate::command::TransportEvent;
use crate::link::LinkActivity;
use crate::link::LinkContext;
use crate::link::LinkEnd;
use crate::link::LinkReport;
use crate::link::LinkTask;
use crate::telemetry;

/// Delay after a failed accept. Without it, a persistent failure such as a lack of file descriptors
/// would keep the thread in a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time limit for sending queued messages when the transport stops.
const STOP_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// State that the hub keeps for a connection.
#[derive(Debug)]
struct LinkEntry {
    /// Remote socket address; has an ephemeral port if the connection was accepted.
    remote: SocketAddr,
    /// Address that the peer listens on; `None` until the handshake of an accepted connection.
    peer: Option<SocketAddr>,
    outgoing: flume::Sender<PeerMessage>,
    /// Receiver of the task's queue, to recover messages that it has not sent.
    queue: flume::Receiver<PeerMessage>,
    activity: Rc<LinkActivity>,
    task: JoinHandle<()>,
}

/// Owner of all connections.
///
/// # Invariants
///
/// `link_by_peer` maps a peer's listen address to a link in `links` with that peer. `handshaking`
/// holds, oldest first, the links in `links` whose peer has not been identified yet.
#[derive(Debug)]
pub(crate) struct LinkHub {
    context: LinkContext,
    reports: flume::Receiver<LinkReport>,
    links: HashMap<u64, LinkEntry>,
    link_by_peer: HashMap<SocketAddr, u64>,
    handshaking: VecDeque<u64>,
    next_id: u64,
}

impl LinkHub {
    pub(crate) fn new(context: LinkContext, reports: flume::Receiver<LinkReport>) -> Self {
        Self {
            context,
            reports,
            links: HashMap::new(),
            link_by_peer: HashMap::new(),
            handshaking: VecDeque::new(),
            next_id: 0,
        }
    }

    /// Runs until the stop command, or until the sender of commands is dropped.
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        commands: flume::Receiver<TransportCommand>,
    ) {
        let reports = self.reports.clone();
        loop {
            tokio::select! {
                // Reports have priority: the reply to a message must use the connection that the
                // message arrived on, which a report sent before the message registers.
                biased;
                Ok(report) = reports.recv_async() => self.handle_report(report),
                command = commands.recv_async() => match command {
                    Ok(TransportCommand::Send { to, message }) => self.send(to, message),
                    Ok(TransportCommand::Reconnect { to }) => self.reconnect(to),
                    Ok(TransportCommand::Stop) | Err(_) => break,
                },
                accepted = listener.accept() => self.accept(accepted).await,
            }
            telemetry::set_connections(self.links.len());
        }
        self.stop().await;
    }

    async fn accept(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let (stream, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::error!("cannot accept a peer connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                return;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(
                "closing the peer connection from {remote}: cannot set TCP_NODELAY: {error}"
            );
            return;
        }
        self.evict_idle_link();
        // The oldest connection is closed, not the new one: a peer completes the handshake within a
        // round trip, so a flood of connections that send nothing cannot lock out peers.
        if self.handshaking.len() >= self.context.settings.max_pending_handshakes
            && let Some(oldest) = self.handshaking.pop_front()
            && let Some(entry) = self.remove_link(oldest)
        {
            let detail = "too many connections without a first frame";
            let rejections = &self.context.rejections;
            rejections.record("greeting_flood", entry.remote, detail);
        }
        let id = self.spawn_link(remote, None, |task| {
            spawn_local(task.accept(stream, remote))
        });
        self.handshaking.push_back(id);
    }

    fn spawn_link(
        &mut self,
        remote: SocketAddr,
        peer: Option<SocketAddr>,
        spawn: impl FnOnce(LinkTask) -> JoinHandle<()>,
    ) -> u64 {
        self.next_id += 1;
        let id = self.next_id;
        let (outgoing, queue) = flume::bounded(self.context.settings.queue_frames);
        let activity = LinkActivity::start();
        let task = spawn(LinkTask {
            id,
            context: self.context.clone(),
            outgoing: queue.clone(),
            activity: Rc::clone(&activity),
        });
        let entry = LinkEntry {
            remote,
            peer,
            outgoing,
            queue,
            activity,
            task,
        };
        self.links.insert(id, entry);
        id
    }

    /// Closes the connection that has been idle longest if the connection limit is reached.
    fn evict_idle_link(&mut self) {
        if self.links.len() < self.context.settings.max_connections {
            return;
        }
        let oldest = self
            .links
            .iter()
            .min_by_key(|(_, entry)| entry.activity.last_message_at())
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            log::warn!(
                "connection limit reached; closing the peer connection that has been idle longest"
            );
            self.remove_link(id);
        }
    }

    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        let id = match self.link_by_peer.get(&to) {
            Some(id) => *id,
            None => self.dial(to),
        };
        let Some(entry) = self.links.get(&id) else {
            return;
        };
        if entry.outgoing.try_send(message).is_err() {
            log::warn!("dropping a message to {to}: the send queue is full");
            telemetry::count_dropped(1, "queue_full");
            self.report_failed(to);
        }
    }

    fn dial(&mut self, to: SocketAddr) -> u64 {
        self.evict_idle_link();
        let id = self.spawn_link(to, Some(to), |task| spawn_local(task.dial(to)));
        self.link_by_peer.insert(to, id);
        id
    }

    /// Closes the connection with `to` and sends its queued messages over a new one.
    fn reconnect(&mut self, to: SocketAddr) {
        if let Some(id) = self.link_by_peer.get(&to).copied()
            && let Some(entry) = self.remove_link(id)
        {
            self.resend_queued(to, &entry);
        }
    }

    fn resend_queued(&mut self, to: SocketAddr, entry: &LinkEntry) {
        for message in entry.queue.try_iter() {
            self.send(to, message);
        }
    }

    /// Removes a connection from all tables and closes it.
    fn remove_link(&mut self, id: u64) -> Option<LinkEntry> {
        let entry = self.links.remove(&id)?;
        entry.task.abort();
        self.handshaking.retain(|link| *link != id);
        if let Some(peer) = entry.peer
            && self.link_by_peer.get(&peer) == Some(&id)
        {
            self.link_by_peer.remove(&peer);
        }
        Some(entry)
    }

    fn handle_report(&mut self, report: LinkReport) {
        match report {
            LinkReport::HandshakeCompleted { id, peer } => self.handle_handshake(id, peer),
            LinkReport::Ended { id, end } => self.handle_end(id, &end),
        }
    }

    fn handle_handshake(&mut self, id: u64, peer: SocketAddr) {
        self.handshaking.retain(|link| *link != id);
        if let Some(entry) = self.links.get_mut(&id) {
            entry.peer = Some(peer);
            // A connection that this node opened to the peer remains the one used for sending.
            self.link_by_peer.entry(peer).or_insert(id);
        }
    }

    fn handle_end(&mut self, id: u64, end: &LinkEnd) {
        let Some(entry) = self.remove_link(id) else {
            return;
        };
        let Some(peer) = entry.peer else {
            return;
        };
        match end {
            LinkEnd::Idle | LinkEnd::Stopped => {}
            LinkEnd::ClosedByPeer if !entry.activity.has_unanswered() => {}
            LinkEnd::ConnectFailed(_) => {
                log::info!("peer {peer}: {end}");
                telemetry::count_dropped(entry.queue.len(), "connect_failed");
                self.report_failed(peer);
                return;
            }
            _ => {
                log::info!("replacing the connection with peer {peer}: {end}");
                self.report_failed(peer);
            }
        }
        self.resend_queued(peer, &entry);
    }

    fn report_failed(&self, to: SocketAddr) {
        let event = TransportEvent::Failed { to };
        // Waiting for the event channel could deadlock, because its reader may be waiting for the
        // hub. A lost event only delays detection until a timeout of the daemon.
        if self.context.events.try_send(event).is_err() {
            log::warn!(
                "event channel is full or closed; a failed connection to {to} is not reported"
            );
        }
    }

    async fn stop(mut self) {
        let entries: Vec<LinkEntry> = self.links.drain().map(|(_, entry)| entry).collect();
        let mut tasks = Vec::with_capacity(entries.len());
        for entry in entries {
            // A task whose queue has no sender ends once the queue is sent.
            drop(entry.outgoing);
            match entry.peer {
                Some(_) => tasks.push(entry.task),
                None => entry.task.abort(),
            }
        }
        let flush = async {
            for task in tasks {
                if let Err(error) = task.await {
                    log::debug!("task of a peer connection failed: {error}");
                }
            }
        };
        if timeout(STOP_FLUSH_TIMEOUT, flush).await.is_err() {
            log::warn!("peer connections were closed before all queued messages were sent");
        }
    }
}
