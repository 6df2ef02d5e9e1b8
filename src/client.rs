//! Client of the operators' HTTP interface.

use std::io::ErrorKind;
use std::net::SocketAddr;

use bpaf::Bpaf;
use serde_json::Value;

use crate::exit::CommandFailure;
use crate::exit::FailureKind;

/// Time for one call; a change waits for the store.
const CALL_TIMEOUT_SECS: u64 = 20;

/// Reason phrase that `minreq` makes up, with status 503, when the connection closes before an
/// answer.
pub const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// Options of every command that talks to a node.
#[derive(Clone, Debug, Bpaf)]
pub struct ServerOptions {
    /// Operators' address of any node
    #[bpaf(long, argument("IP:PORT"), env("JAYSADDLE_SERVER"))]
    pub server: SocketAddr,
    /// Operators' key; better given by the environment than on the command line
    #[bpaf(long, argument("KEY"), env("JAYSADDLE_OPERATOR_KEY"))]
    pub key: String,
    /// Form of the output: table or json
    #[bpaf(external(output_format), fallback(OutputFormat::Table))]
    pub output: OutputFormat,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    Table,
    /// For programs: the node's answer as it came.
    Json,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            other => Err(format!(
                "{other:?} is no output format: expected table or json"
            )),
        }
    }
}

fn output_format() -> impl bpaf::Parser<OutputFormat> {
    bpaf::long("output")
        .short('o')
        .help("Form of the output: table or json")
        .argument::<OutputFormat>("FORMAT")
}

fn failure_of(status: u16, body: &Value) -> CommandFailure {
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
        .unwrap_or("the node gave no reason")
        .to_owned();
    if let Some(version) = body["version"].as_u64() {
        message.push_str(&format!("; version {version} is in force"));
    }
    for problem in body["problems"].as_array().into_iter().flatten() {
        message.push_str(&format!("\n  {}", problem.as_str().unwrap_or_default()));
    }
    CommandFailure::new(kind, message)
}

impl ServerOptions {
    /// Sends a request; `lost` is the kind of failure when the answer to a sent request is missing.
    fn send(&self, request: minreq::Request, lost: FailureKind) -> Result<Value, CommandFailure> {
        let answer = request
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_timeout(CALL_TIMEOUT_SECS)
            .send();
        let response = match answer {
            Ok(response) if response.reason_phrase == NO_STATUS_LINE => {
                let message = format!(
                    "node {} closed the connection without an answer",
                    self.server
                );
                return Err(CommandFailure::new(lost, message));
            }
            Ok(response) => response,
            Err(error) => {
                let message = format!("node {} does not answer: {error}", self.server);
                let refused = matches!(
                    &error,
                    minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused
                );
                let kind = if refused {
                    FailureKind::Unavailable
                } else {
                    lost
                };
                return Err(CommandFailure::new(kind, message));
            }
        };
        let body: Value = serde_json::from_slice(response.as_bytes()).map_err(|error| {
            let message = format!("node {} gave an invalid answer: {error}", self.server);
            CommandFailure::new(FailureKind::Failed, message)
        })?;
        if response.status_code == 200 {
            Ok(body)
        } else {
            Err(failure_of(response.status_code, &body))
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.server)
    }

    /// Reads `path`.
    ///
    /// # Errors
    ///
    /// Fails with the node's reason.
    pub fn get(&self, path: &str) -> Result<Value, CommandFailure> {
        self.send(minreq::get(self.url(path)), FailureKind::Unavailable)
    }

    /// Posts to `path`.
    ///
    /// # Errors
    ///
    /// Fails with the node's reason.
    pub fn post(&self, path: &str) -> Result<Value, CommandFailure> {
        self.send(minreq::post(self.url(path)), FailureKind::Unknown)
    }

    /// Puts `body` at `path`.
    ///
    /// # Errors
    ///
    /// Fails with the node's reason.
    pub fn put(&self, path: &str, body: String) -> Result<Value, CommandFailure> {
        self.send(
            minreq::put(self.url(path)).with_body(body),
            FailureKind::Unknown,
        )
    }

    /// Prints an answer as JSON, or by `table`.
    pub fn print(&self, answer: &Value, table: impl FnOnce(&Value)) {
        match self.output {
            OutputFormat::Json => println!("{answer:#}"),
            OutputFormat::Table => table(answer),
        }
    }
}
