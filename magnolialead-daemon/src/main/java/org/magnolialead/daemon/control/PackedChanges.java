package org.magnolialead.daemon.control;

import java.util.LinkedHashMap;
import java.util.Map;

import org.magnolialead.api.FleetViewChange;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.transport.peer.ViewChangePacker;

/**
 * Packs changes of the fleet view with a configuration, which is the largest part of most
 * changes. All daemons of a fleet ask for the same few changes, so the latest ones are
 * kept. Thread-safe.
 */
final class PackedChanges {

	private static final int MAXIMUM_CHANGES = 8;

	private final ViewChangePacker packer = new ViewChangePacker();

	private final Map<Key, byte[]> latest = new LinkedHashMap<>();

	/**
	 * Packs the change of an answer if the daemon understands it and it has a
	 * configuration.
	 * @param request the heartbeat
	 * @param answer the answer
	 * @return the answer to send
	 */
	HeartbeatAnswer pack(HeartbeatRequest request, HeartbeatAnswer answer) {
		FleetViewChange change = answer.change();
		if (!request.acceptsPackedChange() || change == null || change.configuration() == null) {
			return answer;
		}
		return answer.withPackedChange(packed(change));
	}

	// The lock is held while a change is packed, so that it is packed once for all
	// daemons that wait for it.
	private synchronized byte[] packed(FleetViewChange change) {
		Key key = new Key(change.fromVersion(), change.toVersion(), change.complete(), change.latestVersion());
		byte[] known = this.latest.get(key);
		if (known != null) {
			return known;
		}
		byte[] packed = this.packer.pack(change.withoutDocument());
		this.latest.put(key, packed);
		if (this.latest.size() > MAXIMUM_CHANGES) {
			this.latest.remove(this.latest.keySet().iterator().next());
		}
		return packed;
	}

	private record Key(long fromVersion, long toVersion, boolean complete, long latestVersion) {
	}

}
