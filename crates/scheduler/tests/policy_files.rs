//! Layout of the policy files. Operators read them after outages, so each file must have one concern, be short, and be
//! named in the deploy file.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Maximum length of a policy file, in lines that are not blank.
const MAX_LINES: usize = 120;
/// Maximum length of a function in a policy file, from its first line to its closing brace.
const MAX_FUNCTION_LINES: usize = 40;
/// Minimum number of functions in the policy. A lower count means that the search for functions is broken.
const MIN_FUNCTIONS: usize = 50;
/// Maximum length of a line, in characters.
const MAX_WIDTH: usize = 110;

/// A file of the policy.
struct PolicyFile {
    /// Path from the root of the repository.
    path: String,
    text: String,
}

fn package_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Returns `policy.rs` and every file below the folder `policy`, at any depth.
fn policy_files() -> Vec<PolicyFile> {
    let source = package_root().join("src");
    let mut paths = vec![source.join("policy.rs")];
    let mut folders = vec![source.join("policy")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the folder is readable") {
            let path = entry.expect("the folder is readable").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                paths.push(path);
            }
        }
    }
    let read = |path: &PathBuf| PolicyFile {
        path: format!("crates/scheduler/{}", relative(path)),
        text: fs::read_to_string(path).expect("the file is text"),
    };
    paths.iter().map(read).collect()
}

fn relative(path: &Path) -> String {
    let path = path.strip_prefix(package_root());
    let path = path.expect("policy files are in the package");
    path.display().to_string()
}

/// Returns the name of the module in a file.
fn module_name(file: &PolicyFile) -> &str {
    let stem = Path::new(&file.path).file_stem();
    let name = stem.and_then(|stem| stem.to_str());
    name.expect("a file has a name")
}

/// Returns the paths of the policy files that the deploy file names.
fn deployed_files() -> Vec<String> {
    let path = package_root().join("../../deploy/balancer.toml");
    let deploy = fs::read_to_string(path).expect("the deploy file is text");
    let mut lines = deploy
        .lines()
        .filter_map(|line| line.strip_prefix("policy = ["));
    let list = lines
        .next()
        .expect("the deploy file has a list of policy files");
    let (list, _) = list.split_once(']').expect("the list is on one line");
    let names = list.split(',').map(|name| name.trim().trim_matches('"'));
    names.map(str::to_owned).collect()
}

#[test]
fn each_policy_file_is_short() {
    for PolicyFile { path, text } in policy_files() {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MAX_LINES,
            "{path} has {lines} lines that are not blank"
        );
        let wide = text
            .lines()
            .position(|line| line.chars().count() > MAX_WIDTH);
        assert_eq!(wide, None, "{path} has a line over {MAX_WIDTH} characters");
    }
}

/// Returns the name of the function that begins on a line, if any.
fn function_name(line: &str) -> Option<&str> {
    let declaration = line.trim_start();
    let (modifiers, rest) = declaration.split_once("fn ")?;
    let is_declaration = modifiers.is_empty() || modifiers.starts_with("pub");
    rest.split_once('(')
        .filter(|_| is_declaration)
        .map(|(name, _)| name)
}

/// A function of the policy.
struct Function {
    name: String,
    /// Number of lines, from the first line to the closing brace.
    lines: usize,
}

/// Returns all functions of a formatted file. A function ends with the first closing brace that has the indentation of
/// its declaration.
fn functions(text: &str) -> Vec<Function> {
    let lines: Vec<&str> = text.lines().collect();
    let mut functions = Vec::new();
    for (start, line) in lines.iter().enumerate() {
        let Some(name) = function_name(line) else {
            continue;
        };
        let indent = &line[..line.len() - line.trim_start().len()];
        let end = format!("{indent}}}");
        let body = lines[start..].iter().position(|line| *line == end);
        functions.push(Function {
            name: name.to_owned(),
            lines: body.expect("a function ends with a brace") + 1,
        });
    }
    functions
}

#[test]
fn each_policy_function_is_short() {
    let mut count = 0;
    for PolicyFile { path, text } in policy_files() {
        for Function { name, lines } in functions(&text) {
            assert!(
                lines <= MAX_FUNCTION_LINES,
                "{path}: {name} has {lines} lines"
            );
            count += 1;
        }
    }
    assert!(count >= MIN_FUNCTIONS, "only {count} functions were found");
}

/// Each module states its concern in its first line, has one `impl Scheduler` block, and is listed once in `policy.rs`.
#[test]
fn each_policy_file_holds_one_concern() {
    let files = policy_files();
    let (index, modules) = files.split_first().unwrap();
    let mut concerns = BTreeSet::new();
    for file in modules {
        let PolicyFile { path, text } = file;
        let concern = text
            .lines()
            .next()
            .and_then(|line| line.strip_prefix("//! "));
        let concern = concern.unwrap_or_else(|| panic!("{path} does not state its concern"));
        assert!(
            concerns.insert(concern),
            "{path}: {concern} is stated twice"
        );
        let blocks = text.matches("\nimpl Scheduler {").count();
        assert_eq!(blocks, 1, "{path}: {blocks} impl blocks of Scheduler");
        let name = module_name(file);
        let listed = format!("//! - [`{name}`]: ");
        let entries = index.text.lines().filter(|line| line.starts_with(&listed));
        assert_eq!(entries.count(), 1, "policy.rs lists {name} once");
        let declared = format!("pub(crate) mod {name};");
        assert!(
            index.text.contains(&declared),
            "{path} is not declared as a module"
        );
    }
    let head: String = index.text.lines().take(4).collect();
    assert!(
        head.contains("interface.rs"),
        "the module documentation names the interface file"
    );
}

#[test]
fn deploy_file_names_every_policy_file_once() {
    let mut existing: Vec<String> = policy_files().into_iter().map(|file| file.path).collect();
    let mut deployed = deployed_files();
    existing.sort();
    deployed.sort();
    assert_eq!(deployed, existing);
}
