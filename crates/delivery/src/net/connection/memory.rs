//! The memory that a connection's buffer may use, under the budget of its instance.

use super::{with_deadline, Connection, ReadError};
use crate::net::memory_budget::{MemoryBudget, MemoryGrant, ReceivedMessage, CONNECTION_ALLOWANCE};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum wait for memory. A client retries sooner on a rejection than after a time-out.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The budget of a connection, and what it was granted.
pub(super) struct ReceiveMemory {
    budget: Rc<MemoryBudget>,
    received: ReceivedMessage,
    grant: Option<MemoryGrant>,
}

impl ReceiveMemory {
    fn granted(&self) -> usize {
        self.grant.as_ref().map_or(0, MemoryGrant::bytes)
    }
}

impl Connection {
    /// Limits the connection's buffer by a budget.
    pub fn with_budget(
        mut self,
        budget: &Rc<MemoryBudget>,
        received: ReceivedMessage,
    ) -> Connection {
        self.memory = Some(ReceiveMemory {
            budget: budget.clone(),
            received,
            grant: None,
        });
        self
    }

    /// Returns the number of bytes that may be added to the buffer.
    pub(super) fn free_space(&self) -> usize {
        match &self.memory {
            None => usize::MAX,
            Some(memory) => {
                let capacity = CONNECTION_ALLOWANCE + memory.granted();
                capacity.saturating_sub(self.bytes().len())
            }
        }
    }

    /// Ensures that the buffer may hold `len` unconsumed bytes. Waits for memory if the budget is exhausted.
    ///
    /// # Errors
    /// There is no memory in time.
    pub(super) async fn reserve(&mut self, len: usize) -> Result<(), ReadError> {
        self.remove_consumed();
        if let Some(memory) = &mut self.memory {
            let missing = len.saturating_sub(CONNECTION_ALLOWANCE + memory.granted());
            if missing > 0 {
                let granting = memory.budget.grant(missing, memory.received);
                let granted = with_deadline(Instant::now() + MAX_WAIT, granting).await;
                let added = granted.ok_or(ReadError::NoMemory)?;
                match &mut memory.grant {
                    Some(grant) => grant.merge(added),
                    None => memory.grant = Some(added),
                }
                self.activity.set_granted(memory.granted());
            }
            self.buffer
                .reserve_exact(len.saturating_sub(self.buffer.len()));
        }
        Ok(())
    }

    /// Discards a message that was received in part, and takes its grant.
    pub fn abandon_message(&mut self) -> Option<MemoryGrant> {
        self.consume(self.bytes().len());
        self.take_grant()
    }

    /// Takes the grant of a message that was consumed, as its content is still in use. Bytes that were received behind the
    /// message keep what they need.
    pub fn take_grant(&mut self) -> Option<MemoryGrant> {
        self.remove_consumed();
        self.buffer.shrink_to(CONNECTION_ALLOWANCE);
        let kept = self.bytes().len().saturating_sub(CONNECTION_ALLOWANCE);
        let memory = self.memory.as_mut()?;
        let mut grant = memory.grant.take()?;
        let kept = grant.split_off(kept);
        self.activity.set_granted(kept.bytes());
        memory.grant = Some(kept).filter(|kept| kept.bytes() > 0);
        Some(grant)
    }
}
