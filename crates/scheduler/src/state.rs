//! State of messages, endpoints, routes and calls. The decisions are in [`policy`](crate::policy).

mod call;
mod endpoint;
mod message;
mod route;

pub(crate) use call::{Call, CallId, EndedCall};
pub(crate) use endpoint::Endpoint;
pub(crate) use message::{Attempt, Message, MessageState, OrderingQueue};
pub(crate) use route::{Route, RouteId, RECENT_WINDOW};
