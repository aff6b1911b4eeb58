package org.magnolialead.api.message;

/**
 * Report of an owner about one of its groups, sent with each heartbeat.
 *
 * @param group name of the group
 * @param ownerEpoch epoch under which the daemon owns it
 * @param released whether the daemon has finished all work of the group and releases it
 * @param reachableMembers number of members that answered recently
 */
public record OwnedGroupReport(String group, long ownerEpoch, boolean released, int reachableMembers) {
}
