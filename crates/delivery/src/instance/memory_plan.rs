//! The division of an instance's memory limit among the parts that peers can fill.

use super::InstanceError;
use crate::net::memory_budget::CONNECTION_ALLOWANCE;

const BYTES_PER_MB: u64 = 1_000_000;
/// Share of the memory that buffers and messages may fill, in percent. The rest is for the allocator's free memory between
/// them and for what the engine knows of each message.
const USABLE_PERCENT: u64 = 80;
const PERCENT: u64 = 100;
/// Divisor of the usable memory that gives the memory of stored messages.
const MESSAGES_DIVISOR: u64 = 4;
/// Memory of a stored message per byte of its journal record.
const MEMORY_PER_JOURNAL_BYTE: u64 = 2;
/// Divisor of the memory of connections that gives what only responses may use.
const RESPONSES_DIVISOR: usize = 8;
/// Minimum memory of connections, in bytes: enough for some clients with a large request each.
const MIN_CONNECTION_BYTES: u64 = 1_500_000;

/// The memory limit of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimit {
    /// Maximum memory in bytes.
    pub bytes: u64,
    /// Memory of the program itself, in bytes.
    pub program_bytes: u64,
    /// Size of the files that count as memory, in bytes.
    pub file_bytes: u64,
    /// Maximum number of processes that share the memory.
    pub processes: u64,
}

/// The memory that each part of an instance may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemoryPlan {
    /// Maximum number of client connections.
    pub(super) max_clients: usize,
    /// Maximum number of connections to endpoints.
    pub(super) max_endpoint_connections: usize,
    /// Memory for messages beyond the allowances of the connections that receive them, in bytes.
    pub(super) receive_bytes: usize,
    /// The part of it that only responses may use, in bytes.
    pub(super) response_reserve: usize,
    /// Maximum size of the stored messages' journal records, in bytes.
    pub(super) journal_bytes: u64,
}

/// The number of connections that the limit on descriptors permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    pub(super) clients: usize,
    pub(super) endpoints: usize,
}

impl MemoryLimit {
    /// Divides the memory.
    ///
    /// # Errors
    /// The limit is lower than the instance needs for itself.
    pub(super) fn plan(self, connections: ConnectionLimits) -> Result<MemoryPlan, InstanceError> {
        let usable = self.usable_bytes();
        let message_bytes = usable / MESSAGES_DIVISOR;
        let connection_bytes = usable - message_bytes;
        if connection_bytes < MIN_CONNECTION_BYTES {
            return Err(InstanceError::TooLittleMemory {
                limit_mb: self.bytes / BYTES_PER_MB,
                least_mb: self.least_bytes().div_ceil(BYTES_PER_MB),
            });
        }
        let connection_bytes = connection_bytes as usize;
        // Half of the memory is left for messages that are longer than the allowance.
        let max_connections = connection_bytes / 2 / CONNECTION_ALLOWANCE;
        let total = connections.clients + connections.endpoints;
        let share = |limit: usize| match max_connections {
            max if max < total => (limit * max / total).max(1),
            _ => limit,
        };
        let max_clients = share(connections.clients);
        let max_endpoint_connections = share(connections.endpoints);
        let allowances = (max_clients + max_endpoint_connections) * CONNECTION_ALLOWANCE;
        let receive_bytes = connection_bytes - allowances;
        Ok(MemoryPlan {
            max_clients,
            max_endpoint_connections,
            receive_bytes,
            response_reserve: receive_bytes / RESPONSES_DIVISOR,
            journal_bytes: message_bytes / MEMORY_PER_JOURNAL_BYTE,
        })
    }

    fn usable_bytes(self) -> u64 {
        let of_processes = self.bytes.saturating_sub(self.file_bytes);
        let of_process = of_processes / self.processes;
        of_process.saturating_sub(self.program_bytes) * USABLE_PERCENT / PERCENT
    }

    /// Returns the least limit with which the instance can run, in bytes.
    fn least_bytes(self) -> u64 {
        let usable = MIN_CONNECTION_BYTES * MESSAGES_DIVISOR / (MESSAGES_DIVISOR - 1);
        let of_process = (usable * PERCENT).div_ceil(USABLE_PERCENT) + self.program_bytes;
        of_process * self.processes + self.file_bytes
    }
}

#[cfg(test)]
mod tests;
