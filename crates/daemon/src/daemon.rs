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
use jaysaddle_types::units::TimeSpan;
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

/// Time reserved at the end of a stop for the ledger handover and for closing connections.
const LAST_STEPS_TIME: TimeSpan = TimeSpan::from_secs(5);

/// Time from the deadline that a stop sets for completions to the end of its wait for them, in which they are refused.
const REFUSAL_TIME: TimeSpan = TimeSpan::from_secs(1);

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

/// Waits until `condition` holds. Returns false if it does not before `end`.
fn wait_until(end: Instant, mut condition: impl FnMut() -> bool) -> bool {
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(STOP_POLL_INTERVAL);
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
    /// Shortly before `stop_limit`, it refuses the completions that are still running; at the limit it cuts all other
    /// requests.
    pub fn stop(self) {
        let shared = &self.shared;
        let timing = &shared.settings.timing;
        let end = Instant::now() + timing.stop_limit.as_duration();
        shared.set_stop_deadline(clock::now() + timing.stop_limit - LAST_STEPS_TIME - REFUSAL_TIME);
        log::info!("stopping: removed from discovery, still serving requests");
        shared.stopping.store(true, Ordering::Relaxed);
        shared.send_control_event(ControlEvent::StopRequested);
        thread::sleep(timing.discovery_ttl.as_duration());
        shared.send_data_event(TrafficEvent::RefuseNew);
        let requests_end = end
            .checked_sub(LAST_STEPS_TIME.as_duration())
            .unwrap_or(end);
        let all_ended = wait_until(requests_end, || self.running_requests() == 0);
        if all_ended {
            log::info!("stopping: no open requests, handing over the ledger");
        } else {
            log::error!(
                "stopping: {} requests run at the limit of {} and are cut, handing over the ledger",
                self.running_requests(),
                timing.stop_limit
            );
        }
        shared.send_data_event(TrafficEvent::HandOverLedger);
        let handover_timeout = end
            .saturating_duration_since(Instant::now())
            .min(HANDOVER_TIMEOUT);
        match self.handover.recv_timeout(handover_timeout) {
            Ok(true) => log::info!("stopping: ledger handed over to a successor"),
            _ => log::warn!(
                "stopping: no node accepted the ledger; caller retries of keyed requests are refused with may_have_run"
            ),
        }
        self.close_listeners(end);
        let open = self.running_requests();
        if open > 0 && all_ended {
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
    fn close_listeners(&self, end: Instant) {
        // No request of a caller runs any more; some responses may still be being written.
        self.shared.closing.store(true, Ordering::SeqCst);
        for listener in &self.listeners {
            listener.close();
        }
        // Callers that go on with their connections are told to close them.
        thread::sleep(CLOSE_DELAY);
        if !wait_until(end, || self.open_requests() == 0) {
            log::error!(
                "stopping: {} requests of callers and operators have no response at the limit of {} and are cut",
                self.open_requests(),
                self.shared.settings.timing.stop_limit
            );
        }
        for listener in &self.listeners {
            self.wait_delivered(listener, end);
            listener.end_reading();
        }
        let closed_by = end.min(Instant::now() + CLOSE_TIMEOUT);
        // The next line of the log has the connections that are left.
        wait_until(closed_by, || self.held_connections() == 0);
        log::info!(
            "stopping: listeners closed; requests since the stop began: received={} refused={} open={} connections={}",
            self.shared.received_in_stop.load(Ordering::Relaxed),
            self.shared.refused_in_stop.load(Ordering::Relaxed),
            self.open_requests(),
            self.held_connections(),
        );
    }

    /// Number of requests that the data plane has taken and that have not ended.
    fn running_requests(&self) -> usize {
        self.shared
            .query_data_plane(|state, _| state.open_requests())
            .unwrap_or_else(|| {
                log::error!("stopping: the data plane has ended, its requests are unknown");
                0
            })
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
    fn wait_delivered(&self, listener: &ListenerHandle, end: Instant) {
        let idle_time = self.shared.settings.limits.idle_time.as_duration();
        let mut responses = UndeliveredResponses::new(idle_time);
        let is_delivered = || match listener.connections() {
            Ok(connections) => responses.update(&connections, Instant::now()) == 0,
            Err(error) => {
                log::warn!(
                    "stopping: the connections are unknown, not waiting for callers: {error}"
                );
                true
            }
        };
        if !wait_until(end, is_delivered) {
            log::error!("stopping: responses are not delivered at the limit and are cut");
        }
    }
}
