package org.magnolialead.engine.control;

import java.util.List;
import java.util.TreeMap;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;

/**
 * Splits a change of the fleet view into parts that fit into a frame of the peer
 * protocol. The records are split in the order of their versions, so that each part is a
 * valid change to an intermediate version.
 */
final class ViewChangeSplitter {

	/**
	 * Maximum size of the groups and daemons of a part in bytes. It is half of the
	 * maximum frame size, because the configuration and the names of removed daemons are
	 * added.
	 */
	static final int MAXIMUM_PART_BYTES = 512 * 1024;

	/** Size of the header and the numbers of an encoded record in bytes. */
	private static final int RECORD_BYTES = 48;

	/** Size of the header of an encoded string in bytes. */
	private static final int STRING_HEADER_BYTES = 3;

	private ViewChangeSplitter() {
	}

	/**
	 * Returns the version at which the next part ends.
	 * @param groups changed groups
	 * @param daemons changed daemons
	 * @param latestVersion version of the state
	 * @return the version of the last record that fits, at least that of the first
	 * record, or the latest version if all records fit
	 */
	static long endOfNextPart(List<GroupView> groups, List<DaemonView> daemons, long latestVersion) {
		TreeMap<Long, Integer> sizes = new TreeMap<>();
		groups.forEach((group) -> sizes.merge(group.version(), size(group), Integer::sum));
		daemons.forEach((daemon) -> sizes.merge(daemon.version(), size(daemon), Integer::sum));
		long bytes = 0;
		for (var entry : sizes.entrySet()) {
			bytes += entry.getValue();
			if (bytes > MAXIMUM_PART_BYTES) {
				Long last = sizes.lowerKey(entry.getKey());
				return (last != null) ? last : entry.getKey();
			}
		}
		return latestVersion;
	}

	private static int size(GroupView group) {
		int size = RECORD_BYTES + size(group.group()) + size(group.primary()) + size(group.candidate())
				+ size(group.owner());
		for (MemberDescription member : group.allMembers()) {
			size += RECORD_BYTES + size(member.group()) + 2 * size(member.member()) + size(member.address())
					+ size(member.availabilityZone());
		}
		return size;
	}

	private static int size(DaemonView daemon) {
		return RECORD_BYTES + size(daemon.daemon()) + size(daemon.incarnation()) + size(daemon.peerAddress())
				+ size(daemon.availabilityZone());
	}

	// Returns an upper bound of the encoded size in UTF-8.
	private static int size(String text) {
		int size = STRING_HEADER_BYTES;
		for (int position = 0; position < text.length(); position++) {
			char character = text.charAt(position);
			size += (character < 0x80) ? 1 : ((character < 0x800) ? 2 : 3);
		}
		return size;
	}

}
