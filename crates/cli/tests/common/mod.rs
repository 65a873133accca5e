//! What the tests of the program share: the program as a process, stand-ins of the systems around it, and clients.
//! Every wait is for a condition, within a bound that only a failure reaches.
#![allow(dead_code)]

pub mod clients;
pub mod group;
pub mod lists;
pub mod manifests;
pub mod platform;
pub mod shim;

use error_reporter::Report;
use marblefall_process_harness::cloud_events::CloudEvent;
use marblefall_process_harness::http::{self, ExchangeError, Request};
use marblefall_process_harness::{run_command, Process, ResourceUsage};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

pub use marblefall_process_harness::headers;
pub use marblefall_process_harness::http::Message;
pub use marblefall_process_harness::server::{Reply, TestServer};
pub use marblefall_process_harness::{
    monotonic_ms, CommandOutput, Signal, TemporaryFolder, WAIT_LIMIT,
};

/// What the program logs before the address at which it accepts events.
pub const EVENTS_MARKER: &str = "takes events at ";
/// Asks whether a process is ready.
pub const READY_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";
/// Connections that are opened at once to outnumber the places of a process.
const MANY_CONNECTIONS: usize = 200;

/// Waits until a condition holds.
pub fn wait_for(description: &str, condition: impl FnMut() -> bool) {
    marblefall_process_harness::wait_for(description, condition).unwrap();
}

/// Starts a server on a free port.
pub fn start_server(respond: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> TestServer {
    TestServer::start(respond).unwrap()
}

/// Starts a server that responds to every request with 200.
pub fn start_healthy_server() -> TestServer {
    start_server(|_| Reply::ok())
}

/// Starts a server that responds to nothing until it is opened.
pub fn start_server_silent_until(open: &Arc<AtomicBool>) -> TestServer {
    let open = open.clone();
    start_server(move |_| {
        if open.load(Ordering::SeqCst) {
            Reply::ok()
        } else {
            Reply::Hang
        }
    })
}

/// Starts a server that rejects all requests until it is opened.
pub fn start_server_rejecting_until(open: &Arc<AtomicBool>) -> TestServer {
    let open = open.clone();
    start_server(move |_| {
        if open.load(Ordering::SeqCst) {
            Reply::ok()
        } else {
            Reply::status(503)
        }
    })
}

/// The first request that a server received.
pub fn first_request(server: &TestServer) -> Message {
    server.requests()[0].clone()
}

/// An address at which nobody listens.
pub fn unused_address() -> SocketAddr {
    marblefall_process_harness::network::unused_address().unwrap()
}

/// The response of an exchange; `None` where there is none, for a reason that the output of a failed test shows.
pub fn response_of(exchanged: Result<Message, ExchangeError>) -> Option<Message> {
    exchanged
        .inspect_err(|error| eprintln!("{}", Report::new(error)))
        .ok()
}

/// Sends raw bytes on a connection of their own, and returns the response if there is one.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    response_of(http::exchange(address, bytes, WAIT_LIMIT))
}

/// Posts a body with header fields.
pub fn post(
    address: SocketAddr,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Option<Message> {
    let request = Request::post(path).body(body);
    let request = fields.iter().fold(request, |request, (name, value)| {
        request.header(name, value)
    });
    response_of(request.send(address, WAIT_LIMIT))
}

/// Submits an event in binary mode, and waits for its outcome; `None` where the connection breaks first.
pub fn submit_event(
    address: SocketAddr,
    id: &str,
    event_type: &str,
    destination: &str,
    idempotency_key: &str,
    data: &[u8],
) -> Option<Message> {
    let event = CloudEvent {
        id,
        event_type,
        destination,
        idempotency_key,
        data,
    };
    response_of(event.submit(address, WAIT_LIMIT))
}

/// Misbehaving clients must neither keep others from the process nor the responses from themselves.
pub fn check_misbehaving_clients_do_no_harm(address: SocketAddr, path: &str) {
    let ready_status = || exchange(address, READY_REQUEST).map(|response| response.status());
    // More silent connections than there are places, and then half requests.
    for sent in ["", "POST /"] {
        let connections: Vec<TcpStream> = (0..MANY_CONNECTIONS)
            .map(|_| TcpStream::connect(address).unwrap())
            .collect();
        for mut connection in &connections {
            // One that was closed already cannot be written to.
            let _ = connection.write(sent.as_bytes());
        }
        assert_eq!(
            ready_status(),
            Some(200),
            "behind 200 connections that sent {sent:?}"
        );
    }
    check_large_request_is_rejected(address, path);
    check_idle_connections_give_way(address);
    assert_eq!(ready_status(), Some(200));
}

/// A client that writes all it has before it reads anything.
fn check_large_request_is_rejected(address: SocketAddr, path: &str) {
    const LARGE: usize = 60_000_000;
    let head = format!("POST {path} HTTP/1.1\r\nContent-Length: {LARGE}\r\n\r\n");
    let request = [head.as_bytes(), &vec![b'x'; LARGE]].concat();
    let response = exchange(address, &request);
    assert_eq!(response.map(|response| response.status()), Some(413));
}

/// Clients that send one request and stay give way where they are many.
fn check_idle_connections_give_way(address: SocketAddr) {
    let open = |_| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(READY_REQUEST).unwrap();
        let response = Message::read(&mut BufReader::new(&stream)).unwrap();
        assert_eq!(response.status(), 200);
        stream.set_nonblocking(true).unwrap();
        stream
    };
    let connections: Vec<TcpStream> = (0..60).map(open).collect();
    let is_closed = |stream: &&TcpStream| stream.peek(&mut [0]).is_ok_and(|len| len == 0);
    wait_for("idle connections to be closed", || {
        connections.iter().filter(is_closed).count() >= 30
    });
}

