package org.magnolialead.daemon.session;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetView;

/**
 * Peer addresses of the daemons that can relay connections to members: all others that
 * are not draining. Must be used on the serial executor only.
 */
final class RelayList {

	private final String daemon;

	private List<String> addresses = List.of();

	/**
	 * Creates an empty list.
	 * @param daemon name of this daemon
	 */
	RelayList(String daemon) {
		this.daemon = Objects.requireNonNull(daemon, "daemon must not be null");
	}

	void update(FleetView view) {
		this.addresses = view.daemons()
			.values()
			.stream()
			.filter((other) -> !other.daemon().equals(this.daemon) && !other.draining())
			.sorted(Comparator.comparing(DaemonView::daemon))
			.map(DaemonView::peerAddress)
			.toList();
	}

	List<String> addresses() {
		return this.addresses;
	}

	/**
	 * Returns the index of the relay to try first, modulo the number of relays. It is
	 * derived from the name of this daemon, so that daemons do not all use the same
	 * relay.
	 * @return the index, not negative
	 */
	int firstIndex() {
		return Math.floorMod(this.daemon.hashCode(), Short.MAX_VALUE);
	}

}
