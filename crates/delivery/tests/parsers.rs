//! Property tests of the parsers with fixed seeds: valid messages split at random, and random garbage.

use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::frontend::cloudevents::event;
use marblefall_delivery::frontend::platform::parse_load_report;
use marblefall_delivery::net::admin::{self, AdminCall, CallError};
use marblefall_delivery::net::discovery::EndpointList;
use marblefall_delivery::net::http::{self, retry_after, ChunkedDecoder, DecodeStep, StatusLine};
use quickcheck::{Gen, QuickCheck, Testable};

/// Checks a property with `times` random inputs from a fixed seed.
fn check(seed: u64, times: u64, property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, seed))
        .tests(times)
        .quickcheck(property);
}

const REQUEST: &[u8] =
    b"POST /api?x=1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 9b1f\r\nContent-Length: 5\r\n\r\n";
const RESPONSE: &[u8] =
    b"HTTP/1.1 429 Too Many\r\nRetry-After: 0.25\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKED: &[u8] = b"4\r\nWiki\r\n6;ext=1\r\npedia \r\n0\r\nTrailer: x\r\n\r\nnext";
const EVENT: &[u8] =
    br#"{"specversion":"1.0","id":"1","source":"/s","type":"t","data":{"a":[1,"b"]}}"#;

/// Replaces a part of a valid message with other bytes. The result may be valid or not, but must never cause a panic.
fn corrupt(valid: &[u8], at: usize, replacement: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    let at = at % bytes.len();
    bytes.splice(
        at..(at + replacement.len()).min(valid.len()),
        replacement.iter().copied(),
    );
    bytes
}

/// Decodes a chunked body that arrives in pieces of random lengths, as from reads of a connection. Returns the content,
/// and the number of bytes that were consumed.
fn decode_chunked(
    bytes: &[u8],
    piece_lengths: &[u8],
) -> Result<(Vec<u8>, usize), http::ParseError> {
    let (mut decoder, mut content, mut consumed, mut received, mut piece_lengths) = (
        ChunkedDecoder::default(),
        Vec::new(),
        0,
        0,
        piece_lengths.iter().cycle(),
    );
    loop {
        match decoder.next(&bytes[consumed..received])? {
            DecodeStep::Done => return Ok((content, consumed)),
            DecodeStep::Skip(len) => consumed += len,
            DecodeStep::Content(len) => {
                content.extend(&bytes[consumed..consumed + len]);
                consumed += len;
            }
            DecodeStep::NeedMore if received == bytes.len() => return Ok((content, consumed)),
            DecodeStep::NeedMore => {
                received =
                    (received + 1 + usize::from(piece_lengths.next().copied().unwrap_or(0) % 7))
                        .min(bytes.len());
            }
        }
    }
}

#[test]
fn head_is_parsed_wherever_it_is_split() {
    fn property(split: usize) -> bool {
        let split = split % REQUEST.len();
        assert_eq!(http::head_end(&REQUEST[..split], 0), None);
        assert_eq!(
            http::head_end(&[REQUEST, b"body\r\n\r\n"].concat(), split),
            Some(REQUEST.len())
        );
        assert!(
            http::parse_request(&REQUEST[..split]).is_err()
                && http::parse_response(&RESPONSE[..split.min(70)]).is_err()
        );
        let line = http::parse_status_line(&RESPONSE[..split.min(70)]);
        assert_eq!(
            line,
            Ok((split > 22).then_some(StatusLine {
                is_http_1_1: true,
                status: 429
            })),
            "an incomplete status line must not be an error"
        );
        true
    }
    check(1, 500, property as fn(usize) -> bool);
    let request = http::parse_request(REQUEST).unwrap();
    assert_eq!(
        (request.method, request.path, request.framing),
        ("POST", "/api", http::Framing::Length(5))
    );
    let response = http::parse_response(RESPONSE).unwrap();
    assert_eq!(
        (response.status, response.framing, response.keep_alive),
        (429, http::Framing::Chunked, true)
    );
    assert_eq!(retry_after(&response).map(|delay| delay.ms()), Some(250.0));
}

