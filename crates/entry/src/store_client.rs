//! HTTP client for the platform's store.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;

use bytes::Bytes;
use eyre::WrapErr;
use eyre::eyre;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use jaysaddle_adapter::headers;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_adapter::store::encode_call;
use jaysaddle_adapter::store::parse_response;
use jaysaddle_daemon::clock;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::timeout;

use crate::exchange::Connection;
use crate::exchange::ExchangeError;
use crate::exchange::connect;
use crate::exchange::send;

/// Maximum number of idle connections; a watch and a few calls run concurrently.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// HTTP client for the platform's store that reuses connections and tracks whether the store is reachable.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    /// Whether the last call got a response that was not a refusal.
    is_reachable: Cell<bool>,
    /// Start of a call in flight that is not a watch. Reset when any such call ends.
    pending_since: Cell<Option<Timestamp>>,
    /// Era of the last response; `None` before the first that names one.
    era: Cell<Option<StoreEra>>,
    /// Highest era that a peer has announced before this node has seen it.
    announced_era: Cell<Option<StoreEra>>,
    /// Number of times that the store is known to have come back from an older copy.
    restores: Cell<u64>,
    /// Notified when `restores` rises.
    restored: Notify,
}

/// Time without a response to a call after which the store counts as unreachable. The store responds within
/// milliseconds, and within 250 ms when it is slow.
const UNREACHABLE_TIMEOUT: TimeSpan = TimeSpan(450);

impl StoreClient {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            is_reachable: Cell::new(true),
            pending_since: Cell::new(None),
            era: Cell::new(None),
            announced_era: Cell::new(None),
            restores: Cell::new(0),
            restored: Notify::new(),
        }
    }

    /// Era of the store's last response; `None` before the first that names one.
    pub fn era(&self) -> Option<StoreEra> {
        self.era.get()
    }

    /// Number of times that the store is known to have come back from an older copy. Revisions and versions that were
    /// received before the last time are void.
    pub fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Completes when the store has come back from an older copy after the call of this method.
    pub fn restored(&self) -> Notified<'_> {
        self.restored.notified()
    }

    /// Records the era that a peer announces. A peer only tells that there was a restore; the era in force comes from the
    /// store itself, so that a wrong announcement does not make this node refuse the store's responses.
    pub fn record_announced_era(&self, era: StoreEra) {
        let known = self.era.get().max(self.announced_era.get());
        if self.era.get().is_some() && Some(era) > known {
            self.announced_era.set(Some(era));
            self.record_restore(era, "peer");
        }
    }

    fn record_restore(&self, era: StoreEra, source: &str) {
        self.restores.set(self.restores.get() + 1);
        metrics::counter!("jaysaddle_store_restores_total").increment(1);
        log::warn!(
            "event=store_restored era={era} before={} source={source}",
            self.era.get().unwrap_or_default()
        );
        self.restored.notify_waiters();
    }

    /// Checks the era of a response.
    fn check_era(&self, response: &Response<Incoming>) -> eyre::Result<()> {
        let Some(value) = response.headers().get(headers::STORE_ERA) else {
            return Ok(());
        };
        let era = value.to_str().ok().and_then(headers::parse_store_era);
        let era = era.ok_or_else(|| eyre!("undecodable era {value:?}"))?;
        let Some(known) = self.era.get() else {
            self.era.set(Some(era));
            return Ok(());
        };
        if era < known {
            return Err(eyre!("response of era {era}, which has ended"));
        }
        if era > known {
            if self.announced_era.get() < Some(era) {
                self.record_restore(era, "store");
            }
            self.era.set(Some(era));
        }
        Ok(())
    }

    /// Whether the store is unreachable for this node: its last call failed, or one in flight takes too long.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        let has_timed_out = self
            .pending_since
            .get()
            .is_some_and(|since| now.since(since) >= UNREACHABLE_TIMEOUT);
        !self.is_reachable.get() || has_timed_out
    }

    /// Calls the store.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or does not respond in time; the verdict says whether the call may
    /// have been carried out.
    pub async fn call(
        &self,
        call: &StoreCall,
        limit: TimeSpan,
    ) -> Result<StoreResponse, ExchangeError> {
        metrics::counter!("jaysaddle_store_calls_total", "call" => call.label()).increment(1);
        let is_watch = matches!(call, StoreCall::Watch { .. });
        if !is_watch && self.pending_since.get().is_none() {
            self.pending_since.set(Some(clock::now()));
        }
        let started = clock::now();
        let result = match timeout(limit.as_duration(), self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeError::may_have_run(eyre!(
                "no response within {limit}"
            ))),
        };
        if !is_watch {
            let took = clock::now().since(started);
            metrics::histogram!("jaysaddle_store_call_seconds").record(took.as_duration());
            self.pending_since.set(None);
        }
        self.record_outcome(call, &result);
        result
    }

    fn record_outcome(&self, call: &StoreCall, result: &Result<StoreResponse, ExchangeError>) {
        let failure = match result {
            Ok(StoreResponse::Refused { status }) => Some(format!("status {status}")),
            Ok(_) => None,
            Err(error) => Some(format!("{:#}", error.cause)),
        };
        let was_reachable = self.is_reachable.replace(failure.is_none());
        if let Some(failure) = failure {
            metrics::counter!("jaysaddle_store_failures_total", "call" => call.label())
                .increment(1);
            if was_reachable {
                log::warn!(
                    "event=store_lost call={} failure=\"{failure}\"",
                    call.label()
                );
            }
        } else if !was_reachable {
            log::info!("event=store_regained call={}", call.label());
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn exchange(&self, call: &StoreCall) -> Result<StoreResponse, ExchangeError> {
        let encoded = encode_call(call);
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => connect(self.address).await?,
        };
        let mut builder = Request::builder()
            .method(encoded.method)
            .uri(encoded.target.as_str())
            .header(header::HOST, self.address.to_string());
        if !encoded.body.is_empty() {
            builder = builder.header(header::CONTENT_TYPE, "application/json");
        }
        let request = builder
            .body(Full::new(Bytes::from(encoded.body)))
            .map_err(ExchangeError::not_run)?;
        let response = send(&mut connection, request).await?;
        self.check_era(&response)
            .map_err(ExchangeError::may_have_run)?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(ExchangeError::may_have_run)?
            .to_bytes();
        let response = parse_response(call, status, &body)
            .wrap_err_with(|| format!("response to {}", call.label()))
            .map_err(ExchangeError::may_have_run)?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.is_closed() {
            idle.push(connection);
        }
        Ok(response)
    }
}
