//! Answers callers' question for addresses, the platform's question for readiness, and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jaysaddle_adapter::directory::READY_PATH;
use jaysaddle_adapter::directory::RESOLVE_PATH;
use jaysaddle_adapter::directory::caller_failure_domain;
use jaysaddle_adapter::directory::resolve_body;
use jaysaddle_daemon::clock;
use jaysaddle_daemon::telemetry::MetricsRenderer;
use jaysaddle_fleet::peers::PeerPhase;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::answer::Answer;
use crate::answer::empty;
use crate::answer::json;
use crate::answer::whole_body;
use crate::gauges;
use crate::node::EntryNode;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Addresses in one answer of the directory.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers may keep an answer. Short, so that a node that stops or fails is left soon.
const LIFETIME_SECS: u64 = 1;
/// Time for the header section and for idle connections of these small interfaces.
const HEADER_TIME: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves the directory, readiness and metrics on one listener.
pub async fn serve(node: Rc<EntryNode>, listener: TcpListener, metrics: Rc<MetricsRenderer>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let node = node.clone();
        let metrics = metrics.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let answer = answer(&node, &metrics, &request);
                std::future::ready(Ok::<Answer, Infallible>(answer))
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIME)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("event=directory_connection_ended error=\"{error}\"");
            }
        });
    }
}

fn answer(node: &EntryNode, metrics: &MetricsRenderer, request: &Request<Incoming>) -> Answer {
    match request.uri().path() {
        READY_PATH if node.phase.get() == PeerPhase::Serving => empty(StatusCode::OK),
        READY_PATH => empty(StatusCode::SERVICE_UNAVAILABLE),
        RESOLVE_PATH => resolve(node, request.uri().query().unwrap_or("")),
        METRICS_PATH => {
            gauges::publish_node(node);
            let mut answer = empty(StatusCode::OK);
            *answer.body_mut() = whole_body(metrics.render());
            answer
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn resolve(node: &EntryNode, query: &str) -> Answer {
    let addresses = serving_addresses(node, caller_failure_domain(query));
    if addresses.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lifetime = LIFETIME_SECS.min(node.bounds.get().directory_lifetime_secs);
    json(resolve_body(&addresses, lifetime))
}

/// Addresses of the nodes that take callers, those of the caller's failure domain first.
///
/// All are named, because callers pick one at random: naming only those of the caller's failure domain would
/// load nodes by where their callers are.
fn serving_addresses(node: &EntryNode, caller_domain: Option<&str>) -> Vec<SocketAddr> {
    let now = clock::now();
    let peers = node.peers.borrow();
    let mut nodes: Vec<(bool, SocketAddr)> = peers
        .live(now)
        .filter(|record| record.beat.phase == PeerPhase::Serving)
        .map(|record| {
            let is_near = Some(record.beat.failure_domain.as_str()) == caller_domain;
            (!is_near, record.beat.caller_address)
        })
        .collect();
    if node.phase.get() == PeerPhase::Serving {
        let is_near = Some(node.settings.failure_domain.as_str()) == caller_domain;
        nodes.push((!is_near, node.settings.listen.callers));
    }
    nodes.sort();
    nodes.truncate(MAX_ADDRESSES);
    nodes.into_iter().map(|(_, address)| address).collect()
}
