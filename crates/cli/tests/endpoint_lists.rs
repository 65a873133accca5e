//! Watched rosters over whole processes: traffic follows the last good list and no other, whatever is done to the
//! file, and nothing held is lost.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::*;
use marblefall_endpoint_lists::{Destination, Endpoint, EndpointList};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const MARKER: &str = "takes events at ";
/// Two tests hold the program to a time of grace while they load it as much as they can: one after the other, or each would
/// measure the other's load.
static ALONE: Mutex<()> = Mutex::new(());

/// How long a list that was replaced may still be followed.
const GRACE: Duration = Duration::from_millis(250);
const PARTNERS: [&str; 2] = ["a", "b"];

/// One instance for two rostered partners; `more` stands under `[roster]`.
fn file(path: &str, more: &str) -> String {
    format!(
        r#"[limits]
slots = 64
[class.status]
repeats = "free"
wanted_ms = 2000
give_up_ms = 20000
[destination.a]
rate = 400
[destination.b]
rate = 400
[roster]
path = "{path}"
poll_ms = 200
{more}
[instance.one]
events = {{ listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = {{ status = "status" }} }}
"#
    )
}

const LOOSE: &str = "max_kb = 64\nmost_weight_lost = 1.0\nmost_endpoints_lost = 1.0";

fn endpoint(name: &str, address: SocketAddr, weight: f64) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address,
        weight,
        zone: String::new(),
        draining: false,
    }
}

fn roster(revision: u64, lists: &[(&str, Vec<Endpoint>)]) -> EndpointList {
    let destination = |(name, endpoints): &(&str, Vec<Endpoint>)| {
        (
            name.to_string(),
            Destination {
                endpoints: endpoints.clone(),
            },
        )
    };
    EndpointList {
        revision,
        destinations: lists.iter().map(destination).collect(),
        loss_allowance: None,
    }
}

/// Waits until a list is kept, and so about to be in force.
fn taken(folder: &Folder, file: &str, text: &str) {
    let kept = folder.0.join("home/rosters").join(format!("{file}.good"));
    wait_for("the list to be taken up", || {
        fs::read_to_string(&kept).is_ok_and(|kept| kept == text)
    });
}

/// Replaces a file in one of the ways of editors and scripts.
fn replace(path: &Path, bytes: &[u8], way: usize) {
    let beside = path.with_extension("beside");
    match way % 4 {
        0 => fs::write(path, bytes).unwrap(),
        1 => {
            fs::write(&beside, bytes).unwrap();
            fs::rename(&beside, path).unwrap();
        }
        2 => {
            let _ = fs::remove_file(path);
            fs::write(path, bytes).unwrap();
        }
        _ => {
            // In place and piece by piece, over what stood there before; cut to its length at the very end.
            let mut file = fs::OpenOptions::new()
                .write(true)
                .create(true)
                .truncate(false)
                .open(path)
                .unwrap();
            for piece in bytes.chunks(bytes.len().div_ceil(3).max(1)) {
                file.write_all(piece).unwrap();
                thread::yield_now();
            }
            file.set_len(bytes.len() as u64).unwrap();
        }
    }
}

/// A list that must be refused, made from a good one. Where it keeps the good one's layout, the two mix at any byte.
fn spoilt(rng: &mut Pcg64, good: &EndpointList, last: &str, trap: SocketAddr) -> Vec<u8> {
    let mut trapped = good.clone();
    trapped.revision += 1;
    for endpoint in trapped
        .destinations
        .values_mut()
        .flat_map(|to| &mut to.endpoints)
    {
        endpoint.address = trap;
    }
    let whole = trapped.to_toml();
    let ends: Vec<usize> = whole.match_indices('\n').map(|(at, _)| at + 1).collect();
    match rng.random_range(0..8) {
        0 => whole.as_bytes()[..rng.random_range(0..whole.len())].to_vec(),
        // Cut between two lines, most of these are good TOML.
        1 => whole.as_bytes()[..ends[rng.random_range(0..ends.len() - 1)]].to_vec(),
        2 => {
            // The head of the new one, the tail of the old one, cut behind the line that holds the revision and
            // before the last one.
            let at = rng.random_range(ends[0]..ends[ends.len() - 2]);
            [
                &whole.as_bytes()[..at],
                last.as_bytes().get(at..).unwrap_or_default(),
            ]
            .concat()
        }
        3 => {
            trapped
                .destinations
                .values_mut()
                .flat_map(|to| &mut to.endpoints)
                .for_each(|one| one.weight = 0.0);
            trapped.to_toml().into_bytes()
        }
        4 => {
            let one = trapped.destinations["a"].clone();
            trapped.destinations.insert("stranger".to_owned(), one);
            trapped.to_toml().into_bytes()
        }
        5 => [whole.as_bytes(), &vec![b'#'; 70 * 1024]].concat(),
        6 => (0..rng.random_range(1..500))
            .map(|_| rng.random())
            .collect(),
        _ => whole
            .replacen("weight = ", "weight = -", 1)
            .replace("-0.0", "-1.0")
            .into_bytes(),
    }
}

