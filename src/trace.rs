//! Parser for the text format of traces; see docs/traces.md.

use std::collections::BTreeMap;
use std::fmt;

use jaysaddle_types::units::TimeSpan;
use serde_json::Map;
use serde_json::Value;

/// Syntax or consistency error in a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.message)
    }
}

impl std::error::Error for TraceError {}

/// Outcome that a trace expects of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedOutcome {
    /// A complete response with status 200.
    Answered,
    /// The same response as the request with this id.
    SameAs(String),
    /// A refusal with the verdict `not_run`.
    NotRun,
    /// A refusal with the verdict `may_have_run`.
    MayHaveRun,
    /// The connection ended without a response.
    NoAnswer,
}

/// Request that a trace sends, with its expected outcomes.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// Id of the request, unique within the trace.
    pub id: String,
    /// Index of the node that receives the request, starting at 0.
    pub node: usize,
    /// Client account that sends the request.
    pub account: String,
    /// Model of a completion request; absent for a service call.
    pub model: Option<String>,
    /// Service and path of a service call; absent for a completion request.
    pub service: Option<String>,
    /// Prompt of a completion request or body of a service call.
    pub prompt: String,
    /// Maximum number of tokens in the response.
    pub max_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key, if the request carries one.
    pub key: Option<String>,
    /// Deadline in milliseconds, if the request carries one.
    pub deadline_ms: Option<u64>,
    /// Expected outcomes, one of which must occur.
    pub expected: Vec<ExpectedOutcome>,
    /// Maximum number of starts of this prompt over all stand-ins, if the trace limits it.
    pub runs_at_most: Option<u64>,
}

/// Action of a trace line.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceAction {
    /// Send a request.
    Request(TraceRequest),
    /// Set or clear a fault of a stand-in.
    Fault {
        /// Name of the stand-in.
        standin: String,
        /// Request body for the stand-in's `/control/fault` route.
        fault: Value,
    },
}

/// Line of a trace: an action and the time at which it is performed.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceStep {
    /// Time from the start of the replay.
    pub at: TimeSpan,
    /// Action to take at that time.
    pub action: TraceAction,
}

/// Splits a line into words at spaces outside double quotes, and removes the quotes.
fn split_words(line: &str) -> Result<Vec<String>, String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut quoted = false;
    for c in line.chars() {
        match c {
            '"' => quoted = !quoted,
            ' ' if !quoted => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            other => word.push(other),
        }
    }
    if quoted {
        return Err("a double quote is not closed".to_owned());
    }
    if !word.is_empty() {
        words.push(word);
    }
    Ok(words)
}

struct TraceFields(BTreeMap<String, String>);

impl TraceFields {
    fn from_words(words: &[String]) -> Result<Self, String> {
        let mut fields = BTreeMap::new();
        for word in words {
            let (name, value) = word
                .split_once('=')
                .ok_or_else(|| format!("{word:?}: expected field=value"))?;
            if fields.insert(name.to_owned(), value.to_owned()).is_some() {
                return Err(format!("field {name} is given twice"));
            }
        }
        Ok(Self(fields))
    }

    fn take(&mut self, name: &str) -> Option<String> {
        self.0.remove(name)
    }

    fn require(&mut self, name: &str) -> Result<String, String> {
        self.take(name)
            .ok_or_else(|| format!("field {name} is missing"))
    }

    fn parse_number<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        self.take(name)
            .map(|text| {
                text.parse()
                    .map_err(|_| format!("{name}={text}: expected a number"))
            })
            .transpose()
    }

    fn finish(self) -> Result<(), String> {
        match self.0.keys().next() {
            Some(name) => Err(format!("unknown field {name}")),
            None => Ok(()),
        }
    }
}

fn parse_expected(text: &str) -> Result<Vec<ExpectedOutcome>, String> {
    text.split('|')
        .map(|part| match part {
            "answered" => Ok(ExpectedOutcome::Answered),
            "not_run" => Ok(ExpectedOutcome::NotRun),
            "may_have_run" => Ok(ExpectedOutcome::MayHaveRun),
            "no_answer" => Ok(ExpectedOutcome::NoAnswer),
            other => other
                .strip_prefix("same:")
                .map(|id| ExpectedOutcome::SameAs(id.to_owned()))
                .ok_or_else(|| {
                    format!(
                        "expect={other}: expected answered, same:<id>, not_run, may_have_run or \
                         no_answer"
                    )
                }),
        })
        .collect()
}

fn parse_request(mut fields: TraceFields) -> Result<TraceRequest, String> {
    let expected = parse_expected(&fields.require("expect")?)?;
    let idempotent = match fields.take("idempotent").as_deref() {
        None | Some("true") => true,
        Some("false") => false,
        Some(other) => return Err(format!("idempotent={other}: expected true or false")),
    };
    let request = TraceRequest {
        id: fields.require("id")?,
        node: fields.parse_number("node")?.unwrap_or(0),
        account: fields.require("account")?,
        model: fields.take("model"),
        service: fields.take("service"),
        prompt: fields.require("prompt")?,
        max_tokens: fields.parse_number("max_tokens")?.unwrap_or(16),
        idempotent,
        key: fields.take("key"),
        deadline_ms: fields.parse_number("deadline_ms")?,
        expected,
        runs_at_most: fields.parse_number("runs_at_most")?,
    };
    if request.model.is_some() == request.service.is_some() {
        return Err("expected either model=... or service=...".to_owned());
    }
    fields.finish()?;
    Ok(request)
}

fn parse_fault(mut fields: TraceFields) -> Result<TraceAction, String> {
    let standin = fields.require("standin")?;
    let mut fault = Map::new();
    for (name, text) in fields.0 {
        // Values that parse as JSON, such as numbers and booleans, keep their type.
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        fault.insert(name, value);
    }
    Ok(TraceAction::Fault {
        standin,
        fault: Value::Object(fault),
    })
}

fn parse_line(line: &str) -> Result<TraceStep, String> {
    let words = split_words(line)?;
    let [at, time, action, rest @ ..] = words.as_slice() else {
        return Err("expected: at <time> request|fault field=value ...".to_owned());
    };
    if at != "at" {
        return Err(format!("{at:?}: expected at <time>"));
    }
    let at = time
        .parse::<TimeSpan>()
        .map_err(|error| error.to_string())?;
    let fields = TraceFields::from_words(rest)?;
    let action = match action.as_str() {
        "request" => TraceAction::Request(parse_request(fields)?),
        "fault" => parse_fault(fields)?,
        other => return Err(format!("{other:?}: expected request or fault")),
    };
    Ok(TraceStep { at, action })
}

/// Parses a trace.
///
/// # Errors
///
/// Fails with the first invalid line. Lines must be in the order of their times.
pub fn parse_trace(text: &str) -> Result<Vec<TraceStep>, TraceError> {
    let mut steps: Vec<TraceStep> = Vec::new();
    for (line_number, line) in (1..).zip(text.lines()) {
        let content = line.trim();
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        let error = |message: String| TraceError {
            line: line_number,
            message,
        };
        let step = parse_line(content).map_err(error)?;
        if steps.last().is_some_and(|last| last.at > step.at) {
            return Err(error(
                "the time is earlier than that of the line before".to_owned(),
            ));
        }
        steps.push(step);
    }
    Ok(steps)
}
