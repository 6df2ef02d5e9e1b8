//! Validation of settings and inventory files by the programs, without a deployment.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use serde_json::json;

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
