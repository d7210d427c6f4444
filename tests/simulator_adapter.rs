//! The simulator adapter as a process: its output and exit status for given input.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"blend":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.1},
"costs":{"cross_zone":0.02,"waste":0.1},"customers":[{"name":"north","quota_rps":50.0,"share":1.0}],"discovery":"automatic","position":0,"group_size":1,
"granularity_us":5000,"kinds":["big","small"],"my_zone":"east","zones":["east","west"],"novelty":[1,{"a":2}],
"limits":{"cancel":true,"max_attempts":3,"parallel_tries":true,"probes":true},"over_share_worth":0.1,
"profiles":[{"name":"read","aim_us":300000,"deadline_us":900000,"effect":"free","gain":1.0,"late_worth":0.0},
{"name":"pay","aim_us":300000,"deadline_us":900000,"effect":"single_shot","gain":4.0,"late_worth":0.2},
{"name":"vote","aim_us":300000,"deadline_us":900000,"effect":"guarded","key_scope":"zone","window_us":500000,
"gain":4.0,"late_worth":0.2}],
"rules":{"answer_slack_us":16000,"cold_from":0.3,"fall_multiple":2.5,"must_ask_in_us":9000000,
"ramp_time_us":9000000,"stop_sending_within_us":500000,"tip_after_us":2000000}}"#;

/// The message that creates the instance proxy-3 with these settings.
fn create(settings: &str) -> String {
    format!("[\"CREATE\",\"proxy-3\",99,{}]\n", settings.replace('\n', ""))
}

/// An endpoint list with one backend, and the message that delivers it to proxy-3.
const LIST: &str = r#"["SNAPSHOT_ROWS",0,[["east",0,"big","10.0.0.1:80","IN",1,null]]]
["VIEW","proxy-3",0,4,"warm_copy"]
"#;

/// Output and exit status of a run of the adapter.
#[derive(Debug, PartialEq)]
struct Run {
    output: String,
    error: String,
    is_success: bool,
}

/// Runs the adapter with `input` as its standard input.
fn run(input: &str) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // A write error is ignored: the adapter may have exited at an earlier line.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let out = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Run { output: text(out.stdout), error: text(out.stderr), is_success: out.status.success() }
}

/// Guards against output for an empty batch beyond the end of its reply, and against failure at the end of
/// input.
#[test]
fn an_empty_batch_yields_and_the_end_of_input_succeeds() {
    let success = |output: &str| Run { output: output.into(), error: String::new(), is_success: true };
    assert_eq!(run("[\"TICK\",5]\n[\"END\"]\n"), success("[\"YIELD\"]\n"));
    assert_eq!(run(""), success(""));
}

/// Guards against a request that is dispatched twice, also after its response.
#[test]
fn a_request_is_dispatched_once() {
    let request = r#"["JOB_IN","proxy-3","00000000000000ab",null,900000,null,"north",0,"read"]"#;
    let attempt_ended =
        r#"["RETURNED","proxy-3","00000000000000ab",0,"10.0.0.1:80",1,900,true,{"active":3,"new":1}]"#;
    let input = format!(
        "[\"TICK\",1000]\n{}{LIST}[\"END\"]\n[\"TICK\",2000]\n{request}\n[\"END\"]\n[\"TICK\",3000]\n{attempt_ended}\n[\"END\"]\n",
        create(SETTINGS)
    );
    let Run { output, error, is_success } = run(&input);
    assert!(is_success, "{error}");
    let dispatch = "[\"HAND_OFF\",\"proxy-3\",\"00000000000000ab\",\"10.0.0.1:80\",0]";
    assert_eq!(output.matches(dispatch).count(), 1, "{output}");
    assert_eq!(output.lines().filter(|l| *l == "[\"YIELD\"]").count(), 3);
}

/// Guards against a request that is never rejected while no backend is known.
#[test]
fn a_request_without_backends_is_rejected_within_a_second() {
    let request = r#"["JOB_IN","proxy-3","00000000000000ab",null,900000,null,"north",0,"pay"]"#;
    let mut input = format!("[\"TICK\",1000]\n{}{request}\n[\"END\"]\n", create(SETTINGS));
    // The timers that the balancer may have set, one per tick of 5 ms.
    for (at, token) in (1..200).map(|n| (1000 + n * 5000, n)) {
        input += &format!("[\"TICK\",{at}]\n[\"TIMEOUT_FIRED\",\"proxy-3\",{token}]\n[\"END\"]\n");
    }
    let Run { output, error, is_success } = run(&input);
    assert!(is_success, "{error}");
    assert_eq!(output.matches("[\"BOUNCE\",\"proxy-3\",\"00000000000000ab\",0]").count(), 1, "{output}");
}

