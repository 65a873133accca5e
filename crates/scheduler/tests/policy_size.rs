//! The policy is read aloud after outages: its length and width are limited.

const POLICY: [(&str, &str); 6] = [
    ("policy.rs", include_str!("../src/policy.rs")),
    (
        "policy/admission.rs",
        include_str!("../src/policy/admission.rs"),
    ),
    (
        "policy/capacity.rs",
        include_str!("../src/policy/capacity.rs"),
    ),
    ("policy/health.rs", include_str!("../src/policy/health.rs")),
    ("policy/retry.rs", include_str!("../src/policy/retry.rs")),
    (
        "policy/selection.rs",
        include_str!("../src/policy/selection.rs"),
    ),
];

#[test]
fn policy_files_keep_their_limits_together() {
    let lines = |text: &str| text.lines().filter(|line| !line.trim().is_empty()).count();
    let total: usize = POLICY.iter().map(|(_, text)| lines(text)).sum();
    assert!(
        total <= 1000,
        "{total} lines that are not blank, 1,000 at most"
    );
    for (file, text) in POLICY {
        let wide = text.lines().position(|line| line.chars().count() > 110);
        assert_eq!(wide, None, "{file} has a line over 110 characters");
    }
    let head: String = POLICY[0].1.lines().take(4).collect();
    assert!(
        head.contains("interface.rs"),
        "the head names the interface file"
    );
}

#[test]
fn deploy_file_names_every_policy_file() {
    let deploy = include_str!("../../../deploy/balancer.toml");
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy");
    let files = std::fs::read_dir(folder).unwrap().count();
    assert_eq!(
        files + 1,
        POLICY.len(),
        "a file under policy is not counted"
    );
    for (file, _) in POLICY {
        assert!(
            deploy.contains(&format!("crates/scheduler/src/{file}")),
            "{file} is not named"
        );
    }
}
