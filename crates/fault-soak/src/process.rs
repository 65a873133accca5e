//! The keeper of one process: starts it, signals it as the plan has it, starts it again, and finds out how it ended.

use crate::discovery::{entry, Phase};
use crate::endpoint::RATE;
use crate::plan::{SystemFault, TroubleKind};
use crate::record::{Life, LifeEvent, Micros, SharedRecord, MS, WINDOW_MS};
use crate::schedule::Schedule;
use marblefall_fault_plan::{
    read_counts, Count, Fault, FaultKind, COUNTS_VARIABLE, FOLDER_VARIABLE, PLAN_VARIABLE,
    SEED_VARIABLE,
};
use marblefall_simulation::rig::daemons::Daemon;
use marblefall_simulation::rig::{micros, Fault as RigFault};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// When a process that was told to end is killed.
const KILL_AFTER: Micros = 3700 * MS;
/// When it is started again after its end.
const RESTART_AFTER: Duration = Duration::from_millis(600);
/// What a process logs once it listens.
const LISTENING: &str = "listens at ";
/// A process that is started beside another must listen within this.
const REPLACED_WITHIN: Micros = 10_000 * MS;
/// How long a process is held up.
const HOLD_UP: Duration = Duration::from_millis(100);
const POLL: Duration = Duration::from_millis(5);
/// Descriptors that a process may hold.
const MAX_SOCKETS: usize = 256;
/// Memory that it may take, in kilobytes.
const MAX_MEMORY_KB: u64 = 64 * 1024;

/// What keepers are made of.
#[derive(Clone)]
pub struct Keeper {
    /// Which process.
    pub process: usize,
    /// How many there are.
    pub processes: usize,
    /// The program under test.
    pub program: PathBuf,
    /// The shim that is preloaded into it.
    pub shim: PathBuf,
    /// A folder of the process's own.
    pub folder: PathBuf,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where its discovery agent is.
    pub discovery: SocketAddr,
    /// Where the endpoints are reached.
    pub endpoints: Vec<SocketAddr>,
    /// What goes wrong.
    pub schedule: Schedule,
    /// Where its life is written down.
    pub record: SharedRecord,
    /// Set once the process is to end for good.
    pub stop: Arc<AtomicBool>,
}

/// A signal that the plan sends.
struct DueSignal {
    at: Micros,
    kind: TroubleKind,
}

impl Keeper {
    fn note(&self, what: Life) {
        let event = LifeEvent {
            process: self.process,
            at: micros(),
            what,
        };
        self.record.lock().lives.push(event);
    }

    fn complain(&self, what: &str) {
        let text = format!("process {}: {what}", self.process);
        self.record.lock().complaints.push(text);
    }

    /// Writes the files that the process reads.
    ///
    /// # Errors
    /// The folder cannot be written.
    pub fn prepare(&self) -> Result<(), RigFault> {
        let at = || RigFault::at(self.folder.display().to_string());
        fs::create_dir_all(self.folder.join("state")).map_err(at())?;
        fs::write(self.folder.join("config.json"), self.config()).map_err(at())?;
        let faults: String = self
            .system_faults()
            .map(|fault| format!("{fault}\n"))
            .collect();
        fs::write(self.folder.join("shim.plan"), faults).map_err(at())
    }

