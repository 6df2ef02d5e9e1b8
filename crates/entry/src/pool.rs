//! Connection pool for backend servers.
//!
//! # Invariants
//!
//! - A connection carries one request at a time and returns to the pool only after the whole response was read.
//! - A connection that was closed, or that received unsolicited bytes, is not reused.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use eyre::eyre;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::end_watch::EndSign;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_gateway::target::ServerProcess;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::connector::ServerConnector;
use crate::exchange::Connection;
use crate::exchange::ExchangeError;
use crate::exchange::connect;

/// Idle time after which a connection is not reused when the backend server states no limit. Most servers keep
/// idle connections for longer.
const DEFAULT_IDLE_LIMIT: TimeSpan = TimeSpan(4000);
/// Percentage of the stated idle timeout up to which a connection is reused.
const IDLE_LIMIT_PERCENT: u64 = 60;
/// Maximum idle time of a connection that carries a request that must not run twice. A backend server that has
/// just responded is unlikely to be about to close the connection.
const RECENT_USE_LIMIT: TimeSpan = TimeSpan(1000);
/// Maximum number of idle connections per backend server.
const MAX_IDLE_CONNECTIONS: usize = 16;

struct IdleConnection {
    connection: Connection,
    since: Timestamp,
    idle_limit: TimeSpan,
}

type ConnectionCounts = Rc<RefCell<HashMap<VmId, u32>>>;

/// Counts a connection as open until dropped.
struct ConnectionCount {
    counts: ConnectionCounts,
    id: VmId,
}

impl ConnectionCount {
    fn new(counts: &ConnectionCounts, id: &VmId) -> Self {
        *counts.borrow_mut().entry(id.clone()).or_default() += 1;
        Self {
            counts: counts.clone(),
            id: id.clone(),
        }
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        let mut counts = self.counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.id) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.id);
            }
        }
    }
}

/// Connection taken from the pool for one request. Dropping it closes the connection.
pub struct PooledConnection {
    pub connection: Connection,
    key: ServerProcess,
    count: ConnectionCount,
}

/// Pool of idle connections to backend servers, with a count of all open ones.
pub struct BackendPool {
    connector: Rc<dyn ServerConnector>,
    /// When a connection was last opened; `None` before the first.
    last_opened: Cell<Option<Timestamp>>,
    idle: RefCell<HashMap<ServerProcess, Vec<(IdleConnection, ConnectionCount)>>>,
    open: ConnectionCounts,
    /// Signs that processes may have ended, for [`Self::next_sign`].
    signs: flume::Sender<ProcessSign>,
    received_signs: flume::Receiver<ProcessSign>,
}

/// A sign that a process of a backend server may have ended.
#[derive(Clone, Debug)]
pub struct ProcessSign {
    pub process: Rc<ServerProcess>,
    pub sign: EndSign,
}

impl BackendPool {
    /// Creates a pool whose connections `connector` opens.
    pub fn new(connector: Rc<dyn ServerConnector>) -> Self {
        let (signs, received_signs) = flume::unbounded();
        Self {
            connector,
            last_opened: Cell::new(None),
            idle: RefCell::default(),
            open: ConnectionCounts::default(),
            signs,
            received_signs,
        }
    }

    /// Waits for the next sign that a process may have ended: it has closed a connection, idle or not, or refused one.
    pub async fn next_sign(&self) -> Option<ProcessSign> {
        self.received_signs.recv_async().await.ok()
    }

    /// When a connection was last opened; `None` before the first.
    pub fn last_opened(&self) -> Option<Timestamp> {
        self.last_opened.get()
    }

    /// Opens connections to backend servers that carry no requests.
    pub fn connector(&self) -> &dyn ServerConnector {
        self.connector.as_ref()
    }

    /// Number of open connections to all backend servers, idle ones included.
    pub fn open_connections(&self) -> u32 {
        self.open.borrow().values().sum()
    }

    /// Number of open connections to a backend server, idle ones included.
    fn open_count(&self, id: &VmId) -> u32 {
        self.open.borrow().get(id).copied().unwrap_or(0)
    }

