//! Refusal of requests that declare a body too large to allocate.
//!
//! When a request is dropped, `tiny_http` 0.12 reads the rest of its body into one buffer of
//! the declared length, and a length that cannot be allocated aborts the process. Such a
//! request is refused and then leaked: its connection is shut down through a duplicate of its
//! descriptor, while the descriptor and the thread that reads the rest of the body remain until
//! the process ends.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use compact_str::format_compact;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;
use rustix::net::Shutdown;
use tiny_http::Request;
use tiny_http::Response;

use crate::connections;
use crate::reply;

/// Declared body length above which a request is abandoned. Buffers up to this length are allocated
/// lazily by the system and freed with the request.
const MAX_DECLARED_BODY: ByteCount = ByteCount(256 << 20);

/// Whether dropping the request could abort the process.
pub fn must_abandon(request: &Request) -> bool {
    request
        .body_length()
        .is_some_and(|length| u64::try_from(length).unwrap_or(u64::MAX) > MAX_DECLARED_BODY.0)
}

/// Duplicates all socket descriptors of this process that are connected to `peer`.
fn sockets_of(peer: SocketAddr) -> Vec<OwnedFd> {
    connections::duplicate_descriptors(|socket| {
        rustix::net::getpeername(socket)
            .ok()
            .flatten()
            .and_then(|address| SocketAddr::try_from(address).ok())
            == Some(peer)
    })
}

/// Refuses a request as too large and shuts down its connection without dropping the request.
pub fn abandon(request: Request) {
    metrics::counter!("jaysaddle_abandoned_connections_total").increment(1);
    let peer = request.remote_addr().copied();
    log::warn!(
        "a request declares a body of {} bytes; shutting down its connection and leaking its descriptor",
        request.body_length().unwrap_or(0)
    );
    let refusal = RequestRefusal::not_run(
        ReasonCode::TooLarge,
        format_compact!("the stated body exceeds {MAX_DECLARED_BODY}"),
    );
    reply::count_refusal(&refusal);
    let response = Response::from_string(reply::refusal_json(&refusal))
        .with_status_code(ReasonCode::TooLarge.http_status());
    // The upgraded stream owns both the reader and the writer, so leaking it keeps both
    // from being dropped.
    std::mem::forget(request.upgrade("close", response));
    let Some(peer) = peer else {
        return;
    };
    for socket in sockets_of(peer) {
        // A failure is ignored: a connection that the peer has closed needs no shutdown.
        let _ = rustix::net::shutdown(&socket, Shutdown::Both);
    }
}
