package org.magnolialead.daemon.session;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.daemon.entry.CommandSubmitter;

/**
 * Reserves terms for promotions of one group in the control log and records the primary
 * there. A reserved term that is not confirmed tells a later owner that an order for the
 * candidate may be outstanding, so a primary must be confirmed only if none is.
 */
final class PromotionLog {

	/** Timeout of commands to the control log. */
	private static final long COMMAND_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private final SessionContext context;

	private final CommandSubmitter control;

	private final long ownerEpoch;

	private GroupView view;

	/** Highest term that is known to be reserved; the view may be behind. */
	private long reservedTerm;

	private long confirmedTerm;

	private String confirmedPrimary = "";

	private boolean commandInProgress;

	/** Whether a term may have been reserved that is not known here. */
	private boolean reservationUnknown;

	/**
	 * Creates the log of a new owner.
	 * @param context scheduling
	 * @param control submits commands to the control daemons
	 * @param view view of the group, with the epoch of this ownership
	 */
	PromotionLog(SessionContext context, CommandSubmitter control, GroupView view) {
		this.context = context;
		this.control = control;
		this.ownerEpoch = view.ownerEpoch();
		viewChanged(view);
	}

	void viewChanged(GroupView group) {
		this.view = group;
		this.reservedTerm = Math.max(this.reservedTerm, group.reservedTerm());
		if (group.term() >= this.confirmedTerm) {
			this.confirmedTerm = group.term();
			this.confirmedPrimary = group.primary();
		}
	}

	String group() {
		return this.view.group();
	}

	long ownerEpoch() {
		return this.ownerEpoch;
	}

	/**
	 * Returns the members of the group.
	 * @return their names
	 */
	Set<String> members() {
		return this.view.members().keySet();
	}

	/**
	 * Returns the primary that was confirmed last.
	 * @return name of the member, or an empty string for none
	 */
	String confirmedPrimary() {
		return this.confirmedPrimary;
	}

	/**
	 * Returns the candidate of a reservation that is not confirmed.
	 * @return name of the member, or an empty string if the primary is confirmed
	 */
	String unconfirmedCandidate() {
		return (this.view.reservedTerm() > this.view.term()) ? this.view.candidate() : "";
	}

	/**
	 * Tells whether a command was submitted whose result is not known yet.
	 * @return {@code true} while a command is in progress
	 */
	boolean isCommandInProgress() {
		return this.commandInProgress;
	}

	/**
	 * Tells whether a primary has to be recorded, because the log names another one or
	 * may have a reservation that is not confirmed.
	 * @param member name of the primary
	 * @return {@code true} if the log lacks it
	 */
	boolean lacksPrimary(String member) {
		return this.view.members().containsKey(member) && (!member.equals(this.confirmedPrimary)
				|| this.reservedTerm > this.confirmedTerm || this.reservationUnknown);
	}

	/**
	 * Reserves the next term.
	 * @param candidate member that the term is for
	 * @param reserved receives the term
	 * @param failed called if the term could not be reserved
	 */
	void reserve(String candidate, LongConsumer reserved, Runnable failed) {
		long term = this.reservedTerm + 1;
		this.reservationUnknown = true;
		submit(new ControlCommand.ReservePromotion(group(), this.ownerEpoch, this.reservedTerm, term, candidate),
				() -> {
					this.reservedTerm = Math.max(this.reservedTerm, term);
					reserved.accept(term);
				}, failed);
	}

	/**
	 * Records the primary. If that fails, {@link #lacksPrimary(String)} still holds.
	 * @param term term that was reserved for the primary last
	 * @param primary name of the primary
	 */
	void confirm(long term, String primary) {
		submit(new ControlCommand.ConfirmPrimary(group(), this.ownerEpoch, term, primary), () -> {
			this.confirmedTerm = term;
			this.confirmedPrimary = primary;
			this.reservationUnknown = false;
		}, () -> {
		});
	}

	/**
	 * Records a primary for which this daemon has not reserved a term: the first one of
	 * the group, or one that an earlier owner promoted.
	 * @param primary name of the primary
	 */
	void confirmWithNewTerm(String primary) {
		if (this.confirmedTerm == 0 && this.reservedTerm == 0) {
			confirm(1, primary);
			return;
		}
		reserve(primary, (term) -> confirm(term, primary), () -> {
		});
	}

	private void submit(ControlCommand command, Runnable accepted, Runnable notAccepted) {
		this.commandInProgress = true;
		this.control.submit(command, this.context.now() + COMMAND_TIMEOUT_NANOSECONDS)
			.whenComplete((result, failure) -> this.context.execute(() -> {
				this.commandInProgress = false;
				if (failure == null && result.isAccepted()) {
					accepted.run();
				}
				else {
					notAccepted.run();
				}
			}));
	}

}
