//! Runs the command-line tool against a router's admin API over HTTP.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use chicorystage_borders::http::HttpServer;
use chicorystage_testbed::fakes::FakeTable;
use googletest::prelude::*;

use crate::tables::Router;
use crate::world::wait_ms;

/// Interval between two checks whether the router is ready, in milliseconds.
const READY_CHECK_INTERVAL_MS: u64 = 20;
const READY_CHECKS_MAX: u32 = 500;

/// A temporary directory that is removed with its files on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> Self {
        let name = format!("chicorystage-tool-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        // Best effort: a file left in the system's temporary directory is harmless.
        let _removed = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the tool with the given arguments and returns its exit status as digits.
async fn exit_status(config: &str, words: &str) -> String {
    let mut arguments = vec!["--config".to_owned(), config.to_owned()];
    arguments.extend(words.split_whitespace().map(str::to_owned));
    let code = tokio::task::spawn_blocking(move || chicorystage::cli::run(&arguments));
    let code = format!("{:?}", code.await.unwrap());
    code.chars().filter(char::is_ascii_digit).collect()
}

fn sample(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let path = root.join(format!("../../docs/samples/{name}.ini"));
    path.display().to_string()
}

#[gtest]
#[tokio::test]
async fn each_command_returns_its_exit_status() {
    let router = Router::start(Arc::new(FakeTable::new()), Arc::default());
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = server.address();
    let _running = server.start(router.admin_api());
    let directory = TempDirectory::new();
    directory.write("root.token", "root\n");
    let text = format!("[admin]\naddress = {address}\ntoken_file = root.token\n");
    let config = directory.write("tool.ini", &text);
    let bad_file = directory.write("bad.ini", "[rule moisture]\nreplicas_max = many\n");
    let no_token = directory.write("no_token.ini", &text.replace("root.token", "none"));
    let unreachable = directory.write(
        "gone.ini",
        &text.replace(&address.to_string(), "127.0.0.1:9"),
    );
    for _ in 0..READY_CHECKS_MAX {
        if exit_status(&config, "list").await == "0" {
            break;
        }
        wait_ms(READY_CHECK_INTERVAL_MS).await;
    }
    let inventory = sample("altiplano-inventory");
    let cases = [
        (
            format!("check-settings {}", sample("altiplano-router")),
            "0",
        ),
        (format!("check-settings {inventory}"), "2"),
        (format!("validate {inventory}"), "0"),
        (format!("validate {bad_file}"), "2"),
        (format!("apply {inventory} --yes --json"), "0"),
        (format!("apply {inventory} --yes"), "0"),
        (format!("diff {inventory}"), "0"),
        (format!("diff {bad_file}"), "2"),
        (
            "set rule/moisture replicas_max=3 --expect 1".to_owned(),
            "0",
        ),
        (
            "set rule/moisture replicas_max=4 --expect 1".to_owned(),
            "3",
        ),
        ("set rule/moisture replicas_max=many".to_owned(), "2"),
        ("set rule/nothing replicas_max=1".to_owned(), "2"),
        ("set rule/moisture owner=export".to_owned(), "2"),
        ("delete rule/moisture --expect 1".to_owned(), "3"),
        ("delete rule/moisture".to_owned(), "0"),
        ("delete moisture".to_owned(), "2"),
        ("list rule --ini".to_owned(), "0"),
        ("list rules".to_owned(), "1"),
        ("history --after 1 --limit 1".to_owned(), "0"),
        ("status --json".to_owned(), "0"),
        ("explain nothing".to_owned(), "1"),
        ("drain nobody".to_owned(), "1"),
        ("quarantine list".to_owned(), "0"),
        ("quarantine clear".to_owned(), "2"),
        ("quarantine clear --all".to_owned(), "0"),
        ("quarantine clear abc".to_owned(), "1"),
        ("nonsense".to_owned(), "2"),
        ("apply --help".to_owned(), "0"),
    ];
    for (words, status) in cases {
        expect_that!(exit_status(&config, &words).await, eq(status), "{words}");
    }
    expect_that!(exit_status(&no_token, "list").await, eq("2"));
    expect_that!(exit_status(&unreachable, "list").await, eq("1"));
    expect_that!(exit_status("/nonexistent.ini", "list").await, eq("2"));
}
