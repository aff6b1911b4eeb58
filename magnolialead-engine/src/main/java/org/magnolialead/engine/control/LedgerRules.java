package org.magnolialead.engine.control;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand.BeginRequest;
import org.magnolialead.api.command.ControlCommand.FinishRequest;
import org.magnolialead.api.command.RequestRecord;

/**
 * Applies commands on the records of non-repeatable requests.
 */
final class LedgerRules {

	/**
	 * Maximum size of a recorded answer in bytes. A larger answer is not recorded.
	 */
	static final int MAXIMUM_ANSWER_LENGTH = 1024;

	private LedgerRules() {
	}

	static ApplyResult begin(ControlState state, BeginRequest command) {
		NameChecks.requireValid("idempotency key", command.key());
		NameChecks.requireValid("digest", command.digest());
		GroupView group = state.groups().get(command.group());
		if (group == null) {
			return GroupRules.unknownGroup(state, command.group());
		}
		if (!GroupRules.isOwnedInEpoch(group, command.ownerEpoch())) {
			return GroupRules.staleEpoch(state, group, command.ownerEpoch());
		}
		RequestRecord present = state.ledger().find(command.group(), command.key());
		if (present != null) {
			return beginRecorded(state, command, present);
		}
		if (state.ledger().size() >= Ledger.LIMIT) {
			return ApplyResult.refused(state, ErrorCode.OVERLOADED,
					"the limit of %d records of non-repeatable requests is reached".formatted(Ledger.LIMIT));
		}
		RequestRecord request = newRecord(command);
		return accepted(state.withLedger(state.ledger().with(command.group(), request)), request, true);
	}

	private static ApplyResult beginRecorded(ControlState state, BeginRequest command, RequestRecord present) {
		if (!present.digest().equals(command.digest())) {
			return ApplyResult.refused(state, ErrorCode.INVALID_IDEMPOTENCY_KEY,
					"idempotency key %s was used for another request".formatted(command.key()));
		}
		boolean superseded = !present.finished() && present.ownerEpoch() == command.ownerEpoch()
				&& present.attempt() < command.attempt();
		if (!superseded) {
			return accepted(state, present, false);
		}
		// The owner begins a later attempt only after it has ended the earlier one
		// without sending it, so this record comes from a delayed duplicate BeginRequest.
		RequestRecord request = newRecord(command);
		Ledger ledger = state.ledger().without(command.group(), command.key()).with(command.group(), request);
		return accepted(state.withLedger(ledger), request, true);
	}

	private static RequestRecord newRecord(BeginRequest command) {
		return new RequestRecord(command.key(), command.digest(), command.ownerEpoch(), command.attempt(), false, null,
				command.forgetDeadline(), false);
	}

	// Only the owner of the epoch that began a request knows whether it was sent, so no
	// other epoch may finish the request or free its key.
	static ApplyResult finish(ControlState state, FinishRequest command) {
		if (state.groups().get(command.group()) == null) {
			return GroupRules.unknownGroup(state, command.group());
		}
		RequestRecord present = state.ledger().find(command.group(), command.key());
		if (present == null) {
			return command.executed() ? stale(state, command, "has no record") : ApplyResult.accepted(state);
		}
		if (present.ownerEpoch() != command.ownerEpoch()) {
			return stale(state, command, "was begun under owner epoch " + present.ownerEpoch());
		}
		if (present.attempt() != command.attempt()) {
			return stale(state, command, "was begun again as attempt " + present.attempt());
		}
		if (present.finished()) {
			return command.executed() ? accepted(state, present, false) : stale(state, command, "was executed");
		}
		if (!command.executed()) {
			return ApplyResult.accepted(state.withLedger(state.ledger().without(command.group(), command.key())));
		}
		byte[] answer = (command.answer() != null && command.answer().length <= MAXIMUM_ANSWER_LENGTH)
				? command.answer() : null;
		RequestRecord finished = new RequestRecord(present.key(), present.digest(), present.ownerEpoch(),
				present.attempt(), true, answer, present.forgetDeadline(), false);
		return accepted(state.withLedger(state.ledger().with(command.group(), finished)), finished, false);
	}

	private static ApplyResult stale(ControlState state, FinishRequest command, String reason) {
		return ApplyResult.refused(state, ErrorCode.STALE_COMMAND,
				"attempt %d of request %s of owner epoch %d cannot be finished: it %s".formatted(command.attempt(),
						command.key(), command.ownerEpoch(), reason));
	}

	private static ApplyResult accepted(ControlState state, RequestRecord request, boolean newlyBegun) {
		RequestRecord answer = new RequestRecord(request.key(), request.digest(), request.ownerEpoch(),
				request.attempt(), request.finished(), request.answer(), request.forgetDeadline(), newlyBegun);
		return new ApplyResult(state, new CommandResult(null, "", state.viewVersion(), answer));
	}

}
