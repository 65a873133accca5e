//! The daemons of a group as processes: founded, started, killed, stopped, with folders that are lost or put back.

use super::relay::{self, Ways};
use super::{wait_for, Fault};
use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// What a group is made of.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The program.
    pub program: PathBuf,
    /// Where its homes and histories are; made anew.
    pub folder: PathBuf,
    /// How many daemons, each with one instance.
    pub members: usize,
    /// How many of them vote.
    pub voters: usize,
    /// `stop` or `serve`.
    pub on_cut: String,
    /// The term in milliseconds.
    pub term_ms: u64,
    /// Where the partner's endpoints listen.
    pub partner: Vec<SocketAddr>,
}

/// A process; killed when it is dropped.
pub struct Daemon {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Daemon {
    /// Starts a program with words and variables.
    ///
    /// # Errors
    /// Where the machine refuses the process.
    pub fn start(program: &Path, words: &[&str], env: &[(&str, &str)]) -> Result<Daemon, Fault> {
        let mut command = Command::new(program);
        command
            .args(words)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .map_err(Fault::at(program.display().to_string()))?;
        let log = Arc::<Mutex<String>>::default();
        if let Some(from) = child.stderr.take() {
            let into = log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(from).lines().map_while(Result::ok) {
                    into.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push_str(&format!("{line}\n"));
                }
            });
        }
        Ok(Daemon { child, log })
    }

    /// What it has said so far.
    pub fn log(&self) -> String {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Its number to the system.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal by its name without `SIG`; whether it took it, as one that has ended takes none.
    pub fn signal(&self, name: &str) -> bool {
        let kill = Command::new("kill")
            .args(["-s", name, &self.pid().to_string()])
            .stderr(Stdio::null())
            .status();
        kill.is_ok_and(|status| status.success())
    }

    /// Kills it, and waits until it is gone.
    ///
    /// # Errors
    /// Where the machine does not let it be killed.
    pub fn kill(&mut self) -> Result<(), Fault> {
        let killed = self.child.kill().and_then(|()| self.child.wait());
        killed.map(drop).map_err(Fault::at("a process's end"))
    }

    /// How it has ended, if it has: whether well.
    pub fn has_ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.success())
    }

    /// Waits until it has ended by itself; gives whether it did so well.
    ///
    /// # Errors
    /// Where it does not end.
    pub fn ended(&mut self) -> Result<bool, Fault> {
        let mut status = None;
        wait_for("the program's end", || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        })?;
        Ok(status.is_some_and(|status| status.success()))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // What has ended meanwhile is gone as well.
        let _ = self.kill();
    }
}

/// A group of daemons.
pub struct Group {
    /// What it is made of.
    pub setting: Setting,
    /// Where clients hand events in, by member.
    pub listens: Vec<SocketAddr>,
    /// What is done with what members say to each other.
    pub ways: Ways,
    links: Vec<SocketAddr>,
    relays: Vec<SocketAddr>,
    daemons: Vec<Option<Daemon>>,
    plans: usize,
    /// Logs of processes that have ended, by member.
    logs: Vec<String>,
}

/// A member's name; in the order of the alphabet they have the order of their numbers.
pub fn name(member: usize) -> String {
    format!("m{member:02}")
}

/// Ports that stay free while nobody listens at them: on a loopback address of this process's own, from which no
/// connection is opened.
///
/// # Errors
/// Where none is free.
pub fn ports(many: usize) -> Result<Vec<SocketAddr>, Fault> {
    let pid = std::process::id();
    let own = Ipv4Addr::new(
        127,
        1 + (pid / 62_500 % 250) as u8,
        (pid / 250 % 250) as u8,
        1 + (pid % 250) as u8,
    );
    // Held until all are chosen, so that none is chosen twice.
    let held = (0..many)
        .map(|_| TcpListener::bind((own, 0)))
        .collect::<Result<Vec<_>, _>>();
    let at = held.and_then(|held| held.iter().map(TcpListener::local_addr).collect());
    at.map_err(Fault::at("a port"))
}

