//! The command-line arguments. Without arguments, the program runs as one instance on the platform.

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Delivers outbound messages.
///
/// Without arguments the program runs as one instance on the platform, configured by RELAY_CONFIG. With arguments it is
/// the operators' tool.
/// Exit codes: 0 success, 1 the input is invalid or the command failed, 2 the arguments are invalid.
#[derive(Debug, Parser)]
#[command(name = "marblefall", version, subcommand_required = true)]
pub struct Arguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the operators' tool.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Print how FILE differs from the policy applied in HOME, and save the changes as a plan.
    #[command(
        after_help = "Example:\n  marblefall plan deploy/partners.toml /var/lib/marblefall --out change.plan"
    )]
    Plan {
        /// The operators' file.
        file: PathBuf,
        /// The fleet's folder.
        home: PathBuf,
        /// The file to save the plan in.
        #[arg(long, value_name = "PLAN")]
        out: Option<PathBuf>,
    },
    /// Put a saved plan in force, unless the applied revision has changed since the plan was made.
    ///
    /// If the home is a member of a group, the change is proposed to all members. It comes into force at all of them or
    /// at none, and the command ends once the outcome is known.
    #[command(after_help = "Examples:
  marblefall apply change.plan /var/lib/marblefall
  marblefall apply first.plan /var/lib/marblefall --member north    makes an empty home a member of the file's group")]
    Apply {
        /// A plan saved by `plan`.
        plan: PathBuf,
        /// The fleet's folder.
        home: PathBuf,
        /// For an empty home: the name of the group member that it becomes.
        #[arg(long, value_name = "NAME")]
        member: Option<String>,
    },
    /// Run the fleet that is applied in HOME.
    #[command(after_help = "Example:\n  marblefall run /var/lib/marblefall --log json")]
    Run {
        /// The fleet's folder.
        home: PathBuf,
        /// The format of log lines.
        #[arg(long, value_name = "FORM", default_value = "text")]
        log: OutputFormat,
        /// In a group: the file to which each accepted message and each attempt is written, with its policy revision.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
        /// In a group: the address at which to listen for other members, if the operators' file has the address of a proxy.
        #[arg(long, value_name = "ADDRESS")]
        link: Option<std::net::SocketAddr>,
    },
    /// Show and change the state of a group of daemons.
    #[command(subcommand)]
    Group(GroupCommand),
    /// Show the state of destinations, which each running instance records once a second.
    #[command(after_help = "Example:\n  marblefall destinations /var/lib/marblefall --state out")]
    Destinations {
        /// The fleet's folder.
        home: PathBuf,
        /// Show only destinations in this state.
        #[arg(long)]
        state: Option<DestinationState>,
        /// The output format.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Check, show and compare watched endpoint lists.
    #[command(name = "roster", subcommand)]
    EndpointLists(EndpointListCommand),
    /// Print completions for a shell.
    #[command(
        after_help = "Example:\n  marblefall completions bash > /etc/bash_completion.d/marblefall"
    )]
    Completions {
        /// The shell to print completions for.
        shell: clap_complete::Shell,
    },
}

/// Requests to a group. The daemon of the home must be running.
#[derive(Debug, Subcommand)]
pub enum GroupCommand {
    /// Show the revision in force, the pending change, and each member.
    #[command(
        after_help = "Example:\n  marblefall group status /var/lib/marblefall --format json"
    )]
    Status {
        /// The fleet's folder.
        home: PathBuf,
        /// The output format.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Show changes: who proposed them, when, and their outcomes.
    #[command(after_help = "Example:\n  marblefall group history /var/lib/marblefall")]
    History {
        /// The fleet's folder.
        home: PathBuf,
        /// The output format.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Withdraw the pending change, whoever proposed it.
    #[command(after_help = "Example:\n  marblefall group withdraw /var/lib/marblefall")]
    Withdraw {
        /// The fleet's folder.
        home: PathBuf,
    },
    /// Declare that a member is stopped: changes no longer wait for it until it requests a lease again. If the member is
    /// still running, two policies are in use at the same time.
    #[command(after_help = "Example:\n  marblefall group without south /var/lib/marblefall")]
    Without {
        /// The name of the member.
        name: String,
        /// The fleet's folder.
        home: PathBuf,
    },
}

/// The state of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum DestinationState {
    /// The destination requested a backoff that has not ended.
    #[value(name = "waiting")]
    InBackoff,
    /// The destination is ejected because its calls failed.
    #[value(name = "out")]
    Ejected,
    /// The destination responds again, and its rate is being ramped up.
    #[value(name = "easing")]
    Recovering,
    /// The destination is healthy and was called recently.
    InUse,
    /// The destination was not called recently.
    Idle,
}

impl DestinationState {
    /// Returns the name of the state in output.
    pub fn name(self) -> &'static str {
        match self {
            DestinationState::InBackoff => "waiting",
            DestinationState::Ejected => "out",
            DestinationState::Recovering => "easing",
            DestinationState::InUse => "in-use",
            DestinationState::Idle => "idle",
        }
    }
}

/// The commands on endpoint lists.
#[derive(Debug, Subcommand)]
pub enum EndpointListCommand {
    /// Check whether lists would be put in force, and report why not. Meant for pre-commit jobs.
    #[command(after_help = "Examples:
  marblefall roster check rosters/                              only the lists themselves
  marblefall roster check bole.toml --fleet partners.toml       also against the operators' file
  marblefall roster check bole.toml --home /var/lib/marblefall  also against what is applied and in force

All files given are checked together: a destination in two of them is an error.")]
    Check {
        /// Endpoint lists, or folders of them.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The operators' file with the destinations and limits to check against.
        #[arg(long, value_name = "FILE", conflicts_with = "home")]
        fleet: Option<PathBuf>,
        /// The fleet's folder with the applied policy and the lists in force to check against.
        #[arg(long)]
        home: Option<PathBuf>,
        /// The output format.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Show the lists in force in HOME, and the state of their files.
    #[command(after_help = "Example:\n  marblefall roster show /var/lib/marblefall --endpoints")]
    Show {
        /// The fleet's folder.
        home: PathBuf,
        /// Also show each endpoint.
        #[arg(long)]
        endpoints: bool,
        /// The output format.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Print the changes from one list to another.
    #[command(after_help = "Example:\n  marblefall roster diff bole.toml.orig bole.toml")]
    Diff {
        /// The old list.
        old: PathBuf,
        /// The new list.
        new: PathBuf,
        /// The output format.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
}

/// The format of output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}
