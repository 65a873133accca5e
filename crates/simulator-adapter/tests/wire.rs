//! Tests that run the adapter program with valid and invalid input on its standard streams.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BATCH_START: &str = r#"{"msg":"mark","time_ms":100}"#;
const BATCH_END: &str = r#"{"msg":"end"}"#;
/// Values of `msg` in the lines of a reply.
const SEND: &str = "pass_on";
const REJECT: &str = "overload_reply";
const FAIL: &str = "end_failed";
const SET_TIMER: &str = "wake_at";
/// Settings of an instance, with keys that the adapter does not know and must ignore.
const SETTINGS: &str = r#"{"classes":[{"name":"c","importance":1,"promise_ms":2000,"give_up_ms":16000,"effect":"pure","late_value":0.3,"window_ms":0,"stream":false,"news":1}],"host_types":["k"],"zones":["z"],"caps":{"max_attempts":6,"max_open":50,"retry_after":true,"max_retry_after_ms":3000},"domain":{"workers":3,"kind_apart":[false],"per_call":[1],"late":"line"},"unknown_key":{"a":[1]}}"#;

fn instance_started(instance: &str) -> String {
    format!(r#"{{"msg":"begin","courier_id":"{instance}","random_seed":5,"boot_info":{SETTINGS}}}"#)
}

/// Returns the line that starts an instance whose settings require a subscription to the endpoint list.
fn subscribing_instance_started(instance: &str) -> String {
    let discovery = r#""registry_mode":"subscribe","unknown_key""#;
    instance_started(instance).replace(r#""unknown_key""#, discovery)
}

fn instance_stopped(instance: &str) -> String {
    format!(r#"{{"msg":"halt","courier_id":"{instance}"}}"#)
}

fn endpoint_list(number: u64, endpoint: &str) -> String {
    format!(
        r#"{{"msg":"sheet","buffer":{number},"rows_in":[{{"sku":"k","destination":57,"endpoint":"{endpoint}","availability":"on","share":1,"area":"z"}}]}}"#
    )
}

fn list_update(instance: &str, number: u64) -> String {
    format!(
        r#"{{"msg":"update","courier_id":"{instance}","buffer":{number},"kind":"Persisted","version":1}}"#
    )
}

fn message_accepted(instance: &str, message: &str) -> String {
    format!(
        r#"{{"msg":"accept","courier_id":"{instance}","ref":"{message}","type":"c","billing":0,"expires_ms":16100,"destination":57}}"#
    )
}

fn message_delivered(instance: &str, message: &str) -> String {
    format!(
        r#"{{"msg":"closed_attempt","courier_id":"{instance}","ref":"{message}","copy":0,"endpoint":"10.0.0.1:1","outcome":0,"duration_ms":18.5,"last":true,"server_stats":{{"x0":0.4}}}}"#
    )
}

fn list_request_failed(instance: &str) -> String {
    format!(r#"{{"msg":"update","courier_id":"{instance}","kind":"Error","version":1}}"#)
}

/// Runs the adapter with these lines of input.
fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marblefall-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let mut input = child.stdin.take().expect("piped");
    // The write fails if the adapter exits before it has read all of an invalid input.
    let _ = input.write_all(text.as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter exits")
}

/// Returns the reply to valid lines.
fn reply_to(lines: &[&str]) -> String {
    let output = run(lines);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(output.stderr.is_empty());
    String::from_utf8(output.stdout).expect("UTF-8")
}

/// Checks that the adapter exits with an error that states the number of the invalid line and the cause.
fn assert_error(lines: &[&str], line: usize, cause: &str) {
    let output = run(lines);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(
        error.contains(&format!("line {line}:")) && error.contains(cause),
        "{error}"
    );
    let reply = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        reply.is_empty() || reply.ends_with(&format!("{BATCH_END}\n")),
        "incomplete reply: {reply}"
    );
}

/// Returns the lines of a reply that send a message.
fn sends(reply: &str) -> Vec<&str> {
    reply.lines().filter(|line| line.contains(SEND)).collect()
}

#[test]
fn empty_batches_and_end_of_input_are_accepted() {
    assert_eq!(reply_to(&[]), "");
    assert_eq!(
        reply_to(&[BATCH_START, BATCH_END, BATCH_START, BATCH_END]),
        format!("{BATCH_END}\n{BATCH_END}\n")
    );
}

#[test]
fn message_is_sent_and_its_outcome_accepted() {
    let reply = reply_to(&[
        BATCH_START,
        &instance_started("courier_0"),
        &endpoint_list(0, "10.0.0.1:1"),
        &list_update("courier_0", 0),
        &message_accepted("courier_0", "m"),
        BATCH_END,
        r#"{"msg":"mark","time_ms":120}"#,
        &message_delivered("courier_0", "m"),
        BATCH_END,
    ]);
    let sent = r#"{"msg":"pass_on","courier_id":"courier_0","ref":"m","endpoint":"10.0.0.1:1","cut_at_ms":"#;
    assert!(reply.starts_with(sent), "{reply}");
    assert_eq!(reply.lines().filter(|line| *line == BATCH_END).count(), 2);
    assert!(!reply.contains(REJECT) && !reply.contains(FAIL));
}

#[test]
fn reused_list_number_refers_to_the_latest_list() {
    let reply = reply_to(&[
        BATCH_START,
        &instance_started("courier_0"),
        &instance_started("courier_1"),
        &endpoint_list(3, "10.0.0.1:1"),
        &list_update("courier_0", 3),
        &endpoint_list(3, "10.0.0.2:2"),
        &list_update("courier_1", 3),
        &message_accepted("courier_0", "a"),
        &message_accepted("courier_1", "b"),
        BATCH_END,
    ]);
    let sends = sends(&reply);
    assert!(
        sends[0].contains("courier_0") && sends[0].contains("10.0.0.1:1"),
        "{reply}"
    );
    assert!(
        sends[1].contains("courier_1") && sends[1].contains("10.0.0.2:2"),
        "{reply}"
    );
}

#[test]
fn restart_within_a_batch_discards_state_and_events() {
    let stopped = instance_stopped("courier_0");
    let reply = reply_to(&[
        BATCH_START,
        &instance_started("courier_0"),
        &endpoint_list(0, "10.0.0.1:1"),
        &list_update("courier_0", 0),
        &message_accepted("courier_0", "a"),
        &stopped,
        &instance_started("courier_0"),
        &list_update("courier_0", 0),
        &message_accepted("courier_0", "b"),
        BATCH_END,
        BATCH_START,
        &stopped,
        BATCH_END,
    ]);
    let sends = sends(&reply);
    assert_eq!(sends.len(), 1, "{reply}");
    assert!(sends[0].contains("\"b\""), "{reply}");
}

#[test]
fn instance_that_must_subscribe_requests_a_subscription() {
    let subscribing = subscribing_instance_started("courier_0");
    let reply = reply_to(&[BATCH_START, &subscribing, BATCH_END]);
    assert!(
        reply.starts_with(r#"{"msg":"tail","courier_id":"courier_0","want":true}"#),
        "{reply}"
    );
}

#[test]
fn failed_list_request_is_retried() {
    let subscribing = subscribing_instance_started("courier_0");
    let failed = list_request_failed("courier_0");
    let reply = reply_to(&[
        BATCH_START,
        &subscribing,
        BATCH_END,
        BATCH_START,
        &failed,
        BATCH_END,
    ]);
    assert!(
        reply.lines().any(|line| line.contains(SET_TIMER)),
        "{reply}"
    );
}

#[test]
fn invalid_input_is_reported_with_its_line_number() {
    let started = instance_started("courier_0");
    assert_error(&[BATCH_START, "nonsense"], 2, "expected");
    assert_error(
        &[BATCH_START, BATCH_END, BATCH_START, r#"{"msg":"surprise"}"#],
        4,
        "surprise",
    );
    assert_error(&[BATCH_START, r#"{"time_ms":5}"#], 2, "msg");
    assert_error(&[r#"{"msg":"mark"}"#], 1, "time_ms");
    assert_error(&[r#"{"msg":"mark","time_ms":"soon"}"#], 1, "soon");
    assert_error(
        &[
            BATCH_START,
            r#"{"msg":"due","courier_id":"courier_9","token":1}"#,
        ],
        2,
        "courier_9",
    );
    assert_error(
        &[BATCH_START, &started, &list_update("courier_0", 4)],
        3,
        "unknown list number 4",
    );
    assert_error(
        &[
            BATCH_START,
            &started,
            &message_accepted("courier_0", "m").replace("\"c\"", "\"odd\""),
        ],
        3,
        "unknown class \"odd\"",
    );
    let odd = endpoint_list(0, "10.0.0.1:1").replace("\"k\"", "\"odd\"");
    assert_error(
        &[BATCH_START, &started, &odd, &list_update("courier_0", 0)],
        4,
        "unknown destination kind \"odd\"",
    );
    assert_error(&[BATCH_START, &started], 3, "ends inside a batch");
    assert_error(&[r#"{"msg":"end"}"#], 1, "outside any batch");
}
