//! Golden files pin every format that outlives one build: messages between VMs, stored records, settings and metrics.
//!
//! `MASTIC_WRITE_GOLDEN=1 cargo test --lib golden` writes files that are missing; it never overwrites one.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

mod sample;
mod tests;

/// The path of a golden file.
fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// The content of a golden file.
pub fn read(name: &str) -> String {
    let path = path(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Compares a text with a golden file.
pub fn check_text(name: &str, text: &str) {
    if env::var_os("MASTIC_WRITE_GOLDEN").is_some() && !path(name).exists() {
        fs::create_dir_all(path(name).parent().expect("below a folder"))
            .expect("folder is writable");
        fs::write(path(name), text).expect("folder is writable");
    }
    let golden = read(name);
    let first = golden.lines().zip(text.lines()).position(|(golden, new)| golden != new);
    if let Some(line) = first {
        let (old, new) = (golden.lines().nth(line), text.lines().nth(line));
        panic!("{name}, line {}: expected\n{old:?}, found\n{new:?}", line + 1);
    }
    assert_eq!(golden.lines().count(), text.lines().count(), "{name}: number of lines");
}

/// Pins a type's CBOR: samples of it encode to the golden bytes, and the golden bytes decode to values that encode to them.
pub fn check_cbor<T: Serialize + DeserializeOwned>(name: &str) {
    let lines: Vec<String> = sample::all::<T>(false).iter().map(cbor).collect();
    check_text(&format!("cbor/{name}.txt"), &(lines.join("\n") + "\n"));
    check_decoding::<T>(name);
}

/// Checks that golden bytes decode to values that encode to them.
pub fn check_decoding<T: Serialize + DeserializeOwned>(name: &str) {
    let file = format!("cbor/{name}.txt");
    for (number, line) in read(&file).lines().enumerate() {
        let bytes = hex::decode(line).expect("golden files are hexadecimal");
        let value: T = ciborium::from_reader(bytes.as_slice())
            .unwrap_or_else(|error| panic!("{file}, line {}: {error}", number + 1));
        assert_eq!(cbor(&value), line, "{file}, line {}", number + 1);
    }
}

fn cbor<T: Serialize>(value: &T) -> String {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    hex::encode(bytes)
}

/// Pins a type's JSON in the same way.
pub fn check_json<T: Serialize + DeserializeOwned>(name: &str) {
    let encode = |value: &T| serde_json::to_string(value).expect("plain data always encodes");
    let lines: Vec<String> = sample::all::<T>(true).iter().map(encode).collect();
    let file = format!("json/{name}.txt");
    check_text(&file, &(lines.join("\n") + "\n"));
    for (number, line) in read(&file).lines().enumerate() {
        let value: T = serde_json::from_str(line)
            .unwrap_or_else(|error| panic!("{file}, line {}: {error}", number + 1));
        assert_eq!(encode(&value), line, "{file}, line {}", number + 1);
    }
}
