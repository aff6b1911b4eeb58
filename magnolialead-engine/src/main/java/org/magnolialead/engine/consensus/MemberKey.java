package org.magnolialead.engine.consensus;

import java.util.List;

import org.magnolialead.api.message.ControlIdentity;

/**
 * Identity of a member without its address, which may change.
 *
 * @param name name of the control daemon
 * @param incarnation incarnation of its data folder
 */
record MemberKey(String name, String incarnation) {

	static MemberKey of(ControlIdentity identity) {
		return new MemberKey(identity.name(), identity.incarnation());
	}

	static boolean contains(List<ControlIdentity> members, ControlIdentity member) {
		return indexOf(members, member) >= 0;
	}

	static int indexOf(List<ControlIdentity> members, ControlIdentity member) {
		for (int index = 0; index < members.size(); index++) {
			if (members.get(index).isSameMember(member)) {
				return index;
			}
		}
		return -1;
	}

}
