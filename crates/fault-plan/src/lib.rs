//! Which system calls fail, when, and how often: the text that a test writes and the shim reads.
//!
//! One line a fault: its name, from when to when in milliseconds of the machine's monotonic clock, and how many calls of
//! a thousand it strikes; for [`FaultKind::WallClockStepped`] by how many milliseconds the clock is off.

#![forbid(unsafe_code)]

use std::fmt;
use std::str::FromStr;

/// The environment variable that names the plan's file.
pub const PLAN_VARIABLE: &str = "FAULT_SHIM_PLAN";
/// The environment variable that names the file of counts.
pub const COUNTS_VARIABLE: &str = "FAULT_SHIM_COUNTS";
/// The environment variable with the seed of the draws.
pub const SEED_VARIABLE: &str = "FAULT_SHIM_SEED";
/// The environment variable that names the folder whose files fail; no other file does.
pub const FOLDER_VARIABLE: &str = "FAULT_SHIM_FOLDER";

macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal),* $(,)?) => {
        /// What is done to a system call.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $($(#[$doc])* $kind,)*
        }

        impl FaultKind {
            /// All of them, in the order of their counts.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$kind),*];

            /// The name in a plan.
            pub fn name(self) -> &'static str {
                match self {
                    $(FaultKind::$kind => $name,)*
                }
            }
        }
    };
}

fault_kinds! {
    /// `accept` fails with ECONNABORTED; the connection is gone.
    AcceptAborted = "accept-aborted",
    /// `accept` fails with ENFILE; the connection waits on.
    AcceptNoFiles = "accept-enfile",
    /// `accept` fails with ENOBUFS; the connection waits on.
    AcceptNoBuffers = "accept-enobufs",
    /// `accept` fails with EINTR; the connection waits on.
    AcceptInterrupted = "accept-eintr",
    /// `socket` fails with ENFILE.
    SocketNoFiles = "socket-enfile",
    /// `socket` fails with ENOBUFS.
    SocketNoBuffers = "socket-enobufs",
    /// `connect` fails with EADDRNOTAVAIL.
    ConnectNoAddress = "connect-eaddrnotavail",
    /// `connect` fails with ENETUNREACH.
    ConnectUnreachable = "connect-enetunreach",
    /// A read of a socket fails with EINTR; nothing was read.
    ReceiveInterrupted = "recv-eintr",
    /// A read of a socket gives one byte.
    ReceiveShort = "recv-short",
    /// A read of a socket fails with ETIMEDOUT; the connection is broken.
    ReceiveTimedOut = "recv-etimedout",
    /// A write to a socket fails with EINTR; nothing was written.
    SendInterrupted = "send-eintr",
    /// A write to a socket takes one byte.
    SendShort = "send-short",
    /// A write to a socket fails with EHOSTUNREACH; the connection is broken.
    SendUnreachable = "send-ehostunreach",
    /// A wait returns EINTR at once.
    WaitInterrupted = "wait-eintr",
    /// Writes, truncations and new files in the folder fail with ENOSPC; a write may leave a part.
    DiskFull = "disk-enospc",
    /// Writes, truncations, renames and syncs in the folder fail with EIO; a write may leave a part.
    DiskError = "disk-eio",
    /// A write in the folder is cut in the middle and the process killed right behind it.
    TornWriteAndKill = "disk-torn-kill",
    /// `flock` fails with ENOLCK.
    LockFails = "flock-enolck",
    /// The wall clock shows another time.
    WallClockStepped = "wall-step",
    /// Opening a file in the folder fails with ENFILE.
    OpenNoFiles = "open-enfile",
}

impl FaultKind {
    /// Its place among the counts.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What is done.
    pub kind: FaultKind,
    /// From this time of the machine's monotonic clock on, in milliseconds ...
    pub from_ms: i64,
    /// ... up to this one.
    pub until_ms: i64,
    /// Calls of a thousand that are struck, or by how many milliseconds the wall clock is off.
    pub amount: i64,
}

impl Fault {
    /// Whether it is in force at a time of the monotonic clock, in milliseconds.
    pub fn is_in_force(&self, now_ms: i64) -> bool {
        (self.from_ms..self.until_ms).contains(&now_ms)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            kind,
            from_ms,
            until_ms,
            amount,
        } = self;
        write!(f, "{} {from_ms} {until_ms} {amount}", kind.name())
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(line: &str) -> Result<Fault, String> {
        let unreadable = || format!("not a fault: {line:?}");
        let mut words = line.split_whitespace();
        let name = words.next().ok_or_else(unreadable)?;
        let kind = FaultKind::ALL.iter().find(|kind| kind.name() == name);
        let mut number = || words.next()?.parse::<i64>().ok();
        Ok(Fault {
            kind: *kind.ok_or_else(unreadable)?,
            from_ms: number().ok_or_else(unreadable)?,
            until_ms: number().ok_or_else(unreadable)?,
            amount: number().ok_or_else(unreadable)?,
        })
    }
}

/// The draw for one call of one process: the same for a seed, a kind and the call's number, whatever the threads do.
pub fn draw(seed: u64, kind: FaultKind, ordinal: u64) -> u64 {
    let mut mixed = seed ^ (kind.index() as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = mixed.wrapping_add(ordinal.wrapping_mul(0xD134_2543_DE82_EF95));
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xE703_7ED1_A0B4_28DB);
    mixed ^= mixed >> 29;
    mixed.wrapping_mul(0x8EBC_6AF0_9C88_C6E3) >> 33
}

/// How many calls a fault could strike, and how many it struck.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls that came while it was in force.
    pub seen: u64,
    /// Of these, struck.
    pub struck: u64,
}

/// Bytes that the counts of a process take in their file.
pub const COUNTS_LEN: usize = FaultKind::ALL.len() * 16;

/// Reads the counts that a process left, by kind.
pub fn read_counts(bytes: &[u8]) -> Vec<(FaultKind, Count)> {
    let word = |at: usize| {
        bytes
            .get(at..at + 8)
            .and_then(|word| word.try_into().ok())
            .map_or(0, u64::from_le_bytes)
    };
    let count = |kind: &FaultKind| Count {
        seen: word(kind.index() * 16),
        struck: word(kind.index() * 16 + 8),
    };
    FaultKind::ALL
        .iter()
        .map(|kind| (*kind, count(kind)))
        .collect()
}
