//! Start and graceful stop of the daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use jaysaddle_engine::EngineClient;
use jaysaddle_platform::PlatformStore;
use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::ControlSettings;
use jaysaddle_reducer::ControlState;
use jaysaddle_reducer::InvariantKind;
use jaysaddle_reducer::InvariantViolation;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::TrafficSettings;
use jaysaddle_reducer::TrafficState;
use jaysaddle_settings::NodeSettings;
use jaysaddle_transport::PeerTransport;
use jaysaddle_transport::TransportCommand;
use jaysaddle_transport::TransportEvent;
use jaysaddle_transport::TransportSettings;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_wire::ClusterKey;
use jaysaddle_wire::messages::PeerBody;

use crate::callers::CallerRoutes;
use crate::clock;
use crate::connections::UndeliveredResponses;
use crate::control_lane::ControlPlane;
use crate::control_lane::ControlPools;
use crate::control_lane::report_violation;
use crate::data_plane::DataPlane;
use crate::listener::HttpListener;
use crate::listener::ListenerHandle;
use crate::operators::OperatorRoutes;
use crate::shared_state::ControlPlaneInput;
use crate::shared_state::DataPlaneInput;
use crate::shared_state::SharedState;
use crate::store_watch;
use crate::telemetry::MetricsRenderer;

/// Maximum number of concurrent operator requests.
const MAX_OPERATOR_REQUESTS: usize = 64;

/// Interval at which a stop checks for open requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before each of the last two steps of a stop, in which the last messages to peers are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// Time for which callers that go on with their connections are told to close them.
const CLOSE_DELAY: Duration = Duration::from_millis(300);

/// Maximum wait for the end of connections on which nothing more is read.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum wait for the result of the ledger handover. It exceeds the timeout of the handover
/// itself, which is 10 s.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// Handle of a running daemon, whose threads run until the process ends.
pub struct Daemon {
    shared: Arc<SharedState>,
    transport: flume::Sender<TransportCommand>,
    handover: flume::Receiver<bool>,
    peers: PeerTransport,
    listeners: [ListenerHandle; 2],
}

/// Passes messages from peers to the control plane or to the data plane.
fn route_peer_messages(shared: &SharedState, events: &flume::Receiver<TransportEvent>) {
    for event in events {
        match event {
            TransportEvent::Received { from, message } => match &message.body {
                Some(
                    PeerBody::LedgerQuery(_)
                    | PeerBody::LedgerAnswer(_)
                    | PeerBody::LedgerHandover(_)
                    | PeerBody::HandoverAck(_),
                ) => shared.send_data_event(TrafficEvent::PeerReceived { from, message }),
                _ => shared.send_control_event(ControlEvent::PeerReceived(message)),
            },
            TransportEvent::Failed { to } => {
                shared.send_control_event(ControlEvent::PeerFailed(to))
            }
        }
    }
}

impl Daemon {
    /// Starts all threads and listens for callers, operators and peers.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a thread cannot be started.
    pub fn start(
        settings: NodeSettings,
        engine: Arc<dyn EngineClient>,
        store: Arc<dyn PlatformStore>,
    ) -> eyre::Result<Self> {
        let own_node = NodeRecord {
            key: NodeKey {
                id: settings.node.clone(),
                incarnation: clock::new_incarnation(),
            },
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
        };
        let seed = own_node.key.incarnation.0;
        let metrics = MetricsRenderer::install()?;
        let (control_plane, control_input) = flume::unbounded::<ControlPlaneInput>();
        let (data_plane, data_input) = flume::unbounded::<DataPlaneInput>();
        let (transport, commands) = flume::unbounded();
        let (peer_events, received) = flume::unbounded();
        let (handover_sender, handover) = flume::unbounded();
        let cluster_key = ClusterKey::new(settings.cluster_key.as_bytes());
        let transport_settings = TransportSettings {
            listen: settings.listen.peers,
            ..TransportSettings::default()
        };
        let peers = PeerTransport::start(transport_settings, cluster_key, commands, peer_events)
            .wrap_err_with(|| format!("cannot listen for peers on {}", settings.listen.peers))?;
        let seeds = settings.seeds.clone();
        let shared = Arc::new(SharedState::new(
            settings,
            own_node.clone(),
            control_plane,
            data_plane,
            engine,
            store,
            metrics,
        ));
        ControlPlane {
            shared: shared.clone(),
            state: ControlState::new(ControlSettings::default(), own_node.clone(), seeds, seed),
            input: control_input,
            transport: transport.clone(),
            pools: ControlPools::start().wrap_err("cannot start the worker threads")?,
        }
        .start()
        .wrap_err("cannot start the control plane thread")?;
        DataPlane {
            shared: shared.clone(),
            state: TrafficState::new(TrafficSettings::default(), own_node.key, seed, clock::now()),
            input: data_input,
            transport: transport.clone(),
            handover: handover_sender,
        }
        .start()
        .wrap_err("cannot start the data plane thread")?;
        let peer_shared = shared.clone();
        thread::Builder::new()
            .name("peers".into())
            .spawn(move || route_peer_messages(&peer_shared, &received))
            .wrap_err("cannot start the peer message thread")?;
        store_watch::start(&shared).wrap_err("cannot start the platform watch threads")?;
        let listeners = Self::listen(&shared)?;
        log::info!(
            "started incarnation={} callers={} operators={} peers={}",
            shared.own_node.key.incarnation,
            shared.own_node.callers,
            shared.settings.listen.operators,
            shared.own_node.peers
        );
        Ok(Self {
            shared,
            transport,
            handover,
            peers,
            listeners,
        })
    }