impl Group {
    /// A group that is founded and not running.
    ///
    /// # Errors
    /// Where the machine refuses a folder or a port, or the program its own file.
    pub fn found(setting: Setting) -> Result<Group, Fault> {
        let _ = fs::remove_dir_all(&setting.folder);
        fs::create_dir_all(&setting.folder)
            .map_err(Fault::at(setting.folder.display().to_string()))?;
        let (ways, members) = (Ways::default(), setting.members);
        let mut links = ports(2 * members)?;
        let listens = links.split_off(members);
        let relays = links
            .iter()
            .enumerate()
            .map(|(to, at)| relay::start(to, *at, &ways));
        let relays = relays.collect::<Result<Vec<_>, Fault>>()?;
        let (daemons, logs) = (
            (0..members).map(|_| None).collect(),
            vec![String::new(); members],
        );
        let mut group = Group {
            setting,
            listens,
            ways,
            links,
            relays,
            daemons,
            plans: 0,
            logs,
        };
        let file = group.file(&[]);
        for member in 0..members {
            group.found_one(member, &file)?;
        }
        Ok(group)
    }

    /// Makes a member's empty home one of the group, with a file.
    ///
    /// # Errors
    /// What the program says against it.
    pub fn found_one(&mut self, member: usize, file: &str) -> Result<(), Fault> {
        let plan = self.plan(member, file)?;
        let (done, said) = self.run(&[
            "apply",
            &plan,
            &self.home(member),
            "--member",
            &name(member),
        ])?;
        match done {
            true => Ok(()),
            false => Err(Fault::Refused(said)),
        }
    }

    /// The operators' file, with replacements in it.
    pub fn file(&self, changes: &[(&str, &str)]) -> String {
        let endpoint = |letter: char, (number, at): (usize, &SocketAddr)| {
            format!("{{ name = \"{letter}-{number}\", address = \"{at}\" }}")
        };
        let endpoints = |letter: char| {
            let all: Vec<String> = self
                .setting
                .partner
                .iter()
                .enumerate()
                .map(|one| endpoint(letter, one))
                .collect();
            all.join(", ")
        };
        let mut text = format!(
            "[limits]\nslots = 16\nmax_open = 200\n\
             [class.order]\nrepeats = \"keyed\"\nwindow_ms = 6000\nwanted_ms = 2500\ngive_up_ms = 24000\n\
             [destination.a]\npath = \"/in\"\nrate = 500\nendpoints = [{}]\n\
             [destination.b]\npath = \"/in\"\nrate = 500\nendpoints = [{}]\n\
             [group]\nname = \"clinics\"\non_cut = \"{}\"\nterm_ms = {}\n",
            endpoints('a'),
            endpoints('b'),
            self.setting.on_cut,
            self.setting.term_ms
        );
        for (member, relay) in self.relays.iter().enumerate() {
            let (name, votes) = (name(member), member < self.setting.voters);
            text += &format!(
                "[group.member.{name}]\nlink = \"{relay}\"\ninstances = [\"{name}-1\"]\nvotes = {votes}\n\
                 [instance.{name}-1]\nevents = {{ listen = \"{}\", path = \"/events\", \
                 destination_attribute = \"clinic\", types = {{ order = \"order\" }} }}\n",
                self.listens[member]
            );
        }
        changes
            .iter()
            .fold(text, |text, (from, to)| text.replace(from, to))
    }

    /// A member's home.
    pub fn home(&self, member: usize) -> String {
        self.setting.folder.join(name(member)).display().to_string()
    }

    /// Where a member's link listens itself, behind its relay.
    pub fn link(&self, member: usize) -> SocketAddr {
        self.links[member]
    }

    /// Where a member writes what it does.
    pub fn history_file(&self, member: usize) -> PathBuf {
        self.setting.folder.join(format!("{member}.history"))
    }

    /// Starts a member's daemon.
    ///
    /// # Errors
    /// Where the machine refuses the process.
    pub fn start(&mut self, member: usize) -> Result<(), Fault> {
        let history = self.history_file(member).display().to_string();
        let (home, link) = (self.home(member), self.links[member].to_string());
        let words = ["run", &home, "--history", &history, "--link", &link];
        self.daemons[member] = Some(Daemon::start(&self.setting.program, &words, &[])?);
        Ok(())
    }

    /// Starts all, and waits until all act under the first revision.
    ///
    /// # Errors
    /// Where they do not.
    pub fn start_all(&mut self) -> Result<(), Fault> {
        for member in 0..self.daemons.len() {
            self.start(member)?;
        }
        (0..self.daemons.len()).try_for_each(|member| self.in_step(member, 1))
    }

