//! The text format of traces; see docs/traces.md.

use std::collections::BTreeMap;
use std::fmt;

use jaysaddle_types::units::TimeSpan;
use serde_json::Map;
use serde_json::Value;

/// An error in a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.message)
    }
}

impl std::error::Error for TraceError {}

/// A stated outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedOutcome {
    /// A whole answer.
    Answered,
    /// The same answer as another request's.
    SameAs(String),
    /// A refusal that says that the request was not run.
    NotRun,
    /// A refusal that says that the request may have run.
    MayHaveRun,
    /// The connection broke without an answer.
    NoAnswer,
}

/// A request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// Name within the trace.
    pub id: String,
    /// Number of the node that it is sent to, from 0.
    pub node: usize,
    /// Client account.
    pub account: String,
    /// Model, for a completion.
    pub model: Option<String>,
    /// Service and path, for a call of a plain service.
    pub service: Option<String>,
    /// Prompt, or body of the call.
    pub prompt: String,
    /// Longest answer.
    pub max_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Deadline in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Stated outcomes; one of them must be met.
    pub expected: Vec<ExpectedOutcome>,
    /// Starts of this prompt over all stand-ins, at most.
    pub runs_at_most: Option<u64>,
}

/// What a line of a trace does.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceAction {
    /// Sends a request.
    Request(TraceRequest),
    /// Switches a fault.
    Fault {
        /// Stand-in concerned.
        standin: String,
        /// Body for its control route.
        fault: Value,
    },
}

/// A line of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceStep {
    /// Time from the start of the replay.
    pub at: TimeSpan,
    /// What happens.
    pub action: TraceAction,
}

/// Splits a line into words; a quoted value may contain spaces.
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
        return Err("a quote is not closed".to_owned());
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
                return Err(format!("{name} is given twice"));
            }
        }
        Ok(Self(fields))
    }

    fn take(&mut self, name: &str) -> Option<String> {
        self.0.remove(name)
    }

    fn need(&mut self, name: &str) -> Result<String, String> {
        self.take(name)
            .ok_or_else(|| format!("{name}=... is missing"))
    }

    fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        self.take(name)
            .map(|text| {
                text.parse()
                    .map_err(|_| format!("{name}={text}: expected a number"))
            })
            .transpose()
    }

    fn finish(self) -> Result<(), String> {
        match self.0.keys().next() {
            Some(name) => Err(format!("{name} is not a field of this line")),
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
    let expected = parse_expected(&fields.need("expect")?)?;
    let idempotent = match fields.take("idempotent").as_deref() {
        None | Some("true") => true,
        Some("false") => false,
        Some(other) => return Err(format!("idempotent={other}: expected true or false")),
    };
    let request = TraceRequest {
        id: fields.need("id")?,
        node: fields.number("node")?.unwrap_or(0),
        account: fields.need("account")?,
        model: fields.take("model"),
        service: fields.take("service"),
        prompt: fields.need("prompt")?,
        max_tokens: fields.number("max_tokens")?.unwrap_or(16),
        idempotent,
        key: fields.take("key"),
        deadline_ms: fields.number("deadline_ms")?,
        expected,
        runs_at_most: fields.number("runs_at_most")?,
    };
    if request.model.is_some() == request.service.is_some() {
        return Err("expected either model=... or service=...".to_owned());
    }
    fields.finish()?;
    Ok(request)
}

fn parse_fault(mut fields: TraceFields) -> Result<TraceAction, String> {
    let standin = fields.need("standin")?;
    let mut fault = Map::new();
    for (name, text) in fields.0 {
        // A value that reads as JSON is passed on as such: numbers and booleans.
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
/// Fails with the line and what is wrong with it, also when lines are not in the order of time.
pub fn parse_trace(text: &str) -> Result<Vec<TraceStep>, TraceError> {
    let mut steps: Vec<TraceStep> = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        let content = line.trim();
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        let error = |message: String| TraceError {
            line: number,
            message,
        };
        let step = parse_line(content).map_err(error)?;
        if steps.last().is_some_and(|last| last.at > step.at) {
            return Err(error("the line is earlier than the one before".to_owned()));
        }
        steps.push(step);
    }
    Ok(steps)
}
