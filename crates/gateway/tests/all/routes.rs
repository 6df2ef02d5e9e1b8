//! Route matching and API key checks.

use std::rc::Rc;

use jaysaddle_gateway::routes::RouteIndex;
use jaysaddle_gateway::routes::RouteRefusal;

use crate::fixture::ENGINE_SERVICE;
use crate::fixture::PLAIN_SERVICE;
use crate::fixture::config;

fn index() -> RouteIndex {
    RouteIndex::new(Rc::new(config()))
}

#[test]
fn longest_prefix_wins() {
    let index = index();
    let result = index.find("calls.example", "/a/b/c", Some("secret"), "r1");
    assert_eq!(result.expect("a route").service.as_str(), PLAIN_SERVICE);
    let result = index.find("Calls.Example:80", "/a/x?y=/a/b/", Some("secret"), "r1");
    assert_eq!(result.expect("a route").service.as_str(), ENGINE_SERVICE);
}

/// Guards against a prefix that matches part of a path segment: `/a/` must not match `/ab/`.
#[test]
fn prefix_matches_whole_segments() {
    let result = index().find("calls.example", "/ab/c", Some("secret"), "r1");
    assert_eq!(result.err(), Some(RouteRefusal::UnknownRoute));
}

#[test]
fn keys_are_required_except_on_public_routes() {
    let index = index();
    for key in [None, Some("wrong")] {
        let result = index.find("calls.example", "/a/x", key, "r1");
        assert_eq!(result.err(), Some(RouteRefusal::UnknownKey));
        assert!(index.find("calls.example", "/open/x", key, "r1").is_ok());
    }
    let route = index
        .find("calls.example", "/a/x", Some("secret"), "r1")
        .expect("a route");
    assert_eq!(route.account.expect("an account").as_str(), "lender");
    assert_eq!(route.priority, 1);
}

#[test]
fn route_weights_split_requests() {
    let index = index();
    let to_engines = (0..1000)
        .filter(|number| {
            let result = index.find(
                "calls.example",
                "/split/x",
                Some("secret"),
                &number.to_string(),
            );
            result.expect("a route").service.as_str() == ENGINE_SERVICE
        })
        .count();
    assert!((850..=950).contains(&to_engines), "{to_engines}");
}
