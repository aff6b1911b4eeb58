package org.magnolialead.engine.consensus;

import java.io.ByteArrayOutputStream;

import org.magnolialead.api.message.ConsensusMessage.SnapshotRequest;

/**
 * Assembles a snapshot from the parts that one leader sends.
 */
final class SnapshotAssembly {

	private final long leaderTerm;

	private final long lastIndex;

	private final ByteArrayOutputStream data = new ByteArrayOutputStream();

	SnapshotAssembly(SnapshotRequest first) {
		this.leaderTerm = first.term();
		this.lastIndex = first.lastIndex();
	}

	boolean isContinuedBy(SnapshotRequest request) {
		return request.term() == this.leaderTerm && request.lastIndex() == this.lastIndex;
	}

	/**
	 * Adds a part if it is the next one.
	 * @param request the part
	 * @return whether the snapshot is complete
	 */
	boolean add(SnapshotRequest request) {
		if (request.offset() != this.data.size()) {
			return false;
		}
		this.data.writeBytes(request.data());
		return request.last();
	}

	long nextOffset() {
		return this.data.size();
	}

	byte[] data() {
		return this.data.toByteArray();
	}

}
