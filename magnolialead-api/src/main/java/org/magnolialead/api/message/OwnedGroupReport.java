package org.magnolialead.api.message;

/**
 * What an owner reports about one of its groups with each heartbeat.
 *
 * @param group name of the group
 * @param ownerEpoch epoch under which the daemon owns it
 * @param released whether the daemon has finished all work of the group and gives it up
 * @param reachableMembers number of members that answered recently
 */
public record OwnedGroupReport(String group, long ownerEpoch, boolean released, int reachableMembers) {
}
