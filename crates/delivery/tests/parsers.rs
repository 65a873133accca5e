//! Random cuts of valid messages and random garbage against the parsers, from fixed seeds.

use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::frontend::cloudevents::event;
use marblefall_delivery::net::admin::{self, Call};
use marblefall_delivery::net::discovery::List;
use marblefall_delivery::net::http::{self, Chunks, Piece};
use marblefall_delivery::net::pool;
use quickcheck::{Gen, QuickCheck, Testable};

/// The shared helper: runs a property over what a fixed seed brings.
fn holds(seed: u64, times: u64, property: impl Testable) {
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

/// Puts random bytes into a valid message: it may then be valid or not, but must never cause a panic.
fn spoil(valid: &[u8], at: usize, with: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    let at = at % bytes.len();
    bytes.splice(at..(at + with.len()).min(valid.len()), with.iter().copied());
    bytes
}

/// Feeds bytes to the chunk reader in pieces cut at random, as reads would bring them.
fn dechunk(bytes: &[u8], cuts: &[u8]) -> Result<(Vec<u8>, usize), http::Fault> {
    let (mut chunks, mut content, mut at, mut seen, mut cuts) =
        (Chunks::default(), Vec::new(), 0, 0, cuts.iter().cycle());
    loop {
        match chunks.next(&bytes[at..seen])? {
            Piece::Done => return Ok((content, at)),
            Piece::Skip(len) => at += len,
            Piece::Content(len) => {
                content.extend(&bytes[at..at + len]);
                at += len;
            }
            Piece::More if seen == bytes.len() => return Ok((content, at)),
            Piece::More => {
                seen = (seen + 1 + usize::from(cuts.next().copied().unwrap_or(0) % 7))
                    .min(bytes.len());
            }
        }
    }
}

#[test]
fn a_head_is_found_and_read_alike_however_it_is_cut() {
    fn property(cut: usize) -> bool {
        let cut = cut % REQUEST.len();
        assert_eq!(http::head_end(&REQUEST[..cut], 0), None);
        assert_eq!(
            http::head_end(&[REQUEST, b"body\r\n\r\n"].concat(), cut),
            Some(REQUEST.len())
        );
        assert!(
            http::request(&REQUEST[..cut]).is_err()
                && http::response(&RESPONSE[..cut.min(70)]).is_err()
        );
        let line = http::status_line(&RESPONSE[..cut.min(70)]);
        assert_eq!(
            line,
            Ok((cut > 22).then_some((true, 429))),
            "a first line is not a fault before its end"
        );
        true
    }
    holds(1, 500, property as fn(usize) -> bool);
    let read = http::request(REQUEST).unwrap();
    assert_eq!(
        (read.method, read.path, read.framing),
        ("POST", "/api", http::Framing::Length(5))
    );
    let read = http::response(RESPONSE).unwrap();
    assert_eq!(
        (read.status, read.framing, read.keeps),
        (429, http::Framing::Chunked, true)
    );
    assert_eq!(pool::told_wait(&read).map(|wait| wait.ms()), Some(250.0));
}

#[test]
fn a_chunked_body_reads_alike_however_it_is_cut() {
    fn property(cuts: Vec<u8>) -> bool {
        dechunk(CHUNKED, &cuts) == Ok((b"Wikipedia ".to_vec(), CHUNKED.len() - b"next".len()))
    }
    holds(2, 500, property as fn(Vec<u8>) -> bool);
}

#[test]
fn no_garbage_makes_a_parser_panic() {
    fn property(at: usize, with: Vec<u8>, cuts: Vec<u8>) -> bool {
        for valid in [REQUEST, RESPONSE, CHUNKED, EVENT, &with[..]]
            .into_iter()
            .filter(|v| !v.is_empty())
        {
            let bytes = spoil(valid, at, &with);
            let read = http::request(&bytes).map(|read| event::read(&read.fields, &with).is_ok());
            let _ = (
                read,
                http::response(&bytes).map(|read| pool::told_wait(&read)),
                dechunk(&bytes, &cuts),
            );
            let _ = (
                serde_json::from_slice::<List>(&bytes).is_ok(),
                pool::report(&String::from_utf8_lossy(&bytes)),
            );
            let structured =
                b"POST / HTTP/1.1\r\nContent-Type: application/cloudevents+json\r\n\r\n";
            if let Ok((context, data)) =
                event::read(&http::request(structured).unwrap().fields, &bytes)
            {
                event::write(&context, &data, event::Mode::Binary);
                event::write(&context, &data, event::Mode::Structured);
            }
        }
        true
    }
    holds(3, 2000, property as fn(usize, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn a_journal_of_garbage_is_cut_off_where_it_stops_making_sense() {
    fn property(bytes: Vec<u8>) -> bool {
        let dir = std::env::temp_dir().join(format!("marblefall-garbage-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("journal-0000000001"), bytes).unwrap();
        let empty = MessageStore::open(&dir, 3_000_000, vec![])
            .is_ok_and(|store| store.messages().is_empty());
        std::fs::remove_dir_all(&dir).unwrap();
        empty
    }
    holds(4, 50, property as fn(Vec<u8>) -> bool);
}

#[test]
fn operators_calls_are_read_and_garbage_is_refused_with_a_status() {
    assert_eq!(admin::call("GET", "/ready", b""), Ok(Call::Ready));
    assert_eq!(
        admin::call("POST", "/endpoints/disable", b"s-5be2a07c\r\n"),
        Ok(Call::Disable("s-5be2a07c"))
    );
    assert_eq!(
        admin::call("POST", "/endpoints/enable", b" s-1 "),
        Ok(Call::Enable("s-1"))
    );
    assert_eq!(admin::call("POST", "/drain", b""), Ok(Call::Drain));
    assert_eq!(admin::call("POST", "/undrain", b""), Ok(Call::Undrain));
    assert_eq!(admin::call("GET", "/drain", b""), Err(405));
    assert_eq!(admin::call("POST", "/endpoints/disable", b""), Err(400));
    assert_eq!(admin::call("POST", "/endpoints/disable", b"a b"), Err(400));
    assert_eq!(admin::call("POST", "/nothing", b""), Err(404));
    fn property(at: usize, with: Vec<u8>, cut: usize) -> bool {
        let valid = b"POST /endpoints/disable HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
        let bytes = spoil(valid, at, &with);
        let bytes = &bytes[..cut % (bytes.len() + 1)];
        if let Ok(request) = http::request(bytes) {
            let call = admin::call(request.method, request.path, &with);
            assert!(call.is_ok() || matches!(call, Err(400 | 404 | 405)));
        }
        true
    }
    holds(9, 500, property as fn(usize, Vec<u8>, usize) -> bool);
}
