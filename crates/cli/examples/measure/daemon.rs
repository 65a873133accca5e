//! Daemons under measurement, and their manifests.

use crate::Measured;
use marblefall_process_harness::{
    run_command, wait_for, Process, ResourceUsage, Signal, TemporaryFolder,
};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// The class of all messages, as a manifest has it.
pub const CLASS: &str =
    "[class.status]\nrepeats = \"free\"\nwanted_ms = 2000\ngive_up_ms = 20000\n";

/// The table of one instance on the platform. `numbers` are the numbers of destinations with their names.
pub fn instance_table(listen: SocketAddr, numbers: &str) -> String {
    format!(
        "[instance.one]\nrelay = {{ listen = \"{listen}\", notices = \"127.0.0.1:9\", numbers = {{ {numbers} }} }}\n"
    )
}

/// An address whose port the system picks.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The table of a destination with one endpoint.
pub fn destination_table(name: &str, rate: f64, endpoint: SocketAddr) -> String {
    format!(
        "[destination.{name}]\nrate = {rate}\nendpoints = [{{ name = \"{name}-1\", address = \"{endpoint}\" }}]\n"
    )
}

/// A daemon. It is killed when this is dropped.
pub struct Daemon {
    process: Process,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// How long its start took until it listened.
    pub start_duration: Duration,
}

impl Daemon {
    /// Plans and applies a manifest in a folder. Returns how long `plan` took.
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

    /// Starts a daemon that runs what is applied in a folder, and waits until it listens.
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

    /// Waits until it has logged an address behind a marker.
    pub fn logged_address(&self, marker: &str) -> Measured<SocketAddr> {
        Ok(self.process.logged_address(marker, 0)?)
    }

    /// Waits until its log has a text.
    pub fn wait_for_log(&self, text: &str) -> Measured<()> {
        Ok(wait_for(text, || self.process.log().contains(text))?)
    }

    /// The resources that it uses.
    pub fn resource_usage(&self) -> Measured<ResourceUsage> {
        let usage = self.process.resource_usage();
        Ok(usage.ok_or("the daemon has ended")?)
    }

    /// Requests its counters, and returns one of them.
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
