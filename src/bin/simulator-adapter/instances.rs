//! The simulated proxies, each with its own balancer.

use crate::endpoint_lists::EndpointLists;
use crate::error::ProtocolError;
use crate::events;
use crate::messages::Message;
use crate::replies::{write_action, write_invalid_settings};
use load_balancer::wire::names::Names;
use load_balancer::wire::settings::{self, SettingsDocument};
use load_balancer::wire::WireError;
use load_balancer::{Action, Balancer, Time};
use serde_json::Value;
use std::collections::HashMap;

const INSTANCE_NAME_PREFIX: &str = "proxy-";

/// A simulated proxy.
enum Instance {
    Running(Box<RunningInstance>),
    /// The settings were rejected; messages to the instance are ignored.
    InvalidSettings,
}

struct RunningInstance {
    balancer: Balancer,
    names: Names,
}

impl RunningInstance {
    fn new(settings: &Value, seed: u64) -> Result<RunningInstance, WireError> {
        let SettingsDocument { config, names, .. } = SettingsDocument::from_value(settings)?;
        let balancer = Balancer::new(config, seed).map_err(|error| settings::config_error(&error))?;
        Ok(RunningInstance { balancer, names })
    }
}

/// All instances, by name.
#[derive(Default)]
pub struct Instances {
    by_name: HashMap<String, Instance>,
    /// Buffer for the actions of one event, kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Instances {
    /// Creates an instance. Invalid settings are reported in the reply and do not end the adapter.
    pub fn create(&mut self, message: &Message, reply: &mut Vec<u8>) -> Result<(), ProtocolError> {
        let [name_field, seed, settings] = message.fields();
        let name = name_field.instance()?;
        if !is_instance_name(name) {
            return Err(name_field.unexpected("an instance name such as proxy-3"));
        }
        let instance = match RunningInstance::new(settings.value, seed.unsigned_integer("a seed")?) {
            Ok(running) => Instance::Running(Box::new(running)),
            Err(error) => {
                eprintln!("simulator-adapter: invalid settings of {name}: {error}");
                write_invalid_settings(reply, name, &error);
                Instance::InvalidSettings
            }
        };
        self.by_name.insert(name.into(), instance);
        Ok(())
    }

    /// Removes an instance and its state.
    pub fn kill(&mut self, message: &Message) -> Result<(), ProtocolError> {
        let [name] = message.fields();
        let removed = self.by_name.remove(name.instance()?);
        removed.map(drop).ok_or_else(|| name.unexpected("a known instance"))
    }

    /// Passes a message to the instance that it names and appends the resulting actions to the reply.
    pub fn handle(
        &mut self, now: Time, message: &Message, endpoint_lists: &EndpointLists, reply: &mut Vec<u8>,
    ) -> Result<(), ProtocolError> {
        let name_field = message.field(0);
        let name = name_field.instance()?;
        let instance = self.by_name.get_mut(name);
        let instance = instance.ok_or_else(|| name_field.unexpected("a known instance"))?;
        let Instance::Running(running) = instance else { return Ok(()) };
        let Some(event) = events::decode(message, &running.names, endpoint_lists)? else { return Ok(()) };
        running.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(reply, name, endpoint_lists, &action);
        }
        Ok(())
    }
}

fn is_instance_name(name: &str) -> bool {
    name.strip_prefix(INSTANCE_NAME_PREFIX).is_some_and(|number| number.parse::<u64>().is_ok())
}