/// One call as a stand-in saw it.
struct Call {
    stand_in: usize,
    came: Instant,
    id: String,
}

#[test]
fn traffic_never_follows_an_invalid_list_over_500_rewrites() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let stand_ins: Vec<StandIn> = (0..6).map(|_| StandIn::start(|_| ok())).collect();
    let trap = StandIn::start(|_| ok());
    let folder = Folder::in_memory("rewrites");
    let path = folder.0.join("roster.toml");
    let mut rng = Pcg64::seed_from_u64(20_261_201);
    // The first three stand-ins are a's, the others b's.
    let draw = |rng: &mut Pcg64, revision: u64| {
        let list = |rng: &mut Pcg64, first: usize| {
            let mut list: Vec<Endpoint> = (first..first + 3)
                .filter_map(|n| {
                    let weight = f64::from(rng.random_range(0..5u32));
                    rng.random_bool(0.7)
                        .then(|| endpoint(&format!("e{n}"), stand_ins[n].at, weight))
                })
                .collect();
            if !list.iter().any(Endpoint::is_active) {
                list = vec![endpoint(&format!("e{first}"), stand_ins[first].at, 1.0)];
            }
            list
        };
        let (a, b) = (list(rng, 0), list(rng, 3));
        roster(revision, &[("a", a), ("b", b)])
    };
    let mut good = draw(&mut rng, 1);
    let mut last = good.to_toml();
    fs::write(&path, &last).unwrap();
    apply(&folder, &file("roster.toml", LOOSE));
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    taken(&folder, "roster.toml", &last);

    // Since when each list was the newest good one, and from when on it surely was in force.
    let mut lists = vec![(Instant::now(), Instant::now(), good.clone())];
    let (over, next) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (over, next) = (over.clone(), next.clone());
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let id = next.fetch_add(1, Ordering::SeqCst).to_string();
                    let clinic = PARTNERS[client % 2];
                    let status =
                        event(at, &id, "status", clinic, "", b"1").map(|answer| answer.status());
                    assert_eq!(status, Some(204), "event {id}");
                    // A pace for the load, nothing waits for it.
                    thread::sleep(Duration::from_millis(3));
                }
            })
        })
        .collect();
    for turn in 0..500 {
        // Each good list stands alone for a while, or its successor's time of grace would cover any delay.
        if lists.last().unwrap().1.elapsed() > 2 * GRACE {
            let revision = good.revision + 1 + rng.random_range(0..3);
            good = draw(&mut rng, revision);
            last = good.to_toml();
            let written = Instant::now();
            replace(&path, last.as_bytes(), turn);
            taken(&folder, "roster.toml", &last);
            lists.push((written, Instant::now(), good.clone()));
        } else {
            replace(&path, &spoilt(&mut rng, &good, &last, trap.at), turn);
            // Some follow each other at once, most are met by traffic.
            if rng.random_bool(0.7) {
                let before = next.load(Ordering::SeqCst);
                wait_for("traffic", || next.load(Ordering::SeqCst) >= before + 40);
            }
        }
    }
    over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());

    assert_eq!(trap.count(), 0, "an invalid list was followed");
    let mut calls = Vec::new();
    for (stand_in, one) in stand_ins.iter().enumerate() {
        let seen = one.seen.lock().unwrap();
        calls.extend(seen.iter().map(|message| {
            let id = message.field("ce-id").unwrap().to_owned();
            Call {
                stand_in,
                came: message.came.unwrap(),
                id,
            }
        }));
    }
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for call in &calls {
        *runs.entry(&call.id).or_default() += 1;
        let serves = |list: &EndpointList| {
            let mut all = list.destinations.values().flat_map(|to| &to.endpoints);
            all.any(|endpoint| {
                endpoint.is_active() && endpoint.address == stand_ins[call.stand_in].at
            })
        };
        let ends = lists
            .iter()
            .skip(1)
            .map(|(_, taken, _)| Some(*taken + GRACE))
            .chain([None]);
        let in_force = lists.iter().zip(ends).filter(|((written, ..), end)| {
            *written <= call.came && end.is_none_or(|end| call.came <= end)
        });
        let mut in_force = in_force.map(|((.., list), _)| list);
        assert!(
            in_force.any(serves),
            "event {} at stand-in {}",
            call.id,
            call.stand_in
        );
    }
    assert!(lists.len() > 20, "too few lists to tell: {}", lists.len());
    let handed_in = next.load(Ordering::SeqCst);
    assert!(handed_in > 500, "too little traffic to tell: {handed_in}");
    assert_eq!(runs.len(), handed_in, "lost");
    assert!(runs.values().all(|count| *count == 1), "doubled");
    assert!(
        !program.log().contains("applies a change"),
        "the instance was started again"
    );
}

