//! Starts the parts of the daemon.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use jaysaddle_daemon::telemetry::MetricsRenderer;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::beats;
use crate::beats::PeerAddresses;
use crate::callers;
use crate::control;
use crate::copies;
use crate::directory;
use crate::gauges;
use crate::log_writer;
use crate::node::EntryNode;
use crate::reload;
use crate::reload::parse_settings;
use crate::settings::EntrySettings;
use crate::stop;
use crate::store_sync;

/// Time for the log writer to write the last lines.
const LOG_FLUSH: Duration = Duration::from_millis(20);

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Fails when the settings are not valid, an address cannot be listened on or the event loop cannot be started.
pub fn run_entry(path: PathBuf) -> eyre::Result<()> {
    let text = fs::read_to_string(&path)
        .wrap_err_with(|| format!("{}: cannot be read", path.display()))?;
    let settings = parse_settings(&path.display().to_string(), &text)?;
    log_writer::init(&settings.log_level, &settings.node)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the event loop cannot be started")?;
    LocalSet::new().block_on(&runtime, run(settings, path))
}

async fn run(settings: EntrySettings, path: PathBuf) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM cannot be received")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT cannot be received")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("SIGHUP cannot be received")?;
    let metrics = Rc::new(MetricsRenderer::install()?);
    gauges::describe();
    let asked_to_reload = Rc::new(Notify::new());
    let node = Rc::new(EntryNode::new(settings));
    let settings = &node.settings;
    log::info!(
        "event=started incarnation={} callers={} peers={} store={}",
        node.incarnation,
        settings.listen.callers,
        settings.peer_address(),
        settings.store
    );
    let callers = callers::listen(settings.listen.callers).await?;
    let mut small: Vec<SocketAddr> = vec![settings.listen.readiness, settings.listen.directory];
    small.dedup();
    for address in small {
        let listener = callers::listen(address).await?;
        spawn_local(directory::serve(node.clone(), listener, metrics.clone()));
    }
    if let Some(address) = settings.listen.metrics {
        // The metrics are on the other two addresses as well, so callers are served without this one.
        match callers::listen(address).await {
            Ok(listener) => {
                spawn_local(directory::serve(node.clone(), listener, metrics.clone()));
            }
            Err(error) => log::warn!("event=metrics_address_unusable error=\"{error:#}\""),
        }
    }
    let copy_listener = callers::listen(settings.peer_address()).await?;
    let socket = Rc::new(beats::open(settings.peer_address()).await?);
    let addresses = PeerAddresses::default();
    let (found, names) = flume::unbounded();
    spawn_local(store_sync::follow_config(node.clone()));
    spawn_local(store_sync::follow_backends(node.clone()));
    spawn_local(store_sync::follow_nodes(node.clone(), found));
    spawn_local(beats::collect_addresses(names, addresses.clone()));
    spawn_local(beats::receive_beats(
        node.clone(),
        socket.clone(),
        addresses.clone(),
    ));
    spawn_local(beats::send_beats(
        node.clone(),
        socket.clone(),
        addresses.clone(),
    ));
    spawn_local(copies::serve(node.clone(), copy_listener));
    spawn_local(copies::follow_peers(node.clone()));
    spawn_local(control::run(node.clone()));
    spawn_local(reload::follow(node.clone(), path, asked_to_reload.clone()));
    spawn_local(callers::serve(node.clone(), callers));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => asked_to_reload.notify_one(),
        }
    }
    stop::stop(node, socket, addresses).await;
    sleep(LOG_FLUSH).await;
    Ok(())
}