    fn system_faults(&self) -> impl Iterator<Item = Fault> + '_ {
        let mine = self.schedule.all(|kind| match kind {
            TroubleKind::System(SystemFault(kind)) => Some(*kind),
            _ => None,
        });
        mine.filter(|(trouble, ..)| trouble.target % self.processes == self.process)
            .map(|(trouble, kind, (from, until))| Fault {
                kind,
                from_ms: from / MS,
                until_ms: until / MS,
                amount: trouble.amount,
            })
    }

    fn config(&self) -> String {
        let members: Vec<String> = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(endpoint, address)| entry(endpoint, *address, Phase::Serving))
            .collect();
        format!(
            r#"{{"name":"n{process}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{MAX_SOCKETS},"disk_mb":3}},
            "known":{{"revision":41,"complete":true,"members":[{members}]}},"settings":{settings}}}"#,
            process = self.process,
            listen = self.listen,
            discovery = self.discovery,
            seed = self.schedule.plan().seed * 1000 + self.process as u64 + 1,
            members = members.join(","),
            settings = settings(self.process, self.processes),
        )
    }

    fn start(&self) -> Result<Daemon, RigFault> {
        let daemon = self.start_beside()?;
        self.note(Life::Started);
        Ok(daemon)
    }

    fn start_beside(&self) -> Result<Daemon, RigFault> {
        let path = |name: &str| self.folder.join(name).display().to_string();
        let seed = (self.schedule.plan().seed * 1000 + self.process as u64).to_string();
        let env: Vec<(&str, String)> = vec![
            ("RELAY_CONFIG", path("config.json")),
            ("RELAY_STATE", path("state")),
            ("LD_PRELOAD", self.shim.display().to_string()),
            (PLAN_VARIABLE, path("shim.plan")),
            (COUNTS_VARIABLE, path("shim.counts")),
            (FOLDER_VARIABLE, path("state")),
            (SEED_VARIABLE, seed),
        ];
        let env: Vec<(&str, &str)> = env
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        Daemon::start(&self.program, &[], &env)
    }

    /// Keeps the process until it is to end for good.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn run(self) -> Result<(), RigFault> {
        let mut due = self.due_signals();
        let mut daemon = self.start()?;
        let mut is_ready = false;
        let mut logs = String::new();
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(POLL);
            if daemon.has_ended().is_some() {
                self.note_unexpected_end(&daemon);
                daemon = self.start_again(&daemon, &mut logs)?;
                is_ready = false;
                continue;
            }
            if !is_ready && self.answers_ready() {
                is_ready = true;
                self.note(Life::Ready);
            }
            let is_due = due.first().is_some_and(|signal| signal.at <= micros());
            if !is_due {
                continue;
            }
            let signal = due.remove(0);
            if signal.kind == TroubleKind::Replace {
                daemon = self.replace(daemon, &mut logs)?;
                continue;
            }
            if self.send(&signal.kind, &mut daemon)? {
                daemon = self.start_again(&daemon, &mut logs)?;
                is_ready = false;
            }
        }
        self.look_at_resources(&daemon);
        self.terminate(&mut daemon)?;
        logs.push_str(&daemon.log());
        self.look_at_logs(&logs);
        Ok(())
    }

    fn due_signals(&self) -> Vec<DueSignal> {
        let mine = self.schedule.plan().troubles.iter().filter(|trouble| {
            let is_signal = matches!(
                trouble.kind,
                TroubleKind::Terminate
                    | TroubleKind::Kill
                    | TroubleKind::Replace
                    | TroubleKind::HoldUp
                    | TroubleKind::Reload
            );
            is_signal && trouble.target % self.processes == self.process
        });
        mine.map(|trouble| DueSignal {
            at: self.schedule.span(trouble).0,
            kind: trouble.kind,
        })
        .collect()
    }

    /// Sends a signal; returns whether the process has ended by it.
    fn send(&self, kind: &TroubleKind, daemon: &mut Daemon) -> Result<bool, RigFault> {
        match kind {
            TroubleKind::Terminate => {
                self.terminate(daemon)?;
                Ok(true)
            }
            TroubleKind::Kill => {
                self.note(Life::Killed);
                daemon.kill()?;
                Ok(true)
            }
            TroubleKind::HoldUp => {
                self.note(Life::HeldUp);
                daemon.signal("STOP");
                thread::sleep(HOLD_UP);
                daemon.signal("CONT");
                Ok(false)
            }
            _ => {
                daemon.signal("HUP");
                Ok(false)
            }
        }
    }

    /// Starts a process beside the running one, and tells that to end once the new one listens. Whatever crosses it, all
    /// rules hold for both together.
    fn replace(&self, mut old: Daemon, logs: &mut String) -> Result<Daemon, RigFault> {
        let mut new = self.start_beside()?;
        let give_up_at = micros() + REPLACED_WITHIN;
        while !new.log().contains(LISTENING) {
            thread::sleep(POLL);
            if new.has_ended().is_some() || micros() >= give_up_at {
                // It never served anybody; the old one goes on.
                self.note_unexpected_end(&new);
                self.note(Life::Started);
                logs.push_str(&new.log());
                new.kill()?;
                return Ok(old);
            }
        }
        old.signal("TERM");
        let kill_at = micros() + KILL_AFTER;
        while old.has_ended().is_none() {
            if micros() >= kill_at {
                self.note(Life::Killed);
                old.kill()?;
                self.note(Life::Started);
                self.note(Life::Ready);
            }
            thread::sleep(POLL);
        }
        logs.push_str(&old.log());
        Ok(new)
    }

    /// Tells the process to end, and kills it if it has not by its time.
    fn terminate(&self, daemon: &mut Daemon) -> Result<(), RigFault> {
        self.note(Life::Terminated);
        daemon.signal("TERM");
        let kill_at = micros() + KILL_AFTER;
        loop {
            match daemon.has_ended() {
                Some(true) => {
                    self.note(Life::Ended);
                    return Ok(());
                }
                Some(false) => {
                    self.note_unexpected_end(daemon);
                    return Ok(());
                }
                None if micros() >= kill_at => {
                    self.note(Life::Killed);
                    return daemon.kill();
                }
                None => thread::sleep(POLL),
            }
        }
    }

    /// The shim kills a process in the middle of a write; any other end is a crash.
    fn note_unexpected_end(&self, daemon: &Daemon) {
        let is_torn = self.struck(FaultKind::TornWriteAndKill) > 0;
        let log = daemon.log();
        if is_torn && !log.contains("panicked") {
            return self.note(Life::Killed);
        }
        self.note(Life::Crashed);
        let tail: Vec<&str> = log.lines().rev().take(5).collect();
        self.complain(&format!("crashed: {tail:?}"));
    }

    fn start_again(&self, ended: &Daemon, logs: &mut String) -> Result<Daemon, RigFault> {
        logs.push_str(&ended.log());
        thread::sleep(RESTART_AFTER);
        self.start()
    }

    fn answers_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.listen, POLL) else {
            return false;
        };
        let patience = Duration::from_millis(200);
        let mut answer = [0; 64];
        let asked = stream
            .set_read_timeout(Some(patience))
            .and_then(|()| stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n"))
            .and_then(|()| stream.read(&mut answer));
        asked.is_ok_and(|len| answer[..len].starts_with(b"HTTP/1.1 200"))
    }

    fn look_at_resources(&self, daemon: &Daemon) {
        let process = PathBuf::from(format!("/proc/{}", daemon.pid()));
        let files = fs::read_dir(process.join("fd")).map_or(0, Iterator::count);
        let status = fs::read_to_string(process.join("status")).unwrap_or_default();
        let memory_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
            .unwrap_or(0);
        if files > MAX_SOCKETS {
            self.complain(&format!("holds {files} descriptors"));
        }
        if memory_kb > MAX_MEMORY_KB {
            self.complain(&format!("takes {memory_kb} KB"));
        }
    }

    fn look_at_logs(&self, logs: &str) {
        let _ = fs::write(self.folder.join("log"), logs);
        for line in logs.lines() {
            if line.contains("invariant-violated") || line.contains("panicked") {
                self.complain(line);
            }
        }
    }

    /// The counts of the process's shim, over all its lives.
    pub fn counts(&self) -> Vec<(FaultKind, Count)> {
        read_counts(&fs::read(self.folder.join("shim.counts")).unwrap_or_default())
    }

    fn struck(&self, kind: FaultKind) -> u64 {
        self.counts()[kind.index()].1.injected
    }
}

