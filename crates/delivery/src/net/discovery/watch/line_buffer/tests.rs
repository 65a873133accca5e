use super::super::super::test_lists::{entry, list};
use super::*;

#[test]
fn indented_list_is_parsed_at_any_cut() {
    let text = format!(
        "{{\n  \"revision\": 3,\n  \"complete\": true,\n  \"members\": [\n    {}\n  ]\n}}\n",
        entry("DRAINING")
            .replace(',', ",\n      ")
            .replace('{', "{\n      ")
            .replace('}', "\n    }")
    );
    for at in 0..text.len() {
        let mut lines = LineBuffer::default();
        lines.push(b"\r\n");
        assert!(matches!(lines.next(), Ok(WatchLine::Heartbeat)));
        lines.push(&text.as_bytes()[..at]);
        assert!(
            matches!(lines.next(), Ok(WatchLine::Incomplete)),
            "cut at {at}"
        );
        lines.push(&text.as_bytes()[at..]);
        lines.push(list(4, false, "SERVING").as_bytes());
        let Ok(WatchLine::List(first)) = lines.next() else {
            panic!("cut at {at}")
        };
        let Ok(WatchLine::List(second)) = lines.next() else {
            panic!("cut at {at}")
        };
        assert_eq!(
            (first.revision, first.entries.len(), second.revision),
            (3, 1, 4)
        );
        assert!(matches!(lines.next(), Ok(WatchLine::Incomplete)));
    }
    for noise in [
        "noise\n",
        "[1]\n",
        "{\"revision\":-1}\n",
        "{\"revision\":1}x}\n",
        "{]}\n",
    ] {
        let mut lines = LineBuffer::default();
        lines.push(noise.as_bytes());
        assert!(lines.next().is_err(), "{noise}");
    }
}
