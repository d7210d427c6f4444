//! Writes the actions of balancers as lines of a reply.
//!
//! Most lines are formatted without a JSON encoder, because instance names and backend addresses contain no
//! characters that JSON escapes. This is checked on input.

use crate::endpoint_lists::EndpointLists;
use load_balancer::wire::WireError;
use load_balancer::Action;
use serde_json::{json, Value};
use std::io::Write;

/// Writes the line that ends the reply to a batch.
pub fn write_batch_end(reply: &mut Vec<u8>) {
    write_line(reply, format_args!("[\"YIELD\"]"));
}

/// Reports that the settings of an instance are invalid.
pub fn write_invalid_settings(reply: &mut Vec<u8>, instance: &str, error: &WireError) {
    write_json(reply, &json!(["BROKEN", instance, format!("settings: {error}")]));
}

/// Writes the line for an action of a balancer.
pub fn write_action(reply: &mut Vec<u8>, instance: &str, endpoint_lists: &EndpointLists, action: &Action) {
    match action {
        Action::Dispatch { request, backend, .. } => {
            let address = endpoint_lists.address(*backend);
            let request = request.0;
            write_line(
                reply,
                format_args!("[\"HAND_OFF\",\"{instance}\",\"{request:016x}\",\"{address}\",0]"),
            );
        }
        Action::Reject { request } => {
            write_line(reply, format_args!("[\"BOUNCE\",\"{instance}\",\"{:016x}\",0]", request.0));
        }
        Action::Fail { request } => {
            write_line(reply, format_args!("[\"LOSE\",\"{instance}\",\"{:016x}\"]", request.0));
        }
        Action::CancelAttempt { request, attempt } => {
            let request = request.0;
            write_line(reply, format_args!("[\"RECALL\",\"{instance}\",\"{request:016x}\",{}]", attempt.0));
        }
        Action::SetTimer { token, delay } => {
            write_line(reply, format_args!("[\"AFTER\",\"{instance}\",{},{}]", token.0, delay.0));
        }
        Action::Resubscribe => write_line(reply, format_args!("[\"FOLLOW\",\"{instance}\",true]")),
        Action::Log(event) => write_json(reply, &json!(["WRITE_LOG", instance, event.to_string()])),
    }
}

fn write_json(reply: &mut Vec<u8>, line: &Value) {
    write_line(reply, format_args!("{line}"));
}

fn write_line(reply: &mut Vec<u8>, line: std::fmt::Arguments) {
    // Writing to a `Vec` cannot fail.
    let _ = writeln!(reply, "{line}");
}