fn settings(process: usize, processes: usize) -> String {
    let class = |name: &str, effect: &str, importance: f64| {
        format!(
            r#"{{"dedup_scope":"all","effect":"{effect}","give_up_ms":3000.0,"importance":{importance},"late_value":0.2,
            "name":"{name}","promise_ms":1000.0,"window_ms":{WINDOW_MS}.0}}"#
        )
    };
    format!(
        r#"{{"caps":{{"conn_idle_ms":5000.0,"dial_timeout_ms":800.0,"max_attempts":8,"max_open":40,
        "max_retry_after_ms":3000.0,"may_cancel":true,"retry_after":true,"streams_per_conn":1}},
        "classes":[{},{},{}],
        "domain":{{"kind_apart":[false],"late":"line","per_call":[1],"toll":[0.0],"workers":9}},
        "host_types":["clinic"],"my_number":{process},"peers_total":{processes},
        "rules":{{"answer_slack_ms":20.0,"cold_from":0.27,"cold_ms":10000.0,"fall_multiple":1.5,
        "stop_sending_within_ms":250.0,"tip_after_ms":2000.0}},
        "tick_ms":5.0,"weights":"nominal","zones":["a"],"rate":{RATE}}}"#,
        class("status", "pure", 1.0),
        class("order", "token", 2.0),
        class("payment", "side_effect", 4.0),
    )
}
