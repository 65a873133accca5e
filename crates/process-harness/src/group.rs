//! A group of daemons, each a process, with a link proxy in front of every member.

mod manifest;

use crate::link_proxy::{self, Links};
use crate::network::reserve_addresses;
use crate::{run_command, wait_for, CommandOutput, HarnessError, Process};
use serde_json::Value;
use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;

/// Number of lines of each member's log that [`Group::recent_logs`] returns.
const RECENT_LOG_LINES: usize = 40;

/// The configuration of a group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// The program under test.
    pub program: PathBuf,
    /// The folder for homes, histories and manifests. Any earlier content is removed.
    pub folder: PathBuf,
    /// Number of members. Each is a daemon with one instance.
    pub members: usize,
    /// Number of voters. The members with the lowest numbers vote.
    pub voters: usize,
    /// The partition policy as written in the manifest: `stop` or `serve`.
    pub partition_policy: String,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// The addresses of the endpoints, which both destinations share.
    pub endpoints: Vec<SocketAddr>,
}

/// A member of a group.
struct Member {
    /// The address at which the member accepts events.
    event_address: SocketAddr,
    /// The address at which the member's transport listens.
    link_address: SocketAddr,
    /// The address of the link proxy through which the other members connect to the transport.
    proxy_address: SocketAddr,
    /// The running daemon; `None` while the member is down.
    process: Option<Process>,
    /// The logs of the member's earlier processes.
    ended_logs: String,
}

/// A group of daemons. Dropping the group kills the processes.
pub struct Group {
    /// The configuration of the group.
    pub settings: GroupSettings,
    /// The states of the links between the members.
    pub links: Links,
    members: Vec<Member>,
    /// Number of plans made so far.
    plan_count: usize,
}

/// Returns the name of a member. The names sort in the order of the numbers.
pub fn member_name(member: usize) -> String {
    format!("m{member:02}")
}

impl Group {
    /// Founds a group without starting its daemons.
    ///
    /// # Errors
    /// A folder cannot be created, no port is free, or the program rejects the manifest.
    pub fn found(settings: GroupSettings) -> Result<Group, HarnessError> {
        // Files of an earlier run do not belong to this group.
        let _ = fs::remove_dir_all(&settings.folder);
        fs::create_dir_all(&settings.folder)
            .map_err(HarnessError::io(settings.folder.display().to_string()))?;
        let links = Links::default();
        let mut link_addresses = reserve_addresses(2 * settings.members)?;
        let event_addresses = link_addresses.split_off(settings.members);
        let mut members = Vec::new();
        for (number, (link_address, event_address)) in
            link_addresses.into_iter().zip(event_addresses).enumerate()
        {
            members.push(Member {
                event_address,
                link_address,
                proxy_address: link_proxy::start(number, link_address, &links)?,
                process: None,
                ended_logs: String::new(),
            });
        }
        let mut group = Group {
            settings,
            links,
            members,
            plan_count: 0,
        };
        let manifest = group.manifest(&[]);
        for member in 0..group.members.len() {
            group.found_member(member, &manifest)?;
        }
        Ok(group)
    }

    /// Founds the group in the empty home of a member.
    ///
    /// # Errors
    /// The program rejects the manifest.
    pub fn found_member(&mut self, member: usize, manifest: &str) -> Result<(), HarnessError> {
        let plan = self.plan(member, manifest)?;
        let (home, name) = (self.home(member), member_name(member));
        self.run_successfully(&["apply", &plan, &home, "--member", &name])?;
        Ok(())
    }

