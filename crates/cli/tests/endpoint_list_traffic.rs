//! Calls go only to endpoints of the list in force, while lists are rewritten or drain an endpoint.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::lists::*;
use common::*;
use marblefall_endpoint_lists::{Endpoint, EndpointList};
use marblefall_process_harness::cloud_events::CloudEvent;
use marblefall_process_harness::Workers;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Runs one test at a time. Both check a grace period under maximum load, and each would be disturbed by the other's load.
static SERIAL: Mutex<()> = Mutex::new(());

/// Time for which calls may still go to endpoints of a replaced list.
const GRACE: Duration = Duration::from_millis(250);
/// Pause of a client between two events. It only sets the request rate; no check depends on it.
const CLIENT_PAUSE: Duration = Duration::from_millis(3);
/// Number of endpoints of each destination.
const ENDPOINTS_EACH: usize = 3;

/// A way to replace a file that editors and scripts use.
#[derive(Clone, Copy)]
enum Replacement {
    /// The file is truncated and written again.
    Overwrite,
    /// A new file is written next to it, and renamed.
    Rename,
    /// The file is removed, and written again.
    Recreate,
    /// The file is overwritten in pieces, and truncated to its new length at the end.
    InPieces,
}

const REPLACEMENTS: [Replacement; 4] = [
    Replacement::Overwrite,
    Replacement::Rename,
    Replacement::Recreate,
    Replacement::InPieces,
];

