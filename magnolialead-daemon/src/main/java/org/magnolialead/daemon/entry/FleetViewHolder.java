package org.magnolialead.daemon.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.FleetViewChange;

/**
 * Holds the current fleet view of this daemon. Readers get an immutable snapshot; a
 * single thread applies changes.
 */
public final class FleetViewHolder implements Supplier<FleetView> {

	private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.EMPTY);

	private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();

	@Override
	public FleetView get() {
		return this.view.get();
	}

	/**
	 * Adds a listener that is called after each change, on the thread that applies it.
	 * @param listener receives the new view
	 */
	public void addListener(Consumer<FleetView> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Applies a change and calls the listeners before it returns.
	 * @param change the change
	 * @return whether the view changed
	 * @throws IllegalArgumentException if the change does not apply to the current view
	 */
	synchronized boolean apply(FleetViewChange change) {
		FleetView before = this.view.get();
		FleetView after = before.with(change);
		if (after == before) {
			return false;
		}
		this.view.set(after);
		this.listeners.forEach((listener) -> listener.accept(after));
		return true;
	}

}