    /// Returns the number of members.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the addresses at which the members accept events, by member number.
    pub fn event_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.iter();
        members.map(|member| member.event_address).collect()
    }

    /// Returns the path of a member's home.
    pub fn home(&self, member: usize) -> String {
        let home = self.settings.folder.join(member_name(member));
        home.display().to_string()
    }

    /// Returns the address of a member's transport itself, behind the link proxy.
    pub fn link_address(&self, member: usize) -> SocketAddr {
        self.members[member].link_address
    }

    /// Returns the path of the file in which a member records its history.
    pub fn history_file(&self, member: usize) -> PathBuf {
        self.settings.folder.join(format!("{member}.history"))
    }

    /// Returns the path of the file in which a voter stores its votes.
    pub fn vote_file(&self, member: usize) -> PathBuf {
        let home = self.settings.folder.join(member_name(member));
        home.join("group/votes")
    }

    /// Starts the daemon of a member.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(&mut self, member: usize) -> Result<(), HarnessError> {
        let history = self.history_file(member).display().to_string();
        let link = self.link_address(member).to_string();
        let home = self.home(member);
        let arguments = ["run", &home, "--history", &history, "--link", &link];
        let process = Process::start(&self.settings.program, &arguments, &[])?;
        self.members[member].process = Some(process);
        Ok(())
    }

    /// Starts all daemons and waits until all members act under the first revision.
    ///
    /// # Errors
    /// A daemon cannot be started, or a member does not act within [`WAIT_LIMIT`](crate::WAIT_LIMIT).
    pub fn start_all(&mut self) -> Result<(), HarnessError> {
        for member in 0..self.members.len() {
            self.start(member)?;
        }
        (0..self.members.len()).try_for_each(|member| self.wait_until_acting(member, 1))
    }

    /// Kills the daemon of a member if it is running.
    pub fn kill(&mut self, member: usize) {
        let member = &mut self.members[member];
        if let Some(process) = member.process.take() {
            member.ended_logs.push_str(&process.log());
        }
    }

    /// Returns the running process of a member, if any.
    pub fn process(&self, member: usize) -> Option<&Process> {
        self.members[member].process.as_ref()
    }

    /// Returns all running processes.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        let members = self.members.iter();
        members.filter_map(|member| member.process.as_ref())
    }

    /// Returns the log of a member over all its incarnations.
    pub fn log(&self, member: usize) -> String {
        let member = &self.members[member];
        let current = member.process.as_ref().map(Process::log);
        format!("{}{}", member.ended_logs, current.unwrap_or_default())
    }

    /// Returns the last lines of each member's log.
    pub fn recent_logs(&self) -> String {
        let recent = |member: usize| {
            let log = self.log(member);
            let lines: Vec<&str> = log.lines().collect();
            let first = lines.len().saturating_sub(RECENT_LOG_LINES);
            format!(
                "--- {}\n{}\n",
                member_name(member),
                lines[first..].join("\n")
            )
        };
        (0..self.members.len()).map(recent).collect()
    }

    /// Runs a command of the program and waits until it exits.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn run(&self, arguments: &[&str]) -> Result<CommandOutput, HarnessError> {
        run_command(Command::new(&self.settings.program).args(arguments))
    }

    fn run_successfully(&self, arguments: &[&str]) -> Result<CommandOutput, HarnessError> {
        let output = self.run(arguments)?;
        if output.is_success() {
            Ok(output)
        } else {
            let output = output.text;
            Err(HarnessError::CommandFailed { output })
        }
    }

    /// Plans the change from the applied policy to a manifest at a member. Returns the path of the plan.
    ///
    /// # Errors
    /// The manifest cannot be written, or the program rejects it.
    pub fn plan(&mut self, member: usize, manifest: &str) -> Result<String, HarnessError> {
        self.plan_count += 1;
        let name = format!("change-{}.toml", self.plan_count);
        let path = self.settings.folder.join(name);
        fs::write(&path, manifest).map_err(HarnessError::io(path.display().to_string()))?;
        let plan = path.with_extension("plan").display().to_string();
        let (path, home) = (path.display().to_string(), self.home(member));
        self.run_successfully(&["plan", &path, &home, "--out", &plan])?;
        Ok(plan)
    }

    /// Plans the change to a manifest at a member and applies it. Returns the output of `apply`, whatever its exit code.
    ///
    /// # Errors
    /// The plan cannot be made, or the program cannot be started.
    pub fn change(&mut self, member: usize, manifest: &str) -> Result<CommandOutput, HarnessError> {
        let plan = self.plan(member, manifest)?;
        self.run(&["apply", &plan, &self.home(member)])
    }

    /// Returns the status of the group as the daemon of a member reports it, or null if it reports none.
    pub fn status(&self, member: usize) -> Value {
        self.report(member, "status")
    }

    /// Returns the changes of the group and their outcomes as the daemon of a member reports them, or null if it reports
    /// none.
    pub fn change_history(&self, member: usize) -> Value {
        self.report(member, "history")
    }

    fn report(&self, member: usize, command: &str) -> Value {
        let home = self.home(member);
        match self.run(&["group", command, &home, "--format", "json"]) {
            Ok(output) if output.is_success() => {
                serde_json::from_str(&output.text).unwrap_or_default()
            }
            _ => Value::Null,
        }
    }

    /// Returns whether a member acts under a revision and accepts connections of clients.
    pub fn is_acting(&self, member: usize, revision: u64) -> bool {
        let status = self.status(member);
        let accepts_connections = TcpStream::connect(self.members[member].event_address).is_ok();
        status["revision"] == revision && status["standing"] == "acts" && accepts_connections
    }

    /// Waits until a member acts under a revision and accepts connections of clients.
    ///
    /// # Errors
    /// The condition does not hold within [`WAIT_LIMIT`](crate::WAIT_LIMIT).
    pub fn wait_until_acting(&self, member: usize, revision: u64) -> Result<(), HarnessError> {
        let description = format!("{} to act under revision {revision}", member_name(member));
        wait_for(&description, || self.is_acting(member, revision))
    }
}
