//! Structured logs on standard output: one JSON object per line.

use {
    crate::settings::LogLevel,
    cardamomloom_core::error::{Error, io},
    log::{
        LevelFilter, Record,
        kv::{Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Result of installing the logger.
pub type Result<T> = std::result::Result<T, Error>;

/// Installs the logger of the process. `level` applies to the crates of this project; other crates
/// log warnings and errors only.
///
/// # Errors
///
/// Fails with kind `io` when a logger is already installed.
pub fn install(level: LogLevel) -> Result<()> {
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("cardamomloom_daemon", level.into())
        .level_for("cardamomloom_transport", level.into())
        .level_for("cardamomloom_coordination", level.into())
        .level_for("cardamomloom_platform", level.into())
        .format(|out, message, record| out.finish(format_args!("{}", to_json(message, record))))
        .chain(std::io::stdout())
        .apply()
        .map_err(|error| io(format!("logging: cannot install the logger: {error}")))
}

fn to_json(message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> serde_json::Value {
    let mut fields = Map::new();
    let time_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis());
    fields.insert("time_ms".to_owned(), json!(time_ms));
    fields.insert(
        "level".to_owned(),
        json!(record.level().as_str().to_ascii_lowercase()),
    );
    fields.insert("message".to_owned(), json!(message.to_string()));
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    serde_json::Value::Object(fields)
}

/// Adds the key-value pairs of a log record to a JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}
