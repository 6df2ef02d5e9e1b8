//! Reviews a configuration before it is sent: what is wrong, what can never match, what contradicts itself, and what
//! differs from the configuration in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use jaysaddle_types::serving::EngineProfile;
use jaysaddle_types::serving::RequestKind;
use jaysaddle_types::serving::RouteRule;
use jaysaddle_types::serving::ServingConfig;

/// Weight of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// The entry is not valid. Nodes leave it out, or ignore the whole configuration.
    Error,
    /// The entry is valid, but no request can ever use it.
    NeverMatches,
    /// Values of the entry contradict each other.
    Contradiction,
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            FindingKind::Error => "error",
            FindingKind::NeverMatches => "never_matches",
            FindingKind::Contradiction => "contradiction",
        })
    }
}

/// Something that an operator should know before sending a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReviewFinding {
    /// Weight of the finding.
    pub kind: FindingKind,
    /// Entry and field, such as `routes.r1.split`.
    pub field: CompactString,
    /// What is wrong, and what is expected.
    pub text: CompactString,
}

impl fmt::Display for ReviewFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.kind, self.field, self.text)
    }
}

/// Collects findings.
#[derive(Default)]
struct FindingList(Vec<ReviewFinding>);

impl FindingList {
    fn add(&mut self, kind: FindingKind, field: impl fmt::Display, text: impl Into<CompactString>) {
        self.0.push(ReviewFinding {
            kind,
            field: field.to_compact_string(),
            text: text.into(),
        });
    }
}

/// Reviews a configuration by itself. Findings are in the order of the configuration.
pub fn review_config(config: &ServingConfig) -> Vec<ReviewFinding> {
    let mut findings = FindingList::default();
    let mut prefixes: HashMap<(&str, &str), &str> = HashMap::new();
    for route in &config.routes {
        let key = (route.host.as_str(), route.path_prefix.as_str());
        if let Some(earlier) = prefixes.get(&key) {
            findings.add(
                FindingKind::NeverMatches,
                format_compact!("routes.{}", route.name),
                format_compact!("route {earlier} has the same host and prefix and comes first"),
            );
        } else {
            prefixes.insert(key, route.name.as_str());
        }
        review_route(route, config, &mut findings);
    }
    for service in &config.services {
        let field = format_compact!("services.{}", service.id);
        let mut routes = config.routes.iter();
        let is_used = routes.any(|route| route.targets.iter().any(|(id, _)| *id == service.id));
        if !is_used {
            findings.add(
                FindingKind::NeverMatches,
                &field,
                "no route leads to this service",
            );
        }
        if service.max_connections == 0 {
            findings.add(
                FindingKind::Contradiction,
                format_compact!("{field}.connections"),
                "0 connections serve no request; expected 1 or more",
            );
        }
        if let Some(engine) = &service.engine {
            review_engine(engine, &field, &mut findings);
        }
    }
    review_accounts(config, &mut findings);
    let limits = &config.limits;
    if limits.header_bytes == 0 || limits.header_time.0 == 0 || limits.idle_time.0 == 0 {
        findings.add(
            FindingKind::Contradiction,
            "limits",
            "with a header size, header time or idle time of 0, no request is read; expected more",
        );
    }
    findings.0
}

fn review_route(route: &RouteRule, config: &ServingConfig, findings: &mut FindingList) {
    let field = |name: &str| format_compact!("routes.{}.{name}", route.name);
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        findings.add(
            FindingKind::Error,
            field("prefix"),
            format_compact!("{prefix:?} must begin and end with a slash"),
        );
    }
    for (service, _) in &route.targets {
        if config.service(service).is_none() {
            findings.add(
                FindingKind::Error,
                field("service"),
                format_compact!("service {service} does not exist"),
            );
        }
    }
    if route.targets.iter().all(|(_, weight)| *weight == 0) {
        findings.add(
            FindingKind::NeverMatches,
            field("split"),
            "no service has a weight above 0",
        );
    }
    if route.max_attempts == 0 {
        findings.add(
            FindingKind::Contradiction,
            field("attempts"),
            "with 0 attempts no request is sent; expected 1 or more",
        );
    }
    if route.latency_target > route.timeout {
        findings.add(
            FindingKind::Contradiction,
            field("latency"),
            format_compact!(
                "the latency objective {} exceeds the timeout {}",
                route.latency_target,
                route.timeout
            ),
        );
    }
    if let RequestKind::Stream { pause_target, .. } = route.kind
        && pause_target > route.timeout
    {
        findings.add(
            FindingKind::Contradiction,
            field("pause"),
            format_compact!(
                "the pause {pause_target} exceeds the timeout {}",
                route.timeout
            ),
        );
    }
    let has_keys = config.accounts.as_ref().is_none_or(|accounts| {
        let mut accounts = accounts.iter();
        accounts.any(|account| !account.keys.is_empty())
    });
    if !route.is_public && !has_keys {
        findings.add(
            FindingKind::NeverMatches,
            field("public"),
            "the route asks for a key, and no client account has one",
        );
    }
}

