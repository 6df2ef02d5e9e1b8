//! Invalid settings and inventories, as the programs check them without a deployment.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use serde_json::json;

/// A folder of its own for the files of a test.
fn test_folder(name: &str) -> PathBuf {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder can be created");
    folder
}

/// Runs a program to its end and returns its exit code and its messages.
fn run_program(program: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("the program can be started");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

/// Guards against settings that are taken although a field is misspelt or a time has no unit, and
/// against messages that don't name the place.
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
        fs::write(&path, &changed).expect("settings can be written");
        let path = path.to_str().expect("a path in UTF-8");
        let line = changed
            .lines()
            .position(|line| line.trim_start().starts_with(&format!("{field}:")))
            .expect("the field is there")
            + 1;
        // Values that only a check of the whole settings finds come without a line.
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
            assert!(text.contains(&place), "{place} is named: {text}");
            assert!(text.contains(field), "{field} is named: {text}");
        }
    }
    let missing = folder.join("missing.yaml");
    let missing = missing.to_str().expect("a path in UTF-8");
    let (code, text) = run_program(env!("CARGO_BIN_EXE_jaysaddled"), &["--settings", missing]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("missing.yaml"), "{text}");
    let _ = fs::remove_dir_all(folder);
}

/// Guards against inventories that put a VM in two places and are found right by the check.
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
        fs::write(&path, document.to_string()).expect("an inventory can be written");
        path.to_str().expect("a path in UTF-8").to_owned()
    };
    let tool = env!("CARGO_BIN_EXE_jaysaddle");
    let first = inventory("phc-a", &[("vm-1", "f1"), ("vm-2", "f1")]);
    let second = inventory("phc-b", &[("vm-3", "f2")]);
    let (code, text) = run_program(tool, &["check", &first, &second]);
    assert_eq!(code, Some(0), "{text}");

    let twice = inventory("yen-a", &[("vm-7", "f3"), ("vm-8", "f3"), ("vm-7", "f4")]);
    let (code, text) = run_program(tool, &["check", &twice]);
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
