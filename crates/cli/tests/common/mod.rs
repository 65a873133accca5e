//! What the tests over sockets share: the program as a process, stand-ins for the systems around it, and a
//! client. All waits are for a condition, within a bound that only a failure meets.
#![allow(dead_code)]

pub mod platform;
pub mod shim;

use marblefall_simulation::rig::daemons::Daemon;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub use marblefall_simulation::rig::http::Message;
pub use marblefall_simulation::rig::BOUND;

/// Waits until something is so.
pub fn wait_for(what: &str, so: impl FnMut() -> bool) {
    marblefall_simulation::rig::wait_for(what, so).unwrap();
}

/// Sends raw bytes on a connection of its own and reads the answer, if one comes.
pub fn raw(to: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(BOUND)).unwrap();
    stream.write_all(bytes).ok()?;
    Message::read(&mut BufReader::new(stream))
}

/// Posts a body with header lines.
pub fn post(to: SocketAddr, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Option<Message> {
    let mut text = format!(
        "POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n",
        body.len()
    );
    fields
        .iter()
        .for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("\r\n");
    raw(to, &[text.as_bytes(), body].concat())
}

/// What clients without manners do to a front must not keep others from it, nor its answers from themselves.
pub fn bears_bad_clients(at: SocketAddr, path: &str) {
    let ready = || raw(at, b"GET /ready HTTP/1.1\r\n\r\n").map(|answer| answer.status());
    // More silent connections than there are places, and then half requests.
    for said in ["", "POST /"] {
        let crowd: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(at).unwrap()).collect();
        crowd
            .iter()
            .for_each(|mut one| drop(one.write(said.as_bytes())));
        assert_eq!(
            ready(),
            Some(200),
            "behind 200 connections that said {said:?}"
        );
    }
    // One that writes all that it has before it reads anything.
    let head = format!("POST {path} HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
    let large = [head.as_bytes(), &vec![b'x'; 60_000_000]].concat();
    assert_eq!(raw(at, &large).map(|answer| answer.status()), Some(413));
    // Those that ask once and stay give way in the end, where they are many.
    let ask = |_| {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(
            Message::read(&mut BufReader::new(&stream))
                .unwrap()
                .status(),
            200
        );
        stream.set_nonblocking(true).unwrap();
        stream
    };
    let staying: Vec<TcpStream> = (0..60).map(ask).collect();
    let ended = || {
        staying
            .iter()
            .filter(|one| one.peek(&mut [0]).is_ok_and(|read| read == 0))
            .count()
    };
    wait_for("room among those who stay", || ended() >= 30);
    assert_eq!(ready(), Some(200));
}

/// What a stand-in does with a request.
pub enum Act {
    /// Answers: status, header lines with their ends.
    Answer(u16, String),
    /// Answers with 200 and ends the connection without having said so.
    Last,
    /// Answers with 200 and a body.
    Body(String),
    /// Ends the connection without an answer.
    Drop,
    /// Keeps silent for as long as the connection lasts.
    Silence,
    /// Writes these bytes, then keeps the connection until it ends.
    Stream(Arc<Mutex<Vec<u8>>>),
}

pub fn ok() -> Act {
    Act::Answer(200, String::new())
}

/// A server that this repository writes itself, in place of a system outside.
pub struct StandIn {
    pub at: SocketAddr,
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Connections that it ended after an answer.
    pub closed: Arc<AtomicUsize>,
}

impl StandIn {
    pub fn start(act: impl Fn(&Message) -> Act + Send + Sync + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (at, seen) = (
            listener.local_addr().unwrap(),
            Arc::<Mutex<Vec<Message>>>::default(),
        );
        let closed = Arc::<AtomicUsize>::default();
        let (act, all, ended) = (Arc::new(act), seen.clone(), closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (act, all, ended) = (act.clone(), all.clone(), ended.clone());
                thread::spawn(move || serve(stream, &*act, &all, &ended));
            }
        });
        StandIn { at, seen, closed }
    }

    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    pub fn first(&self) -> Message {
        self.seen.lock().unwrap()[0].clone()
    }
}

