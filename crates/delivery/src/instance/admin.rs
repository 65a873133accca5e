//! What operators' calls do to an instance: whether it is ready, clients sent away, endpoints kept out by
//! hand. Which hosts are out lasts in the instance's folder, so that the next life of the process, beside
//! which this one may still run, keeps them out from its start.

use crate::core::engine::EngineEvent;
use crate::hot_restart::driver::HotRestartInstance;
use crate::log_line;
use crate::net::admin::{Call, Operators};
use crate::net::server::ClientConnections;
use async_channel::Sender;
use marblefall_atomic_file::{replace, Outlasts, Real};
use marblefall_scheduler::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file in the lasting folder: one id a line.
const FILE: &str = "held-out.txt";

/// Answers operators for one instance.
pub struct AdminState {
    clients: Rc<ClientConnections>,
    /// Where the engine hears of what is held out, ahead of other inputs.
    news: Sender<EngineEvent>,
    path: PathBuf,
    held: RefCell<BTreeSet<String>>,
    /// The endpoints that are listed now, by the module's numbers.
    listed: RefCell<BTreeMap<EndpointId, String>>,
    /// Whether the engine decides: before, nobody knows which hosts there are, and after, another process does.
    pub started: Cell<bool>,
}

impl AdminState {
    /// One for an instance whose lasting folder is `folder`. What an earlier life held out there is read once
    /// this one holds the folder: until then another life may still change it.
    pub fn new(
        clients: Rc<ClientConnections>,
        news: Sender<EngineEvent>,
        folder: &Path,
    ) -> AdminState {
        let path = folder.join(FILE);
        let (held, listed, started) = Default::default();
        AdminState {
            clients,
            news,
            path,
            held,
            listed,
            started,
        }
    }

    /// Reads what is held out, as the lives before left it, and tells the engine.
    pub fn reread(&self) {
        let held = match std::fs::read_to_string(&self.path) {
            Ok(text) => text
                .lines()
                .map(str::trim)
                .filter(|id| !id.is_empty())
                .map(String::from)
                .collect(),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => BTreeSet::new(),
            Err(error) => {
                log_line!(
                    code = "held-out-unread",
                    "{}: {error}; none held out",
                    self.path.display()
                );
                BTreeSet::new()
            }
        };
        let _ = self
            .news
            .try_send(EngineEvent::EndpointsDisabled(held.clone()));
        self.held.replace(held);
    }

    /// An endpoint is listed now.
    pub fn listed(&self, id: EndpointId, name: &str) {
        self.listed.borrow_mut().insert(id, name.to_owned());
    }

    /// An endpoint is no longer listed.
    pub fn gone(&self, id: EndpointId) {
        self.listed.borrow_mut().remove(&id);
    }

    fn hold(&self, id: &str, out: bool) -> u16 {
        if !self.started.get() {
            return 503;
        }
        let known = self.listed.borrow().values().any(|name| name == id);
        let mut held = self.held.borrow_mut();
        let changed = if out {
            known && held.insert(id.to_owned())
        } else {
            held.remove(id)
        };
        if !known && !changed {
            return 404;
        }
        if changed {
            let text: String = held.iter().map(|id| format!("{id}\n")).collect();
            if let Err(error) = replace(&Real, &self.path, text.as_bytes(), Outlasts::Process) {
                log_line!(
                    code = "held-out-unwritten",
                    "{}: {error}",
                    self.path.display()
                );
                // Undone, so that what is said and what lasts stay the same.
                if out {
                    held.remove(id);
                } else {
                    held.insert(id.to_owned());
                }
                return 503;
            }
            let _ = self
                .news
                .try_send(EngineEvent::EndpointsDisabled(held.clone()));
            log_line!(
                code = "held-out",
                "endpoint {id} {}",
                if out { "held out" } else { "let in" }
            );
        }
        200
    }
}

impl HotRestartInstance for AdminState {
    fn load_operator_state(&self) {
        self.reread();
    }

    fn is_active(&self) -> bool {
        self.started.get()
    }
}

impl Operators for AdminState {
    fn call(&self, call: Call<'_>) -> u16 {
        match call {
            // Operators can call only once clients are read: the listener for calls starts after theirs.
            Call::Ready if !self.clients.is_drained() => 200,
            Call::Ready => 503,
            Call::Disable(id) => self.hold(id, true),
            Call::Enable(id) => self.hold(id, false),
            Call::Drain => {
                self.clients.drain(true);
                log_line!(code = "drained", "clients are sent away");
                200
            }
            Call::Undrain => {
                self.clients.drain(false);
                log_line!(code = "undrained", "clients are taken again");
                200
            }
        }
    }
}