/// The path of the program under test.
pub fn program_path() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_marblefall"))
}

/// The program under test; killed with the test.
pub struct Program(Process);

impl Program {
    /// Starts the program with arguments, and with variables added to the environment.
    pub fn start(arguments: &[&str], environment: &[(&str, &str)]) -> Program {
        Program(Process::start(program_path(), arguments, environment).unwrap())
    }

    /// Its log until now.
    pub fn log(&self) -> String {
        self.0.log()
    }

    /// Waits until it has logged an address behind a marker, and returns the address of this index.
    pub fn address(&self, marker: &str, index: usize) -> SocketAddr {
        self.0.logged_address(marker, index).unwrap()
    }

    /// Kills it.
    pub fn kill(mut self) {
        self.0.kill().unwrap();
    }

    /// Sends a signal, which must be delivered.
    pub fn signal(&self, signal: Signal) {
        assert!(self.0.signal(signal));
    }

    /// Waits until it has ended by itself, and returns whether it succeeded.
    pub fn wait_for_exit(&mut self) -> bool {
        self.0.wait_for_exit().unwrap().success()
    }

    /// Requests its counters, and waits until its log has a text.
    pub fn wait_for_counter(&self, counter: &str) {
        wait_for(counter, || {
            self.signal(Signal::USR1);
            self.log().contains(counter)
        });
    }

    /// The resources that it uses.
    pub fn resource_usage(&self) -> ResourceUsage {
        self.0.resource_usage().unwrap()
    }
}

/// Runs the program to its end.
pub fn run(arguments: &[&str]) -> CommandOutput {
    run_command(Command::new(program_path()).args(arguments)).unwrap()
}

/// Plans and applies a manifest in a folder, and returns what the plan says.
pub fn apply(folder: &TemporaryFolder, manifest: &str) -> String {
    let file = write_file(folder, "fleet.toml", manifest);
    let (plan, home) = (folder.path().join("plan"), home(folder));
    let planned = run(&["plan", text(&file), text(&home), "--out", text(&plan)]);
    assert!(planned.is_success(), "{planned}");
    let applied = run(&["apply", text(&plan), text(&home)]);
    assert!(applied.is_success(), "{applied}");
    planned.text
}

/// The home in a folder.
pub fn home(folder: &TemporaryFolder) -> PathBuf {
    folder.path().join("home")
}

/// Starts a daemon that runs what is applied in a folder.
pub fn start_daemon(folder: &TemporaryFolder) -> Program {
    Program::start(&["run", text(&home(folder))], &[])
}

/// Creates an empty folder that is removed with the test.
pub fn new_folder(name: &str) -> TemporaryFolder {
    TemporaryFolder::new(name).unwrap()
}

/// Creates an empty folder in memory: for tests that hold a process to a time.
pub fn new_folder_in_memory(name: &str) -> TemporaryFolder {
    TemporaryFolder::in_memory(name).unwrap()
}

/// Writes a file in a folder.
pub fn write_file(folder: &TemporaryFolder, name: &str, text: &str) -> PathBuf {
    folder.write(name, text).unwrap()
}

/// A path as an argument.
pub fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// Submits an event with the data `1`, and returns the status of the response.
pub fn event_status(
    address: SocketAddr,
    id: &str,
    event_type: &str,
    destination: &str,
    idempotency_key: &str,
) -> u16 {
    let response = submit_event(address, id, event_type, destination, idempotency_key, b"1");
    response.unwrap().status()
}
