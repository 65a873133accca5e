//! CloudEvents over HTTP: partners hand events in and are answered at each event's end; each goes on to its
//! destination as an event again. Nothing but translation: rules and decisions are the core's.

pub mod event;

use crate::core::destination_table::DestinationTable;
use crate::core::{Disposition, FinalOutcome, Message, Origin, SubmitResponse};
use crate::net::http::{Request, Response};
use crate::net::pool::{told_wait, Ended};
use crate::seam::{Front, Reply, Take};
use event::{Context, Fault, Mode};
use marblefall_scheduler::{ClassId, DestinationId, Outcome, RateLimitReport};
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A deadline farther off than this is taken for this.
const LONGEST_MS: i64 = 7 * 24 * 3600 * 1000;

/// What the front knows of a class.
#[derive(Clone, Debug)]
pub struct EventClass {
    /// How long an event without a deadline of its own may be delivered.
    pub give_up_ms: i64,
    /// Whether its receivers drop repeats by key, so that an event must bring one.
    pub keyed: bool,
}

/// How events leave to a destination.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// The mode in which its receivers want them.
    pub mode: Mode,
    /// The path at its receivers.
    pub path: String,
}

/// The client side of the events front, and the wording of its legs.
#[derive(Clone, Debug, Default)]
pub struct CloudEventsFrontend {
    /// The path where events come in.
    pub path: String,
    /// The attribute that names an event's destination.
    pub destination_attribute: String,
    /// The class of each type of event.
    pub types: BTreeMap<String, ClassId>,
    /// The classes, in their order.
    pub classes: Vec<EventClass>,
    /// The destinations, and how events leave to them by their forms; both change while the front is on.
    pub listed: RefCell<(Arc<DestinationTable>, Arc<Vec<Target>>)>,
    /// What stands for a name in the core.
    pub number: Option<fn(&str) -> u64>,
}

impl Front for CloudEventsFrontend {
    fn take(&self, request: &Request<'_>, body: &[u8], now_ms: i64) -> Take {
        let reply = |(status, why): Fault| Take::Reply(Reply::because(status, why));
        match (request.method, request.path) {
            ("POST", path) if path == self.path => self
                .message(request, body, now_ms)
                .map_or_else(reply, Take::Offer),
            ("GET", "/ready") => Take::Ready,
            (_, path) if path == self.path || path == "/ready" => Take::Reply(Reply::of(405)),
            _ => Take::Reply(Reply::of(404)),
        }
    }

    fn settled(&self, answer: SubmitResponse) -> Option<Reply> {
        // Senders elsewhere read whole seconds; never sooner than told.
        let later = |status, after: u64| {
            let secs = after.div_ceil(1000).max(1).to_string();
            Reply {
                status,
                fields: vec![("Retry-After", secs)],
                ..Reply::default()
            }
        };
        match answer {
            SubmitResponse::Accepted => None,
            SubmitResponse::Rejected {
                retry_after_ms: after,
            } => Some(later(429, after)),
            SubmitResponse::Conflict => Some(Reply::because(
                409,
                "this event came before with another Idempotency-Key",
            )),
            SubmitResponse::Finished(FinalOutcome::Delivered) => Some(Reply::of(204)),
            SubmitResponse::Finished(FinalOutcome::Returned {
                retry_after_ms: after,
            }) => Some(later(503, after)),
            SubmitResponse::Finished(FinalOutcome::Failed) => {
                Some(Reply::because(502, "the event could not be delivered"))
            }
            SubmitResponse::Finished(FinalOutcome::Expired) => {
                Some(Reply::because(504, "the event's time ran out"))
            }
        }
    }
}

