//! Handles input lines: batch boundaries, endpoint lists and messages to instances.

use crate::endpoint_lists::EndpointLists;
use crate::error::ProtocolError;
use crate::instances::Instances;
use crate::messages::{Message, MessageKind};
use crate::replies::write_batch_end;
use load_balancer::Time;
use serde_json::Value;

/// State of the batch after a line.
pub enum LineOutcome {
    /// The batch continues.
    BatchOpen,
    /// The batch has ended and its reply is complete.
    BatchEnded,
}

/// The simulated proxies of this process and the endpoint lists that they share.
#[derive(Default)]
pub struct Host {
    instances: Instances,
    endpoint_lists: EndpointLists,
    /// Simulated time of the current batch; `None` between batches.
    now: Option<Time>,
}

impl Host {
    /// Handles one line and appends the resulting output lines to `reply`.
    pub fn handle_line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<LineOutcome, ProtocolError> {
        let line: Value = serde_json::from_str(line).map_err(ProtocolError::NotJson)?;
        let message = Message::parse(&line)?;
        if message.kind == MessageKind::BatchStarted {
            let [clock] = message.fields();
            self.now = Some(Time(clock.unsigned_integer("the clock in microseconds")?));
            return Ok(LineOutcome::BatchOpen);
        }
        let now = self.now.ok_or(ProtocolError::OutsideBatch { message: message.name })?;
        match message.kind {
            MessageKind::BatchEnded => {
                self.now = None;
                write_batch_end(reply);
                return Ok(LineOutcome::BatchEnded);
            }
            MessageKind::ListEntries => self.endpoint_lists.replace(&message)?,
            MessageKind::InstanceCreated => self.instances.create(&message, reply)?,
            MessageKind::InstanceKilled => self.instances.kill(&message)?,
            _ => self.instances.handle(now, &message, &self.endpoint_lists, reply)?,
        }
        Ok(LineOutcome::BatchOpen)
    }
}