    /// Takes an idle connection or opens a new one, up to `limit` open ones. With `needs_recent_use`, an idle
    /// connection is only reused if its last request ended recently.
    ///
    /// # Errors
    ///
    /// Fails when the limit is reached or the connection cannot be opened.
    pub async fn take(
        &self,
        key: &ServerProcess,
        needs_recent_use: bool,
        limit: u32,
    ) -> Result<PooledConnection, ExchangeError> {
        if let Some(pooled) = self.take_idle(key, needs_recent_use) {
            return Ok(pooled);
        }
        if self.open_count(&key.id) >= limit {
            return Err(ExchangeError::not_run(eyre!(
                "{limit} connections are open"
            )));
        }
        self.open_new(key).await
    }

    /// Opens a new connection, whatever the number of open ones.
    ///
    /// # Errors
    ///
    /// Fails when the connection cannot be opened.
    pub async fn open_new(&self, key: &ServerProcess) -> Result<PooledConnection, ExchangeError> {
        let count = ConnectionCount::new(&self.open, &key.id);
        let process = Rc::new(key.clone());
        let report = |sign: EndSign| {
            let (signs, process) = (self.signs.clone(), process.clone());
            // The receiver is dropped only with the pool itself.
            move || drop(signs.send(ProcessSign { process, sign }))
        };
        let on_close = Box::new(report(EndSign::Closed));
        let name = key.id.as_str();
        let connection = connect(self.connector.as_ref(), key.address, name, on_close)
            .await
            .inspect_err(|error| {
                if error.is_refusal() {
                    report(EndSign::Refused)();
                }
            })?;
        self.last_opened.set(Some(clock::now()));
        metrics::counter!("jaysaddle_backend_connections_total").increment(1);
        Ok(PooledConnection {
            connection,
            key: key.clone(),
            count,
        })
    }

    /// Takes an idle connection; `None` if none can be reused.
    pub fn take_idle(
        &self,
        key: &ServerProcess,
        needs_recent_use: bool,
    ) -> Option<PooledConnection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(key)?;
        while let Some((candidate, count)) = connections.pop() {
            let age = now.since(candidate.since);
            let limit = if needs_recent_use {
                candidate.idle_limit.min(RECENT_USE_LIMIT)
            } else {
                candidate.idle_limit
            };
            let is_usable =
                age < limit && !candidate.connection.is_closed() && candidate.connection.is_ready();
            if is_usable {
                return Some(PooledConnection {
                    connection: candidate.connection,
                    key: key.clone(),
                    count,
                });
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. `keep_alive_timeout` is the idle timeout that the
    /// backend server stated; without it, a default applies.
    pub fn put(&self, pooled: PooledConnection, keep_alive_timeout: Option<TimeSpan>) {
        if pooled.connection.is_closed() {
            return;
        }
        let idle_limit = keep_alive_timeout.map_or(DEFAULT_IDLE_LIMIT, |timeout| {
            TimeSpan(timeout.0 * IDLE_LIMIT_PERCENT / 100)
        });
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(pooled.key).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let connection = IdleConnection {
                connection: pooled.connection,
                since: clock::now(),
                idle_limit,
            };
            connections.push((connection, pooled.count));
        }
    }

    /// Whether an idle connection to a process is open.
    pub fn has_idle(&self, key: &ServerProcess) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(key).map_or(&[][..], Vec::as_slice);
        connections
            .iter()
            .any(|(idle, _)| !idle.connection.is_closed())
    }

    /// Processes of backend servers that keep a connection open, and when the oldest one of each was opened.
    pub fn connected_servers(&self) -> Vec<(ServerNumber, Timestamp)> {
        let idle = self.idle.borrow();
        let connected = idle.iter().filter_map(|(key, connections)| {
            let connections = connections.iter().map(|(idle, _)| &idle.connection);
            let open = connections.filter(|connection| !connection.is_closed());
            let opened = open.map(Connection::opened).min()?;
            Some((key.number(), opened))
        });
        connected.collect()
    }

    /// Closes idle connections that have exceeded their idle limit.
    pub fn close_expired(&self) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|(candidate, _)| {
                now.since(candidate.since) < candidate.idle_limit
                    && !candidate.connection.is_closed()
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
