//! Connections of a listener as the system sees them.
//!
//! `tiny_http` gives no access to the sockets of its connections. Their state is read from `/proc`, and their descriptors
//! are duplicated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::fd::RawFd;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_types::units::ByteCount;
use rustix::io::Errno;
use rustix::net::Shutdown;
use rustix::process::PidfdFlags;
use rustix::process::PidfdGetfdFlags;

/// Tables of the system's TCP sockets, by version of the Internet Protocol.
const SOCKET_TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];

/// State of a listening socket in a table of sockets.
const LISTEN_STATE: &str = "0A";

/// Inode in a table of sockets for a socket that no process holds.
const NO_INODE: &str = "0";

/// Connection to a listener of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenConnection {
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Number of bytes that the caller's system has not acknowledged.
    pub unsent: ByteCount,
    /// Whether this process still holds the socket.
    pub is_held: bool,
}

/// Parses an address of a table of sockets: hexadecimal words in the byte order of the machine, and a port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let mut bytes = Vec::new();
    for start in (0..ip.len()).step_by(8) {
        let word = u32::from_str_radix(ip.get(start..start + 8)?, 16).ok()?;
        bytes.extend(word.to_ne_bytes());
    }
    let ip = match <[u8; 4]>::try_from(bytes.as_slice()) {
        Ok(octets) => IpAddr::V4(Ipv4Addr::from(octets)),
        Err(_) => IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(bytes).ok()?)),
    };
    Some(SocketAddr::new(ip.to_canonical(), port))
}

fn has_address(listener: SocketAddr, local: SocketAddr) -> bool {
    local.port() == listener.port()
        && (listener.ip().is_unspecified()
            || local.ip().to_canonical() == listener.ip().to_canonical())
}

/// Parses the connections to `listener` in a table of sockets. Sockets of other processes are left out by their inode.
pub fn parse_connections(
    table: &str,
    listener: SocketAddr,
    own_inodes: &BTreeSet<String>,
) -> Vec<OpenConnection> {
    let parse_line = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let local = parse_address(fields.get(1)?)?;
        let peer = parse_address(fields.get(2)?)?;
        let (unsent, _) = fields.get(4)?.split_once(':')?;
        let inode = *fields.get(9)?;
        let is_held = own_inodes.contains(inode);
        let is_own = is_held || inode == NO_INODE;
        if *fields.get(3)? == LISTEN_STATE || !is_own || !has_address(listener, local) {
            return None;
        }
        Some(OpenConnection {
            peer,
            unsent: ByteCount(u64::from_str_radix(unsent, 16).ok()?),
            is_held,
        })
    };
    table.lines().filter_map(parse_line).collect()
}

fn own_inodes() -> io::Result<BTreeSet<String>> {
    let mut inodes = BTreeSet::new();
    for entry in fs::read_dir("/proc/self/fd")? {
        // A descriptor may be closed between the two calls.
        let Ok(target) = fs::read_link(entry?.path()) else {
            continue;
        };
        let target = target.to_string_lossy();
        let inode = target
            .strip_prefix("socket:[")
            .and_then(|rest| rest.strip_suffix(']'));
        inodes.extend(inode.map(str::to_owned));
    }
    Ok(inodes)
}

/// Returns the connections to a listener of this process.
///
/// # Errors
///
/// Fails when `/proc` cannot be read.
pub fn open_connections(listener: SocketAddr) -> io::Result<Vec<OpenConnection>> {
    let inodes = own_inodes()?;
    let mut connections = Vec::new();
    for path in SOCKET_TABLES {
        match fs::read_to_string(path) {
            Ok(table) => connections.extend(parse_connections(&table, listener, &inodes)),
            // A system without one of the two versions has no table of it.
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error),
        }
    }
    Ok(connections)
}

/// Duplicates the descriptors of this process that `is_wanted` selects.
pub fn duplicate_descriptors(is_wanted: impl Fn(&OwnedFd) -> bool) -> Vec<OwnedFd> {
    let own = rustix::process::getpid();
    let pidfd = match rustix::process::pidfd_open(own, PidfdFlags::empty()) {
        Ok(pidfd) => pidfd,
        Err(error) => {
            log::warn!("cannot duplicate descriptors of this process: {error}");
            return Vec::new();
        }
    };
    let entries = match fs::read_dir("/proc/self/fd") {
        Ok(entries) => entries,
        Err(error) => {
            log::warn!("cannot list the descriptors of this process: {error}");
            return Vec::new();
        }
    };
    let duplicate = |number: RawFd| {
        rustix::process::pidfd_getfd(&pidfd, number, PidfdGetfdFlags::empty())
            .inspect_err(|error| {
                // Another thread may have closed the descriptor.
                if *error != Errno::BADF {
                    log::warn!("cannot duplicate descriptor {number}: {error}");
                }
            })
            .ok()
    };
    entries
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<RawFd>().ok())
        .filter_map(duplicate)
        .filter(is_wanted)
        .collect()
}

/// Ends reading on the connections to a listener of this process, so that each is closed after the responses to the requests
/// that have arrived on it.
pub fn end_reading(listener: SocketAddr) {
    let is_connection = |socket: &OwnedFd| {
        let local = rustix::net::getsockname(socket)
            .ok()
            .and_then(|address| SocketAddr::try_from(address).ok());
        let is_connected = rustix::net::getpeername(socket).is_ok_and(|peer| peer.is_some());
        is_connected && local.is_some_and(|local| has_address(listener, local))
    };
    for socket in duplicate_descriptors(is_connection) {
        // A failure is ignored: the caller has closed the connection meanwhile.
        let _ = rustix::net::shutdown(&socket, Shutdown::Read);
    }
}

/// Responses that are written, but not yet with their callers.
///
/// # Invariants
///
/// Contains only connections that had unsent bytes at each update so far.
pub struct UndeliveredResponses {
    idle_time: Duration,
    waiting: Option<BTreeMap<SocketAddr, UnsentBytes>>,
}

#[derive(Clone, Copy)]
struct UnsentBytes {
    count: ByteCount,
    changed_at: Instant,
}

impl UndeliveredResponses {
    /// Starts without connections; the first update adds those that have unsent bytes. A caller that accepts no bytes for
    /// `idle_time` is no longer waited for.
    pub fn new(idle_time: Duration) -> Self {
        Self {
            idle_time,
            waiting: None,
        }
    }

    /// Updates the state and returns the number of callers to wait for.
    pub fn update(&mut self, connections: &[OpenConnection], now: Instant) -> usize {
        let previous = self.waiting.take();
        let idle_time = self.idle_time;
        let mut waiting = BTreeMap::new();
        for connection in connections.iter().filter(|one| one.unsent.0 > 0) {
            let fresh = UnsentBytes {
                count: connection.unsent,
                changed_at: now,
            };
            let bytes = match &previous {
                None => fresh,
                Some(previous) => match previous.get(&connection.peer) {
                    None => continue,
                    Some(bytes) if bytes.count != connection.unsent => fresh,
                    Some(bytes) => *bytes,
                },
            };
            if now.saturating_duration_since(bytes.changed_at) < idle_time {
                waiting.insert(connection.peer, bytes);
            } else {
                log::warn!(
                    "caller {} accepted none of {} bytes of its responses for {idle_time:?}; they are cut",
                    connection.peer,
                    bytes.count.0
                );
            }
        }
        let count = waiting.len();
        self.waiting = Some(waiting);
        count
    }
}
