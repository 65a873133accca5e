//! Decides, for a courier of outbound messages, what to send where and when.
//!
//! A [`Courier`] takes batches of [`Event`]s and answers each with [`Action`]s. It has no clock, no network
//! and no threads: time enters as the `now` of a batch, randomness as the seed given at its start, so the
//! same events always bring the same actions.
//!
//! ```
//! use marblefall_scheduler::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         worth: 1.0,
//!         promise: Span::from_ms(2_000.0),
//!         give_up: Span::from_ms(16_000.0),
//!         late_value: 0.3,
//!         effect: Effect::Pure,
//!         ordered: false,
//!     }],
//!     kinds: vec![Kind { apart: false, per_call: 1 }],
//!     caps: Caps { slots: 8, max_open: 100, max_attempts: 6, ..Caps::default() },
//!     couriers: 1,
//!     ..Settings::default()
//! };
//! let mut courier = Courier::new(settings, 42);
//!
//! let list = Event::Listed(vec![Entry {
//!     endpoint: EndpointId(0),
//!     destination: DestinationId(7),
//!     kind: KindId(0),
//!     zone: ZoneId(0),
//!     listing: Listing::On,
//!     share: 1.0,
//!     weight: None,
//! }]);
//! let message = Event::Accepted(Handed {
//!     message: MessageId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     key: None,
//!     expires: Time::from_ms(16_000.0),
//!     destination: DestinationId(7),
//! });
//!
//! let mut actions = Vec::new();
//! courier.handle(Time::from_ms(0.0), &[list, message], &mut actions);
//! assert!(matches!(actions[0], Action::Send { message: MessageId(1), endpoint: EndpointId(0), .. }));
//! ```
//!
//! # What the embedding courier guarantees
//!
//! - `now` never falls, and the events of a batch stand in the order in which they came.
//! - Each [`Action::Send`] brings exactly one [`Event::Closed`], also after the message is over; it is
//!   abandoned at `cut_at` at the latest. Attempts are numbered 0, 1, 2 ... in the order of the sends.
//! - A delivery is passed to the client by the courier and reported with `last` set.
//! - Each [`Action::Wake`] brings one [`Event::Due`], in a later batch. [`Action::Cancel`] hurries an
//!   outcome and does not replace it.
//! - A [`MessageId`] is never used twice, and sends of one batch to one endpoint travel as one call where
//!   its [`Kind::per_call`] is above 1.
//!
//! # What it may rely on
//!
//! - Every accepted message is ended once: by a delivery, [`Action::Refuse`] or [`Action::Fail`].
//! - Late or repeated outcomes, stale timers, unknown messages and endpoints, and settings with zeros or
//!   absent parts never make it panic. Contradictory settings have a safe reading: without slots nothing
//!   is sent and each message is answered before its time; a message of a class that does not exist fails
//!   at once; an unknown kind is one without routes apart or shared calls; an unknown zone has no fee.
//! - Two couriers share nothing.

mod allowance;
mod choice;
mod held;
mod interface;
mod limits;
pub mod recovery;

pub use choice::Courier;
pub use interface::*;
