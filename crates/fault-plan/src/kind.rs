//! Kinds of faults.

macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal),* $(,)?) => {
        /// What is injected into a system call.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $($(#[$doc])* $kind,)*
        }

        impl FaultKind {
            /// All kinds, in the order of their counts.
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
    /// `accept` fails with ECONNABORTED; the connection is closed.
    AcceptAborted = "accept-aborted",
    /// `accept` fails with ENFILE; the connection stays in the queue.
    AcceptNoFiles = "accept-enfile",
    /// `accept` fails with ENOBUFS; the connection stays in the queue.
    AcceptNoBuffers = "accept-enobufs",
    /// `accept` fails with EINTR; the connection stays in the queue.
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
    /// A read of a socket returns one byte.
    ReceiveShort = "recv-short",
    /// A read of a socket fails with ETIMEDOUT; the connection is broken.
    ReceiveTimedOut = "recv-etimedout",
    /// A write to a socket fails with EINTR; nothing was written.
    SendInterrupted = "send-eintr",
    /// A write to a socket accepts one byte.
    SendShort = "send-short",
    /// A write to a socket fails with EHOSTUNREACH; the connection is broken.
    SendUnreachable = "send-ehostunreach",
    /// A wait returns EINTR at once.
    WaitInterrupted = "wait-eintr",
    /// Writes, truncations and new files in the folder fail with ENOSPC; part of a write may be stored.
    DiskFull = "disk-enospc",
    /// Writes, truncations, renames and syncs in the folder fail with EIO; part of a write may be stored.
    DiskError = "disk-eio",
    /// Part of a write in the folder is stored, and the process is killed.
    TornWriteAndKill = "disk-torn-kill",
    /// `flock` fails with ENOLCK.
    LockFails = "flock-enolck",
    /// The wall clock is off.
    WallClockStepped = "wall-step",
    /// Opening a file in the folder fails with ENFILE.
    OpenNoFiles = "open-enfile",
}

impl FaultKind {
    /// Its index in [`FaultKind::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The kind of this name in a plan.
    pub fn from_name(name: &str) -> Option<FaultKind> {
        let mut kinds = FaultKind::ALL.iter().copied();
        kinds.find(|kind| kind.name() == name)
    }
}
