package org.magnolialead.api.message;

import java.util.List;
import java.util.Map;

import org.magnolialead.api.FleetView;

/**
 * State of a control daemon.
 *
 * @param daemon name of the control daemon
 * @param leader whether it is the leader and its authority has not expired
 * @param leaderAddress peer address of the leader if known, otherwise an empty string
 * @param term consensus term
 * @param commitIndex index of the last committed command
 * @param appliedIndex index of the last applied command
 * @param voters names of the voting control members
 * @param view fleet view of this control daemon
 * @param daemonVersions view version that each daemon with a lease has confirmed; empty
 * unless leader
 */
public record ViewAnswer(String daemon, boolean leader, String leaderAddress, long term, long commitIndex,
		long appliedIndex, List<String> voters, FleetView view, Map<String, Long> daemonVersions) {
}