#[test]
fn last_good_list_stays_whatever_happens_to_its_file() {
    let (one, two) = (StandIn::start(|_| ok()), StandIn::start(|_| ok()));
    let folder = Folder::new("ways");
    let rosters = folder.0.join("rosters");
    // As a cluster mounts its files: a link to a folder behind a link that is swapped whole.
    let version = |name: &str, revision: u64, at: SocketAddr| {
        fs::create_dir_all(rosters.join(name)).unwrap();
        let lists = PARTNERS.map(|name| (name, vec![endpoint("only", at, 1.0)]));
        let text = roster(revision, &lists).to_toml();
        fs::write(rosters.join(name).join("all.toml"), &text).unwrap();
        text
    };
    let swap = |name: &str| {
        std::os::unix::fs::symlink(name, rosters.join("..new")).unwrap();
        fs::rename(rosters.join("..new"), rosters.join("..data")).unwrap();
    };
    let first = version("..v1", 1, one.at);
    swap("..v1");
    std::os::unix::fs::symlink("..data/all.toml", rosters.join("all.toml")).unwrap();
    apply(&folder, &file("rosters", LOOSE));
    let mut program = daemon(&folder);
    let mut at = program.address(MARKER, 0);
    taken(&folder, "all.toml", &first);
    let goes_to = |at: SocketAddr, id: &str, to: &StandIn| {
        // The list is kept a moment before it is in force.
        let mut tried = 0;
        wait_for("the right endpoint", || {
            let before = to.count();
            tried += 1;
            assert_eq!(
                event(at, &format!("{id}-{tried}"), "status", "a", "", b"")
                    .unwrap()
                    .status(),
                204
            );
            to.count() > before
        });
    };
    goes_to(at, "first", &one);
    let second = version("..v2", 2, two.at);
    swap("..v2");
    taken(&folder, "all.toml", &second);
    goes_to(at, "swapped", &two);

    // Each of these leaves the list in force; the daemon says so, and staff are shown it.
    let link = rosters.join("all.toml");
    let shown = || run(&["roster", "show", text(&folder.0.join("home"))]).1;
    fs::remove_file(&link).unwrap();
    wait_for("the missing file", || {
        shown().contains("the file is missing")
    });
    fs::create_dir(&link).unwrap();
    wait_for("the folder in its place", || {
        shown().contains("no plain file")
    });
    fs::remove_dir(&link).unwrap();
    assert!(std::process::Command::new("mkfifo")
        .arg(&link)
        .status()
        .unwrap()
        .success());
    wait_for("the pipe in its place", || {
        program.log().matches("no plain file").count() >= 1
    });
    fs::remove_file(&link).unwrap();
    fs::write(
        &link,
        second.replace("revision = 2\n\n[end]", "revision = 2\n\n"),
    )
    .unwrap();
    fs::write(&link, &second[..second.len() / 2]).unwrap();
    wait_for("the cut file", || shown().contains("the file is refused"));
    assert!(
        shown().contains("all.toml: revision 2 with 2 destinations"),
        "{}",
        shown()
    );
    let away = folder.0.join("away");
    fs::rename(&rosters, &away).unwrap();
    wait_for("the folder to be gone", || {
        program.log().contains("endpoint-list-unreadable")
    });
    goes_to(at, "gone", &two);

    // Also over a restart, killed outright, with no file there at all.
    program.kill();
    program = daemon(&folder);
    at = program.address(MARKER, 0);
    goes_to(at, "restarted", &two);
    fs::rename(&away, &rosters).unwrap();
    let third = version("..v3", 3, one.at);
    fs::remove_file(&link).unwrap();
    std::os::unix::fs::symlink("..v3/all.toml", &link).unwrap();
    taken(&folder, "all.toml", &third);
    goes_to(at, "back", &one);

    // Renamed: what the missing file said goes over to the new one, which may then change it.
    let fourth = roster(
        1,
        &PARTNERS.map(|name| (name, vec![endpoint("only", two.at, 1.0)])),
    )
    .to_toml();
    fs::remove_file(&link).unwrap();
    fs::write(rosters.join("renamed.toml"), &fourth).unwrap();
    taken(&folder, "renamed.toml", &fourth);
    goes_to(at, "renamed", &two);
    assert!(!folder.0.join("home/rosters/all.toml.good").exists());
}