fn review_engine(engine: &EngineProfile, field: &str, findings: &mut FindingList) {
    if engine.slots.0 == 0 {
        findings.add(
            FindingKind::Contradiction,
            format_compact!("{field}.slots"),
            "0 slots serve no request; expected 1 or more",
        );
    }
    if engine.models.is_empty() {
        findings.add(
            FindingKind::NeverMatches,
            format_compact!("{field}.models"),
            "an engine without a model serves no request",
        );
    }
    if engine.loads_per_second <= 0.0 || engine.concurrent_loads == 0 {
        findings.add(
            FindingKind::Contradiction,
            format_compact!("{field}.loads"),
            "no load of weights is allowed, so no group can be formed",
        );
    }
    let mut names = BTreeSet::new();
    for model in &engine.models {
        if !names.insert(&model.id) {
            findings.add(
                FindingKind::NeverMatches,
                format_compact!("{field}.models.{}", model.id),
                "an earlier model has the same name",
            );
        }
        if model.time_factor <= 0.0 {
            findings.add(
                FindingKind::Contradiction,
                format_compact!("{field}.models.{}", model.id),
                format_compact!("pace {} must be above 0", model.time_factor),
            );
        }
    }
}

fn review_accounts(config: &ServingConfig, findings: &mut FindingList) {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for account in config.accounts.iter().flatten() {
        let field = format_compact!("accounts.{}", account.id);
        if account.keys.is_empty() {
            findings.add(
                FindingKind::NeverMatches,
                &field,
                "the client account has no key",
            );
        }
        for key in &account.keys {
            if let Some(owner) = owners.insert(key, account.id.as_str()) {
                findings.add(
                    FindingKind::Error,
                    &field,
                    format_compact!(
                        "one of its keys also belongs to {owner}; only one of them gets it"
                    ),
                );
            }
        }
    }
}

/// How an entry differs from the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DifferenceKind {
    /// The entry is new.
    Added,
    /// The entry has other values.
    Changed,
    /// The entry is left out.
    Removed,
}

impl fmt::Display for DifferenceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            DifferenceKind::Added => "added",
            DifferenceKind::Changed => "changed",
            DifferenceKind::Removed => "removed",
        })
    }
}

/// An entry that differs from the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDifference {
    /// Entry, such as `routes.r1`.
    pub entry: CompactString,
    /// How it differs.
    pub kind: DifferenceKind,
}

impl fmt::Display for ConfigDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.entry)
    }
}

fn compare<T: PartialEq>(
    kind: &str,
    old: BTreeMap<CompactString, &T>,
    mut new: BTreeMap<CompactString, &T>,
    differences: &mut Vec<ConfigDifference>,
) {
    for (name, entry) in old {
        let kind_of_difference = match new.remove(&name) {
            Some(other) if other == entry => continue,
            Some(_) => DifferenceKind::Changed,
            None => DifferenceKind::Removed,
        };
        differences.push(ConfigDifference {
            entry: format_compact!("{kind}.{name}"),
            kind: kind_of_difference,
        });
    }
    differences.extend(new.into_keys().map(|name| ConfigDifference {
        entry: format_compact!("{kind}.{name}"),
        kind: DifferenceKind::Added,
    }));
}

/// Entries of `new` that differ from those of `old`, in the order of their names. Keys of client accounts are compared and not
/// named.
pub fn compare_configs(old: &ServingConfig, new: &ServingConfig) -> Vec<ConfigDifference> {
    let mut differences = Vec::new();
    compare(
        "routes",
        old.routes
            .iter()
            .map(|route| (route.name.clone(), route))
            .collect(),
        new.routes
            .iter()
            .map(|route| (route.name.clone(), route))
            .collect(),
        &mut differences,
    );
    compare(
        "services",
        old.services
            .iter()
            .map(|service| (service.id.to_compact_string(), service))
            .collect(),
        new.services
            .iter()
            .map(|service| (service.id.to_compact_string(), service))
            .collect(),
        &mut differences,
    );
    let old_accounts = old.accounts.as_deref().unwrap_or_default();
    let new_accounts = new.accounts.as_deref().unwrap_or_default();
    compare(
        "accounts",
        old_accounts
            .iter()
            .map(|account| (account.id.to_compact_string(), account))
            .collect(),
        new_accounts
            .iter()
            .map(|account| (account.id.to_compact_string(), account))
            .collect(),
        &mut differences,
    );
    if old.limits != new.limits {
        differences.push(ConfigDifference {
            entry: "limits".into(),
            kind: DifferenceKind::Changed,
        });
    }
    differences
}
