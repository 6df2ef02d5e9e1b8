//! Connections that close without an answer, or in the middle of one.

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

/// A server that reads one request, sends `answer` and closes the connection.
fn serve_once(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut request = Vec::new();
        let mut buffer = [0; 1024];
        // The bodies of these tests end with a full stop.
        while !request.ends_with(b".") && !request.starts_with(b"GET") {
            let count = stream.read(&mut buffer).expect("the request arrives");
            request.extend_from_slice(&buffer[..count]);
        }
        stream
            .write_all(answer.as_bytes())
            .expect("the answer is sent");
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

/// Guards against a lost answer of the store that counts as a write without effect.
#[test]
fn write_without_an_answer_is_unknown() {
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

/// Guards against a call whose connection closes, passed on as the service's own status 503.
#[test]
fn call_without_an_answer_has_failed() {
    assert_eq!(call(serve_once("")), ServiceOutcome::Failed);
}

/// Guards against a truncated answer that is passed on as a whole one.
#[test]
fn truncated_answer_has_failed() {
    let address = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart 1 is");
    assert_eq!(call(address), ServiceOutcome::Failed);
}

/// Guards against an engine that closes connections, taken for one that answers nonsense.
#[test]
fn report_without_an_answer_is_refused() {
    let report = HttpEngine.fetch_report(serve_once(""), TimeSpan::from_secs(5));
    assert_eq!(report, Err(ReportFailure::Refused));
}
