//! Golden tests of the file formats, which must stay readable by later versions.

use crate::golden;
use crate::store::frame;
use crate::store::frame::Salt;
use crate::store::identity::Identity;
use crate::store::record::Header;
use crate::store::record::Record;

#[test]
fn records_of_the_log() {
    golden::check_cbor::<Header>("log-header");
    golden::check_cbor::<Record>("log-record");
    golden::check_cbor::<Identity>("log-identity");
}

#[test]
fn frame_of_the_log() {
    let frame = frame::encode(b"payload", Salt::new(7, 3));
    golden::check_text("log-frame.txt", &hex::encode(frame));
}
