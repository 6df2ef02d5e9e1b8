//! Request limits in responses.

use http::Response;
use jaysaddle_adapter::headers;
use jaysaddle_entry::stated_limit::StatedLimit;
use jaysaddle_entry::stated_limit::stated_limit;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::RequestLimit;

/// What a response to the request `r1` states. `id` is the request id that it echoes.
fn stated(status: u16, limit: Option<&str>, id: Option<&str>, has_seal: bool) -> StatedLimit {
    let mut response = Response::builder().status(status);
    if let Some(limit) = limit {
        response = response.header(headers::REQUEST_LIMIT, limit);
    }
    if let Some(id) = id {
        response = response.header(headers::REQUEST_ID, id);
    }
    if has_seal {
        response = response.header(headers::RESPONSE_SEAL, "seal");
    }
    let response = response.body(()).expect("a response");
    stated_limit(&response, "r1", &VmId::new("vm"))
}

/// Guards against a limit that is overlooked in a refusal or a failure.
#[test]
fn every_response_of_the_backend_server_may_state_a_limit() {
    let limit = RequestLimit::from_per_second(1.2).expect("a limit");
    for (status, id, has_seal) in [
        (200, Some("r1"), true),
        (500, Some("r1"), true),
        (503, Some("r1"), false),
        (503, None, false),
    ] {
        let stated = stated(status, Some("1.2"), id, has_seal);
        assert_eq!(stated, StatedLimit::Limited(limit), "{status}");
    }
}

/// Guards against a limit of another backend server at the same address, or of another request.
#[test]
fn other_responses_state_nothing() {
    for (status, id) in [(421, Some("r1")), (421, None), (200, Some("r2"))] {
        for limit in [Some("1.2"), None] {
            assert_eq!(stated(status, limit, id, true), StatedLimit::Unknown);
        }
    }
}

/// Guards against a limit that ends with a response that the backend server has not produced, or with one that cannot be
/// decoded.
#[test]
fn only_a_sealed_response_withdraws_a_limit() {
    assert_eq!(stated(200, None, Some("r1"), true), StatedLimit::Unlimited);
    assert_eq!(stated(503, None, Some("r1"), false), StatedLimit::Unknown);
    assert_eq!(stated(200, None, None, true), StatedLimit::Unknown);
    for text in ["-1", "many", "nan", ""] {
        let stated = stated(200, Some(text), Some("r1"), true);
        assert_eq!(stated, StatedLimit::Unknown, "{text:?}");
    }
}
