//! Links to a relay.

use super::Fake;
use relay::Relay;
use relay::peer::{self, Frame};
use std::net::SocketAddr;
use std::sync::Arc;

/// Opens a link to a relay, as another process does.
pub(crate) async fn open(relay: &Arc<Relay<Fake>>) -> (wire::Sender<Frame>, wire::Receiver<Frame>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let key = wire::Key::new("key");
    let listener = wire::Listener::bind(any, key.clone()).await.expect("bound");
    let address = listener.address().expect("bound");
    tokio::spawn(peer::serve(relay.clone(), listener));
    wire::connect(address, &key).await.expect("linked")
}
