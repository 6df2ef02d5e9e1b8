//! Copies the configuration and the backend table from peers when this node cannot read the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use eyre::eyre;
use futures_util::SinkExt;
use futures_util::StreamExt;
use jaysaddle_daemon::clock;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::heartbeat::SnapshotEntry;
use jaysaddle_wire::heartbeat::SnapshotReply;
use jaysaddle_wire::heartbeat::SnapshotRequest;
use prost::Message;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::node::EntryNode;

/// Interval at which the peers' versions are compared with this node's.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Age of the backend table from which it is copied from a peer; the store is normally read every 1.2 s.
const STALE_TABLE_AGE: TimeSpan = TimeSpan(1700);
/// Timeout of one exchange with a peer.
const COPY_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum frame size; a frame holds a configuration and the entries of the whole fleet.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Delay before the next accept after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Serves copies to peers. Never returns.
pub async fn serve(node: Rc<EntryNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let node = node.clone();
                tokio::task::spawn_local(async move {
                    match timeout(COPY_TIMEOUT, serve_copy(&node, stream)).await {
                        Ok(Ok(())) => {}
                        Ok(Err(error)) => {
                            log::debug!("event=copy_not_sent peer={peer} error=\"{error:#}\"");
                        }
                        Err(_) => log::debug!("event=copy_not_sent peer={peer} error=timeout"),
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_copy(node: &EntryNode, stream: TcpStream) -> eyre::Result<()> {
    let mut frames = framed(stream);
    let frame = frames
        .next()
        .await
        .ok_or_else(|| eyre!("connection closed before a request"))??;
    let request = SnapshotRequest::decode(frame)?;
    let reply = build_reply(node, request)?;
    frames.send(Bytes::from(reply.encode_to_vec())).await?;
    Ok(())
}

fn build_reply(node: &EntryNode, request: SnapshotRequest) -> eyre::Result<SnapshotReply> {
    let mut reply = SnapshotReply::default();
    if node.config_version() > request.config_version
        && let Some(config) = &*node.raw_config.borrow()
    {
        reply.config = serde_json::to_vec(config)?;
    }
    if request.wants_table {
        reply.has_table = node.table_read_at.get().is_some();
        reply.table_age_ms = node.table_age(clock::now()).as_millis();
        for (name, spec) in &*node.raw_entries.borrow() {
            reply.entries.push(SnapshotEntry {
                name: name.to_string(),
                content: serde_json::to_vec(spec)?,
            });
        }
    }
    Ok(reply)
}

/// Copies newer data from peers whenever they have some. Never returns.
pub async fn copy_from_peers(node: Rc<EntryNode>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some((peer, request)) = next_request(&node) else {
            continue;
        };
        match timeout(COPY_TIMEOUT, fetch_copy(&node, peer, request)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::info!("event=copy_failed peer={peer} error=\"{error:#}\""),
            Err(_) => log::info!("event=copy_failed peer={peer} error=timeout"),
        }
    }
}

/// Returns the peer to copy from and the request for it, or `None` when no peer has newer data.
fn next_request(node: &EntryNode) -> Option<(SocketAddr, SnapshotRequest)> {
    let now = clock::now();
    let config_version = node.config_version();
    let own_age = node.table_age(now);
    let peers = node.peers.borrow();
    let newest_config = peers
        .live(now)
        .max_by_key(|record| record.heartbeat.config_version)?;
    let newest_table = peers
        .live(now)
        .min_by_key(|record| record.heartbeat.table_age)?;
    // While the store is unreachable, the lease holder keeps its table up to date from reports.
    let holder = peers
        .live(now)
        .find(|record| record.heartbeat.claim.is_some());
    if let Some(holder) = holder
        && node.store.is_unreachable(now)
        && node.copied_target_changes.get() != holder.heartbeat.target_changes
    {
        node.copied_target_changes
            .set(holder.heartbeat.target_changes);
        let request = SnapshotRequest {
            config_version,
            wants_table: true,
        };
        return Some((holder.heartbeat.peer_address, request));
    }
    let wants_config = newest_config.heartbeat.config_version > config_version;
    let wants_table = own_age > STALE_TABLE_AGE
        && newest_table
            .heartbeat
            .table_age
            .0
            .saturating_add(STALE_TABLE_AGE.0 / 2)
            < own_age.0;
    if wants_table {
        let request = SnapshotRequest {
            config_version,
            wants_table: true,
        };
        Some((newest_table.heartbeat.peer_address, request))
    } else if wants_config {
        let request = SnapshotRequest {
            config_version,
            wants_table: false,
        };
        Some((newest_config.heartbeat.peer_address, request))
    } else {
        None
    }
}

async fn fetch_copy(
    node: &EntryNode,
    peer: SocketAddr,
    request: SnapshotRequest,
) -> eyre::Result<()> {
    let requested_at = clock::now();
    let stream = TcpStream::connect(peer).await.wrap_err("connect")?;
    let mut frames = framed(stream);
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let frame = frames
        .next()
        .await
        .ok_or_else(|| eyre!("connection closed before a reply"))??;
    let reply = SnapshotReply::decode(frame)?;
    if !reply.config.is_empty() {
        node.apply_config(serde_json::from_slice(&reply.config)?, "peer");
    }
    let is_newer = reply.table_age_ms < node.table_age(clock::now()).as_millis();
    if reply.has_table && is_newer {
        let entries = reply
            .entries
            .into_iter()
            .map(|entry| Ok((entry.name.into(), serde_json::from_slice(&entry.content)?)))
            .collect::<eyre::Result<_>>()?;
        let read = requested_at - TimeSpan(reply.table_age_ms);
        log::info!(
            "event=table_copied peer={peer} age_ms={}",
            reply.table_age_ms
        );
        node.copy_table(entries, read);
    }
    Ok(())
}
