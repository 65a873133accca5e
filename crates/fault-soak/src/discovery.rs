//! Discovery's agent beside each process: it pushes the list, takes notices, and falls silent as the plan has it.

use crate::endpoint::{destination_of, RATE};
use crate::plan::{DiscoveryTrouble, TroubleKind};
use crate::record::{Notice, SharedRecord};
use crate::schedule::Schedule;
use marblefall_simulation::rig::http::{answer, Message};
use marblefall_simulation::rig::micros;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How often a watch looks for changes.
const POLL: Duration = Duration::from_millis(5);
/// An empty line comes so often while nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(2000);

/// The agent of one process.
#[derive(Clone)]
pub struct Agent {
    /// Which process.
    pub process: usize,
    /// How many there are.
    pub processes: usize,
    /// Where the endpoints are reached.
    pub endpoints: Vec<SocketAddr>,
    /// What goes wrong.
    pub schedule: Schedule,
    /// Where notices are written down.
    pub record: SharedRecord,
}

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    Draining,
    Removed,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Serving => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Removed => "DELETED",
        }
    }
}

/// What the list says of an endpoint now.
pub fn phase_of(schedule: &Schedule, endpoint: usize, endpoints: usize) -> Phase {
    let changed = schedule.in_force(|trouble| match trouble.kind {
        TroubleKind::Discovery(DiscoveryTrouble::Drains)
            if trouble.target % endpoints == endpoint =>
        {
            Some(Phase::Draining)
        }
        TroubleKind::Discovery(DiscoveryTrouble::Removes)
            if trouble.target % endpoints == endpoint =>
        {
            Some(Phase::Removed)
        }
        _ => None,
    });
    changed.unwrap_or(Phase::Serving)
}

/// The list's entry of an endpoint.
pub fn entry(endpoint: usize, address: SocketAddr, phase: Phase) -> String {
    format!(
        r#"{{"id":"s-{endpoint}","host_port":"{address}","locality":"a","flavor":"clinic","cell":{},"phase":"{}","size":{RATE},"up_since_ms":0}}"#,
        destination_of(endpoint),
        phase.name()
    )
}

impl Agent {
    /// Starts to listen; returns where.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = self.clone();
                thread::spawn(move || drop(agent.serve(stream)));
            }
        });
        Ok(address)
    }

    fn has(&self, wanted: DiscoveryTrouble) -> bool {
        let found = self.schedule.in_force(|trouble| {
            let is_mine = trouble.target % self.processes == self.process;
            (is_mine && trouble.kind == TroubleKind::Discovery(wanted)).then_some(())
        });
        found.is_some()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(message) = Message::read(&mut reader) {
            if message.first.starts_with("GET /v1/endpoints HTTP") {
                self.tell_whole_list(&mut writer)?;
                continue;
            }
            if message.first.starts_with("GET /v1/endpoints") {
                return self.watch(&mut writer);
            }
            self.note(&message.body);
            answer(&mut writer, 204, "")?;
        }
        Ok(())
    }

    fn note(&self, body: &[u8]) {
        let at = micros();
        let text = String::from_utf8_lossy(body);
        let ids = text.lines().filter_map(|line| {
            let notice: serde_json::Value = serde_json::from_str(line).ok()?;
            Some(notice["id"].as_str()?.to_owned())
        });
        let notices = ids.map(|id| Notice { id, at });
        self.record.lock().notices.extend(notices);
    }

    fn phases(&self) -> Vec<Phase> {
        let count = self.endpoints.len();
        (0..count)
            .map(|endpoint| phase_of(&self.schedule, endpoint, count))
            .collect()
    }

    fn tell_whole_list(&self, writer: &mut TcpStream) -> io::Result<()> {
        while self.has(DiscoveryTrouble::Down) {
            thread::sleep(POLL);
        }
        let phases = self.phases();
        let listed = phases
            .iter()
            .enumerate()
            .filter(|(_, phase)| **phase != Phase::Removed);
        let list = self.list(42, true, listed);
        let len = list.len();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Length: {len}\r\n\r\n{list}"
        )
    }

    /// Pushes the list and its changes until the watch ends, or for ever nothing once it has fallen silent.
    fn watch(&self, writer: &mut TcpStream) -> io::Result<()> {
        while self.has(DiscoveryTrouble::Down) {
            thread::sleep(POLL);
        }
        let mut told = self.phases();
        let mut revision = 42;
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let all = told
            .iter()
            .enumerate()
            .filter(|(_, phase)| **phase != Phase::Removed);
        self.write(writer, revision, true, all)?;
        let mut written_at = Instant::now();
        loop {
            thread::sleep(POLL);
            if self.has(DiscoveryTrouble::SilentWatches) {
                // This one never says anything again.
                thread::sleep(Duration::from_secs(60));
                return Ok(());
            }
            if self.has(DiscoveryTrouble::Down) {
                continue;
            }
            let now = self.phases();
            let changed = now
                .iter()
                .enumerate()
                .filter(|(endpoint, phase)| told[*endpoint] != **phase);
            if changed.clone().next().is_some() {
                revision += 1;
                self.write(writer, revision, false, changed)?;
                told = now;
                written_at = Instant::now();
            } else if written_at.elapsed() >= HEARTBEAT {
                writer.write_all(b"1\r\n\n\r\n")?;
                written_at = Instant::now();
            }
        }
    }

    fn list<'a>(
        &self,
        revision: u64,
        is_whole: bool,
        phases: impl Iterator<Item = (usize, &'a Phase)>,
    ) -> String {
        let entries: Vec<String> = phases
            .map(|(endpoint, phase)| entry(endpoint, self.endpoints[endpoint], *phase))
            .collect();
        format!(
            "{{\"revision\":{revision},\"complete\":{is_whole},\"members\":[{}]}}\n",
            entries.join(",")
        )
    }

    fn write<'a>(
        &self,
        writer: &mut TcpStream,
        revision: u64,
        is_whole: bool,
        phases: impl Iterator<Item = (usize, &'a Phase)>,
    ) -> io::Result<()> {
        let line = self.list(revision, is_whole, phases);
        write!(writer, "{:x}\r\n{line}\r\n", line.len())
    }
}
