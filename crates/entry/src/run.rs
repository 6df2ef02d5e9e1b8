//! Daemon startup: binds the listeners and spawns the tasks.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use eyre::WrapErr;
use jaysaddle_daemon::telemetry::MetricsRenderer;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::beats;
use crate::beats::PeerAddresses;
use crate::callers::CallerHandler;
use crate::connector::ServerConnector;
use crate::connector::TcpConnector;
use crate::content_control;
use crate::control;
use crate::copies;
use crate::crash_watch;
use crate::directory::InfoHandler;
use crate::evacuation_sync;
use crate::gauges;
use crate::listener;
use crate::listener::RequestHandler;
use crate::log_writer;
use crate::node::EntryNode;
use crate::reload;
use crate::settings::EntrySettings;
use crate::settings_file::parse_settings;
use crate::stop;
use crate::store_restore;
use crate::store_sync;
use crate::table_feed;

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the settings are invalid, an address cannot be bound or the event loop cannot be started.
pub fn run_entry(path: PathBuf) -> eyre::Result<()> {
    run_entry_with(path, Rc::new(TcpConnector))
}

/// The same, with another way to open connections to backend servers.
///
/// # Errors
///
/// As [`run_entry`].
pub fn run_entry_with(path: PathBuf, connector: Rc<dyn ServerConnector>) -> eyre::Result<()> {
    let text = fs::read_to_string(&path)
        .wrap_err_with(|| format!("{}: cannot read settings", path.display()))?;
    let parsed = parse_settings(&path.display().to_string(), &text)?;
    log_writer::init(&parsed.settings.log_level, &parsed.settings.node)?;
    parsed.report();
    let settings = parsed.settings;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the event loop")?;
    LocalSet::new().block_on(&runtime, run(settings, path, connector))
}

async fn run(
    settings: EntrySettings,
    path: PathBuf,
    connector: Rc<dyn ServerConnector>,
) -> eyre::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).wrap_err("cannot install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("cannot install the SIGINT handler")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("cannot install the SIGHUP handler")?;
    let metrics = Rc::new(MetricsRenderer::install()?);
    gauges::describe();
    let reload_signal = Rc::new(Notify::new());
    let node = Rc::new(EntryNode::new(settings, connector));
    let settings = &node.settings;
    log::info!(
        "event=started incarnation={} callers={} peers={} store={}",
        node.incarnation,
        settings.listen.callers,
        settings.peer_address(),
        settings.store
    );
    let callers = listener::listen(settings.listen.callers).await?;
    let info: Rc<dyn RequestHandler> = Rc::new(InfoHandler::new(node.clone(), metrics));
    let mut info_addresses: Vec<SocketAddr> =
        vec![settings.listen.readiness, settings.listen.directory];
    info_addresses.dedup();
    for address in info_addresses {
        let listener = listener::listen(address).await?;
        spawn_local(listener::serve(node.clone(), listener, info.clone()));
    }
    if let Some(address) = settings.listen.metrics {
        // The readiness and directory addresses serve the metrics as well, so the node starts even when
        // this address is unusable.
        match listener::listen(address).await {
            Ok(listener) => {
                spawn_local(listener::serve(node.clone(), listener, info.clone()));
            }
            Err(error) => log::warn!("event=metrics_address_unusable error=\"{error:#}\""),
        }
    }
    let copy_listener = listener::listen(settings.peer_address()).await?;
    let socket = Rc::new(beats::bind_socket(settings.peer_address()).await?);
    let addresses = PeerAddresses::default();
    let (address_sender, address_receiver) = flume::unbounded();
    spawn_local(store_sync::watch_config(node.clone()));
    spawn_local(store_sync::watch_backends(node.clone()));
    spawn_local(store_sync::sync_nodes(node.clone(), address_sender));
    spawn_local(evacuation_sync::watch(node.clone()));
    spawn_local(content_control::sync_blocks(node.clone()));
    spawn_local(crash_watch::handle_signs(node.clone()));
    spawn_local(store_restore::watch_restores(node.clone()));
    spawn_local(beats::collect_addresses(
        address_receiver,
        addresses.clone(),
    ));
    spawn_local(beats::receive_heartbeats(
        node.clone(),
        socket.clone(),
        addresses.clone(),
    ));
    spawn_local(beats::send_heartbeats(
        node.clone(),
        socket.clone(),
        addresses.clone(),
    ));
    spawn_local(copies::serve(node.clone(), copy_listener));
    spawn_local(table_feed::run(node.clone()));
    spawn_local(control::run(node.clone()));
    spawn_local(reload::watch_settings(
        node.clone(),
        path,
        reload_signal.clone(),
    ));
    let handler: Rc<dyn RequestHandler> = Rc::new(CallerHandler::new(node.clone()));
    spawn_local(listener::serve(node.clone(), callers, handler));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload_signal.notify_one(),
        }
    }
    stop::stop(node, socket, addresses).await;
    log::logger().flush();
    Ok(())
}
