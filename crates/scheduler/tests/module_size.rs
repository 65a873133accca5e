//! The module is read aloud after outages: its length and width are limited.

#[test]
fn the_decision_module_keeps_its_limits() {
    let text = include_str!("../src/choice.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1000, "{lines} lines that are not blank, 1,000 at most");
    let wide = text.lines().position(|line| line.chars().count() > 110);
    assert_eq!(wide, None, "a line over 110 characters");
    let head: String = text.lines().take(4).collect();
    assert!(head.contains("interface.rs"), "the head names the interface file");
}
