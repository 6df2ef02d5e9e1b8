//! Reads the request limit of a backend server from its responses.

use http::Response;
use http::StatusCode;
use jaysaddle_adapter::headers;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::RequestLimit;

use crate::caller_request::header_text;

/// What a response states about the request limit of its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedLimit {
    /// The limit that is in force.
    Limited(RequestLimit),
    /// No limit is in force.
    Unlimited,
    /// Nothing that can be relied upon.
    Unknown,
}

/// Returns what a response to the request `request_id` states about the request limit of `backend`.
///
/// A refusal because of the expected backend server may come from another one at the same address. A missing limit
/// counts only in a response that the backend server itself has produced for this request.
pub fn stated_limit<B>(response: &Response<B>, request_id: &str, backend: &VmId) -> StatedLimit {
    let map = response.headers();
    let echoed = header_text(map, &headers::REQUEST_ID);
    if response.status() == StatusCode::MISDIRECTED_REQUEST
        || echoed.is_some_and(|id| id != request_id)
    {
        return StatedLimit::Unknown;
    }
    let Some(value) = map.get(headers::REQUEST_LIMIT) else {
        return if echoed.is_some() && map.contains_key(headers::RESPONSE_SEAL) {
            StatedLimit::Unlimited
        } else {
            StatedLimit::Unknown
        };
    };
    match value.to_str().ok().and_then(headers::parse_request_limit) {
        Some(limit) => StatedLimit::Limited(limit),
        None => {
            log::warn!("event=request_limit_undecodable vm={backend} value={value:?}");
            StatedLimit::Unknown
        }
    }
}
