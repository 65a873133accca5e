//! marblefall, a courier of outbound messages: a core that knows no wire, the network around it, and fronts
//! that translate between the two.

pub mod config;
pub mod core;
pub mod counters;
pub mod daemon;
pub mod front;
pub mod gate;
pub mod keep;
pub mod life;
pub mod log;
pub mod net;
pub mod operators;
pub mod seam;
