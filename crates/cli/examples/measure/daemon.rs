//! The daemons that are measured, and their manifests.

use crate::Measured;
use marblefall_process_harness::{
    run_command, wait_for, Process, ResourceUsage, Signal, TemporaryFolder,
};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// The manifest's table for the class of all messages.
pub const CLASS: &str =
    "[class.status]\nrepeats = \"free\"\nwanted_ms = 2000\ngive_up_ms = 20000\n";

/// Returns the table of one instance on the platform. `numbers` maps numbers of destinations to their names.
pub fn instance_table(listen: SocketAddr, numbers: &str) -> String {
    format!(
        "[instance.one]\nrelay = {{ listen = \"{listen}\", notices = \"127.0.0.1:9\", numbers = {{ {numbers} }} }}\n"
    )
}

/// Returns a loopback address with port 0, for which the system picks a port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the table of a destination with one endpoint.
pub fn destination_table(name: &str, rate: f64, endpoint: SocketAddr) -> String {
    format!(
        "[destination.{name}]\nrate = {rate}\nendpoints = [{{ name = \"{name}-1\", address = \"{endpoint}\" }}]\n"
    )
}

/// A running daemon, which is killed on drop.
pub struct Daemon {
    process: Process,
    /// The address at which the daemon listens for clients.
    pub address: SocketAddr,
    /// Time from the start of the process until it listened.
    pub start_duration: Duration,
}

impl Daemon {
    /// Plans and applies a manifest in a folder. Returns the duration of `plan`.
    pub fn apply(build: &str, folder: &TemporaryFolder, manifest: &str) -> Measured<Duration> {
        let file = folder.write("fleet.toml", manifest)?;
        let (plan, home) = (folder.path().join("plan"), folder.path().join("home"));
        let started_at = Instant::now();
        let mut planning = Command::new(build);
        planning.arg("plan").args([&file, &home]);
        run_successfully(planning.arg("--out").arg(&plan))?;
        let plan_duration = started_at.elapsed();
        run_successfully(Command::new(build).arg("apply").args([&plan, &home]))?;
        Ok(plan_duration)
    }

    /// Starts a daemon with the policy applied in a folder, and waits until it listens.
    pub fn start(build: &str, folder: &TemporaryFolder) -> Measured<Daemon> {
        let home = folder.path().join("home");
        let home = home.to_str().ok_or("the folder's path is not UTF-8")?;
        let started_at = Instant::now();
        let process = Process::start(Path::new(build), &["run", home], &[])?;
        let address = process.logged_address("listens at ", 0)?;
        Ok(Daemon {
            process,
            address,
            start_duration: started_at.elapsed(),
        })
    }

    /// Waits until the daemon has logged an address after a marker, and returns the address.
    pub fn logged_address(&self, marker: &str) -> Measured<SocketAddr> {
        Ok(self.process.logged_address(marker, 0)?)
    }

    /// Waits until the daemon's log contains a text.
    pub fn wait_for_log(&self, text: &str) -> Measured<()> {
        Ok(wait_for(text, || self.process.log().contains(text))?)
    }

    /// Returns the resources that the daemon uses.
    pub fn resource_usage(&self) -> Measured<ResourceUsage> {
        let usage = self.process.resource_usage();
        Ok(usage.ok_or("the daemon has ended")?)
    }

    /// Makes the daemon log its counters, and returns one of them.
    pub fn counter(&self, name: &str) -> Measured<u64> {
        let marker = format!("{name}=");
        let count = || self.process.log().matches(&marker).count();
        let before = count();
        if !self.process.signal(Signal::USR1) {
            return Err("the daemon has ended".into());
        }
        wait_for(name, || count() > before)?;
        let log = self.process.log();
        let (_, value) = log.rsplit_once(&marker).ok_or("no such counter")?;
        let value = value.split_whitespace().next().unwrap_or_default();
        Ok(value.parse()?)
    }
}

fn run_successfully(command: &mut Command) -> Measured<()> {
    let output = run_command(command)?;
    if output.is_success() {
        Ok(())
    } else {
        Err(format!("{command:?}: {output}").into())
    }
}
