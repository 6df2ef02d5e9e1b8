//! Validation of documents beyond their syntax.

use std::collections::BTreeSet;
use std::fmt;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::inventory::InventoryDocument;
use jaysaddle_types::rules::RulesDocument;

use crate::documents::ConfigDocument;
use crate::documents::DocumentKind;
use crate::node::MIN_KEY_CHARS;
use crate::node::NodeSettings;

/// Validation error of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentProblem {
    /// Path of the field, such as `vms[3].fabric_domain`.
    pub field: CompactString,
    /// Description of the error, with the accepted values.
    pub message: CompactString,
}

impl fmt::Display for DocumentProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

fn problem(field: impl Into<CompactString>, message: impl Into<CompactString>) -> DocumentProblem {
    DocumentProblem {
        field: field.into(),
        message: message.into(),
    }
}

/// Maximum size of a group, in VMs. Groups have 16 VMs at the design size.
pub const MAX_VMS_PER_GROUP: u32 = 256;

/// Validates a daemon's settings.
pub fn check_settings(settings: &NodeSettings) -> Vec<DocumentProblem> {
    let mut problems = Vec::new();
    for (field, key) in [
        ("cluster_key", &settings.cluster_key),
        ("operator_key", &settings.operator_key),
    ] {
        if key.chars().count() < MIN_KEY_CHARS {
            let message = format_compact!("must have at least {MIN_KEY_CHARS} characters");
            problems.push(problem(field, message));
        }
    }
    if settings.log.level.parse::<LogLevel>().is_err() {
        problems.push(problem(
            "log.level",
            "must be one of error, warn, info, debug, trace",
        ));
    }
    if settings.limits.requests == 0 {
        problems.push(problem("limits.requests", "must be at least 1"));
    }
    if settings.limits.deadline > settings.limits.max_deadline {
        problems.push(problem(
            "limits.deadline",
            format_compact!(
                "must not exceed limits.max_deadline ({})",
                settings.limits.max_deadline
            ),
        ));
    }
    if settings.timing.stop_limit <= settings.timing.discovery_ttl {
        problems.push(problem(
            "timing.stop_limit",
            format_compact!(
                "must exceed timing.discovery_ttl ({})",
                settings.timing.discovery_ttl
            ),
        ));
    }
    problems
}

struct LogLevel;

impl std::str::FromStr for LogLevel {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "error" | "warn" | "info" | "debug" | "trace" => Ok(LogLevel),
            _ => Err(()),
        }
    }
}

/// Validates the rules document.
pub fn check_rules(rules: &RulesDocument) -> Vec<DocumentProblem> {
    let mut problems = Vec::new();
    for (field, weight) in [
        ("objective.downtime", rules.objective.downtime),
        ("objective.stranded", rules.objective.stranded),
    ] {
        if !weight.is_finite() || weight < 0.0 {
            problems.push(problem(field, "must be a number of at least 0"));
        }
    }
    if rules.weight_store.concurrent_loads == 0 {
        problems.push(problem(
            "weight_store.concurrent_loads",
            "must be at least 1",
        ));
    }
    if rules.weight_store.load_rate.0 == 0 {
        problems.push(problem("weight_store.load_rate", "must be at least 1/s"));
    }
    check_models(rules, &mut problems);
    check_accounts(rules, &mut problems);
    problems
}

fn check_models(rules: &RulesDocument, problems: &mut Vec<DocumentProblem>) {
    let mut names = BTreeSet::new();
    for (index, model) in rules.models.iter().enumerate() {
        if !names.insert(&model.name) {
            let message = format_compact!("{} is named twice", model.name);
            problems.push(problem(format_compact!("models[{index}].name"), message));
        }
        if !(1..=MAX_VMS_PER_GROUP).contains(&model.vms_per_group) {
            problems.push(problem(
                format_compact!("models[{index}].vms_per_group"),
                format_compact!("must be from 1 to {MAX_VMS_PER_GROUP}"),
            ));
        }
        if model.slots_per_group.0 == 0 {
            let field = format_compact!("models[{index}].slots_per_group");
            problems.push(problem(field, "must be at least 1"));
        }
        for account in &model.accounts {
            if rules.account(account).is_none() {
                problems.push(problem(
                    format_compact!("models[{index}].accounts"),
                    format_compact!("{account} is not among the accounts"),
                ));
            }
        }
    }
}

fn check_accounts(rules: &RulesDocument, problems: &mut Vec<DocumentProblem>) {
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (index, account) in rules.accounts.iter().enumerate() {
        if !names.insert(&account.name) {
            let message = format_compact!("{} is named twice", account.name);
            problems.push(problem(format_compact!("accounts[{index}].name"), message));
        }
        let key_field = format_compact!("accounts[{index}].key_sha256");
        let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if account.key_sha256.len() != 64 || !account.key_sha256.chars().all(is_hex) {
            problems.push(problem(key_field, "must be 64 characters out of 0-9 a-f"));
        } else if !keys.insert(&account.key_sha256) {
            problems.push(problem(key_field, "two accounts must not share a key"));
        }
        if account.priority > 9 {
            let field = format_compact!("accounts[{index}].priority");
            problems.push(problem(field, "must be from 0 to 9"));
        }
        if account
            .max_slots
            .is_some_and(|max| max < account.reserved_slots)
        {
            let field = format_compact!("accounts[{index}].max_slots");
            problems.push(problem(field, "must not be below reserved_slots"));
        }
    }
}

/// Validates the inventory of one failure domain; `kind` carries the failure domain in the
/// document's name.
pub fn check_inventory(kind: &DocumentKind, inventory: &InventoryDocument) -> Vec<DocumentProblem> {
    let mut problems = Vec::new();
    if *kind != DocumentKind::Inventory(inventory.failure_domain.clone()) {
        problems.push(problem(
            "failure_domain",
            format_compact!(
                "{} does not match the document's name {kind}",
                inventory.failure_domain
            ),
        ));
    }
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (index, vm) in inventory.vms.iter().enumerate() {
        if !names.insert(&vm.name) {
            problems.push(problem(
                format_compact!("vms[{index}].name"),
                format_compact!(
                    "{} is listed twice; a VM sits in one fabric domain",
                    vm.name
                ),
            ));
        }
        if !addresses.insert(vm.address) {
            problems.push(problem(
                format_compact!("vms[{index}].address"),
                format_compact!("{} belongs to another VM", vm.address),
            ));
        }
        if vm.accelerators == 0 {
            let field = format_compact!("vms[{index}].accelerators");
            problems.push(problem(field, "must be at least 1"));
        }
    }
    problems
}

/// Validates any configuration document.
pub fn check_document(kind: &DocumentKind, document: &ConfigDocument) -> Vec<DocumentProblem> {
    match document {
        ConfigDocument::Rules(rules) => check_rules(rules),
        ConfigDocument::Inventory(inventory) => check_inventory(kind, inventory),
        ConfigDocument::Drains(_) => Vec::new(),
    }
}
