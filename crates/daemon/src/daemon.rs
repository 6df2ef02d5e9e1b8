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
use crate::control_lane::ControlLane;
use crate::control_lane::ControlPools;
use crate::control_lane::report_violation;
use crate::hub::ControlInput;
use crate::hub::Hub;
use crate::hub::TrafficInput;
use crate::listener::HttpListener;
use crate::operators::OperatorRoutes;
use crate::store_watch;
use crate::telemetry::MetricsRenderer;
use crate::traffic_lane::TrafficLane;

/// Requests of operators served at once.
const MAX_OPERATOR_REQUESTS: usize = 64;

/// Time between looks at the open requests during a stop.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Time for which the lanes may go on after the last request, so that the last messages to peers
/// leave.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Longest wait for the handover of the ledger; one candidate has 5 s.
const HANDOVER_TIME: Duration = Duration::from_secs(20);

/// A running daemon.
pub struct Daemon {
    hub: Arc<Hub>,
    transport: flume::Sender<TransportCommand>,
    handover: flume::Receiver<bool>,
    peers: PeerTransport,
}

/// Passes peers' messages to the lane that they concern.
fn pump_peers(hub: &Hub, events: &flume::Receiver<TransportEvent>) {
    for event in events {
        match event {
            TransportEvent::Received { from, message } => match &message.body {
                Some(
                    PeerBody::LedgerQuery(_)
                    | PeerBody::LedgerAnswer(_)
                    | PeerBody::LedgerHandover(_)
                    | PeerBody::HandoverAck(_),
                ) => hub.traffic_event(TrafficEvent::PeerReceived { from, message }),
                _ => hub.control_event(ControlEvent::PeerReceived(message)),
            },
            TransportEvent::Failed { to } => hub.control_event(ControlEvent::PeerFailed(to)),
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
        let own = NodeRecord {
            key: NodeKey {
                id: settings.node.clone(),
                incarnation: clock::new_incarnation(),
            },
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
        };
        let seed = own.key.incarnation.0;
        let metrics = MetricsRenderer::install()?;
        let (control, control_input) = flume::unbounded::<ControlInput>();
        let (traffic, traffic_input) = flume::unbounded::<TrafficInput>();
        let (transport, commands) = flume::unbounded();
        let (peer_events, received) = flume::unbounded();
        let (handed_over, handover) = flume::unbounded();
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
        let hub = Arc::new(Hub::new(
            settings,
            own.clone(),
            control,
            traffic,
            engine,
            store,
            metrics,
        ));
        ControlLane {
            hub: hub.clone(),
            state: ControlState::new(ControlSettings::default(), own.clone(), seeds, seed),
            input: control_input,
            transport: transport.clone(),
            pools: ControlPools::start().wrap_err("the workers cannot be started")?,
        }
        .start()
        .wrap_err("the control lane cannot be started")?;
        TrafficLane {
            hub: hub.clone(),
            state: TrafficState::new(TrafficSettings::default(), own.key, seed, clock::now()),
            input: traffic_input,
            transport: transport.clone(),
            handover: handed_over,
        }
        .start()
        .wrap_err("the traffic lane cannot be started")?;
        let pump_hub = hub.clone();
        thread::Builder::new()
            .name("peers".into())
            .spawn(move || pump_peers(&pump_hub, &received))
            .wrap_err("the peers' thread cannot be started")?;
        store_watch::start(&hub).wrap_err("the watches cannot be started")?;
        Self::listen(&hub)?;
        log::info!(
            "started incarnation={} callers={} operators={} peers={}",
            hub.own.key.incarnation,
            hub.own.callers,
            hub.settings.listen.operators,
            hub.own.peers
        );
        Ok(Self {
            hub,
            transport,
            handover,
            peers,
        })
    }

    fn listen(hub: &Arc<Hub>) -> eyre::Result<()> {
        let limits = &hub.settings.limits;
        let operators = Arc::new(OperatorRoutes::new(hub.clone()));
        HttpListener::bind(
            hub.settings.listen.operators,
            limits.idle_time,
            MAX_OPERATOR_REQUESTS,
            operators,
        )?
        .start("operators")?;
        let callers = Arc::new(CallerRoutes::new(hub.clone()));
        HttpListener::bind(
            hub.settings.listen.callers,
            limits.idle_time,
            limits.requests,
            callers,
        )?
        .start("callers")
    }

    /// Stops without cutting off a request: tells peers and callers, serves until callers have had
    /// time to move, waits for the open requests, and hands the ledger over.
    pub fn stop(self) {
        let hub = &self.hub;
        log::info!("stopping: discovery leaves this node out, requests are still served");
        hub.stopping.store(true, Ordering::Relaxed);
        hub.control_event(ControlEvent::StopRequested);
        thread::sleep(hub.settings.timing.discovery_ttl.as_duration());
        hub.traffic_event(TrafficEvent::RefuseNew);
        while hub
            .ask_traffic(|state, _| state.open_requests())
            .unwrap_or(0)
            > 0
        {
            thread::sleep(STOP_POLL);
        }
        log::info!("stopping: no request is open, handing the ledger over");
        hub.traffic_event(TrafficEvent::HandOverLedger);
        match self.handover.recv_timeout(HANDOVER_TIME) {
            Ok(true) => log::info!("stopping: a successor holds the ledger"),
            _ => log::warn!(
                "stopping: no node took the ledger; repeats of keyed requests get may_have_run"
            ),
        }
        // Answers whose requests have ended are still being written by their threads.
        while hub.open_requests.load(Ordering::Relaxed) > 0 {
            thread::sleep(STOP_POLL);
        }
        let open = hub
            .ask_traffic(|state, _| state.open_requests())
            .unwrap_or(0);
        if open > 0 {
            report_violation(&InvariantViolation {
                kind: InvariantKind::GracefulStop,
                subject: self.hub.own.key.id.as_str().into(),
                detail: compact_str::format_compact!("{open} requests are open at the end"),
            });
        }
        thread::sleep(FLUSH_TIME);
        hub.control_event(ControlEvent::Stopped);
        thread::sleep(FLUSH_TIME);
        let _ = self.transport.send(TransportCommand::Stop);
        self.peers.join();
        log::info!("stopped");
    }
}
