//! Serves and requests copies of the configuration and of the backend table.
//!
//! A copy of the table is a difference. If the requesting node has copied the table of the same peer before, it names the
//! version, and gets what has changed since. Otherwise it sends hashes of its entries and gets what differs.

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use eyre::WrapErr;
use eyre::eyre;
use futures_util::SinkExt;
use futures_util::StreamExt;
use jaysaddle_adapter::backend::entry_write_count;
use jaysaddle_daemon::clock;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::heartbeat::SnapshotEntry;
use jaysaddle_wire::heartbeat::SnapshotReply;
use jaysaddle_wire::heartbeat::SnapshotRequest;
use prost::Message;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::entry_codec::CopiedEntries;
use crate::entry_codec::decode_entries;
use crate::entry_codec::encode_entry;
use crate::node::EntryNode;
use crate::node_table::TableDifference;
use crate::progress::ProgressCount;
use crate::progress::ProgressStream;
use crate::store_sync::WatchPosition;

/// Time without progress after which an exchange with a peer ends.
pub const COPY_TIMEOUT: TimeSpan = TimeSpan(800);
/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum frame size; a frame holds a configuration and the entries of the whole fleet.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Delay before the next accept after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type Frames = Framed<ProgressStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream, progress: ProgressCount) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(ProgressStream::new(stream, progress), codec)
}

/// Hash of an entry with its name, which is the same at all nodes.
fn entry_hash(entry: &BackendEntry) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

/// Serves copies to peers. Never returns.
pub async fn serve(node: Rc<EntryNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let node = node.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(&node, stream).await {
                        log::debug!("event=copy_not_sent peer={peer} error=\"{error:#}\"");
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

async fn serve_connection(node: &EntryNode, stream: TcpStream) -> eyre::Result<()> {
    stream.set_nodelay(true)?;
    let progress = ProgressCount::default();
    let mut frames = framed(stream, progress.clone());
    while let Some(frame) = timeout(IDLE_TIMEOUT, frames.next()).await? {
        let request = SnapshotRequest::decode(frame?)?;
        let reply = build_reply(node, &request)?;
        let reply = Bytes::from(reply.encode_to_vec());
        let sent = progress.timeout(COPY_TIMEOUT, frames.send(reply)).await;
        sent.ok_or_else(|| eyre!("the peer does not read"))??;
    }
    Ok(())
}

fn build_reply(node: &EntryNode, request: &SnapshotRequest) -> eyre::Result<SnapshotReply> {
    let mut reply = SnapshotReply::default();
    if node.config_version() > request.config_version
        && let Some(config) = &*node.raw_config.borrow()
    {
        reply.config = serde_json::to_vec(config)?;
    }
    if !request.wants_table {
        return Ok(reply);
    }
    reply.has_table = node.table_read_at.get().is_some();
    reply.table_age_ms = node.table_age(clock::now()).as_millis();
    reply.incarnation = node.incarnation.0;
    reply.table_version = node.table_log.borrow().version();
    if let Some(position) = node.table_position.get()
        && position.restores == node.store.restores()
        && let Some(era) = node.store.era()
    {
        reply.store_revision = position.revision.0;
        reply.store_era = era.0;
    }
    let is_same = request.incarnation == node.incarnation.0;
    let log = node.table_log.borrow();
    match log.changed_since(request.table_version).filter(|_| is_same) {
        Some(names) => add_changes(node, &names, &mut reply),
        None => add_differences(node, &request.known, &mut reply),
    }
    Ok(reply)
}

/// Adds the entries with these names, or that they are gone.
fn add_changes<'a>(
    node: &EntryNode,
    names: impl IntoIterator<Item = &'a &'a CompactString>,
    reply: &mut SnapshotReply,
) {
    let entries = node.raw_entries.borrow();
    let table = node.table.borrow();
    for name in names {
        let row = name.parse().ok().and_then(|id| table.get(&id));
        match row.zip(entries.get(*name)) {
            Some((row, spec)) => reply.entries.push(copy_entry(&row.entry, spec)),
            None => reply.gone.push(name.to_string()),
        }
    }
}

fn copy_entry(entry: &BackendEntry, spec: &Value) -> SnapshotEntry {
    encode_entry(entry, entry_write_count(spec).unwrap_or_default())
}

/// Adds the entries whose hashes are not in `known`, and the positions of the hashes that no entry has.
fn add_differences(node: &EntryNode, known: &[u64], reply: &mut SnapshotReply) {
    let entries = node.raw_entries.borrow();
    let table = node.table.borrow();
    let theirs: HashSet<u64> = known.iter().copied().collect();
    let mut own = HashSet::new();
    for row in table.rows() {
        let hash = entry_hash(&row.entry);
        own.insert(hash);
        let spec = entries.get(row.entry.id.as_str());
        if let Some(spec) = spec.filter(|_| !theirs.contains(&hash)) {
            reply.entries.push(copy_entry(&row.entry, spec));
        }
    }
    let positions = (0u32..).zip(known);
    let unknown = positions.filter(|(_, hash)| !own.contains(hash));
    reply.unknown = unknown.map(|(position, _)| position).collect();
}

/// What this node has copied of a peer's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopiedVersion {
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Version of its table.
    pub version: u64,
    /// Number of this node's own readings of the store before the copy.
    pub store_reads: u64,
}

