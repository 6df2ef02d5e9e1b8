//! Saved log lines of nodes on the platform, and what they tell about a request, group, VM or node.

use std::fmt;
use std::fs;
use std::path::Path;

use eyre::WrapErr;

/// Lines about groups and VMs of a request count as related from this long before its first line, in milliseconds:
/// a silent group is suspected and dissolved within two seconds.
const BEFORE_MS: u64 = 3000;
/// Up to this long after its last line, in milliseconds.
const AFTER_MS: u64 = 1000;

/// Events that tell about a node as a whole.
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

/// What is to be explained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubjectKind {
    /// A caller's request, by the caller's id.
    Request,
    /// A group, by its name, with or without its generation.
    Group,
    /// A VM with a backend server.
    Vm,
    /// An entry node.
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

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Time of day in milliseconds since 1970.
    pub time_ms: u64,
    /// The line from its time on.
    pub text: String,
}

impl LogLine {
    /// Takes a line apart; `None` when it has no time. What stands before the time is passed over.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("ts=")?;
        let text = &line[start..];
        let time = text.strip_prefix("ts=")?.split(' ').next()?;
        Some(Self {
            time_ms: time.parse().ok()?,
            text: text.to_owned(),
        })
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut rest = self.text.as_str();
        loop {
            let start = rest.find(name)?;
            let is_whole = start == 0 || rest[..start].ends_with(' ');
            let after = &rest[start + name.len()..];
            match after.strip_prefix('=') {
                Some(value) if is_whole => {
                    return Some(match value.strip_prefix('"') {
                        Some(quoted) => quoted.split('"').next().unwrap_or(quoted),
                        None => value.split(' ').next().unwrap_or(value),
                    });
                }
                _ => rest = after,
            }
        }
    }

    fn names_group(&self, group: &str) -> bool {
        let is_group = |key: &str| key == group || key.split('@').next() == Some(group);
        let is_ordered = || {
            let order = self.field("order")?;
            Some(order.split(' ').any(is_group))
        };
        self.field("group").is_some_and(is_group) || is_ordered().unwrap_or(false)
    }

    fn names_vm(&self, vm: &str) -> bool {
        let names = ["vm", "backend"];
        names.iter().any(|name| self.field(name) == Some(vm))
    }

    fn is_about_request(&self) -> bool {
        self.field("request").is_some()
    }

    fn is_about_node(&self) -> bool {
        self.field("event")
            .is_some_and(|event| NODE_EVENTS.contains(&event))
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Log lines of one or several nodes, in the order of their times.
#[derive(Clone, Debug, Default)]
pub struct SavedLog {
    lines: Vec<LogLine>,
}

impl SavedLog {
    /// Puts together the lines of some texts.
    pub fn new<'a>(texts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut lines: Vec<LogLine> = texts
            .into_iter()
            .flat_map(str::lines)
            .filter_map(LogLine::parse)
            .collect();
        lines.sort_by_key(|line| line.time_ms);
        Self { lines }
    }

    /// Reads log files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read.
    pub fn read<P: AsRef<Path>>(files: &[P]) -> eyre::Result<Self> {
        let mut texts = Vec::with_capacity(files.len());
        for file in files {
            let path = file.as_ref();
            let bytes =
                fs::read(path).wrap_err_with(|| format!("{} cannot be read", path.display()))?;
            // A line that was cut by the end of its process may not be valid text.
            texts.push(String::from_utf8_lossy(&bytes).into_owned());
        }
        Ok(Self::new(texts.iter().map(String::as_str)))
    }

    /// Lines that tell what happened to a subject.
    pub fn explain(&self, kind: SubjectKind, id: &str) -> Vec<&LogLine> {
        match kind {
            SubjectKind::Request => self.explain_request(id),
            SubjectKind::Group => {
                self.select(|line| !line.is_about_request() && line.names_group(id))
            }
            SubjectKind::Vm => self.select(|line| !line.is_about_request() && line.names_vm(id)),
            SubjectKind::Node => {
                self.select(|line| line.field("node") == Some(id) && line.is_about_node())
            }
        }
    }

    fn select(&self, is_wanted: impl Fn(&LogLine) -> bool) -> Vec<&LogLine> {
        self.lines.iter().filter(|line| is_wanted(line)).collect()
    }

    /// Lines of the request, and those about its groups and VMs around that time. A refused request has neither:
    /// then the figures of the fleet tell why.
    fn explain_request(&self, id: &str) -> Vec<&LogLine> {
        let own = self.select(|line| line.field("request") == Some(id));
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return own;
        };
        let took = last
            .field("took_ms")
            .and_then(|took| took.parse().ok())
            .unwrap_or(0);
        let began = first.time_ms.min(last.time_ms.saturating_sub(took));
        let span = began.saturating_sub(BEFORE_MS)..=last.time_ms + AFTER_MS;
        let groups: Vec<&str> = own.iter().filter_map(|line| line.field("group")).collect();
        let vms: Vec<&str> = own
            .iter()
            .filter_map(|line| line.field("backend"))
            .collect();
        let was_sent = !vms.is_empty();
        self.select(|line| {
            if line.is_about_request() {
                return line.field("request") == Some(id);
            }
            let is_related = groups.iter().any(|group| line.names_group(group))
                || vms.iter().any(|vm| line.names_vm(vm));
            let is_summary = line.field("decision") == Some("summary");
            span.contains(&line.time_ms) && (is_related || (!was_sent && is_summary))
        })
    }
}
