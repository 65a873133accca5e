//! The settings of the processes of a run.

use crate::plan::{Plan, ProcessLimits};
use crate::record::{Class, DEDUPLICATION_WINDOW_MS};

/// Returns the settings of a process as JSON, with the field names of the configuration file.
pub fn settings(process: usize, processes: usize, plan: &Plan) -> String {
    let rate = plan.rate();
    let ProcessLimits {
        slots, max_open, ..
    } = plan.limits;
    let [idempotent, keyed, non_idempotent] = [
        class(Class::Idempotent, "pure", 1.0),
        class(Class::Keyed, "token", 2.0),
        class(Class::NonIdempotent, "side_effect", 4.0),
    ];
    format!(
        r#"{{"caps":{{"conn_idle_ms":5000.0,"dial_timeout_ms":800.0,"max_attempts":8,"max_open":{max_open},
        "max_retry_after_ms":3000.0,"may_cancel":true,"retry_after":true,"streams_per_conn":1}},
        "classes":[{idempotent},{keyed},{non_idempotent}],
        "domain":{{"kind_apart":[false],"late":"line","per_call":[1],"toll":[0.0],"workers":{slots}}},
        "host_types":["clinic"],"my_number":{process},"peers_total":{processes},
        "rules":{{"answer_slack_ms":20.0,"cold_from":0.27,"cold_ms":10000.0,"fall_multiple":1.5,
        "stop_sending_within_ms":250.0,"tip_after_ms":2000.0}},
        "tick_ms":5.0,"weights":"nominal","zones":["a"],"rate":{rate}}}"#
    )
}

fn class(class: Class, effect: &str, importance: f64) -> String {
    format!(
        r#"{{"dedup_scope":"all","effect":"{effect}","give_up_ms":3000.0,"importance":{importance},"late_value":0.2,
        "name":"{}","promise_ms":1000.0,"window_ms":{DEDUPLICATION_WINDOW_MS}.0}}"#,
        class.name()
    )
}