    /// Kills a member's daemon, if it runs.
    pub fn kill(&mut self, member: usize) {
        if let Some(daemon) = self.daemons[member].take() {
            let log = daemon.log();
            self.logs[member].push_str(&log);
        }
    }

    /// A member's daemon, if it runs.
    pub fn daemon(&self, member: usize) -> Option<&Daemon> {
        self.daemons[member].as_ref()
    }

    /// What a member's daemons have said, over all its lives.
    pub fn log(&self, member: usize) -> String {
        let now = self.daemon(member).map_or_else(String::new, Daemon::log);
        format!("{}{now}", self.logs[member])
    }

    /// The last lines of all logs.
    pub fn logs(&self) -> String {
        let last = |member: usize| {
            let log = self.log(member);
            let lines: Vec<&str> = log.lines().collect();
            format!(
                "--- {}\n{}\n",
                name(member),
                lines[lines.len().saturating_sub(40)..].join("\n")
            )
        };
        (0..self.daemons.len()).map(last).collect()
    }

    /// Runs the program to its end; whether it did well, and what it said.
    ///
    /// # Errors
    /// Where the machine refuses the process.
    pub fn run(&self, words: &[&str]) -> Result<(bool, String), Fault> {
        run(&self.setting.program, words)
    }

    /// Plans a file at a member; gives the plan's path.
    ///
    /// # Errors
    /// What the program says against it.
    pub fn plan(&mut self, member: usize, file: &str) -> Result<String, Fault> {
        self.plans += 1;
        let path = self
            .setting
            .folder
            .join(format!("change-{}.toml", self.plans));
        let plan = path.with_extension("plan").display().to_string();
        fs::write(&path, file).map_err(Fault::at(path.display().to_string()))?;
        let (done, said) = self.run(&[
            "plan",
            &path.display().to_string(),
            &self.home(member),
            "--out",
            &plan,
        ])?;
        match done {
            true => Ok(plan),
            false => Err(Fault::Refused(said)),
        }
    }

    /// Plans and applies a file at a member; whether it came into force, and what was said.
    ///
    /// # Errors
    /// Where it cannot be planned.
    pub fn change(&mut self, member: usize, file: &str) -> Result<(bool, String), Fault> {
        let plan = self.plan(member, file)?;
        self.run(&["apply", &plan, &self.home(member)])
    }

    /// How the group stands, as a member's daemon tells it; null where it does not.
    pub fn status(&self, member: usize) -> Value {
        match self.run(&["group", "status", &self.home(member), "--format", "json"]) {
            Ok((true, said)) => serde_json::from_str(&said).unwrap_or_default(),
            _ => Value::Null,
        }
    }

    /// What became of changes, as a member's daemon tells it.
    pub fn outcomes(&self, member: usize) -> Value {
        match self.run(&["group", "history", &self.home(member), "--format", "json"]) {
            Ok((true, said)) => serde_json::from_str(&said).unwrap_or_default(),
            _ => Value::Null,
        }
    }

    /// Whether a member acts under a revision, and takes events.
    pub fn acts_under(&self, member: usize, revision: u64) -> bool {
        let status = self.status(member);
        let takes = TcpStream::connect(self.listens[member]).is_ok();
        status["revision"] == revision && status["standing"] == "acts" && takes
    }

    /// Waits until a member acts under a revision.
    ///
    /// # Errors
    /// Where it does not.
    pub fn in_step(&self, member: usize, revision: u64) -> Result<(), Fault> {
        let what = format!("{} under revision {revision}", name(member));
        wait_for(&what, || self.acts_under(member, revision))
    }

    /// Where a voter keeps its votes.
    pub fn votes(&self, member: usize) -> PathBuf {
        self.setting.folder.join(name(member)).join("group/votes")
    }
}

/// Runs the program to its end; whether it did well, and what it said.
///
/// # Errors
/// Where the machine refuses the process.
pub fn run(program: &Path, words: &[&str]) -> Result<(bool, String), Fault> {
    let done = Command::new(program)
        .args(words)
        .stdin(Stdio::null())
        .output();
    let done = done.map_err(Fault::at(program.display().to_string()))?;
    Ok((
        done.status.success(),
        String::from_utf8_lossy(&[done.stdout, done.stderr].concat()).into_owned(),
    ))
}
