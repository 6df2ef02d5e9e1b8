//! Owns all connections and carries out commands.

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
use crate::link::LinkClock;
use crate::link::LinkContext;
use crate::link::LinkEnd;
use crate::link::LinkReport;
use crate::link::LinkTask;
use crate::telemetry;

/// Pause after a failed accept, for example for lack of file descriptors, which would otherwise
/// fail again at once and keep the thread busy.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Longest time to send what is queued when the transport stops.
const STOP_LIMIT: Duration = Duration::from_secs(1);

/// What the hub holds of a connection.
#[derive(Debug)]
struct LinkEntry {
    /// Address at the other end of the connection; for an accepted one, a passing port.
    remote: SocketAddr,
    /// Address that the peer listens on; absent until an accepted connection has greeted.
    peer: Option<SocketAddr>,
    outgoing: flume::Sender<PeerMessage>,
    /// The task's queue, to recover what it has not sent.
    queue: flume::Receiver<PeerMessage>,
    clock: Rc<LinkClock>,
    task: JoinHandle<()>,
}

/// All connections.
///
/// # Invariants
///
/// `routes` names, per peer address, a link in `links` with that peer. `greeting` holds, oldest
/// first, the links in `links` whose peer is not known yet.
#[derive(Debug)]
pub(crate) struct LinkHub {
    context: LinkContext,
    reports: flume::Receiver<LinkReport>,
    links: HashMap<u64, LinkEntry>,
    routes: HashMap<SocketAddr, u64>,
    greeting: VecDeque<u64>,
    next_id: u64,
}

impl LinkHub {
    pub(crate) fn new(context: LinkContext, reports: flume::Receiver<LinkReport>) -> Self {
        Self {
            context,
            reports,
            links: HashMap::new(),
            routes: HashMap::new(),
            greeting: VecDeque::new(),
            next_id: 0,
        }
    }

