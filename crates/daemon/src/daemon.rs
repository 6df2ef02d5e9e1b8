//! Start and planned stop of a daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

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
use crate::control_lane::ControlPlane;
use crate::control_lane::ControlPools;
use crate::control_lane::report_violation;
use crate::data_plane::DataPlane;
use crate::listener::HttpListener;
use crate::operators::OperatorRoutes;
use crate::shared_state::ControlPlaneInput;
use crate::shared_state::DataPlaneInput;
use crate::shared_state::SharedState;
use crate::store_watch;
use crate::telemetry::MetricsRenderer;

/// Requests of operators served at once.
const MAX_OPERATOR_REQUESTS: usize = 64;

/// Time between looks at the open requests during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which the lanes may go on after the last request, so that the last messages to peers
/// leave.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// Longest wait for the handover of the ledger; one candidate has 5 s.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// A running daemon.
pub struct Daemon {
    shared: Arc<SharedState>,
    transport: flume::Sender<TransportCommand>,
    handover: flume::Receiver<bool>,
    peers: PeerTransport,
}

/// Passes peers' messages to the lane that they concern.
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
    /// Starts all threads and listens.
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
        let (control, control_input) = flume::unbounded::<ControlPlaneInput>();
        let (traffic, traffic_input) = flume::unbounded::<DataPlaneInput>();
        let (transport, commands) = flume::unbounded();
        let (peer_events, received) = flume::unbounded();
        let (handover_sender, handover) = flume::unbounded();
        let cluster_key = ClusterKey::new(settings.cluster_key.as_bytes());
        let transport_settings = TransportSettings {
            listen: settings.listen.peers,
            ..TransportSettings::default()
        };
        let peers = PeerTransport::start(transport_settings, cluster_key, commands, peer_events)
            .wrap_err_with(|| {
                format!("peers cannot be listened to on {}", settings.listen.peers)
            })?;
        let seeds = settings.seeds.clone();
        let shared = Arc::new(SharedState::new(
            settings,
            own_node.clone(),
            control,
            traffic,
            engine,
            store,
            metrics,
        ));
        ControlPlane {
            shared: shared.clone(),
            state: ControlState::new(ControlSettings::default(), own_node.clone(), seeds, seed),
            input: control_input,
            transport: transport.clone(),
            pools: ControlPools::start().wrap_err("the workers cannot be started")?,
        }
        .start()
        .wrap_err("the control lane cannot be started")?;
        DataPlane {
            shared: shared.clone(),
            state: TrafficState::new(TrafficSettings::default(), own_node.key, seed, clock::now()),
            input: traffic_input,
            transport: transport.clone(),
            handover: handover_sender,
        }
        .start()
        .wrap_err("the traffic lane cannot be started")?;
        let peer_shared = shared.clone();
        thread::Builder::new()
            .name("peers".into())
            .spawn(move || route_peer_messages(&peer_shared, &received))
            .wrap_err("the peers' thread cannot be started")?;
        store_watch::start(&shared).wrap_err("the watches cannot be started")?;
        Self::listen(&shared)?;
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
        })
    }

    fn listen(shared: &Arc<SharedState>) -> eyre::Result<()> {
        let limits = &shared.settings.limits;
        let operators = Arc::new(OperatorRoutes::new(shared.clone()));
        HttpListener::bind(
            shared.settings.listen.operators,
            limits.idle_time,
            MAX_OPERATOR_REQUESTS,
            operators,
        )?
        .start("operators")?;
        let callers = Arc::new(CallerRoutes::new(shared.clone()));
        HttpListener::bind(
            shared.settings.listen.callers,
            limits.idle_time,
            limits.requests,
            callers,
        )?
        .start("callers")
    }

    /// Stops without cutting off a request: tells peers and callers, serves until callers have had
    /// time to move, waits for the open requests, and hands the ledger over.
    pub fn stop(self) {
        let shared = &self.shared;
        log::info!("stopping: discovery leaves this node out, requests are still served");
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
        log::info!("stopping: no request is open, handing the ledger over");
        shared.send_data_event(TrafficEvent::HandOverLedger);
        match self.handover.recv_timeout(HANDOVER_TIMEOUT) {
            Ok(true) => log::info!("stopping: a successor holds the ledger"),
            _ => log::warn!(
                "stopping: no node took the ledger; repeats of keyed requests get may_have_run"
            ),
        }
        // Answers whose requests have ended are still being written by their threads.
        while shared.open_requests.load(Ordering::Relaxed) > 0 {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let open = shared
            .query_data_plane(|state, _| state.open_requests())
            .unwrap_or(0);
        if open > 0 {
            report_violation(&InvariantViolation {
                kind: InvariantKind::GracefulStop,
                subject: self.shared.own_node.key.id.as_str().into(),
                detail: compact_str::format_compact!("{open} requests are open at the end"),
            });
        }
        thread::sleep(FLUSH_DELAY);
        shared.send_control_event(ControlEvent::Stopped);
        thread::sleep(FLUSH_DELAY);
        let _ = self.transport.send(TransportCommand::Stop);
        self.peers.join();
        log::info!("stopped");
    }
}
