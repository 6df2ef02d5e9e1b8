//! Client of the operators' HTTP interface.

use std::net::SocketAddr;

use bpaf::Bpaf;
use serde_json::Value;

use crate::exit::CommandFailure;
use crate::exit::FailureKind;

/// Time for one call; a change waits for the store.
const CALL_TIMEOUT_SECS: u64 = 20;

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
    fn send(&self, request: minreq::Request) -> Result<Value, CommandFailure> {
        let response = request
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_timeout(CALL_TIMEOUT_SECS)
            .send()
            .map_err(|error| {
                let message = format!("node {} does not answer: {error}", self.server);
                CommandFailure::new(FailureKind::Unavailable, message)
            })?;
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
        self.send(minreq::get(self.url(path)))
    }

    /// Posts to `path`.
    ///
    /// # Errors
    ///
    /// Fails with the node's reason.
    pub fn post(&self, path: &str) -> Result<Value, CommandFailure> {
        self.send(minreq::post(self.url(path)))
    }

    /// Puts `body` at `path`.
    ///
    /// # Errors
    ///
    /// Fails with the node's reason.
    pub fn put(&self, path: &str, body: String) -> Result<Value, CommandFailure> {
        self.send(minreq::put(self.url(path)).with_body(body))
    }

    /// Prints an answer as JSON, or by `table`.
    pub fn print(&self, answer: &Value, table: impl FnOnce(&Value)) {
        match self.output {
            OutputFormat::Json => println!("{answer:#}"),
            OutputFormat::Table => table(answer),
        }
    }
}
