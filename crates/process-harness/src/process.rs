//! Processes under test and commands that run to completion.

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

/// A running process whose standard error is collected as its log. Dropping this value kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: Arc<Mutex<String>>,
    /// The thread that collects the log. It ends when the last process that holds the standard error open has closed it.
    log_collector: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program with arguments and with additional environment variables.
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

    /// Returns the log so far.
    pub fn log(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.clone()
    }

    /// Waits until the log has more than `index` lines in which an address follows `marker`. Returns the address in the
    /// line with this index.
    ///
    /// # Errors
    /// The line is not logged within [`WAIT_LIMIT`](crate::WAIT_LIMIT).
    pub fn logged_address(&self, marker: &str, index: usize) -> Result<SocketAddr, HarnessError> {
        let description = format!("a log line with an address after {marker:?}");
        let mut address = None;
        wait_for(&description, || {
            let log = self.log();
            let mut addresses = log
                .lines()
                .filter_map(|line| line.split_once(marker)?.1.trim().parse().ok());
            address = addresses.nth(index);
            address.is_some()
        })?;
        address.ok_or(HarnessError::TimedOut {
            condition: description,
        })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal. Returns whether the signal was sent.
    pub fn signal(&self, signal: Signal) -> bool {
        let pid = i32::try_from(self.pid()).ok().and_then(Pid::from_raw);
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    /// The operating system rejects the signal or the wait.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        let killed = self.child.kill().and_then(|()| self.child.wait());
        killed
            .map(drop)
            .map_err(HarnessError::io("kill of a process"))
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        // If the status cannot be read, the process counts as running, and the time limit of the caller ends the wait.
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has exited by itself and the log is complete. Returns the exit status.
    ///
    /// # Errors
    /// The process does not exit within [`WAIT_LIMIT`](crate::WAIT_LIMIT), or another process keeps its standard error
    /// open.
    pub fn wait_for_exit(&mut self) -> Result<ExitStatus, HarnessError> {
        let mut status = None;
        wait_for("the program to exit", || {
            status = self.exit_status();
            status.is_some()
        })?;
        wait_for("the end of the program's standard error", || {
            let mut collector = self.log_collector.iter();
            collector.all(JoinHandle::is_finished)
        })?;
        status.ok_or_else(|| HarnessError::TimedOut {
            condition: "the program to exit".to_owned(),
        })
    }

    /// Returns the resources that the process uses, or `None` if it has exited.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        ResourceUsage::of_process(self.pid())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let _ = self.kill();
    }
}

/// Appends all lines of `source` to `log` in a new thread.
fn collect_lines(source: impl Read + Send + 'static, log: Arc<Mutex<String>>) -> JoinHandle<()> {
    thread::spawn(move || {
        for line in BufReader::new(source).lines().map_while(Result::ok) {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push_str(&line);
            log.push('\n');
        }
    })
}

/// The exit code and the output of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// The exit code; `None` if a signal ended the command.
    pub code: Option<i32>,
    /// The standard output followed by the standard error.
    pub text: String,
}

impl CommandOutput {
    /// Returns whether the exit code is 0.
    pub fn is_success(&self) -> bool {
        self.code == Some(0)
    }
}

/// Runs a program and waits until it exits.
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
