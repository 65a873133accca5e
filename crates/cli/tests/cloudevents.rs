//! CloudEvents over HTTP, from a client's request to the response.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::manifests::event_manifest;
use common::*;
use marblefall_process_harness::cloud_events::EVENTS_PATH;
use marblefall_process_harness::platform::{PlatformMessage, LISTENING_MARKER};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

const STRUCTURED: (&str, &str) = (headers::CONTENT_TYPE, "application/cloudevents+json");

#[test]
fn event_attributes_and_data_are_preserved_in_both_content_modes() {
    let (a, b) = (start_healthy_server(), start_server(|_| Reply::status(204)));
    let folder = new_folder("modes");
    apply(&folder, &event_manifest(a.address, b.address, 6000));
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);

    let body = r#"{"specversion":"1.0","id":"é 1","source":"/s","type":"order","clinic":"a","ext":true,"data":{"n":1}}"#;
    let response = post(
        address,
        EVENTS_PATH,
        &[STRUCTURED, (headers::IDEMPOTENCY_KEY, "key/1")],
        body.as_bytes(),
    )
    .unwrap();
    assert_eq!(response.status(), 204);
    let attempt = first_request(&a);
    assert_eq!(attempt.start_line, "POST /in HTTP/1.1");
    let fields = [
        "ce-id",
        "ce-source",
        "ce-type",
        "ce-ext",
        "ce-specversion",
        "content-type",
        "idempotency-key",
    ];
    let values = fields.map(|name| attempt.header(name).unwrap_or_default());
    assert_eq!(
        values,
        [
            "%C3%A9%201",
            "/s",
            "order",
            "true",
            "1.0",
            "application/json",
            "key/1"
        ]
    );
    assert_eq!(attempt.body, br#"{"n":1}"#);

    let response = submit_event(address, "%C3%A9 2", "status", "b", "", b"[1]");
    assert_eq!(response.unwrap().status(), 204);
    let attempt = first_request(&b);
    assert_eq!(
        attempt.header(headers::CONTENT_TYPE),
        Some("application/cloudevents+json; charset=utf-8")
    );
    let event: serde_json::Value = serde_json::from_slice(&attempt.body).unwrap();
    let expected = r#"{"specversion":"1.0","id":"é 2","source":"/clinic","type":"status","clinic":"b",
        "datacontenttype":"application/json","data":[1]}"#;
    assert_eq!(
        event,
        serde_json::from_str::<serde_json::Value>(expected).unwrap()
    );
}

#[test]
fn invalid_event_is_rejected_with_the_matching_status() {
    let a = start_healthy_server();
    let folder = new_folder("rejects");
    apply(&folder, &event_manifest(a.address, a.address, 6000));
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    let status = |response: Option<Message>| response.unwrap().status();
    let batch = (headers::CONTENT_TYPE, "application/cloudevents-batch+json");
    assert_eq!(status(post(address, EVENTS_PATH, &[batch], b"[]")), 415);
    assert_eq!(
        status(post(address, EVENTS_PATH, &[STRUCTURED], b"{}")),
        400
    );
    assert_eq!(status(post(address, "/other", &[STRUCTURED], b"{}")), 404);
    assert_eq!(
        status(submit_event(address, "1", "unheard-of", "a", "k", b"")),
        422
    );
    assert_eq!(
        status(submit_event(address, "1", "order", "nowhere", "k", b"")),
        422
    );
    assert_eq!(
        status(submit_event(address, "1", "order", "a", "", b"")),
        400,
        "a keyed class needs its key"
    );
    let expired_event = r#"{"specversion":"1.0","id":"1","source":"/s","type":"status","clinic":"a","expirytime":"2020-01-01T00:00:00Z"}"#;
    assert_eq!(
        status(post(
            address,
            EVENTS_PATH,
            &[STRUCTURED],
            expired_event.as_bytes()
        )),
        504
    );
    let event_with_invalid_expiry = expired_event.replace("2020-01-01T00:00:00Z", "tomorrow");
    assert_eq!(
        status(post(
            address,
            EVENTS_PATH,
            &[STRUCTURED],
            event_with_invalid_expiry.as_bytes()
        )),
        400
    );
    assert_eq!(a.request_count(), 0);
}

#[test]
fn repeated_event_shares_the_outcome_without_another_attempt() {
    let release = Arc::new(AtomicBool::new(false));
    let released = release.clone();
    let a = start_server(move |_| {
        wait_for("the release", || released.load(Ordering::SeqCst));
        Reply::ok()
    });
    let folder = new_folder("joins");
    apply(&folder, &event_manifest(a.address, a.address, 6000));
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    let submit = |id: &'static str, key: &'static str| {
        thread::spawn(move || submit_event(address, id, "order", "a", key, b"1"))
    };
    // Two events with the same id, and one with another id under the same key, which the receiver would treat as a repeat.
    let together = [submit("1", "k"), submit("1", "k"), submit("2", "k")];
    // The first attempt is in flight until the others are submitted.
    program.wait_for_counter("offered=3 ");
    release.store(true, Ordering::SeqCst);
    let statuses: Vec<u16> = together
        .into_iter()
        .map(|submission| submission.join().unwrap().unwrap().status())
        .collect();
    assert_eq!(statuses, [204, 204, 204]);
    assert_eq!(
        event_status(address, "1", "order", "a", "k"),
        204,
        "a repeat after the final outcome"
    );
    assert_eq!(event_status(address, "1", "order", "a", "other"), 409);
    assert_eq!(a.request_count(), 1);
    program.kill();
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    assert_eq!(
        event_status(address, "1", "order", "a", "k"),
        204,
        "a repeat at the next incarnation"
    );
    assert_eq!(event_status(address, "1", "order", "a", "other"), 409);
    assert_eq!(a.request_count(), 1);
}

