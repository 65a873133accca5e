//! The seam between the network and the fronts: what a front makes of a request, and what it answers. It lies
//! below both, so that the network knows no front.

use crate::core::{Message, SubmitResponse};
use crate::net::http::Request;

/// What a front answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Further header fields.
    pub fields: Vec<(&'static str, String)>,
    /// What follows, as plain text.
    pub body: String,
}

impl Reply {
    /// One with a status alone.
    pub fn of(status: u16) -> Reply {
        Reply {
            status,
            ..Reply::default()
        }
    }

    /// One that says why.
    pub fn because(status: u16, why: impl Into<String>) -> Reply {
        Reply {
            status,
            body: why.into(),
            ..Reply::default()
        }
    }

    /// One that says when to come back.
    pub fn come_back(status: u16, after_ms: u64) -> Reply {
        let secs = format!("{:.3}", after_ms as f64 / 1000.0);
        Reply {
            status,
            fields: vec![("Retry-After", secs)],
            ..Reply::default()
        }
    }
}

/// What a front makes of a request.
#[derive(Debug, PartialEq)]
pub enum Take {
    /// It is answered at once.
    Reply(Reply),
    /// It hands a message in.
    Offer(Message),
    /// It asks whether the instance takes clients: yes unless operators send them away.
    Ready,
}

/// What translates one wire.
pub trait Front {
    /// Reads a request that arrived at a Unix time in milliseconds.
    fn take(&self, request: &Request<'_>, body: &[u8], now_ms: i64) -> Take;

    /// Whether its clients wait for each answer before they send the next request on a connection.
    fn one_at_a_time(&self) -> bool {
        false
    }

    /// Words what the core says of a message; `None` waits for what it says next.
    fn settled(&self, answer: SubmitResponse) -> Option<Reply>;
}
