//! The thread of the control state.

use chervilshunt_mesh::Inbound;
use tokio::sync::mpsc;
use xtra::prelude::*;

use crate::error::StartError;

/// Runs what `make` gives on a thread of its own, apart from all traffic.
///
/// # Errors
/// Fails if the system gives no thread.
pub fn on_control_thread<F>(make: impl FnOnce() -> F + Send + 'static) -> Result<(), StartError>
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(async move { make().await }))?;
    Ok(())
}

/// Hands what peers send to the control actor, in its order.
///
/// It doesn't wait until a message has been taken in, only for room in the mailbox: with a change of
/// threads and back for each message, an instance that hears of hundreds of others did little else.
pub fn forward<A, T, M>(
    mut inbound: mpsc::Receiver<Inbound<M>>,
    control: Address<A>,
    wrap: fn(Inbound<M>) -> T,
) where
    A: Handler<T>,
    T: Send + 'static,
    M: Send + 'static,
{
    tokio::spawn(async move {
        while let Some(message) = inbound.recv().await {
            if control.send(wrap(message)).detach().await.is_err() {
                return;
            }
        }
    });
}
