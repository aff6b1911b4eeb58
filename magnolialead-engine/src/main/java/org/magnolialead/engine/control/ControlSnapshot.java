package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.RequestRecord;

/**
 * Serializable copy of the control state.
 *
 * @param viewVersion version of the fleet view
 * @param configuration configuration in force
 * @param configurationChangedAt view version at which the configuration last changed
 * @param answers recorded answers to configuration changes, oldest first
 * @param nextAnswerSequence sequence number of the next answer
 * @param groups database groups
 * @param daemons registered daemons
 * @param removedDaemons latest removals of daemons
 * @param removedMembers latest removals of database members, or {@code null} in a
 * snapshot of an earlier version
 * @param ledgerTime time of the ledger in milliseconds since the Unix epoch
 * @param requests records of non-repeatable requests
 */
public record ControlSnapshot(long viewVersion, FleetConfiguration configuration, long configurationChangedAt,
		List<Answer> answers, long nextAnswerSequence, List<GroupView> groups, List<DaemonView> daemons,
		RemovedDaemons removedDaemons, RemovedMembers removedMembers, long ledgerTime, List<Request> requests) {

	/**
	 * Creates a snapshot of a state.
	 * @param state the state
	 * @return the snapshot
	 */
	public static ControlSnapshot of(ControlState state) {
		List<GroupView> groups = new ArrayList<>();
		state.groups().forEach((name, group) -> groups.add(group));
		List<DaemonView> daemons = new ArrayList<>();
		state.daemons().forEach((name, daemon) -> daemons.add(daemon));
		List<Request> requests = new ArrayList<>(state.ledger().size());
		state.ledger()
			.records()
			.forEach((name, request) -> requests
				.add(new Request(name.group(), name.key(), request.digest(), request.ownerEpoch(), request.finished(),
						request.answer(), request.forgetDeadline(), request.attempt())));
		return new ControlSnapshot(state.viewVersion(), state.configuration(), state.configurationChangedAt(),
				answersOf(state.answers()), state.answers().nextSequence(), groups, daemons, state.removedDaemons(),
				state.removedMembers(), state.ledger().time(), requests);
	}

	private static List<Answer> answersOf(RecordedAnswers recorded) {
		List<Answer> answers = new ArrayList<>();
		for (long sequence = Math.max(0, recorded.nextSequence() - RecordedAnswers.LIMIT); sequence < recorded
			.nextSequence(); sequence++) {
			String requestId = recorded.order().get(sequence);
			answers.add(new Answer(requestId, recorded.find(requestId)));
		}
		return answers;
	}

	/**
	 * Restores the state from this snapshot.
	 * @return the state
	 */
	public ControlState toState() {
		PersistentMap<String, GroupView> groupMap = PersistentMap.empty();
		for (GroupView group : this.groups) {
			groupMap = groupMap.with(group.group(), group);
		}
		PersistentMap<String, DaemonView> daemonMap = PersistentMap.empty();
		for (DaemonView daemon : this.daemons) {
			daemonMap = daemonMap.with(daemon.daemon(), daemon);
		}
		RecordedAnswers recorded = new RecordedAnswers(PersistentMap.empty(), PersistentMap.empty(),
				this.nextAnswerSequence - this.answers.size());
		for (Answer answer : this.answers) {
			recorded = recorded.with(answer.requestId(), answer.result());
		}
		Ledger ledger = Ledger.empty(this.ledgerTime);
		for (Request request : this.requests) {
			ledger = ledger.with(request.group(), request.toRecord());
		}
		return new ControlState(this.viewVersion, this.configuration, this.configurationChangedAt, recorded, groupMap,
				daemonMap, this.removedDaemons,
				(this.removedMembers != null) ? this.removedMembers : RemovedMembers.NONE, ledger);
	}

	/**
	 * Recorded answer to a configuration change.
	 *
	 * @param requestId identifier of the change
	 * @param result the answer
	 */
	public record Answer(String requestId, CommandResult result) {
	}

	/**
	 * Record of a non-repeatable request.
	 *
	 * @param group name of the group
	 * @param key idempotency key
	 * @param digest digest of the request
	 * @param ownerEpoch epoch of the owner that began it
	 * @param finished whether its execution has ended
	 * @param answer recorded answer, or {@code null}
	 * @param forgetDeadline ledger time in milliseconds since the Unix epoch after which
	 * the record is removed
	 * @param attempt number of the attempt
	 */
	public record Request(String group, String key, String digest, long ownerEpoch, boolean finished, byte[] answer,
			long forgetDeadline, long attempt) {

		RequestRecord toRecord() {
			return new RequestRecord(this.key, this.digest, this.ownerEpoch, this.attempt, this.finished, this.answer,
					this.forgetDeadline, false);
		}
	}
}