#[test]
fn start_without_lists_is_logged_and_serves_no_listed_destination() {
    let one = StandIn::start(|_| ok());
    let folder = Folder::new("nothing");
    apply(&folder, &file("rosters", LOOSE));
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    wait_for("the word", || {
        program.log().matches("nothing is served there").count() == 2
    });
    let answer = event(at, "1", "status", "a", "", b"").unwrap();
    assert_eq!(answer.status(), 429, "declined, not refused for good");
    assert!(answer.field("retry-after").is_some());
    // The folder comes later, with one partner's list in a file of its own.
    fs::create_dir(folder.0.join("rosters")).unwrap();
    let list = roster(1, &[("a", vec![endpoint("only", one.at, 1.0)])]).to_toml();
    fs::write(folder.0.join("rosters/a.toml"), &list).unwrap();
    taken(&folder, "a.toml", &list);
    wait_for("the delivery", || {
        event(at, "2", "status", "a", "", b"").unwrap().status() == 204
    });
    assert_eq!(
        event(at, "3", "status", "b", "", b"").unwrap().status(),
        429
    );
}

#[test]
fn drain_lets_64_attempts_finish_and_starts_none() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    // Answered all the while: a route with calls that nobody answers would be left alone without any news of it. The
    // pause is this partner's service time, so that all callers have an attempt out at any moment.
    let one = StandIn::start(|_| {
        thread::sleep(Duration::from_millis(60));
        ok()
    });
    let two = StandIn::start(|_| ok());
    let folder = Folder::in_memory("drain");
    let path = folder.0.join("roster.toml");
    let list = |revision, weight: f64| {
        let both = vec![
            endpoint("one", one.at, weight),
            endpoint("two", two.at, 1.0),
        ];
        roster(
            revision,
            &[("a", both), ("b", vec![endpoint("b", two.at, 1.0)])],
        )
        .to_toml()
    };
    // Nearly all of the weight stands on the first, so that it carries everything.
    let first = list(1, 1000.0).replace("weight = 1.0", "weight = 0.001");
    fs::write(&path, &first).unwrap();
    apply(
        &folder,
        &file("roster.toml", LOOSE).replace("slots = 64", "slots = 200"),
    );
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    // One that is met is not held to the few calls of an unmet route.
    assert_eq!(
        event(at, "met", "status", "a", "", b"").unwrap().status(),
        204
    );
    let mut kept = TcpStream::connect(at).unwrap();
    let mut ask = |id: usize| {
        let head = format!(
            "POST /events HTTP/1.1\r\nce-specversion: 1.0\r\nce-id: kept-{id}\r\nce-source: /s\r\nce-type: status\r\n\
             ce-clinic: b\r\nContent-Length: 0\r\n\r\n"
        );
        kept.write_all(head.as_bytes()).unwrap();
        Message::read(&mut BufReader::new(&kept))
            .expect("an answer on the same connection")
            .status()
    };
    assert_eq!(ask(1), 204);
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..64)
        .map(|caller| {
            let over = over.clone();
            thread::spawn(move || {
                let mut ends = BTreeMap::<u16, usize>::new();
                for call in 0.. {
                    if over.load(Ordering::SeqCst) {
                        break;
                    }
                    let status = event(at, &format!("{caller}-{call}"), "status", "a", "", b"")
                        .unwrap()
                        .status();
                    *ends.entry(status).or_default() += 1;
                }
                ends
            })
        })
        .collect();
    let calls = |standin: &StandIn| standin.seen.lock().unwrap().len();
    wait_for("64 attempts out, again and again", || calls(&one) > 640);
    let before = calls(&two);
    let second = list(2, 0.0);
    fs::write(&path, &second).unwrap();
    taken(&folder, "roster.toml", &second);
    let drained = Instant::now() + GRACE;
    // As long again, and with all callers on the second endpoint.
    wait_for("the time after the grace", || {
        Instant::now() > drained + 2 * GRACE && calls(&two) > before + 640
    });
    over.store(true, Ordering::SeqCst);
    let ends: Vec<_> = callers.into_iter().map(|one| one.join().unwrap()).collect();
    assert!(
        ends.iter().all(|ends| ends.keys().eq([&204])),
        "what was out finishes: {ends:?}"
    );
    assert_eq!(ask(2), 204, "the client's connection outlasts the change");
    let late = one
        .seen
        .lock()
        .unwrap()
        .iter()
        .filter(|call| call.came.unwrap() > drained)
        .count();
    assert_eq!(late, 0, "nothing new to what is drained");
    assert!(
        !program.log().contains("applies a change"),
        "{}",
        program.log()
    );
}

