//! Kinds of system call faults.

macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal),* $(,)?) => {
        /// Kind of fault: the affected system call and its failure.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $($(#[$doc])* $kind,)*
        }

        impl FaultKind {
            /// All kinds, in the order in which the counts file stores their counts.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$kind),*];

            /// Returns the name of the kind in a plan.
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
    /// A read from a socket fails with EINTR; nothing was read.
    ReceiveInterrupted = "recv-eintr",
    /// A read from a socket returns at most one byte.
    ReceiveShort = "recv-short",
    /// A read from a socket fails with ETIMEDOUT; the connection is shut down.
    ReceiveTimedOut = "recv-etimedout",
    /// A write to a socket fails with EINTR; nothing was written.
    SendInterrupted = "send-eintr",
    /// A write to a socket accepts at most one byte.
    SendShort = "send-short",
    /// A write to a socket fails with EHOSTUNREACH; the connection is shut down.
    SendUnreachable = "send-ehostunreach",
    /// `epoll_wait` or `poll` fails with EINTR at once.
    WaitInterrupted = "wait-eintr",
    /// Writes, renames and file creations in the folder fail with ENOSPC; part of a write may be stored.
    DiskFull = "disk-enospc",
    /// Writes, truncations, renames, syncs and file creations in the folder fail with EIO; part of a write may be stored.
    DiskError = "disk-eio",
    /// Part of a write in the folder is stored, then the process is killed.
    TornWriteAndKill = "disk-torn-kill",
    /// `flock` fails with ENOLCK.
    LockFails = "flock-enolck",
    /// The wall clock is ahead of or behind the real time by a fixed offset.
    WallClockStepped = "wall-step",
    /// Opening a file in the folder fails with ENFILE.
    OpenNoFiles = "open-enfile",
}

impl FaultKind {
    /// Returns the index of the kind in [`FaultKind::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the kind with this name in a plan.
    pub fn from_name(name: &str) -> Option<FaultKind> {
        let mut kinds = FaultKind::ALL.iter().copied();
        kinds.find(|kind| kind.name() == name)
    }
}