#[test]
fn chunked_body_is_parsed_wherever_it_is_split() {
    fn property(piece_lengths: Vec<u8>) -> bool {
        decode_chunked(CHUNKED, &piece_lengths)
            == Ok((b"Wikipedia ".to_vec(), CHUNKED.len() - b"next".len()))
    }
    check(2, 500, property as fn(Vec<u8>) -> bool);
}

#[test]
fn parsers_never_panic_on_garbage() {
    fn property(at: usize, random: Vec<u8>, piece_lengths: Vec<u8>) -> bool {
        for valid in [REQUEST, RESPONSE, CHUNKED, EVENT, &random[..]]
            .into_iter()
            .filter(|message| !message.is_empty())
        {
            let bytes = corrupt(valid, at, &random);
            let decoded = http::parse_request(&bytes)
                .map(|request| event::decode(&request.fields, &random).is_ok());
            let _ = (
                decoded,
                http::parse_response(&bytes).map(|response| retry_after(&response)),
                decode_chunked(&bytes, &piece_lengths),
            );
            let _ = (
                serde_json::from_slice::<EndpointList>(&bytes).is_ok(),
                parse_load_report(&String::from_utf8_lossy(&bytes)),
            );
            let structured =
                b"POST / HTTP/1.1\r\nContent-Type: application/cloudevents+json\r\n\r\n";
            if let Ok(event::DecodedEvent { context, data }) =
                event::decode(&http::parse_request(structured).unwrap().fields, &bytes)
            {
                event::encode(&context, &data, event::ContentMode::Binary);
                event::encode(&context, &data, event::ContentMode::Structured);
            }
        }
        true
    }
    check(3, 2000, property as fn(usize, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn garbage_journal_opens_empty() {
    fn property(bytes: Vec<u8>) -> bool {
        let folder =
            std::env::temp_dir().join(format!("marblefall-garbage-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("journal-0000000001"), bytes).unwrap();
        let opens_empty = MessageStore::open(&folder, 3_000_000, vec![])
            .is_ok_and(|store| store.messages().is_empty());
        std::fs::remove_dir_all(&folder).unwrap();
        opens_empty
    }
    check(4, 50, property as fn(Vec<u8>) -> bool);
}

#[test]
fn admin_calls_are_parsed_and_garbage_is_rejected() {
    assert_eq!(
        admin::parse_call("GET", "/ready", b""),
        Ok(AdminCall::Ready)
    );
    assert_eq!(
        admin::parse_call("POST", "/endpoints/disable", b"s-5be2a07c\r\n"),
        Ok(AdminCall::Disable("s-5be2a07c"))
    );
    assert_eq!(
        admin::parse_call("POST", "/endpoints/enable", b" s-1 "),
        Ok(AdminCall::Enable("s-1"))
    );
    assert_eq!(
        admin::parse_call("POST", "/drain", b""),
        Ok(AdminCall::Drain)
    );
    assert_eq!(
        admin::parse_call("POST", "/undrain", b""),
        Ok(AdminCall::Undrain)
    );
    assert_eq!(
        admin::parse_call("GET", "/drain", b""),
        Err(CallError::WrongMethod)
    );
    assert_eq!(
        admin::parse_call("POST", "/endpoints/disable", b""),
        Err(CallError::InvalidEndpointId)
    );
    assert_eq!(
        admin::parse_call("POST", "/endpoints/disable", b"a b"),
        Err(CallError::InvalidEndpointId)
    );
    assert_eq!(
        admin::parse_call("POST", "/nothing", b""),
        Err(CallError::UnknownPath)
    );
    let statuses = [
        CallError::WrongMethod,
        CallError::InvalidEndpointId,
        CallError::UnknownPath,
    ]
    .map(CallError::status);
    assert_eq!(statuses, [405, 400, 404]);
    fn property(at: usize, random: Vec<u8>, cut: usize) -> bool {
        let valid = b"POST /endpoints/disable HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
        let bytes = corrupt(valid, at, &random);
        let bytes = &bytes[..cut % (bytes.len() + 1)];
        if let Ok(request) = http::parse_request(bytes) {
            let status = admin::parse_call(request.method, request.path, &random)
                .map_or_else(CallError::status, |_| 200);
            assert!(matches!(status, 200 | 400 | 404 | 405));
        }
        true
    }
    check(9, 500, property as fn(usize, Vec<u8>, usize) -> bool);
}
