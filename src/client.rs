//! HTTP client of a node's operator interface.

use std::io::ErrorKind;
use std::net::SocketAddr;

use bpaf::Bpaf;
use serde_json::Value;

use crate::exit::CommandFailure;
use crate::exit::FailureKind;

/// Timeout of one HTTP call. It allows for a change that waits for the store.
const CALL_TIMEOUT_SECS: u64 = 20;

/// Reason phrase of the response that `minreq` synthesizes, with status 503, when the connection is
/// closed before a status line arrives.
pub const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// Node to call and format of the output
#[derive(Clone, Debug, Bpaf)]
pub struct ServerOptions {
    /// Operator address of any node
    #[bpaf(long, argument("IP:PORT"), env("JAYSADDLE_SERVER"))]
    pub server: SocketAddr,
    /// Operator key; prefer the environment variable, since other users can read the command line
    #[bpaf(long, argument("KEY"), env("JAYSADDLE_OPERATOR_KEY"))]
    pub key: String,
    /// Output format: table or json
    #[bpaf(external(output_format), fallback(OutputFormat::Table))]
    pub output: OutputFormat,
}

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned text columns.
    Table,
    /// The node's response body as JSON.
    Json,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            other => Err(format!(
                "{other:?} is not an output format: expected table or json"
            )),
        }
    }
}

fn output_format() -> impl bpaf::Parser<OutputFormat> {
    bpaf::long("output")
        .short('o')
        .help("Output format: table or json")
        .argument::<OutputFormat>("FORMAT")
}

fn failure_from_response(status: u16, body: &Value) -> CommandFailure {
    let kind = match status {
        400 | 413 | 422 => FailureKind::Invalid,
        404 => FailureKind::NotFound,
        409 => FailureKind::Conflict,
        503 => FailureKind::Unavailable,
        504 => FailureKind::Unknown,
        _ => FailureKind::Failed,
    };
    let mut message = body["error"]["message"]
        .as_str()
        .unwrap_or("the node returned an error without a message")
        .to_owned();
    if let Some(version) = body["version"].as_u64() {
        message.push_str(&format!("; the current version is {version}"));
    }
    for problem in body["problems"].as_array().into_iter().flatten() {
        message.push_str(&format!("\n  {}", problem.as_str().unwrap_or_default()));
    }
    CommandFailure::new(kind, message)
}

impl ServerOptions {
    /// Sends a request and parses the response. If the request may have been sent but no response
    /// arrives, the failure is of kind `no_response_kind`.
    fn send(
        &self,
        request: minreq::Request,
        no_response_kind: FailureKind,
    ) -> Result<Value, CommandFailure> {
        let result = request
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_timeout(CALL_TIMEOUT_SECS)
            .send();
        let response = match result {
            Ok(response) if response.reason_phrase == NO_STATUS_LINE => {
                let message = format!(
                    "node {} closed the connection without a response",
                    self.server
                );
                return Err(CommandFailure::new(no_response_kind, message));
            }
            Ok(response) => response,
            Err(error) => {
                let message = format!("node {} does not respond: {error}", self.server);
                let refused = matches!(
                    &error,
                    minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused
                );
                let kind = if refused {
                    FailureKind::Unavailable
                } else {
                    no_response_kind
                };
                return Err(CommandFailure::new(kind, message));
            }
        };
        let body: Value = serde_json::from_slice(response.as_bytes()).map_err(|error| {
            let message = format!(
                "node {} sent a response that is not valid JSON: {error}",
                self.server
            );
            CommandFailure::new(FailureKind::Failed, message)
        })?;
        if response.status_code == 200 {
            Ok(body)
        } else {
            Err(failure_from_response(response.status_code, &body))
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.server)
    }

    /// Sends a GET request for `path` and returns the response body.
    ///
    /// # Errors
    ///
    /// Fails with the node's error message, or when the node does not respond.
    pub fn get(&self, path: &str) -> Result<Value, CommandFailure> {
        self.send(minreq::get(self.url(path)), FailureKind::Unavailable)
    }

    /// Sends a POST request without a body to `path` and returns the response body.
    ///
    /// # Errors
    ///
    /// Fails with the node's error message, or when the node does not respond.
    pub fn post(&self, path: &str) -> Result<Value, CommandFailure> {
        self.send(minreq::post(self.url(path)), FailureKind::Unknown)
    }

    /// Sends a PUT request with `body` to `path` and returns the response body.
    ///
    /// # Errors
    ///
    /// Fails with the node's error message, or when the node does not respond.
    pub fn put(&self, path: &str, body: String) -> Result<Value, CommandFailure> {
        self.send(
            minreq::put(self.url(path)).with_body(body),
            FailureKind::Unknown,
        )
    }

    /// Prints a response body in the selected format; `print_table` prints the table.
    pub fn print(&self, body: &Value, print_table: impl FnOnce(&Value)) {
        match self.output {
            OutputFormat::Json => println!("{body:#}"),
            OutputFormat::Table => print_table(body),
        }
    }
}
