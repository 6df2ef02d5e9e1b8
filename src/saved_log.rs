//! Reads saved logs of nodes on the platform and selects the lines about a request, group, VM or node.

use std::fmt;
use std::fs;
use std::path::Path;

use eyre::WrapErr;

/// Time before the first line of a request from which lines about its groups and VMs count as related, in milliseconds.
/// A stalled group is suspected and dissolved within two seconds.
const CONTEXT_BEFORE_MS: u64 = 3000;
/// Time after the last line of a request up to which such lines count as related, in milliseconds.
const CONTEXT_AFTER_MS: u64 = 1000;

/// Values of `event` that concern the whole node.
const NODE_EVENTS: [&str; 14] = [
    "started",
    "stopping",
    "stopped",
    "lease_acquired",
    "lease_taken_over",
    "lease_handed_over",
    "lease_lost",
    "store_lost",
    "store_regained",
    "config_in_force",
    "config_undecodable",
    "settings_changed",
    "settings_refused",
    "table_copied",
];

/// Kind of subject that can be explained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubjectKind {
    /// A request, identified by the id that its caller gave it.
    Request,
    /// A group, identified by its name, with or without its generation.
    Group,
    /// A VM that runs a backend server.
    Vm,
    /// A node that accepts callers' requests.
    Node,
}

impl std::str::FromStr for SubjectKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "request" => Ok(SubjectKind::Request),
            "group" => Ok(SubjectKind::Group),
            "vm" => Ok(SubjectKind::Vm),
            "node" => Ok(SubjectKind::Node),
            other => Err(format!(
                "{other:?} cannot be explained: expected request, group, vm or node"
            )),
        }
    }
}

/// A log line with a timestamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Timestamp in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Text of the line, starting at its timestamp field.
    pub text: String,
}

impl LogLine {
    /// Parses a line; `None` if it has no timestamp. Any text before the timestamp is dropped.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("ts=")?;
        let text = &line[start..];
        let time = text.strip_prefix("ts=")?.split(' ').next()?;
        Some(Self {
            time_ms: time.parse().ok()?,
            text: text.to_owned(),
        })
    }

    /// Returns the value of a `key=value` field, without quotes.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut rest = self.text.as_str();
        loop {
            let start = rest.find(name)?;
            let is_word_start = start == 0 || rest[..start].ends_with(' ');
            let after = &rest[start + name.len()..];
            match after.strip_prefix('=') {
                Some(value) if is_word_start => {
                    return Some(match value.strip_prefix('"') {
                        Some(quoted) => quoted.split('"').next().unwrap_or(quoted),
                        None => value.split(' ').next().unwrap_or(value),
                    });
                }
                _ => rest = after,
            }
        }
    }

    fn refers_to_group(&self, group: &str) -> bool {
        let is_group = |key: &str| key == group || key.split('@').next() == Some(group);
        let is_in_order = || {
            let order = self.field("order")?;
            Some(order.split(' ').any(is_group))
        };
        self.field("group").is_some_and(is_group) || is_in_order().unwrap_or(false)
    }

    fn refers_to_vm(&self, vm: &str) -> bool {
        let fields = ["vm", "backend"];
        fields.iter().any(|name| self.field(name) == Some(vm))
    }

    fn is_request_line(&self) -> bool {
        self.field("request").is_some()
    }

    fn is_node_event(&self) -> bool {
        self.field("event")
            .is_some_and(|event| NODE_EVENTS.contains(&event))
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Log lines of one or more nodes, sorted by timestamp.
#[derive(Clone, Debug, Default)]
pub struct SavedLog {
    lines: Vec<LogLine>,
}

impl SavedLog {
    /// Merges the lines of several logs.
    pub fn new<'a>(texts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut lines: Vec<LogLine> = texts
            .into_iter()
            .flat_map(str::lines)
            .filter_map(LogLine::parse)
            .collect();
        lines.sort_by_key(|line| line.time_ms);
        Self { lines }
    }

    /// Reads and merges log files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read.
    pub fn read<P: AsRef<Path>>(files: &[P]) -> eyre::Result<Self> {
        let mut texts = Vec::with_capacity(files.len());
        for file in files {
            let path = file.as_ref();
            let bytes =
                fs::read(path).wrap_err_with(|| format!("failed to read {}", path.display()))?;
            // The last line may be truncated inside a character if the process was killed.
            texts.push(String::from_utf8_lossy(&bytes).into_owned());
        }
        Ok(Self::new(texts.iter().map(String::as_str)))
    }

    /// Returns the lines that explain what happened to a subject.
    pub fn explain(&self, kind: SubjectKind, id: &str) -> Vec<&LogLine> {
        match kind {
            SubjectKind::Request => self.explain_request(id),
            SubjectKind::Group => {
                self.select(|line| !line.is_request_line() && line.refers_to_group(id))
            }
            SubjectKind::Vm => self.select(|line| !line.is_request_line() && line.refers_to_vm(id)),
            SubjectKind::Node => {
                self.select(|line| line.field("node") == Some(id) && line.is_node_event())
            }
        }
    }

    fn select(&self, predicate: impl Fn(&LogLine) -> bool) -> Vec<&LogLine> {
        self.lines.iter().filter(|line| predicate(line)).collect()
    }

    /// Returns the lines of a request and the lines about its groups and VMs around that time. A request that was
    /// never sent to a backend server has no groups or VMs; its lines come with the fleet summaries instead.
    fn explain_request(&self, id: &str) -> Vec<&LogLine> {
        let request_lines = self.select(|line| line.field("request") == Some(id));
        let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
            return request_lines;
        };
        let duration_ms = last
            .field("took_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let start_ms = first.time_ms.min(last.time_ms.saturating_sub(duration_ms));
        let window = start_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last.time_ms + CONTEXT_AFTER_MS;
        let groups: Vec<&str> = request_lines
            .iter()
            .filter_map(|line| line.field("group"))
            .collect();
        let vms: Vec<&str> = request_lines
            .iter()
            .filter_map(|line| line.field("backend"))
            .collect();
        let was_sent = !vms.is_empty();
        self.select(|line| {
            if line.is_request_line() {
                return line.field("request") == Some(id);
            }
            let is_related = groups.iter().any(|group| line.refers_to_group(group))
                || vms.iter().any(|vm| line.refers_to_vm(vm));
            let is_summary = line.field("decision") == Some("summary");
            window.contains(&line.time_ms) && (is_related || (!was_sent && is_summary))
        })
    }
}
