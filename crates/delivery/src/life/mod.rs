//! A life of the process: how a new one comes up beside the old one, takes over, and how the old one ends. What is
//! done when is in `change`, free of I/O; `folder` keeps the marks by which lives know each other; `drive` acts.

pub mod change;
pub mod drive;
pub mod folder;
