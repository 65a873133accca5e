//! Scripted exchanges with the built adapter, good and bad.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = r#"{"classes":[{"name":"c","importance":1,"promise_ms":2000,"give_up_ms":16000,"effect":"pure","late_value":0.3,"window_ms":0,"stream":false,"news":1}],"host_types":["k"],"zones":["z"],"caps":{"max_attempts":6,"max_open":50,"retry_after":true,"max_retry_after_ms":3000},"domain":{"workers":3,"kind_apart":[false],"per_call":[1],"late":"line"},"unheard_of":{"a":[1]}}"#;

fn begin(courier: &str) -> String {
    format!(r#"{{"msg":"begin","courier_id":"{courier}","random_seed":5,"boot_info":{BOOT}}}"#)
}

fn sheet(buffer: u64, endpoint: &str) -> String {
    format!(
        r#"{{"msg":"sheet","buffer":{buffer},"rows_in":[{{"sku":"k","destination":57,"endpoint":"{endpoint}","availability":"on","share":1,"area":"z"}}]}}"#
    )
}

fn update(courier: &str, buffer: u64) -> String {
    format!(
        r#"{{"msg":"update","courier_id":"{courier}","buffer":{buffer},"kind":"Persisted","version":1}}"#
    )
}

fn accept(courier: &str, id: &str) -> String {
    format!(
        r#"{{"msg":"accept","courier_id":"{courier}","ref":"{id}","type":"c","billing":0,"expires_ms":16100,"destination":57}}"#
    )
}

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marblefall-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    // The adapter may leave before it has read all of a bad input.
    let _ = child
        .stdin
        .take()
        .expect("piped")
        .write_all(text.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn good(lines: &[&str]) -> String {
    let output = run(lines);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(output.stderr.is_empty());
    String::from_utf8(output.stdout).expect("UTF-8")
}

fn bad(lines: &[&str], line: usize, cause: &str) {
    let output = run(lines);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(
        error.contains(&format!("line {line}:")) && error.contains(cause),
        "{error}"
    );
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        out.is_empty() || out.ends_with("{\"msg\":\"end\"}\n"),
        "half a reply: {out}"
    );
}

const MARK: &str = r#"{"msg":"mark","time_ms":100}"#;
const END: &str = r#"{"msg":"end"}"#;

#[test]
fn empty_batches_and_end_of_input_are_accepted() {
    assert_eq!(good(&[]), "");
    assert_eq!(
        good(&[MARK, END, MARK, END]),
        "{\"msg\":\"end\"}\n{\"msg\":\"end\"}\n"
    );
}

#[test]
fn message_is_sent_and_its_outcome_accepted() {
    let closed = r#"{"msg":"closed_attempt","courier_id":"courier_0","ref":"m","copy":0,"endpoint":"10.0.0.1:1","outcome":0,"duration_ms":18.5,"last":true,"server_stats":{"x0":0.4}}"#;
    let out = good(&[
        MARK,
        &begin("courier_0"),
        &sheet(0, "10.0.0.1:1"),
        &update("courier_0", 0),
        &accept("courier_0", "m"),
        END,
        r#"{"msg":"mark","time_ms":120}"#,
        closed,
        END,
    ]);
    let sent = r#"{"msg":"pass_on","courier_id":"courier_0","ref":"m","endpoint":"10.0.0.1:1","cut_at_ms":"#;
    assert!(out.starts_with(sent), "{out}");
    assert_eq!(out.lines().filter(|line| *line == END).count(), 2);
    assert!(!out.contains("overload_reply") && !out.contains("end_failed"));
}

#[test]
fn list_numbers_are_resolved_in_event_order() {
    let out = good(&[
        MARK,
        &begin("courier_0"),
        &begin("courier_1"),
        &sheet(3, "10.0.0.1:1"),
        &update("courier_0", 3),
        &sheet(3, "10.0.0.2:2"),
        &update("courier_1", 3),
        &accept("courier_0", "a"),
        &accept("courier_1", "b"),
        END,
    ]);
    let sends: Vec<&str> = out
        .lines()
        .filter(|line| line.contains("pass_on"))
        .collect();
    assert!(
        sends[0].contains("courier_0") && sends[0].contains("10.0.0.1:1"),
        "{out}"
    );
    assert!(
        sends[1].contains("courier_1") && sends[1].contains("10.0.0.2:2"),
        "{out}"
    );
}

#[test]
fn restart_within_a_batch_forgets_everything() {
    let halt = r#"{"msg":"halt","courier_id":"courier_0"}"#;
    let out = good(&[
        MARK,
        &begin("courier_0"),
        &sheet(0, "10.0.0.1:1"),
        &update("courier_0", 0),
        &accept("courier_0", "a"),
        halt,
        &begin("courier_0"),
        &update("courier_0", 0),
        &accept("courier_0", "b"),
        END,
        MARK,
        halt,
        END,
    ]);
    let sends: Vec<&str> = out
        .lines()
        .filter(|line| line.contains("pass_on"))
        .collect();
    assert_eq!(sends.len(), 1, "{out}");
    assert!(sends[0].contains("\"b\""), "{out}");
}

#[test]
fn subscription_is_requested_where_lists_need_one() {
    let begin = begin("courier_0").replace(
        "\"unheard_of\"",
        "\"registry_mode\":\"subscribe\",\"unheard_of\"",
    );
    let out = good(&[MARK, &begin, END]);
    assert!(
        out.starts_with(r#"{"msg":"tail","courier_id":"courier_0","want":true}"#),
        "{out}"
    );
}

#[test]
fn failed_list_request_is_retried() {
    let begin = begin("courier_0").replace(
        "\"unheard_of\"",
        "\"registry_mode\":\"subscribe\",\"unheard_of\"",
    );
    let failed = r#"{"msg":"update","courier_id":"courier_0","kind":"Error","version":1}"#;
    let out = good(&[MARK, &begin, END, MARK, failed, END]);
    assert!(out.lines().any(|line| line.contains("wake_at")), "{out}");
}

#[test]
fn bad_input_ends_the_adapter_with_its_line() {
    let begun = begin("courier_0");
    bad(&[MARK, "nonsense"], 2, "expected");
    bad(&[MARK, END, MARK, r#"{"msg":"surprise"}"#], 4, "surprise");
    bad(&[MARK, r#"{"time_ms":5}"#], 2, "msg");
    bad(&[r#"{"msg":"mark"}"#], 1, "time_ms");
    bad(&[r#"{"msg":"mark","time_ms":"soon"}"#], 1, "soon");
    bad(
        &[MARK, r#"{"msg":"due","courier_id":"courier_9","token":1}"#],
        2,
        "courier_9",
    );
    bad(
        &[MARK, &begun, &update("courier_0", 4)],
        3,
        "unknown list number 4",
    );
    bad(
        &[
            MARK,
            &begun,
            &accept("courier_0", "m").replace("\"c\"", "\"odd\""),
        ],
        3,
        "unknown class \"odd\"",
    );
    let odd = sheet(0, "10.0.0.1:1").replace("\"k\"", "\"odd\"");
    bad(
        &[MARK, &begun, &odd, &update("courier_0", 0)],
        4,
        "unknown destination kind \"odd\"",
    );
    bad(&[MARK, &begun], 3, "ends inside a batch");
    bad(&[r#"{"msg":"end"}"#], 1, "outside any batch");
}