#[test]
fn unlisted_destination_is_logged_and_unwatched_lists_are_not_shown() {
    let one = StandIn::start(|_| ok());
    let folder = Folder::new("unlisted");
    let list = roster(
        1,
        &[
            ("a", vec![endpoint("one", one.at, 1.0)]),
            ("b", vec![endpoint("two", one.at, 1.0)]),
        ],
    );
    fs::write(folder.0.join("roster.toml"), list.to_toml()).unwrap();
    let text = file("roster.toml", LOOSE);
    apply(&folder, &text);
    let program = daemon(&folder);
    program.address(MARKER, 0);
    for code in ["destination-unlisted", "list-watcher-not-started"] {
        assert!(!program.log().contains(code), "{}", program.log());
    }
    apply(
        &folder,
        &text.replace("[roster]", "[destination.late]\nrate = 1\n[roster]"),
    );
    wait_for("a line on the destination", || {
        program.log().contains("destination-unlisted")
    });
    let status = folder.0.join("home/rosters/status.json");
    assert!(fs::read_to_string(&status).unwrap().contains("roster.toml"));
    let given = format!("endpoints = [{{ name = \"x\", address = \"{}\" }}]", one.at);
    let (before, rest) = text.split_once("[roster]").unwrap();
    let (_, rest) = rest.split_once("[instance").unwrap();
    let without = before.replacen("rate = 400", &given, 1);
    let without = without.replace("rate = 400", &given.replace("\"x\"", "\"y\""));
    apply(&folder, &format!("{without}[instance{rest}"));
    wait_for("an empty status", || {
        !fs::read_to_string(&status).unwrap().contains("roster.toml")
    });
}

#[test]
fn list_commands_print_and_exit_as_documented() {
    let folder = Folder::new("words");
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let list = |revision, weight| {
        roster(
            revision,
            &[(
                "a",
                vec![endpoint("x", at(9), weight), endpoint("y", at(10), 1.0)],
            )],
        )
    };
    let (old, new) = (list(1, 1.0), list(2, 3.0));
    let old = folder.file("old.toml", &old.to_toml());
    let new = folder.file("new.toml", &new.to_toml());
    let fleet = folder.file("fleet.toml", &file("rosters", ""));
    let bad = folder.file(
        "bad.toml",
        &list(3, 1.0)
            .to_toml()
            .replace("127.0.0.1:10", "127.0.0.1:0"),
    );

    let (code, said) = run_coded(&["roster", "diff", text(&old), text(&new)]);
    assert_eq!(
        (code, said.as_str()),
        (
            0,
            "~ a/x weight 1 -> 3\nrevision 1 to 2: 0 to add, 1 to change, 0 to remove\n"
        )
    );
    let (code, said) = run_coded(&["roster", "check", text(&old), "--fleet", text(&fleet)]);
    assert!(code == 0 && said.contains("old.toml: good"), "{said}");
    let (code, said) = run_coded(&["roster", "check", text(&bad), text(&old)]);
    assert!(
        code == 1
            && said.contains("bad.toml:6")
            && said.contains("port 0")
            && said.contains("old.toml: good"),
        "{said}"
    );
    let (code, said) = run_coded(&["roster", "check", text(&old), text(&new)]);
    assert!(
        code == 1 && said.contains("stands in"),
        "a destination in two files: {said}"
    );
    let (code, said) = run_coded(&["roster", "check", "--format", "json", text(&bad)]);
    let told: serde_json::Value = serde_json::from_str(&said).unwrap();
    assert_eq!(
        (code, &told["reports"][0]["faults"][0]["code"]),
        (1, &"bad-address".into())
    );
    assert_eq!(told["reports"][0]["faults"][0]["line"], 6);
    let (code, said) = run_coded(&["roster", "check", "/nowhere.toml"]);
    assert!(code == 1 && said.contains("/nowhere.toml"), "{said}");
    for words in [
        &["roster", "check"][..],
        &["roster"],
        &["unheard-of"],
        &["plan"],
    ] {
        assert_eq!(run_coded(words).0, 2, "{words:?}");
    }
    let (code, said) = run_coded(&["roster", "check", "--help"]);
    assert!(code == 0 && said.contains("Examples:"), "{said}");
    let (code, said) = run_coded(&["completions", "bash"]);
    assert!(code == 0 && said.contains("marblefall"), "{said}");
}
