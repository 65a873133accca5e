use super::super::super::test_lists::{entry, list};
use super::*;

#[test]
fn indented_list_is_parsed_wherever_it_is_split() {
    let text = format!(
        "{{\n  \"revision\": 3,\n  \"complete\": true,\n  \"members\": [\n    {}\n  ]\n}}\n",
        entry("DRAINING")
            .replace(',', ",\n      ")
            .replace('{', "{\n      ")
            .replace('}', "\n    }")
    );
    for split in 0..text.len() {
        let mut lines = LineBuffer::default();
        lines.push(b"\r\n");
        assert!(matches!(lines.next(), Ok(WatchLine::Heartbeat)));
        lines.push(&text.as_bytes()[..split]);
        assert!(
            matches!(lines.next(), Ok(WatchLine::Incomplete)),
            "split at {split}"
        );
        lines.push(&text.as_bytes()[split..]);
        lines.push(list(4, false, "SERVING").as_bytes());
        let Ok(WatchLine::List(first)) = lines.next() else {
            panic!("no first list, split at {split}")
        };
        let Ok(WatchLine::List(second)) = lines.next() else {
            panic!("no second list, split at {split}")
        };
        assert_eq!(
            (first.revision, first.entries.len(), second.revision),
            (3, 1, 4)
        );
        assert!(matches!(lines.next(), Ok(WatchLine::Incomplete)));
    }
    for malformed in [
        "noise\n",
        "[1]\n",
        "{\"revision\":-1}\n",
        "{\"revision\":1}x}\n",
        "{]}\n",
    ] {
        let mut lines = LineBuffer::default();
        lines.push(malformed.as_bytes());
        assert!(lines.next().is_err(), "{malformed}");
    }
}
