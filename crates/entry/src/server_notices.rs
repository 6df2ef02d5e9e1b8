//! Reads what a backend server states about itself in the headers of its responses.

use http::HeaderMap;
use http::HeaderName;
use http::Response;
use http::StatusCode;
use http::header;
use jaysaddle_adapter::headers;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;

use crate::caller_request::header_text;
use crate::stated_limit::StatedLimit;
use crate::stated_limit::stated_limit;

/// What a response states about its backend server, beyond the answer to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerNotices {
    /// Limit on the requests of all nodes together.
    pub limit: StatedLimit,
    /// Whether the backend server is leaving, so that it must get no new requests.
    pub is_leaving: bool,
    /// Time for which the backend server wants nothing from this node; `None` if it has not asked for a pause.
    pub pause: Option<TimeSpan>,
    /// Time for which the backend server stays cold; `None` if the response does not state it.
    pub cold: Option<TimeSpan>,
}

/// Returns the decoded value of a header; `None` if it is missing, repeated or not as the platform specifies. The latter
/// two are logged.
fn single_value<T>(
    map: &HeaderMap,
    name: &HeaderName,
    backend: &VmId,
    parse: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let mut values = map.get_all(name).iter();
    let first = values.next()?;
    let decoded = first.to_str().ok().and_then(parse);
    if decoded.is_none() || values.next().is_some() {
        log::warn!("event=notice_undecodable vm={backend} header={name} value={first:?}");
        return None;
    }
    decoded
}

/// Reads the notices in a response to the request `request_id`, which is empty for a call without an id.
///
/// A refusal because of the expected backend server may come from another one at the same address, and a response to
/// another request may be a late copy, so neither states anything.
pub fn read_notices<B>(response: &Response<B>, request_id: &str, backend: &VmId) -> ServerNotices {
    let map = response.headers();
    let status = response.status();
    let is_other = header_text(map, &headers::REQUEST_ID).is_some_and(|id| id != request_id);
    let limit = stated_limit(response, request_id, backend);
    if status == StatusCode::MISDIRECTED_REQUEST || is_other {
        return ServerNotices {
            limit,
            is_leaving: false,
            pause: None,
            cold: None,
        };
    }
    let leaving = single_value(
        map,
        &headers::SERVER_LEAVING,
        backend,
        headers::parse_leaving,
    );
    let pause = if status == StatusCode::SERVICE_UNAVAILABLE {
        single_value(map, &header::RETRY_AFTER, backend, headers::parse_pause)
    } else {
        None
    };
    ServerNotices {
        limit,
        is_leaving: leaving.is_some(),
        pause,
        cold: single_value(map, &headers::COLD_MS, backend, headers::parse_cold),
    }
}
