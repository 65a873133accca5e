//! The words of the command line. Without any, the program is the platform's courier.

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A courier of outbound messages.
///
/// Without words it is one courier on the platform, as RELAY_CONFIG has it; with them it is the operators' tool.
/// Exit codes: 0 done, 1 what was given is wrong or could not be done, 2 the words are wrong.
#[derive(Debug, Parser)]
#[command(name = "marblefall", version, subcommand_required = true)]
pub struct Words {
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
    /// Put a saved plan in force, unless what it stands on has changed.
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
        log: Form,
        /// In a group: where each message taken on and each leg begun is written, with the revision that it was under.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
        /// In a group: where its link listens, if others reach it by the file's address through something between.
        #[arg(long, value_name = "ADDRESS")]
        link: Option<std::net::SocketAddr>,
    },
    /// Ask how a group of daemons stands, and say a word on it.
    #[command(subcommand)]
    Group(Group),
    /// Show how destinations stand, as the instances wrote it down within the last second.
    #[command(after_help = "Example:\n  marblefall destinations /var/lib/marblefall --state out")]
    Destinations {
        /// The fleet's folder.
        home: PathBuf,
        /// Only those that stand so.
        #[arg(long)]
        state: Option<State>,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: Form,
    },
    /// Check, show and compare rosters: lists of endpoints that are watched.
    #[command(subcommand)]
    Roster(Roster),
    /// Print completions for a shell.
    #[command(
        after_help = "Example:\n  marblefall completions bash > /etc/bash_completion.d/marblefall"
    )]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// What is asked of a group; the daemon of the home must run.
#[derive(Debug, Subcommand)]
pub enum Group {
    /// Show the revision in force, the change that is open, and each member.
    #[command(
        after_help = "Example:\n  marblefall group status /var/lib/marblefall --format json"
    )]
    Status {
        /// The fleet's folder.
        home: PathBuf,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: Form,
    },
    /// Show who changed what when, and what became of it.
    #[command(after_help = "Example:\n  marblefall group history /var/lib/marblefall")]
    History {
        /// The fleet's folder.
        home: PathBuf,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: Form,
    },
    /// Take the open change back, whoever made it.
    #[command(after_help = "Example:\n  marblefall group withdraw /var/lib/marblefall")]
    Withdraw {
        /// The fleet's folder.
        home: PathBuf,
    },
    /// Say that a member is stopped: changes no longer wait for it, until it asks again. Where that is not so, two policies
    /// are in use at once.
    #[command(after_help = "Example:\n  marblefall group without south /var/lib/marblefall")]
    Without {
        /// The member.
        name: String,
        /// The fleet's folder.
        home: PathBuf,
    },
}

/// How a destination stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum State {
    /// It asked to be left alone.
    Waiting,
    /// It does not answer.
    Out,
    /// It is back and gets a little more each moment.
    Easing,
    /// It is well, and messages went there lately.
    InUse,
    /// Nothing went there lately.
    Idle,
}

impl State {
    /// The word for it.
    pub fn word(self) -> &'static str {
        match self {
            State::Waiting => "waiting",
            State::Out => "out",
            State::Easing => "easing",
            State::InUse => "in-use",
            State::Idle => "idle",
        }
    }
}

/// What is done with rosters.
#[derive(Debug, Subcommand)]
pub enum Roster {
    /// Say whether rosters would be taken, and why not; what a pre-commit job calls.
    #[command(after_help = "Examples:
  marblefall roster check rosters/                              by their form alone
  marblefall roster check bole.toml --fleet partners.toml       also against the operators' file
  marblefall roster check bole.toml --home /var/lib/marblefall  also against what is applied and in force

All files given are checked together: a destination in two of them is a fault.")]
    Check {
        /// Rosters, or folders of them.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The operators' file whose partners and limits count.
        #[arg(long, value_name = "FILE", conflicts_with = "home")]
        fleet: Option<PathBuf>,
        /// The fleet's folder: what is applied and in force there counts.
        #[arg(long)]
        home: Option<PathBuf>,
        /// How the outcome is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: Form,
    },
    /// Show which lists are in force in HOME, and what became of newer ones.
    #[command(after_help = "Example:\n  marblefall roster show /var/lib/marblefall --endpoints")]
    Show {
        /// The fleet's folder.
        home: PathBuf,
        /// Each endpoint as well.
        #[arg(long)]
        endpoints: bool,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: Form,
    },
    /// Print what leads from one roster to another.
    #[command(after_help = "Example:\n  marblefall roster diff bole.toml.orig bole.toml")]
    Diff {
        /// The roster before.
        old: PathBuf,
        /// The roster after.
        new: PathBuf,
        /// How it is printed.
        #[arg(long, value_name = "FORM", default_value = "text")]
        format: Form,
    },
}

/// How something is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Form {
    /// For people.
    Text,
    /// For programs.
    Json,
}
