//! Tests of clients whose connections are closed without a response or in the middle of one.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use jaysaddle_engine::EngineClient;
use jaysaddle_engine::HttpEngine;
use jaysaddle_engine::ReportFailure;
use jaysaddle_engine::ServiceCall;
use jaysaddle_engine::ServiceOutcome;
use jaysaddle_platform::HttpStore;
use jaysaddle_platform::PlatformStore;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::units::TimeSpan;

/// Starts a server that reads one request, sends `response` and closes the connection.
fn serve_once(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut request = Vec::new();
        let mut buffer = [0; 1024];
        // The request bodies of these tests end with a full stop.
        while !request.ends_with(b".") && !request.starts_with(b"GET") {
            let count = stream.read(&mut buffer).expect("the request arrives");
            request.extend_from_slice(&buffer[..count]);
        }
        stream
            .write_all(response.as_bytes())
            .expect("the response is sent");
    });
    address
}

fn call(address: SocketAddr) -> ServiceOutcome {
    let call = ServiceCall {
        request_id: RequestId::new("r1"),
        path: "reserve".into(),
        content_type: "text/plain".into(),
        body: b"part 1.".to_vec(),
        timeout: TimeSpan::from_secs(10),
    };
    HttpEngine.call_service(address, &call)
}

/// Guards against reporting a write as failed although the response was lost and the write may
/// have taken effect.
#[test]
fn write_without_response_is_unknown() {
    let store = HttpStore::new(serve_once(""));
    let outcome = store.call(&StoreRequest::Put {
        kind: ObjectKind::Config,
        name: "rules".into(),
        expected: ObjectVersion(0),
        write_id: WriteId::new("write-1"),
        value: "value.".to_owned(),
    });
    assert_eq!(outcome, StoreOutcome::Unknown);
}

/// Guards against forwarding a closed connection as status 503 of the service itself.
#[test]
fn call_without_response_fails() {
    assert_eq!(call(serve_once("")), ServiceOutcome::Failed);
}

/// Guards against forwarding a truncated response as a complete one.
#[test]
fn truncated_response_fails() {
    let address = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart 1 is");
    assert_eq!(call(address), ServiceOutcome::Failed);
}

/// Guards against reporting an engine that closes connections as one that sends invalid responses.
#[test]
fn report_without_response_is_refused() {
    let report = HttpEngine.fetch_report(serve_once(""), TimeSpan::from_secs(5));
    assert_eq!(report, Err(ReportFailure::Refused));
}
