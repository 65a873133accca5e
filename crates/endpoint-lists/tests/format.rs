//! Tests of the file format with random lists from fixed seeds, intact, truncated and corrupted.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{check_property, parse, ValidList, MAX_BYTES, VALID_LIST};
use marblefall_endpoint_lists::{ActiveLists, EndpointList, ListRules};

#[test]
fn encoded_list_parses_to_an_equal_list() {
    check_property(1, 300, |ValidList(list): ValidList| {
        parse(&list.to_toml()) == list
    });
}

#[test]
fn truncated_list_is_rejected_at_any_length() {
    check_property(2, 20, |ValidList(list): ValidList| {
        let text = list.to_toml();
        (0..text.len()).all(|len| EndpointList::parse(&text.as_bytes()[..len], MAX_BYTES).is_err())
    });
    let with_crlf = VALID_LIST.replace('\n', "\r\n");
    parse(&with_crlf);
    let truncated = (0..with_crlf.len()).map(|len| &with_crlf.as_bytes()[..len]);
    for bytes in truncated {
        assert!(EndpointList::parse(bytes, MAX_BYTES).is_err());
    }
}

#[test]
fn garbage_is_rejected_without_a_panic() {
    check_property(4, 3000, |(bytes, offset): (Vec<u8>, usize)| {
        let mut text = VALID_LIST.as_bytes().to_vec();
        let offset = offset % text.len();
        let end = (offset + bytes.len()).min(text.len());
        text.splice(offset..end, bytes.iter().copied());
        // The corrupted text may still be a valid list, for example if only a character of a name has changed.
        let report = ActiveLists::new(ListRules::default())
            .evaluate("a", &text)
            .err();
        EndpointList::parse(&bytes, MAX_BYTES).is_err()
            && report.is_none_or(|report| !report.to_string().is_empty())
    });
}
