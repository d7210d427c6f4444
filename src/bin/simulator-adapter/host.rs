//! One line of input after another: batches, endpoint lists, and messages to instances.

use crate::error::ProtocolError;
use crate::instances::Instances;
use crate::messages::{Message, MessageKind};
use crate::replies::write_batch_end;
use crate::rosters::Rosters;
use load_balancer::Time;
use serde_json::Value;

/// What a line has done to its batch.
pub enum LineOutcome {
    /// More lines follow.
    BatchOpen,
    /// The reply is complete.
    BatchEnded,
}

/// Everything that this process plays.
#[derive(Default)]
pub struct Host {
    instances: Instances,
    rosters: Rosters,
    /// The clock of the open batch.
    now: Option<Time>,
}

impl Host {
    /// Takes one line and adds what follows from it to the reply.
    pub fn handle_line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<LineOutcome, ProtocolError> {
        let line: Value = serde_json::from_str(line).map_err(ProtocolError::NotJson)?;
        let message = Message::parse(&line)?;
        if message.kind == MessageKind::BatchStarted {
            let [clock] = message.fields();
            self.now = Some(Time(clock.whole_number("the clock in microseconds")?));
            return Ok(LineOutcome::BatchOpen);
        }
        let now = self.now.ok_or(ProtocolError::OutsideBatch { message: message.name })?;
        match message.kind {
            MessageKind::BatchEnded => {
                self.now = None;
                write_batch_end(reply);
                return Ok(LineOutcome::BatchEnded);
            }
            MessageKind::ListEntries => self.rosters.replace(&message)?,
            MessageKind::InstanceCreated => self.instances.create(&message, reply)?,
            MessageKind::InstanceKilled => self.instances.kill(&message)?,
            _ => self.instances.handle(now, &message, &self.rosters, reply)?,
        }
        Ok(LineOutcome::BatchOpen)
    }
}
