//! Structured log lines: one JSON object per event on standard error.

use std::io::Write;
use std::time::SystemTime;

use log::kv;

/// Levels that the log accepts.
pub const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Error of a second call to [`start`] in one process.
#[derive(Debug, thiserror::Error)]
#[error("logging was started before: {0}")]
pub struct StartError(#[from] log::SetLoggerError);

/// Collects the key-value pairs of a record.
#[derive(Default)]
struct Pairs(serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging for this process at the given level, such as `info`.
///
/// Each line is a JSON object with `time`, `level`, `host`, `module`,
/// `message` and the event's own fields, such as `request_id`.
///
/// # Errors
/// Fails if logging was started before.
pub fn start(level: &str, host: &str) -> Result<(), StartError> {
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    let host = host.to_owned();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("pistachiomoor", level)
        .format(move |out, message, record| {
            let line = render(&host, &message.to_string(), record);
            out.finish(format_args!("{line}"));
        })
        .chain(Box::new(std::io::stderr()) as Box<dyn Write + Send>)
        .apply()?;
    Ok(())
}

fn render(host: &str, message: &str, record: &log::Record<'_>) -> serde_json::Value {
    let mut pairs = Pairs::default();
    // Collecting pairs can't fail: the visitor returns no error.
    let _ = record.key_values().visit(&mut pairs);
    let mut line = pairs.0;
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    line.insert("time".to_owned(), time.to_string().into());
    line.insert(
        "level".to_owned(),
        record.level().as_str().to_lowercase().into(),
    );
    line.insert("host".to_owned(), host.into());
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), message.into());
    line.into()
}
