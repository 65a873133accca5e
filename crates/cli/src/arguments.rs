//! The command line's arguments. Without any, the program is one instance on the platform.

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Delivers outbound messages.
///
/// Without arguments it is one instance on the platform, configured by RELAY_CONFIG; with them it is the operators' tool.
/// Exit codes: 0 done, 1 what was given is wrong or could not be done, 2 the arguments are wrong.
#[derive(Debug, Parser)]
#[command(name = "marblefall", version, subcommand_required = true)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the operators' tool does.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Print what FILE changes against what is applied in HOME, and save it.
    #[command(
        after_help = "Example:\n  marblefall plan deploy/partners.toml /var/lib/marblefall --out change.plan"
    )]
    Plan {
        /// The operators' file.
        file: PathBuf,
        /// The fleet's folder.
        home: PathBuf,
        /// Where the plan is saved.
        #[arg(long, value_name = "PLAN")]
        out: Option<PathBuf>,
    },
    /// Put a saved plan in force, unless the applied revision has changed since it was made.
    ///
    /// In a home that is a member of a group the change is proposed to all members: it comes into force at every one of
    /// them or at none, and the command ends once that is known.
    #[command(after_help = "Examples:
  marblefall apply change.plan /var/lib/marblefall
  marblefall apply first.plan /var/lib/marblefall --member north    makes an empty home a member of the file's group")]
    Apply {
        /// A plan that `plan` saved.
        plan: PathBuf,
        /// The fleet's folder.
        home: PathBuf,
        /// In an empty home: the member of the file's group that it becomes.
        #[arg(long, value_name = "NAME")]
        member: Option<String>,
    },
    /// Run the fleet that is applied in HOME.
    #[command(after_help = "Example:\n  marblefall run /var/lib/marblefall --log json")]
    Run {
        /// The fleet's folder.
        home: PathBuf,
        /// How log lines look.
        #[arg(long, value_name = "FORM", default_value = "text")]
        log: OutputFormat,
        /// In a group: where each accepted message and each attempt is written, with the revision that it was under.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
        /// In a group: where its transport listens, if others reach it by the file's address through a proxy.
        #[arg(long, value_name = "ADDRESS")]
        link: Option<std::net::SocketAddr>,
    },
    /// Show the state of a group of daemons, and steer it.
    #[command(subcommand)]
    Group(GroupCommand),
    /// Show the state of destinations, as the instances recorded it within the last second.
    #[command(after_help = "Example:\n  marblefall destinations /var/lib/marblefall --state out")]
    Destinations {
        /// The fleet's folder.
        home: PathBuf,
        /// Only those in this state.
        #[arg(long)]
        state: Option<DestinationState>,
        /// How it is printed.
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
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Requests to a group. The daemon of the home must run.
#[derive(Debug, Subcommand)]
pub enum GroupCommand {
    /// Show the revision in force, the pending change, and each member.
    #[command(
        after_help = "Example:\n  marblefall group status /var/lib/marblefall --format json"
    )]
    Status {
        /// The fleet's folder.
        home: PathBuf,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Show changes: who proposed them, when, and their outcomes.
    #[command(after_help = "Example:\n  marblefall group history /var/lib/marblefall")]
    History {
        /// The fleet's folder.
        home: PathBuf,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Withdraw the pending change, whoever proposed it.
    #[command(after_help = "Example:\n  marblefall group withdraw /var/lib/marblefall")]
    Withdraw {
        /// The fleet's folder.
        home: PathBuf,
    },
    /// Declare a member stopped: changes no longer wait for it, until it asks for a lease again. If it is not stopped, two
    /// policies are in use at once.
    #[command(after_help = "Example:\n  marblefall group without south /var/lib/marblefall")]
    Without {
        /// The member.
        name: String,
        /// The fleet's folder.
        home: PathBuf,
    },
}

/// The state of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum DestinationState {
    /// It asked for a backoff that has not ended.
    #[value(name = "waiting")]
    InBackoff,
    /// It is ejected: its calls fail.
    #[value(name = "out")]
    Ejected,
    /// It answers again, and its rate is ramped up.
    #[value(name = "easing")]
    Recovering,
    /// It is healthy, and was called lately.
    InUse,
    /// It was not called lately.
    Idle,
}

impl DestinationState {
    /// Its name in output.
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

/// What is done with endpoint lists.
#[derive(Debug, Subcommand)]
pub enum EndpointListCommand {
    /// Check whether lists would be put in force, and why not; meant for pre-commit jobs.
    #[command(after_help = "Examples:
  marblefall roster check rosters/                              by their form alone
  marblefall roster check bole.toml --fleet partners.toml       also against the operators' file
  marblefall roster check bole.toml --home /var/lib/marblefall  also against what is applied and in force

All files given are checked together: a destination in two of them is an error.")]
    Check {
        /// Endpoint lists, or folders of them.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The operators' file whose destinations and limits apply.
        #[arg(long, value_name = "FILE", conflicts_with = "home")]
        fleet: Option<PathBuf>,
        /// The fleet's folder, whose applied policy and lists in force apply.
        #[arg(long)]
        home: Option<PathBuf>,
        /// How the outcome is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Show which lists are in force in HOME, and the state of newer ones.
    #[command(after_help = "Example:\n  marblefall roster show /var/lib/marblefall --endpoints")]
    Show {
        /// The fleet's folder.
        home: PathBuf,
        /// Each endpoint as well.
        #[arg(long)]
        endpoints: bool,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
    /// Print the changes from one list to another.
    #[command(after_help = "Example:\n  marblefall roster diff bole.toml.orig bole.toml")]
    Diff {
        /// The list before.
        old: PathBuf,
        /// The list after.
        new: PathBuf,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: OutputFormat,
    },
}

/// The format of output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}
