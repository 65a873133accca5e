//! The frontends: translations between a protocol and the core. They decide nothing, and do not know each other.
//!
//! What they have in common with the network is [`crate::net::frontend`].

pub mod cloudevents;
pub mod platform;

use crate::clock::ReceivedAt;
use crate::core::SubmitResponse;
use crate::net::frontend::{Frontend, ParsedRequest, Response};
use crate::net::http::RequestHead;
use std::cell::RefCell;
use std::rc::Rc;

/// A frontend that may be replaced while it is in use: each request is parsed by the one of its moment.
#[derive(Debug, Default)]
pub struct SwappableFrontend<F> {
    current: RefCell<Rc<F>>,
}

impl<F> SwappableFrontend<F> {
    /// Starts with a frontend.
    pub fn new(frontend: F) -> SwappableFrontend<F> {
        SwappableFrontend {
            current: RefCell::new(Rc::new(frontend)),
        }
    }

    /// The frontend in use.
    pub fn get(&self) -> Rc<F> {
        self.current.borrow().clone()
    }

    /// Replaces it.
    pub fn set(&self, frontend: F) {
        self.current.replace(Rc::new(frontend));
    }
}

impl<F: Frontend> Frontend for SwappableFrontend<F> {
    fn parse(&self, request: &RequestHead<'_>, body: &[u8], at: ReceivedAt) -> ParsedRequest {
        self.get().parse(request, body, at)
    }

    fn one_request_at_a_time(&self) -> bool {
        self.get().one_request_at_a_time()
    }

    fn respond(&self, response: SubmitResponse) -> Option<Response> {
        self.get().respond(response)
    }
}
