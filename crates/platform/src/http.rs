//! HTTP client of the platform's object store and VM list.

use std::net::SocketAddr;

use compact_str::CompactString;
use eyre::WrapErr;
use eyre::bail;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;

use crate::PlatformStore;
use crate::WatchBatch;

/// Timeout of one call. The store responds in milliseconds; a longer timeout would only delay the
/// decision that the store is unavailable. `minreq` expects whole seconds.
const CALL_TIMEOUT_SECS: u64 = 2;

/// Time after the end of a watch's wait until the connection is considered stalled.
const WATCH_GRACE_SECS: u64 = 3;

/// Header of every call, since `minreq` uses a connection only once. Without it a server would keep
/// the connection open for further requests, and a lost response would be detected only after
/// [`CALL_TIMEOUT_SECS`].
const CLOSE_CONNECTION: (&str, &str) = ("Connection", "close");

/// Reason phrase that `minreq` generates, with status 503, when the connection closes
/// before a response. Treating it as a response would report a write whose response was
/// lost as one without effect.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// HTTP implementation of [`PlatformStore`]. It opens a connection per call.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct VersionBody {
    version: ObjectVersion,
}

#[derive(Deserialize)]
struct WatchBody {
    revision: StoreRevision,
    objects: Vec<StoredObject>,
}

impl HttpStore {
    /// Creates a client of the platform at `address`. No connection is opened yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    fn object_url(&self, kind: ObjectKind, name: &str) -> CompactString {
        compact_str::format_compact!("http://{}/objects/{}/{name}", self.address, kind.as_str())
    }

    fn get(&self, kind: ObjectKind, name: &str) -> StoreOutcome {
        let result = minreq::get(self.object_url(kind, name))
            .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
            .with_timeout(CALL_TIMEOUT_SECS)
            .send();
        // A read has no effect, so every failure only means that the store is unavailable.
        let Ok(response) = result else {
            return StoreOutcome::Unavailable;
        };
        match response.status_code {
            200 => match serde_json::from_slice(response.as_bytes()) {
                Ok(object) => StoreOutcome::Found(object),
                Err(_) => StoreOutcome::Unavailable,
            },
            404 => StoreOutcome::Missing,
            _ => StoreOutcome::Unavailable,
        }
    }

    fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> StoreOutcome {
        let result = minreq::put(self.object_url(kind, name))
            .with_header("If-Match", expected.to_string())
            .with_body(value)
            .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
            .with_timeout(CALL_TIMEOUT_SECS)
            .send();
        // After the request was sent, a failure leaves open whether the write took effect. Only a
        // refused connection proves that the store has not received it.
        let response = match result {
            Ok(response) if response.reason_phrase == NO_STATUS_LINE => {
                return StoreOutcome::Unknown;
            }
            Ok(response) => response,
            Err(minreq::Error::IoError(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                return StoreOutcome::Unavailable;
            }
            Err(_) => return StoreOutcome::Unknown,
        };
        let version = serde_json::from_slice::<VersionBody>(response.as_bytes());
        match (response.status_code, version) {
            (200, Ok(body)) => StoreOutcome::Written(body.version),
            (409, Ok(body)) => StoreOutcome::Conflict(body.version),
            (429 | 503, _) => StoreOutcome::Unavailable,
            _ => StoreOutcome::Unknown,
        }
    }
}

impl PlatformStore for HttpStore {
    fn call(&self, request: &StoreRequest) -> StoreOutcome {
        match request {
            StoreRequest::Get { kind, name } => self.get(*kind, name),
            StoreRequest::Put {
                kind,
                name,
                expected,
                value,
                ..
            } => self.put(*kind, name, *expected, value),
        }
    }

    fn watch(
        &self,
        kind: ObjectKind,
        after: StoreRevision,
        wait: TimeSpan,
    ) -> eyre::Result<WatchBatch> {
        let url = format!(
            "http://{}/objects/{}?after={after}&wait_ms={}",
            self.address,
            kind.as_str(),
            wait.as_millis()
        );
        let response = minreq::get(url)
            .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
            .with_timeout(wait.as_millis() / 1000 + WATCH_GRACE_SECS)
            .send()
            .wrap_err("watch of the platform's store failed")?;
        if response.status_code != 200 {
            bail!(
                "the platform's store responded to a watch with status {}",
                response.status_code
            );
        }
        let body: WatchBody = serde_json::from_slice(response.as_bytes())
            .wrap_err("the platform's store responded to a watch with an invalid body")?;
        Ok(WatchBatch {
            revision: body.revision,
            objects: body.objects,
        })
    }

    fn list_vms(&self) -> eyre::Result<Vec<ListedVm>> {
        let response = minreq::get(format!("http://{}/vms", self.address))
            .with_header(CLOSE_CONNECTION.0, CLOSE_CONNECTION.1)
            .with_timeout(CALL_TIMEOUT_SECS)
            .send()
            .wrap_err("reading the platform's VM list failed")?;
        if response.status_code != 200 {
            bail!(
                "the platform responded to a VM list request with status {}",
                response.status_code
            );
        }
        serde_json::from_slice(response.as_bytes())
            .wrap_err("the platform responded to a VM list request with an invalid body")
    }
}