fn replace(path: &Path, bytes: &[u8], replacement: Replacement) {
    match replacement {
        Replacement::Overwrite => fs::write(path, bytes).unwrap(),
        Replacement::Rename => {
            let new_file = path.with_extension("new");
            fs::write(&new_file, bytes).unwrap();
            fs::rename(&new_file, path).unwrap();
        }
        Replacement::Recreate => {
            fs::remove_file(path).unwrap();
            fs::write(path, bytes).unwrap();
        }
        Replacement::InPieces => {
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

/// Returns a list that must be rejected, made from a valid list. If it has the layout of the valid list, a reader during the
/// replacement may see a mix of both, split at any byte.
///
/// All endpoints of the list are at the address `trap`.
fn invalid_list(
    rng: &mut Pcg64,
    good: &EndpointList,
    last_text: &str,
    trap: SocketAddr,
) -> Vec<u8> {
    let mut invalid = good.clone();
    invalid.revision += 1;
    for endpoint in invalid
        .destinations
        .values_mut()
        .flat_map(|to| &mut to.endpoints)
    {
        endpoint.address = trap;
    }
    let text = invalid.to_toml();
    let ends: Vec<usize> = text.match_indices('\n').map(|(at, _)| at + 1).collect();
    match rng.random_range(0..8) {
        0 => text.as_bytes()[..rng.random_range(0..text.len())].to_vec(),
        // A text that is cut between two lines is usually valid TOML.
        1 => text.as_bytes()[..ends[rng.random_range(0..ends.len() - 1)]].to_vec(),
        2 => {
            // The start of the new list and the end of the old one, split between the line with the revision and the last
            // line.
            let at = rng.random_range(ends[0]..ends[ends.len() - 2]);
            [
                &text.as_bytes()[..at],
                last_text.as_bytes().get(at..).unwrap_or_default(),
            ]
            .concat()
        }
        3 => {
            invalid
                .destinations
                .values_mut()
                .flat_map(|to| &mut to.endpoints)
                .for_each(|endpoint| endpoint.weight = 0.0);
            invalid.to_toml().into_bytes()
        }
        4 => {
            let copy = invalid.destinations["a"].clone();
            invalid.destinations.insert("stranger".to_owned(), copy);
            invalid.to_toml().into_bytes()
        }
        5 => [text.as_bytes(), &vec![b'#'; 70 * 1024]].concat(),
        6 => (0..rng.random_range(1..500))
            .map(|_| rng.random())
            .collect(),
        _ => text
            .replacen("weight = ", "weight = -", 1)
            .replace("-0.0", "-1.0")
            .into_bytes(),
    }
}

/// Servers of two destinations. The first half are the endpoints of `a`, the second half those of `b`.
struct Endpoints(Vec<TestServer>);

impl Endpoints {
    fn start() -> Endpoints {
        let count = LISTED_DESTINATIONS.len() * ENDPOINTS_EACH;
        Endpoints((0..count).map(|_| start_healthy_server()).collect())
    }

    /// Draws a valid list of some of the servers.
    fn draw_list(&self, rng: &mut Pcg64, revision: u64) -> EndpointList {
        let a = self.draw_endpoints(rng, 0);
        let b = self.draw_endpoints(rng, ENDPOINTS_EACH);
        endpoint_list(revision, &[("a", a), ("b", b)])
    }

    fn draw_endpoints(&self, rng: &mut Pcg64, first: usize) -> Vec<Endpoint> {
        let servers = self.0.iter().enumerate().skip(first).take(ENDPOINTS_EACH);
        let endpoints: Vec<Endpoint> = servers
            .filter_map(|(number, server)| {
                let weight = f64::from(rng.random_range(0..5u32));
                let is_listed = rng.random_bool(0.7);
                is_listed.then(|| endpoint(&format!("e{number}"), server.address, weight))
            })
            .collect();
        if endpoints.iter().any(Endpoint::is_active) {
            endpoints
        } else {
            let name = format!("e{first}");
            vec![endpoint(&name, self.0[first].address, 1.0)]
        }
    }

    /// Returns all calls that the servers received.
    fn calls(&self) -> Vec<Call> {
        let calls_of = |server: &TestServer| {
            let requests = server.requests();
            let call = |request: &Message| Call {
                endpoint: server.address,
                received_at: request.received_at.unwrap(),
                id: request.header(headers::EVENT_ID).unwrap().to_owned(),
            };
            requests.iter().map(call).collect::<Vec<_>>()
        };
        self.0.iter().flat_map(calls_of).collect()
    }
}

/// A call that an endpoint received.
struct Call {
    endpoint: SocketAddr,
    received_at: Instant,
    id: String,
}

/// A valid list that was written to its file.
struct WrittenList {
    list: EndpointList,
    /// The time when the list was written, before which no call may go to its endpoints.
    written_at: Instant,
    /// The time when the list was stored. Calls may go to endpoints of the previous list until [`GRACE`] later.
    stored_at: Instant,
}

impl WrittenList {
    fn serves(&self, address: SocketAddr) -> bool {
        let destinations = self.list.destinations.values();
        let mut endpoints = destinations.flat_map(|destination| &destination.endpoints);
        endpoints.any(|endpoint| endpoint.is_active() && endpoint.address == address)
    }
}

/// Starts clients that submit events one after the other, all of which must be delivered.
fn start_clients(address: SocketAddr, count: usize) -> Workers<()> {
    Workers::start(count, CLIENT_PAUSE, |client| {
        let destination = LISTED_DESTINATIONS[client % LISTED_DESTINATIONS.len()];
        move |number| {
            let id = format!("{client}-{number}");
            let response = submit_event(address, &id, "status", destination, "", b"1");
            let status = response.map(|response| response.status());
            assert_eq!(status, Some(204), "event {id}");
        }
    })
}

#[test]
fn traffic_never_follows_an_invalid_list_over_500_rewrites() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let endpoints = Endpoints::start();
    let trap = start_healthy_server();
    let folder = new_folder_in_memory("rewrites");
    let path = folder.path().join("roster.toml");
    let mut rng = Pcg64::seed_from_u64(20_261_201);
    let first = endpoints.draw_list(&mut rng, 1);
    let mut last_text = first.to_toml();
    fs::write(&path, &last_text).unwrap();
    apply(&folder, &listed_manifest("roster.toml", LOOSE_RULES));
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    wait_until_stored(&folder, "roster.toml", &last_text);
    let mut lists = vec![WrittenList {
        list: first,
        written_at: Instant::now(),
        stored_at: Instant::now(),
    }];
    let clients = start_clients(address, 4);
    for turn in 0..500 {
        let replacement = REPLACEMENTS[turn % REPLACEMENTS.len()];
        let last = lists.last().unwrap();
        // Each valid list stays in force for a while. Otherwise the grace period of its successor would hide delays.
        if last.stored_at.elapsed() > 2 * GRACE {
            let revision = last.list.revision + 1 + rng.random_range(0..3);
            let list = endpoints.draw_list(&mut rng, revision);
            last_text = list.to_toml();
            let written_at = Instant::now();
            replace(&path, last_text.as_bytes(), replacement);
            wait_until_stored(&folder, "roster.toml", &last_text);
            lists.push(WrittenList {
                list,
                written_at,
                stored_at: Instant::now(),
            });
        } else {
            let invalid = invalid_list(&mut rng, &last.list, &last_text, trap.address);
            replace(&path, &invalid, replacement);
            // Most invalid lists stay for some traffic; the others are replaced at once.
            if rng.random_bool(0.7) {
                clients.wait_for_completions(40).unwrap();
            }
        }
    }
    let submitted = clients.stop().len();

    assert_eq!(trap.request_count(), 0, "a call by an invalid list");
    assert!(lists.len() > 20, "too few lists: {}", lists.len());
    assert!(submitted > 500, "too little traffic: {submitted}");
    let calls = endpoints.calls();
    check_calls_follow_lists(&calls, &lists);
    let mut calls_by_id: HashMap<&str, usize> = HashMap::new();
    for call in &calls {
        *calls_by_id.entry(&call.id).or_default() += 1;
    }
    assert_eq!(calls_by_id.len(), submitted, "lost events");
    assert!(calls_by_id.values().all(|count| *count == 1), "duplicates");
    assert!(
        !program.log().contains("applies a change"),
        "the instance was restarted"
    );
}

/// Checks that each call went to an endpoint of a list that was in force when it was received.
fn check_calls_follow_lists(calls: &[Call], lists: &[WrittenList]) {
    let ends = lists
        .iter()
        .skip(1)
        .map(|next| Some(next.stored_at + GRACE))
        .chain([None]);
    let lists: Vec<(&WrittenList, Option<Instant>)> = lists.iter().zip(ends).collect();
    for call in calls {
        let mut in_force = lists.iter().filter(|(list, end)| {
            list.written_at <= call.received_at && end.is_none_or(|end| call.received_at <= end)
        });
        assert!(
            in_force.any(|(list, _)| list.serves(call.endpoint)),
            "event {} at endpoint {}",
            call.id,
            call.endpoint
        );
    }
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "each step depends on the steps before"
)]
fn drain_lets_64_attempts_finish_and_starts_none() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    // The service time keeps an attempt of every caller in flight. The server must respond, or its route would be ejected.
    let drained_server = start_server(|_| {
        thread::sleep(Duration::from_millis(60));
        Reply::ok()
    });
    let other_server = start_healthy_server();
    let folder = new_folder_in_memory("drain");
    let path = folder.path().join("roster.toml");
    let list = |revision, weight: f64| {
        let both = vec![
            endpoint("one", drained_server.address, weight),
            endpoint("two", other_server.address, 1.0),
        ];
        endpoint_list(
            revision,
            &[
                ("a", both),
                ("b", vec![endpoint("b", other_server.address, 1.0)]),
            ],
        )
        .to_toml()
    };
    // Nearly all weight is on the first endpoint, so it receives all calls.
    let first = list(1, 1000.0).replace("weight = 1.0", "weight = 0.001");
    fs::write(&path, &first).unwrap();
    apply(
        &folder,
        &listed_manifest("roster.toml", LOOSE_RULES).replace("slots = 64", "slots = 200"),
    );
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    // A new route is limited to a few calls, so the route is called once before.
    assert_eq!(event_status(address, "first", "status", "a", ""), 204);
    let mut connection = TcpStream::connect(address).unwrap();
    let mut submit_on_same = |id: &str| {
        let event = CloudEvent {
            id,
            event_type: "status",
            destination: "b",
            idempotency_key: "",
            data: b"",
        };
        connection
            .write_all(&event.to_request().to_bytes())
            .unwrap();
        let response = Message::read(&mut BufReader::new(&connection));
        response
            .expect("a response on the same connection")
            .status()
    };
    assert_eq!(submit_on_same("same-1"), 204);
    let callers = Workers::start(64, Duration::ZERO, |caller| {
        move |call| {
            let id = format!("{caller}-{call}");
            let response = submit_event(address, &id, "status", "a", "", b"");
            (caller, response.unwrap().status())
        }
    });
    wait_for("64 attempts in flight, repeatedly", || {
        drained_server.request_count() > 640
    });
    let before = other_server.request_count();
    let second = list(2, 0.0);
    fs::write(&path, &second).unwrap();
    wait_until_stored(&folder, "roster.toml", &second);
    let drained_at = Instant::now() + GRACE;
    // The callers send as much traffic again, all to the second endpoint.
    wait_for("traffic after the grace period", || {
        Instant::now() > drained_at + 2 * GRACE && other_server.request_count() > before + 640
    });
    let mut statuses: BTreeMap<usize, BTreeSet<u16>> = BTreeMap::new();
    for (caller, status) in callers.stop() {
        statuses.entry(caller).or_default().insert(status);
    }
    assert_eq!(statuses.len(), 64);
    assert!(
        statuses.values().all(|statuses| statuses.iter().eq([&204])),
        "attempts in flight finish: {statuses:?}"
    );
    assert_eq!(
        submit_on_same("same-2"),
        204,
        "the client's connection stays open"
    );
    let late = drained_server
        .requests()
        .iter()
        .filter(|call| call.received_at.unwrap() > drained_at)
        .count();
    assert_eq!(late, 0, "no new call to a drained endpoint");
    assert!(
        !program.log().contains("applies a change"),
        "{}",
        program.log()
    );
}
