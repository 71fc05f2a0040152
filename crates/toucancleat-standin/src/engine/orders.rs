//! Orders that change the models, adapters and role of an engine.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::records::OrderRecord;

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Order {
    order: OrderKind,
    name: Option<String>,
    version: Option<String>,
    role: Option<String>,
    fencing_number: u64,
    order_id: String,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    LoadModel,
    LoadAdapter,
    SetRole,
    Unload,
}

impl OrderKind {
    fn as_str(self) -> &'static str {
        match self {
            OrderKind::LoadModel => "load_model",
            OrderKind::LoadAdapter => "load_adapter",
            OrderKind::SetRole => "set_role",
            OrderKind::Unload => "unload",
        }
    }
}

/// Loaded models and adapters, role and fencing number: the body of
/// `GET /v1/orders/state`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct OrderState {
    /// Versions by model.
    pub(super) models: IndexMap<String, String>,
    /// Versions by adapter.
    pub(super) adapters: IndexMap<String, String>,
    pub(super) role: String,
    pub(super) fencing_number: u64,
}

impl OrderState {
    /// Executes an order. If fencing is checked and its number is stale, the error is the
    /// current fencing number.
    pub(super) fn apply(
        &mut self,
        order: &Order,
        checks_fencing: bool,
    ) -> Result<(), u64> {
        if checks_fencing && order.fencing_number < self.fencing_number {
            return Err(self.fencing_number);
        }
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        let name = order.name.clone().unwrap_or_default();
        let version = order.version.clone().unwrap_or_default();
        match order.order {
            OrderKind::LoadModel => {
                self.models.insert(name, version);
            }
            OrderKind::LoadAdapter => {
                self.adapters.insert(name, version);
            }
            OrderKind::SetRole => self.role = order.role.clone().unwrap_or_default(),
            OrderKind::Unload => {
                self.models.shift_remove(&name);
                self.adapters.shift_remove(&name);
            }
        }
        Ok(())
    }
}

impl Order {
    /// Returns the record of the order.
    pub(super) fn record(&self, arrived_unix_ms: u64, accepted: bool) -> OrderRecord {
        OrderRecord {
            order_id: self.order_id.clone(),
            order: self.order.as_str().to_owned(),
            name: self.name.clone(),
            version: self.version.clone(),
            role: self.role.clone(),
            fencing_number: self.fencing_number,
            arrived_unix_ms,
            accepted,
        }
    }
}
