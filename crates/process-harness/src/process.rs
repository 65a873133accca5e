//! A process under test.

mod resources;

pub use resources::ResourceUsage;
pub use rustix::process::Signal;

use crate::{wait_for, HarnessError};
use rustix::process::{kill_process, Pid};
use std::fmt;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

/// A process whose log is collected. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: Arc<Mutex<String>>,
    /// The thread that collects the log; it ends with the last writer of the process's standard error.
    log_collector: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program with arguments, and with variables added to the environment.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        environment: &[(&str, &str)],
    ) -> Result<Process, HarnessError> {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let child = command.spawn();
        let mut child = child.map_err(HarnessError::io(program.display().to_string()))?;
        let log = Arc::<Mutex<String>>::default();
        let stderr = child.stderr.take();
        let log_collector = stderr.map(|stderr| collect_lines(stderr, Arc::clone(&log)));
        Ok(Process {
            child,
            log,
            log_collector,
        })
    }

    /// Its log until now.
    pub fn log(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.clone()
    }

    /// Waits until its log has a line with `marker` and an address behind it, and returns the address. Of several such
    /// lines it is the one of this index.
    ///
    /// # Errors
    /// No such line is logged in time.
    pub fn logged_address(&self, marker: &str, index: usize) -> Result<SocketAddr, HarnessError> {
        let mut address = None;
        wait_for(marker, || {
            let log = self.log();
            let mut addresses = log
                .lines()
                .filter_map(|line| line.split_once(marker)?.1.trim().parse().ok());
            address = addresses.nth(index);
            address.is_some()
        })?;
        address.ok_or_else(|| HarnessError::TimedOut {
            condition: marker.to_owned(),
        })
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal. Returns whether it was delivered.
    pub fn signal(&self, signal: Signal) -> bool {
        let pid = i32::try_from(self.pid()).ok().and_then(Pid::from_raw);
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Kills it, and waits for its end.
    ///
    /// # Errors
    /// The operating system refuses.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        let killed = self.child.kill().and_then(|()| self.child.wait());
        killed
            .map(drop)
            .map_err(HarnessError::io("a process's end"))
    }

    /// Its exit status, if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        // A process whose state cannot be read counts as running, which the caller's limit ends.
        self.child.try_wait().ok().flatten()
    }

    /// Waits until it has ended by itself and its log is complete, and returns its exit status.
    ///
    /// # Errors
    /// It does not end in time, or another process holds its standard error open.
    pub fn wait_for_exit(&mut self) -> Result<ExitStatus, HarnessError> {
        let mut status = None;
        wait_for("the program's end", || {
            status = self.exit_status();
            status.is_some()
        })?;
        wait_for("the end of the program's log", || {
            let mut collector = self.log_collector.iter();
            collector.all(JoinHandle::is_finished)
        })?;
        status.ok_or_else(|| HarnessError::TimedOut {
            condition: "the program's end".to_owned(),
        })
    }

    /// The resources that it uses.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        ResourceUsage::of_process(self.pid())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended meanwhile cannot be killed and is gone as well.
        let _ = self.kill();
    }
}

fn collect_lines(source: impl Read + Send + 'static, log: Arc<Mutex<String>>) -> JoinHandle<()> {
    thread::spawn(move || {
        for line in BufReader::new(source).lines().map_while(Result::ok) {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push_str(&line);
            log.push('\n');
        }
    })
}

/// How a command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Its exit code; `None` where a signal ended it.
    pub code: Option<i32>,
    /// What it printed on standard output, followed by what it printed on standard error.
    pub text: String,
}

impl CommandOutput {
    /// Whether it ended with exit code 0.
    pub fn is_success(&self) -> bool {
        self.code == Some(0)
    }
}

/// Runs a program to its end.
///
/// # Errors
/// The program cannot be started.
pub fn run_command(command: &mut Command) -> Result<CommandOutput, HarnessError> {
    let output = command.stdin(Stdio::null()).output();
    let subject = command.get_program().to_string_lossy().into_owned();
    let output = output.map_err(HarnessError::io(subject))?;
    let bytes = [output.stdout, output.stderr].concat();
    Ok(CommandOutput {
        code: output.status.code(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

impl fmt::Display for CommandOutput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

#[cfg(test)]
mod tests;