fn serve(
    stream: TcpStream,
    act: &(impl Fn(&Message) -> Act + ?Sized),
    all: &Mutex<Vec<Message>>,
    closed: &AtomicUsize,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(message) = Message::read(&mut reader) {
        // Decided before it is shown, so that whoever waits to see it also sees what it did.
        let done = act(&message);
        all.lock().unwrap().push(message);
        match done {
            Act::Answer(status, fields) => {
                let length = if status == 204 {
                    ""
                } else {
                    "Content-Length: 0\r\n"
                };
                let text = format!("HTTP/1.1 {status} x\r\n{fields}{length}\r\n");
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Act::Last => {
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                let _ = writer.shutdown(std::net::Shutdown::Both);
                closed.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Act::Body(body) => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Act::Drop => return,
            Act::Silence => drop(reader.read(&mut [0])),
            Act::Stream(lines) => {
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                loop {
                    let bytes = std::mem::take(&mut *lines.lock().unwrap());
                    let chunk = format!("{:x}\r\n", bytes.len().max(1));
                    let body = if bytes.is_empty() {
                        b"\n".to_vec()
                    } else {
                        bytes
                    };
                    if writer
                        .write_all(&[chunk.as_bytes(), &body, b"\r\n"].concat())
                        .is_err()
                    {
                        return;
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            }
        }
    }
}

/// A folder that goes with the test.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        Folder::under(&std::env::temp_dir(), name)
    }

    /// One that no disk's syncs hold up, where the machine has such a place: for tests that hold a process to a time.
    pub fn in_memory(name: &str) -> Folder {
        let memory = Path::new("/dev/shm");
        let root = if memory.is_dir() {
            memory.to_owned()
        } else {
            std::env::temp_dir()
        };
        Folder::under(&root, name)
    }

    fn under(root: &Path, name: &str) -> Folder {
        let path = root.join(format!("marblefall-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The program under test; killed with the test.
pub struct Program(Daemon);

impl Program {
    pub fn start(words: &[&str], env: &[(&str, &str)]) -> Program {
        Program(Daemon::start(Path::new(env!("CARGO_BIN_EXE_marblefall")), words, env).unwrap())
    }

    pub fn log(&self) -> String {
        self.0.log()
    }

    /// Where it says that it listens, the nth time that it says so.
    pub fn address(&self, marker: &str, nth: usize) -> SocketAddr {
        let mut found = None;
        wait_for(marker, || {
            let log = self.log();
            let mut said = log
                .lines()
                .filter_map(|line| line.split_once(marker)?.1.trim().parse().ok());
            found = said.nth(nth);
            found.is_some()
        });
        found.unwrap()
    }

    pub fn pid(&self) -> u32 {
        self.0.pid()
    }

    pub fn kill(mut self) {
        self.0.kill().unwrap();
    }

    pub fn signal(&self, name: &str) {
        assert!(self.0.signal(name));
    }

    /// Waits until it has ended by itself; gives whether it did so well.
    pub fn ended(&mut self) -> bool {
        self.0.ended().unwrap()
    }
}

/// Runs the program to its end and gives its exit code and what it printed.
pub fn run_coded(words: &[&str]) -> (i32, String) {
    let done = Command::new(env!("CARGO_BIN_EXE_marblefall"))
        .args(words)
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&[done.stdout, done.stderr].concat()).into_owned();
    (done.status.code().unwrap_or(-1), said)
}

/// The same where only success counts.
pub fn run(words: &[&str]) -> (bool, String) {
    let (code, said) = run_coded(words);
    (code == 0, said)
}

/// Plans and applies an operators' file in a folder; gives what the plan said.
pub fn apply(folder: &Folder, file: &str) -> String {
    let (path, plan, home) = (
        folder.file("fleet.toml", file),
        folder.0.join("plan"),
        folder.0.join("home"),
    );
    let (done, said) = run(&["plan", text(&path), text(&home), "--out", text(&plan)]);
    assert!(done, "{said}");
    let (done, printed) = run(&["apply", text(&plan), text(&home)]);
    assert!(done, "{printed}");
    said
}

/// A daemon that runs what is applied in a folder.
pub fn daemon(folder: &Folder) -> Program {
    Program::start(&["run", text(&folder.0.join("home"))], &[])
}

/// Hands an event in, in binary mode, and waits for its end; `None` where the connection breaks first.
pub fn event(
    to: SocketAddr,
    id: &str,
    kind: &str,
    clinic: &str,
    key: &str,
    body: &[u8],
) -> Option<Message> {
    let mut fields = vec![
        ("ce-specversion", "1.0"),
        ("ce-id", id),
        ("ce-source", "/clinic"),
        ("ce-type", kind),
        ("ce-clinic", clinic),
        ("Content-Type", "application/json"),
    ];
    if !key.is_empty() {
        fields.push(("Idempotency-Key", key));
    }
    post(to, "/events", &fields, body)
}

pub fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}
