//! Fronts translate between a wire and the core; they decide nothing. What they have in common with the network
//! is the `seam`.

pub mod cloudevents;
pub mod platform;

use crate::core::SubmitResponse;
use crate::net::http::Request;
use crate::seam::{Front, Reply, Take};
use std::cell::RefCell;
use std::rc::Rc;

/// A front whose terms change while it is on: each request is read by those of its moment.
#[derive(Debug, Default)]
pub struct Current<F>(RefCell<Rc<F>>);

impl<F> Current<F> {
    /// With these terms for now.
    pub fn new(front: F) -> Current<F> {
        Current(RefCell::new(Rc::new(front)))
    }

    /// The terms of this moment.
    pub fn get(&self) -> Rc<F> {
        self.0.borrow().clone()
    }

    /// Takes up other terms.
    pub fn set(&self, front: F) {
        self.0.replace(Rc::new(front));
    }
}

impl<F: Front> Front for Current<F> {
    fn take(&self, request: &Request<'_>, body: &[u8], now_ms: i64) -> Take {
        self.get().take(request, body, now_ms)
    }

    fn one_at_a_time(&self) -> bool {
        self.get().one_at_a_time()
    }

    fn settled(&self, answer: SubmitResponse) -> Option<Reply> {
        self.get().settled(answer)
    }
}