    /// Runs until the stop command, or until the sender of commands is gone.
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        commands: flume::Receiver<TransportCommand>,
    ) {
        let reports = self.reports.clone();
        loop {
            tokio::select! {
                // Reports go first: the answer to a message must find the connection that it
                // came over, which a report sent before the message has announced.
                biased;
                Ok(report) = reports.recv_async() => self.note_report(report),
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
                log::error!("accepting a peer connection failed: {error}");
                sleep(ACCEPT_RETRY).await;
                return;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("a peer connection from {remote} closed at once: {error}");
            return;
        }
        self.make_room();
        // The oldest one is closed rather than the new one: a peer greets within a round trip, so
        // that a flood of silent connections cannot keep peers out.
        if self.greeting.len() >= self.context.settings.max_greeting
            && let Some(oldest) = self.greeting.pop_front()
            && let Some(entry) = self.discard(oldest)
        {
            let detail = "too many connections wait for their first frame";
            let rejections = &self.context.rejections;
            rejections.note("greeting_flood", entry.remote, detail);
        }
        let id = self.open(remote, None, |task| {
            spawn_local(task.accept(stream, remote))
        });
        self.greeting.push_back(id);
    }

    fn open(
        &mut self,
        remote: SocketAddr,
        peer: Option<SocketAddr>,
        spawn: impl FnOnce(LinkTask) -> JoinHandle<()>,
    ) -> u64 {
        self.next_id += 1;
        let id = self.next_id;
        let (outgoing, queue) = flume::bounded(self.context.settings.queue_frames);
        let clock = LinkClock::start();
        let task = spawn(LinkTask {
            id,
            context: self.context.clone(),
            outgoing: queue.clone(),
            clock: Rc::clone(&clock),
        });
        let entry = LinkEntry {
            remote,
            peer,
            outgoing,
            queue,
            clock,
            task,
        };
        self.links.insert(id, entry);
        id
    }

    /// Closes the connection idle for longest when there are as many as allowed.
    fn make_room(&mut self) {
        if self.links.len() < self.context.settings.max_connections {
            return;
        }
        let oldest = self
            .links
            .iter()
            .min_by_key(|(_, entry)| entry.clock.last_message())
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            log::warn!("closing the most idle peer connection: too many are open");
            self.discard(id);
        }
    }

    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        let id = match self.routes.get(&to) {
            Some(id) => *id,
            None => self.dial(to),
        };
        let Some(entry) = self.links.get(&id) else {
            return;
        };
        if entry.outgoing.try_send(message).is_err() {
            log::warn!("dropping a message to {to}: its queue is full");
            telemetry::count_dropped(1, "queue_full");
            self.report_failed(to);
        }
    }

    fn dial(&mut self, to: SocketAddr) -> u64 {
        self.make_room();
        let id = self.open(to, Some(to), |task| spawn_local(task.dial(to)));
        self.routes.insert(to, id);
        id
    }

    /// Closes the connection; what it has not sent goes over a new one.
    fn reconnect(&mut self, to: SocketAddr) {
        if let Some(id) = self.routes.get(&to).copied()
            && let Some(entry) = self.discard(id)
        {
            self.send_again(to, &entry);
        }
    }

    fn send_again(&mut self, to: SocketAddr, entry: &LinkEntry) {
        for message in entry.queue.try_iter() {
            self.send(to, message);
        }
    }

    /// Forgets a connection and closes it.
    fn discard(&mut self, id: u64) -> Option<LinkEntry> {
        let entry = self.links.remove(&id)?;
        entry.task.abort();
        self.greeting.retain(|greeting| *greeting != id);
        if let Some(peer) = entry.peer
            && self.routes.get(&peer) == Some(&id)
        {
            self.routes.remove(&peer);
        }
        Some(entry)
    }

    fn note_report(&mut self, report: LinkReport) {
        match report {
            LinkReport::Greeted { id, peer } => self.note_greeted(id, peer),
            LinkReport::Ended { id, end } => self.note_ended(id, &end),
        }
    }

    fn note_greeted(&mut self, id: u64, peer: SocketAddr) {
        self.greeting.retain(|greeting| *greeting != id);
        if let Some(entry) = self.links.get_mut(&id) {
            entry.peer = Some(peer);
            // An own connection to the peer stays in use for sending.
            self.routes.entry(peer).or_insert(id);
        }
    }

    fn note_ended(&mut self, id: u64, end: &LinkEnd) {
        let Some(entry) = self.discard(id) else {
            return;
        };
        let Some(peer) = entry.peer else {
            return;
        };
        match end {
            LinkEnd::Idle | LinkEnd::Stopped => {}
            LinkEnd::ClosedByPeer if !entry.clock.has_unanswered() => {}
            LinkEnd::ConnectFailed(_) => {
                log::info!("peer {peer}: the connection {end}");
                telemetry::count_dropped(entry.queue.len(), "connect_failed");
                self.report_failed(peer);
                return;
            }
            _ => {
                log::info!("replacing the connection with peer {peer}: {end}");
                self.report_failed(peer);
            }
        }
        self.send_again(peer, &entry);
    }

    fn report_failed(&self, to: SocketAddr) {
        let event = TransportEvent::Failed { to };
        // The hub must not wait for its reader, which may wait for the hub. A lost report only
        // delays what a timeout finds out as well.
        if self.context.events.try_send(event).is_err() {
            log::warn!("a failed connection to {to} could not be reported");
        }
    }

    async fn stop(mut self) {
        let entries: Vec<LinkEntry> = self.links.drain().map(|(_, entry)| entry).collect();
        let mut tasks = Vec::with_capacity(entries.len());
        for entry in entries {
            // Without its sender, a task ends once its queue is sent.
            drop(entry.outgoing);
            match entry.peer {
                Some(_) => tasks.push(entry.task),
                None => entry.task.abort(),
            }
        }
        let flush = async {
            for task in tasks {
                if let Err(error) = task.await {
                    log::debug!("a peer connection did not end cleanly: {error}");
                }
            }
        };
        if timeout(STOP_LIMIT, flush).await.is_err() {
            log::warn!("peer connections were closed before all messages were sent");
        }
    }
}
