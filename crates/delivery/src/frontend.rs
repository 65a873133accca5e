//! Frontends translate between a protocol and the core. They make no decisions, and do not depend on each other.
//!
//! They implement [`crate::net::frontend::Frontend`], through which the network uses them.

pub mod cloudevents;
pub mod platform;

use crate::clock::ReceivedAt;
use crate::core::SubmitResponse;
use crate::net::frontend::{Frontend, ParsedRequest, Response};
use crate::net::http::RequestHead;
use std::cell::RefCell;
use std::rc::Rc;

/// A frontend that can be replaced while it is in use. Each request is parsed by the current one.
#[derive(Debug, Default)]
pub struct SwappableFrontend<F> {
    current: RefCell<Rc<F>>,
}

impl<F> SwappableFrontend<F> {
    /// Creates the replaceable frontend with its first frontend.
    pub fn new(frontend: F) -> SwappableFrontend<F> {
        SwappableFrontend {
            current: RefCell::new(Rc::new(frontend)),
        }
    }

    /// Returns the current frontend.
    pub fn get(&self) -> Rc<F> {
        self.current.borrow().clone()
    }

    /// Replaces the current frontend.
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

    fn departs_with_end_of_sending(&self) -> bool {
        self.get().departs_with_end_of_sending()
    }

    fn respond(&self, response: SubmitResponse) -> Option<Response> {
        self.get().respond(response)
    }
}
