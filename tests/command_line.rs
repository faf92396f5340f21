//! Exit codes and messages of the command line.

use std::process::{Command, Output};

use insta::assert_snapshot;

/// Runs the program without the `MINTMOOR_` variables of the environment.
fn run_mintmoor(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mintmoor"));
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("MINTMOOR_")) {
        command.env_remove(name);
    }
    command.args(args).output().unwrap()
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Runs `check` on a file with this text. Returns the exit code and the output.
fn check(kind: &str, text: &str) -> (Option<i32>, String) {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("file.toml"), text).unwrap();
    std::fs::write(dir.path().join("short.key"), "short").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_mintmoor"))
        .current_dir(dir.path())
        .args(["check", "--kind", kind, "file.toml"])
        .output()
        .unwrap();
    (output.status.code(), stderr_of(&output) + &String::from_utf8(output.stdout).unwrap())
}

#[test]
fn version_is_printed() {
    let output = run_mintmoor(&["--version"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().starts_with("mintmoor "));
}

#[test]
fn all_problems_of_a_settings_file_are_reported_at_once() {
    let (code, text) = check(
        "entry",
        r#"[process]
host = "e1"
region = "sicily"
zone = 3.5
[listen]
caler = "127.0.0.1:8080"
operator = "somewhere"
[platform]
table = "ftp://x"
objects = "http://10.0.0.1:7001"
hosts = "http://10.0.0.1:7002"
ratings = ["http://10.0.0.1:7003"]
[keys]
link_file = "short.key"
[control]
heartbeat_ms = 0
"#,
    );
    assert_eq!(code, Some(2));
    assert_snapshot!(text);
}

#[test]
fn toml_syntax_error_is_reported_with_its_line() {
    let (code, text) = check("agent", "[process]\nhost = \n");
    assert_eq!(code, Some(2));
    assert_snapshot!(text);
}

#[test]
fn invalid_objects_are_reported_one_by_one() {
    let (code, text) = check(
        "objects",
        r#"[[object]]
kind = "cascade"
name = "a"
spec = { stages = ["x"], quality = 1 }
[[object]]
kind = "version"
name = "m@1"
spec = { cost_in = "much", cost_out = 1 }
"#,
    );
    assert_eq!(code, Some(2));
    assert_snapshot!(text);
}

#[test]
fn all_scenario_files_are_valid() {
    for file in std::fs::read_dir("scenarios").unwrap() {
        let path = file.unwrap().path();
        let output = run_mintmoor(&["check", "--kind", "scenario", path.to_str().unwrap()]);
        assert!(output.status.success(), "{}: {}", path.display(), stderr_of(&output));
    }
}

#[test]
fn unknown_command_is_named_and_ends_with_the_code_for_wrong_use() {
    let output = run_mintmoor(&["rout"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_of(&output).contains("rout"), "{}", stderr_of(&output));
}

#[test]
fn missing_command_ends_with_the_code_for_wrong_use() {
    let output = run_mintmoor(&[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_of(&output).contains("mintmoor --help"), "{}", stderr_of(&output));
}

#[test]
fn help_of_a_command_is_printed_and_no_failure() {
    let output = run_mintmoor(&["route", "--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("--policy"));
}

#[test]
fn unknown_policy_error_lists_the_known_policies() {
    let output =
        run_mintmoor(&["load", "--scenario", "scenarios/ricarica.toml", "--policy", "best"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_of(&output).contains("least-loaded"), "{}", stderr_of(&output));
}

#[test]
fn remote_command_without_a_key_names_the_variable_to_set() {
    let output = run_mintmoor(&["get", "--operator", "http://127.0.0.1:1", "version"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_of(&output).contains("MINTMOOR_OPERATOR_KEY"), "{}", stderr_of(&output));
}

#[test]
fn completions_contain_every_command() {
    let output = run_mintmoor(&["completions"]);
    let script = String::from_utf8(output.stdout).unwrap();
    let help = String::from_utf8(run_mintmoor(&["--help"]).stdout).unwrap();
    let commands = help.split("Commands:").nth(1).unwrap().lines().filter_map(|line| {
        let line = line.strip_prefix("  ").filter(|line| !line.starts_with(' '))?;
        line.split_whitespace().next()
    });
    for command in commands {
        assert!(script.contains(command), "{command}");
    }
}