/// Guards against state of a killed instance that is kept.
#[test]
fn a_killed_instance_is_removed_and_can_be_created_again() {
    let (first, kill) = (create(SETTINGS), "[\"KILLED\",\"proxy-3\"]\n");
    let Run { output, is_success, .. } = run(&format!("[\"TICK\",5]\n{first}{kill}{first}{LIST}[\"END\"]\n"));
    assert!(is_success && output.ends_with("[\"YIELD\"]\n"), "the instance was not created again: {output}");
    let Run { error, is_success, .. } = run(&format!("[\"TICK\",5]\n{first}{kill}{LIST}[\"END\"]\n"));
    assert!(
        !is_success && error.contains("known instance"),
        "a list for a killed instance was not rejected: {error}"
    );
}

/// Guards against malformed lines that are skipped or reported without line number and expected value.
#[test]
fn a_malformed_line_is_reported_and_ends_the_process() {
    let request = |rest: &str| format!("[\"JOB_IN\",\"proxy-3\",{rest}]");
    let cases = [
        ("no json".into(), "JSON"),
        ("{\"TICK\":1}".into(), "array"),
        ("[]".into(), "name"),
        ("[\"HELLO\",1]".into(), "unknown message HELLO"),
        ("[\"VIEW\",\"proxy-3\",0]".into(), "4 values"),
        ("[\"VIEW\",\"proxy-3\",9,1,\"incr\"]".into(), "endpoint list number"),
        ("[\"VIEW\",\"proxy-3\",0,1,\"odd\"]".into(), "incr, total"),
        ("[\"VIEW\",\"proxy-9\",0,1,\"incr\"]".into(), "known instance"),
        ("[\"SNAPSHOT_ROWS\",16,[]]".into(), "0 to 15"),
        ("[\"SNAPSHOT_ROWS\",1,[[\"east\",0]]]".into(), "7 values"),
        ("[\"SNAPSHOT_ROWS\",1,[[\"east\",0,\"big\",\"a:1\",\"UP\",1,null]]]".into(), "IN, LAME or OUT"),
        ("[\"TIMEOUT_FIRED\",\"proxy-3\",\"7\"]".into(), "token"),
        (request("\"xyz\",null,900,null,null,0,\"read\""), "16 lower-case hex"),
        (request("\"00000000000000ab\",null,-4,null,null,0,\"read\""), "time left"),
        (request("\"00000000000000ab\",null,900,null,null,0,\"none\""), "known class"),
        (request("\"00000000000000ab\",null,900,null,\"none\",0,\"read\""), "known tenant"),
        ("[\"RETURNED\",\"proxy-3\",\"00000000000000ab\",0,\"10.0.0.1:80\",8,1,true,null]".into(), "0 to 7"),
        (
            "[\"RETURNED\",\"proxy-3\",\"00000000000000ab\",0,\"10.0.0.1:80\",1,1,1,null]".into(),
            "true or false",
        ),
        ("[\"CREATE\",\"proxy-x\",1,{}]".into(), "proxy-3"),
    ];
    for (line, expected) in cases {
        let line: String = line;
        let Run { error, is_success, .. } =
            run(&format!("[\"TICK\",1]\n{}{LIST}{line}\n[\"END\"]\n", create(SETTINGS)));
        assert!(!is_success, "malformed line accepted: {line}");
        // The malformed line follows TICK, CREATE and the two lines of LIST.
        assert!(
            error.contains("line 5:") && error.contains(expected),
            "{line}: expected {expected}, got {error}"
        );
        assert!(!error.contains("panicked"), "{line}: the adapter panicked: {error}");
    }
    let Run { error, is_success, .. } = run("[\"END\"]\n");
    assert!(
        !is_success && error.contains("TICK first"),
        "a message outside a batch was not reported: {error}"
    );
}

/// Guards against invalid settings that end the whole process or are reported without their key.
#[test]
fn invalid_settings_fail_only_their_instance_and_name_the_key() {
    let cases = [
        ("\"group_size\":1,", "", "group_size"),
        ("\"group_size\":1,", "\"group_size\":0,", "group_size"),
        ("\"granularity_us\":5000", "\"granularity_us\":-5", "granularity_us"),
        ("\"my_zone\":\"east\"", "\"my_zone\":\"north\"", "my_zone"),
        ("\"free\"", "\"odd\"", "profiles[0].effect"),
        ("\"key_scope\":\"zone\",", "", "profiles[2].key_scope"),
        ("\"max_attempts\":3", "\"max_attempts\":\"3\"", "limits.max_attempts"),
        ("\"cold_from\":0.3", "\"cold_from\":1.3", "cold_from"),
        ("\"aim_us\":300000", "\"aim_us\":1300000", "aim_us"),
        ("\"name\":\"pay\"", "\"name\":\"read\"", "profiles[1].name"),
    ];
    for (from, to, key) in cases {
        assert!(SETTINGS.contains(from));
        let settings = SETTINGS.replacen(from, to, 1);
        let Run { output, error, is_success } =
            run(&format!("[\"TICK\",1]\n{}{LIST}[\"END\"]\n", create(&settings)));
        assert!(is_success, "{error}");
        assert!(
            output.starts_with("[\"BROKEN\",\"proxy-3\",") && output.contains(key),
            "{to}: expected an error for {key}, got {output}"
        );
    }
}
