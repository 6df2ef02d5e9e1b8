//! HTTP client for the platform's store.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::WrapErr;
use eyre::eyre;
use http::Request;
use http::header;
use http_body_util::Full;
use jaysaddle_adapter::headers;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_adapter::store::StoreObject;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_adapter::store::encode_call;
use jaysaddle_adapter::store::parse_response;
use jaysaddle_daemon::clock;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::bounded_body::BodyBounds;
use crate::bounded_body::read_bounded;
use crate::byte_budget::ByteBudget;
use crate::connector::TcpConnector;
use crate::exchange::Connection;
use crate::exchange::ExchangeError;
use crate::exchange::ReceivedResponse;
use crate::exchange::connect;
use crate::exchange::send;
use crate::own_pause::timeout_awake;
use crate::store_era::EraOutcome;
use crate::store_era::EraTracker;

/// Maximum number of idle connections; a watch and a few calls run concurrently.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// Limit of a response, which may list the entries of the whole fleet.
const MAX_RESPONSE: ByteCount = ByteCount(8 << 20);
/// Counter of unreadable objects.
pub const UNREADABLE_OBJECTS: &str = "jaysaddle_objects_unreadable_total";
/// Maximum number of bytes of an unreadable object's name in a log line.
const MAX_LOGGED_NAME: usize = 64;
/// Name of the store in logs.
const STORE_NAME: &str = "store";

/// HTTP client for the platform's store that reuses connections and tracks whether the store is reachable.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    /// Limit on the memory of all responses.
    budget: Arc<ByteBudget>,
    idle: RefCell<Vec<Connection>>,
    /// Whether the last call got a response that was not a refusal.
    is_reachable: Cell<bool>,
    /// Time since which a call in flight that is not a watch takes too long. Reset when any such call ends.
    overdue_since: Cell<Option<Timestamp>>,
    era: RefCell<EraTracker>,
    /// Notified when the store is known to have come back from an older copy.
    restored: Notify,
}

/// Time without a response to a call after which the store counts as unreachable. The store responds within
/// milliseconds, and within 250 ms when it is slow.
const UNREACHABLE_TIMEOUT: TimeSpan = TimeSpan(450);

/// Reports the unreadable objects of a response, with one line for all of them.
fn report_unreadable(call: &StoreCall, response: &StoreResponse) {
    let (objects, unnamed): (Vec<&StoreObject>, usize) = match response {
        StoreResponse::Page {
            objects, unnamed, ..
        } => (objects.iter().collect(), *unnamed),
        StoreResponse::Changes {
            changes, unnamed, ..
        } => (
            changes.iter().map(|change| &change.object).collect(),
            *unnamed,
        ),
        StoreResponse::Object(object) => (vec![object], 0),
        _ => return,
    };
    let faults = || {
        let faulty = objects.iter();
        faulty.filter_map(|object| object.fault.as_ref().map(|fault| (&object.name, fault)))
    };
    let count = faults().count() + unnamed;
    if count == 0 {
        return;
    }
    let kind = call.kind().as_str();
    metrics::counter!(UNREADABLE_OBJECTS, "kind" => kind).increment(count as u64);
    let (name, fault) = faults()
        .next()
        .map_or(("", "no usable name"), |(name, fault)| {
            (name.as_str(), fault.as_str())
        });
    let name = &name[..name.floor_char_boundary(MAX_LOGGED_NAME)];
    log::warn!("event=object_unreadable kind={kind} name={name:?} reason={fault:?} count={count}");
}

impl StoreClient {
    pub fn new(address: SocketAddr, budget: Arc<ByteBudget>) -> Self {
        Self {
            address,
            budget,
            idle: RefCell::default(),
            is_reachable: Cell::new(true),
            overdue_since: Cell::new(None),
            era: RefCell::default(),
            restored: Notify::new(),
        }
    }

    /// Era of the store's last response; `None` before the first that names one.
    pub fn era(&self) -> Option<StoreEra> {
        self.era.borrow().era()
    }

    /// Number of times that the store is known to have come back from an older copy. Revisions and versions that were
    /// received before the last time are void.
    pub fn restores(&self) -> u64 {
        self.era.borrow().restores()
    }

    /// Completes when the store has come back from an older copy after the call of this method.
    pub fn restored(&self) -> Notified<'_> {
        self.restored.notified()
    }

    /// Records the era that a peer announces.
    pub fn record_announced_era(&self, era: StoreEra) {
        let before = self.era();
        if self.era.borrow_mut().announce(era) {
            self.report_restore(era, before, "peer");
        }
    }

    fn report_restore(&self, era: StoreEra, before: Option<StoreEra>, source: &str) {
        metrics::counter!("jaysaddle_store_restores_total").increment(1);
        let before = before.unwrap_or_default();
        log::warn!("event=store_restored era={era} before={before} source={source}");
        self.restored.notify_waiters();
    }

    /// Checks the era of a response. One without a decodable era is used.
    fn check_era(&self, response: &ReceivedResponse) -> eyre::Result<()> {
        let Some(value) = response.headers().get(headers::STORE_ERA) else {
            return Ok(());
        };
        let Some(era) = value.to_str().ok().and_then(headers::parse_store_era) else {
            log::warn!("event=store_era_undecodable value={value:?}");
            return Ok(());
        };
        let before = self.era();
        let outcome = self.era.borrow_mut().observe(era, clock::now());
        match outcome {
            EraOutcome::Current => {}
            EraOutcome::Restored => self.report_restore(era, before, "store"),
            EraOutcome::Outdated => return Err(eyre!("response of era {era}, which has ended")),
        }
        Ok(())
    }

    /// Whether the store is unreachable for this node: its last call failed, or one in flight takes too long.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        let overdue_since = self.overdue_since.get();
        !self.is_reachable.get() || overdue_since.is_some_and(|since| now >= since)
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
        let started = clock::now();
        let exchange = async {
            let exchange = self.exchange(call);
            if is_watch {
                return exchange.await;
            }
            tokio::pin!(exchange);
            match timeout_awake(UNREACHABLE_TIMEOUT, &mut exchange).await {
                Some(result) => result,
                None => {
                    self.overdue_since.set(Some(clock::now()));
                    exchange.await
                }
            }
        };
        let result = timeout_awake(limit, exchange).await.unwrap_or_else(|| {
            Err(ExchangeError::may_have_run(eyre!(
                "no response within {limit}"
            )))
        });
        if !is_watch {
            let took = clock::now().since(started);
            metrics::histogram!("jaysaddle_store_call_seconds").record(took.as_duration());
            self.overdue_since.set(None);
        }
        self.record_outcome(call, &result);
        if let Ok(response) = &result {
            report_unreadable(call, response);
        }
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
            None => connect(&TcpConnector, self.address, STORE_NAME, Box::new(|| {})).await?,
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
        let bounds = BodyBounds {
            limit: MAX_RESPONSE,
            budget: &self.budget,
            sender: STORE_NAME,
        };
        let body = read_bounded(response.into_body(), bounds)
            .await
            .map_err(ExchangeError::may_have_run)?;
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
