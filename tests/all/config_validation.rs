//! Validation of settings and inventory files by the programs, without a deployment.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use jaysaddle_adapter::config::parse_config;
use jaysaddle_gateway::config_review::compare_configs;
use jaysaddle_gateway::config_review::review_config;
use jaysaddle_platform_standin::remove_keys;
use jaysaddle_platform_standin::set_route_timeouts;
use jaysaddle_platform_standin::stream_config;
use quickcheck::quickcheck;
use serde_json::json;

use crate::platform_nodes::PlatformNodes;

/// Creates a directory for the files of one test.
fn test_folder(name: &str) -> PathBuf {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the directory can be created");
    folder
}

/// Runs a program until it exits and returns its exit code and standard error.
fn run_program(program: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("the program can be started");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

/// Guards against accepting settings with a misspelt field or a value without a unit, and against
/// error messages that do not name file, line and field.
#[test]
fn invalid_settings_are_refused_with_file_line_and_field() {
    let (code, _) = run_program(env!("CARGO_BIN_EXE_jaysaddle"), &["settings", "default"]);
    assert_eq!(code, Some(0));
    let defaults = include_str!("../../src/commands/default-settings.yaml");
    let folder = test_folder("settings");
    for (file, from, to, field) in [
        (
            "unknown.yaml",
            "node: entry-1",
            "node: entry-1\nnodes: 3",
            "nodes",
        ),
        (
            "nested.yaml",
            "  level: info",
            "  level: info\n  colour: red",
            "colour",
        ),
        (
            "unit.yaml",
            "token_timeout: 2s",
            "token_timeout: 2",
            "token_timeout",
        ),
        ("size.yaml", "body: 1MiB", "body: 1000000", "body"),
        (
            "key.yaml",
            "cluster_key: change-me-cluster-key",
            "cluster_key: short",
            "cluster_key",
        ),
    ] {
        assert!(defaults.contains(from), "{from}");
        let changed = defaults.replacen(from, to, 1);
        let path = folder.join(file);
        fs::write(&path, &changed).expect("the settings can be written");
        let path = path.to_str().expect("the path is valid UTF-8");
        let line = changed
            .lines()
            .position(|line| line.trim_start().starts_with(&format!("{field}:")))
            .expect("the field is present")
            + 1;
        // Errors from the check after parsing have no line number.
        let place = if file == "key.yaml" {
            format!("{file}: {field}")
        } else {
            format!("{file}:{line}")
        };
        let daemon = run_program(env!("CARGO_BIN_EXE_jaysaddled"), &["--settings", path]);
        let tool = run_program(
            env!("CARGO_BIN_EXE_jaysaddle"),
            &["settings", "check", path],
        );
        for ((code, text), expected) in [(daemon, 1), (tool, 2)] {
            assert_eq!(code, Some(expected), "{text}");
            assert!(
                text.contains(&place),
                "{place} is missing from the message: {text}"
            );
            assert!(
                text.contains(field),
                "{field} is missing from the message: {text}"
            );
        }
    }
    let missing = folder.join("missing.yaml");
    let missing = missing.to_str().expect("the path is valid UTF-8");
    let (code, text) = run_program(env!("CARGO_BIN_EXE_jaysaddled"), &["--settings", missing]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("missing.yaml"), "{text}");
    let _ = fs::remove_dir_all(folder);
}

/// Guards against a check that accepts a VM listed twice, in one inventory or in two.
#[test]
fn duplicate_vms_in_inventories_fail_check() {
    let folder = test_folder("inventories");
    let inventory = |domain: &str, vms: &[(&str, &str)]| {
        let vms: Vec<_> = vms
            .iter()
            .map(|(name, fabric)| {
                json!({
                    "name": name,
                    "address": format!("127.0.0.{}:7100", &name[3..]),
                    "fabric_domain": fabric,
                    "can_host": ["reminder"],
                })
            })
            .collect();
        let document = json!({ "failure_domain": domain, "region": "ng-south", "vms": vms });
        let path = folder.join(format!("inventory-{domain}.yaml"));
        fs::write(&path, document.to_string()).expect("the inventory can be written");
        path.to_str().expect("the path is valid UTF-8").to_owned()
    };
    let tool = env!("CARGO_BIN_EXE_jaysaddle");
    let first = inventory("phc-a", &[("vm-1", "f1"), ("vm-2", "f1")]);
    let second = inventory("phc-b", &[("vm-3", "f2")]);
    let (code, text) = run_program(tool, &["check", &first, &second]);
    assert_eq!(code, Some(0), "{text}");

    let duplicate = inventory("yen-a", &[("vm-7", "f3"), ("vm-8", "f3"), ("vm-7", "f4")]);
    let (code, text) = run_program(tool, &["check", &duplicate]);
    assert_eq!(code, Some(2), "{text}");
    assert!(
        text.contains("inventory-yen-a.yaml: vms[2].name: vm-7"),
        "{text}"
    );

    let shared = inventory("phc-b", &[("vm-2", "f2")]);
    let (code, text) = run_program(tool, &["check", &first, &shared]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("vm-2 is also listed in"), "{text}");
    assert!(text.contains("inventory-phc-a.yaml") && text.contains("inventory-phc-b.yaml"));
    let _ = fs::remove_dir_all(folder);
}

/// Runs `jaysaddle config check` and returns its exit code and standard output.
fn check_config(text: &str, name: &str, further: &[&str]) -> (Option<i32>, String) {
    let file = test_folder("config").join(name);
    fs::write(&file, text).expect("the file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_jaysaddle"))
        .args(["config", "check"])
        .args(further)
        .arg(&file)
        .output()
        .expect("the program can be started");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code(), text)
}