impl CloudEventsFrontend {
    fn message(&self, request: &Request<'_>, body: &[u8], now_ms: i64) -> Result<Message, Fault> {
        let (context, data) = event::read(&request.fields, body)?;
        let unknown = |what: &str, name: &str| (422, format!("unknown {what} {name:?}"));
        let kind = context.text("type").unwrap_or_default();
        let class = *self
            .types
            .get(kind.as_ref())
            .ok_or_else(|| unknown("type", &kind))?;
        let attribute = &self.destination_attribute;
        let name = context
            .text(attribute)
            .ok_or_else(|| (422, format!("no attribute {attribute}")))?;
        let destination = self
            .destination(&name)
            .ok_or_else(|| unknown("destination", &name))?;
        let mut keys = request.fields.all("idempotency-key");
        let idempotency_key = keys
            .next()
            .filter(|key| !key.is_empty())
            .map(<[u8]>::to_vec);
        if keys.next().is_some() {
            return Err((400, "Idempotency-Key is given twice".to_owned()));
        }
        let known = self.classes.get(class.0);
        if idempotency_key.is_none() && known.is_some_and(|class| class.keyed) {
            // Without it no receiver could tell a repeat, and one attempt that breaks would be the last.
            return Err((
                400,
                format!("events of type {kind:?} need an Idempotency-Key"),
            ));
        }
        let expires_ms = match context.text("expirytime") {
            Some(text) => {
                let time: jiff::Timestamp = text
                    .parse()
                    .map_err(|_| (400, "expirytime is no RFC 3339 time".to_owned()))?;
                time.as_millisecond().min(now_ms + LONGEST_MS)
            }
            None => now_ms + known.map_or(0, |class| class.give_up_ms),
        };
        let (source, id) = (
            context.text("source").unwrap_or_default(),
            context.text("id").unwrap_or_default(),
        );
        Ok(Message {
            origin: Origin::CloudEvents,
            identity: identity(&source, &id),
            idempotency_key,
            class,
            destination,
            expires_ms,
            attributes: serde_json::to_vec(&context).map_err(|error| (400, error.to_string()))?,
            body: data.into_owned(),
        })
    }

    fn destination(&self, name: &str) -> Option<DestinationId> {
        let number = DestinationId(self.number?(name));
        let listed = self.listed.borrow();
        // Another name may stand behind the same number.
        listed
            .0
            .entry(number)
            .filter(|entry| entry.name == name)
            .map(|entry| entry.id)
    }

    /// The head and the body of a leg.
    pub fn leg<'a>(&self, message: &'a Message, address: &str) -> (Vec<u8>, Cow<'a, [u8]>) {
        let (destination_table, targets) = self.listed.borrow().clone();
        let form = destination_table
            .entry(message.destination)
            .map(|entry| usize::from(entry.encoding));
        let target = form
            .and_then(|form| targets.get(form))
            .cloned()
            .unwrap_or_default();
        let context: Context = serde_json::from_slice(&message.attributes).unwrap_or_default();
        let (fields, body) = event::write(&context, &message.body, target.mode);
        let mut head = format!("POST {} HTTP/1.1\r\nHost: {address}\r\n", target.path).into_bytes();
        for (name, value) in fields {
            head.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        if let Some(key) = &message.idempotency_key {
            head.extend(b"Idempotency-Key: ");
            head.extend(key);
            head.extend(b"\r\n");
        }
        head.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
        (head, body)
    }
}

/// What makes an event the same event: its source and its id, with the length of one so that no other pair
/// reads the same.
fn identity(source: &str, id: &str) -> Vec<u8> {
    format!("{}:{source}{id}", source.len()).into_bytes()
}

/// What a receiver's answer says of its leg. Only a decline proves that the event was not taken in; a gateway
/// in front of the receiver may answer for it after it ran. What else begins with 4 is about the event itself and
/// would be answered alike each time, but for those that are about the moment (408, 423, 425) or about who asks
/// (401, 403, 407), which an operator may put right while the event has time.
pub fn judge(read: &Response<'_>) -> Ended {
    let (outcome, disposition) = match read.status {
        200..=299 => (Outcome::Delivered, Disposition::Undecided),
        429 | 503 => (
            Outcome::Rejected {
                retry_after: told_wait(read),
            },
            Disposition::Undecided,
        ),
        401 | 403 | 407 | 408 | 423 | 425 => (Outcome::Error, Disposition::Undecided),
        400..=499 => (Outcome::Error, Disposition::Failed),
        _ => (Outcome::Error, Disposition::Undecided),
    };
    Ended {
        outcome,
        disposition,
        report: RateLimitReport::default(),
    }
}