impl CopiedVersion {
    /// Whether this node's table is still what was copied, with the changes that other copies brought.
    pub fn is_intact(&self, node: &EntryNode) -> bool {
        self.store_reads == node.store_reads.get()
    }
}

/// Connection to a peer from which copies are requested.
pub struct CopyConnection {
    /// Address of the peer.
    pub peer: SocketAddr,
    frames: Frames,
    /// What was copied of the peer's table over this connection; `None` before the first copy.
    pub copied: Option<CopiedVersion>,
}

impl CopyConnection {
    /// Connects to a peer, and counts the bytes of the connection with `progress`.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached.
    pub async fn open(peer: SocketAddr, progress: ProgressCount) -> eyre::Result<Self> {
        let stream = TcpStream::connect(peer).await.wrap_err("connect")?;
        stream.set_nodelay(true)?;
        Ok(Self {
            peer,
            frames: framed(stream, progress),
            copied: None,
        })
    }

    /// Requests what is newer at the peer and applies it. Afterwards the connection can be used again.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, or if the reply cannot be decoded.
    pub async fn copy(&mut self, node: &EntryNode, wants_table: bool) -> eyre::Result<()> {
        let requested_at = clock::now();
        let restores = node.store.restores();
        let mut request = SnapshotRequest {
            config_version: node.config_version(),
            wants_table,
            ..SnapshotRequest::default()
        };
        let mut names: Vec<CompactString> = Vec::new();
        let copied = self.copied.filter(|copied| copied.is_intact(node));
        match copied.filter(|_| wants_table) {
            Some(copied) => {
                request.incarnation = copied.incarnation.0;
                request.table_version = copied.version;
            }
            None if wants_table => {
                for row in node.table.borrow().rows() {
                    names.push(row.entry.id.as_str().into());
                    request.known.push(entry_hash(&row.entry));
                }
            }
            None => {}
        }
        let request = Bytes::from(request.encode_to_vec());
        self.frames.send(request).await?;
        let frame = self.frames.next().await;
        let frame = frame.ok_or_else(|| eyre!("connection closed before a reply"))??;
        let reply = SnapshotReply::decode(frame)?;
        if !reply.config.is_empty() {
            node.apply_config(serde_json::from_slice(&reply.config)?, "peer");
        }
        let is_newer = reply.table_age_ms < node.table_age(clock::now()).as_millis();
        if !reply.has_table || !is_newer {
            return Ok(());
        }
        let unknown = reply.unknown.iter();
        let unknown = unknown.filter_map(|position| names.get(*position as usize).cloned());
        let CopiedEntries {
            sound: entries,
            odd,
        } = decode_entries(&reply.entries);
        let sent: HashSet<&CompactString> = entries.iter().map(|(name, _)| name).collect();
        let gone = reply.gone.into_iter().map(CompactString::from);
        // An entry that cannot be decoded names no backend server to use, as in the store.
        let gone: Vec<CompactString> = gone
            .chain(unknown)
            .chain(odd)
            .filter(|name| !sent.contains(name))
            .collect();
        log::info!(
            "event=table_copied peer={} age_ms={} changed={} gone={}",
            self.peer,
            reply.table_age_ms,
            entries.len(),
            gone.len()
        );
        node.apply_difference(TableDifference {
            entries,
            gone,
            read_at: requested_at - TimeSpan(reply.table_age_ms),
        });
        self.copied = Some(CopiedVersion {
            incarnation: Incarnation(reply.incarnation),
            version: reply.table_version,
            store_reads: node.store_reads.get(),
        });
        let is_current = node.store.restores() == restores
            && node
                .store
                .era()
                .is_none_or(|era| era <= StoreEra(reply.store_era));
        let position = (is_current && reply.store_revision > 0).then_some(WatchPosition {
            revision: StoreRevision(reply.store_revision),
            restores,
        });
        node.table_position.set(position);
        Ok(())
    }
}