#[test]
fn returned_event_has_an_immediate_response_with_retry_after() {
    let a = start_server(|_| Reply::retry_after(429, "40"));
    let folder = new_folder("given-up-event");
    apply(&folder, &event_manifest(a.address, a.address, 6000));
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    // The Retry-After is longer than the event's time to live.
    let response = submit_event(address, "1", "status", "a", "", b"1").unwrap();
    assert_eq!(response.status(), 503);
    assert!(
        response
            .header(headers::RETRY_AFTER)
            .unwrap()
            .parse::<u64>()
            .unwrap()
            >= 1
    );
    // When it is submitted again, the event counts as new. It is rejected until the Retry-After has passed.
    let again = submit_event(address, "1", "status", "a", "", b"1").unwrap();
    assert!([429, 503].contains(&again.status()) && again.header(headers::RETRY_AFTER).is_some());
    assert_eq!(a.request_count(), 1, "no call within the Retry-After");
}

/// Regression: an event that the destination rejected permanently was retried until its deadline.
#[test]
fn permanently_rejected_event_fails_without_a_retry() {
    let a = start_server(|attempt| match attempt.header(headers::EVENT_ID) {
        Some("bad") => Reply::status(422),
        _ => Reply::ok(),
    });
    let folder = new_folder("refused");
    apply(&folder, &event_manifest(a.address, a.address, 6000));
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    assert_eq!(event_status(address, "bad", "status", "a", ""), 502);
    assert_eq!(
        event_status(address, "bad", "status", "a", ""),
        502,
        "the outcome of a repeat, without a retry"
    );
    assert_eq!(event_status(address, "good", "status", "a", ""), 204);
    assert_eq!(a.request_count(), 2);
}

#[test]
fn misbehaving_clients_do_not_starve_others() {
    let endpoint = start_healthy_server();
    let folder = new_folder("misbehaving-clients");
    apply(
        &folder,
        &format!(
            "[limits]\nsockets = 256\n{}",
            event_manifest(endpoint.address, endpoint.address, 6000)
        ),
    );
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    check_misbehaving_clients_do_no_harm(address, EVENTS_PATH);
    // Clients may pipeline requests on a connection. Each request is served.
    let fields = "ce-specversion: 1.0\r\nce-source: /s\r\nce-type: status\r\nce-clinic: a";
    let pipelined_request = |id| {
        format!("POST /events HTTP/1.1\r\n{fields}\r\nce-id: {id}\r\nContent-Length: 1\r\n\r\nx")
    };
    assert_eq!(
        exchange(
            address,
            format!("{}{}", pipelined_request(1), pipelined_request(2)).as_bytes()
        )
        .unwrap()
        .status(),
        204
    );
    wait_for("both attempts", || endpoint.request_count() == 2);
}

#[test]
fn both_frontends_of_one_instance_serve_the_same_destinations() {
    let endpoint = start_healthy_server();
    let folder = new_folder("both");
    let notices = start_server(|_| Reply::status(204));
    let frontend = format!(
        "relay = {{ listen = \"127.0.0.1:0\", notices = \"{}\", numbers = {{ 3 = \"a\", 4 = \"b\" }} }}\n",
        notices.address
    );
    apply(
        &folder,
        &(event_manifest(endpoint.address, unused_address(), 6000) + &frontend),
    );
    let program = start_daemon(&folder);
    let (platform_address, event_address) = (
        program.address(LISTENING_MARKER, 0),
        program.address(EVENTS_MARKER, 0),
    );
    let submit = |id: &str, destination: usize| {
        let message = PlatformMessage {
            id,
            class: "status",
            budget_ms: "3000",
            destination,
            idempotency_key: "",
            body: b"x",
        };
        let response = message.submit(platform_address, WAIT_LIMIT);
        response.unwrap().status()
    };
    assert_eq!(event_status(event_address, "1", "order", "a", "k"), 204);
    assert_eq!((submit("m-1", 3), submit("m-2", 5)), (202, 400));
    wait_for("both attempts", || endpoint.request_count() == 2);
    let paths: Vec<String> = endpoint
        .requests()
        .iter()
        .map(|attempt| attempt.start_line.clone())
        .collect();
    assert_eq!(paths, ["POST /in HTTP/1.1", "POST /receive HTTP/1.1"]);
    assert_eq!(submit("m-3", 4), 202);
    wait_for("the notice", || notices.request_count() > 0);
    assert!(String::from_utf8_lossy(&first_request(&notices).body)
        .contains(r#""id":"m-3","state":"returned""#));
}
