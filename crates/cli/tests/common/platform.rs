//! The platform round one instance: discovery with its notices, the configuration, and a client.

use super::shim::Shim;
use super::{post, text, Act, Arc, Folder, Message, Mutex, Program, SocketAddr, StandIn};
use marblefall_fault_plan::Fault;
use std::cell::Cell;

/// Discovery with its watch and notices; the first notices are not taken.
pub struct Discovery {
    pub server: StandIn,
    pub lines: Arc<Mutex<Vec<u8>>>,
    pub told: Arc<Mutex<Vec<String>>>,
    /// The whole list, for who asks for it; nobody is answered while it is empty.
    pub list: Arc<Mutex<String>>,
}

impl Discovery {
    pub fn start(refusals: usize) -> Discovery {
        let (lines, told) = (
            Arc::<Mutex<Vec<u8>>>::default(),
            Arc::<Mutex<Vec<String>>>::default(),
        );
        let list = Arc::<Mutex<String>>::default();
        let (stream, notices, left) = (lines.clone(), told.clone(), Mutex::new(refusals));
        let whole = list.clone();
        let server = StandIn::start(move |message| {
            if message
                .first
                .starts_with("GET /v1/endpoints?follow=1&since=")
            {
                return Act::Stream(stream.clone());
            }
            if message.first == "GET /v1/endpoints HTTP/1.1" {
                let list = whole.lock().unwrap().clone();
                return if list.is_empty() {
                    Act::Drop
                } else {
                    Act::Body(list)
                };
            }
            assert_eq!(message.first, "POST /status HTTP/1.1");
            let mut left = left.lock().unwrap();
            if *left > 0 {
                *left -= 1;
                return Act::Drop;
            }
            notices
                .lock()
                .unwrap()
                .push(String::from_utf8(message.body.clone()).unwrap());
            Act::Answer(204, String::new())
        });
        Discovery {
            server,
            lines,
            told,
            list,
        }
    }

    pub fn told(&self) -> String {
        self.told.lock().unwrap().concat()
    }
}

pub fn member(at: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"s-1","host_port":"{at}","locality":"a","flavor":"clinic","cell":3,"phase":"{phase}","size":4.0,"up_since_ms":0}}"#
    )
}

pub const SETTINGS: &str = r#"{"caps":{"conn_idle_ms":10000.0,"dial_timeout_ms":500.0,"max_attempts":8,"max_open":40,
    "max_retry_after_ms":3000.0,"may_cancel":true,"retry_after":true,"streams_per_conn":1},
    "classes":[{"dedup_scope":"all","effect":"token","give_up_ms":24000.0,"importance":1.0,"late_value":0.3,
    "name":"refill-order","promise_ms":2500.0,"window_ms":WINDOW},{"dedup_scope":"all","effect":"pure",
    "give_up_ms":20000.0,"importance":2.0,"late_value":0.1,"name":"refill-status","promise_ms":1000.0}],
    "domain":{"kind_apart":[false],"late":"line","per_call":[1],"toll":[0.0],"workers":9},
    "host_types":["clinic"],"peers_total":1,"rules":{"cold_from":0.27,"cold_ms":10000.0,"fall_multiple":1.5,
    "tip_after_ms":2000.0},"tick_ms":5.0,"weights":"rough","zones":["a"]}"#;

pub struct Site {
    pub folder: Folder,
    pub discovery: Discovery,
    pub endpoint: SocketAddr,
    window_ms: String,
    /// Where processes listen for clients: a port that the system picks for the first, which its successors share.
    pub listen: Cell<SocketAddr>,
}

impl Site {
    pub fn new(name: &str, endpoint: SocketAddr, window_ms: &str, refusals: usize) -> Site {
        let (folder, discovery) = (Folder::new(name), Discovery::start(refusals));
        let listen = Cell::new(SocketAddr::from(([127, 0, 0, 1], 0)));
        let site = Site {
            folder,
            discovery,
            endpoint,
            window_ms: window_ms.to_owned(),
            listen,
        };
        site.configure(&site.discovery);
        site
    }

    /// Writes the configuration, with discovery at some place.
    pub fn configure(&self, discovery: &Discovery) {
        let settings = SETTINGS.replace("WINDOW", &self.window_ms);
        let config = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3}},
            "known":{{"revision":41,"complete":true,"members":[{}]}},"settings":{settings}}}"#,
            self.listen.get(),
            discovery.server.at,
            member(self.endpoint, "SERVING"),
        );
        self.folder.file("config.json", &config);
    }

    pub fn start(&self) -> Program {
        self.start_with(&[])
    }

    /// Starts a process whose system calls fail as a plan has it.
    pub fn start_under(&self, faults: &[Fault]) -> (Program, Shim) {
        let shim = Shim::new(&self.folder, "shim", &self.folder.0.join("state"), faults);
        let program = self.start_with(&shim.env());
        (program, shim)
    }

    fn start_with(&self, more: &[(&str, &str)]) -> Program {
        let (config, state) = (
            self.folder.0.join("config.json"),
            self.folder.0.join("state"),
        );
        // The environment keeps naming the first address, whatever the file says later.
        let at = self.discovery.server.at.to_string();
        let mut env = vec![
            ("RELAY_CONFIG", text(&config)),
            ("RELAY_STATE", text(&state)),
            ("RELAY_DISCOVERY", at.as_str()),
        ];
        env.extend(more);
        Program::start(&[], &env)
    }
}

pub const MARKER: &str = "listens at ";

pub fn hand(to: SocketAddr, id: &str, class: &str, budget: &str) -> Option<Message> {
    let fields = [
        ("X-Call-Id", id),
        ("X-Call-Class", class),
        ("X-Budget-Ms", budget),
        ("X-Envelope", "dest=3"),
        ("Idempotency-Key", &format!("key-of-{id}")),
    ];
    post(to, "/api", &fields, b"two boxes\0\xff")
}

impl Site {
    /// Starts a process whose address its successors share.
    pub fn first(&self) -> (Program, SocketAddr) {
        let program = self.start();
        let at = program.address(MARKER, 0);
        self.listen.set(at);
        self.configure(&self.discovery);
        (program, at)
    }

    /// Starts a process beside those that run, and waits until it listens.
    pub fn beside(&self) -> Program {
        let program = self.start();
        program.address(MARKER, 0);
        program
    }
}
