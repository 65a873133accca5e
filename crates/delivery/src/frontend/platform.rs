//! The platform's protocol: clients hand messages in by `POST /api`, endpoints take them by
//! `POST /receive`, ends go out as notices. Nothing but translation.

use crate::core::{Disposition, FinalOutcome, Message, Origin, SubmitResponse};
use crate::net::http::{Request, Response};
use crate::net::pool::{report, told_wait, Ended};
use crate::seam::{Front, Reply, Take};
use marblefall_scheduler::{ClassId, DestinationId, Outcome};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A time to live longer than this is taken for this, lest sums with it overflow.
const LONGEST_BUDGET_MS: i64 = 24 * 3600 * 1000;

/// Ids and keys longer than this are noise.
const LONGEST_NAME: usize = 256;

/// The client side of the platform's protocol.
pub struct PlatformFrontend {
    /// The names of the classes, in their order.
    pub classes: Vec<String>,
    /// For each of them, whether its receivers drop repeats by key, so that a message must bring one.
    pub keyed: Vec<bool>,
    /// The destinations that clients' numbers stand for, where they are not the numbers themselves.
    pub numbers: Option<BTreeMap<u64, DestinationId>>,
}

impl Front for PlatformFrontend {
    fn take(&self, request: &Request<'_>, body: &[u8], now_ms: i64) -> Take {
        match (request.method, request.path) {
            ("GET", "/ready") => Take::Ready,
            ("POST", "/api") => match self.message(request, body, now_ms) {
                Ok(message) => Take::Offer(message),
                Err(why) => Take::Reply(Reply::because(400, why)),
            },
            (_, "/ready" | "/api") => Take::Reply(Reply::of(405)),
            _ => Take::Reply(Reply::of(404)),
        }
    }

    fn one_at_a_time(&self) -> bool {
        true
    }

    fn settled(&self, answer: SubmitResponse) -> Option<Reply> {
        Some(match answer {
            SubmitResponse::Accepted | SubmitResponse::Finished(FinalOutcome::Delivered) => {
                Reply::of(202)
            }
            SubmitResponse::Rejected {
                retry_after_ms: after,
            }
            | SubmitResponse::Finished(FinalOutcome::Returned {
                retry_after_ms: after,
            }) => Reply::come_back(503, after),
            SubmitResponse::Finished(FinalOutcome::Failed | FinalOutcome::Expired) => {
                Reply::of(500)
            }
            SubmitResponse::Conflict => Reply::of(409),
        })
    }
}

impl PlatformFrontend {
    fn message(
        &self,
        request: &Request<'_>,
        body: &[u8],
        now_ms: i64,
    ) -> Result<Message, &'static str> {
        let fields = &request.fields;
        // What is passed on must come out as it came in, on the wire of a leg as in the line of a notice.
        let plain = |name| {
            fields
                .get(name)
                .filter(|text| text.len() <= LONGEST_NAME && is_plain(text))
        };
        let identity = plain("x-call-id").ok_or("no X-Call-Id")?;
        let class = fields.text("x-call-class").ok_or("no X-Call-Class")?;
        let class = self
            .classes
            .iter()
            .position(|name| name == class)
            .ok_or("unknown class")?;
        let budget = fields.text("x-budget-ms").and_then(digits);
        let budget = budget.ok_or("no X-Budget-Ms in whole milliseconds")?;
        let idempotency_key = match fields.get("idempotency-key") {
            None => None,
            Some(_) => Some(
                plain("idempotency-key").ok_or("an Idempotency-Key that cannot be passed on")?,
            ),
        };
        if idempotency_key.is_none() && self.keyed.get(class) == Some(&true) {
            // Without it no receiver could tell a repeat.
            return Err("no Idempotency-Key in a class with keys");
        }
        let envelope = fields.text("x-envelope").ok_or("no X-Envelope")?;
        let pairs = envelope
            .split([',', ';', ' '])
            .filter_map(|pair| pair.split_once('='));
        let mut named = pairs.filter(|(name, _)| name.trim() == "dest");
        let number = named.next().and_then(|(_, number)| digits(number.trim()));
        let number = number.ok_or("no dest in X-Envelope")?;
        let destination = match &self.numbers {
            None => DestinationId(number),
            Some(known) => *known.get(&number).ok_or("unknown dest")?,
        };
        Ok(Message {
            origin: Origin::Platform,
            identity: identity.to_vec(),
            idempotency_key: idempotency_key.map(<[u8]>::to_vec),
            class: ClassId(class),
            destination,
            expires_ms: now_ms
                + i64::try_from(budget).map_or(LONGEST_BUDGET_MS, |b| b.min(LONGEST_BUDGET_MS)),
            attributes: Vec::new(),
            body: body.to_vec(),
        })
    }
}

/// A number as the protocol writes it: digits alone, where Rust would read a sign as well.
fn digits(text: &str) -> Option<u64> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())?
}

fn is_plain(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(u8::is_ascii_graphic)
}

/// The head and the body of a leg.
pub fn encode_attempt<'a>(
    message: &'a Message,
    address: &str,
    budget_ms: u64,
) -> (Vec<u8>, Cow<'a, [u8]>) {
    let mut head = format!("POST /receive HTTP/1.1\r\nHost: {address}\r\nX-Call-Id: ").into_bytes();
    head.extend(&message.identity);
    if let Some(key) = &message.idempotency_key {
        head.extend(b"\r\nIdempotency-Key: ");
        head.extend(key);
    }
    let len = message.body.len();
    head.extend(
        format!("\r\nX-Budget-Ms: {budget_ms}\r\nContent-Length: {len}\r\n\r\n").into_bytes(),
    );
    (head, Cow::Borrowed(&message.body))
}

/// The protocol's table of outcomes: what an answer says of its leg.
pub fn judge(read: &Response<'_>) -> Ended {
    let (outcome, disposition) = match read.status {
        200 => (Outcome::Delivered, Disposition::Undecided),
        503 if read.fields.get("x-no-slot").is_some() => (Outcome::NotSent, Disposition::Undecided),
        429 | 503 => (
            Outcome::Rejected {
                retry_after: told_wait(read),
            },
            Disposition::Undecided,
        ),
        504 => (Outcome::NotSent, Disposition::Undecided),
        410 => (Outcome::NotSent, Disposition::Complete),
        _ => (Outcome::Error, Disposition::Undecided),
    };
    let report = read
        .fields
        .text("x-load-report")
        .map(report)
        .unwrap_or_default();
    Ended {
        outcome,
        disposition,
        report,
    }
}

/// The notice of how a message ended, as one line.
pub fn notice(identity: &[u8], end: FinalOutcome) -> String {
    let id = serde_json::Value::from(String::from_utf8_lossy(identity));
    let mut line = format!("{{\"id\":{id},\"state\":");
    let _ = match end {
        FinalOutcome::Returned {
            retry_after_ms: after,
        } => {
            writeln!(line, "\"returned\",\"after_ms\":{after}}}")
        }
        FinalOutcome::Delivered | FinalOutcome::Failed | FinalOutcome::Expired => {
            writeln!(line, "\"failed\"}}")
        }
    };
    line
}
