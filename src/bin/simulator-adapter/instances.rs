//! The proxies that the simulator has created, each with its balancer.

use crate::error::ProtocolError;
use crate::events;
use crate::messages::Message;
use crate::replies::{write_action, write_broken_settings};
use crate::rosters::Rosters;
use load_balancer::wire::names::Names;
use load_balancer::wire::settings::{self, SettingsMessage};
use load_balancer::wire::WireError;
use load_balancer::{Action, Balancer, Time};
use serde_json::Value;
use std::collections::HashMap;

const INSTANCE_NAME_PREFIX: &str = "proxy-";

/// A created proxy.
enum Instance {
    Running(Box<RunningInstance>),
    /// Its settings were refused; it takes no events.
    Broken,
}

struct RunningInstance {
    balancer: Balancer,
    names: Names,
}

impl RunningInstance {
    fn new(settings: &Value, seed: u64) -> Result<RunningInstance, WireError> {
        let SettingsMessage { config, names, .. } = SettingsMessage::from_value(settings)?;
        let balancer = Balancer::new(config, seed).map_err(|error| settings::config_error(&error))?;
        Ok(RunningInstance { balancer, names })
    }
}

/// All instances by their names.
#[derive(Default)]
pub struct Instances {
    by_name: HashMap<String, Instance>,
    /// Reused from event to event.
    actions: Vec<Action>,
}

impl Instances {
    /// Creates an instance; settings that no balancer can go by are reported in the reply.
    pub fn create(&mut self, message: &Message, reply: &mut Vec<u8>) -> Result<(), ProtocolError> {
        let [name_field, seed, settings] = message.fields();
        let name = name_field.instance()?;
        if !is_instance_name(name) {
            return Err(name_field.unexpected("an instance such as proxy-3"));
        }
        let instance = match RunningInstance::new(settings.value, seed.whole_number("a seed")?) {
            Ok(running) => Instance::Running(Box::new(running)),
            Err(error) => {
                eprintln!("simulator-adapter: settings of {name}: {error}");
                write_broken_settings(reply, name, &error);
                Instance::Broken
            }
        };
        self.by_name.insert(name.into(), instance);
        Ok(())
    }

    /// Forgets an instance.
    pub fn kill(&mut self, message: &Message) -> Result<(), ProtocolError> {
        let [name] = message.fields();
        let removed = self.by_name.remove(name.instance()?);
        removed.map(drop).ok_or_else(|| name.unexpected("a known instance"))
    }

    /// Passes a message to the instance that it names, and adds the actions that follow to the reply.
    pub fn handle(
        &mut self, now: Time, message: &Message, rosters: &Rosters, reply: &mut Vec<u8>,
    ) -> Result<(), ProtocolError> {
        let name_field = message.field(0);
        let name = name_field.instance()?;
        let instance = self.by_name.get_mut(name);
        let instance = instance.ok_or_else(|| name_field.unexpected("a known instance"))?;
        let Instance::Running(running) = instance else { return Ok(()) };
        let Some(event) = events::decode(message, &running.names, rosters)? else { return Ok(()) };
        running.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(reply, name, rosters, &action);
        }
        Ok(())
    }
}

fn is_instance_name(name: &str) -> bool {
    name.strip_prefix(INSTANCE_NAME_PREFIX).is_some_and(|number| number.parse::<u64>().is_ok())
}
