//! The queues of the events that the driver handles.

use crate::group::transport::TransportEvent;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use marblefall_coordination::identifiers::ProposalId;
use marblefall_coordination::message::PolicyVerdict;
use std::time::Instant;

/// The instances' verdict on a proposed policy.
pub(super) struct CheckedProposal {
    pub proposal: ProposalId,
    pub verdict: PolicyVerdict,
}

/// An event that the driver handles.
pub(super) enum DriverEvent {
    /// An event of the transport.
    Transport(TransportEvent),
    /// The instances have checked a proposed policy.
    Checked(CheckedProposal),
    /// The wake-up time was reached.
    Timer,
}

/// The driver's queues of events.
pub(super) struct Inbox {
    /// Events of the transport.
    pub transport: Receiver<TransportEvent>,
    /// Verdicts on proposed policies.
    pub verdicts: Receiver<CheckedProposal>,
}

impl Inbox {
    /// Waits for the next event. Returns [`DriverEvent::Timer`] if none arrives by `wake`.
    pub async fn receive(&self, wake: Instant) -> DriverEvent {
        let transport = async {
            let event = self.transport.recv().await;
            event.map_or(DriverEvent::Timer, DriverEvent::Transport)
        };
        let verdict = async {
            let checked = self.verdicts.recv().await;
            checked.map_or(DriverEvent::Timer, DriverEvent::Checked)
        };
        let timer = async {
            Timer::at(wake).await;
            DriverEvent::Timer
        };
        future::or(transport, future::or(verdict, timer)).await
    }

    /// Returns the next queued event of the transport; `None` if the queue is empty.
    pub fn try_receive(&self) -> Option<DriverEvent> {
        let event = self.transport.try_recv().ok()?;
        Some(DriverEvent::Transport(event))
    }
}
