//! The command-line program: exit codes, error lines, JSON output and signals.

use std::process::{Command, Output, Stdio};

/// Writes the plan to a temporary file and runs the program on it.
fn run_command(name: &str, text: &str, options: &[&str]) -> Output {
    let file = std::env::temp_dir().join(format!("scale-{}-{name}.toml", std::process::id()));
    std::fs::write(&file, text).expect("cannot write the plan");
    let output = Command::new(env!("CARGO_BIN_EXE_scale-test"))
        .arg(&file)
        .args(options)
        .output()
        .expect("cannot run the program");
    std::fs::remove_file(&file).expect("cannot remove the plan");
    output
}

/// Top-level keys of a plan with the balancer alone.
const BALANCER_PLAN: &str = "name = \"m\"\nkind = \"module\"\nover = \"backends\"\nlongest_s = 60\n";

#[test]
fn invalid_plan_exits_with_code_2_and_one_error_line() {
    let output = run_command("bad", &format!("{BALANCER_PLAN}[[points]]\nbackends = 8\nclasses = 0\n"), &[]);
    assert_eq!(output.status.code(), Some(2));
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(line, "scale-test: points[0].classes: expected a whole number from 1 to 20000\n");
    let too_long =
        run_command("over", &format!("{BALANCER_PLAN}[[points]]\nbackends = 8\nseeds = 100\n"), &[]);
    assert_eq!(too_long.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&too_long.stderr).starts_with("scale-test: longest_s: expected at least 100")
    );
}

#[test]
fn json_option_writes_results_as_json_lines() {
    let point = "[[points]]\nbackends = 8\nseeds = 1\nlabel = \"few\"\n";
    let output = run_command("json", &format!("{BALANCER_PLAN}{point}"), &["--json", "-"]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    let line: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("output is not one line of JSON");
    let reported =
        (line["plan"].as_str(), line["size"].as_f64(), line["label"].as_str(), line["passed"].as_bool());
    assert_eq!(reported, (Some("m"), Some(8.0), Some("few"), Some(true)));
    assert!(line["figures"]["request_us"].as_f64().is_some_and(|us| us > 0.0));
}

#[test]
fn sigint_stops_the_run_and_is_reported() {
    let point = "[[points]]\nbackends = 8\nproxies = 3\nrest_s = 30\n";
    let text = BALANCER_PLAN.replace("module", "hollow").replace("= 60", "= 100");
    let file = std::env::temp_dir().join(format!("scale-{}-interrupt.toml", std::process::id()));
    std::fs::write(&file, format!("{text}{point}")).expect("cannot write the plan");
    let mut command = Command::new(env!("CARGO_BIN_EXE_scale-test"));
    let child = command
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the program");
    std::thread::sleep(std::time::Duration::from_secs(2));
    let pid = nix::unistd::Pid::from_raw(i32::try_from(child.id()).expect("process id out of range"));
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGINT).expect("cannot send SIGINT");
    let output = child.wait_with_output().expect("cannot wait for the program");
    std::fs::remove_file(&file).expect("cannot remove the plan");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(String::from_utf8_lossy(&output.stderr), "scale-test: ended by SIGINT\n");
}