    fn listen(shared: &Arc<SharedState>) -> eyre::Result<[ListenerHandle; 2]> {
        let limits = &shared.settings.limits;
        let operators = Arc::new(OperatorRoutes::new(shared.clone()));
        let operators = HttpListener::bind(
            shared.settings.listen.operators,
            limits.idle_time,
            MAX_OPERATOR_REQUESTS,
            operators,
        )?
        .start("operators")?;
        let callers = Arc::new(CallerRoutes::new(shared.clone()));
        let callers = HttpListener::bind(
            shared.settings.listen.callers,
            limits.idle_time,
            limits.requests,
            callers,
        )?
        .start("callers")?;
        Ok([callers, operators])
    }

    /// Stops gracefully without interrupting a request: announces the stop to peers and in
    /// discovery, keeps serving for the discovery TTL, waits for the open requests, hands
    /// over the ledger, and closes the listeners and their connections.
    pub fn stop(self) {
        let shared = &self.shared;
        log::info!("stopping: removed from discovery, still serving requests");
        shared.stopping.store(true, Ordering::Relaxed);
        shared.send_control_event(ControlEvent::StopRequested);
        thread::sleep(shared.settings.timing.discovery_ttl.as_duration());
        shared.send_data_event(TrafficEvent::RefuseNew);
        while shared
            .query_data_plane(|state, _| state.open_requests())
            .unwrap_or(0)
            > 0
        {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        log::info!("stopping: no open requests, handing over the ledger");
        shared.send_data_event(TrafficEvent::HandOverLedger);
        match self.handover.recv_timeout(HANDOVER_TIMEOUT) {
            Ok(true) => log::info!("stopping: ledger handed over to a successor"),
            _ => log::warn!(
                "stopping: no node accepted the ledger; caller retries of keyed requests are refused with may_have_run"
            ),
        }
        self.close_listeners();
        let open = shared
            .query_data_plane(|state, _| state.open_requests())
            .unwrap_or(0);
        if open > 0 {
            report_violation(&InvariantViolation {
                kind: InvariantKind::GracefulStop,
                subject: self.shared.own_node.key.id.as_str().into(),
                detail: compact_str::format_compact!(
                    "{open} requests are still open at the end of a stop"
                ),
            });
        }
        thread::sleep(FLUSH_DELAY);
        shared.send_control_event(ControlEvent::Stopped);
        thread::sleep(FLUSH_DELAY);
        let _ = self.transport.send(TransportCommand::Stop);
        self.peers.join();
        log::info!("stopped");
    }

    /// Stops listening, and closes the connections of callers and operators after their responses.
    fn close_listeners(&self) {
        // No request of a caller runs any more; some responses may still be being written.
        self.shared.closing.store(true, Ordering::SeqCst);
        for listener in &self.listeners {
            listener.close();
        }
        // Callers that go on with their connections are told to close them.
        thread::sleep(CLOSE_DELAY);
        self.wait_until(|| self.open_requests() == 0);
        for listener in &self.listeners {
            self.wait_delivered(listener);
            listener.end_reading();
        }
        let started = Instant::now();
        self.wait_until(|| self.held_connections() == 0 || started.elapsed() >= CLOSE_TIMEOUT);
        log::info!(
            "stopping: listeners closed; requests since the stop began: received={} refused={} open={} connections={}",
            self.shared.received_in_stop.load(Ordering::Relaxed),
            self.shared.refused_in_stop.load(Ordering::Relaxed),
            self.open_requests(),
            self.held_connections(),
        );
    }

    fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    fn open_requests(&self) -> usize {
        self.listeners
            .iter()
            .map(ListenerHandle::open_requests)
            .sum()
    }

    /// Number of connections that are open in this process; 0 when it is unknown.
    fn held_connections(&self) -> usize {
        let count = |listener: &ListenerHandle| match listener.connections() {
            Ok(connections) => connections.iter().filter(|one| one.is_held).count(),
            Err(error) => {
                log::warn!("stopping: the connections are unknown: {error}");
                0
            }
        };
        self.listeners.iter().map(count).sum()
    }

    /// Waits until callers have the responses that the system still holds. If the process exited before, a request that
    /// such a caller sends would reset its connection, and the rest of the response would be lost.
    fn wait_delivered(&self, listener: &ListenerHandle) {
        let idle_time = self.shared.settings.limits.idle_time.as_duration();
        let mut responses = UndeliveredResponses::new(idle_time);
        loop {
            match listener.connections() {
                Ok(connections) if responses.update(&connections, Instant::now()) == 0 => return,
                Ok(_) => thread::sleep(STOP_POLL_INTERVAL),
                Err(error) => {
                    log::warn!(
                        "stopping: the connections are unknown, not waiting for callers: {error}"
                    );
                    return;
                }
            }
        }
    }
}
