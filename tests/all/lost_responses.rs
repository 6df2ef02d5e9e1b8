//! Exit codes of the command-line tool when the response of a node is lost.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;
use std::thread;

/// Starts a server that reads the start of one request and closes the connection.
fn start_closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener can be bound");
    let address = listener
        .local_addr()
        .expect("the listener has a local address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the tool connects");
        let mut buffer = [0; 64 * 1024];
        stream.read(&mut buffer).expect("the request arrives")
    });
    address
}

fn exit_code(server: SocketAddr, arguments: &[&str]) -> Option<i32> {
    let status = Command::new(env!("CARGO_BIN_EXE_jaysaddle"))
        .args(arguments)
        .env("JAYSADDLE_SERVER", server.to_string())
        .env("JAYSADDLE_OPERATOR_KEY", "test-operator-key-0123")
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")))
        .status();
    status.expect("the tool can be run").code()
}

/// Guards against reporting a change as failed although it may have been accepted.
#[test]
fn change_without_response_has_unknown_outcome() {
    let apply = ["apply", "--expect", "0", "examples/quickstart/rules.yaml"];
    assert_eq!(exit_code(start_closing_server(), &apply), Some(5));
    assert_eq!(
        exit_code(start_closing_server(), &["drain", "vm-phc-a-1"]),
        Some(5)
    );
}

/// Guards against reporting an unknown outcome when no node was reached or the command only reads.
#[test]
fn refused_connection_and_lost_read_are_plain_failures() {
    let unused = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener can be bound");
        listener
            .local_addr()
            .expect("the listener has a local address")
    };
    let apply = ["apply", "--expect", "0", "examples/quickstart/rules.yaml"];
    assert_eq!(exit_code(unused, &apply), Some(4));
    assert_eq!(
        exit_code(start_closing_server(), &["get", "groups"]),
        Some(4)
    );
}