/// Guards against a review that overlooks errors, entries that can never match and contradictions, or that finds some in a
/// sound configuration.
#[test]
fn review_of_a_configuration_finds_what_is_wrong() {
    let host = "127.0.0.1".parse().expect("an address");
    let good = stream_config(3, &[host], "secret");
    let (code, output) = check_config(&good.to_string(), "good.json", &[]);
    assert_eq!(code, Some(0), "{output}");
    let mut bad = good.clone();
    bad["routes"][0]["service"] = json!("elsewhere");
    bad["routes"][0]["sloMs"] = json!(99_000_000);
    let mut second = bad["routes"][0].clone();
    second["name"] = json!("twin");
    bad["routes"].as_array_mut().expect("routes").push(second);
    bad["routes"]
        .as_array_mut()
        .expect("routes")
        .push(json!({"name": "torn", "kind": "odd"}));
    remove_keys(&mut bad);
    let (code, output) = check_config(&bad.to_string(), "bad.json", &["--output", "json"]);
    assert_eq!(code, Some(2), "{output}");
    let report: serde_json::Value = serde_json::from_str(&output).expect("JSON");
    let findings = report["findings"].to_string();
    for expected in [
        "elsewhere",
        "routes.twin",
        "torn",
        "exceeds the timeout",
        "no key",
    ] {
        assert!(findings.contains(expected), "{expected}: {findings}");
    }
    let (code, _) = check_config("{\n \"version\": ,", "torn.json", &[]);
    assert_eq!(code, Some(2));
}

/// Guards against a comparison that misses a change, shows a key, or accepts a version that no node would apply.
#[test]
fn review_of_a_configuration_compares_it_with_the_one_in_force() {
    let nodes = PlatformNodes::start(1, 2);
    let mut config = stream_config(1, &nodes.addresses, "other-key");
    let store = nodes.standin.store_address.to_string();
    let (code, output) = check_config(&config.to_string(), "old.json", &["--against", &store]);
    assert_eq!(code, Some(2), "{output}");
    assert!(output.contains("not above 1"), "{output}");
    config["version"] = json!(2);
    set_route_timeouts(&mut config, 7000);
    let (code, output) = check_config(&config.to_string(), "new.json", &["--against", &store]);
    assert_eq!(code, Some(0), "{output}");
    for expected in [
        "changed: routes.drafts",
        "changed: accounts.lender",
        "removed: ",
    ] {
        assert!(output.contains(expected), "{expected}: {output}");
    }
    assert!(!output.contains("other-key"));
}

quickcheck! {
    /// Guards against a panic on a file with any byte replaced or left out.
    fn review_of_a_mutated_configuration_never_panics(position: usize, byte: u8, is_cut: bool) -> bool {
        let host = "127.0.0.1".parse().expect("an address");
        let mut text = stream_config(3, &[host], "secret").to_string().into_bytes();
        let position = position % text.len();
        if is_cut {
            text.truncate(position);
        } else {
            text[position] = byte;
        }
        if let Ok(value) = serde_json::from_slice(&text)
            && let Ok(decoded) = parse_config(&value)
        {
            let findings = review_config(&decoded.config);
            return compare_configs(&decoded.config, &decoded.config).is_empty() && findings.len() < 1000;
        }
        true
    }
}
