//! The control thread, which runs the actor that owns the control state.

use chervilshunt_mesh::Inbound;
use tokio::sync::mpsc;
use xtra::prelude::*;

use crate::error::StartError;

/// Runs the future that `make` returns on a new thread with its own runtime, separate from traffic.
///
/// # Errors
/// Returns an error if the runtime or the thread can't be created.
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

/// Forwards messages of peers to the control actor, in the order in which they are received.
///
/// It waits only for room in the mailbox, not until the actor has handled a message: that would
/// take two context switches per message, which kept an instance with hundreds of peers mostly busy
/// switching threads.
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
